//! The listener for operators: status, timeline, metrics and draining.

use std::sync::Arc;

use clock::Clock;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use model::admin::NodeStatus;
use model::admin::StatusReport;
use model::admin::TimelineReport;
use timeline::EventRecord;
use timeline::HybridTimestamp;
use wire::http::BufferedBody;
use wire::http::json_response;
use wire::http::text_response;

use crate::exchange;
use crate::state::NodeState;

/// Serves an operator's request.
pub(crate) async fn serve_admin<C: Clock>(
    state: Arc<NodeState<C>>,
    request: Request<Incoming>,
) -> Response<BufferedBody> {
    let method = request.method().clone();
    let uri = request.uri();
    match (method, uri.path()) {
        (Method::GET, "/status") => {
            json_response(StatusCode::OK, &StatusReport::Node(status(&state)))
        }
        (Method::GET, "/timeline") => {
            let since = uri.query().and_then(parse_since).unwrap_or_default();
            let events = state.events.since(since);
            json_response(StatusCode::OK, &TimelineReport { events })
        }
        (Method::GET, "/metrics") => {
            let in_flight = i64::try_from(state.parents.len()).unwrap_or(i64::MAX);
            state.metrics.in_flight.set(in_flight);
            let traffic = state.control.traffic();
            let bytes = traffic.sent_bytes + traffic.received_bytes;
            state
                .metrics
                .control_bytes
                .set(i64::try_from(bytes).unwrap_or(i64::MAX));
            text_response(StatusCode::OK, &state.metrics.encode())
        }
        (Method::POST, "/drain") => {
            state.events.push(EventRecord::new("drain-ordered"));
            state.drain();
            text_response(StatusCode::ACCEPTED, "draining")
        }
        _ => text_response(StatusCode::NOT_FOUND, "no such resource"),
    }
}

fn status<C: Clock>(state: &NodeState<C>) -> NodeStatus {
    let lease_left_ms = state.lease_left().as_millis();
    NodeStatus {
        process: state.settings.process.clone(),
        member: exchange::own_record(state),
        applied: state.declaration.get().version(),
        lease_left_ms: u64::try_from(lease_left_ms).unwrap_or(u64::MAX),
        entered: state.requests_in_flight(),
        tokens: state.tokens.held(),
        members: state.members.records(),
    }
}

/// Parses `since=WALL_MS`, a wall clock time in milliseconds.
fn parse_since(query: &str) -> Option<HybridTimestamp> {
    let mut pairs = query.split('&');
    let value = pairs.find_map(|pair| pair.strip_prefix("since="))?;
    let wall_ms = value.parse().ok()?;
    Some(HybridTimestamp {
        wall_ms,
        counter: 0,
    })
}
