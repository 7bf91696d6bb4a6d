//! What callers, other nodes and backend servers see of a node that is asked to stop.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use fleet::FailureReason;
use fleet::NodeMessage;
use fleet::RefusalReason;
use rustix::process::Signal;

use crate::deployment::TestDeployment;
use crate::http::HttpResponse;
use crate::kept_connection;
use crate::kept_connection::KeptConnection;
use crate::peer::FakePeer;
use crate::server::FakeServer;
use crate::server::ServerBehaviour;
use crate::wait::eventually;

/// Service of each backend server.
const SERVICES: [&str; 2] = ["orders", "stock"];
/// Time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(12);
/// Time from SIGTERM to SIGKILL where a test sends requests throughout; its end falls into the
/// wait for a slot of a request that follows others.
const SHORT_GRACE: Duration = Duration::from_millis(1200);
/// Time from SIGTERM to SIGKILL that no test waits for.
const LONG_GRACE: Duration = Duration::from_mins(10);
/// Number of slots that a fake server announces.
const SLOTS: usize = 8;
/// Number of times that a request is sent until it is not refused.
const ATTEMPTS: usize = 20;
/// Number of clients that send requests at the same time.
const CLIENTS: usize = 8;
/// Length of an answer that the buffers of a connection cannot hold, in bytes.
const LONG_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Starts a deployment whose routes let a request take as long as its caller waits.
fn deployment(grace: Duration) -> TestDeployment {
    let document = include_str!("config.json")
        .replace("VERSION", "3")
        .replace("BASE", "0")
        .replace("KEY", "key-1")
        .replace("\"timeout\":2000", "\"timeout\":60000");
    let paths = [("/orders/", 1), ("/stock/", 1)];
    TestDeployment::start_serving(&SERVICES, grace, &document, &paths)
}

/// Opens a connection to a node and uses it until a request was served, after which it is kept.
fn used_connection(deployment: &TestDeployment, node: u8) -> KeptConnection {
    let mut connection = KeptConnection::open(deployment.node_address(node, 0));
    eventually("a request is served", || {
        connection.send("GET /stock/1", "id-first").unwrap();
        connection.read_response().unwrap().status == 200
    });
    connection
}

/// Sends a request on one connection after another until the backend server begins to run it; on
/// a busy machine a node may refuse some.
fn run_request(
    server: &FakeServer,
    connections: impl IntoIterator<Item = KeptConnection>,
    method_and_path: &str,
    id: &str,
) -> KeptConnection {
    for mut connection in connections {
        connection.send(method_and_path, id).unwrap();
        eventually("a request is run or refused", || {
            server.has_run(id) || connection.has_input()
        });
        if server.has_run(id) {
            return connection;
        }
        assert_eq!(connection.read_response().unwrap().status, 503);
    }
    panic!("each request was refused");
}

/// Sends a request to node 1 that the backend server of orders holds.
fn held_request(deployment: &TestDeployment, id: &str) -> KeptConnection {
    let connections = new_connections(deployment);
    run_request(&deployment.servers[0], connections, "POST /orders/1", id)
}

fn new_connections(deployment: &TestDeployment) -> impl Iterator<Item = KeptConnection> {
    let node = deployment.node_address(1, 0);
    (0..ATTEMPTS).map(move |_| KeptConnection::open(node))
}

fn assert_not_run(response: &HttpResponse) {
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.head.contains("retry-after: "), "{response:?}");
    assert!(response.head.contains("connection: close"), "{response:?}");
}

#[test]
fn a_request_on_a_kept_connection_long_after_sigterm_is_not_taken_and_cut() {
    let mut deployment = deployment(GRACE);
    let mut kept = used_connection(&deployment, 1);
    deployment.servers[0].set_behaviour(ServerBehaviour::Holds);
    let _held = held_request(&deployment, "id-held");
    deployment.signal_node(1, Signal::TERM);
    deployment.await_listener_closed(1);
    let sent = !kept.has_input() && kept.send("POST /orders/1", "id-late").is_ok();
    let response = kept.read_response();
    assert!(deployment.await_exit(1).success());
    let taken = deployment.servers[0].has_run("id-late");
    let log = deployment.node_log(1);
    assert!(!taken, "sent {sent}, answer {response:?}, log {log}");
}

