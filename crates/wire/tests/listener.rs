//! HTTP listener: timeout for request heads, and a stop that lets calls in flight finish.

#[path = "common/authority.rs"]
mod authority;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use authority::TestAuthority;
use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio_rustls::TlsConnector;
use tokio_util::sync::CancellationToken;
use wire::http::HeadLimits;
use wire::http::HttpListener;
use wire::http::json_response;
use wire::role::PeerRole;

const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

#[tokio::test]
async fn a_stop_waits_for_the_call_in_flight() {
    let authority = TestAuthority::new();
    let tls = authority
        .identity(PeerRole::Node)
        .tcp_server(&[PeerRole::Operator])
        .unwrap();
    let limits = HeadLimits {
        head_bytes: 16 * 1024,
        head_timeout: DRAIN_TIMEOUT,
    };
    let listener = HttpListener::bind(LOOPBACK, Some(tls), limits)
        .await
        .unwrap();
    let address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    let entered = Arc::new(Notify::new());
    let release = Arc::new(Notify::new());
    let (enter, wait) = (Arc::clone(&entered), Arc::clone(&release));
    let service = move |_, _| {
        let (enter, wait) = (Arc::clone(&enter), Arc::clone(&wait));
        async move {
            enter.notify_one();
            wait.notified().await;
            json_response(StatusCode::OK, &"done")
        }
    };
    let server = tokio::spawn(listener.serve(service, stop.clone(), DRAIN_TIMEOUT));

    let tls = authority
        .identity(PeerRole::Operator)
        .tcp_client(PeerRole::Node)
        .unwrap();
    let stream = TcpStream::connect(address).await.unwrap();
    let stream = TlsConnector::from(tls.config)
        .connect(tls.server_name, stream)
        .await
        .unwrap();
    let (mut sender, connection) =
        hyper::client::conn::http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
            .await
            .unwrap();
    tokio::spawn(connection);
    let request = Request::get("https://node.ragwortplank/status");
    let request = request.body(Empty::<Bytes>::new()).unwrap();
    let call = tokio::spawn(sender.send_request(request));
    entered.notified().await;
    stop.cancel();
    while TcpStream::connect(address).await.is_ok() {
        tokio::task::yield_now().await;
    }
    release.notify_one();
    let response = call.await.unwrap().unwrap();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    assert_eq!(body, Bytes::from_static(b"\"done\""));
    server.await.unwrap().unwrap();
}

#[tokio::test]
async fn a_connection_without_a_complete_request_head_is_closed() {
    let limits = HeadLimits {
        head_bytes: 16 * 1024,
        head_timeout: Duration::from_millis(50),
    };
    let listener = HttpListener::bind(LOOPBACK, None, limits).await.unwrap();
    let address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    let service = |_, _| async { json_response(StatusCode::OK, &"done") };
    tokio::spawn(listener.serve(service, stop, DRAIN_TIMEOUT));
    let heads: [&[u8]; 3] = [b"", b"GET / HTTP/1.1\r\nHost:", b"PRI * HTTP/2.0\r\n"];
    for head in heads {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(head).await.unwrap();
        let mut rest = Vec::new();
        // Returns when the server closes the connection, also with a reset.
        let _ = stream.read_to_end(&mut rest).await;
    }
}
