//! What travels with a call between nodes, and what comes back with its answer.

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

/// Order in which requests are refused: the lowest rank goes first.
///
/// Layout, from the most significant bits: 8 bits importance of the class,
/// 8 bits standing of the team, 16 bits hash of the request id. The entry
/// node fixes it, every hop uses it unchanged. See `docs/ADMISSION.md`.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct CallRank(pub u32);

impl CallRank {
    /// Lowest rank; a cut at this rank refuses nothing.
    pub const MIN: Self = Self(0);
    /// Highest rank.
    pub const MAX: Self = Self(u32::MAX);

    /// Packs the parts, most significant first.
    #[must_use]
    pub const fn new(importance: u8, standing: u8, hash: u16) -> Self {
        Self(((importance as u32) << 24) | ((standing as u32) << 16) | hash as u32)
    }

    /// Returns the importance of the class, 255 for the most important.
    #[must_use]
    pub const fn importance(self) -> u8 {
        (self.0 >> 24) as u8
    }

    /// Returns the team's standing, 255 for the team furthest below its share.
    #[must_use]
    pub const fn standing(self) -> u8 {
        ((self.0 >> 16) & 0xff) as u8
    }
}

/// Context of one call between two nodes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CallContext {
    /// The caller's request that this call belongs to.
    pub request: RequestId,
    /// The team whose key came with the request; none on routes open to all.
    pub team: Option<TeamName>,
    /// The class of the request, fixed by the entry route.
    pub class: ClassName,
    /// The route that this call takes at its service.
    pub route: RouteName,
    /// The service that must run the call.
    pub service: ServiceName,
    /// Time left until the caller's deadline, at the time of sending.
    pub time_left: Duration,
    /// Hops between the entry node and this call; the entry call has 0.
    pub depth: u8,
    /// Extra attempts that this call and all calls below may still spend.
    pub allowance: u16,
    /// Admission rank of the whole request.
    pub rank: CallRank,
    /// Digest of what the request asks for, to recognise crash suspects.
    pub fingerprint: Fingerprint,
    /// Sender's hybrid logical time.
    pub stamp: HybridTimestamp,
}

/// Cut in force at an overloaded service: what ranks below is refused there.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CutNotice {
    /// The service whose backend servers are overloaded.
    pub service: ServiceName,
    /// Requests that rank below are refused.
    pub cut: CallRank,
}

/// Load of one backend server, as its own node sees it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Calls that the backend server runs now.
    pub in_flight: u32,
    /// Calls that wait at the node.
    pub queued: u32,
    /// Calls that the node lets run at once.
    pub limit: u32,
}

/// What a receiving node reports back with each answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CallFeedback {
    /// Whether the request ran.
    pub verdict: RunVerdict,
    /// Extra attempts that were carried down and not spent.
    pub allowance_left: u16,
    /// Load of the backend server that answered.
    pub load: ServerLoad,
    /// Cuts met at this service and further down.
    pub cuts: SmallVec<[CutNotice; 2]>,
    /// Sender's hybrid logical time.
    pub stamp: HybridTimestamp,
}
