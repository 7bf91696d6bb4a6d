//! Sends crash reports to the other nodes of a service, and receives theirs.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use clock::Clock;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use model::exchange::CrashReport;

use crate::call;
use crate::state::NodeState;

/// Path on the listener for other nodes that accepts a [`CrashReport`] by `POST`.
pub(crate) const SUSPECTS_PATH: &str = "/.ragwortplank/suspects";

/// Sends a crash report to each other node of the service, without waiting for responses.
///
/// Control announces suspects only with a node's next exchange. A request that is resent
/// before then would crash further backend servers.
pub(crate) fn notify_service<C: Clock>(state: &Arc<NodeState<C>>, report: &CrashReport) {
    let Ok(body) = postcard::to_stdvec(report) else {
        return;
    };
    let body = Bytes::from(body);
    for member in state.members.records() {
        if member.service != report.service || member.node == state.node {
            continue;
        }
        let state = Arc::clone(state);
        let body = body.clone();
        let tracker = state.background.clone();
        tracker.spawn(async move { send_report(&state, member.address, body).await });
    }
}

async fn send_report<C: Clock>(state: &NodeState<C>, address: SocketAddr, body: Bytes) {
    let uri = format!("https://{address}{SUSPECTS_PATH}");
    let Ok(request) = Request::post(uri).body(Full::new(body)) else {
        return;
    };
    // A node that cannot be reached learns of the crash from control.
    if state.peers.send(address, request).await.is_err() {
        tracing::debug!(event = "suspects-untold", %address);
    }
}

/// Handles a crash report from another node.
pub(crate) async fn serve_crash_report<C: Clock>(
    state: &NodeState<C>,
    body: Incoming,
) -> Response<Full<Bytes>> {
    let limits = &state.settings.limits;
    let mut response = Response::new(Full::default());
    let body = call::read_body(body, limits.body_bytes, limits.body_timeout).await;
    let report = body.ok().and_then(|body| postcard::from_bytes(&body).ok());
    let is_same_service = |report: &CrashReport| {
        let target = state.server.target();
        target.is_some_and(|target| target.service == report.service)
    };
    match report.filter(is_same_service) {
        Some(report) => state.crashes.add_reported(&report),
        None => *response.status_mut() = StatusCode::BAD_REQUEST,
    }
    response
}
