//! Refuses quarantined requests and isolates crash suspects, at the node that receives them.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use model::exchange::QuarantineNotice;
use model::ids::Fingerprint;
use model::ids::ServiceName;
use model::verdict::CallFailure;
use model::verdict::FailureCause;

use crate::CompletedCalls;
use crate::suspect_registry::REFUSAL_MS;

/// Time after the end of its refusal for which a suspect may run only as a probe, in seconds.
const PROBE_ONLY_S: u64 = 600;
/// Minimum length of a refusal that is extended each time the request is sent again, in seconds.
const EXTENDED_MIN_S: u64 = 300;
/// Maximum age of the last update from control at which a suspect may be probed, in
/// milliseconds.
///
/// An older update may not yet include that the suspect crashed a second backend server.
const UPDATE_AGE_MAX_MS: u64 = 200;
/// Retry delay returned to a suspect that may not be probed yet, in milliseconds.
const PROBE_RETRY_MS: u32 = 100;
/// Maximum number of suspects kept at a node.
const SUSPECTS_MAX: usize = 8192;
/// Suspects evicted at once, oldest first, when there are too many.
const EVICTED_AT_ONCE: usize = 1024;

/// Decision of the crash quarantine on a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineDecision {
    /// The call is no suspect and may run.
    Run,
    /// The call is a suspect and may run now, as a probe; no other suspect runs until it ends.
    Probe,
    /// The call must not run now.
    Refuse(CallFailure),
}

/// State of one suspect.
#[derive(Clone, Copy, Debug)]
struct SuspectState {
    refused_until: Instant,
    expires_at: Instant,
    /// Time by which each further refusal extends the quarantine, if it is extended.
    extension: Option<Duration>,
}

/// Quarantine at the node of one backend server, for requests that may crash it.
///
/// Quarantined requests are refused. Suspects of a single crash run one at a
/// time, as probes, so that a further crash has a single suspect.
#[derive(Clone, Debug)]
pub struct CrashQuarantine<C> {
    clock: C,
    service: ServiceName,
    suspects: HashMap<Fingerprint, SuspectState>,
    /// The suspect that runs now.
    probe: Option<Fingerprint>,
    /// When control sent the last update.
    updated_at: Option<Instant>,
    completed: CompletedCalls,
}

impl<C: Clock> CrashQuarantine<C> {
    /// Creates a quarantine without suspects, for the backend server of `service`.
    #[must_use]
    pub fn new(clock: C, service: ServiceName) -> Self {
        Self {
            clock,
            service,
            suspects: HashMap::new(),
            probe: None,
            updated_at: None,
            completed: CompletedCalls::default(),
        }
    }

    /// Applies an update from control; notices for other services are ignored.
    ///
    /// Call it for every reply of control, also without notices: suspects are
    /// probed only shortly after a reply.
    pub fn update(&mut self, notices: &[QuarantineNotice]) {
        let now = self.clock.now();
        self.updated_at = Some(now);
        for notice in notices {
            if notice.service == self.service {
                self.refuse(notice, now);
            }
        }
    }

