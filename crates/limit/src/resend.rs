//! Detection of calls and requests that are sent again.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use model::ids::CallId;
use model::ids::Fingerprint;
use model::ids::RequestId;
use smallvec::SmallVec;

use crate::RetryAllowance;

/// Whether a call is a re-send and may proceed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResendVerdict {
    /// Seen for the first time.
    First,
    /// A re-send within its limit; it was counted against the limit.
    Charged,
    /// A re-send beyond its limit; it must be refused.
    Refused,
}

/// Tracks the sub-calls of parent calls in flight and the requests of callers.
///
/// A backend server that sends the same sub-call again under one parent spends
/// the parent's allowance. A caller that sends one request id again to this
/// node may do so a limited number of times within the window; across all
/// entry nodes each re-send costs a token of the team. See `docs/LIMITS.md`.
#[derive(Clone, Debug)]
pub struct ResendTracker<C> {
    clock: C,
    window: Duration,
    resends_max: u16,
    capacity: usize,
    sub_calls: HashMap<CallId, SmallVec<[Fingerprint; 4]>>,
    resend_counts: HashMap<RequestId, u16>,
    arrivals: VecDeque<Arrival>,
}

/// When a request id was first seen.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    request: RequestId,
    first_seen: Instant,
}

impl<C: Clock> ResendTracker<C> {
    /// Creates a tracker that allows `resends_max` re-sends of one request
    /// within `window` and remembers at most `capacity` requests.
    #[must_use]
    pub fn new(window: Duration, resends_max: u16, capacity: usize, clock: C) -> Self {
        Self {
            clock,
            window,
            resends_max,
            capacity,
            sub_calls: HashMap::new(),
            resend_counts: HashMap::new(),
            arrivals: VecDeque::new(),
        }
    }

    /// Checks a sub-call that a backend server sends under `parent`.
    pub fn check_sub_call(
        &mut self,
        parent: CallId,
        fingerprint: Fingerprint,
        allowance: &mut RetryAllowance,
    ) -> ResendVerdict {
        let seen = self.sub_calls.entry(parent).or_default();
        if !seen.contains(&fingerprint) {
            seen.push(fingerprint);
            return ResendVerdict::First;
        }
        if allowance.charge() {
            ResendVerdict::Charged
        } else {
            ResendVerdict::Refused
        }
    }

    /// Forgets the sub-calls of a parent that is no longer in flight.
    pub fn forget_parent(&mut self, parent: CallId) {
        self.sub_calls.remove(&parent);
    }

    /// Checks a request that a caller sends to this entry node.
    pub fn check_request(&mut self, request: RequestId) -> ResendVerdict {
        let now = self.clock.now();
        self.evict_old(now);
        if let Some(resends) = self.resend_counts.get_mut(&request) {
            if *resends >= self.resends_max {
                return ResendVerdict::Refused;
            }
            *resends += 1;
            return ResendVerdict::Charged;
        }
        self.resend_counts.insert(request, 0);
        self.arrivals.push_back(Arrival {
            request,
            first_seen: now,
        });
        ResendVerdict::First
    }

    fn evict_old(&mut self, now: Instant) {
        while let Some(oldest) = self.arrivals.front() {
            let old = now.saturating_duration_since(oldest.first_seen) >= self.window;
            if !old && self.arrivals.len() < self.capacity {
                break;
            }
            self.resend_counts.remove(&oldest.request);
            self.arrivals.pop_front();
        }
    }
}
