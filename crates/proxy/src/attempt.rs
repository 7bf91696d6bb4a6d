//! Forwards a call to a backend server, and retries it on other ones where that is allowed.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use clock::Clock;
use fleet::CallHead;
use fleet::FailCause;
use fleet::RefuseCause;
use fleet::WireDialect;
use model::context::ServerLoad;
use model::ids::NodeId;
use route::SendResult;
use smallvec::SmallVec;

use crate::retry::AttemptHistory;
use crate::retry::AttemptOutcome;
use crate::retry::RetryDecision;
use crate::retry::decide_retry;
use crate::state::ProxyState;

/// Retry-after delay when no backend server is available.
const NO_SERVER_RETRY: Duration = Duration::from_millis(400);
/// Least time before the deadline with which another attempt is made, in milliseconds.
const WORTHWHILE_MS: u64 = 20;

/// Outcome of a call after its last attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct CarryOutcome {
    pub(crate) end: AttemptOutcome,
    pub(crate) fate: AttemptHistory,
    /// Node beside the backend server of the last attempt.
    pub(crate) node: Option<NodeId>,
}

/// Sends a call to one backend server after another until one answers or no retry is allowed.
pub(crate) async fn carry<C: Clock, D: WireDialect>(
    state: &ProxyState<C, D>,
    mut head: CallHead,
    body: Bytes,
    attempts_allowed: u32,
    deadline: Instant,
) -> CarryOutcome {
    let mut tried: SmallVec<[NodeId; 4]> = SmallVec::new();
    let mut outcome = CarryOutcome {
        end: AttemptOutcome::Refused {
            cause: RefuseCause::NoServer,
            retry_after: NO_SERVER_RETRY,
        },
        fate: AttemptHistory::default(),
        node: None,
    };
    state.earn_repeat(&head.service);
    if head.repeated {
        // A call made by a retried call counts as a retry too.
        state.spend_repeat(&head.service);
    }
    loop {
        let now = state.now();
        head.time_left = deadline.saturating_duration_since(now);
        let chosen = state.members().pick(&head.service, &tried, now);
        let Some(chosen) = chosen else {
            return outcome;
        };
        tried.push(chosen.node);
        let attempt = SentAttempt {
            state,
            head: &head,
            node: chosen.node,
            is_open: true,
        };
        let (end, load) = if chosen.node == state.node {
            let end = state.server.run(state, &head, body.clone()).await;
            (end, Some(state.server.load()))
        } else {
            let address = chosen.address;
            state.peers.call(address, &head, body.clone()).await
        };
        attempt.learn(&end, load);
        count(state, &end);
        outcome.fate.record(&end);
        outcome.end = end;
        outcome.node = Some(chosen.node);
        if !goes_on(state, &head, &outcome, attempts_allowed, deadline) {
            return outcome;
        }
        head.repeated |= outcome.fate.delivered > 0;
    }
}

fn count<C: Clock, D: WireDialect>(state: &ProxyState<C, D>, end: &AttemptOutcome) {
    let metrics = &state.metrics;
    match end {
        AttemptOutcome::Answered { .. } => metrics.count("attempt", "answered"),
        AttemptOutcome::Refused { cause, .. } => {
            metrics.count("attempt-refused", &cause.to_string())
        }
        AttemptOutcome::Failed { cause } => metrics.count("attempt-failed", &cause.to_string()),
    }
}

fn goes_on<C: Clock, D: WireDialect>(
    state: &ProxyState<C, D>,
    head: &CallHead,
    outcome: &CarryOutcome,
    attempts_allowed: u32,
    deadline: Instant,
) -> bool {
    // An error status of the backend server is an answer too. That run may have made all its
    // downstream calls already, and a retry would make them again.
    if matches!(outcome.end, AttemptOutcome::Answered { .. }) {
        return false;
    }
    let left = deadline.saturating_duration_since(state.now());
    if left < Duration::from_millis(WORTHWHILE_MS) {
        return false;
    }
    match decide_retry(outcome.fate, head.idempotent, attempts_allowed) {
        RetryDecision::Retry => true,
        RetryDecision::RetryIfBudget => state.spend_repeat(&head.service),
        RetryDecision::Stop => false,
    }
}

/// An attempt in flight, as the picker counts it; on drop without a result it counts as
/// cancelled by the caller.
struct SentAttempt<'a, C: Clock, D: WireDialect> {
    state: &'a ProxyState<C, D>,
    head: &'a CallHead,
    node: NodeId,
    is_open: bool,
}

impl<C: Clock, D: WireDialect> SentAttempt<'_, C, D> {
    fn learn(mut self, end: &AttemptOutcome, load: Option<ServerLoad>) {
        self.is_open = false;
        self.tell(result_of(end), load);
    }

    fn tell(&self, result: SendResult, load: Option<ServerLoad>) {
        let now = self.state.now();
        let service = &self.head.service;
        let mut members = self.state.members();
        members.learn(service, self.node, result, load, now);
    }
}

impl<C: Clock, D: WireDialect> Drop for SentAttempt<'_, C, D> {
    fn drop(&mut self) {
        if self.is_open {
            self.tell(SendResult::GivenUp, None);
        }
    }
}

const fn result_of(end: &AttemptOutcome) -> SendResult {
    match end {
        AttemptOutcome::Answered { .. } => SendResult::Answered,
        AttemptOutcome::Refused { cause, .. } => match cause {
            RefuseCause::Overloaded | RefuseCause::ServerRefused => SendResult::Full,
            RefuseCause::Leaving | RefuseCause::NoServer | RefuseCause::ConnectFailed => {
                SendResult::Unreachable
            }
            RefuseCause::TooLate => SendResult::GivenUp,
        },
        AttemptOutcome::Failed { cause } => match cause {
            FailCause::Timeout => SendResult::GivenUp,
            FailCause::LinkLost => SendResult::Unreachable,
            FailCause::ConnectionLost | FailCause::BadAnswer => SendResult::Failed,
        },
    }
}
