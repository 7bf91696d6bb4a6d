//! Tests of the HTTP API for operators.

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::rt::TokioIo;
use model::admin::ChangeReport;
use model::admin::ChangeSubmission;
use model::admin::DeclarationText;
use model::admin::StatusReport;
use model::admin::TimelineReport;
use model::change::ChangeStatus;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;
use wire::role::PeerRole;

use crate::common::TestGroup;
use crate::common::TestInstance;
use crate::common::fake_log::FakeGroup;

struct TestResponse {
    status: StatusCode,
    body: Bytes,
}

impl TestResponse {
    fn json<T: DeserializeOwned>(&self) -> T {
        assert_eq!(self.status, StatusCode::OK);
        serde_json::from_slice(&self.body).unwrap()
    }
}

async fn call(
    group: &TestGroup,
    instance: &TestInstance,
    request: Request<Full<Bytes>>,
) -> TestResponse {
    let identity = group.authority.identity(PeerRole::Operator);
    let tls = identity.tcp_client(PeerRole::Control).unwrap();
    let stream = TcpStream::connect(instance.admin).await.unwrap();
    let connector = TlsConnector::from(tls.config);
    let stream = connector.connect(tls.server_name, stream).await.unwrap();
    let io = TokioIo::new(stream);
    // The listener prefers HTTP/2, and the client uses it.
    let executor = hyper_util::rt::TokioExecutor::new();
    let (mut sender, connection) = hyper::client::conn::http2::handshake(executor, io)
        .await
        .unwrap();
    tokio::spawn(connection);
    let response = sender.send_request(request).await.unwrap();
    let status = response.status();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    TestResponse { status, body }
}

async fn get(group: &TestGroup, instance: &TestInstance, path: &str) -> TestResponse {
    let request = Request::get(format!("https://control.ragwortplank{path}"));
    call(group, instance, request.body(Full::default()).unwrap()).await
}

async fn submit(group: &TestGroup, instance: &TestInstance, body: Vec<u8>) -> TestResponse {
    let request = Request::post("https://control.ragwortplank/changes");
    let request = request.body(Full::from(body)).unwrap();
    call(group, instance, request).await
}

#[tokio::test]
async fn any_instance_accepts_a_change_and_reports_it() {
    let log = FakeGroup::new(2);
    let group = TestGroup::start(&log, 2).await;
    let change = log.change("");
    let signatures = log.sign(&change);
    let mut submission = ChangeSubmission {
        change,
        signatures: signatures[..1].to_vec(),
    };
    let follower = &group.instances[0];
    let body = serde_json::to_vec(&submission).unwrap();
    let submitted: ChangeReport = submit(&group, follower, body).await.json();
    assert_eq!(submitted.status, ChangeStatus::Pending);
    submission.signatures = signatures[1..].to_vec();
    let body = serde_json::to_vec(&submission).unwrap();
    let submitted: ChangeReport = submit(&group, follower, body).await.json();
    assert_eq!(submitted.status, ChangeStatus::Accepted(1));
    for instance in &group.instances {
        let path = format!("/changes/{}", submitted.hash);
        let report: ChangeReport = get(&group, instance, &path).await.json();
        assert_eq!(report.status, submitted.status);
    }
    let timeline: TimelineReport = get(&group, follower, "/timeline?since=0").await.json();
    let mut events = timeline.events.iter();
    assert!(events.any(|event| event.change.as_ref() == Some(&submitted.hash)));
}

#[tokio::test]
async fn a_partitioned_instance_reports_its_status_but_no_declaration() {
    let log = FakeGroup::new(1);
    let group = TestGroup::start(&log, 1).await;
    let instance = &group.instances[0];
    let report: DeclarationText = get(&group, instance, "/declaration").await.json();
    assert_eq!(report.version, 0);
    instance.log.set_partitioned(true);
    let refused = get(&group, instance, "/declaration").await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    let status: StatusReport = get(&group, instance, "/status").await.json();
    assert!(matches!(status, StatusReport::Control(status) if status.instance == 1));
    let metrics = get(&group, instance, "/metrics").await;
    let metrics = String::from_utf8(metrics.body.to_vec()).unwrap();
    assert!(metrics.contains("ragwortplank_control_exchanges_total"));
}

#[tokio::test]
async fn malformed_requests_are_refused() {
    let log = FakeGroup::new(1);
    let group = TestGroup::start(&log, 1).await;
    let instance = &group.instances[0];
    let refused = submit(&group, instance, b"{}".to_vec()).await;
    assert_eq!(refused.status, StatusCode::BAD_REQUEST);
    let refused = get(&group, instance, "/changes/zz").await;
    assert_eq!(refused.status, StatusCode::BAD_REQUEST);
    let refused = get(&group, instance, "/else").await;
    assert_eq!(refused.status, StatusCode::NOT_FOUND);
}
