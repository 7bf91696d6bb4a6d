//! Answers of backend servers, and requests of callers, that never end.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

use crate::cluster::NODE_MEMORY_MIB;
use crate::cluster::TestCluster;
use crate::http;
use crate::raw_server::RawServer;
use crate::raw_server::ReceivedRequest;
use crate::wait::eventually;

/// Requests under way at once.
const CALLERS: usize = 12;
/// Deadlines of requests, in milliseconds: of those that no answer can serve, and of those that
/// are served on a slow machine, too.
const SHORT_DEADLINE_MS: &str = "1500";
const LONG_DEADLINE_MS: &str = "60000";
/// Size of one write, in bytes.
const BLOCK_BYTES: usize = 64 * 1024;
/// Size of a large answer that is not at fault, in bytes.
const LARGE_ANSWER_BYTES: usize = 20 * 1000 * 1000;
/// Chunks of one byte in a body that is not at fault.
const MANY_CHUNKS: usize = 100_000;
/// The faulty server runs the first service; callers call at either node.
const SERVICES: [&str; 2] = ["orders", "stock"];

/// An answer without end: how it begins, and what then repeats.
#[derive(Clone, Copy, Debug)]
struct EndlessAnswer {
    name: &'static str,
    begin: &'static str,
    repeat: &'static str,
}

const ANSWERS: [EndlessAnswer; 10] = [
    EndlessAnswer {
        name: "header line",
        begin: "HTTP/1.1 200 OK\r\nX-Ragwortplank-Request-Id: ID\r\nX-Long: ",
        repeat: "long",
    },
    EndlessAnswer {
        name: "headers",
        begin: "HTTP/1.1 200 OK\r\nX-Ragwortplank-Request-Id: ID\r\n",
        repeat: "X-More: more\r\n",
    },
    EndlessAnswer {
        name: "informational answers",
        begin: "",
        repeat: "HTTP/1.1 103 Early Hints\r\nX-More: more\r\n\r\n",
    },
    EndlessAnswer {
        name: "chunk size line",
        begin: "HTTP/1.1 200 OK\r\nX-Ragwortplank-Request-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n",
        repeat: "0",
    },
    EndlessAnswer {
        name: "chunk extension",
        begin: "HTTP/1.1 200 OK\r\nX-Ragwortplank-Request-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n1;",
        repeat: "more",
    },
    EndlessAnswer {
        name: "chunks",
        begin: "HTTP/1.1 200 OK\r\nX-Ragwortplank-Request-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n",
        repeat: "10\r\n0123456789abcdef\r\n",
    },
    EndlessAnswer {
        name: "chunks of one byte",
        begin: "HTTP/1.1 200 OK\r\nX-Ragwortplank-Request-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n",
        repeat: "1\r\nx\r\n",
    },
    EndlessAnswer {
        name: "enormous length",
        begin: "HTTP/1.1 200 OK\r\nX-Ragwortplank-Request-Id: ID\r\nContent-Length: 1000000000000000\r\n\r\n",
        repeat: "body",
    },
    EndlessAnswer {
        name: "body that ends with its connection",
        begin: "HTTP/1.1 200 OK\r\nX-Ragwortplank-Request-Id: ID\r\n\r\n",
        repeat: "body",
    },
    EndlessAnswer {
        name: "trailers",
        begin: "HTTP/1.1 200 OK\r\nX-Ragwortplank-Request-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
        repeat: "X-More: more\r\n",
    },
];

/// Waits for the turn of a test that keeps the machine busy.
fn take_turn() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::new(());
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

impl EndlessAnswer {
    /// Writes until the node closes the connection.
    fn write(
        self,
        server: &RawServer,
        stream: &mut TcpStream,
        request: &ReceivedRequest,
    ) -> io::Result<()> {
        server.execute(request);
        stream.write_all(self.begin.replace("ID", &request.id).as_bytes())?;
        let block = self.repeat.repeat(BLOCK_BYTES / self.repeat.len());
        loop {
            stream.write_all(block.as_bytes())?;
        }
    }
}

