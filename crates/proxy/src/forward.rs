//! Forwards a call to a backend server, and retries it on other ones where that is allowed.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use clock::Clock;
use fleet::CallHead;
use fleet::FailureReason;
use fleet::ProtocolAdapter;
use fleet::RefusalReason;
use model::context::ServerLoad;
use model::ids::DataCentreName;
use model::ids::NodeId;
use model::ids::ServiceName;
use route::SendResult;
use smallvec::SmallVec;

use crate::open_call::CallProgress;
use crate::retry::AttemptHistory;
use crate::retry::AttemptOutcome;
use crate::retry::RetryDecision;
use crate::retry::decide_retry;
use crate::state::ProxyState;

/// Retry-after delay when no backend server is available.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Least time before the deadline with which another attempt is made, in milliseconds.
const MIN_RETRY_TIME_MS: u64 = 20;
/// Smallest HTTP status of an error.
const ERROR_STATUS_MIN: u16 = 400;

/// Outcome of a call after its last attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ForwardOutcome {
    pub(crate) last_attempt: AttemptOutcome,
    pub(crate) history: AttemptHistory,
    /// Node beside the backend server of the last attempt.
    pub(crate) last_node: Option<NodeId>,
}

/// Sends a call to one backend server after another until one answers or no retry is allowed.
pub(crate) async fn forward<C: Clock, A: ProtocolAdapter>(
    state: &ProxyState<C, A>,
    mut head: CallHead,
    body: Bytes,
    progress: &CallProgress,
    attempts_allowed: u32,
    deadline: Instant,
) -> ForwardOutcome {
    let mut tried: SmallVec<[NodeId; 4]> = SmallVec::new();
    let mut outcome = ForwardOutcome {
        last_attempt: AttemptOutcome::Refused {
            cause: RefusalReason::NoServer,
            retry_after: NO_SERVER_RETRY_AFTER,
        },
        history: AttemptHistory::default(),
        last_node: None,
    };
    state.credit_retry_budget(&head.service);
    if head.repeated {
        // A call made by a retried call counts as a retry too.
        state.spend_retry_budget(&head.service);
    }
    let drawn = draw_data_centre(state, &head.service);
    loop {
        let now = state.now();
        head.time_left = deadline.saturating_duration_since(now);
        let chosen = state
            .nodes()
            .pick(&head.service, drawn.as_ref(), &tried, now);
        let Some(chosen) = chosen else {
            return outcome;
        };
        if let Some(relation) = chosen.relation {
            state.metrics.count("attempt-placed", &relation.to_string());
        }
        tried.push(chosen.node);
        let attempt = PendingAttempt {
            state,
            head: &head,
            node: chosen.node,
            began: now,
            is_pending: true,
        };
        let (attempt_outcome, load) = if chosen.node == state.node {
            let attempt_outcome = state
                .server
                .run_call(state, &head, body.clone(), progress)
                .await;
            (attempt_outcome, Some(state.server.load(state.now())))
        } else {
            let address = chosen.address;
            state
                .peers
                .send_call(address, &head, body.clone(), progress)
                .await
        };
        attempt.finish(&attempt_outcome, load);
        count_attempt(state, &attempt_outcome);
        outcome.history.record(&attempt_outcome);
        progress.resolve(outcome.history.may_have_run);
        outcome.last_attempt = attempt_outcome;
        outcome.last_node = Some(chosen.node);
        if !may_retry(state, &head, &outcome, attempts_allowed, deadline) {
            return outcome;
        }
        head.repeated |= outcome.history.delivered > 0;
    }
}

/// Draws the data centre of a call, and counts the call for the next plan; `None` where no plan of
/// traffic between data centres is in force.
fn draw_data_centre<C: Clock, A: ProtocolAdapter>(
    state: &ProxyState<C, A>,
    service: &ServiceName,
) -> Option<DataCentreName> {
    let drawn = state.nodes().draw_data_centre(service, state.now())?;
    state.work().count_sent(service);
    Some(drawn)
}

