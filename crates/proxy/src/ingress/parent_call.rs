//! Requests that the local backend server makes for a call that it runs.

use std::time::Instant;

use clock::Clock;
use fleet::ProtocolAdapter;
use fleet::RequestMetadata;
use fleet::RouteEntry;

use crate::ingress::refusal::Refusal;
use crate::local_server::ParentCall;
use crate::state::ProxyState;

/// Returns the running call whose deadline a request of the local backend server has.
fn running_parent<C: Clock, A: ProtocolAdapter>(
    state: &ProxyState<C, A>,
    metadata: &RequestMetadata,
    started: Instant,
) -> Option<ParentCall> {
    let time_left = metadata.deadline?;
    state.server.find_parent(started + time_left)
}

/// Returns whether a request may be one of the local backend server for a call that it runs.
pub(super) fn may_be_child<C: Clock, A: ProtocolAdapter>(
    state: &ProxyState<C, A>,
    metadata: &RequestMetadata,
    started: Instant,
) -> bool {
    running_parent(state, metadata, started).is_some()
}

/// Refuses a request that a stopping node does not take any more.
///
/// What the local backend server asks for a call that it runs is taken for longer, since the
/// node has promised the answer to that call.
pub(super) fn check_stop<C: Clock, A: ProtocolAdapter>(
    state: &ProxyState<C, A>,
    parent: Option<&ParentCall>,
    deadline: Instant,
) -> Result<(), Refusal> {
    let now = state.now();
    let is_taken = match parent {
        Some(_) => state.stop.takes_child(now, deadline),
        None => state.stop.takes_calls(now),
    };
    is_taken.then_some(()).ok_or_else(Refusal::stopping)
}

/// Finds the running call on whose behalf the local backend server sent this request, and counts
/// the request as made by it.
pub(super) fn find_parent_call<C: Clock, A: ProtocolAdapter>(
    state: &ProxyState<C, A>,
    route: &RouteEntry,
    metadata: &RequestMetadata,
    started: Instant,
) -> Option<ParentCall> {
    let parent = running_parent(state, metadata, started);
    if let Some(parent) = &parent {
        state.work().count_call(&parent.route, &route.name);
    }
    parent
}
