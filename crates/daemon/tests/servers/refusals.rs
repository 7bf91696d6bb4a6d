//! A refusal, or another answer, that a faulty backend server writes once more on a kept
//! connection.

use std::io::Write;
use std::net::TcpStream;

use crate::cluster::TestCluster;
use crate::raw_server::RawServer;
use crate::raw_server::ReceivedRequest;
use crate::wait::eventually;

/// Both servers run the same service, so that a request could run a second time.
const SERVICES: [&str; 2] = ["orders", "orders"];
/// Requests for each fault, and faults on kept connections to wait for.
const REQUESTS: usize = 12;
const LATE_FAULTS: usize = 3;

/// Status line and marker of a refusal.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RefusalForm {
    Marked503,
    Marked429,
    Misdirected421,
}

const FORMS: [RefusalForm; 3] = [
    RefusalForm::Marked503,
    RefusalForm::Marked429,
    RefusalForm::Misdirected421,
];

impl RefusalForm {
    fn write(self, id: Option<&str>) -> Vec<u8> {
        let lines = match self {
            Self::Marked503 => "503 Service Unavailable\r\nX-Ragwortplank-Not-Executed: 1",
            Self::Marked429 => "429 Too Many Requests\r\nX-Ragwortplank-Not-Executed: 1",
            Self::Misdirected421 => "421 Misdirected Request",
        };
        let id = id.map_or_else(String::new, |id| {
            format!("X-Ragwortplank-Request-Id: {id}\r\n")
        });
        format!("HTTP/1.1 {lines}\r\n{id}Content-Length: 0\r\n\r\n").into_bytes()
    }
}

/// What is written where the answer to a request on a kept connection is due.
#[derive(Clone, Copy, Debug)]
struct LateFault {
    form: RefusalForm,
    /// Whether the refusal bears the id of the first request on the connection.
    bears_id: bool,
    /// Whether the request's own answer follows.
    answers: bool,
    /// Position of the request on its connection.
    position: usize,
}

/// Refuses the first request on a connection, and writes a copy of it later.
fn refuse_again(
    fault: LateFault,
    bears_id_first: bool,
) -> impl Fn(&RawServer, &mut TcpStream, &ReceivedRequest) -> bool + Send + Sync + 'static {
    move |server, stream, request| {
        let first_id = Some(request.first_id.as_str());
        if request.position == 1 {
            let refusal = fault.form.write(first_id.filter(|_| bears_id_first));
            return stream.write_all(&refusal).is_ok();
        }
        server.execute(request);
        let mut bytes = Vec::new();
        if request.position == fault.position {
            server.count_late_fault();
            bytes = fault.form.write(first_id.filter(|_| fault.bears_id));
        }
        if request.position != fault.position || fault.answers {
            bytes.extend(server.answer(&request.id, b"ok"));
        }
        stream.write_all(&bytes).is_ok()
    }
}

/// Sends an unsafe request and checks what the caller is told.
fn call_and_check(cluster: &TestCluster, node: u8, context: &str) {
    let id = format!("{:016x}", rand::random::<u64>());
    let response = cluster.call(node, "POST /unsafe/orders/1", &id).unwrap();
    let executions = cluster.executions(&id);
    assert!(executions <= 1, "{context}: ran {executions} times");
    if matches!(response.status, 408 | 421 | 429 | 503) {
        assert_eq!(executions, 0, "{context}: told {}", response.status);
    }
    if response.status == 200 {
        assert!(response.head.contains(&id), "{context}: {response:?}");
        assert_eq!(executions, 1, "{context}");
    }
}

fn check_late_fault(cluster: &mut TestCluster, fault: LateFault, bears_id_first: bool) {
    cluster.announce_anew();
    for server in &cluster.servers {
        server.set_script(refuse_again(fault, bears_id_first));
    }
    let context = format!("{fault:?}, first with id: {bears_id_first}");
    let faults = || -> usize { cluster.servers.iter().map(RawServer::late_faults).sum() };
    let before = faults();
    for number in 0..REQUESTS {
        call_and_check(cluster, u8::from(number % 2 == 0), &context);
    }
    if bears_id_first {
        eventually("the fault strikes on kept connections", || {
            call_and_check(cluster, 0, &context);
            faults() >= before + LATE_FAULTS
        });
    }
}

