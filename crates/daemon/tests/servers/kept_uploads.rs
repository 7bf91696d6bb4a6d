//! Memory of a node whose callers keep connections on which they have uploaded.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

use crate::cluster::NODE_MEMORY_MIB;
use crate::cluster::TestCluster;
use crate::http;

/// Connections whose memory is measured, and those that are opened before.
const CONNECTIONS: u64 = 600;
const EARLIER_CONNECTIONS: u64 = 100;
/// Most connections that a node may have: its descriptors, less those that are for files.
const MAX_CONNECTIONS: u64 = 3_900;
/// Part of the memory that all of them may take while they are idle.
const MEMORY_FRACTION: f64 = 0.75;
/// Length of an upload, in bytes.
const BODY_BYTES: usize = 60_000;

/// Uploads on a new connection, and keeps it.
fn upload(cluster: &TestCluster, body: &[u8]) -> TcpStream {
    let mut stream = http::connect(cluster.node_address(0, 0)).unwrap();
    let id = rand::random::<u64>();
    let head = format!(
        "POST /unsafe/orders/1 HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer key-1\r\nX-Ragwortplank-Request-Id: {id:016x}\r\nX-Ragwortplank-Deadline-Ms: 60000\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(body).unwrap();
    let mut answer = Vec::new();
    let mut buffer = [0; 1024];
    while !answer.ends_with(b"\r\n\r\nok") {
        let count = stream.read(&mut buffer).unwrap();
        assert!(count > 0, "{}", String::from_utf8_lossy(&answer));
        answer.extend_from_slice(&buffer[..count]);
    }
    stream
}

// Guards against nodes that pass their memory with thousands of kept connections (Fault): each
// kept the buffers of its last body for as long as it lasted.
#[test]
fn idle_connections_that_have_uploaded_take_little_memory() {
    let cluster = TestCluster::start(&["orders"]);
    let body = vec![b'x'; BODY_BYTES];
    let mut kept: Vec<TcpStream> = (0..EARLIER_CONNECTIONS)
        .map(|_| upload(&cluster, &body))
        .collect();
    let before = cluster.memory_kib(0, "RssAnon:");
    kept.extend((0..CONNECTIONS).map(|_| upload(&cluster, &body)));
    let grown = cluster.memory_kib(0, "RssAnon:").saturating_sub(before);
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    let (grown, memory) = (grown as f64, (NODE_MEMORY_MIB * 1024) as f64);
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    let of_all = grown * MAX_CONNECTIONS as f64 / CONNECTIONS as f64;
    assert!(
        of_all <= memory * MEMORY_FRACTION,
        "{grown} KiB for {CONNECTIONS} connections, {} at most",
        memory * MEMORY_FRACTION * CONNECTIONS as f64 / MAX_CONNECTIONS as f64
    );
    drop(kept);
}
