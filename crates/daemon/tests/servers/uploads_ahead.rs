//! Callers that send requests behind uploads, and leave.
//!
//! Uploads come in pieces or in chunks, so that they have begun before all of them has arrived.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::cluster::TestCluster;
use crate::http;
use crate::http::find;
use crate::wait::eventually;

const SERVICES: [&str; 2] = ["orders", "orders"];
/// Length of an upload, in bytes.
const BODY_BYTES: usize = 60_000;
/// Pause within an upload, so that the node sees it begin.
const PIECE_PAUSE: Duration = Duration::from_millis(30);
/// Time in which something would show that must not happen.
const QUIET_TIME: Duration = Duration::from_millis(700);
/// Uploads that wait behind requests under way: more than a node reads ahead, and less than the
/// sockets hold.
const NEXT_UPLOADS: usize = 2;
/// Seeds of random connections.
const SEEDS: std::ops::Range<u64> = 0..24;

fn head(method_and_path: &str, id: &str, more: &str) -> String {
    format!(
        "{method_and_path} HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer key-1\r\nX-Ragwortplank-Deadline-Ms: 60000\r\nX-Ragwortplank-Request-Id: {id}\r\n{more}\r\n"
    )
}

fn get(id: &str) -> Vec<u8> {
    head("GET /safe/orders/1", id, "").into_bytes()
}

/// How the body of an upload is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum UploadForm {
    Length,
    Chunks,
    /// After the node has asked for it.
    Continue,
}

const FORMS: [UploadForm; 3] = [UploadForm::Length, UploadForm::Chunks, UploadForm::Continue];

/// Returns the head of an upload, and its body as it is sent.
fn upload(id: &str, form: UploadForm) -> (Vec<u8>, Vec<u8>) {
    let body = vec![b'u'; BODY_BYTES];
    let length = format!("Content-Length: {BODY_BYTES}\r\n");
    let (more, body) = match form {
        UploadForm::Length => (length, body),
        UploadForm::Continue => (length + "Expect: 100-continue\r\n", body),
        UploadForm::Chunks => {
            let chunks = body.chunks(7_001);
            let chunks = chunks.flat_map(|chunk| {
                let line = format!("{:x};part=1\r\n", chunk.len()).into_bytes();
                [line, chunk.to_vec(), b"\r\n".to_vec()].concat()
            });
            let mut body: Vec<u8> = chunks.collect();
            body.extend_from_slice(b"0\r\nX-Trailer: yes\r\n\r\n");
            ("Transfer-Encoding: chunked\r\n".to_owned(), body)
        }
    };
    (head("POST /unsafe/orders/1", id, &more).into_bytes(), body)
}

/// Sends an upload in pieces; the node has begun with it before its end is sent.
fn send_upload(stream: &mut TcpStream, id: &str, form: UploadForm) {
    let (head, body) = upload(id, form);
    stream.write_all(&head).unwrap();
    if form == UploadForm::Continue {
        let asked = read_head(stream);
        assert!(asked.starts_with("http/1.1 100"), "{asked}");
    } else {
        thread::sleep(PIECE_PAUSE);
    }
    let (begin, end) = body.split_at(body.len() / 2);
    stream.write_all(begin).unwrap();
    thread::sleep(PIECE_PAUSE);
    stream.write_all(end).unwrap();
}

/// Reads a head; returns it in lower case, empty at the end of the connection.
fn read_head(stream: &mut TcpStream) -> String {
    let mut received = Vec::new();
    while find(&received, b"\r\n\r\n").is_none() {
        let mut byte = [0];
        if !matches!(stream.read(&mut byte), Ok(1)) {
            return String::new();
        }
        received.push(byte[0]);
    }
    String::from_utf8_lossy(&received).to_ascii_lowercase()
}

/// Reads an answer with its body; returns its head.
fn read_answer(stream: &mut TcpStream) -> String {
    let head = read_head(stream);
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    let _ = stream.read_exact(&mut vec![0; length]);
    head
}

/// Requests whose connection a server has seen close while it was at work on them.
type CutRequests = Arc<Mutex<Vec<String>>>;