fn check_late_faults(position: usize, answers: bool) {
    let mut cluster = TestCluster::start(&SERVICES);
    for form in FORMS {
        for (bears_id_first, bears_id) in [(true, true), (true, false), (false, false)] {
            let fault = LateFault {
                form,
                bears_id,
                answers,
                position,
            };
            check_late_fault(&mut cluster, fault, bears_id_first);
        }
    }
    cluster.assert_running();
}

#[test]
fn a_refusal_written_again_before_the_next_answer_refuses_nothing() {
    check_late_faults(2, true);
}

#[test]
fn a_refusal_written_again_instead_of_the_next_answer_refuses_nothing() {
    check_late_faults(2, false);
}

#[test]
fn a_refusal_written_again_several_requests_later_refuses_nothing() {
    check_late_faults(5, false);
}

#[test]
fn a_refusal_written_twice_in_a_row_refuses_nothing_else() {
    let mut cluster = TestCluster::start(&SERVICES);
    for form in FORMS {
        for bears_id in [true, false] {
            cluster.announce_anew();
            for server in &cluster.servers {
                server.set_script(move |server, stream, request| {
                    if request.position % 2 == 0 {
                        return server.answer_soundly(stream, request);
                    }
                    let id = Some(request.id.as_str()).filter(|_| bears_id);
                    stream.write_all(&form.write(id).repeat(2)).is_ok()
                });
            }
            for number in 0..2 * REQUESTS {
                let context = format!("{form:?}, with id: {bears_id}");
                call_and_check(&cluster, u8::from(number % 2 == 0), &context);
            }
        }
    }
    cluster.assert_running();
}

#[test]
fn a_whole_answer_written_again_answers_no_other_request() {
    let mut cluster = TestCluster::start(&SERVICES);
    for (behind, later) in [(true, false), (false, true)] {
        cluster.announce_anew();
        for server in &cluster.servers {
            server.set_script(move |server, stream, request| {
                server.execute(request);
                let own = server.answer(&request.id, b"ok");
                let mut bytes = Vec::new();
                if later && request.position > 1 {
                    bytes = server.answer(&request.first_id, b"ok");
                }
                bytes.extend(own.repeat(if behind { 2 } else { 1 }));
                stream.write_all(&bytes).is_ok()
            });
        }
        for number in 0..2 * REQUESTS {
            let context = format!("behind: {behind}, later: {later}");
            call_and_check(&cluster, u8::from(number % 2 == 0), &context);
        }
    }
    cluster.assert_running();
}

#[test]
fn bytes_behind_an_answer_belong_to_no_request() {
    let mut cluster = TestCluster::start(&SERVICES);
    let behind: [&[u8]; 4] = [
        b"\r\n",
        b"x",
        b"HTTP/1.1 503 Service Unavailable\r\nX-Ragwortplank-Not-Executed: 1\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n",
    ];
    for bytes in behind {
        cluster.announce_anew();
        for server in &cluster.servers {
            server.set_script(move |server, stream, request| {
                server.execute(request);
                let mut answer = server.answer(&request.id, b"ok");
                answer.extend_from_slice(bytes);
                stream.write_all(&answer).is_ok()
            });
        }
        for number in 0..REQUESTS {
            let context = format!("{:?}", String::from_utf8_lossy(bytes));
            call_and_check(&cluster, u8::from(number % 2 == 0), &context);
        }
    }
    cluster.assert_running();
}

#[test]
fn an_informational_answer_with_the_marker_refuses_nothing() {
    let mut cluster = TestCluster::start(&SERVICES);
    for status in ["100 Continue", "103 Early Hints", "199 Other"] {
        for server in &cluster.servers {
            server.set_script(move |server, stream, request| {
                server.execute(request);
                let mut bytes =
                    format!("HTTP/1.1 {status}\r\nX-Ragwortplank-Not-Executed: 1\r\n\r\n")
                        .into_bytes();
                bytes.extend(server.answer(&request.id, b"ok"));
                stream.write_all(&bytes).is_ok()
            });
        }
        for number in 0..REQUESTS {
            let id = format!("{:016x}", rand::random::<u64>());
            let response = cluster.call(u8::from(number % 2 == 0), "POST /unsafe/orders/1", &id);
            assert_eq!(response.unwrap().status, 200, "{status}");
            assert_eq!(cluster.executions(&id), 1, "{status}");
        }
    }
    cluster.assert_running();
}

