//! Faults of the same class as the cut requests of a stop, found in review.

use std::time::Duration;

use fleet::NodeMessage;
use rustix::process::Signal;

use crate::deployment::TestDeployment;
use crate::http;
use crate::kept_connection;
use crate::kept_connection::KeptConnection;
use crate::peer::FakePeer;
use crate::server::ServerBehaviour;
use crate::wait::eventually;

const SERVICES: [&str; 2] = ["orders", "stock"];
const GRACE: Duration = Duration::from_secs(12);
/// Length of an answer that the buffers of a connection cannot hold, in bytes.
const LONG_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Time from SIGTERM to SIGKILL that no test waits for.
const LONG_GRACE: Duration = Duration::from_mins(10);
/// Number of times that a backend server sends a call.
const ATTEMPTS: usize = 5;
/// Number of answers that a node which does not read lets queue up.
const QUEUED_ANSWERS: u64 = 280;
/// Number of slots that a fake server announces.
const SLOTS: u64 = 8;
/// Length of each of them, which goes into one message, in bytes.
const QUEUED_ANSWER_BYTES: usize = 60_000;

/// Starts a deployment whose route of orders lets a request take as long as its caller waits.
fn deployment() -> TestDeployment {
    deployment_with(GRACE)
}

fn deployment_with(grace: Duration) -> TestDeployment {
    let document = include_str!("config.json")
        .replace("VERSION", "3")
        .replace("BASE", "0")
        .replace("KEY", "key-1")
        .replacen("\"timeout\":2000", "\"timeout\":60000", 1)
        .replace("\"allowAnonymous\":false", "\"allowAnonymous\":true");
    let paths = [("/orders/", 1), ("/stock/", 1)];
    TestDeployment::start_serving(&SERVICES, grace, &document, &paths)
}

#[test]
fn a_call_whose_body_is_under_way_at_the_end_of_a_stop_is_refused_as_not_run() {
    let mut deployment = deployment();
    let mut peer = FakePeer::connect(deployment.node_address(0, 6));
    assert!(peer.send_call_part(1, "id-part", "orders", false));
    deployment.signal_node(0, Signal::TERM);
    assert!(deployment.await_exit(0).success());
    let answer = peer.next();
    assert!(
        matches!(answer, Some(NodeMessage::Refused { id: 1, .. })),
        "{answer:?}"
    );
}

/// Sends a call that the backend server makes for its request `parent`; returns the status.
fn child_status(
    deployment: &TestDeployment,
    connection: &mut KeptConnection,
    parent: &str,
) -> Option<u16> {
    let left = deployment.servers[0].time_left(parent).unwrap();
    let text = kept_connection::request_text("GET /stock/2", "id-child")
        .replace("Authorization: Bearer key-1\r\n", "")
        .replace("60000", &left.as_millis().to_string());
    connection.send_part(&text).ok()?;
    Some(connection.read_response().ok()?.status)
}

#[test]
fn a_server_makes_its_calls_for_a_request_that_a_stopping_node_has_taken() {
    let mut deployment = deployment_with(LONG_GRACE);
    let node = deployment.node_address(0, 0);
    deployment.servers[0].set_behaviour(ServerBehaviour::Holds);
    let mut request = KeptConnection::open(node);
    let mut kept = KeptConnection::open(node);
    kept.send_until_served("GET /stock/1", "id-earlier-call");
    request.send("POST /orders/1", "id-taken").unwrap();
    eventually("the backend server runs the request", || {
        deployment.servers[0].has_run("id-taken")
    });
    deployment.signal_node(0, Signal::TERM);
    deployment.await_finishing(0);
    // A busy machine may send a call so late that the node does not find its parent.
    let new = (0..ATTEMPTS).map(|_| KeptConnection::try_open(node));
    let statuses: Vec<Option<u16>> = std::iter::once(Ok(kept))
        .chain(new)
        .map(|connection| child_status(&deployment, &mut connection.ok()?, "id-taken"))
        .collect();
    let mut late = KeptConnection::try_open(node).unwrap();
    late.send("GET /stock/3", "id-late").unwrap();
    let late = late.read_response().unwrap();
    let _idle = KeptConnection::open(node);
    deployment.servers[0].set_behaviour(ServerBehaviour::Normal);
    assert_eq!(request.read_response().unwrap().status, 200);
    assert!(deployment.await_exit(0).success());
    assert!(statuses.contains(&Some(200)), "{statuses:?}");
    assert!(!statuses.contains(&None), "{statuses:?}");
    assert_eq!(late.status, 503, "{late:?}");
    assert!(!deployment.servers[1].has_run("id-late"));
}

