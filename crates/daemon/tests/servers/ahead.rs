//! Callers that send requests before the answers to the ones before.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::cluster::TestCluster;
use crate::http;
use crate::http::find;
use crate::wait::eventually;

const SERVICES: [&str; 2] = ["orders", "orders"];
/// Longest wait for an answer before it counts as missing.
const ANSWER_TIMEOUT: Duration = Duration::from_mins(1);

fn request(method_and_path: &str, id: &str, more: &str) -> String {
    format!(
        "{method_and_path} HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer key-1\r\nX-Ragwortplank-Deadline-Ms: 60000\r\nX-Ragwortplank-Request-Id: {id}\r\n{more}\r\n"
    )
}

fn get(id: &str) -> String {
    request("GET /safe/orders/1", id, "")
}

/// Opens a connection and sends all requests in one write.
fn send_ahead(cluster: &TestCluster, requests: &[String]) -> TcpStream {
    let mut stream = http::connect(cluster.node_address(0, 0)).unwrap();
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
    stream.write_all(requests.concat().as_bytes()).unwrap();
    stream
}

/// Reads the head of one answer with a body of two bytes or none; returns it in lower case.
fn read_answer(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut received = Vec::new();
    while find(&received, b"\r\n\r\n").is_none() {
        let mut byte = [0];
        stream.read_exact(&mut byte)?;
        received.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&received).to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    stream.read_exact(&mut vec![0; length])?;
    Ok(head)
}

/// Lets the servers hold every request of which `is_held` says so; answers what is released.
#[derive(Clone, Default)]
struct HeldRequests {
    released: Arc<Mutex<Vec<String>>>,
}

impl HeldRequests {
    fn hold(
        &self,
        cluster: &TestCluster,
        is_held: impl Fn(&str) -> bool + Clone + Send + Sync + 'static,
    ) {
        for server in &cluster.servers {
            let held = self.clone();
            let is_held = is_held.clone();
            server.set_script(move |server, stream, request| {
                server.execute(request);
                if is_held(&request.id) {
                    held.await_release(&request.id);
                }
                stream.write_all(&server.answer(&request.id, b"ok")).is_ok()
            });
        }
    }

    fn release(&self, id: &str) {
        self.released.lock().unwrap().push(id.to_owned());
    }

    fn await_release(&self, id: &str) {
        eventually("the request is released", || {
            self.released
                .lock()
                .unwrap()
                .iter()
                .any(|other| other == id)
        });
    }
}

fn runs(cluster: &TestCluster, id: &str) {
    eventually("the request runs", || cluster.executions(id) == 1);
}

#[test]
fn requests_that_may_be_repeated_run_beside_each_other_and_are_answered_in_order() {
    let cluster = TestCluster::start(&SERVICES);
    let held = HeldRequests::default();
    held.hold(&cluster, |id| id.starts_with("held"));
    let ids = ["held-1", "next-2", "held-3", "next-4"];
    let mut stream = send_ahead(&cluster, &ids.map(get));
    for id in ids {
        runs(&cluster, id);
    }
    held.release("held-3");
    held.release("held-1");
    for id in ids {
        let answer = read_answer(&mut stream).unwrap();
        assert!(answer.starts_with("http/1.1 200"), "{id}: {answer}");
        assert!(answer.contains(id), "{id}: {answer}");
    }
}

#[test]
fn a_request_that_may_not_be_repeated_runs_only_once_all_before_it_are_answered() {
    let cluster = TestCluster::start(&SERVICES);
    let held = HeldRequests::default();
    held.hold(&cluster, |id| id.starts_with("held"));
    let requests = [
        get("held-1"),
        request("POST /unsafe/orders/1", "unsafe-2", "Content-Length: 0\r\n"),
        get("safe-3"),
    ];
    let mut stream = send_ahead(&cluster, &requests);
    runs(&cluster, "held-1");
    // A request on another connection passes through the same node meanwhile.
    assert_eq!(
        cluster
            .call(0, "GET /safe/orders/1", "other")
            .unwrap()
            .status,
        200
    );
    assert_eq!(cluster.executions("unsafe-2"), 0);
    assert_eq!(cluster.executions("safe-3"), 0);
    held.release("held-1");
    for id in ["held-1", "unsafe-2", "safe-3"] {
        let answer = read_answer(&mut stream).unwrap();
        assert!(answer.contains(id), "{id}: {answer}");
        assert_eq!(cluster.executions(id), 1);
    }
}

