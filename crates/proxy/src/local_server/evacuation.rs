//! Whether the backend server must get no calls since its data centre is evacuated.

use std::time::Duration;
use std::time::Instant;

use crate::local_server::LocalServer;
use crate::state::lock;

/// Time for which calls are still run that other nodes sent before they knew of an evacuation, in
/// milliseconds.
///
/// Control tells all nodes at once, and those that missed the message with the answer to their next
/// report; so most calls in flight are run, and none long after the order.
const IN_FLIGHT_MS: u64 = 1_000;

/// Whether the data centre of this node is evacuated.
#[derive(Clone, Copy, Debug, Default)]
pub enum LocalEvacuation {
    /// Control has not told this run of the node.
    #[default]
    Unknown,
    /// Its backend servers are in use.
    InService,
    /// Its backend servers get no calls any more.
    Evacuated {
        /// When calls begin to be refused.
        refuses_from: Instant,
    },
}

impl LocalEvacuation {
    /// Applies what control has told.
    ///
    /// A run that begins in an evacuated data centre has accepted no calls before, so it refuses
    /// them at once.
    pub fn apply(&mut self, is_evacuated: bool, now: Instant) {
        *self = match (*self, is_evacuated) {
            (_, false) => Self::InService,
            (Self::Unknown, true) => Self::Evacuated { refuses_from: now },
            (Self::InService, true) => Self::Evacuated {
                refuses_from: now + Duration::from_millis(IN_FLIGHT_MS),
            },
            (known @ Self::Evacuated { .. }, true) => known,
        };
    }

    /// Returns whether control has told this run of the node.
    #[must_use]
    pub const fn is_known(self) -> bool {
        !matches!(self, Self::Unknown)
    }

    /// Returns whether the backend server may get no calls at `now`.
    #[must_use]
    pub fn refuses(self, now: Instant) -> bool {
        matches!(self, Self::Evacuated { refuses_from } if now >= refuses_from)
    }
}

impl LocalServer {
    /// Applies whether the data centre is evacuated; returns whether this changes the record that
    /// the node publishes.
    pub(crate) fn apply_evacuation(&self, is_evacuated: bool, now: Instant) -> bool {
        let mut state = lock(&self.state);
        let had_accepted = state.accepts_calls();
        state.evacuation.apply(is_evacuated, now);
        had_accepted != state.accepts_calls()
    }

    /// Returns whether the backend server may get no calls at `now`, since its data centre is
    /// evacuated.
    pub(super) fn is_evacuated(&self, now: Instant) -> bool {
        lock(&self.state).evacuation.refuses(now)
    }
}
