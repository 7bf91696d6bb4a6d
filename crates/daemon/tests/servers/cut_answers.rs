//! Answers that a server breaks off, in the head or behind it, and then closes the connection.

use std::io::Write;

use crate::cluster::TestCluster;
use crate::raw_server::RawServer;

/// Both servers run the same service and break off alike.
const SERVICES: [&str; 2] = ["orders", "orders"];
/// Body of a whole answer, and the same in chunks.
const BODY: &str = "whole body";
const CHUNKS: &str = "5\r\nwhole\r\n5\r\n body\r\n0\r\n\r\n";

/// How an answer tells where its body ends.
#[derive(Clone, Copy, Debug)]
enum BodyFraming {
    Length,
    Chunks,
}

impl BodyFraming {
    fn answer(self, server: &RawServer, id: &str) -> Vec<u8> {
        let (line, body) = match self {
            Self::Length => (format!("Content-Length: {}", BODY.len()), BODY),
            Self::Chunks => ("Transfer-Encoding: chunked".to_owned(), CHUNKS),
        };
        format!(
            "HTTP/1.1 200 OK\r\nX-Ragwortplank-Request-Id: {id}\r\nX-Ragwortplank-Server-Stamp: {}\r\n{line}\r\n\r\n{body}",
            server.name
        )
        .into_bytes()
    }
}

/// Lets the servers answer the first request on a connection whole if `is_kept`, and break off any
/// other answer before the last `missing` bytes.
fn break_off(cluster: &TestCluster, framing: BodyFraming, missing: usize, is_kept: bool) {
    for server in &cluster.servers {
        server.set_script(move |server, stream, request| {
            server.execute(request);
            let answer = framing.answer(server, &request.id);
            let is_whole = is_kept && request.position == 1;
            let length = answer.len() - if is_whole { 0 } else { missing };
            stream.write_all(&answer[..length]).is_ok() && is_whole
        });
    }
}

fn check_cuts(framing: BodyFraming, path: &str) {
    let cluster = TestCluster::start(&SERVICES);
    let length = framing.answer(&cluster.servers[0], &new_id()).len();
    for missing in 1..=length {
        for is_kept in [false, true] {
            break_off(&cluster, framing, missing, is_kept);
            let context = format!("{framing:?}, {missing} of {length} missing, kept {is_kept}");
            for _ in 0..2 {
                check_call(&cluster, path, is_kept, &context);
            }
        }
    }
}

fn check_call(cluster: &TestCluster, path: &str, is_kept: bool, context: &str) {
    let id = new_id();
    let response = cluster.call(0, path, &id).unwrap();
    let is_whole = response.body == BODY.as_bytes() && response.head.contains(&id);
    if response.status == 200 {
        assert!(is_kept && is_whole, "{context}: {response:?}");
    }
    // Neither may the caller be told that it has not run.
    let promises = matches!(response.status, 408 | 421 | 429 | 503);
    assert!(
        !promises || cluster.executions(&id) == 0,
        "{context}: {response:?}"
    );
}

fn new_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

#[test]
fn no_answer_of_known_length_that_breaks_off_anywhere_looks_whole() {
    check_cuts(BodyFraming::Length, "POST /unsafe/orders/1");
}

#[test]
fn no_answer_in_chunks_that_breaks_off_anywhere_looks_whole() {
    check_cuts(BodyFraming::Chunks, "GET /safe/orders/1");
}
