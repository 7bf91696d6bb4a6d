//! Registry, at a control instance, of requests suspected of crashing backend servers.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use model::exchange::CrashReport;
use model::exchange::QuarantineNotice;
use model::ids::Fingerprint;
use model::ids::NodeId;
use model::ids::ServiceName;

/// Time for which a suspect of one crash is refused until all nodes know of it, in milliseconds.
pub(crate) const REFUSAL_MS: u64 = 1500;
/// Time for which a suspect of one crash is remembered, in seconds.
const SUSPECT_RETENTION_S: u64 = 600;
/// Quarantine of the only request that two crashes have in common, in seconds.
const QUARANTINE_S: u64 = 3600;
/// Quarantine when two crashes have several requests in common, in seconds.
const AMBIGUOUS_S: u64 = 60;
/// Maximum number of suspects, over all services.
const SUSPECTS_MAX: usize = 8192;
/// Suspects evicted at once when there are too many: those with the fewest crashes first, and
/// the oldest first among equals.
const EVICTED_AT_ONCE: usize = 1024;
/// Maximum number of suspects read from one report.
const SUSPECTS_PER_REPORT_MAX: usize = 1024;
/// Maximum number of crashes remembered to ignore repeated reports.
const CRASHES_MAX: usize = 1024;

/// Key of one suspect.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct SuspectKey {
    service: ServiceName,
    fingerprint: Fingerprint,
}

/// Key of one crash.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct CrashKey {
    node: NodeId,
    crash: u32,
}

/// State of one suspect.
#[derive(Clone, Copy, Debug)]
struct SuspectRecord {
    crashes: u32,
    refused_until: Instant,
    expires_at: Instant,
}

/// Crash suspects of all services, kept by a control instance in bounded memory.
///
/// A crash makes every request in flight a suspect. It is refused for a short time,
/// until every node knows of it, and then no two suspects run at the same time (see
/// [`CrashQuarantine`](crate::CrashQuarantine)). So a second crash has a single suspect, its
/// cause; any other suspect is cleared when it completes. See `docs/ADMISSION.md`.
#[derive(Clone, Debug)]
pub struct SuspectRegistry<C> {
    clock: C,
    suspects: HashMap<SuspectKey, SuspectRecord>,
    crashes: HashMap<CrashKey, Instant>,
}

impl<C: Clock> SuspectRegistry<C> {
    /// Creates a registry without suspects.
    #[must_use]
    pub fn new(clock: C) -> Self {
        Self {
            clock,
            suspects: HashMap::new(),
            crashes: HashMap::new(),
        }
    }

    /// Adds a crash and returns the fingerprints that it quarantines.
    ///
    /// A crash that was already reported is ignored.
    pub fn record_crash(&mut self, report: &CrashReport) -> Vec<Fingerprint> {
        let now = self.clock.now();
        if !self.remember_crash(report, now) {
            return Vec::new();
        }
        let reported = &report.suspects[..report.suspects.len().min(SUSPECTS_PER_REPORT_MAX)];
        let mut fingerprints = reported.to_vec();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        let repeated = self.repeated(&report.service, &fingerprints, now);
        for fingerprint in fingerprints {
            let known = repeated.contains(&fingerprint);
            self.add_suspect(report, fingerprint, known, repeated.len(), now);
        }
        repeated
    }

    /// Removes a suspect, since it completed.
    pub fn clear_suspect(&mut self, service: &ServiceName, fingerprint: Fingerprint) {
        self.suspects.remove(&SuspectKey {
            service: service.clone(),
            fingerprint,
        });
    }

    /// Returns the fingerprints that nodes must refuse now, and for how long.
    #[must_use]
    pub fn notices(&self) -> Vec<QuarantineNotice> {
        let now = self.clock.now();
        let refused = self
            .suspects
            .iter()
            .filter(|(_, record)| record.refused_until > now);
        let notices = refused.map(|(key, record)| QuarantineNotice {
            service: key.service.clone(),
            fingerprint: key.fingerprint,
            time_left: record.refused_until - now,
        });
        notices.collect()
    }

    /// Remembers a crash; returns whether it was unknown.
    fn remember_crash(&mut self, report: &CrashReport, now: Instant) -> bool {
        let retention = Duration::from_secs(SUSPECT_RETENTION_S);
        if self.crashes.len() >= CRASHES_MAX {
            self.crashes.retain(|_, seen_at| now < *seen_at + retention);
        }
        if self.crashes.len() >= CRASHES_MAX {
            let oldest = self.crashes.iter().min_by_key(|(_, seen_at)| **seen_at);
            let oldest = oldest.map(|(key, _)| *key);
            oldest.map(|key| self.crashes.remove(&key));
        }
        let key = CrashKey {
            node: report.node,
            crash: report.crash,
        };
        self.crashes.insert(key, now).is_none()
    }

    /// Returns the fingerprints that were suspects before.
    fn repeated(
        &self,
        service: &ServiceName,
        fingerprints: &[Fingerprint],
        now: Instant,
    ) -> Vec<Fingerprint> {
        let repeated = fingerprints.iter().filter(|fingerprint| {
            let key = SuspectKey {
                service: service.clone(),
                fingerprint: **fingerprint,
            };
            let record = self.suspects.get(&key);
            record.is_some_and(|record| record.expires_at > now)
        });
        repeated.copied().collect()
    }

    /// Adds a suspect, or counts another crash of a known one.
    fn add_suspect(
        &mut self,
        report: &CrashReport,
        fingerprint: Fingerprint,
        known: bool,
        candidates: usize,
        now: Instant,
    ) {
        let key = SuspectKey {
            service: report.service.clone(),
            fingerprint,
        };
        let earlier = self.suspects.get(&key).filter(|_| known);
        let crashes = earlier.map_or(0, |record| record.crashes) + 1;
        let refused = match (crashes, candidates) {
            (1, _) => Duration::from_millis(REFUSAL_MS),
            (2, 2..) => Duration::from_secs(AMBIGUOUS_S),
            _ => Duration::from_secs(QUARANTINE_S),
        };
        let refused_until = now + refused;
        let record = SuspectRecord {
            crashes,
            refused_until,
            expires_at: refused_until + Duration::from_secs(SUSPECT_RETENTION_S),
        };
        self.evict(now);
        self.suspects.insert(key, record);
    }

    fn evict(&mut self, now: Instant) {
        if self.suspects.len() < SUSPECTS_MAX {
            return;
        }
        self.suspects.retain(|_, record| record.expires_at > now);
        if self.suspects.len() < SUSPECTS_MAX {
            return;
        }
        let mut order: Vec<_> = self
            .suspects
            .iter()
            .map(|(key, record)| (record.crashes, record.expires_at, key.clone()))
            .collect();
        order.sort_unstable_by_key(|(crashes, expires_at, _)| (*crashes, *expires_at));
        for (_, _, key) in order.into_iter().take(EVICTED_AT_ONCE) {
            self.suspects.remove(&key);
        }
    }
}
