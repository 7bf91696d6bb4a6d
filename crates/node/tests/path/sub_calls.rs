//! Sub-calls and their parent calls.

use crate::backend::BackendEvent;
use crate::caller;
use crate::setup::API_KEY;
use crate::setup::TestNode;
use crate::setup::assert_failure;
use tokio::io::AsyncWriteExt;

/// Returns the call id in a request that the backend server received.
fn call_id_in(request: &str) -> String {
    let rest = request.split("ragwortplank-call: ").nth(1).unwrap();
    rest.lines().next().unwrap().to_owned()
}

fn sub_call(path: &str, call: &str) -> String {
    caller::request(path, &format!("ragwortplank-call: {call}\r\n"), "")
}

#[tokio::test(flavor = "multi_thread")]
async fn sub_calls_need_a_running_parent_and_are_cancelled_with_it() {
    let mut test = TestNode::start().await;
    let response = test
        .send_local(&caller::request("/prices/echo", "", ""))
        .await;
    assert_failure(&response, "unknown-parent", "not-run");

    let files = &test.settings.caller_tls;
    let mut parent = caller::connect(test.settings.caller_listener, files).await;
    let key = format!("authorization: Bearer {API_KEY}\r\n");
    let message = caller::request("/prices/hang", &key, "");
    parent.write_all(message.as_bytes()).await.unwrap();
    let call_id = call_id_in(&test.backend.request().await);
    let child = test.send_local(&sub_call("/prices/echo", &call_id)).await;
    assert!(child.ends_with("whole"), "{child}");
    test.backend.request().await;

    let hanging = sub_call("/prices/hang", &call_id);
    let stream = tokio::net::TcpStream::connect(test.settings.local_listener).await;
    let waiting =
        tokio::spawn(async move { caller::send_and_read(stream.unwrap(), &hanging).await });
    test.backend.request().await;
    drop(parent);
    for _ in 0..2 {
        assert!(matches!(
            test.backend.events.recv().await,
            Some(BackendEvent::Disconnected)
        ));
    }
    assert_failure(&waiting.await.unwrap(), "cancelled", "may-have-run");
    let response = test.send_local(&sub_call("/prices/echo", &call_id)).await;
    assert_failure(&response, "unknown-parent", "not-run");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_a_team_can_call_open_routes_only() {
    let mut test = TestNode::start().await;
    let files = &test.settings.caller_tls;
    let mut parent = caller::connect(test.settings.caller_listener, files).await;
    let message = caller::request("/status/hang", "", "");
    parent.write_all(message.as_bytes()).await.unwrap();
    let call_id = call_id_in(&test.backend.request().await);
    let response = test.send_local(&sub_call("/prices/echo", &call_id)).await;
    assert_failure(&response, "bad-credentials", "not-run");
    let response = test.send_local(&sub_call("/status/echo", &call_id)).await;
    assert!(response.ends_with("whole"), "{response}");
}
