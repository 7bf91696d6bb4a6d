//! State that the harness keeps of requests, entries, hops and attempts.

use std::time::Duration;

use crate::experiment::backend::AttemptId;
use crate::experiment::counters::RequestRecord;
use crate::experiment::graph::ClassIndex;
use crate::experiment::graph::RouteIndex;
use crate::experiment::graph::ServerIndex;
use crate::experiment::graph::TeamIndex;
use crate::experiment::policy::AttemptOutcome;
use crate::experiment::policy::EntryId;
use crate::experiment::policy::EntryInfo;
use crate::experiment::policy::HopId;

/// Identifies a caller's request.
pub(super) type RequestNumber = usize;

/// Events of a run.
pub(super) enum HarnessEvent<T> {
    Arrive {
        class: ClassIndex,
        team: TeamIndex,
    },
    CallerSends(RequestNumber),
    EntryReached(EntryId),
    EntryDeadline(EntryId),
    CallerAnswered {
        entry: EntryId,
        success: bool,
    },
    CallReached(AttemptId),
    WorkDone(AttemptId),
    ResponseReached {
        call: AttemptId,
        outcome: AttemptOutcome,
    },
    AttemptTimeout(AttemptId),
    DisturbanceStarts,
    DisturbanceEnds,
    Crash(ServerIndex),
    Restart(ServerIndex),
    Timer(T),
}

/// A caller's request, over all the times it is sent.
pub(super) struct RequestState {
    pub(super) record: RequestRecord,
    pub(super) id: u128,
    pub(super) fingerprint: u64,
    pub(super) sends: u32,
}

/// One send of a request.
pub(super) struct EntryState {
    pub(super) request: RequestNumber,
    pub(super) info: EntryInfo,
    pub(super) deadline: Duration,
    pub(super) open: bool,
    pub(super) success: bool,
    pub(super) root: Option<HopId>,
    /// Whether a central token bucket admits it and its team is within its rate.
    pub(super) within_rate: bool,
    pub(super) extra_attempts: u32,
    pub(super) work_s: f64,
}

/// A call between services, with all its attempts.
pub(super) struct HopState {
    pub(super) entry: EntryId,
    pub(super) parent: Option<AttemptId>,
    pub(super) route: RouteIndex,
    pub(super) sender: ServerIndex,
    pub(super) attempts: u32,
    pub(super) current: Option<AttemptId>,
}

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AttemptPhase {
    /// In transit to the receiving node.
    Sent,
    /// At the receiving node, not yet admitted or refused.
    Waiting,
    /// At the backend server, waiting for a slot.
    Backlog,
    /// In a slot of the backend server.
    Running,
    /// Ended.
    Ended,
}

/// One attempt of a hop.
pub(super) struct AttemptState {
    pub(super) hop: HopId,
    pub(super) server: ServerIndex,
    pub(super) phase: AttemptPhase,
    pub(super) has_run: bool,
    pub(super) sub_calls_done: usize,
    pub(super) child: Option<HopId>,
    pub(super) sent_at: Duration,
}