#[test]
fn a_request_half_sent_when_a_stop_begins_is_not_taken_and_cut() {
    let mut deployment = deployment(GRACE);
    let request = kept_connection::request_text("POST /orders/1", "id-half");
    let (first, rest) = request.split_at(request.len() / 2);
    let mut connection = KeptConnection::open(deployment.node_address(1, 0));
    connection.send_part(first).unwrap();
    deployment.servers[0].set_behaviour(ServerBehaviour::Holds);
    let _held = held_request(&deployment, "id-held");
    deployment.signal_node(1, Signal::TERM);
    deployment.await_listener_closed(1);
    connection.send_part(rest).unwrap();
    let response = connection.read_response();
    assert!(deployment.await_exit(1).success());
    let log = deployment.node_log(1);
    let response = response.unwrap_or_else(|error| panic!("{error}, log {log}"));
    assert_not_run(&response);
    assert!(!deployment.servers[0].has_run("id-half"));
}

#[test]
fn a_request_whose_body_ends_late_in_a_stop_is_not_taken_and_cut() {
    let mut deployment = deployment(GRACE);
    let head = kept_connection::request_text("POST /orders/1", "id-body");
    let first = head.replace("\r\n\r\n", "\r\nContent-Length: 4\r\n\r\nbo");
    let mut connection = used_connection(&deployment, 1);
    connection.send_part(&first).unwrap();
    deployment.servers[0].set_behaviour(ServerBehaviour::Holds);
    let _held = held_request(&deployment, "id-held");
    deployment.signal_node(1, Signal::TERM);
    deployment.await_listener_closed(1);
    connection.send_part("dy").unwrap();
    let response = connection.read_response();
    assert!(deployment.await_exit(1).success());
    let log = deployment.node_log(1);
    let response = response.unwrap_or_else(|error| panic!("{error}, log {log}"));
    assert_not_run(&response);
    assert!(!deployment.servers[0].has_run("id-body"));
}

#[test]
fn an_answer_that_is_being_written_at_the_end_of_a_stop_is_not_cut() {
    let mut deployment = deployment(GRACE);
    // The backend server beside the node, so that the answer comes over no link.
    let server = &deployment.servers[1];
    server.set_behaviour(ServerBehaviour::RespondsAtLength(LONG_ANSWER_BYTES));
    let connections = new_connections(&deployment);
    let mut connection = run_request(server, connections, "GET /stock/1", "id-long");
    eventually("the answer begins", || connection.has_input());
    deployment.signal_node(1, Signal::TERM);
    deployment.await_listener_closed(1);
    let response = connection.read_response();
    assert!(deployment.await_exit(1).success());
    let log = deployment.node_log(1);
    let response = response.unwrap_or_else(|error| panic!("{error}, log {log}"));
    assert_eq!(response.status, 200, "log {log}");
    assert_eq!(response.body.len(), LONG_ANSWER_BYTES);
}

#[test]
fn an_answer_that_is_being_sent_to_another_node_at_the_end_of_a_stop_is_not_cut() {
    let mut deployment = deployment(GRACE);
    deployment.servers[0].set_behaviour(ServerBehaviour::RespondsAtLength(LONG_ANSWER_BYTES));
    let mut peer = FakePeer::connect(deployment.node_address(0, 6));
    assert!(peer.send_call(1, "id-long", "orders"));
    let Some(NodeMessage::Response { body, .. }) = peer.next() else {
        panic!("no answer");
    };
    deployment.signal_node(0, Signal::TERM);
    deployment.await_listener_closed(0);
    let mut length = body.len();
    while let Some(NodeMessage::Data { body, .. }) = peer.next() {
        length += body.len();
    }
    assert!(deployment.await_exit(0).success());
    let log = deployment.node_log(0);
    assert_eq!(length, LONG_ANSWER_BYTES, "log {log}");
}