/// Lets the servers run requests until their connection closes; returns whose did.
fn run_until_cut(cluster: &TestCluster) -> Arc<Mutex<Vec<String>>> {
    let cut = Arc::<Mutex<Vec<String>>>::default();
    for server in &cluster.servers {
        let cut = Arc::clone(&cut);
        server.set_script(move |server, stream, request| {
            server.execute(request);
            let ended = stream.peek(&mut [0]);
            if matches!(ended, Ok(0)) || ended.is_err() {
                cut.lock().unwrap().push(request.id.clone());
            }
            false
        });
    }
    cut
}

#[test]
fn servers_stop_work_for_a_caller_that_leaves_while_its_next_requests_wait() {
    let cluster = TestCluster::start(&SERVICES);
    let cut = run_until_cut(&cluster);
    let unsafe_next = request("POST /unsafe/orders/1", "next-2", "Content-Length: 0\r\n");
    let _stays = send_ahead(&cluster, &[get("held-0")]);
    runs(&cluster, "held-0");
    let stream = send_ahead(&cluster, &[get("held-1"), unsafe_next]);
    runs(&cluster, "held-1");
    drop(stream);
    eventually("the server learns that the caller has left", || {
        cut.lock().unwrap().iter().any(|id| id == "held-1")
    });
    // The deadline of the one that stays comes first, so it was not the deadline.
    assert_eq!(*cut.lock().unwrap(), ["held-1"]);
    assert_eq!(cluster.executions("next-2"), 0);
}

#[test]
fn a_request_behind_one_that_asks_to_close_is_not_passed_on() {
    let cluster = TestCluster::start(&SERVICES);
    let closing = request("GET /safe/orders/1", "last-1", "Connection: close\r\n");
    let mut stream = send_ahead(&cluster, &[closing, get("behind-2")]);
    let answer = read_answer(&mut stream).unwrap();
    assert!(answer.contains("last-1"), "{answer}");
    assert!(read_answer(&mut stream).is_err());
    assert_eq!(cluster.executions("behind-2"), 0);
}

#[test]
fn bodies_and_unreadable_heads_behind_others_are_answered_in_their_turn() {
    let cluster = TestCluster::start(&SERVICES);
    let with_body = request("POST /unsafe/orders/1", "body-2", "Content-Length: 4\r\n") + "body";
    let chunked = request(
        "POST /unsafe/orders/1",
        "chunks-3",
        "Transfer-Encoding: chunked\r\n",
    );
    let requests = [
        get("plain-1"),
        with_body,
        chunked + "2\r\nab\r\n0\r\n\r\n",
        get("plain-4"),
        "no request\r\n\r\n".to_owned(),
    ];
    let mut stream = send_ahead(&cluster, &requests);
    for id in ["plain-1", "body-2", "chunks-3", "plain-4"] {
        let answer = read_answer(&mut stream).unwrap();
        assert!(answer.contains(id), "{id}: {answer}");
        assert_eq!(cluster.executions(id), 1);
    }
    let answer = read_answer(&mut stream).unwrap();
    assert!(answer.starts_with("http/1.1 400"), "{answer}");
}

#[test]
fn a_request_of_two_lengths_is_not_passed_on() {
    let cluster = TestCluster::start(&SERVICES);
    for lines in [
        "Content-Length: 0\r\nContent-Length: 40\r\n",
        "Content-Length: +4\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 4\r\nTransfer-Encoding: identity\r\n",
    ] {
        let odd = request("POST /unsafe/orders/1", "odd-1", lines) + "body";
        let mut stream = send_ahead(&cluster, &[odd, get("behind-2")]);
        let answer = read_answer(&mut stream).unwrap_or_default();
        assert!(!answer.starts_with("http/1.1 200"), "{lines}: {answer}");
        assert_eq!(cluster.executions("behind-2"), 0, "{lines}");
    }
}
