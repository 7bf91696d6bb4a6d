//! Lease expiry, lease renewal and outdated declarations.

use std::time::Instant;

use crate::caller;
use crate::setup::REQUEST_DEADLINE;
use crate::setup::TestNode;
use crate::setup::assert_failure;
use crate::setup::declaration;

#[tokio::test(flavor = "multi_thread")]
async fn without_a_lease_only_open_routes_are_served() {
    let mut test = TestNode::start().await;
    test.control.change(|state| state.grants_leases = false);
    // A request with an unknown key takes no token, so it can be repeated until the lease ends.
    let unknown = caller::request("/prices/echo", "authorization: Bearer another\r\n", "");
    let refusing = async { while test.send(&unknown).await.contains("unknown-key") {} };
    let refused = tokio::time::timeout(REQUEST_DEADLINE, refusing).await;
    refused.expect("the lease expires before the deadline");
    let refused = test.send_with_key("/prices/echo", "").await;
    assert_failure(&refused, "no-lease", "not-run");
    assert!(test.backend.events.try_recv().is_err());
    let open = test.send(&caller::request("/status/echo", "", "")).await;
    assert!(open.ends_with("whole"), "{open}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_older_declaration_is_never_applied() {
    let test = TestNode::start().await;
    test.control.change(|state| {
        state.declaration = declaration(1);
        state.declaration.routes.clear();
    });
    let before = test.control.exchanges();
    while test.control.exchanges() < before + 3 {
        tokio::task::yield_now().await;
    }
    let response = test.send_with_key("/prices/echo", "").await;
    assert!(response.ends_with("whole"), "{response}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn saturated_request_threads_do_not_delay_lease_renewals() {
    let test = TestNode::start().await;
    let before = test.control.exchanges();
    let busy_tasks = [(); 2].map(|()| {
        let control = test.control.clone();
        tokio::spawn(async move {
            let end = Instant::now() + REQUEST_DEADLINE;
            while control.exchanges() < before + 5 && Instant::now() < end {
                std::hint::spin_loop();
            }
            control.exchanges()
        })
    });
    for busy_task in busy_tasks {
        let renewed = busy_task.await.expect("the task does not panic") - before;
        assert!(renewed >= 5, "{renewed} renewals");
    }
}