#[test]
fn a_call_from_another_node_late_in_a_stop_is_refused_as_not_run() {
    let mut deployment = deployment(GRACE);
    deployment.servers[0].set_behaviour(ServerBehaviour::Holds);
    let mut peer = FakePeer::connect(deployment.node_address(0, 6));
    assert!(peer.send_call(1, "id-held", "orders"));
    eventually("the backend server holds the call", || {
        deployment.servers[0].has_run("id-held")
    });
    deployment.signal_node(0, Signal::TERM);
    deployment.await_finishing(0);
    assert!(peer.send_call(2, "id-late", "orders"));
    let refused = peer.next();
    let failed = peer.next();
    assert!(deployment.await_exit(0).success());
    let log = deployment.node_log(0);
    let expected = RefusalReason::Draining;
    assert!(
        matches!(&refused, Some(NodeMessage::Refused { id: 2, cause, .. }) if *cause == expected),
        "{refused:?}, log {log}"
    );
    let expected = FailureReason::Timeout;
    assert!(
        matches!(&failed, Some(NodeMessage::Failed { id: 1, cause, .. }) if *cause == expected),
        "{failed:?}, log {log}"
    );
    assert!(!deployment.servers[0].has_run("id-late"));
}

#[test]
fn a_request_that_waits_for_a_slot_at_the_end_of_a_stop_gets_not_run() {
    let mut deployment = deployment(SHORT_GRACE);
    let connections = (0..64).map(|_| used_connection(&deployment, 1));
    let connections: Vec<KeptConnection> = connections.collect();
    deployment.servers[0].set_behaviour(ServerBehaviour::Holds);
    let held: Vec<FakePeer> = (0..SLOTS)
        .map(|number| {
            let peer = FakePeer::connect(deployment.node_address(0, 6));
            let id = format!("id-held-{number}");
            assert!(peer.send_call(1, &id, "orders"));
            eventually("a slot is taken", || deployment.servers[0].has_run(&id));
            peer
        })
        .collect();
    deployment.signal_node(1, Signal::TERM);
    deployment.await_not_ready(1);
    let mut answers = Vec::new();
    for (number, mut connection) in connections.into_iter().enumerate() {
        let id = format!("id-waits-{number}");
        if !connection.has_input() && connection.send("POST /orders/1", &id).is_ok() {
            answers.push((id, connection.read_response()));
        }
    }
    assert!(deployment.await_exit(1).success());
    drop(held);
    let log = deployment.node_log(1);
    for (id, answer) in answers {
        assert!(!deployment.servers[0].has_run(&id));
        let is_read = log.contains(&format!("request={id} "));
        match answer {
            Ok(response) => assert_not_run(&response),
            Err(error) => assert!(!is_read, "{id}: {error}, log {log}"),
        }
    }
}

#[test]
fn a_request_whose_server_works_past_the_end_of_a_stop_is_answered_not_cut() {
    let mut deployment = deployment(GRACE);
    let kept = (0..ATTEMPTS).map(|_| used_connection(&deployment, 1));
    let kept: Vec<KeptConnection> = kept.collect();
    deployment.servers[0].set_behaviour(ServerBehaviour::Holds);
    let mut earlier = held_request(&deployment, "id-earlier");
    deployment.signal_node(1, Signal::TERM);
    deployment.await_not_ready(1);
    let mut later = run_request(&deployment.servers[0], kept, "POST /orders/1", "id-later");
    let answers = [earlier.read_response(), later.read_response()];
    assert!(deployment.await_exit(1).success());
    let log = deployment.node_log(1);
    for answer in answers {
        let response = answer.unwrap_or_else(|error| panic!("{error}, log {log}"));
        assert_eq!(response.status, 504, "{response:?}, log {log}");
    }
    let given = deployment.servers[0].time_given("id-later").unwrap();
    assert!(given < GRACE, "{given:?}");
}

