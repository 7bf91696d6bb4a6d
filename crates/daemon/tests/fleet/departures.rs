//! Backend servers that left stay out of use, whatever is killed and however late they are heard.

use std::time::Duration;

use crate::deployment::TestDeployment;
use crate::deployment::document;
use crate::http;
use crate::wait::eventually;

const SERVICES: [&str; 2] = ["orders", "stock"];
const GRACE: Duration = Duration::from_secs(6);
/// Number of control instances, and of those without which there is no quorum.
const CONTROL_COUNT: u8 = 5;
const QUORUM_SIZE: u8 = 3;
/// Requests after a late announcement, and the pause between two.
const ATTEMPTS: usize = 20;
const PAUSE: Duration = Duration::from_millis(150);

/// How the server of node 0 says that it leaves.
#[derive(Clone, Copy, Debug)]
enum Departure {
    Leave,
    Draining,
}

impl Departure {
    /// Sends the departure to node 0; returns the status of the answer.
    fn send(self, deployment: &TestDeployment) -> u16 {
        let node = deployment.node_address(0, 2);
        match self {
            Self::Leave => {
                let sent = http::send(node, "DELETE /v1/instances/i-0", &[("Host", "node")], "");
                sent.map_or(0, |response| response.status)
            }
            Self::Draining => deployment.servers[0].announce(node, "orders", "draining", 3),
        }
    }

    /// Sends the departure until it is acknowledged, as a server does. Control may take longer to
    /// record it than the node waits, since a quorum must write it to disk.
    fn acknowledge(self, deployment: &TestDeployment) {
        eventually("the departure is acknowledged", || {
            self.send(deployment) == 200
        });
    }
}

fn deployment() -> TestDeployment {
    let paths = [("/orders/", 1), ("/stock/", 1)];
    TestDeployment::start_serving(&SERVICES, GRACE, &document(3, 0, "key-1"), &paths)
}

/// Sends an announcement that is older than the departure to node 0, until it is acknowledged.
fn announce_late(deployment: &TestDeployment) {
    let node = deployment.node_address(0, 2);
    eventually("the late announcement is acknowledged", || {
        deployment.servers[0].announce(node, "orders", "ready", 2) == 200
    });
}

fn assert_out_of_use(deployment: &TestDeployment, context: &str) {
    for attempt in 0..ATTEMPTS {
        let id = format!("id-{context}-{attempt}");
        let response = deployment.call(1, "POST /orders/1", &id, "key-1");
        let log = deployment.node_log(0);
        assert!(
            !deployment.servers[0].has_run(&id),
            "{context}: {response:?}, log {log}"
        );
        std::thread::sleep(PAUSE);
    }
}

/// Guards against a target that left and is used again after its node was killed (DRAIN).
fn check_killed_node(departure: Departure) {
    let mut deployment = deployment();
    departure.acknowledge(&deployment);
    for kill in ["first", "second"] {
        deployment.kill_node(0);
        deployment.start_node(0, "orders");
        announce_late(&deployment);
        deployment.await_ready(0);
        announce_late(&deployment);
        assert_out_of_use(&deployment, kill);
    }
}

#[test]
fn a_server_that_left_is_not_used_again_after_its_node_was_killed() {
    check_killed_node(Departure::Leave);
}

#[test]
fn a_server_that_drains_is_not_used_again_after_its_node_was_killed() {
    check_killed_node(Departure::Draining);
}

#[test]
fn a_server_that_left_is_not_used_again_after_all_processes_were_killed() {
    let mut deployment = deployment();
    Departure::Leave.acknowledge(&deployment);
    deployment.kill_node(0);
    for number in 0..CONTROL_COUNT {
        deployment.kill_control(number);
    }
    for number in 0..CONTROL_COUNT {
        deployment.start_control(number, false);
    }
    deployment.start_node(0, "orders");
    announce_late(&deployment);
    deployment.await_ready(0);
    announce_late(&deployment);
    assert_out_of_use(&deployment, "herd");
}

#[test]
fn a_departure_is_acknowledged_only_once_a_quorum_has_recorded_it() {
    for departure in [Departure::Leave, Departure::Draining] {
        let mut deployment = deployment();
        for number in 0..QUORUM_SIZE {
            deployment.kill_control(number);
        }
        assert_eq!(departure.send(&deployment), 503, "{departure:?}");
        for number in 0..QUORUM_SIZE {
            deployment.start_control(number, false);
        }
        departure.acknowledge(&deployment);
        deployment.kill_node(0);
        deployment.start_node(0, "orders");
        announce_late(&deployment);
        deployment.await_ready(0);
        announce_late(&deployment);
        assert_out_of_use(&deployment, "unrecorded");
    }
}

#[test]
fn a_server_that_starts_again_under_its_name_is_used_again() {
    let mut deployment = deployment();
    Departure::Leave.acknowledge(&deployment);
    deployment.kill_node(0);
    deployment.start_node(0, "orders");
    announce_late(&deployment);
    let node = deployment.node_address(0, 2);
    eventually("the new start is acknowledged", || {
        deployment.servers[0].announce_start(node, "orders", 2) == 200
    });
    let mut attempt = 0;
    eventually("the new start is used", || {
        attempt += 1;
        let id = format!("id-again-{attempt}");
        let response = deployment.call(1, "POST /orders/1", &id, "key-1");
        response.status == 200
    });
}
