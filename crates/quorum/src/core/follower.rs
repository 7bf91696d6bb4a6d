//! Replication on the follower.

use std::time::Instant;

use crate::AppendOutcome;
use crate::FatalError;
use crate::InstanceId;
use crate::LogEntry;
use crate::LogIndex;
use crate::LogPosition;
use crate::MessageBody;
use crate::RaftCore;
use crate::core::RoleState;

impl RaftCore {
    /// Records that the leader of the current term is alive, and follows it.
    pub(super) fn follow_leader(&mut self, leader: InstanceId, now: Instant) {
        self.heard_leader_at = Some(now);
        self.restart_election_timer(now);
        let already_follows =
            self.leader == Some(leader) && matches!(self.role, RoleState::Follower);
        if !already_follows {
            self.become_follower(self.term, Some(leader), now);
        }
    }

    /// Processes an append.
    ///
    /// The heartbeat round is acknowledged at once, even while the disk is slow: the leader of a
    /// later term needs a vote from at least one of the members that acknowledged the round, so
    /// it cannot have committed anything before they did so.
    pub(super) fn on_append(
        &mut self,
        from: InstanceId,
        previous: LogPosition,
        entries: Vec<LogEntry>,
        commit_index: LogIndex,
        round: u64,
        now: Instant,
    ) {
        if matches!(self.role, RoleState::Leader(_)) {
            return;
        }
        self.follow_leader(from, now);
        let outcome = self.append_from_leader(previous, entries, commit_index);
        if self.has_pending_writes() {
            self.send(from, MessageBody::HeartbeatReply { round });
        }
        let reply = MessageBody::AppendReply { outcome, round };
        self.send_after_sync(from, self.term, reply);
    }

    fn append_from_leader(
        &mut self,
        previous: LogPosition,
        entries: Vec<LogEntry>,
        commit_index: LogIndex,
    ) -> AppendOutcome {
        let previous_matches = previous.index <= self.commit_index
            || self.log.term_at(previous.index) == Some(previous.term);
        if !previous_matches {
            return AppendOutcome::Rejected(self.rejection_hint(previous.index));
        }
        let matched = previous.index + entries.len() as u64;
        if let Some(position) = entries.iter().position(|entry| self.is_new(entry)) {
            self.replace_tail(entries, position);
        }
        let commit_index = commit_index.min(matched);
        if commit_index > self.commit_index && self.fatal_error.is_none() {
            self.commit_index = commit_index;
        }
        AppendOutcome::Matched(matched)
    }

    fn is_new(&self, entry: &LogEntry) -> bool {
        let index = entry.position.index;
        index > self.log.base().index && self.log.term_at(index) != Some(entry.position.term)
    }

    fn replace_tail(&mut self, mut entries: Vec<LogEntry>, position: usize) {
        let new = entries.split_off(position);
        let from = new[0].position.index;
        if from <= self.commit_index {
            self.fatal_error = Some(FatalError::CommittedConflict { index: from });
            return;
        }
        if from <= self.log.last().index {
            self.log.truncate(from);
            self.durable_index = self.durable_index.min(from - 1);
        }
        self.append_entries(new);
        self.check_own_folder();
    }

    /// Returns the index that the leader should try next: the start of the term that differs.
    fn rejection_hint(&self, index: LogIndex) -> LogIndex {
        let last = self.log.last();
        if index > last.index {
            return last.index + 1;
        }
        let term = self.log.term_at(index);
        let mut hint = index;
        while hint > self.commit_index + 1 && self.log.term_at(hint - 1) == term {
            hint -= 1;
        }
        hint
    }
}
