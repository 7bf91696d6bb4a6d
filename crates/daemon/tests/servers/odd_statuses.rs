//! Answers of a server in trouble whose status is no status of HTTP.

use std::io::Write;

use crate::cluster::TestCluster;
use crate::raw_server::RawServer;

/// One server for each service, so that a request to `orders` takes one node or two.
const SERVICES: [&str; 2] = ["orders", "stock"];
/// Status codes outside 100 to 599, and what is no number of three digits.
const ODD_STATUSES: [&str; 14] = [
    "000", "001", "042", "099", "600", "601", "666", "700", "999", "00", "0000", "1000", "-20",
    "2O0",
];

/// What the server says beside the status.
#[derive(Clone, Copy, Debug)]
struct AnswerKind {
    has_stamp: bool,
    is_refusal: bool,
}

const ANSWER_KINDS: [AnswerKind; 4] = [
    AnswerKind {
        has_stamp: true,
        is_refusal: false,
    },
    AnswerKind {
        has_stamp: false,
        is_refusal: false,
    },
    AnswerKind {
        has_stamp: true,
        is_refusal: true,
    },
    AnswerKind {
        has_stamp: false,
        is_refusal: true,
    },
];

/// Lets the server of `orders` answer each request with a status.
fn answer_oddly(cluster: &TestCluster, status: &'static str, kind: AnswerKind) {
    cluster.servers[0].set_script(move |server, stream, request| {
        server.execute(request);
        let stamp = if kind.has_stamp {
            format!("X-Ragwortplank-Server-Stamp: {}\r\n", server.name)
        } else {
            String::new()
        };
        let claim = if kind.is_refusal {
            "X-Ragwortplank-Not-Executed: 1\r\n"
        } else {
            ""
        };
        let answer = format!(
            "HTTP/1.1 {status} Trouble\r\nX-Ragwortplank-Request-Id: {}\r\nContent-Length: 4\r\n{stamp}{claim}\r\nodd!",
            request.id
        );
        stream.write_all(answer.as_bytes()).is_ok()
    });
}

// Guards against answers that callers get although their status is none (MIXED): nothing says
// whether the server ran the request.
#[test]
fn a_status_outside_http_is_no_answer() {
    let mut cluster = TestCluster::start(&SERVICES);
    for status in ODD_STATUSES {
        for kind in ANSWER_KINDS {
            answer_oddly(&cluster, status, kind);
            for (node, path) in [
                (0, "GET /safe/orders/1"),
                (0, "POST /unsafe/orders/1"),
                (1, "GET /safe/orders/1"),
                (1, "POST /unsafe/orders/1"),
            ] {
                let id = format!("{:016x}", rand::random::<u64>());
                let response = cluster.call(node, path, &id).unwrap();
                let context = format!("{status} {kind:?} {path} at node {node}: {response:?}");
                assert_eq!(cluster.executions(&id), 1, "{context}");
                assert_eq!(response.status, 502, "{context}");
                assert!(!response.head.contains("server-stamp"), "{context}");
                assert!(!response.body.starts_with(b"odd!"), "{context}");
            }
        }
    }
    cluster.servers[0].set_script(RawServer::answer_soundly);
    cluster.await_serving();
    cluster.assert_running();
}
