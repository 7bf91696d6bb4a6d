//! Processes that stand still for some seconds and go on, with what they knew before.

use std::thread;
use std::time::Duration;

use rustix::process::Signal;

use crate::deployment::TestDeployment;
use crate::deployment::document;
use crate::kept_connection::KeptConnection;

const SERVICES: [&str; 2] = ["orders", "stock"];
/// Time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(6);
/// Time after which a withdrawn key stops, as in the settings of the deployment.
const LEASE: Duration = Duration::from_secs(5);
const CONTROL_COUNT: u8 = 5;

fn deployment() -> TestDeployment {
    let paths = [("/orders/", 1), ("/stock/", 1)];
    TestDeployment::start_serving(&SERVICES, GRACE, &document(3, 0, "key-1"), &paths)
}

/// Opens a connection to node 1 and uses it, so that it is kept.
fn used_connection(deployment: &TestDeployment) -> KeptConnection {
    let mut connection = KeptConnection::open(deployment.node_address(1, 0));
    connection.send_until_served("GET /stock/1", "id-first");
    connection
}

#[test]
fn a_node_that_stood_still_runs_nothing_with_a_key_that_was_withdrawn_meanwhile() {
    let deployment = deployment();
    let mut kept = used_connection(&deployment);
    deployment.signal_node(1, Signal::STOP);
    assert_eq!(deployment.put_config(&document(5, 3, "key-2")).status, 200);
    thread::sleep(LEASE);
    // Both are there when the node goes on, before control can reach it.
    let mut new = KeptConnection::open(deployment.node_address(1, 0));
    kept.send("POST /orders/1", "id-kept").unwrap();
    new.send("POST /orders/1", "id-new").unwrap();
    deployment.signal_node(1, Signal::CONT);
    for (connection, id) in [(&mut kept, "id-kept"), (&mut new, "id-new")] {
        let response = connection.read_response().unwrap();
        assert!(matches!(response.status, 401 | 503), "{id}: {response:?}");
        assert!(!deployment.servers[0].has_run(id), "{id}");
    }
}

#[test]
fn a_control_instance_that_stood_still_shows_no_configuration_that_was_replaced_meanwhile() {
    let deployment = deployment();
    let mut version = 3;
    // Whichever of them leads is among them.
    for number in 0..CONTROL_COUNT {
        deployment.signal_control(number, Signal::STOP);
        let newest = document(version + 2, version, "key-1");
        assert_eq!(deployment.put_config(&newest).status, 200);
        version += 2;
        deployment.signal_control(number, Signal::CONT);
        let mut reads = 0;
        while reads < 3 {
            let response = deployment.get_config(number);
            if let Some(response) = response.filter(|response| response.status == 200) {
                assert_eq!(response.body, newest, "instance {number}");
                reads += 1;
            }
        }
    }
}