/// Lets the servers answer uploads, and run other requests until their connection closes.
fn run_until_cut(cluster: &TestCluster) -> CutRequests {
    let cut = CutRequests::default();
    for server in &cluster.servers {
        let cut = Arc::clone(&cut);
        server.set_script(move |server, stream, request| {
            server.execute(request);
            if !request.id.starts_with("held") {
                return stream.write_all(&server.answer(&request.id, b"ok")).is_ok();
            }
            let ended = stream.peek(&mut [0]);
            if matches!(ended, Ok(0)) || ended.is_err() {
                cut.lock().unwrap().push(request.id.clone());
            }
            false
        });
    }
    cut
}

/// Sends a request on another connection, and keeps that while the request runs.
fn stay(cluster: &TestCluster, id: &str) -> TcpStream {
    let mut stream = http::connect(cluster.node_address(0, 0)).unwrap();
    stream.write_all(&get(id)).unwrap();
    eventually("the request that stays runs", || {
        cluster.executions(id) == 1
    });
    stream
}

/// Guards against work of backend servers for callers that have left: behind an upload, nobody saw
/// them leave, and what they had sent ahead was passed on seconds later.
#[test]
fn nothing_runs_for_a_caller_that_has_left_behind_an_upload() {
    let cluster = TestCluster::start(&SERVICES);
    for form in FORMS {
        let cut = run_until_cut(&cluster);
        let id = |name: &str| format!("{name}-{form:?}").to_lowercase();
        let _stays = stay(&cluster, &id("held-0"));
        let mut stream = http::connect(cluster.node_address(0, 0)).unwrap();
        send_upload(&mut stream, &id("upload"), form);
        stream.write_all(&get(&id("held-1"))).unwrap();
        let unsafe_next = head(
            "POST /unsafe/orders/1",
            &id("next-2"),
            "Content-Length: 0\r\n",
        );
        stream.write_all(unsafe_next.as_bytes()).unwrap();
        let answer = read_answer(&mut stream);
        assert!(answer.starts_with("http/1.1 200"), "{form:?}: {answer}");
        eventually("the request behind the upload runs", || {
            cluster.executions(&id("held-1")) == 1
        });
        drop(stream);
        eventually("the server learns that the caller has left", || {
            cut.lock().unwrap().contains(&id("held-1"))
        });
        // The deadline of the one that stays comes first, so it was not the deadline.
        assert!(!cut.lock().unwrap().contains(&id("held-0")), "{form:?}");
        thread::sleep(QUIET_TIME);
        assert_eq!(cluster.executions(&id("next-2")), 0, "{form:?}");
    }
}

#[test]
fn an_upload_whose_caller_leaves_before_its_end_does_not_run() {
    let cluster = TestCluster::start(&SERVICES);
    for form in [UploadForm::Length, UploadForm::Chunks] {
        let id = format!("upload-{form:?}").to_lowercase();
        let (head, body) = upload(&id, form);
        let mut stream = http::connect(cluster.node_address(0, 0)).unwrap();
        stream.write_all(&head).unwrap();
        thread::sleep(PIECE_PAUSE);
        stream.write_all(&body[..body.len() / 2]).unwrap();
        drop(stream);
        thread::sleep(QUIET_TIME);
        assert_eq!(cluster.executions(&id), 0, "{form:?}");
    }
}

/// An answer given before the body was read says that it closes the connection.
#[test]
fn an_upload_that_is_refused_before_its_end_is_told_that_its_connection_closes() {
    let cluster = TestCluster::start(&SERVICES);
    for form in [UploadForm::Length, UploadForm::Chunks] {
        let (head, body) = upload("refused", form);
        let head = String::from_utf8(head).unwrap();
        let head = head.replace("key-1", "no-key");
        let mut stream = http::connect(cluster.node_address(0, 0)).unwrap();
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(&body[..100]).unwrap();
        let answer = read_answer(&mut stream);
        assert!(answer.starts_with("http/1.1 401"), "{form:?}: {answer}");
        assert!(answer.contains("connection: close"), "{form:?}: {answer}");
        assert_eq!(read_head(&mut stream), "", "{form:?}");
    }
    // A body that has arrived whole costs nothing: the connection stays.
    let refused = head("POST /unsafe/orders/1", "refused", "Content-Length: 4\r\n");
    let refused = refused.replace("key-1", "no-key") + "body";
    let mut stream = http::connect(cluster.node_address(0, 0)).unwrap();
    stream.write_all(refused.as_bytes()).unwrap();
    stream.write_all(&get("kept")).unwrap();
    assert!(read_answer(&mut stream).starts_with("http/1.1 401"));
    assert!(read_answer(&mut stream).starts_with("http/1.1 200"));
}