    /// Decides whether a call may run; [`Self::record_end`] must be called when a
    /// [`QuarantineDecision::Probe`] ends.
    pub fn check(&mut self, fingerprint: Fingerprint) -> QuarantineDecision {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return QuarantineDecision::Run;
        };
        let now = self.clock.now();
        if now < suspect.refused_until {
            if let Some(extension) = suspect.extension {
                suspect.refused_until = now + extension;
                suspect.expires_at = suspect.refused_until + Duration::from_secs(PROBE_ONLY_S);
            }
            return QuarantineDecision::Refuse(quarantined(suspect.refused_until - now));
        }
        if now >= suspect.expires_at {
            self.suspects.remove(&fingerprint);
            return QuarantineDecision::Run;
        }
        let max_age = Duration::from_millis(UPDATE_AGE_MAX_MS);
        let is_fresh = self
            .updated_at
            .is_some_and(|updated_at| now < updated_at + max_age);
        if self.probe.is_some() || !is_fresh {
            let retry_after = Duration::from_millis(u64::from(PROBE_RETRY_MS));
            return QuarantineDecision::Refuse(quarantined(retry_after));
        }
        self.probe = Some(fingerprint);
        QuarantineDecision::Probe
    }

    /// Records that a call that was allowed to run has ended.
    ///
    /// A call that completed is cleared; one that was cancelled or shed stays a suspect.
    pub fn record_end(&mut self, fingerprint: Fingerprint, completed: bool) {
        if self.probe == Some(fingerprint) {
            self.probe = None;
        }
        if completed {
            self.suspects.remove(&fingerprint);
            let at = self.clock.now();
            self.completed.insert(fingerprint, at);
        }
    }

    /// Records a crash of the backend server and returns the suspects.
    ///
    /// These are the calls in flight, except those that completed here recently. They are
    /// refused here at once, before control tells the other nodes.
    pub fn record_crash(&mut self, in_flight: &[Fingerprint]) -> Vec<Fingerprint> {
        self.probe = None;
        let now = self.clock.now();
        let suspects = in_flight.iter().copied();
        let suspects: Vec<Fingerprint> = suspects
            .filter(|fingerprint| !self.completed.contains(*fingerprint, now))
            .collect();
        self.refuse_suspects(&suspects, now);
        suspects
    }

    /// Adds suspects that another node of the service reports directly.
    ///
    /// They are refused at once, since control reports them only with its next
    /// reply. Such a report is no update from control, so it allows no probe.
    pub fn add_reported(&mut self, suspects: &[Fingerprint]) {
        let now = self.clock.now();
        let suspects = suspects.iter().copied();
        let suspects: Vec<Fingerprint> = suspects
            .filter(|fingerprint| !self.completed.contains(*fingerprint, now))
            .collect();
        self.refuse_suspects(&suspects, now);
    }

    fn refuse_suspects(&mut self, suspects: &[Fingerprint], now: Instant) {
        for fingerprint in suspects {
            let notice = QuarantineNotice {
                service: self.service.clone(),
                fingerprint: *fingerprint,
                time_left: Duration::from_millis(REFUSAL_MS),
            };
            self.refuse(&notice, now);
        }
    }

    /// Refuses a fingerprint until its notice ends.
    fn refuse(&mut self, notice: &QuarantineNotice, now: Instant) {
        if self.suspects.len() >= SUSPECTS_MAX && !self.suspects.contains_key(&notice.fingerprint) {
            self.evict(now);
        }
        let refused_until = now + notice.time_left;
        let extension = Some(notice.time_left).filter(|left| left.as_secs() >= EXTENDED_MIN_S);
        let suspect = SuspectState {
            refused_until,
            expires_at: refused_until + Duration::from_secs(PROBE_ONLY_S),
            extension,
        };
        let known = self.suspects.entry(notice.fingerprint).or_insert(suspect);
        if known.refused_until < refused_until {
            *known = suspect;
        }
    }

    fn evict(&mut self, now: Instant) {
        self.suspects.retain(|_, suspect| suspect.expires_at > now);
        if self.suspects.len() >= SUSPECTS_MAX {
            let mut order: Vec<_> = self.suspects.iter().collect();
            order.sort_unstable_by_key(|(_, suspect)| suspect.expires_at);
            let oldest = order.into_iter().take(EVICTED_AT_ONCE);
            let oldest: Vec<Fingerprint> = oldest.map(|(fingerprint, _)| *fingerprint).collect();
            for fingerprint in oldest {
                self.suspects.remove(&fingerprint);
            }
        }
    }
}

fn quarantined(retry_after: Duration) -> CallFailure {
    let retry_after_ms = u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX);
    CallFailure::not_run(FailureCause::Quarantined).retry_after_ms(retry_after_ms)
}
