//! Requests that crash the backend servers that run them, as the control group records them.
//!
//! See "Requests that crash backend servers" in `docs/PLATFORM.md`.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use model::exchange::CrashReport;
use model::ids::Fingerprint;
use model::ids::NodeId;
use serde::Deserialize;
use serde::Serialize;

/// Number of crashes after which a request is refused whatever else ran beside it.
const CRASHES_MAX: u32 = 3;
/// Quarantine of a request that ran in that many crashes, in seconds.
const QUARANTINE_S: u64 = 3_600;
/// Quarantine of the only request that two crashes have in common, in seconds. It may be one that
/// was only unlucky.
const SOLE_SUSPECT_S: u64 = 60;
/// Time between two crashes below which they may have the same other cause, such as a rack that
/// fails, in milliseconds.
const SAME_CAUSE_MS: u64 = 1_000;
/// Time after its last crash for which a suspect is remembered, in seconds.
const RETENTION_S: u64 = 600;
/// Most suspects read from one report.
const MAX_SUSPECTS_PER_CRASH: usize = 1_024;
/// Most suspects that are remembered.
const MAX_SUSPECTS: usize = 4_096;
/// Suspects that are forgotten at once when there are too many.
const EVICTED_AT_ONCE: usize = 512;
/// Most crashes that are remembered, so that one that is reported again counts once.
const MAX_CRASHES: usize = 1_024;

/// Version of the quarantine; 0 while nothing was quarantined.
pub type QuarantineVersion = u64;

/// A request that must be refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct QuarantinedRequest {
    /// Fingerprint of the request, equal for every time that it is sent.
    pub fingerprint: Fingerprint,
    /// Time until the quarantine ends.
    pub time_left: Duration,
}

/// All requests that must be refused.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct QuarantineList {
    /// Increases with every addition.
    pub version: QuarantineVersion,
    /// The requests.
    pub requests: Vec<QuarantinedRequest>,
}

/// One crash, at the node that reported it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct CrashKey {
    node: NodeId,
    crash: u32,
}

/// A request that ran at the time of a crash; times are Unix milliseconds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
struct SuspectRecord {
    crashes: u32,
    last_crash_ms: u64,
    refused_until_ms: u64,
}

impl SuspectRecord {
    /// Returns whether the record is of use at a time.
    const fn is_current(&self, at_ms: u64) -> bool {
        let retained_until = self.last_crash_ms.saturating_add(RETENTION_S * 1_000);
        at_ms < retained_until || at_ms < self.refused_until_ms
    }
}

/// The requests that ran when backend servers crashed; bounded in memory.
///
/// Every change carries its own time, so that all replicas come to the same state.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct SuspectTable {
    suspects: BTreeMap<Fingerprint, SuspectRecord>,
    crashes: VecDeque<CrashKey>,
    version: QuarantineVersion,
}

impl SuspectTable {
    /// Adds a crash of which the leader heard at `at_ms`, in Unix milliseconds; `version` must be
    /// above all earlier ones. A crash that is known changes nothing.
    pub fn record(&mut self, report: &CrashReport, at_ms: u64, version: QuarantineVersion) {
        if !self.remember(report) {
            return;
        }
        self.suspects.retain(|_, record| record.is_current(at_ms));
        let reported = report.suspects.len().min(MAX_SUSPECTS_PER_CRASH);
        let mut fingerprints = report.suspects[..reported].to_vec();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        let is_sole = self.count_earlier(&fingerprints) == 1;
        for fingerprint in fingerprints {
            let record = self.suspects.entry(fingerprint).or_default();
            let is_apart = at_ms >= record.last_crash_ms.saturating_add(SAME_CAUSE_MS);
            record.crashes += 1;
            record.last_crash_ms = at_ms;
            let refused_s = match record.crashes {
                CRASHES_MAX.. => QUARANTINE_S,
                2 if is_sole && is_apart => SOLE_SUSPECT_S,
                _ => continue,
            };
            record.refused_until_ms = at_ms.saturating_add(refused_s * 1_000);
            self.version = version;
        }
        self.evict();
    }

    /// Returns the requests that must be refused at `now_ms`, in Unix milliseconds.
    #[must_use]
    pub fn quarantine(&self, now_ms: u64) -> QuarantineList {
        let refused = self
            .suspects
            .iter()
            .filter(|(_, record)| record.refused_until_ms > now_ms);
        let requests = refused.map(|(fingerprint, record)| QuarantinedRequest {
            fingerprint: *fingerprint,
            time_left: Duration::from_millis(record.refused_until_ms - now_ms),
        });
        QuarantineList {
            version: self.version,
            requests: requests.collect(),
        }
    }

    /// Returns the version of the quarantine.
    #[must_use]
    pub const fn version(&self) -> QuarantineVersion {
        self.version
    }

    /// Remembers a crash; returns whether it was unknown.
    fn remember(&mut self, report: &CrashReport) -> bool {
        let key = CrashKey {
            node: report.node,
            crash: report.crash,
        };
        if self.crashes.contains(&key) {
            return false;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back(key);
        true
    }

    /// Returns how many of the requests ran in an earlier crash too.
    fn count_earlier(&self, fingerprints: &[Fingerprint]) -> usize {
        let known = |fingerprint: &&Fingerprint| self.suspects.contains_key(*fingerprint);
        fingerprints.iter().filter(known).count()
    }

    /// Forgets suspects of the fewest crashes, the oldest first, when there are too many.
    fn evict(&mut self) {
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        let mut order: Vec<_> = self
            .suspects
            .iter()
            .map(|(fingerprint, record)| (record.crashes, record.last_crash_ms, *fingerprint))
            .collect();
        order.sort_unstable();
        let excess = self.suspects.len() - MAX_SUSPECTS + EVICTED_AT_ONCE;
        for (_, _, fingerprint) in order.into_iter().take(excess) {
            self.suspects.remove(&fingerprint);
        }
    }
}
