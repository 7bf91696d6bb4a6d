//! Carries one call to a backend server, and to another one where that is allowed.

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

use crate::fate::CallEnd;
use crate::fate::CallFate;
use crate::fate::NextStep;
use crate::fate::next_step;
use crate::state::ProxyState;

/// Delay named when no backend server takes work.
const NO_SERVER_RETRY: Duration = Duration::from_millis(400);
/// Time that must be left for another attempt to be worth it, in milliseconds.
const WORTHWHILE_MS: u64 = 20;

/// How a call ended, over all its attempts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct CarryOutcome {
    pub(crate) end: CallEnd,
    pub(crate) fate: CallFate,
    /// Node beside the backend server that was tried last.
    pub(crate) node: Option<NodeId>,
}

/// Carries a call until it is answered or may not be tried again.
pub(crate) async fn carry<C: Clock, D: WireDialect>(
    state: &ProxyState<C, D>,
    mut head: CallHead,
    body: Bytes,
    attempts_allowed: u32,
    deadline: Instant,
) -> CarryOutcome {
    let mut tried: SmallVec<[NodeId; 4]> = SmallVec::new();
    let mut outcome = CarryOutcome {
        end: CallEnd::Refused {
            cause: RefuseCause::NoServer,
            retry_after: NO_SERVER_RETRY,
        },
        fate: CallFate::default(),
        node: None,
    };
    state.earn_repeat(&head.service);
    if head.repeated {
        // A call that a repeated run makes counts as repeated itself.
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
        outcome.fate.note(&end);
        outcome.end = end;
        outcome.node = Some(chosen.node);
        if !goes_on(state, &head, &outcome, attempts_allowed, deadline) {
            return outcome;
        }
        head.repeated |= outcome.fate.arrivals > 0;
    }
}

fn count<C: Clock, D: WireDialect>(state: &ProxyState<C, D>, end: &CallEnd) {
    let metrics = &state.metrics;
    match end {
        CallEnd::Answered { .. } => metrics.count("attempt", "answered"),
        CallEnd::Refused { cause, .. } => metrics.count("attempt-refused", &cause.to_string()),
        CallEnd::Failed { cause } => metrics.count("attempt-failed", &cause.to_string()),
    }
}

fn goes_on<C: Clock, D: WireDialect>(
    state: &ProxyState<C, D>,
    head: &CallHead,
    outcome: &CarryOutcome,
    attempts_allowed: u32,
    deadline: Instant,
) -> bool {
    // A server's own failure is an answer: its run has made all its calls already,
    // and a repeated run would make them again.
    if matches!(outcome.end, CallEnd::Answered { .. }) {
        return false;
    }
    let left = deadline.saturating_duration_since(state.now());
    if left < Duration::from_millis(WORTHWHILE_MS) {
        return false;
    }
    match next_step(outcome.fate, head.idempotent, attempts_allowed) {
        NextStep::Again => true,
        NextStep::AgainIfBudget => state.spend_repeat(&head.service),
        NextStep::GiveUp => false,
    }
}

/// An attempt that the picker counts until it has learned how it ended.
struct SentAttempt<'a, C: Clock, D: WireDialect> {
    state: &'a ProxyState<C, D>,
    head: &'a CallHead,
    node: NodeId,
    is_open: bool,
}

impl<C: Clock, D: WireDialect> SentAttempt<'_, C, D> {
    fn learn(mut self, end: &CallEnd, load: Option<ServerLoad>) {
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
            self.tell(SendResult::Cancelled, None);
        }
    }
}

const fn result_of(end: &CallEnd) -> SendResult {
    match end {
        CallEnd::Answered { .. } => SendResult::Answered,
        CallEnd::Refused { cause, .. } => match cause {
            RefuseCause::Overloaded | RefuseCause::ServerRefused => SendResult::Refused,
            RefuseCause::Leaving | RefuseCause::NoServer | RefuseCause::ConnectFailed => {
                SendResult::Unreachable
            }
            RefuseCause::TooLate => SendResult::Cancelled,
        },
        CallEnd::Failed { cause } => match cause {
            FailCause::Timeout => SendResult::Cancelled,
            FailCause::LinkLost => SendResult::Unreachable,
            FailCause::ConnectionLost | FailCause::BadAnswer => SendResult::Failed,
        },
    }
}
