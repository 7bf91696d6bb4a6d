//! Simulated group with disks and a network that loses, duplicates and reorders messages.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use quorum::DurableState;
use quorum::FolderId;
use quorum::INITIAL_FOLDER;
use quorum::InstanceId;
use quorum::LogIndex;
use quorum::LogPosition;
use quorum::MemberRole;
use quorum::Membership;
use quorum::OutgoingMessage;
use quorum::QuorumRule;
use quorum::RaftConfig;
use quorum::RaftCore;
use quorum::ReadId;
use quorum::StateUpdate;

use crate::disk::PendingBatch;
use crate::disk::SimDisk;
use crate::history::GroupHistory;
use crate::history::SimStateMachine;

/// Maximum number of messages in flight; beyond it the oldest are lost.
const IN_FLIGHT_MAX: usize = 400;

/// Entries kept before a snapshot.
const TRAILING_ENTRIES: u64 = 3;

/// Message in flight.
#[derive(Clone, Debug)]
pub(crate) struct SimMessage {
    pub(crate) from: InstanceId,
    pub(crate) outgoing: OutgoingMessage,
}

/// Pending read, and the last index that had been acknowledged when it began.
#[derive(Clone, Copy, Debug)]
struct PendingRead {
    read_id: ReadId,
    acknowledged: LogIndex,
}

/// Member of the group; `core` is none while it is crashed.
#[derive(Debug)]
pub(crate) struct SimMember {
    pub(crate) folder: FolderId,
    pub(crate) disk: SimDisk,
    pub(crate) core: Option<RaftCore>,
    pub(crate) state_machine: SimStateMachine,
    proposals: Vec<LogPosition>,
    reads: Vec<PendingRead>,
}

/// Simulated group in virtual time.
#[derive(Debug)]
pub(crate) struct SimGroup {
    pub(crate) now: Instant,
    pub(crate) members: BTreeMap<InstanceId, SimMember>,
    pub(crate) in_flight: Vec<SimMessage>,
    pub(crate) cut_links: BTreeSet<(InstanceId, InstanceId)>,
    /// Members that neither run timers nor receive messages.
    pub(crate) paused: BTreeSet<InstanceId>,
    /// Members whose disk is lost; they never act again.
    pub(crate) lost: BTreeSet<InstanceId>,
    pub(crate) history: GroupHistory,
    pub(crate) reads_checked: u64,
    pub(crate) config: RaftConfig,
    seed: u64,
    next_read_id: ReadId,
}

impl SimGroup {
    pub(crate) fn with_rule(
        quorum_rule: QuorumRule,
        initial: &[InstanceId],
        max_message_bytes: usize,
        seed: u64,
    ) -> Self {
        let config = RaftConfig {
            max_message_bytes,
            quorum_rule,
            trailing_entries: TRAILING_ENTRIES,
            ..RaftConfig::default()
        };
        let mut group = Self {
            now: Instant::now(),
            members: BTreeMap::new(),
            in_flight: Vec::new(),
            cut_links: BTreeSet::new(),
            paused: BTreeSet::new(),
            lost: BTreeSet::new(),
            history: GroupHistory::default(),
            reads_checked: 0,
            config,
            seed,
            next_read_id: 0,
        };
        let membership = Membership::initial(initial);
        for &id in initial {
            group.add(id, INITIAL_FOLDER, membership.clone());
        }
        group
    }

    /// Adds an instance with an empty disk and starts it.
    pub(crate) fn add(&mut self, id: InstanceId, folder: FolderId, initial_membership: Membership) {
        let mut disk = SimDisk::default();
        disk.synced.initial_membership = initial_membership;
        let member = SimMember {
            folder,
            disk,
            core: None,
            state_machine: SimStateMachine::default(),
            proposals: Vec::new(),
            reads: Vec::new(),
        };
        self.members.insert(id, member);
        self.start(id);
    }

    pub(crate) fn start(&mut self, id: InstanceId) {
        self.seed = self.seed.wrapping_add(1);
        let (seed, now) = (self.seed, self.now);
        let config = self.config.clone();
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        if member.core.is_some() {
            return;
        }
        let state: DurableState = member.disk.synced.clone();
        member.state_machine = SimStateMachine::default();
        member.core = Some(RaftCore::new(id, member.folder, config, state, seed, now));
        self.process_output(id);
    }

    /// Crashes a member after `synced_batches` of its unsynced batches have reached the disk.
    pub(crate) fn crash(&mut self, id: InstanceId, synced_batches: usize) {
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        member.core = None;
        member.disk.crash(synced_batches);
        member.proposals.clear();
        member.reads.clear();
    }

    /// Calls `event` on a running member, and processes the output that follows.
    pub(crate) fn with_core<R>(
        &mut self,
        id: InstanceId,
        event: impl FnOnce(&mut RaftCore, Instant) -> R,
    ) -> Option<R> {
        let now = self.now;
        let core = self.members.get_mut(&id)?.core.as_mut()?;
        let result = event(core, now);
        self.process_output(id);
        Some(result)
    }

