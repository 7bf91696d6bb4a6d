//! What the harness remembers of requests, calls and teams.

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

/// Number of a caller's request.
pub(super) type RequestNumber = usize;

/// Everything that happens in a run.
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
        whole: bool,
    },
    CallReached(AttemptId),
    WorkDone(AttemptId),
    AnswerReached {
        call: AttemptId,
        answer: AttemptOutcome,
    },
    AttemptTimeout(AttemptId),
    CauseBegins,
    CauseEnds,
    Crash(ServerIndex),
    Restart(ServerIndex),
    Timer(T),
}

/// A caller's request over all its sendings.
pub(super) struct RequestState {
    pub(super) record: RequestRecord,
    pub(super) id: u128,
    pub(super) fingerprint: u64,
    pub(super) sends: u32,
}

/// One sending of a request.
pub(super) struct EntryState {
    pub(super) request: RequestNumber,
    pub(super) info: EntryInfo,
    pub(super) deadline: Duration,
    pub(super) open: bool,
    pub(super) whole: bool,
    pub(super) root: Option<HopId>,
    /// Whether a central bucket lets it in and its team was within its rate.
    pub(super) within_rate: bool,
    pub(super) extra_attempts: u32,
    pub(super) work_s: f64,
}

/// A call with all its attempts.
pub(super) struct HopState {
    pub(super) entry: EntryId,
    pub(super) parent: Option<AttemptId>,
    pub(super) route: RouteIndex,
    pub(super) sender: ServerIndex,
    pub(super) attempts: u32,
    pub(super) current: Option<AttemptId>,
}

/// Where an attempt is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallPlace {
    /// On its way to its node.
    Sent,
    /// At the node, not yet decided on.
    Waiting,
    /// At the backend server, waiting for a slot.
    Backlog,
    /// In a slot.
    Running,
    /// Over.
    Ended,
}

/// One attempt.
pub(super) struct CallState {
    pub(super) hop: HopId,
    pub(super) server: ServerIndex,
    pub(super) place: CallPlace,
    pub(super) worked: bool,
    pub(super) step: usize,
    pub(super) child: Option<HopId>,
    pub(super) sent_at: Duration,
}
