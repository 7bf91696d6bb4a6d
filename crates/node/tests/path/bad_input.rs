//! Malformed, oversized, slow and forged requests and responses.

use tokio::io::AsyncWriteExt;

use crate::backend::BackendEvent;
use crate::caller;
use crate::setup::API_KEY;
use crate::setup::BODY_BYTES;
use crate::setup::HEAD_BYTES;
use crate::setup::REQUEST_DEADLINE;
use crate::setup::TestNode;
use crate::setup::assert_failure;

#[tokio::test(flavor = "multi_thread")]
async fn bad_credentials_and_routes_are_refused_before_anything_runs() {
    let mut test = TestNode::start().await;
    let key = format!("authorization: Bearer {API_KEY}\r\n");
    for headers in [
        String::new(),
        format!("{key}{key}"),
        "authorization: Bearer \r\n".to_owned(),
        format!("authorization: Basic {API_KEY}\r\n"),
        format!("authorization: bearer{API_KEY}\r\n"),
    ] {
        let response = test
            .send(&caller::request("/prices/echo", &headers, ""))
            .await;
        assert_failure(&response, "bad-credentials", "not-run");
    }
    let unknown = "authorization: Bearer another\r\n";
    let response = test
        .send(&caller::request("/prices/echo", unknown, ""))
        .await;
    assert_failure(&response, "unknown-key", "not-run");
    let response = test.send_with_key("/pricesecho", "").await;
    assert_failure(&response, "unknown-route", "not-run");
    assert!(test.backend.events.try_recv().is_err());
}

#[tokio::test(flavor = "multi_thread")]
async fn oversized_heads_and_bodies_are_refused_before_anything_runs() {
    let mut test = TestNode::start().await;
    let long = format!("x-long: {}\r\n", "x".repeat(HEAD_BYTES));
    let response = test.send_with_key("/prices/echo", &long).await;
    assert!(!response.starts_with("HTTP/1.1 200"), "{response}");
    let headers = format!("authorization: Bearer {API_KEY}\r\n");
    let body = "x".repeat(BODY_BYTES + 1);
    let response = test
        .send(&caller::request("/prices/echo", &headers, &body))
        .await;
    assert_failure(&response, "bad-request", "not-run");
    assert!(test.backend.events.try_recv().is_err());
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_requests_time_out_before_anything_runs() {
    let mut test = TestNode::start().await;
    let files = &test.settings.caller_tls;
    let mut head = caller::connect(test.settings.caller_listener, files).await;
    head.write_all(b"POST /prices/echo HTTP/1.1\r\nhost:")
        .await
        .unwrap();
    let reading = tokio::time::timeout(REQUEST_DEADLINE, caller::read_all(head));
    let response = reading
        .await
        .expect("the node closes the connection before the deadline");
    assert!(!response.starts_with("HTTP/1.1 200"));
    let mut body = caller::connect(test.settings.caller_listener, files).await;
    let message = format!(
        "POST /prices/echo HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\
         authorization: Bearer {API_KEY}\r\ncontent-length: 100\r\n\r\nhalf"
    );
    body.write_all(message.as_bytes()).await.unwrap();
    let reading = tokio::time::timeout(REQUEST_DEADLINE, caller::read_all(body));
    let response = reading
        .await
        .expect("the node closes the connection before the deadline");
    assert_failure(&response, "bad-request", "not-run");
    assert!(test.backend.events.try_recv().is_err());
}

#[tokio::test(flavor = "multi_thread")]
async fn forged_headers_and_trailers_are_dropped_in_both_directions() {
    let mut test = TestNode::start().await;
    let forged = "ragwortplank-context: forged\r\nragwortplank-call: 1\r\n";
    let response = test.send_with_key("/prices/echo", forged).await;
    assert!(response.ends_with("whole"), "{response}");
    assert!(
        response.contains("ragwortplank-verdict: ran\r\n"),
        "{response}"
    );
    assert!(
        !response.contains("not-run") && !response.contains("forged"),
        "{response}"
    );
    let forwarded = test.backend.request().await;
    assert!(
        !forwarded.contains("forged") && !forwarded.contains("authorization"),
        "{forwarded}"
    );
    assert!(
        !forwarded.contains("ragwortplank-call: 1\r\n"),
        "{forwarded}"
    );

    let trailer = format!(
        "POST /prices/echo HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\
         transfer-encoding: chunked\r\ntrailer: authorization\r\n\r\n\
         4\r\nbody\r\n0\r\nauthorization: Bearer {API_KEY}\r\n\r\n"
    );
    let response = test.send(&trailer).await;
    assert_failure(&response, "bad-credentials", "not-run");
    assert!(test.backend.events.try_recv().is_err());
}

// Guards against answers that callers get although their status is none of HTTP.
#[tokio::test(flavor = "multi_thread")]
async fn a_status_outside_http_is_reported_as_a_lost_connection() {
    for status in ["000", "099", "600", "999", "0000"] {
        let test = TestNode::start().await;
        let path = format!("/prices/status-{status}");
        let response = test.send_with_key(&path, "").await;
        assert_failure(&response, "connection-lost", "may-have-run");
        assert!(!response.ends_with("odd"), "{response}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_response_is_reported_as_a_lost_connection() {
    let mut test = TestNode::start().await;
    let response = test.send_with_key("/prices/truncate", "").await;
    assert_failure(&response, "connection-lost", "may-have-run");
    assert!(!response.ends_with("half"), "{response}");
    assert!(matches!(
        test.backend.events.recv().await,
        Some(BackendEvent::Request(_))
    ));
}
