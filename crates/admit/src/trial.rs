//! What a receiving node does with quarantined requests and crash suspects.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use model::exchange::QuarantineNotice;
use model::ids::Fingerprint;
use model::ids::ServiceName;
use model::verdict::CallFailure;
use model::verdict::FailureCause;

use crate::suspect::HOLD_MS;

/// Time for which a suspect runs only alone after its refusal ended, in seconds.
const TRIAL_S: u64 = 600;
/// Refusals at least this long are kept up for as long as the request is re-sent, in seconds.
const STICKY_S: u64 = 300;
/// Age of the last word from control up to which a suspect may be tried, in milliseconds.
///
/// An older one may not tell yet that the suspect crashed a second backend server.
const FRESH_MS: u64 = 200;
/// Delay named to a suspect that waits for another one's trial, in milliseconds.
const TRIAL_RETRY_MS: u32 = 100;
/// Suspects remembered at a node.
const SUSPECTS_MAX: usize = 8192;
/// Suspects evicted together, oldest first, when there are too many.
const EVICTED_AT_ONCE: usize = 1024;
/// Completed fingerprints remembered at a node; a power of two.
const COMPLETED_SLOTS: usize = 4096;
/// Time for which a completion clears a fingerprint of later crashes, in seconds.
const COMPLETED_S: u64 = 60;

/// What to do with a call, as far as crashes are concerned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TrialDecision {
    /// Nothing is held against it.
    Run,
    /// It is a suspect and may run now; no other suspect runs until it ended.
    Trial,
    /// It must not run now.
    Refuse(CallFailure),
}

/// What is held against one fingerprint.
#[derive(Clone, Copy, Debug)]
struct HeldSuspect {
    refused_until: Instant,
    forgotten_at: Instant,
    sticky: Option<Duration>,
}

/// One remembered completion.
#[derive(Clone, Copy, Debug)]
struct CompletedCall {
    fingerprint: Fingerprint,
    at: Instant,
}

/// Crash suspects as the node beside one backend server treats them.
///
/// Quarantined requests are refused. Suspects of a single crash run one at a
/// time, so that a further crash has one suspect only.
#[derive(Clone, Debug)]
pub struct TrialBook<C> {
    clock: C,
    service: ServiceName,
    held: HashMap<Fingerprint, HeldSuspect>,
    trial: Option<Fingerprint>,
    updated: Option<Instant>,
    completed: Box<[Option<CompletedCall>]>,
}

impl<C: Clock> TrialBook<C> {
    /// Creates a book for the backend server of `service`.
    #[must_use]
    pub fn new(clock: C, service: ServiceName) -> Self {
        Self {
            clock,
            service,
            held: HashMap::new(),
            trial: None,
            updated: None,
            completed: vec![None; COMPLETED_SLOTS].into_boxed_slice(),
        }
    }

    /// Takes over what control says is refused; notices for other services are ignored.
    ///
    /// Call it for every answer of control, also without notices: suspects are
    /// tried only shortly after one.
    pub fn update(&mut self, notices: &[QuarantineNotice]) {
        let now = self.clock.now();
        self.updated = Some(now);
        for notice in notices {
            if notice.service == self.service {
                self.hold(notice, now);
            }
        }
    }

    /// Decides whether a call may run; a [`TrialDecision::Trial`] must be ended by [`Self::ended`].
    pub fn check(&mut self, fingerprint: Fingerprint) -> TrialDecision {
        let Some(held) = self.held.get_mut(&fingerprint) else {
            return TrialDecision::Run;
        };
        let now = self.clock.now();
        if now < held.refused_until {
            if let Some(length) = held.sticky {
                held.refused_until = now + length;
                held.forgotten_at = held.refused_until + Duration::from_secs(TRIAL_S);
            }
            return TrialDecision::Refuse(quarantined(held.refused_until - now));
        }
        if now >= held.forgotten_at {
            self.held.remove(&fingerprint);
            return TrialDecision::Run;
        }
        let fresh = Duration::from_millis(FRESH_MS);
        let is_fresh = self.updated.is_some_and(|updated| now < updated + fresh);
        if self.trial.is_some() || !is_fresh {
            let wait = Duration::from_millis(u64::from(TRIAL_RETRY_MS));
            return TrialDecision::Refuse(quarantined(wait));
        }
        self.trial = Some(fingerprint);
        TrialDecision::Trial
    }