/// Calls a faulty server with many callers at once; returns the statuses.
fn call_at_once(
    cluster: &TestCluster,
    node: u8,
    method_and_path: &str,
    deadline_ms: &str,
) -> Vec<u16> {
    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|_| {
                scope.spawn(|| {
                    let id = format!("{:016x}", rand::random::<u64>());
                    let deadline = [("X-Ragwortplank-Deadline-Ms", deadline_ms)];
                    let response = cluster.call_with(node, method_and_path, &id, &deadline);
                    assert!(cluster.executions(&id) <= 1);
                    response.unwrap().status
                })
            })
            .collect();
        callers
            .into_iter()
            .map(|caller| caller.join().unwrap())
            .collect()
    })
}

fn check_endless_answer(answer: EndlessAnswer) {
    let _turn = take_turn();
    let mut cluster = TestCluster::start(&SERVICES);
    let name = answer.name;
    cluster.servers[0]
        .set_script(move |server, stream, request| answer.write(server, stream, request).is_ok());
    for node in 0..2 {
        let statuses = call_at_once(&cluster, node, "POST /unsafe/orders/1", SHORT_DEADLINE_MS);
        let expected = |status: &u16| matches!(status, 502 | 504);
        assert!(statuses.iter().all(expected), "{name}: {statuses:?}");
        let other = cluster.call(node, "POST /unsafe/stock/1", "0123456789abcdef");
        assert_eq!(other.unwrap().status, 200, "{name}");
    }
    for node in 0..2 {
        let peak = cluster.peak_memory_mib(node);
        assert!(
            peak < NODE_MEMORY_MIB,
            "{name}: node {node} took {peak} MiB"
        );
    }
    eventually("the connections of endless answers are closed", || {
        let (opened, closed) = cluster.servers[0].connections();
        opened == closed
    });
    eventually("the end is logged", || {
        let log = cluster.log("node-0") + &cluster.log("node-1");
        log.contains("cause=bad-answer") || log.contains("cause=timeout")
    });
    cluster.assert_running();
}

macro_rules! endless_answer_tests {
    ($($test:ident: $position:literal,)*) => {
        $(#[test]
        fn $test() {
            check_endless_answer(ANSWERS[$position]);
        })*
    };
}

endless_answer_tests! {
    a_header_line_without_end_is_given_up: 0,
    headers_without_end_are_given_up: 1,
    informational_answers_without_end_are_given_up: 2,
    a_chunk_size_line_without_end_is_given_up: 3,
    a_chunk_extension_without_end_is_given_up: 4,
    chunks_without_end_are_given_up: 5,
    chunks_of_one_byte_without_end_are_given_up: 6,
    an_answer_of_enormous_length_is_given_up: 7,
    a_body_that_ends_with_a_connection_without_end_is_given_up: 8,
    trailers_without_end_are_given_up: 9,
}

#[test]
fn a_refusal_with_a_body_without_end_refuses_and_ends_its_connection() {
    let _turn = take_turn();
    let mut cluster = TestCluster::start(&SERVICES);
    cluster.servers[0].set_script(|_, stream, request| {
        let head = format!(
            "HTTP/1.1 503 Service Unavailable\r\nX-Ragwortplank-Request-Id: {}\r\nX-Ragwortplank-Not-Executed: 1\r\n\r\n",
            request.id
        );
        let block = vec![b'x'; BLOCK_BYTES];
        let mut written = stream.write_all(head.as_bytes());
        while written.is_ok() {
            written = stream.write_all(&block);
        }
        false
    });
    for node in 0..2 {
        let statuses = call_at_once(&cluster, node, "POST /unsafe/orders/1", LONG_DEADLINE_MS);
        assert_eq!(statuses, [503; CALLERS], "node {node}");
    }
    eventually("the connections of endless refusals are closed", || {
        let (opened, closed) = cluster.servers[0].connections();
        opened == closed
    });
    let peak = cluster.peak_memory_mib(0);
    assert!(peak < NODE_MEMORY_MIB, "the node took {peak} MiB");
    cluster.assert_running();
}

