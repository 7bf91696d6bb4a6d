//! Interface of the overload policies that the harness compares.

use std::time::Duration;
use std::time::Instant;

use clock::VirtualClock;
use model::ids::Fingerprint;
use model::ids::RequestId;
use model::verdict::FailureCause;

use crate::experiment::backend::AttemptId;
use crate::experiment::graph::CallGraph;
use crate::experiment::graph::ClassIndex;
use crate::experiment::graph::RouteIndex;
use crate::experiment::graph::ServerIndex;
use crate::experiment::graph::ServiceIndex;
use crate::experiment::graph::TeamIndex;
use crate::experiment::scenario::TeamRate;

/// Identifies one send of a request by its caller.
pub type EntryId = usize;
/// Identifies a call between services, with all its attempts.
pub type HopId = usize;

/// What a policy is created from.
#[derive(Clone, Debug)]
pub struct PolicySetup {
    /// The call graph.
    pub graph: CallGraph,
    /// Rates and bursts of the teams.
    pub rates: Vec<TeamRate>,
    /// Age of the load reports when they are used.
    pub report_lag: Duration,
    /// Whether every second backend server claims a multiple of its real slots.
    pub false_slot_hints: bool,
    /// Seed of the random generator.
    pub seed: u64,
    /// Virtual clock of the run.
    pub clock: VirtualClock,
}

/// Time limits and cancellation of calls between nodes.
#[derive(Clone, Copy, Debug)]
pub struct HopRules {
    /// Timeout of one attempt, in addition to the request's deadline.
    pub attempt_timeout: Option<Duration>,
    /// Whether all calls below a request are cancelled when its caller stops waiting.
    pub propagates_cancellation: bool,
}

/// A request that reached its entry node.
#[derive(Clone, Copy, Debug)]
pub struct EntryInfo {
    /// This send of the request.
    pub entry: EntryId,
    /// Node that it reached.
    pub node: ServerIndex,
    /// Identity of the request.
    pub request: RequestId,
    /// Digest of its content.
    pub fingerprint: Fingerprint,
    /// Team of the caller.
    pub team: TeamIndex,
    /// Class of the request.
    pub class: ClassIndex,
}

/// One attempt of a call between two nodes.
#[derive(Clone, Copy, Debug)]
pub struct CallInfo {
    /// Identity of the attempt.
    pub call: AttemptId,
    /// The hop that it is an attempt of.
    pub hop: HopId,
    /// Attempts of the hop before this one.
    pub earlier_attempts: u32,
    /// The attempt whose backend server sent it; none at the entry node.
    pub parent: Option<AttemptId>,
    /// The request that it belongs to.
    pub entry: EntryInfo,
    /// Node that sends it.
    pub sender: ServerIndex,
    /// Node that it was sent to.
    pub receiver: ServerIndex,
    /// Route of the call.
    pub route: RouteIndex,
    /// Service that runs it.
    pub service: ServiceIndex,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// Decision on a request at its entry node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryDecision {
    /// The request is admitted.
    Admit,
    /// A later [`PolicyAction`] decides.
    Wait,
    /// The request is refused.
    Refuse(FailureCause),
}

/// Decision on a call at the receiving node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallDecision {
    /// The call goes to the backend server.
    Run,
    /// A later [`PolicyAction`] decides.
    Wait,
    /// The call is refused without having run.
    Refuse(FailureCause),
}

/// How a call ended that waited at the receiving node or ran at the backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// The backend server responded, possibly because a sub-call failed.
    Answered,
    /// The backend server refused the call.
    Shed,
    /// The backend server crashed.
    ServerCrashed,
    /// The caller stopped waiting.
    Cancelled,
}

/// Result of an attempt as its sender sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The call and all its sub-calls succeeded.
    Success,
    /// The backend server ran the call, and a sub-call failed.
    SubCallFailed,
    /// The call was refused, or its connection was lost.
    Failure {
        /// Cause of the failure.
        cause: FailureCause,
        /// Whether the call certainly did not run.
        not_run: bool,
    },
    /// No response arrived within the attempt timeout.
    TimedOut,
}

/// Step that the harness must carry out for a policy.
#[derive(Clone, Debug)]
pub enum PolicyAction<T> {
    /// The request is admitted.
    AdmitEntry(EntryId),
    /// The request is refused.
    RefuseEntry(EntryId, FailureCause),
    /// The call goes to the backend server.
    Run(AttemptId),
    /// The call is refused without having run.
    RefuseCall(AttemptId, FailureCause),
    /// [`ControlPolicy::handle_timer`] must be called with this after the delay.
    Timer(Duration, T),
}

/// Actions that one event causes, in order.
pub type PolicyActions<T> = Vec<PolicyAction<T>>;

/// State change of a backend server, as the node beside it sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerChange {
    /// The process crashed.
    Crashed,
    /// A new process started.
    Started,
    /// The process finishes its calls and accepts no new ones.
    Draining,
}

/// An overload policy: the decisions of all nodes.
pub trait ControlPolicy: Sized {
    /// Payload of its timers.
    type Timer;

    /// Name in the result table and the CSV header.
    const NAME: &'static str;

    /// Creates the state of all nodes and adds the first timers to `actions`.
    fn new(setup: PolicySetup, actions: &mut PolicyActions<Self::Timer>) -> Self;

    /// Returns the time limits and cancellation rules of calls.
    fn rules(&self) -> HopRules;

    /// Decides on a request at its entry node.
    fn admit_request(
        &mut self,
        entry: &EntryInfo,
        actions: &mut PolicyActions<Self::Timer>,
    ) -> EntryDecision;

    /// Chooses the backend server for an attempt.
    ///
    /// # Errors
    ///
    /// Fails with the cause when the attempt must not be sent.
    fn choose(&mut self, call: &CallInfo) -> Result<ServerIndex, FailureCause>;

    /// Decides on a call that reached its node.
    fn admit_call(
        &mut self,
        call: &CallInfo,
        actions: &mut PolicyActions<Self::Timer>,
    ) -> CallDecision;

    /// Records that a call which ran or waited at the node has ended.
    fn call_ended(
        &mut self,
        call: &CallInfo,
        end: RunOutcome,
        actions: &mut PolicyActions<Self::Timer>,
    );

    /// Records that the receiving node sends a response.
    fn reply_sent(&mut self, call: &CallInfo);

    /// Records the outcome of an attempt and returns whether to retry the call.
    fn response_received(
        &mut self,
        call: &CallInfo,
        outcome: AttemptOutcome,
        latency: Duration,
    ) -> bool;

    /// Records that the sender no longer waits for a response.
    fn call_abandoned(&mut self, call: &CallInfo);

    /// Handles a timer.
    fn handle_timer(&mut self, timer: Self::Timer, actions: &mut PolicyActions<Self::Timer>);

    /// Handles a state change of a backend server.
    fn server_changed(
        &mut self,
        server: ServerIndex,
        change: ServerChange,
        actions: &mut PolicyActions<Self::Timer>,
    );

    /// Returns the requests in quarantine because they crashed backend servers.
    fn quarantined(&self) -> Vec<Fingerprint> {
        Vec::new()
    }
}
