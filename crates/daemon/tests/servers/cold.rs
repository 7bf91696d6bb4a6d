//! A backend server that becomes cold between two announcements.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::cluster::TestCluster;
use crate::raw_server::RawServer;
use crate::raw_server::ReceivedRequest;
use crate::wait::eventually;

/// Remaining cold time that the health path states, in milliseconds.
static COLD_MS: AtomicU64 = AtomicU64::new(0);

/// Answers health checks, which carry no id, with the remaining cold time, and runs all else.
fn answer(server: &RawServer, to: &mut TcpStream, request: &ReceivedRequest) -> bool {
    if !request.id.is_empty() {
        return server.answer_soundly(to, request);
    }
    let cold_ms = COLD_MS.load(Ordering::Relaxed);
    let head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Ragwortplank-Cold-Ms";
    write!(to, "{head}: {cold_ms}\r\n\r\n").is_ok()
}

/// Guards against a server that gets calls although its health path says that it is cold. Its
/// service allows one request in a quarter of an hour, so that the test needs no clock.
#[test]
fn a_server_that_becomes_cold_between_announcements_gets_no_calls_until_it_is_warm() {
    let mut cluster = TestCluster::start(&["orders"]);
    let document = include_str!("config.json")
        .replace(r#"3,"baseVersion":0"#, r#"4,"baseVersion":3"#)
        .replace(
            r#""name":"orders","healthPath""#,
            r#""name":"orders","coldStart":3600,"coldPerS":0.001,"healthPath""#,
        );
    eventually("the configuration is acknowledged", || {
        cluster.put_document(document.as_bytes()) == Some(200)
    });
    cluster.servers[0].set_script(answer);
    let status = |cluster: &TestCluster| {
        let id = format!("{:016x}", rand::random::<u64>());
        let answer = cluster.call(0, "GET /safe/orders/1", &id);
        (answer.unwrap().status, cluster.executions(&id))
    };
    COLD_MS.store(3_600_000, Ordering::Relaxed);
    eventually("calls are refused and do not run", || {
        status(&cluster) == (503, 0)
    });
    assert_eq!(status(&cluster), (503, 0));
    eventually("the node logs it", || {
        cluster.log("node-0").contains("event=server-cold")
    });
    COLD_MS.store(0, Ordering::Relaxed);
    cluster.announce_anew();
    eventually("calls run again", || status(&cluster) == (200, 1));
}