#[test]
fn a_large_answer_arrives_whole() {
    let _turn = take_turn();
    let mut cluster = TestCluster::start(&SERVICES);
    let pattern: Vec<u8> = (0..251).collect();
    let body: Arc<Vec<u8>> = Arc::new(
        pattern
            .iter()
            .copied()
            .cycle()
            .take(LARGE_ANSWER_BYTES)
            .collect(),
    );
    let served = Arc::clone(&body);
    cluster.servers[0].set_script(move |server, stream, request| {
        server.execute(request);
        stream
            .write_all(&server.answer(&request.id, &served))
            .is_ok()
    });
    for node in [0, 1, 0, 1] {
        let id = format!("{:016x}", rand::random::<u64>());
        let response = cluster.call(node, "POST /unsafe/orders/1", &id).unwrap();
        assert_eq!(response.status, 200, "node {node}: {}", response.head);
        assert!(response.body == *body, "node {node}: the body differs");
    }
    for node in 0..2 {
        let peak = cluster.peak_memory_mib(node);
        assert!(peak < NODE_MEMORY_MIB, "node {node} took {peak} MiB");
    }
    cluster.assert_running();
}

#[test]
fn a_body_in_chunks_of_one_byte_arrives_whole() {
    let cluster = TestCluster::start(&SERVICES);
    cluster.servers[0].set_script(|server, stream, request| {
        server.execute(request);
        let mut answer = format!(
            "HTTP/1.1 200 OK\r\nX-Ragwortplank-Request-Id: {}\r\nTransfer-Encoding: chunked\r\n\r\n",
            request.id
        );
        answer.push_str(&"1\r\nx\r\n".repeat(MANY_CHUNKS));
        answer.push_str("0\r\n\r\n");
        stream.write_all(answer.as_bytes()).is_ok()
    });
    for node in [0, 1, 0, 1] {
        let id = format!("{:016x}", rand::random::<u64>());
        let response = cluster.call(node, "POST /unsafe/orders/1", &id).unwrap();
        assert_eq!(response.status, 200, "node {node}: {}", response.head);
        assert!(response.body == [b'x'].repeat(MANY_CHUNKS), "node {node}");
    }
}

#[test]
fn others_are_served_while_an_endless_answer_is_under_way() {
    let _turn = take_turn();
    let cluster = TestCluster::start(&SERVICES);
    let under_way = Arc::new(AtomicBool::new(true));
    let answer = ANSWERS[8];
    cluster.servers[0]
        .set_script(move |server, stream, request| answer.write(server, stream, request).is_ok());
    thread::scope(|scope| {
        let faulty = scope.spawn(|| {
            let statuses: Vec<u16> = (0..4)
                .flat_map(|_| call_at_once(&cluster, 1, "POST /unsafe/orders/1", SHORT_DEADLINE_MS))
                .collect();
            under_way.store(false, Ordering::Relaxed);
            statuses
        });
        while under_way.load(Ordering::Relaxed) {
            let id = format!("{:016x}", rand::random::<u64>());
            let response = cluster.call(1, "POST /unsafe/stock/1", &id).unwrap();
            assert_eq!(response.status, 200, "{response:?}");
        }
        let statuses = faulty.join().unwrap();
        let expected = |status: &u16| matches!(status, 502 | 504);
        assert!(statuses.iter().all(expected), "{statuses:?}");
    });
}