fn count_attempt<C: Clock, A: ProtocolAdapter>(state: &ProxyState<C, A>, outcome: &AttemptOutcome) {
    let metrics = &state.metrics;
    match outcome {
        AttemptOutcome::Answered { .. } => metrics.count("attempt", "answered"),
        AttemptOutcome::Refused { cause, .. } => {
            metrics.count("attempt-refused", &cause.to_string());
        }
        AttemptOutcome::Failed { cause } => metrics.count("attempt-failed", &cause.to_string()),
    }
}

fn may_retry<C: Clock, A: ProtocolAdapter>(
    state: &ProxyState<C, A>,
    head: &CallHead,
    outcome: &ForwardOutcome,
    attempts_allowed: u32,
    deadline: Instant,
) -> bool {
    // An error status of the backend server is an answer too. That run may have made all its
    // downstream calls already, and a retry would make them again.
    if matches!(outcome.last_attempt, AttemptOutcome::Answered { .. }) {
        return false;
    }
    // The nodes beside all other servers refuse it too.
    if is_quarantined(&outcome.last_attempt) {
        return false;
    }
    let left = deadline.saturating_duration_since(state.now());
    if left < Duration::from_millis(MIN_RETRY_TIME_MS) {
        return false;
    }
    match decide_retry(outcome.history, head.idempotent, attempts_allowed) {
        RetryDecision::Retry => true,
        RetryDecision::RetryIfBudget => state.spend_retry_budget(&head.service),
        RetryDecision::Stop => false,
    }
}

const fn is_quarantined(outcome: &AttemptOutcome) -> bool {
    matches!(
        outcome,
        AttemptOutcome::Refused {
            cause: RefusalReason::Quarantined,
            ..
        }
    )
}

/// An attempt in flight, as the picker counts it; on drop without a result it counts as
/// cancelled by the caller.
struct PendingAttempt<'a, C: Clock, A: ProtocolAdapter> {
    state: &'a ProxyState<C, A>,
    head: &'a CallHead,
    node: NodeId,
    began: Instant,
    is_pending: bool,
}

impl<C: Clock, A: ProtocolAdapter> PendingAttempt<'_, C, A> {
    fn finish(mut self, outcome: &AttemptOutcome, load: Option<ServerLoad>) {
        self.is_pending = false;
        if is_success(outcome) {
            let (now, pace) = (self.state.now(), load.and_then(|load| load.pace));
            let took = now.saturating_duration_since(self.began);
            let call = (&self.head.service, &self.head.route);
            let mut nodes = self.state.nodes();
            nodes.record_response(call, self.node, took, pace, now);
        }
        self.report(send_result(outcome), load);
    }

    fn report(&self, result: SendResult, load: Option<ServerLoad>) {
        let now = self.state.now();
        let service = &self.head.service;
        let mut nodes = self.state.nodes();
        nodes.record_result(service, self.node, result, load, now);
    }
}

impl<C: Clock, A: ProtocolAdapter> Drop for PendingAttempt<'_, C, A> {
    fn drop(&mut self) {
        if self.is_pending {
            self.report(SendResult::Cancelled, None);
        }
    }
}

/// Returns whether the response time says how fast the server works; errors often come at once.
fn is_success(outcome: &AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::Answered { head, .. } if head.status < ERROR_STATUS_MIN)
}

const fn send_result(outcome: &AttemptOutcome) -> SendResult {
    match outcome {
        AttemptOutcome::Answered { .. } => SendResult::Answered,
        AttemptOutcome::Refused { cause, .. } => match cause {
            RefusalReason::Overloaded | RefusalReason::ServerRefused => SendResult::Refused,
            RefusalReason::Draining
            | RefusalReason::NoServer
            | RefusalReason::ConnectFailed
            | RefusalReason::Evacuated => SendResult::Unreachable,
            RefusalReason::TooLate | RefusalReason::Quarantined => SendResult::Cancelled,
        },
        AttemptOutcome::Failed { cause } => match cause {
            // The load that comes with a stalled call shows what the member can still run.
            FailureReason::Timeout | FailureReason::Stalled => SendResult::Cancelled,
            FailureReason::LinkLost => SendResult::Unreachable,
            FailureReason::ConnectionLost | FailureReason::BadResponse => SendResult::Failed,
        },
    }
}
