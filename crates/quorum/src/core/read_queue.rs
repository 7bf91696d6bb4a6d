//! Pending reads: they wait for a heartbeat round on the leader, and for the leader's reply
//! elsewhere.

use std::time::Instant;

use crate::InstanceId;
use crate::ReadId;

/// Origin of a read on the leader.
#[derive(Clone, Copy, Debug)]
pub(super) enum ReadOrigin {
    Local {
        read_id: ReadId,
        deadline: Instant,
    },
    Member {
        instance: InstanceId,
        request_id: u64,
    },
}

/// Read on the leader, and the heartbeat round that must be acknowledged before it completes.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaderRead {
    pub(super) origin: ReadOrigin,
    pub(super) round: u64,
}

/// Heartbeat rounds of a leader; one round serves all reads that arrived before it started.
#[derive(Debug, Default)]
pub(super) struct HeartbeatRounds {
    current: u64,
    confirmed: u64,
    pub(super) waiting: Vec<LeaderRead>,
}

impl HeartbeatRounds {
    pub(super) const fn current(&self) -> u64 {
        self.current
    }

    pub(super) const fn start(&mut self) {
        self.current += 1;
    }

    /// Adds a read to the next round; returns whether that round should be started now.
    pub(super) fn push(&mut self, origin: ReadOrigin) -> bool {
        let no_round_pending = self.current == self.confirmed;
        self.waiting.push(LeaderRead {
            origin,
            round: self.current + 1,
        });
        no_round_pending
    }

    /// Records that a quorum acknowledged a round.
    pub(super) fn confirm(&mut self, round: u64) {
        self.confirmed = self.confirmed.max(round);
    }

    /// Removes and returns the reads whose round a quorum acknowledged.
    pub(super) fn take_confirmed(&mut self) -> Vec<LeaderRead> {
        let confirmed = self.confirmed;
        self.waiting
            .extract_if(.., |read| read.round <= confirmed)
            .collect()
    }

    /// Returns whether reads wait for a round that has not started and no round is in progress.
    pub(super) fn needs_round(&self) -> bool {
        self.current == self.confirmed && self.waiting.iter().any(|read| read.round > self.current)
    }
}

/// Local read that waits for the leader's reply.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingRead {
    pub(super) read_id: ReadId,
    pub(super) deadline: Instant,
}

/// Outstanding request to the leader, for all reads that began before it was sent.
#[derive(Debug)]
pub(super) struct ForwardedRead {
    pub(super) request_id: u64,
    pub(super) reads: Vec<WaitingRead>,
    pub(super) resend_due: Instant,
}

/// Local reads of a member that is not the leader.
#[derive(Debug)]
pub(super) struct ReadQueue {
    next_request_id: u64,
    pub(super) waiting: Vec<WaitingRead>,
    pub(super) sent: Option<ForwardedRead>,
}

impl ReadQueue {
    pub(super) const fn new(first_request_id: u64) -> Self {
        Self {
            next_request_id: first_request_id,
            waiting: Vec::new(),
            sent: None,
        }
    }

    pub(super) fn next_due(&self) -> Option<Instant> {
        let expiry = self.waiting.iter().map(|read| read.deadline).min();
        let resend = self.sent.as_ref().map(|sent| sent.resend_due);
        [expiry, resend].into_iter().flatten().min()
    }

    pub(super) const fn take_request_id(&mut self) -> u64 {
        let request_id = self.next_request_id;
        self.next_request_id = request_id.wrapping_add(1);
        request_id
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
            .extract_if(.., |read| now >= read.deadline)
            .collect();
        if let Some(sent) = &mut self.sent {
            expired.extend(sent.reads.extract_if(.., |read| now >= read.deadline));
            if sent.reads.is_empty() {
                self.sent = None;
            }
        }
        expired
    }
}

impl HeartbeatRounds {
    pub(super) fn take_expired(&mut self, now: Instant) -> Vec<ReadId> {
        self.waiting
            .extract_if(
                ..,
                |read| matches!(read.origin, ReadOrigin::Local { deadline, .. } if now >= deadline),
            )
            .filter_map(|read| match read.origin {
                ReadOrigin::Local { read_id, .. } => Some(read_id),
                ReadOrigin::Member { .. } => None,
            })
            .collect()
    }

    /// Removes and returns the local reads when the leader steps down; the reads of other members
    /// are dropped, because those send their requests again.
    pub(super) fn take_local(&mut self) -> Vec<(ReadId, Instant)> {
        self.waiting
            .drain(..)
            .filter_map(|read| match read.origin {
                ReadOrigin::Local { read_id, deadline } => Some((read_id, deadline)),
                ReadOrigin::Member { .. } => None,
            })
            .collect()
    }
}

impl ReadQueue {
    /// Takes over the local reads of this member after it stepped down as the leader.
    pub(super) fn requeue(&mut self, reads: Vec<(ReadId, Instant)>) {
        self.waiting.extend(
            reads
                .into_iter()
                .map(|(read_id, deadline)| WaitingRead { read_id, deadline }),
        );
    }
}