#[test]
fn an_entry_node_bounds_the_answers_that_callers_do_not_read() {
    // The node beside the server has room for all of these answers, the entry node has not.
    let memory = [4096, NODE_MEMORY_MIB];
    let _turn = take_turn();
    let mut cluster = TestCluster::start_with_memory(&SERVICES, &memory);
    let body = Arc::new(vec![b'x'; LARGE_ANSWER_BYTES]);
    cluster.servers[0].set_script(move |server, stream, request| {
        server.execute(request);
        stream.write_all(&server.answer(&request.id, &body)).is_ok()
    });
    let unread: Vec<TcpStream> = (0..CALLERS)
        .map(|number| {
            let mut stream = http::connect(cluster.node_address(1, 0)).unwrap();
            let head = format!(
                "POST /unsafe/orders/1 HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer key-1\r\nX-Ragwortplank-Request-Id: unread-{number}\r\nX-Ragwortplank-Deadline-Ms: 60000\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).unwrap();
            let mut begin = [0; 12];
            stream.read_exact(&mut begin).unwrap();
            assert!([b"200", b"502"].contains(&begin[9..].try_into().unwrap()));
            stream
        })
        .collect();
    let peak = cluster.peak_memory_mib(1);
    assert!(peak < NODE_MEMORY_MIB, "the entry node took {peak} MiB");
    let other = cluster.call(1, "POST /unsafe/stock/1", "0123456789abcdef");
    assert_eq!(other.unwrap().status, 200);
    drop(unread);
    eventually("large answers pass again", || {
        let id = format!("{:016x}", rand::random::<u64>());
        let response = cluster.call(1, "POST /unsafe/orders/1", &id);
        response.is_ok_and(|response| response.status == 200)
    });
    cluster.assert_running();
}

#[test]
fn large_answers_at_once_do_not_end_a_link() {
    let _turn = take_turn();
    let mut cluster = TestCluster::start_with_memory(&SERVICES, &[4096, 4096]);
    let body = Arc::new(vec![b'x'; LARGE_ANSWER_BYTES]);
    cluster.servers[0].set_script(move |server, stream, request| {
        server.execute(request);
        stream.write_all(&server.answer(&request.id, &body)).is_ok()
    });
    let statuses = call_at_once(&cluster, 1, "POST /unsafe/orders/1", LONG_DEADLINE_MS);
    assert_eq!(statuses, [200; CALLERS]);
    assert!(!cluster.log("node-1").contains("node-link-lost"));
    cluster.assert_running();
}

#[test]
fn large_request_bodies_at_once_do_not_end_a_link() {
    let _turn = take_turn();
    let cluster = TestCluster::start_with_memory(&SERVICES, &[4096, 4096]);
    let body = vec![b'x'; LARGE_ANSWER_BYTES];
    let statuses: Vec<u16> = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| {
                let id = format!("large-{number}");
                let (cluster, body) = (&cluster, &body);
                scope.spawn(move || cluster.post(1, "POST /unsafe/orders/1", &id, body).unwrap())
            })
            .collect();
        callers
            .into_iter()
            .map(|caller| caller.join().unwrap().status)
            .collect()
    });
    assert_eq!(statuses, [200; CALLERS]);
    assert!(!cluster.log("node-1").contains("node-link-lost"));
}

#[test]
fn a_node_bounds_the_request_bodies_that_arrive_from_other_nodes() {
    // The entry node has room for all of these bodies, the node beside the server has not.
    let _turn = take_turn();
    let mut cluster = TestCluster::start_with_memory(&SERVICES, &[NODE_MEMORY_MIB, 4096]);
    cluster.announce_anew();
    cluster.servers[0].stop_reading();
    let body = vec![b'x'; LARGE_ANSWER_BYTES];
    thread::scope(|scope| {
        for number in 0..CALLERS {
            let (cluster, body) = (&cluster, &body);
            scope.spawn(move || {
                let id = format!("large-{number}");
                let deadline = [("X-Ragwortplank-Deadline-Ms", "5000")];
                let path = "POST /unsafe/orders/1";
                // The node may close the connection of a body that is late.
                let response = cluster.send(1, path, &id, &deadline, body);
                let status = response.map_or(0, |response| response.status);
                assert!(matches!(status, 0 | 408 | 502 | 503 | 504), "{status}");
                assert_eq!(cluster.executions(&id), 0);
            });
        }
    });
    let peak = cluster.peak_memory_mib(0);
    assert!(peak < NODE_MEMORY_MIB, "the node took {peak} MiB");
    cluster.assert_running();
}

