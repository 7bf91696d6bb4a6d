//! An evacuated data centre gets no calls, whatever is killed, until the order is withdrawn.

use std::time::Duration;
use std::time::Instant;

use crate::deployment::DATA_CENTRE;
use crate::deployment::TestDeployment;
use crate::deployment::document;
use crate::http;
use crate::wait::eventually;

/// Services of the nodes, and the data centre of each; only one node of "stock" is in the other.
const SERVICES: [&str; 3] = ["orders", "stock", "stock"];
const DATA_CENTRES: [&str; 3] = [DATA_CENTRE, DATA_CENTRE, "b"];
/// The node in the other data centre.
const OTHER_NODE: u8 = 2;
const GRACE: Duration = Duration::from_secs(6);
/// Time after an acknowledgement in which calls may still reach the data centre, as in the bounds of
/// a deployment; it is longer while control is unstable.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(5);
const MAX_SKEW: Duration = Duration::from_secs(5);
/// Time for which an operator waits for an answer.
const ORDER_WAIT: Duration = Duration::from_secs(1);
const CONTROL_COUNT: u8 = 5;
/// Calls to each node that look for one that reaches an evacuated data centre.
const CALLS: usize = 20;

/// Sends an order; returns the instance that leads and the status.
fn order(deployment: &TestDeployment, order: &str) -> (u8, u16) {
    let (method, data_centre) = order.split_once(' ').unwrap();
    let request = format!("{method} /v1/evacuations/{data_centre}");
    let (leader, response) = deployment.order(&request, "");
    (leader, response.status)
}

/// Waits until the last news that each node has logged is that these data centres are evacuated.
fn await_known(deployment: &TestDeployment, data_centres: &str) {
    let wanted = format!("data_centres={data_centres}");
    eventually("all nodes know the evacuated data centres", || {
        (0..=OTHER_NODE).all(|node| {
            let log = deployment.node_log(node);
            let mut lines = log.lines().rev();
            let last = lines.find(|line| line.contains("event=evacuations-known"));
            last.is_some_and(|line| line.split(' ').any(|field| field == wanted))
        })
    });
}

/// Waits until a call reaches the server in the other data centre.
fn await_other_serves(deployment: &TestDeployment) {
    let server = &deployment.servers[usize::from(OTHER_NODE)];
    eventually("the other data centre serves", || {
        let before = server.executed().len();
        deployment.call(OTHER_NODE, "GET /stock/1", "id-other", "key-1");
        server.executed().len() > before
    });
}

/// Asserts that calls of all nodes are served, and none in the other data centre.
///
/// For a moment after a change of the leader, nodes refuse calls for lack of tokens.
fn assert_evacuated(deployment: &TestDeployment, context: &str) {
    let server = &deployment.servers[usize::from(OTHER_NODE)];
    for node in 0..=OTHER_NODE {
        for number in 0..CALLS {
            let id = format!("id-{context}-{node}-{number}");
            eventually("a call is served", || {
                let status = deployment.call(node, "GET /stock/1", &id, "key-1").status;
                assert!(status == 200 || status == 503, "{id}: {status}");
                status == 200
            });
            assert!(!server.has_run(&id), "{id}");
        }
    }
}

/// Kills the control instances and the node in the other data centre, and starts them again
/// without two of the disks.
fn restart(deployment: &mut TestDeployment) {
    deployment.kill_node(OTHER_NODE);
    for number in 0..5 {
        deployment.kill_control(number);
    }
    deployment.delete_control_data(0);
    deployment.delete_control_data(3);
    for number in 0..5 {
        deployment.start_control(number, false);
    }
    deployment.start_node(OTHER_NODE, "stock");
    deployment.announce(&SERVICES, "ready", 2);
    for node in 0..=OTHER_NODE {
        deployment.await_ready(node);
    }
    eventually("a server of the service is used", || {
        let response = deployment.call(OTHER_NODE, "GET /stock/1", "id-again", "key-1");
        response.status == 200
    });
    assert!(!deployment.servers[usize::from(OTHER_NODE)].has_run("id-again"));
}