    /// Notes that a call that was allowed to run has ended.
    ///
    /// A completed call is cleared; one that was cancelled or shed stays a suspect.
    pub fn ended(&mut self, fingerprint: Fingerprint, completed: bool) {
        if self.trial == Some(fingerprint) {
            self.trial = None;
        }
        if completed {
            self.held.remove(&fingerprint);
            let at = self.clock.now();
            self.completed[slot(fingerprint)] = Some(CompletedCall { fingerprint, at });
        }
    }

    /// Notes that the backend server died and returns what may have caused it.
    ///
    /// Of `in_flight`, what completed here lately is left out. The suspects are
    /// held here at once, before control tells the other nodes.
    pub fn crashed(&mut self, in_flight: &[Fingerprint]) -> Vec<Fingerprint> {
        self.trial = None;
        let now = self.clock.now();
        let suspects = in_flight.iter().copied();
        let suspects: Vec<Fingerprint> = suspects
            .filter(|fingerprint| !self.completed_lately(*fingerprint, now))
            .collect();
        self.hold_suspects(&suspects, now);
        suspects
    }

    /// Takes over suspects that another node of the service tells of directly.
    ///
    /// They are held at once, since control tells of them only with the next
    /// exchange. It is no word from control, so it allows no trial.
    pub fn told(&mut self, suspects: &[Fingerprint]) {
        let now = self.clock.now();
        let suspects = suspects.iter().copied();
        let suspects: Vec<Fingerprint> = suspects
            .filter(|fingerprint| !self.completed_lately(*fingerprint, now))
            .collect();
        self.hold_suspects(&suspects, now);
    }

    fn hold_suspects(&mut self, suspects: &[Fingerprint], now: Instant) {
        for fingerprint in suspects {
            let notice = QuarantineNotice {
                service: self.service.clone(),
                fingerprint: *fingerprint,
                time_left: Duration::from_millis(HOLD_MS),
            };
            self.hold(&notice, now);
        }
    }

    fn completed_lately(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        let call = self.completed[slot(fingerprint)];
        call.is_some_and(|call| {
            call.fingerprint == fingerprint && now < call.at + Duration::from_secs(COMPLETED_S)
        })
    }

    fn hold(&mut self, notice: &QuarantineNotice, now: Instant) {
        if self.held.len() >= SUSPECTS_MAX && !self.held.contains_key(&notice.fingerprint) {
            self.make_room(now);
        }
        let refused_until = now + notice.time_left;
        let sticky = Some(notice.time_left).filter(|left| left.as_secs() >= STICKY_S);
        let held = HeldSuspect {
            refused_until,
            forgotten_at: refused_until + Duration::from_secs(TRIAL_S),
            sticky,
        };
        let known = self.held.entry(notice.fingerprint).or_insert(held);
        if known.refused_until < refused_until {
            *known = held;
        }
    }

    fn make_room(&mut self, now: Instant) {
        self.held.retain(|_, held| held.forgotten_at > now);
        if self.held.len() >= SUSPECTS_MAX {
            let mut order: Vec<_> = self.held.iter().collect();
            order.sort_unstable_by_key(|(_, held)| held.forgotten_at);
            let oldest = order.into_iter().take(EVICTED_AT_ONCE);
            let oldest: Vec<Fingerprint> = oldest.map(|(fingerprint, _)| *fingerprint).collect();
            for fingerprint in oldest {
                self.held.remove(&fingerprint);
            }
        }
    }
}

fn slot(fingerprint: Fingerprint) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        reason = "only the low bits are kept"
    )]
    let slot = fingerprint as usize;
    slot % COMPLETED_SLOTS
}

fn quarantined(wait: Duration) -> CallFailure {
    let wait_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
    CallFailure::not_run(FailureCause::Quarantined).retry_after_ms(wait_ms)
}
