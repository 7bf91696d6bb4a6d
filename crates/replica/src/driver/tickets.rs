//! Callers that wait for an outcome.

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
use crate::driver::ConfirmAnswer;
use crate::driver::ProposalAnswer;

/// One proposal that waits to be applied.
struct WaitingProposal<M: StateMachine> {
    term: Term,
    until: Instant,
    answer: ProposalAnswer<M>,
}

/// Proposals that wait to be applied, by index.
pub(super) struct ProposalTickets<M: StateMachine> {
    timeout: Duration,
    waiting: BTreeMap<LogIndex, WaitingProposal<M>>,
}

impl<M: StateMachine> ProposalTickets<M> {
    pub(super) const fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            waiting: BTreeMap::new(),
        }
    }

    /// Adds the proposals of one batch; `first` is where the first was appended.
    pub(super) fn open(
        &mut self,
        first: LogPosition,
        answers: Vec<ProposalAnswer<M>>,
        now: Instant,
    ) {
        let until = now + self.timeout;
        for (index, answer) in (first.index..).zip(answers) {
            let proposal = WaitingProposal {
                term: first.term,
                until,
                answer,
            };
            if let Some(replaced) = self.waiting.insert(index, proposal) {
                let _ = replaced.answer.send(Err(ProposeError::Unknown));
            }
        }
    }

    /// Ends the proposal that was appended at `position`, or whose place was taken.
    pub(super) fn applied(&mut self, position: LogPosition, output: M::Output) {
        let Some(proposal) = self.waiting.remove(&position.index) else {
            return;
        };
        let outcome = if proposal.term == position.term {
            Ok(output)
        } else {
            Err(ProposeError::Unknown)
        };
        // The caller may have given up waiting.
        let _ = proposal.answer.send(outcome);
    }

    /// Ends all proposals whose outcome this instance may not learn any more.
    pub(super) fn abandon_all(&mut self) {
        for proposal in std::mem::take(&mut self.waiting).into_values() {
            let _ = proposal.answer.send(Err(ProposeError::Unknown));
        }
    }

    /// Ends the proposals that have waited too long; they were appended in order of time.
    pub(super) fn expire(&mut self, now: Instant) {
        while let Some(first) = self.waiting.first_entry()
            && now >= first.get().until
        {
            let _ = first.remove().answer.send(Err(ProposeError::Unknown));
        }
    }
}

/// Confirmations that wait for the core, and then for the state machine.
#[derive(Default)]
pub(super) struct ReadTickets {
    last: ReadId,
    unconfirmed: BTreeMap<ReadId, ConfirmAnswer>,
    unapplied: BTreeMap<LogIndex, Vec<ConfirmAnswer>>,
}

impl ReadTickets {
    pub(super) fn open(&mut self, answer: ConfirmAnswer) -> ReadId {
        self.last += 1;
        self.unconfirmed.insert(self.last, answer);
        self.last
    }

    /// Takes the core's outcome.
    pub(super) fn take(&mut self, outcome: ReadOutcome) {
        let Some(answer) = self.unconfirmed.remove(&outcome.read_id) else {
            return;
        };
        match outcome.index {
            Some(index) => self.unapplied.entry(index).or_default().push(answer),
            None => {
                let _ = answer.send(Err(ReadIndexError));
            }
        }
    }

    /// Ends the confirmations up to the applied index.
    pub(super) fn applied(&mut self, applied: LogIndex) {
        while let Some(first) = self.unapplied.first_entry()
            && *first.key() <= applied
        {
            for answer in first.remove() {
                let _ = answer.send(Ok(applied));
            }
        }
    }
}