/// Sends requests with a body that never ends, in chunks of one byte or of many, at once.
fn send_endless_bodies(chunk: &'static str) {
    let _turn = take_turn();
    let mut cluster = TestCluster::start(&SERVICES);
    let to = cluster.node_address(0, 0);
    let stopped = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let stopped = Arc::clone(&stopped);
            thread::spawn(move || {
                let mut stream = http::connect(to).unwrap();
                let head = format!(
                    "POST /unsafe/orders/1 HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer key-1\r\nX-Ragwortplank-Request-Id: endless-{number}\r\nX-Ragwortplank-Deadline-Ms: 1500\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                stream.write_all(head.as_bytes()).unwrap();
                let block = chunk.repeat(BLOCK_BYTES / chunk.len());
                while !stopped.load(Ordering::Relaxed) {
                    if stream.write_all(block.as_bytes()).is_err() {
                        return;
                    }
                }
            })
        })
        .collect();
    eventually("the node closes the connections", || {
        callers.iter().all(thread::JoinHandle::is_finished)
    });
    stopped.store(true, Ordering::Relaxed);
    let peak = cluster.peak_memory_mib(0);
    assert!(peak < NODE_MEMORY_MIB, "the node took {peak} MiB");
    let other = cluster.call(0, "POST /unsafe/stock/1", "0123456789abcdef");
    assert_eq!(other.unwrap().status, 200);
    assert!((0..CALLERS).all(|number| cluster.executions(&format!("endless-{number}")) == 0));
    cluster.assert_running();
}

#[test]
fn request_bodies_without_end_are_given_up() {
    send_endless_bodies("10\r\n0123456789abcdef\r\n");
}

#[test]
fn request_bodies_of_one_byte_chunks_without_end_are_given_up() {
    send_endless_bodies("1\r\nx\r\n");
}

#[test]
fn a_request_body_that_stops_short_is_given_up_at_its_deadline() {
    let _turn = take_turn();
    let cluster = TestCluster::start(&SERVICES);
    for head in ["Content-Length: 1000", "Transfer-Encoding: chunked"] {
        let mut stream = http::connect(cluster.node_address(0, 0)).unwrap();
        let request = format!(
            "POST /unsafe/orders/1 HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer key-1\r\nX-Ragwortplank-Request-Id: short\r\nX-Ragwortplank-Deadline-Ms: 500\r\n{head}\r\n\r\n3\r\n"
        );
        stream.write_all(request.as_bytes()).unwrap();
        let response = http::receive(&mut stream).unwrap();
        assert_eq!(response.status, 408, "{head}: {response:?}");
        assert_eq!(cluster.executions("short"), 0, "{head}");
    }
}

#[test]
fn a_request_head_without_end_is_given_up() {
    let _turn = take_turn();
    let mut cluster = TestCluster::start(&SERVICES);
    for begin in ["GET /", "GET / HTTP/1.1\r\nX-Long: "] {
        let callers: Vec<_> = (0..CALLERS)
            .map(|_| {
                let mut stream = http::connect(cluster.node_address(0, 0)).unwrap();
                thread::spawn(move || {
                    stream.write_all(begin.as_bytes()).unwrap();
                    let block = vec![b'x'; BLOCK_BYTES];
                    while stream.write_all(&block).is_ok() {}
                })
            })
            .collect();
        eventually("the node closes the connections", || {
            callers.iter().all(thread::JoinHandle::is_finished)
        });
    }
    let peak = cluster.peak_memory_mib(0);
    assert!(peak < NODE_MEMORY_MIB, "the node took {peak} MiB");
    cluster.assert_running();
}
