//! Reads confirmed by a quorum: shared rounds at the leader, shared requests at followers.

use std::time::Instant;

use crate::InstanceId;
use crate::LogIndex;
use crate::MessageBody;
use crate::QuorumCore;
use crate::ReadOutcome;
use crate::ReadTicket;
use crate::core::CoreRole;

/// Who waits for a round.
#[derive(Clone, Copy, Debug)]
enum ReadOrigin {
    Local { ticket: ReadTicket, until: Instant },
    Member { instance: InstanceId, id: u64 },
}

/// A read at the leader and the round that confirms it.
#[derive(Clone, Copy, Debug)]
struct LeaderRead {
    origin: ReadOrigin,
    round: u64,
}

/// Confirmation rounds of a leader; one round serves all reads that began before it.
#[derive(Debug, Default)]
pub(super) struct LeaderRounds {
    current: u64,
    confirmed: u64,
    waiting: Vec<LeaderRead>,
}

impl LeaderRounds {
    pub(super) const fn current(&self) -> u64 {
        self.current
    }

    pub(super) const fn start(&mut self) {
        self.current += 1;
    }

    /// Adds a read to the next round; returns whether that round must start now.
    fn push(&mut self, origin: ReadOrigin) -> bool {
        let idle = self.current == self.confirmed;
        self.waiting.push(LeaderRead {
            origin,
            round: self.current + 1,
        });
        idle
    }

    fn needs_round(&self) -> bool {
        self.waiting.iter().any(|read| read.round > self.current)
    }
}

/// A local read that waits for a leader's answer.
#[derive(Clone, Copy, Debug)]
struct WaitingRead {
    ticket: ReadTicket,
    until: Instant,
}

/// A request to the leader that is under way, for all reads that began before it.
#[derive(Debug)]
struct ForwardedRead {
    id: u64,
    reads: Vec<WaitingRead>,
    resend_due: Instant,
}

/// Local reads of a member that does not lead.
#[derive(Debug)]
pub(super) struct ReadQueue {
    next_id: u64,
    waiting: Vec<WaitingRead>,
    sent: Option<ForwardedRead>,
}

impl ReadQueue {
    pub(super) const fn new(first_id: u64) -> Self {
        Self {
            next_id: first_id,
            waiting: Vec::new(),
            sent: None,
        }
    }

    pub(super) fn next_due(&self) -> Option<Instant> {
        let expiry = self.waiting.iter().map(|read| read.until).min();
        let resend = self.sent.as_ref().map(|sent| sent.resend_due);
        [expiry, resend].into_iter().flatten().min()
    }

    fn take_all(&mut self) -> Vec<WaitingRead> {
        let mut reads = std::mem::take(&mut self.waiting);
        if let Some(sent) = self.sent.take() {
            reads.extend(sent.reads);
        }
        reads
    }

    fn take_expired(&mut self, now: Instant) -> Vec<WaitingRead> {
        let mut expired: Vec<WaitingRead> = self
            .waiting
            .extract_if(.., |read| now >= read.until)
            .collect();
        if let Some(sent) = &mut self.sent {
            expired.extend(sent.reads.extract_if(.., |read| now >= read.until));
            if sent.reads.is_empty() {
                self.sent = None;
            }
        }
        expired
    }
}

impl QuorumCore {
    /// Starts a read; its [`ReadOutcome`] follows in an output.
    ///
    /// The index of the outcome covers everything that was committed when this was called.
    pub fn read(&mut self, ticket: ReadTicket, now: Instant) {
        let until = now + self.timing.read_timeout;
        if matches!(self.role, CoreRole::Leader(_)) {
            self.lead_read(ReadOrigin::Local { ticket, until }, now);
        } else {
            self.reads.waiting.push(WaitingRead { ticket, until });
            self.forward_reads(now);
        }
    }

    /// Takes over the reads that waited for a leader.
    pub(super) fn adopt_waiting_reads(&mut self) {
        let reads = self.reads.take_all();
        if let Some(state) = self.leader_state() {
            for WaitingRead { ticket, until } in reads {
                state.rounds.push(ReadOrigin::Local { ticket, until });
            }
            state.rounds.start();
        }
    }

    /// Adds a read at the leader, and starts a round when none is under way.
    fn lead_read(&mut self, origin: ReadOrigin, now: Instant) {
        let Some(state) = self.leader_state() else {
            return;
        };
        if state.rounds.push(origin) {
            state.rounds.start();
            self.broadcast(now);
        }
        self.finish_rounds(now);
    }

    pub(super) fn on_read(&mut self, from: InstanceId, id: u64, now: Instant) {
        let origin = ReadOrigin::Member { instance: from, id };
        self.lead_read(origin, now);
    }

