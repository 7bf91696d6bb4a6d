//! Taking the events that came in together.

use std::time::Instant;

use bytes::Bytes;
use clock::Clock;
use quorum::AppendError;

use crate::InstanceId;
use crate::PeerLink;
use crate::ProposeError;
use crate::ReadIndexError;
use crate::ReplicaError;
use crate::StateMachine;
use crate::driver::ConfirmAnswer;
use crate::driver::DriverInput;
use crate::driver::ProposalAnswer;
use crate::driver::ReplicaDriver;
use crate::envelope::PeerEnvelope;
use crate::storage::StorageReport;

impl<M: StateMachine, L: PeerLink, C: Clock> ReplicaDriver<M, L, C> {
    /// Takes all events, and appends the proposals among them together.
    pub(super) fn take_batch(&mut self, batch: Vec<DriverInput<M>>) {
        let now = self.clock.now();
        let mut commands = Vec::new();
        let mut answers = Vec::new();
        for input in batch {
            match input {
                DriverInput::Propose { entry, answer } => {
                    commands.push(Bytes::from(entry));
                    answers.push(answer);
                }
                DriverInput::Confirm { answer } => self.confirm(answer, now),
                DriverInput::Change { change, answer } => {
                    // The caller may have given up waiting.
                    let _ = answer.send(self.core.change_members(change, now));
                }
                DriverInput::Message { from, message } => self.take_message(from, &message, now),
                DriverInput::Storage(report) => self.take_report(report, now),
            }
        }
        if !commands.is_empty() {
            self.propose(commands, answers, now);
        }
    }

    fn propose(&mut self, commands: Vec<Bytes>, answers: Vec<ProposalAnswer<M>>, now: Instant) {
        match self.core.propose(commands, now) {
            Ok(first) => self.proposals.open(first, answers, now),
            Err(AppendError::NotLeader { leader }) => {
                for answer in answers {
                    let _ = answer.send(Err(ProposeError::NotLeader { leader }));
                }
            }
        }
    }

    fn confirm(&mut self, answer: ConfirmAnswer, now: Instant) {
        if !self.identity.registered {
            let _ = answer.send(Err(ReadIndexError));
            return;
        }
        let ticket = self.reads.open(answer);
        self.core.start_read(ticket, now);
    }

    fn take_message(&mut self, from: InstanceId, message: &[u8], now: Instant) {
        match PeerEnvelope::decode(message) {
            Some(PeerEnvelope::Core(message)) if self.identity.registered => {
                self.core.receive(from, message, now);
            }
            Some(PeerEnvelope::Core(_)) => {}
            Some(PeerEnvelope::Hello { folder }) => self.on_hello(from, folder),
            Some(PeerEnvelope::HelloReply { folder, accepted }) => {
                self.on_hello_reply(from, folder, accepted);
            }
            Some(PeerEnvelope::Join { folder }) => self.on_join(from, folder),
            Some(PeerEnvelope::JoinRefused { folder }) => self.on_join_refused(folder),
            None => tracing::warn!(event = "peer-message-refused", from, bytes = message.len()),
        }
    }

    fn take_report(&mut self, report: StorageReport, now: Instant) {
        match report {
            StorageReport::Synced { batch, messages } => {
                self.core.mark_synced(batch, now);
                self.send_all(messages);
            }
            StorageReport::IdentitySaved(identity) => self.on_identity_saved(&identity),
            StorageReport::Failed(error) => self.fail(ReplicaError::Storage(error)),
        }
    }
}