/// Stops node 0 and starts it again.
fn restart_node(deployment: &mut TestDeployment) {
    deployment.signal_node(0, Signal::TERM);
    assert!(deployment.await_exit(0).success());
    deployment.start_node(0, "orders");
}

#[test]
fn a_server_that_left_at_a_restarted_node_gets_no_request_after_a_late_announcement() {
    let mut deployment = deployment();
    restart_node(&mut deployment);
    let node = deployment.node_address(0, 2);
    eventually("the leave is acknowledged", || {
        let response = http::send(node, "DELETE /v1/instances/i-0", &[("Host", "node")], "");
        response.is_ok_and(|response| response.status == 200)
    });
    // Sent before the leave, and late.
    assert_eq!(
        deployment.servers[0].announce(node, "orders", "ready", 2),
        200
    );
    std::thread::sleep(Duration::from_secs(3));
    let response = deployment.call(1, "POST /orders/1", "id-after-leave", "key-1");
    let log = deployment.node_log(0);
    assert!(
        !deployment.servers[0].has_run("id-after-leave"),
        "{response:?}, log {log}"
    );
}

#[test]
fn a_restarted_node_does_not_begin_a_drain_anew() {
    let mut deployment = deployment();
    let node = deployment.node_address(0, 2);
    eventually("the drain is acknowledged", || {
        deployment.servers[0].announce(node, "orders", "draining", 2) == 200
    });
    std::thread::sleep(Duration::from_secs(2));
    restart_node(&mut deployment);
    eventually("the next announcement is acknowledged", || {
        deployment.servers[0].announce(node, "orders", "draining", 3) == 200
    });
    let mut peer = FakePeer::connect(deployment.node_address(0, 6));
    assert!(peer.send_call(1, "id-drained", "orders"));
    let answer = peer.next();
    assert!(!deployment.servers[0].has_run("id-drained"), "{answer:?}");
}

/// Lets answers to `peer` queue up that the buffers of a connection cannot hold.
fn fill_link(deployment: &TestDeployment, peer: &FakePeer) {
    for batch in 0..QUEUED_ANSWERS / SLOTS {
        let numbers = batch * SLOTS..(batch + 1) * SLOTS;
        let id = |number| format!("id-queued-{number}");
        for number in numbers.clone() {
            assert!(peer.send_call(number, &id(number), "orders"));
        }
        eventually("the backend server runs the calls", || {
            let mut numbers = numbers.clone();
            numbers.all(|number| deployment.servers[0].has_run(&id(number)))
        });
    }
}

#[test]
fn a_call_is_refused_as_not_run_while_a_stop_waits_for_a_node_that_does_not_read() {
    let mut deployment = deployment();
    let length = ServerBehaviour::RespondsAtLength(QUEUED_ANSWER_BYTES);
    deployment.servers[0].set_behaviour(length);
    let slow = FakePeer::connect(deployment.node_address(0, 6));
    fill_link(&deployment, &slow);
    let mut kept = FakePeer::connect(deployment.node_address(0, 6));
    deployment.signal_node(0, Signal::TERM);
    deployment.await_listener_closed(0);
    let sent = kept.send_call(2, "id-kept", "orders");
    let on_kept = sent.then(|| kept.next());
    let new = FakePeer::try_connect(deployment.node_address(0, 6));
    let on_new = new.map(|mut new| new.send_call(3, "id-new", "orders").then(|| new.next()));
    let log = deployment.node_log(0);
    drop(slow);
    assert!(deployment.await_exit(0).success());
    let refused = |answer: &Option<Option<NodeMessage>>| {
        answer.is_none() || matches!(answer, Some(Some(NodeMessage::Refused { .. })))
    };
    assert!(
        refused(&on_kept) && on_new.as_ref().ok().is_none_or(refused),
        "kept link: {on_kept:?}, new link: {on_new:?}, log {log}"
    );
}

#[test]
fn an_answer_that_a_node_does_not_read_holds_no_memory_beyond_the_deadline() {
    let deployment = deployment();
    let length = ServerBehaviour::RespondsAtLength(LONG_ANSWER_BYTES);
    deployment.servers[0].set_behaviour(length);
    let mut slow = FakePeer::connect(deployment.node_address(0, 6));
    slow.time_left = Duration::from_secs(3);
    assert!(slow.send_call(1, "id-long", "orders"));
    eventually("the answer is given up", || {
        deployment.node_log(0).contains("event=answer-given-up")
    });
    let mut received = 0;
    while let Some(message) = slow.next() {
        if let NodeMessage::Response { body, .. } | NodeMessage::Data { body, .. } = message {
            received += body.len();
        }
    }
    assert!(received < LONG_ANSWER_BYTES, "{received} bytes received");
}
