//! Linearizable reads (`ReadIndex`).
//!
//! On the leader, reads share heartbeat rounds; on followers, they share requests to the leader.

use std::time::Instant;

use crate::InstanceId;
use crate::LogIndex;
use crate::MessageBody;
use crate::RaftCore;
use crate::ReadId;
use crate::ReadOutcome;
use crate::core::RoleState;
use crate::core::read_queue::ForwardedRead;
use crate::core::read_queue::ReadOrigin;
use crate::core::read_queue::WaitingRead;

impl RaftCore {
    /// Starts a linearizable read; a later output contains its [`ReadOutcome`].
    ///
    /// The index of the outcome covers everything that was committed when this was called.
    pub fn start_read(&mut self, read_id: ReadId, now: Instant) {
        let deadline = now + self.config.read_timeout;
        if matches!(self.role, RoleState::Leader(_)) {
            self.add_leader_read(ReadOrigin::Local { read_id, deadline }, now);
        } else {
            self.reads.waiting.push(WaitingRead { read_id, deadline });
            self.forward_reads(now);
        }
    }

    /// Moves the reads that waited for a leader to this new leader's own rounds.
    pub(super) fn serve_waiting_reads(&mut self) {
        let reads = self.reads.take_all();
        if let Some(state) = self.leader_state() {
            for WaitingRead { read_id, deadline } in reads {
                state.rounds.push(ReadOrigin::Local { read_id, deadline });
            }
            state.rounds.start();
        }
    }

    /// Adds a read on the leader, and starts a heartbeat round if none is in progress.
    fn add_leader_read(&mut self, origin: ReadOrigin, now: Instant) {
        let Some(state) = self.leader_state() else {
            return;
        };
        if state.rounds.push(origin) {
            state.rounds.start();
            self.broadcast_heartbeat(now);
        }
        self.complete_reads(now);
    }

    pub(super) fn on_read(&mut self, from: InstanceId, request_id: u64, now: Instant) {
        let origin = ReadOrigin::Member {
            instance: from,
            request_id,
        };
        self.add_leader_read(origin, now);
    }

    /// Completes the reads whose round a quorum has acknowledged.
    pub(super) fn complete_reads(&mut self, now: Instant) {
        loop {
            let confirmed = self.confirmed_round();
            let commit_index = self.commit_index;
            let Some(state) = self.leader_state() else {
                return;
            };
            state.rounds.confirm(confirmed);
            if commit_index >= state.first_index_of_term {
                for read in state.rounds.take_confirmed() {
                    self.answer_read(read.origin, commit_index);
                }
            }
            let Some(state) = self.leader_state() else {
                return;
            };
            if !state.rounds.needs_round() {
                return;
            }
            state.rounds.start();
            self.broadcast_heartbeat(now);
        }
    }

    /// Returns the latest round that a quorum has acknowledged.
    fn confirmed_round(&self) -> u64 {
        let RoleState::Leader(state) = &self.role else {
            return 0;
        };
        let own = state.rounds.current();
        let confirmed = self.leader_quorum_value(|voter| {
            if voter == self.id {
                own
            } else {
                state.peers.get(&voter).map_or(0, |peer| peer.acked_round)
            }
        });
        confirmed.unwrap_or(0)
    }

    fn answer_read(&mut self, origin: ReadOrigin, index: LogIndex) {
        match origin {
            ReadOrigin::Local { read_id, .. } => self.output.finished_reads.push(ReadOutcome {
                read_id,
                index: Some(index),
            }),
            ReadOrigin::Member {
                instance,
                request_id,
            } => {
                self.send(instance, MessageBody::ReadIndexReply { request_id, index });
            }
        }
    }

    /// Sends the leader one request for all waiting reads, unless a request is outstanding.
    pub(super) fn forward_reads(&mut self, now: Instant) {
        let Some(leader) = self.other_leader() else {
            return;
        };
        if self.reads.sent.is_some() || self.reads.waiting.is_empty() {
            return;
        }
        let request_id = self.reads.take_request_id();
        self.reads.sent = Some(ForwardedRead {
            request_id,
            reads: std::mem::take(&mut self.reads.waiting),
            resend_due: now + self.config.heartbeat_interval,
        });
        self.send(leader, MessageBody::ReadIndex { request_id });
    }

    pub(super) fn on_read_reply(&mut self, request_id: u64, index: LogIndex, now: Instant) {
        if self
            .reads
            .sent
            .as_ref()
            .is_none_or(|sent| sent.request_id != request_id)
        {
            return;
        }
        let reads = self
            .reads
            .sent
            .take()
            .map_or_else(Vec::new, |sent| sent.reads);
        for read in reads {
            self.output.finished_reads.push(ReadOutcome {
                read_id: read.read_id,
                index: Some(index),
            });
        }
        self.forward_reads(now);
    }

    /// Fails expired reads and resends a request that was not answered.
    pub(super) fn tick_reads(&mut self, now: Instant) {
        let mut expired: Vec<ReadId> = self
            .reads
            .take_expired(now)
            .into_iter()
            .map(|read| read.read_id)
            .collect();
        if let Some(state) = self.leader_state() {
            expired.extend(state.rounds.take_expired(now));
        }
        for read_id in expired {
            self.output.finished_reads.push(ReadOutcome {
                read_id,
                index: None,
            });
        }
        self.resend_read(now);
        self.forward_reads(now);
    }

    fn resend_read(&mut self, now: Instant) {
        let leader = self.other_leader();
        let heartbeat = self.config.heartbeat_interval;
        let Some(sent) = &mut self.reads.sent else {
            return;
        };
        if now < sent.resend_due {
            return;
        }
        sent.resend_due = now + heartbeat;
        let request_id = sent.request_id;
        if let Some(leader) = leader {
            self.send(leader, MessageBody::ReadIndex { request_id });
        }
    }
}