    /// Processes and checks the output of a member.
    fn process_output(&mut self, id: InstanceId) {
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        let Some(core) = member.core.as_mut() else {
            return;
        };
        let output = core.take_output();
        assert_eq!(core.fatal_error(), None);
        if core.role() == MemberRole::Leader {
            self.history.check_leader(core);
        } else {
            member.proposals.clear();
        }
        if let Some(batch) = output.batch {
            member.disk.pending.push_back(PendingBatch {
                batch,
                writes: output.writes,
                messages: output.messages_after_sync,
            });
        }
        for update in output.state_updates {
            if let StateUpdate::Entry(entry) = &update
                && member.proposals.contains(&entry.position)
            {
                self.history.acknowledge(entry.position.index);
            }
            self.history.apply(&mut member.state_machine, update);
        }
        for outcome in output.finished_reads {
            let position = member
                .reads
                .iter()
                .position(|read| read.read_id == outcome.read_id);
            let read = member
                .reads
                .swap_remove(position.expect("each read completes once"));
            if let Some(index) = outcome.index {
                assert!(
                    index >= read.acknowledged,
                    "a read missed an acknowledged write"
                );
                self.reads_checked += 1;
            }
        }
        self.send(id, output.messages);
    }

    pub(crate) fn send(&mut self, from: InstanceId, messages: Vec<OutgoingMessage>) {
        for outgoing in messages {
            if !self.cut_links.contains(&(from, outgoing.to)) {
                self.in_flight.push(SimMessage { from, outgoing });
            }
        }
        let surplus = self.in_flight.len().saturating_sub(IN_FLIGHT_MAX);
        self.in_flight.drain(..surplus);
    }

    pub(crate) fn deliver(&mut self, message: SimMessage) {
        let SimMessage { from, outgoing } = message;
        if self.paused.contains(&outgoing.to) {
            return;
        }
        self.with_core(outgoing.to, |core, now| {
            core.receive(from, outgoing.message, now);
        });
    }

    pub(crate) fn sync(&mut self, id: InstanceId, count: usize) {
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        if member.core.is_none() {
            return;
        }
        if let Some((batch, messages)) = member.disk.sync(count) {
            self.with_core(id, |core, now| core.mark_synced(batch, now));
            self.send(id, messages);
        }
    }

    pub(crate) fn advance(&mut self, step: Duration) {
        self.now += step;
        for id in self.ids() {
            if self.paused.contains(&id) {
                continue;
            }
            self.with_core(id, |core, now| {
                if now >= core.next_tick_due() {
                    core.tick(now);
                }
            });
        }
    }

    pub(crate) fn propose(&mut self, id: InstanceId, command: u8) {
        let first = self.with_core(id, |core, now| {
            core.propose(vec![Bytes::from(vec![command])], now)
        });
        if let (Some(Ok(position)), Some(member)) = (first, self.members.get_mut(&id)) {
            member.proposals.push(position);
            let applied = member.state_machine.applied;
            // With a single voter, the entry may already be applied.
            if applied >= position.index {
                self.history.acknowledge(position.index);
            }
        }
    }

    pub(crate) fn read(&mut self, id: InstanceId) {
        self.next_read_id += 1;
        let read_id = self.next_read_id;
        let acknowledged = self.history.acknowledged;
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        if member.core.is_some() {
            member.reads.push(PendingRead {
                read_id,
                acknowledged,
            });
            self.with_core(id, |core, now| core.start_read(read_id, now));
        }
    }

    pub(crate) fn compact(&mut self, id: InstanceId) {
        let Some(member) = self.members.get(&id) else {
            return;
        };
        let applied = member.state_machine.applied;
        let state = member.state_machine.encode();
        self.with_core(id, |core, _| core.compact(applied, state));
    }

    /// Loses a member together with its disk.
    pub(crate) fn lose(&mut self, id: InstanceId) {
        self.members.remove(&id);
        self.lost.insert(id);
    }

    /// Tells a member that another one is lost.
    pub(crate) fn report_lost(&mut self, to: InstanceId, lost: InstanceId) {
        self.with_core(to, |core, _| core.report_lost(lost));
    }

    pub(crate) fn ids(&self) -> Vec<InstanceId> {
        self.members.keys().copied().collect()
    }

    pub(crate) fn leader(&self) -> Option<InstanceId> {
        self.members
            .iter()
            .filter(|(_, member)| {
                member
                    .core
                    .as_ref()
                    .is_some_and(|core| core.role() == MemberRole::Leader)
            })
            .max_by_key(|(_, member)| member.core.as_ref().map(RaftCore::term))
            .map(|(&id, _)| id)
    }

    /// Describes the members, one per line, for assertion messages.
    pub(crate) fn summary(&self) -> String {
        let mut summary = format!("committed {}", self.history.committed());
        for (id, member) in &self.members {
            let status = member.core.as_ref().map(RaftCore::status);
            let applied = member.state_machine.applied;
            // Writing to a string does not fail.
            let _ = write!(summary, "\n{id}: applied {applied} {status:?}");
        }
        summary
    }
}
