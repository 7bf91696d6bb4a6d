//! Calls that the backend server is running, which are the parents of its sub-calls.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use admit::ThresholdList;
use limit::RetryAllowance;
use model::context::CallContext;
use model::ids::CallId;
use tokio_util::sync::CancellationToken;

/// A call that the backend server is running.
#[derive(Debug)]
pub(crate) struct ParentCall {
    /// Context that the call arrived with.
    pub context: CallContext,
    /// Deadline of the call, on this node's clock.
    pub deadline: Instant,
    /// Retry allowance that its sub-calls may still spend.
    pub allowance: Mutex<RetryAllowance>,
    /// Admission thresholds that its sub-calls met downstream.
    pub downstream_thresholds: Mutex<ThresholdList>,
    /// Cancelled when the call ends, so that its sub-calls end with it.
    pub ended: CancellationToken,
}

/// All calls that the backend server is running, by call id.
#[derive(Debug, Default)]
pub(crate) struct ParentTable {
    calls: Mutex<HashMap<CallId, Arc<ParentCall>>>,
}

impl ParentTable {
    /// Adds a call; dropping the returned guard removes it.
    pub(crate) fn insert(self: &Arc<Self>, call: CallId, parent: Arc<ParentCall>) -> ParentGuard {
        self.lock().insert(call, Arc::clone(&parent));
        ParentGuard {
            table: Arc::clone(self),
            call,
            parent,
        }
    }

    /// Returns a call if it is still in flight.
    pub(crate) fn find(&self, call: CallId) -> Option<Arc<ParentCall>> {
        self.lock().get(&call).cloned()
    }

    /// Returns the fingerprints of the calls in flight.
    pub(crate) fn fingerprints(&self) -> Vec<model::ids::Fingerprint> {
        let calls = self.lock();
        calls
            .values()
            .map(|call| call.context.fingerprint)
            .collect()
    }

    /// Returns the number of calls in flight.
    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<CallId, Arc<ParentCall>>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Keeps a call in the table; dropping it removes the call and cancels its sub-calls.
#[derive(Debug)]
pub(crate) struct ParentGuard {
    table: Arc<ParentTable>,
    call: CallId,
    parent: Arc<ParentCall>,
}

impl Drop for ParentGuard {
    fn drop(&mut self) {
        self.table.lock().remove(&self.call);
        self.parent.ended.cancel();
    }
}
