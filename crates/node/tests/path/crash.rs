//! Detection of backend server crashes.

use crate::setup::REQUEST_DEADLINE;
use crate::setup::TestNode;
use crate::setup::assert_failure;

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_is_reported_when_the_listener_closes_after_the_connection() {
    let mut test = TestNode::start().await;
    let mut response = test.send_with_key("/prices/crash", "").await;
    // A busy machine may let the lease or the announcement expire first.
    while response.contains("ragwortplank-verdict: not-run\r\n") {
        test.wait_ready().await;
        response = test.send_with_key("/prices/crash", "").await;
    }
    assert_failure(&response, "connection-lost", "may-have-run");
    let reported = tokio::time::timeout(REQUEST_DEADLINE, async {
        while test.control.crashes().is_empty() {
            tokio::task::yield_now().await;
        }
    });
    reported
        .await
        .expect("the crash is reported before the deadline");
    assert_eq!(test.control.crashes()[0].suspects.len(), 1);
}
