//! Calls that full backend servers refuse at once, and nodes that freeze meanwhile.

use std::thread;
use std::time::Duration;

use fleet::NodeMessage;
use rustix::process::Signal;

use crate::deployment::TestDeployment;
use crate::deployment::document;
use crate::http;
use crate::peer::FakePeer;
use crate::server::ServerBehaviour;
use crate::wait::eventually;

/// Calls of route `orders` are unsafe; node 0 is not beside one of its backend servers.
const SERVICES: [&str; 3] = ["stock", "orders", "orders"];
const GRACE: Duration = Duration::from_secs(6);
/// Slots that the fake servers announce.
const SLOTS: u64 = 8;
/// Calls that are on their way when the nodes freeze.
const CALLS: usize = 20;

fn deployment() -> TestDeployment {
    let paths = [("/orders/", 2), ("/stock/", 1)];
    TestDeployment::start_serving(&SERVICES, GRACE, &document(3, 0, "key-1"), &paths)
}

/// Uses all slots of a server by calls that it holds; returns the link on which they came.
fn fill(deployment: &TestDeployment, number: u8) -> FakePeer {
    let server = &deployment.servers[usize::from(number)];
    server.set_behaviour(ServerBehaviour::Holds);
    let peer = FakePeer::connect(deployment.node_address(number, 6));
    let held = |call: u64| format!("held-{number}-{call}");
    for call in 0..SLOTS {
        assert!(peer.send_call(call, &held(call), "orders"));
    }
    eventually("a backend server holds a call in each slot", || {
        (0..SLOTS).all(|call| server.has_run(&held(call)))
    });
    peer
}

/// Returns whether an attempt of node 0 was refused at once by a full server.
fn has_full_refusal(deployment: &TestDeployment) -> bool {
    let address = deployment.node_address(0, 7);
    let response = http::send(address, "GET /metrics", &[("Host", "node")], "").unwrap();
    let mut lines = response.body.lines();
    lines.any(|line| line.contains("attempt-refused") && line.contains("\"full\""))
}

/// Guards against calls that wait at the full server while the other one has free slots.
#[test]
fn calls_go_on_from_a_full_server_to_a_free_one_without_a_wait() {
    let deployment = deployment();
    let mut peer = fill(&deployment, 1);
    let mut sent = 0;
    eventually("a call was refused at once", || {
        let id = format!("id-{sent}");
        sent += 1;
        let response = deployment.call(0, "POST /orders/1", &id, "key-1");
        assert_eq!(response.status, 200, "{response:?}");
        assert!(deployment.servers[2].has_run(&id));
        assert!(!deployment.servers[1].has_run(&id));
        has_full_refusal(&deployment)
    });
    deployment.servers[1].set_behaviour(ServerBehaviour::Normal);
    for _ in 0..SLOTS {
        assert!(matches!(peer.next(), Some(NodeMessage::Response { .. })));
    }
}

/// Guards against a call that is repeated, or reported as not run, after the node that held it
/// froze: it may have run there.
#[test]
fn calls_that_wait_at_full_servers_whose_nodes_freeze_get_a_true_outcome() {
    let deployment = deployment();
    let _held = [fill(&deployment, 1), fill(&deployment, 2)];
    let id = |call: usize| format!("id-{call}");
    let statuses: Vec<u16> = thread::scope(|scope| {
        let call = |call| {
            let deployment = &deployment;
            let id = id(call);
            scope.spawn(move || deployment.call(0, "POST /orders/1", &id, "key-1").status)
        };
        let mut calls: Vec<_> = (0..CALLS).map(call).collect();
        eventually("a call was refused at once", || {
            has_full_refusal(&deployment)
        });
        deployment.signal_node(1, Signal::STOP);
        deployment.signal_node(2, Signal::STOP);
        // The others may all have been refused before the nodes froze.
        calls.push(call(CALLS));
        let status = calls.into_iter().map(|call| call.join().unwrap());
        status.collect()
    });
    for number in [1, 2] {
        deployment.servers[number].set_behaviour(ServerBehaviour::Normal);
    }
    deployment.signal_node(1, Signal::CONT);
    deployment.signal_node(2, Signal::CONT);
    for number in [1, 2] {
        let mut peer = FakePeer::connect(deployment.node_address(number, 6));
        assert!(peer.send_call(1, &format!("after-{number}"), "orders"));
        let message = peer.next();
        assert!(message.is_some(), "node {number}");
    }
    for (call, status) in statuses.iter().enumerate() {
        let runs = [1, 2].map(|number| deployment.servers[number].run_count(&id(call)));
        let runs: usize = runs.iter().sum();
        assert!(runs <= 1, "{call} ran {runs} times");
        assert!(*status != 503 || runs == 0, "{call} was refused but ran");
        assert!(matches!(status, 502..=504), "{call}: {status}");
    }
    assert!(statuses.iter().any(|status| *status != 503), "{statuses:?}");
}
