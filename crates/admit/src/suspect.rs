//! Requests suspected of crashing backend servers, as a control instance keeps them.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use model::exchange::CrashReport;
use model::exchange::QuarantineNotice;
use model::ids::Fingerprint;
use model::ids::NodeId;
use model::ids::ServiceName;

/// Time for which a suspect of one crash is refused, so that all nodes learn of it, in milliseconds.
pub(crate) const HOLD_MS: u64 = 1500;
/// Time for which a suspect of one crash is remembered, in seconds.
const SUSPECT_S: u64 = 600;
/// Quarantine of the only request that two crashes have in common, in seconds.
const QUARANTINE_S: u64 = 3600;
/// Quarantine when two crashes have several requests in common, in seconds.
const AMBIGUOUS_S: u64 = 60;
/// Suspects remembered for all services together.
const SUSPECTS_MAX: usize = 8192;
/// Suspects evicted together, least crashes and oldest first, when there are too many.
const EVICTED_AT_ONCE: usize = 1024;
/// Suspects taken from one report.
const REPORTED_MAX: usize = 1024;
/// Crashes remembered, so that a repeated report counts once.
const CRASHES_MAX: usize = 1024;

/// Names one suspect.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct SuspectKey {
    service: ServiceName,
    fingerprint: Fingerprint,
}

/// Names one crash.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct CrashKey {
    node: NodeId,
    crash: u32,
}

/// What is known of one suspect.
#[derive(Clone, Copy, Debug)]
struct SuspectRecord {
    crashes: u32,
    refused_until: Instant,
    forgotten_at: Instant,
}

/// Crash suspects of all services, kept by a control instance in bounded memory.
///
/// One crash makes everything in flight a suspect: it is refused for a moment,
/// until every node knows it, and then runs only alone (see
/// [`TrialBook`](crate::TrialBook)). So a second crash has one suspect, the
/// culprit, and innocents are cleared by completing. See `docs/ADMISSION.md`.
#[derive(Clone, Debug)]
pub struct SuspectBook<C> {
    clock: C,
    suspects: HashMap<SuspectKey, SuspectRecord>,
    crashes: HashMap<CrashKey, Instant>,
}

impl<C: Clock> SuspectBook<C> {
    /// Creates a book without suspects.
    #[must_use]
    pub fn new(clock: C) -> Self {
        Self {
            clock,
            suspects: HashMap::new(),
            crashes: HashMap::new(),
        }
    }

    /// Takes over a crash and returns the fingerprints that it quarantines.
    ///
    /// A crash that was already reported changes nothing.
    pub fn record(&mut self, report: &CrashReport) -> Vec<Fingerprint> {
        let now = self.clock.now();
        if !self.is_new(report, now) {
            return Vec::new();
        }
        let reported = &report.suspects[..report.suspects.len().min(REPORTED_MAX)];
        let mut seen = reported.to_vec();
        seen.sort_unstable();
        seen.dedup();
        let repeated = self.repeated(&report.service, &seen, now);
        for fingerprint in seen {
            let known = repeated.contains(&fingerprint);
            self.suspect(report, fingerprint, known, repeated.len(), now);
        }
        repeated
    }

    /// Clears a suspect that completed.
    pub fn exonerate(&mut self, service: &ServiceName, fingerprint: Fingerprint) {
        self.suspects.remove(&SuspectKey {
            service: service.clone(),
            fingerprint,
        });
    }

    /// Returns what nodes must refuse now, and for how long.
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

    fn is_new(&mut self, report: &CrashReport, now: Instant) -> bool {
        let memory = Duration::from_secs(SUSPECT_S);
        if self.crashes.len() >= CRASHES_MAX {
            self.crashes.retain(|_, seen| now < *seen + memory);
        }
        if self.crashes.len() >= CRASHES_MAX {
            let oldest = self.crashes.iter().min_by_key(|(_, seen)| **seen);
            let oldest = oldest.map(|(key, _)| *key);
            oldest.map(|key| self.crashes.remove(&key));
        }
        let key = CrashKey {
            node: report.node,
            crash: report.crash,
        };
        self.crashes.insert(key, now).is_none()
    }

    fn repeated(
        &self,
        service: &ServiceName,
        seen: &[Fingerprint],
        now: Instant,
    ) -> Vec<Fingerprint> {
        let repeated = seen.iter().filter(|fingerprint| {
            let key = SuspectKey {
                service: service.clone(),
                fingerprint: **fingerprint,
            };
            let record = self.suspects.get(&key);
            record.is_some_and(|record| record.forgotten_at > now)
        });
        repeated.copied().collect()
    }

    fn suspect(
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
            (1, _) => Duration::from_millis(HOLD_MS),
            (2, 2..) => Duration::from_secs(AMBIGUOUS_S),
            _ => Duration::from_secs(QUARANTINE_S),
        };
        let refused_until = now + refused;
        let record = SuspectRecord {
            crashes,
            refused_until,
            forgotten_at: refused_until + Duration::from_secs(SUSPECT_S),
        };
        self.make_room(now);
        self.suspects.insert(key, record);
    }

    fn make_room(&mut self, now: Instant) {
        if self.suspects.len() < SUSPECTS_MAX {
            return;
        }
        self.suspects.retain(|_, record| record.forgotten_at > now);
        if self.suspects.len() < SUSPECTS_MAX {
            return;
        }
        let mut order: Vec<_> = self
            .suspects
            .iter()
            .map(|(key, record)| (record.crashes, record.forgotten_at, key.clone()))
            .collect();
        order.sort_unstable_by_key(|(crashes, forgotten_at, _)| (*crashes, *forgotten_at));
        for (_, _, key) in order.into_iter().take(EVICTED_AT_ONCE) {
            self.suspects.remove(&key);
        }
    }
}