#[test]
fn a_refusal_without_id_is_believed_on_a_new_connection_only() {
    let mut cluster = TestCluster::start(&SERVICES[..1]);
    for form in FORMS {
        cluster.announce_anew();
        let (opened, _) = cluster.servers[0].connections();
        cluster.servers[0]
            .set_script(move |_, stream, _| stream.write_all(&form.write(None)).is_ok());
        for number in 1..=REQUESTS {
            let id = format!("{:016x}", rand::random::<u64>());
            let response = cluster.call(0, "POST /unsafe/orders/1", &id).unwrap();
            assert_eq!(response.status, 503, "{form:?}: {response:?}");
            let (now_opened, _) = cluster.servers[0].connections();
            assert_eq!(now_opened - opened, number, "{form:?}");
        }
        eventually("the connections are closed", || {
            let (opened, closed) = cluster.servers[0].connections();
            opened == closed
        });
    }
    cluster.assert_running();
}

#[test]
fn a_refusal_with_the_id_keeps_its_connection() {
    let mut cluster = TestCluster::start(&SERVICES[..1]);
    for form in FORMS {
        cluster.servers[0].set_script(move |server, stream, request| {
            if request.position > 1 {
                server.count_late_fault();
            }
            stream.write_all(&form.write(Some(&request.id))).is_ok()
        });
        let before = cluster.servers[0].late_faults();
        eventually("refusals follow each other on one connection", || {
            let id = format!("{:016x}", rand::random::<u64>());
            let response = cluster.call(0, "POST /unsafe/orders/1", &id).unwrap();
            assert_eq!(response.status, 503, "{form:?}: {response:?}");
            cluster.servers[0].late_faults() >= before + LATE_FAULTS
        });
    }
    cluster.assert_running();
}

#[test]
fn an_answer_that_switches_protocols_is_a_bad_answer() {
    let mut cluster = TestCluster::start(&SERVICES);
    for marker in ["", "X-Ragwortplank-Not-Executed: 1\r\n"] {
        for server in &cluster.servers {
            server.set_script(move |server, stream, request| {
                server.execute(request);
                let mut bytes = format!(
                    "HTTP/1.1 101 Switching Protocols\r\nX-Ragwortplank-Request-Id: {}\r\nConnection: upgrade\r\nUpgrade: other\r\n{marker}\r\n",
                    request.id
                )
                .into_bytes();
                bytes.extend(server.answer(&request.id, b"ok"));
                stream.write_all(&bytes).is_ok()
            });
        }
        for number in 0..REQUESTS {
            let id = format!("{:016x}", rand::random::<u64>());
            let response = cluster.call(u8::from(number % 2 == 0), "POST /unsafe/orders/1", &id);
            assert_eq!(response.unwrap().status, 502, "{marker:?}");
            assert_eq!(cluster.executions(&id), 1, "{marker:?}");
        }
    }
    cluster.assert_running();
}

#[test]
fn an_answer_with_the_ids_of_two_requests_is_a_bad_answer() {
    let mut cluster = TestCluster::start(&SERVICES);
    for server in &cluster.servers {
        server.set_script(|server, stream, request| {
            server.execute(request);
            let lines = format!(
                "HTTP/1.1 503 Service Unavailable\r\nX-Ragwortplank-Request-Id: {}\r\nX-Ragwortplank-Request-Id: another\r\nX-Ragwortplank-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                request.id
            );
            stream.write_all(lines.as_bytes()).is_ok()
        });
    }
    for number in 0..REQUESTS {
        call_and_check(&cluster, u8::from(number % 2 == 0), "two ids");
    }
    cluster.assert_running();
}
