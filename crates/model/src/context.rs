//! Context sent with a call between nodes, and the feedback sent with its response.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use timeline::HybridTimestamp;

use crate::ids::ClassName;
use crate::ids::Fingerprint;
use crate::ids::RequestId;
use crate::ids::RouteName;
use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::verdict::RunVerdict;

/// Rank by which requests are refused under overload; the lowest rank is refused first.
///
/// Layout, from the most significant bits: 8 bits importance of the class,
/// 8 bits priority of the team, 16 bits hash of the request id. The entry
/// node computes it, and every hop uses it unchanged. See `docs/ADMISSION.md`.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct CallRank(pub u32);

impl CallRank {
    /// Lowest rank; a threshold at this rank refuses nothing.
    pub const MIN: Self = Self(0);
    /// Highest rank.
    pub const MAX: Self = Self(u32::MAX);

    /// Creates a rank from its parts, most significant first.
    #[must_use]
    pub const fn new(importance: u8, team_priority: u8, hash: u16) -> Self {
        Self(((importance as u32) << 24) | ((team_priority as u32) << 16) | hash as u32)
    }

    /// Returns the importance of the class, 255 for the most important.
    #[must_use]
    pub const fn importance(self) -> u8 {
        (self.0 >> 24) as u8
    }

    /// Returns the priority of the team, 255 for the team furthest below its fair share.
    #[must_use]
    pub const fn team_priority(self) -> u8 {
        ((self.0 >> 16) & 0xff) as u8
    }
}

/// Context of one call between two nodes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CallContext {
    /// The caller's request that this call belongs to.
    pub request: RequestId,
    /// The team of the caller's key; none on routes that allow anonymous requests.
    pub team: Option<TeamName>,
    /// The class of the request, set by the route at the entry node.
    pub class: ClassName,
    /// The route of this call at its service.
    pub route: RouteName,
    /// The service that must run the call.
    pub service: ServiceName,
    /// Time left until the caller's deadline when the call was sent.
    pub time_left: Duration,
    /// Number of hops from the entry node; the entry call has 0.
    pub depth: u8,
    /// Retries that this call and all its sub-calls may still use.
    pub retry_allowance: u16,
    /// Rank of the whole request for load shedding.
    pub rank: CallRank,
    /// Fingerprint of the request, by which requests suspected of crashes are recognised.
    pub fingerprint: Fingerprint,
    /// Sender's hybrid logical time.
    pub stamp: HybridTimestamp,
}

/// Admission threshold of an overloaded service, which refuses requests of lower rank.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ThresholdNotice {
    /// The service whose backend servers are overloaded.
    pub service: ServiceName,
    /// Rank below which requests are refused.
    pub threshold: CallRank,
}

/// How long work takes at a backend server at present, relative to its usual time.
///
/// Servers share their instances with other work, so the same call may take several times as
/// long a moment later.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct ServerPace(u16);

impl ServerPace {
    /// Pace of a server at which work takes as long as usual.
    pub const USUAL: Self = Self(100);
    /// Largest accepted pace, in hundredths of the usual time; a larger one is no measurement.
    pub const MAX_PERCENT: u16 = 10_000;

    /// Creates a pace from the present duration of work in hundredths of the usual one.
    ///
    /// Returns `None` for 0 and for values above [`Self::MAX_PERCENT`], which describe no server.
    #[must_use]
    pub const fn from_percent(percent: u16) -> Option<Self> {
        if percent == 0 || percent > Self::MAX_PERCENT {
            return None;
        }
        Some(Self(percent))
    }

    /// Returns the speed of the server relative to its usual one, between 0.1 and 2.0.
    ///
    /// Servers are not trusted to report a plausible pace, and one that is far off must not decide
    /// how much is sent to a server or admitted for it.
    #[must_use]
    pub fn speed(self) -> f64 {
        (1.0 / self.slowdown()).clamp(0.1, 2.0)
    }

    /// Returns the duration of work in hundredths of the usual one.
    #[must_use]
    pub const fn percent(self) -> u16 {
        self.0
    }

    /// Returns the duration of work relative to the usual one: 2.0 when it takes twice as long.
    #[must_use]
    pub fn slowdown(self) -> f64 {
        f64::from(self.0) / f64::from(Self::USUAL.0)
    }
}

/// Share of its recent calls that a backend server failed or refused, in thousandths.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct FailureShare(u16);

impl FailureShare {
    /// Share in thousandths of a server that fails every call.
    pub const WHOLE_MILLI: u16 = 1_000;

    /// Creates a share from thousandths; larger values count as [`Self::WHOLE_MILLI`].
    #[must_use]
    pub const fn from_milli(milli: u16) -> Self {
        if milli > Self::WHOLE_MILLI {
            return Self(Self::WHOLE_MILLI);
        }
        Self(milli)
    }

    /// Returns the share in thousandths.
    #[must_use]
    pub const fn milli(self) -> u16 {
        self.0
    }

    /// Returns the share as a fraction between 0 and 1.
    #[must_use]
    pub fn fraction(self) -> f64 {
        f64::from(self.0.min(Self::WHOLE_MILLI)) / f64::from(Self::WHOLE_MILLI)
    }
}

/// Load of one backend server as measured by its node.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Calls in flight at the backend server.
    pub in_flight: u32,
    /// Calls queued at the node.
    pub queued: u32,
    /// Concurrency limit set by the node.
    pub limit: u32,
    /// Pace that the backend server last reported; `None` if it reports none or not lately.
    pub pace: Option<ServerPace>,
    /// Share of the recent calls that the backend server failed or refused.
    pub failing: FailureShare,
}

/// Feedback that a receiving node sends with each response.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CallFeedback {
    /// Whether the request ran.
    pub verdict: RunVerdict,
    /// Retries of the call's allowance that were not used.
    pub retry_allowance_left: u16,
    /// Load of the backend server that responded.
    pub load: ServerLoad,
    /// Thresholds in force at this service and the services it calls.
    pub thresholds: SmallVec<[ThresholdNotice; 2]>,
    /// Sender's hybrid logical time.
    pub stamp: HybridTimestamp,
}
