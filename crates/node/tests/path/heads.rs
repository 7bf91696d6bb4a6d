//! Malformed, oversized, slow and forged requests and answers.

use tokio::io::AsyncWriteExt;

use crate::backend::Seen;
use crate::caller;
use crate::setup::BODY_BYTES;
use crate::setup::HEAD_BYTES;
use crate::setup::KEY;
use crate::setup::TestNode;
use crate::setup::WITHIN;
use crate::setup::assert_failed;

#[tokio::test(flavor = "multi_thread")]
async fn bad_credentials_and_routes_are_refused_before_anything_runs() {
    let mut test = TestNode::start().await;
    let key = format!("authorization: Bearer {KEY}\r\n");
    for headers in [
        String::new(),
        format!("{key}{key}"),
        "authorization: Bearer \r\n".to_owned(),
        format!("authorization: Basic {KEY}\r\n"),
        format!("authorization: bearer{KEY}\r\n"),
    ] {
        let answer = test
            .send(&caller::request("/prices/echo", &headers, ""))
            .await;
        assert_failed(&answer, "bad-credentials", "not-run");
    }
    let unknown = "authorization: Bearer another\r\n";
    let answer = test
        .send(&caller::request("/prices/echo", unknown, ""))
        .await;
    assert_failed(&answer, "unknown-key", "not-run");
    let answer = test.keyed("/pricesecho", "").await;
    assert_failed(&answer, "unknown-route", "not-run");
    assert!(test.backend.seen.try_recv().is_err());
}

#[tokio::test(flavor = "multi_thread")]
async fn oversized_heads_and_bodies_are_refused_before_anything_runs() {
    let mut test = TestNode::start().await;
    let long = format!("x-long: {}\r\n", "x".repeat(HEAD_BYTES));
    let answer = test.keyed("/prices/echo", &long).await;
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    let headers = format!("authorization: Bearer {KEY}\r\n");
    let body = "x".repeat(BODY_BYTES + 1);
    let answer = test
        .send(&caller::request("/prices/echo", &headers, &body))
        .await;
    assert_failed(&answer, "bad-request", "not-run");
    assert!(test.backend.seen.try_recv().is_err());
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_senders_are_cut_off_before_anything_runs() {
    let mut test = TestNode::start().await;
    let files = &test.settings.caller_tls;
    let mut head = caller::connect(test.settings.caller_listener, files).await;
    head.write_all(b"POST /prices/echo HTTP/1.1\r\nhost:")
        .await
        .unwrap();
    let reading = tokio::time::timeout(WITHIN, caller::read_all(head));
    let answer = reading.await.expect("cut off before the deadline");
    assert!(!answer.starts_with("HTTP/1.1 200"));
    let mut body = caller::connect(test.settings.caller_listener, files).await;
    let message = format!(
        "POST /prices/echo HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: 100\r\n\r\nhalf"
    );
    body.write_all(message.as_bytes()).await.unwrap();
    let reading = tokio::time::timeout(WITHIN, caller::read_all(body));
    let answer = reading.await.expect("cut off before the deadline");
    assert_failed(&answer, "bad-request", "not-run");
    assert!(test.backend.seen.try_recv().is_err());
}

#[tokio::test(flavor = "multi_thread")]
async fn forged_headers_and_trailers_pass_in_neither_direction() {
    let mut test = TestNode::start().await;
    let forged = "ragwortplank-context: forged\r\nragwortplank-call: 1\r\n";
    let answer = test.keyed("/prices/echo", forged).await;
    assert!(answer.ends_with("whole"), "{answer}");
    assert!(answer.contains("ragwortplank-verdict: ran\r\n"), "{answer}");
    assert!(
        !answer.contains("not-run") && !answer.contains("forged"),
        "{answer}"
    );
    let seen = test.backend.request().await;
    assert!(
        !seen.contains("forged") && !seen.contains("authorization"),
        "{seen}"
    );
    assert!(!seen.contains("ragwortplank-call: 1\r\n"), "{seen}");

    let trailer = format!(
        "POST /prices/echo HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\
         transfer-encoding: chunked\r\ntrailer: authorization\r\n\r\n\
         4\r\nbody\r\n0\r\nauthorization: Bearer {KEY}\r\n\r\n"
    );
    let answer = test.send(&trailer).await;
    assert_failed(&answer, "bad-credentials", "not-run");
    assert!(test.backend.seen.try_recv().is_err());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_cut_in_the_middle_is_no_answer() {
    let mut test = TestNode::start().await;
    let answer = test.keyed("/prices/cut", "").await;
    assert_failed(&answer, "connection-lost", "may-have-run");
    assert!(!answer.ends_with("half"), "{answer}");
    assert!(matches!(
        test.backend.seen.recv().await,
        Some(Seen::Request(_))
    ));
}
