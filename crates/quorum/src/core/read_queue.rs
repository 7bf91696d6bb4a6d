//! Reads that wait: for a round at the leader, for an answer elsewhere.

use std::time::Instant;

use crate::InstanceId;
use crate::ReadTicket;

/// Who waits for a round.
#[derive(Clone, Copy, Debug)]
pub(super) enum ReadOrigin {
    Local { ticket: ReadTicket, until: Instant },
    Member { instance: InstanceId, id: u64 },
}

/// A read at the leader and the round that confirms it.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaderRead {
    pub(super) origin: ReadOrigin,
    pub(super) round: u64,
}

/// Confirmation rounds of a leader; one round serves all reads that began before it.
#[derive(Debug, Default)]
pub(super) struct LeaderRounds {
    current: u64,
    confirmed: u64,
    pub(super) waiting: Vec<LeaderRead>,
}

impl LeaderRounds {
    pub(super) const fn current(&self) -> u64 {
        self.current
    }

    pub(super) const fn start(&mut self) {
        self.current += 1;
    }

    /// Adds a read to the next round; returns whether that round must start now.
    pub(super) fn push(&mut self, origin: ReadOrigin) -> bool {
        let idle = self.current == self.confirmed;
        self.waiting.push(LeaderRead {
            origin,
            round: self.current + 1,
        });
        idle
    }

    /// Notes that a quorum answered a round.
    pub(super) fn confirm(&mut self, round: u64) {
        self.confirmed = self.confirmed.max(round);
    }

    /// Takes the reads whose round a quorum answered.
    pub(super) fn take_confirmed(&mut self) -> Vec<LeaderRead> {
        let confirmed = self.confirmed;
        self.waiting
            .extract_if(.., |read| read.round <= confirmed)
            .collect()
    }

    /// Returns whether reads wait for a round and none is under way.
    pub(super) fn needs_round(&self) -> bool {
        self.current == self.confirmed && self.waiting.iter().any(|read| read.round > self.current)
    }
}

/// A local read that waits for a leader's answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingRead {
    pub(super) ticket: ReadTicket,
    pub(super) until: Instant,
}

/// A request to the leader that is under way, for all reads that began before it.
#[derive(Debug)]
pub(super) struct ForwardedRead {
    pub(super) id: u64,
    pub(super) reads: Vec<WaitingRead>,
    pub(super) resend_due: Instant,
}

/// Local reads of a member that does not lead.
#[derive(Debug)]
pub(super) struct ReadQueue {
    next_id: u64,
    pub(super) waiting: Vec<WaitingRead>,
    pub(super) sent: Option<ForwardedRead>,
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

    pub(super) const fn take_id(&mut self) -> u64 {
        let id = self.next_id;
        self.next_id = id.wrapping_add(1);
        id
    }

    pub(super) fn take_all(&mut self) -> Vec<WaitingRead> {
        let mut reads = std::mem::take(&mut self.waiting);
        if let Some(sent) = self.sent.take() {
            reads.extend(sent.reads);
        }
        reads
    }

    pub(super) fn take_expired(&mut self, now: Instant) -> Vec<WaitingRead> {
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

impl LeaderRounds {
    pub(super) fn take_expired(&mut self, now: Instant) -> Vec<ReadTicket> {
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
