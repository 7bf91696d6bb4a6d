//! Lease expiry, lease renewal and outdated declarations.

use std::time::Instant;

use crate::caller;
use crate::setup::TestNode;
use crate::setup::WITHIN;
use crate::setup::assert_failed;
use crate::setup::declaration;

#[tokio::test(flavor = "multi_thread")]
async fn without_a_lease_only_open_routes_are_served() {
    let mut test = TestNode::start().await;
    test.control.change(|state| state.grants_leases = false);
    // A request with an unknown key takes no token, so it can be repeated until the lease ends.
    let unknown = caller::request("/prices/echo", "authorization: Bearer another\r\n", "");
    let refusing = async { while test.send(&unknown).await.contains("unknown-key") {} };
    let refused = tokio::time::timeout(WITHIN, refusing).await;
    refused.expect("the lease runs out before the deadline");
    let refused = test.keyed("/prices/echo", "").await;
    assert_failed(&refused, "no-lease", "not-run");
    assert!(test.backend.seen.try_recv().is_err());
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
    let answer = test.keyed("/prices/echo", "").await;
    assert!(answer.ends_with("whole"), "{answer}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_saturated_request_path_does_not_hold_up_renewals() {
    let test = TestNode::start().await;
    let before = test.control.exchanges();
    let hogs = [(); 2].map(|()| {
        let control = test.control.clone();
        tokio::spawn(async move {
            let end = Instant::now() + WITHIN;
            while control.exchanges() < before + 5 && Instant::now() < end {
                std::hint::spin_loop();
            }
            control.exchanges()
        })
    });
    for hog in hogs {
        let renewed = hog.await.expect("a count") - before;
        assert!(renewed >= 5, "{renewed} renewals");
    }
}