#[test]
fn a_chunked_body_that_is_malformed_does_not_run_and_nothing_behind_it_does() {
    let cluster = TestCluster::start(&SERVICES);
    for body in ["zz\r\nab\r\n0\r\n\r\n", "2\r\nabc\r\n0\r\n\r\n"] {
        let more = "Transfer-Encoding: chunked\r\n";
        let request = head("POST /unsafe/orders/1", "malformed", more) + body;
        let mut stream = http::connect(cluster.node_address(0, 0)).unwrap();
        stream.write_all(request.as_bytes()).unwrap();
        stream.write_all(&get("behind")).unwrap();
        let answer = read_answer(&mut stream);
        assert!(answer.starts_with("http/1.1 400"), "{body}: {answer}");
        assert_eq!(read_head(&mut stream), "", "{body}");
        assert_eq!(cluster.executions("malformed"), 0, "{body}");
        assert_eq!(cluster.executions("behind"), 0, "{body}");
    }
}

#[test]
fn a_head_alone_is_answered_without_a_body_and_the_connection_stays() {
    let cluster = TestCluster::start(&SERVICES);
    let mut stream = http::connect(cluster.node_address(0, 0)).unwrap();
    let refused = head("HEAD /nowhere/", "head-1", "");
    stream.write_all(refused.as_bytes()).unwrap();
    stream.write_all(&get("behind-2")).unwrap();
    assert!(read_head(&mut stream).starts_with("http/1.1 404"));
    let answer = read_answer(&mut stream);
    assert!(answer.starts_with("http/1.1 200"), "{answer}");
}

/// Searches orders of uploads and requests with a caller that leaves at some point.
#[test]
fn nothing_begins_or_goes_on_after_a_caller_has_left_at_any_point() {
    let cluster = TestCluster::start(&SERVICES);
    for seed in SEEDS {
        let cut = run_until_cut(&cluster);
        let stays = format!("held-{seed}-stays");
        let _stays = stay(&cluster, &stays);
        let mut rng = StdRng::seed_from_u64(seed);
        let mut stream = http::connect(cluster.node_address(0, 0)).unwrap();
        let uploads = rng.random_range(1..=3_usize);
        let mut sent = 0;
        for number in 0..uploads {
            let form = FORMS[rng.random_range(0..FORMS.len())];
            send_upload(&mut stream, &format!("upload-{seed}-{number}"), form);
            // Requests between two uploads are answered, so that the next one can begin.
            if rng.random_bool(0.5) {
                stream
                    .write_all(&get(&format!("between-{seed}-{number}")))
                    .unwrap();
                sent += 1;
            }
            sent += 1;
            for _ in 0..std::mem::take(&mut sent) {
                let answer = read_answer(&mut stream);
                assert!(answer.starts_with("http/1.1 200"), "{seed}: {answer}");
            }
        }
        let held = rng.random_range(1..=3_usize);
        for number in 0..held {
            stream
                .write_all(&get(&format!("held-{seed}-{number}")))
                .unwrap();
        }
        for number in 0..NEXT_UPLOADS {
            let id = format!("next-{seed}-{number}");
            let (begin, rest) = upload(&id, UploadForm::Length);
            stream.write_all(&[begin, rest].concat()).unwrap();
        }
        eventually("the requests behind the uploads run", || {
            (0..held).all(|number| cluster.executions(&format!("held-{seed}-{number}")) == 1)
        });
        if rng.random_bool(0.5) {
            stream.shutdown(Shutdown::Both).unwrap();
        }
        drop(stream);
        eventually("the servers learn that the caller has left", || {
            let cut = cut.lock().unwrap();
            (0..held).all(|number| cut.contains(&format!("held-{seed}-{number}")))
        });
        assert!(!cut.lock().unwrap().contains(&stays), "{seed}");
        let begun: usize = (0..NEXT_UPLOADS)
            .map(|number| cluster.executions(&format!("next-{seed}-{number}")))
            .sum();
        assert_eq!(begun, 0, "{seed}");
    }
}