#[test]
fn connections_without_a_request_do_not_hold_up_a_stop() {
    let mut deployment = deployment(LONG_GRACE);
    let _kept = used_connection(&deployment, 1);
    let _unused = KeptConnection::open(deployment.node_address(1, 0));
    let _peer = FakePeer::connect(deployment.node_address(1, 6));
    deployment.signal_node(1, Signal::TERM);
    assert!(deployment.await_exit(1).success());
}

/// Sends one request after another until a node takes no new connections, on each connection
/// until it is closed; returns the ids of those without an answer.
fn unanswered_requests(node: SocketAddr, client: usize) -> Vec<String> {
    let mut unanswered = Vec::new();
    let mut number = 0;
    while let Ok(mut connection) = KeptConnection::try_open(node) {
        loop {
            number += 1;
            let id = format!("id-{client}-{number}");
            if connection.send("POST /orders/1", &id).is_err() {
                break;
            }
            let Ok(response) = connection.read_response() else {
                unanswered.push(id);
                break;
            };
            if response.head.contains("connection: close") {
                break;
            }
        }
    }
    unanswered
}

#[test]
fn a_stop_under_load_cuts_no_request_that_was_passed_on() {
    let mut deployment = deployment(GRACE);
    let node = deployment.node_address(1, 0);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| thread::spawn(move || unanswered_requests(node, client)))
        .collect();
    eventually("the clients' requests arrive", || {
        deployment.servers[0].executed().len() > CLIENTS
    });
    deployment.signal_node(1, Signal::TERM);
    assert!(deployment.await_exit(1).success());
    let unanswered = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap());
    for id in unanswered {
        assert!(!deployment.servers[0].has_run(&id), "{id}");
    }
    assert!(!deployment.node_log(1).contains("event=request-cut"));
}

#[test]
fn more_signals_during_a_stop_cut_nothing() {
    let mut deployment = deployment(GRACE);
    deployment.servers[0].set_behaviour(ServerBehaviour::Holds);
    let mut held = held_request(&deployment, "id-held");
    for signal in [Signal::TERM, Signal::HUP, Signal::TERM, Signal::INT] {
        deployment.signal_node(1, signal);
    }
    deployment.await_listener_closed(1);
    deployment.signal_node(1, Signal::TERM);
    deployment.servers[0].set_behaviour(ServerBehaviour::Normal);
    assert_eq!(held.read_response().unwrap().status, 200);
    assert!(deployment.await_exit(1).success());
}

#[test]
fn nodes_that_stop_at_the_same_time_cut_no_call_between_them() {
    let mut deployment = deployment(GRACE);
    deployment.servers[0].set_behaviour(ServerBehaviour::Holds);
    let mut held = held_request(&deployment, "id-held");
    let mut kept = used_connection(&deployment, 1);
    deployment.signal_node(0, Signal::TERM);
    deployment.signal_node(1, Signal::TERM);
    deployment.await_finishing(0);
    deployment.await_listener_closed(1);
    let late = thread::spawn(move || {
        let sent = !kept.has_input() && kept.send("POST /orders/1", "id-late").is_ok();
        (sent, kept.read_response())
    });
    deployment.servers[0].set_behaviour(ServerBehaviour::Normal);
    assert_eq!(held.read_response().unwrap().status, 200);
    let (sent, response) = late.join().unwrap();
    assert!(deployment.await_exit(0).success());
    assert!(deployment.await_exit(1).success());
    let taken = deployment.servers[0].has_run("id-late");
    assert!(!taken || response.is_ok(), "sent {sent}: {response:?}");
}