    /// Ends the reads whose round a quorum has answered.
    pub(super) fn finish_rounds(&mut self, now: Instant) {
        loop {
            let confirmed = self.confirmed_round();
            let committed = self.committed;
            let Some(state) = self.leader_state() else {
                return;
            };
            state.rounds.confirmed = state.rounds.confirmed.max(confirmed);
            if committed >= state.first_index {
                let confirmed = state.rounds.confirmed;
                let done: Vec<LeaderRead> = state
                    .rounds
                    .waiting
                    .extract_if(.., |read| read.round <= confirmed)
                    .collect();
                for read in done {
                    self.answer_read(read.origin, committed);
                }
            }
            let Some(state) = self.leader_state() else {
                return;
            };
            let idle = state.rounds.current == state.rounds.confirmed;
            if !idle || !state.rounds.needs_round() {
                return;
            }
            state.rounds.start();
            self.broadcast(now);
        }
    }

    /// Returns the latest round that a quorum answered.
    fn confirmed_round(&self) -> u64 {
        let CoreRole::Leader(state) = &self.role else {
            return 0;
        };
        let own = state.rounds.current;
        let confirmed = self.log.membership().quorum_value(|voter| {
            if voter == self.id {
                own
            } else {
                state.peers.get(&voter).map_or(0, |peer| peer.round)
            }
        });
        confirmed.unwrap_or(0)
    }

    fn answer_read(&mut self, origin: ReadOrigin, index: LogIndex) {
        match origin {
            ReadOrigin::Local { ticket, .. } => self.output.reads.push(ReadOutcome {
                ticket,
                index: Some(index),
            }),
            ReadOrigin::Member { instance, id } => {
                self.send(instance, MessageBody::ReadReply { id, index });
            }
        }
    }

    /// Asks the leader on behalf of all waiting reads, one request at a time.
    pub(super) fn forward_reads(&mut self, now: Instant) {
        let Some(leader) = self.other_leader() else {
            return;
        };
        if self.reads.sent.is_some() || self.reads.waiting.is_empty() {
            return;
        }
        let id = self.reads.next_id;
        self.reads.next_id = id.wrapping_add(1);
        self.reads.sent = Some(ForwardedRead {
            id,
            reads: std::mem::take(&mut self.reads.waiting),
            resend_due: now + self.timing.heartbeat,
        });
        self.send_synced(leader, self.term, MessageBody::Read { id });
    }

    pub(super) fn on_read_reply(&mut self, id: u64, index: LogIndex, now: Instant) {
        if self.reads.sent.as_ref().is_none_or(|sent| sent.id != id) {
            return;
        }
        let reads = self
            .reads
            .sent
            .take()
            .map_or_else(Vec::new, |sent| sent.reads);
        for read in reads {
            self.output.reads.push(ReadOutcome {
                ticket: read.ticket,
                index: Some(index),
            });
        }
        self.forward_reads(now);
    }

    /// Fails expired reads and repeats a request that was not answered.
    pub(super) fn tick_reads(&mut self, now: Instant) {
        let mut expired: Vec<ReadTicket> = self
            .reads
            .take_expired(now)
            .into_iter()
            .map(|read| read.ticket)
            .collect();
        if let Some(state) = self.leader_state() {
            expired.extend(state.rounds.take_expired(now));
        }
        for ticket in expired {
            self.output.reads.push(ReadOutcome {
                ticket,
                index: None,
            });
        }
        self.resend_read(now);
        self.forward_reads(now);
    }

    fn resend_read(&mut self, now: Instant) {
        let leader = self.other_leader();
        let heartbeat = self.timing.heartbeat;
        let Some(sent) = &mut self.reads.sent else {
            return;
        };
        if now < sent.resend_due {
            return;
        }
        sent.resend_due = now + heartbeat;
        let id = sent.id;
        if let Some(leader) = leader {
            self.send_synced(leader, self.term, MessageBody::Read { id });
        }
    }
}

impl LeaderRounds {
    fn take_expired(&mut self, now: Instant) -> Vec<ReadTicket> {
        self.waiting
            .extract_if(
                ..,
                |read| matches!(read.origin, ReadOrigin::Local { until, .. } if now >= until),
            )
            .filter_map(|read| match read.origin {
                ReadOrigin::Local { ticket, .. } => Some(ticket),
                ReadOrigin::Member { .. } => None,
            })
            .collect()
    }

    /// Takes the local reads of a leader that steps down.
    pub(super) fn take_local(&mut self) -> Vec<(ReadTicket, Instant)> {
        self.waiting
            .drain(..)
            .filter_map(|read| match read.origin {
                ReadOrigin::Local { ticket, until } => Some((ticket, until)),
                ReadOrigin::Member { .. } => None,
            })
            .collect()
    }
}

impl ReadQueue {
    /// Takes over reads of a leader that stepped down.
    pub(super) fn requeue(&mut self, reads: Vec<(ReadTicket, Instant)>) {
        self.waiting.extend(
            reads
                .into_iter()
                .map(|(ticket, until)| WaitingRead { ticket, until }),
        );
    }
}
