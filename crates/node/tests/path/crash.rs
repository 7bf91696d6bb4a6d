//! Detection of backend server crashes.

use crate::setup::TestNode;
use crate::setup::WITHIN;

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_is_noticed_also_when_the_listener_outlives_the_connection() {
    let test = TestNode::start().await;
    test.keyed("/prices/die", "").await;
    let reported = tokio::time::timeout(WITHIN, async {
        while test.control.crashes().is_empty() {
            tokio::task::yield_now().await;
        }
    });
    reported.await.expect("a report of the crash");
    assert_eq!(test.control.crashes()[0].suspects.len(), 1);
}
