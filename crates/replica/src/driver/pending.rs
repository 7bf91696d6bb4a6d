//! Proposals and reads whose callers wait for the outcome.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use quorum::LogPosition;
use quorum::ReadId;
use quorum::ReadOutcome;
use quorum::Term;

use crate::LogIndex;
use crate::ProposeError;
use crate::ReadIndexError;
use crate::StateMachine;
use crate::driver::ProposalReply;
use crate::driver::ReadIndexReply;

/// A proposal that waits to be applied.
struct PendingProposal<M: StateMachine> {
    term: Term,
    deadline: Instant,
    reply: ProposalReply<M>,
}

/// Proposals that wait to be applied, by index.
pub(super) struct PendingProposals<M: StateMachine> {
    timeout: Duration,
    by_index: BTreeMap<LogIndex, PendingProposal<M>>,
}

impl<M: StateMachine> PendingProposals<M> {
    pub(super) const fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            by_index: BTreeMap::new(),
        }
    }

    /// Adds the proposals of one batch; `first` is the position of the first entry.
    pub(super) fn insert(
        &mut self,
        first: LogPosition,
        replies: Vec<ProposalReply<M>>,
        now: Instant,
    ) {
        let deadline = now + self.timeout;
        for (index, reply) in (first.index..).zip(replies) {
            let proposal = PendingProposal {
                term: first.term,
                deadline,
                reply,
            };
            if let Some(replaced) = self.by_index.insert(index, proposal) {
                let _ = replaced.reply.send(Err(ProposeError::Unknown));
            }
        }
    }

    /// Completes the proposal at this index, or fails it if an entry of another term replaced it.
    pub(super) fn complete_applied(&mut self, position: LogPosition, output: M::Output) {
        let Some(proposal) = self.by_index.remove(&position.index) else {
            return;
        };
        let outcome = if proposal.term == position.term {
            Ok(output)
        } else {
            Err(ProposeError::Unknown)
        };
        // The caller may have given up waiting.
        let _ = proposal.reply.send(outcome);
    }

    /// Fails all proposals, as this instance may never learn their outcome.
    pub(super) fn abandon_all(&mut self) {
        for proposal in std::mem::take(&mut self.by_index).into_values() {
            let _ = proposal.reply.send(Err(ProposeError::Unknown));
        }
    }

    /// Fails the proposals past their deadline; deadlines rise with the index.
    pub(super) fn expire(&mut self, now: Instant) {
        while let Some(first) = self.by_index.first_entry()
            && now >= first.get().deadline
        {
            let _ = first.remove().reply.send(Err(ProposeError::Unknown));
        }
    }
}

/// Reads that wait for Raft to confirm the leader, and then for the state machine.
#[derive(Default)]
pub(super) struct PendingReads {
    last_id: ReadId,
    unconfirmed: BTreeMap<ReadId, ReadIndexReply>,
    unapplied: BTreeMap<LogIndex, Vec<ReadIndexReply>>,
}

impl PendingReads {
    pub(super) fn insert(&mut self, reply: ReadIndexReply) -> ReadId {
        self.last_id += 1;
        self.unconfirmed.insert(self.last_id, reply);
        self.last_id
    }

    /// Fails a read, or makes it wait until the confirmed index is applied.
    pub(super) fn handle_outcome(&mut self, outcome: ReadOutcome) {
        let Some(reply) = self.unconfirmed.remove(&outcome.read_id) else {
            return;
        };
        match outcome.index {
            Some(index) => self.unapplied.entry(index).or_default().push(reply),
            None => {
                let _ = reply.send(Err(ReadIndexError));
            }
        }
    }

    /// Completes the reads up to the applied index.
    pub(super) fn complete_applied(&mut self, applied: LogIndex) {
        while let Some(first) = self.unapplied.first_entry()
            && *first.key() <= applied
        {
            for reply in first.remove() {
                let _ = reply.send(Ok(applied));
            }
        }
    }
}
