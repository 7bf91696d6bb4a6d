//! When the bytes of a connection arrived; no I/O.

use std::collections::VecDeque;
use std::time::Instant;

/// Most reads whose times are kept apart.
const READS_MAX: usize = 32;

/// Bytes up to `end`, counted from the start of the connection, had arrived by then.
#[derive(Clone, Copy, Debug)]
struct ArrivedRead {
    end: u64,
    at: Instant,
}

/// When the bytes arrived that are not used yet.
///
/// The time of a caller runs from when its request arrived, however long the request then waits
/// for the ones before it.
#[derive(Debug, Default)]
pub struct ArrivalTimes {
    reads: VecDeque<ArrivedRead>,
    received: u64,
}

impl ArrivalTimes {
    /// Notes that `bytes` more arrived.
    ///
    /// Beyond a number of reads, later ones count as if they had arrived with the last of those.
    pub fn note(&mut self, bytes: usize, at: Instant) {
        self.received += bytes as u64;
        let end = self.received;
        let is_full = self.reads.len() >= READS_MAX;
        match self.reads.back_mut() {
            Some(last) if is_full => last.end = end,
            _ => self.reads.push_back(ArrivedRead { end, at }),
        }
    }

    /// Returns when the last byte arrived that is used by now, where `unused` bytes are left; `None`
    /// if nothing has arrived.
    pub fn of_used(&mut self, unused: usize) -> Option<Instant> {
        let used = self.received - unused as u64;
        while self.reads.len() > 1 && self.reads[0].end < used {
            self.reads.pop_front();
        }
        self.reads.front().map(|read| read.at)
    }
}