/// Guards against calls that reach an evacuated data centre, against an acknowledged order that is
/// lost with the leader or with disks, and against calls that are refused and run.
#[test]
fn an_evacuated_data_centre_gets_no_calls_until_the_order_is_withdrawn() {
    let mut deployment = TestDeployment::start_in(&SERVICES, &DATA_CENTRES, GRACE);
    let paths = [("/orders/", 1), ("/stock/", 2)];
    deployment.await_serving(&document(3, 0, "key-1"), &paths);
    await_other_serves(&deployment);
    assert_eq!(order(&deployment, "POST nowhere").1, 404);
    assert_eq!(order(&deployment, "DELETE nowhere").1, 404);
    assert_eq!(order(&deployment, "POST b").1, 200);
    let (leader, status) = order(&deployment, "POST %62");
    assert_eq!(status, 200, "the order is sent again");
    await_known(&deployment, "b");
    assert_evacuated(&deployment, "first");
    deployment.kill_control(leader);
    let (next_leader, status) = order(&deployment, "POST b");
    assert_eq!(status, 200);
    assert_ne!(next_leader, leader);
    assert_evacuated(&deployment, "next");
    restart(&mut deployment);
    await_known(&deployment, "b");
    assert_evacuated(&deployment, "restarted");
    assert_eq!(order(&deployment, "POST a").1, 200);
    await_known(&deployment, "a,b");
    let response = deployment.call(1, "POST /orders/1", "id-refused", "key-1");
    assert_eq!(response.status, 503, "{response:?}");
    assert!(!deployment.servers[0].has_run("id-refused"));
    for request in ["DELETE a", "DELETE b", "DELETE b"] {
        assert_eq!(order(&deployment, request).1, 200, "{request}");
    }
    await_other_serves(&deployment);
}

/// Sends an order until an instance acknowledges it within the wait of an operator; returns that
/// instance, and the time of the acknowledgement.
fn acknowledge(deployment: &TestDeployment, order: &str) -> (u8, Instant) {
    let mut acknowledged = None;
    eventually("an order is acknowledged in time", || {
        acknowledged = (0..CONTROL_COUNT).find_map(|number| {
            let to = deployment.control_address(number, 0);
            let sent = Instant::now();
            let response = http::send(to, order, &[("Host", "control")], "").ok()?;
            let is_in_time = sent.elapsed() <= ORDER_WAIT;
            (response.status == 200 && is_in_time).then(|| (number, Instant::now()))
        });
        acknowledged.is_some()
    });
    acknowledged.unwrap()
}

/// Sends calls until some were served that began later than `time`.
fn await_served_after(deployment: &TestDeployment, time: Instant, context: &str) {
    let mut served = 0;
    let mut sent = 0_u8;
    eventually("calls are served after the bound", || {
        let begun = Instant::now();
        let id = format!("id-{context}-{sent}");
        let response = deployment.call(sent % (OTHER_NODE + 1), "GET /stock/1", &id, "key-1");
        sent = sent.wrapping_add(1);
        served += usize::from(response.status == 200 && begun > time);
        served >= CALLS
    });
}

/// Guards against an order that is acknowledged late, and against calls that reach the data centre
/// later than the bound after the acknowledgement, also when the leader is killed right after it.
#[test]
fn an_evacuation_is_in_force_within_the_bound_after_its_acknowledgement() {
    let mut deployment = TestDeployment::start_in(&SERVICES, &DATA_CENTRES, GRACE);
    let paths = [("/orders/", 1), ("/stock/", 2)];
    deployment.await_serving(&document(3, 0, "key-1"), &paths);
    for (context, bound) in [
        ("stable", IN_FORCE_WITHIN),
        ("killed", IN_FORCE_WITHIN + MAX_SKEW),
    ] {
        await_other_serves(&deployment);
        let (leader, acknowledged) = acknowledge(&deployment, "POST /v1/evacuations/b");
        if context == "killed" {
            deployment.kill_control(leader);
        }
        await_served_after(&deployment, acknowledged + bound, context);
        let server = &deployment.servers[usize::from(OTHER_NODE)];
        let last = server.last_arrival().unwrap();
        assert!(last <= acknowledged + bound, "{context}");
        acknowledge(&deployment, "DELETE /v1/evacuations/b");
    }
}
