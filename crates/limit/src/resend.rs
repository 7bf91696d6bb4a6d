//! Recognises calls that are sent again.

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

/// Whether a call may go on as far as re-sends are concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResendVerdict {
    /// Seen for the first time.
    First,
    /// A re-send within its bound, and charged.
    Charged,
    /// A re-send beyond its bound; it must be refused.
    Refused,
}

/// Remembers sub-calls of living parents and requests of callers.
///
/// A backend server that sends the same sub-call again under one parent pays
/// from the parent's allowance. A caller that sends one request id again at
/// this node is bounded within the window; over all entry nodes each re-send
/// costs a token of the team. See `docs/LIMITS.md`, "Re-sends".
#[derive(Clone, Debug)]
pub struct ResendBook<C> {
    clock: C,
    window: Duration,
    caller_resends: u16,
    capacity: usize,
    parents: HashMap<CallId, SmallVec<[Fingerprint; 4]>>,
    requests: HashMap<RequestId, u16>,
    arrivals: VecDeque<Arrival>,
}

/// When a request id was first seen.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    request: RequestId,
    at: Instant,
}

impl<C: Clock> ResendBook<C> {
    /// Creates a book that lets a caller re-send one request `caller_resends`
    /// times within `window` and remembers at most `capacity` requests.
    #[must_use]
    pub fn new(window: Duration, caller_resends: u16, capacity: usize, clock: C) -> Self {
        Self {
            clock,
            window,
            caller_resends,
            capacity,
            parents: HashMap::new(),
            requests: HashMap::new(),
            arrivals: VecDeque::new(),
        }
    }

    /// Judges a sub-call that a backend server sends under `parent`.
    pub fn sub_call(
        &mut self,
        parent: CallId,
        fingerprint: Fingerprint,
        allowance: &mut RetryAllowance,
    ) -> ResendVerdict {
        let seen = self.parents.entry(parent).or_default();
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
    pub fn parent_ended(&mut self, parent: CallId) {
        self.parents.remove(&parent);
    }

    /// Judges a request that a caller sends to this entry node.
    pub fn arrival(&mut self, request: RequestId) -> ResendVerdict {
        let now = self.clock.now();
        self.forget_old(now);
        if let Some(resends) = self.requests.get_mut(&request) {
            if *resends >= self.caller_resends {
                return ResendVerdict::Refused;
            }
            *resends += 1;
            return ResendVerdict::Charged;
        }
        self.requests.insert(request, 0);
        self.arrivals.push_back(Arrival { request, at: now });
        ResendVerdict::First
    }

    fn forget_old(&mut self, now: Instant) {
        while let Some(oldest) = self.arrivals.front() {
            let old = now.saturating_duration_since(oldest.at) >= self.window;
            if !old && self.arrivals.len() < self.capacity {
                break;
            }
            self.requests.remove(&oldest.request);
            self.arrivals.pop_front();
        }
    }
}
