//! Observed history of a group, and the safety properties that it must satisfy.

use std::collections::BTreeMap;

use bytes::Bytes;
use quorum::EntryPayload;
use quorum::InstanceId;
use quorum::LogEntry;
use quorum::LogIndex;
use quorum::RaftCore;
use quorum::StateUpdate;
use quorum::Term;

/// State machine of one member, which collects the applied commands.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct SimStateMachine {
    pub(crate) applied: LogIndex,
    pub(crate) commands: Vec<u8>,
}

impl SimStateMachine {
    pub(crate) fn encode(&self) -> Bytes {
        Bytes::from(self.commands.clone())
    }
}

/// Entries that any member applied, and the leader of each term.
#[derive(Debug, Default)]
pub(crate) struct GroupHistory {
    leaders: BTreeMap<Term, InstanceId>,
    committed: Vec<LogEntry>,
    /// Highest index that was reported to a proposer as applied.
    pub(crate) acknowledged: LogIndex,
}

impl GroupHistory {
    pub(crate) fn committed(&self) -> LogIndex {
        self.committed.len() as LogIndex
    }

    /// Checks that the term of this leader has no other leader.
    pub(crate) fn check_leader(&mut self, core: &RaftCore) {
        let leader = *self.leaders.entry(core.term()).or_insert(core.id());
        assert_eq!(leader, core.id(), "two leaders in term {}", core.term());
    }

    /// Applies an update to a member's state machine and checks that all members apply the same.
    pub(crate) fn apply(&mut self, state_machine: &mut SimStateMachine, update: StateUpdate) {
        match update {
            StateUpdate::Entry(entry) => {
                assert_eq!(
                    entry.position.index,
                    state_machine.applied + 1,
                    "entries are applied in order"
                );
                self.check_entry(&entry);
                push_command(&mut state_machine.commands, &entry);
                state_machine.applied = entry.position.index;
            }
            StateUpdate::Restore(snapshot) => {
                state_machine.applied = snapshot.last_included.index;
                state_machine.commands = snapshot.state.to_vec();
                let expected = self.state_at(state_machine.applied);
                assert_eq!(state_machine.commands, expected, "snapshot equals the log");
            }
        }
    }

    /// Records that an entry was reported to its proposer as applied.
    pub(crate) fn acknowledge(&mut self, index: LogIndex) {
        self.acknowledged = self.acknowledged.max(index);
    }

    fn check_entry(&mut self, entry: &LogEntry) {
        let index = usize::try_from(entry.position.index).expect("a short log");
        if let Some(known) = self.committed.get(index - 1) {
            assert_eq!(known, entry, "logs agree and nothing committed is lost");
        } else {
            assert_eq!(index, self.committed.len() + 1);
            self.committed.push(entry.clone());
        }
    }

    fn state_at(&self, applied: LogIndex) -> Vec<u8> {
        let count = usize::try_from(applied).expect("a short log");
        assert!(
            count <= self.committed.len(),
            "a snapshot holds committed entries only"
        );
        let mut commands = Vec::new();
        for entry in &self.committed[..count] {
            push_command(&mut commands, entry);
        }
        commands
    }
}

fn push_command(commands: &mut Vec<u8>, entry: &LogEntry) {
    if let EntryPayload::Command(command) = &entry.payload {
        commands.extend_from_slice(command);
    }
}
