//! What the three columns decide, so that they share one harness.

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

/// Number of one sending of a request by its caller.
pub type EntryId = usize;
/// Number of a call with all its attempts.
pub type HopId = usize;

/// What a column is built from.
#[derive(Clone, Debug)]
pub struct PolicySetup {
    /// The call graph.
    pub graph: CallGraph,
    /// Rates and bursts of the teams.
    pub rates: Vec<TeamRate>,
    /// Age of the load reports; they are also wrong when `false_slot_hints` is set.
    pub report_lag: Duration,
    /// Whether every second backend server claims several times its slots.
    pub false_slot_hints: bool,
    /// Seed for choices.
    pub seed: u64,
    /// Time.
    pub clock: VirtualClock,
}

/// How calls between nodes are repeated and ended.
#[derive(Clone, Copy, Debug)]
pub struct HopRules {
    /// Timeout of one attempt, besides the request's deadline.
    pub attempt_timeout: Option<Duration>,
    /// Whether everything below a request ends when its caller gives up.
    pub propagates_cancellation: bool,
}

/// A request that reached its entry node.
#[derive(Clone, Copy, Debug)]
pub struct EntryInfo {
    /// Number of this sending.
    pub entry: EntryId,
    /// Node that it reached.
    pub node: ServerIndex,
    /// Identity of the request.
    pub request: RequestId,
    /// Digest of what it asks for.
    pub fingerprint: Fingerprint,
    /// Team of the caller.
    pub team: TeamIndex,
    /// Class of the request.
    pub class: ClassIndex,
}

/// One attempt of a call between two nodes.
#[derive(Clone, Copy, Debug)]
pub struct CallInfo {
    /// Number of the attempt.
    pub call: AttemptId,
    /// The call that it is an attempt of.
    pub hop: HopId,
    /// Attempts of the hop before this one.
    pub earlier_attempts: u32,
    /// The call whose backend server sent it; none at the entry node.
    pub parent: Option<AttemptId>,
    /// The request that it belongs to.
    pub entry: EntryInfo,
    /// Node that sends it.
    pub sender: ServerIndex,
    /// Node that it was sent to.
    pub receiver: ServerIndex,
    /// Route that it takes.
    pub route: RouteIndex,
    /// Service that runs it.
    pub service: ServiceIndex,
    /// When the caller gives up.
    pub deadline: Instant,
}

/// Decision at the entry node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryDecision {
    /// The request may be sent on.
    Admit,
    /// A later [`PolicyAction`] decides.
    Wait,
    /// The request is refused.
    Refuse(FailureCause),
}

/// Decision at the receiving node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallDecision {
    /// It goes to the backend server.
    Run,
    /// A later [`PolicyAction`] decides.
    Wait,
    /// It is refused and did not run.
    Refuse(FailureCause),
}

/// How a call ended that was given to the backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// The backend server answered, also when a sub-call failed.
    Answered,
    /// The backend server refused it.
    Shed,
    /// The backend server died.
    ServerCrashed,
    /// The caller gave up.
    Cancelled,
}

/// What the sender of a call gets to know.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// All went well.
    Success,
    /// The backend server ran it, and a sub-call failed.
    SubCallFailed,
    /// It was refused or lost; the flag says whether it may have run.
    Failure {
        /// Why.
        cause: FailureCause,
        /// Whether it certainly did not run.
        not_run: bool,
    },
    /// Nothing came within the timeout of the attempt.
    TimedOut,
}

/// What is due for a request or call that had to wait.
#[derive(Clone, Debug)]
pub enum PolicyAction<T> {
    /// The request may be sent on.
    AdmitEntry(EntryId),
    /// The request is refused.
    RefuseEntry(EntryId, FailureCause),
    /// The call goes to the backend server.
    Run(AttemptId),
    /// The call is refused and did not run.
    RefuseCall(AttemptId, FailureCause),
    /// [`ControlPolicy::handle_timer`] must be called with this after the delay.
    Timer(Duration, T),
}

/// Actions that one event leads to, in order.
pub type PolicyActions<T> = Vec<PolicyAction<T>>;

/// A change at a backend server that the node beside it notices.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerChange {
    /// The process died.
    Crashed,
    /// A new process started.
    Started,
    /// It finishes what it has.
    Draining,
}

/// Decisions of all nodes under one way of control.
pub trait ControlPolicy: Sized {
    /// What its timers carry.
    type Timer;

    /// Heading of its column.
    const NAME: &'static str;

    /// Creates all nodes; the actions hold the first timers.
    fn new(setup: PolicySetup, actions: &mut PolicyActions<Self::Timer>) -> Self;

    /// Returns the rules for repeating and ending calls.
    fn rules(&self) -> HopRules;

    /// Decides on a request at its entry node.
    fn admit_request(
        &mut self,
        entry: &EntryInfo,
        actions: &mut PolicyActions<Self::Timer>,
    ) -> EntryDecision;

    /// Chooses where an attempt goes.
    ///
    /// # Errors
    ///
    /// Fails with the cause when it must not be sent.
    fn choose(&mut self, call: &CallInfo) -> Result<ServerIndex, FailureCause>;

    /// Decides on a call that reached its node.
    fn admit_call(
        &mut self,
        call: &CallInfo,
        actions: &mut PolicyActions<Self::Timer>,
    ) -> CallDecision;

    /// Notes that a call which ran or waited at the node has ended.
    fn call_ended(
        &mut self,
        call: &CallInfo,
        end: RunOutcome,
        actions: &mut PolicyActions<Self::Timer>,
    );

    /// Notes that the receiving node sends an answer.
    fn reply_sent(&mut self, call: &CallInfo);

    /// Learns from an answer and returns whether the call is sent again.
    fn answer_received(
        &mut self,
        call: &CallInfo,
        answer: AttemptOutcome,
        latency: Duration,
    ) -> bool;

    /// Notes that the sender no longer waits for an answer.
    fn call_abandoned(&mut self, call: &CallInfo);

    /// Handles a timer.
    fn handle_timer(&mut self, timer: Self::Timer, actions: &mut PolicyActions<Self::Timer>);

    /// Notes a change at a backend server.
    fn server_changed(
        &mut self,
        server: ServerIndex,
        change: ServerChange,
        actions: &mut PolicyActions<Self::Timer>,
    );

    /// Returns what is refused since it killed backend servers.
    fn quarantined(&self) -> Vec<Fingerprint> {
        Vec::new()
    }
}
