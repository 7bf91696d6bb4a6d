//! Sub-calls and their parents.

use crate::backend::Seen;
use crate::caller;
use crate::setup::KEY;
use crate::setup::TestNode;
use crate::setup::assert_failed;
use tokio::io::AsyncWriteExt;

/// Returns the call id in a request that the backend server saw.
fn call_of(seen: &str) -> String {
    let rest = seen.split("ragwortplank-call: ").nth(1).unwrap();
    rest.lines().next().unwrap().to_owned()
}

fn sub_call(path: &str, call: &str) -> String {
    caller::request(path, &format!("ragwortplank-call: {call}\r\n"), "")
}

#[tokio::test(flavor = "multi_thread")]
async fn sub_calls_need_a_living_parent_and_end_with_it() {
    let mut test = TestNode::start().await;
    let answer = test.local(&caller::request("/prices/echo", "", "")).await;
    assert_failed(&answer, "unknown-parent", "not-run");

    let files = &test.settings.caller_tls;
    let mut parent = caller::connect(test.settings.caller_listener, files).await;
    let key = format!("authorization: Bearer {KEY}\r\n");
    let message = caller::request("/prices/hang", &key, "");
    parent.write_all(message.as_bytes()).await.unwrap();
    let call = call_of(&test.backend.request().await);
    let below = test.local(&sub_call("/prices/echo", &call)).await;
    assert!(below.ends_with("whole"), "{below}");
    test.backend.request().await;

    let hanging = sub_call("/prices/hang", &call);
    let stream = tokio::net::TcpStream::connect(test.settings.local_listener).await;
    let waiting = tokio::spawn(async move { caller::exchange(stream.unwrap(), &hanging).await });
    test.backend.request().await;
    drop(parent);
    for _ in 0..2 {
        assert!(matches!(test.backend.seen.recv().await, Some(Seen::HungUp)));
    }
    assert_failed(&waiting.await.unwrap(), "cancelled", "may-have-run");
    let answer = test.local(&sub_call("/prices/echo", &call)).await;
    assert_failed(&answer, "unknown-parent", "not-run");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_open_request_reaches_open_routes_only() {
    let mut test = TestNode::start().await;
    let files = &test.settings.caller_tls;
    let mut parent = caller::connect(test.settings.caller_listener, files).await;
    let message = caller::request("/status/hang", "", "");
    parent.write_all(message.as_bytes()).await.unwrap();
    let call = call_of(&test.backend.request().await);
    let answer = test.local(&sub_call("/prices/echo", &call)).await;
    assert_failed(&answer, "bad-credentials", "not-run");
    let answer = test.local(&sub_call("/status/echo", &call)).await;
    assert!(answer.ends_with("whole"), "{answer}");
}
