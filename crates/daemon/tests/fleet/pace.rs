//! The pace that a backend server reports, as other nodes learn of it.

use std::time::Duration;

use fleet::NodeMessage;
use model::context::ServerPace;

use crate::deployment::TestDeployment;
use crate::peer::FakePeer;
use crate::server::ServerBehaviour;

const GRACE: Duration = Duration::from_secs(12);

fn pace_in_response(peer: &mut FakePeer, id: u64) -> Option<ServerPace> {
    assert!(peer.send_call(id, &format!("id-{id}"), "orders"));
    match peer.next() {
        Some(NodeMessage::Response { load, .. }) => load.pace,
        other => panic!("{other:?}"),
    }
}

/// Guards against nodes that learn of a slow server only with a response, if they seldom call it,
/// and against a figure that describes no server and is passed on.
#[test]
fn a_node_announces_a_changed_pace_to_nodes_without_calls_and_ignores_absurd_ones() {
    let document = include_str!("config.json")
        .replace("VERSION", "3")
        .replace("BASE", "0")
        .replace("KEY", "key-1");
    let paths = [("/orders/", 1), ("/stock/", 1)];
    let services = ["orders", "stock"];
    let deployment = TestDeployment::start_serving(&services, GRACE, &document, &paths);
    let node = deployment.node_address(0, 6);
    let (mut idle, mut caller) = (FakePeer::connect(node), FakePeer::connect(node));
    // The node has opened its side of the link when it responds.
    assert_eq!(pace_in_response(&mut idle, 1), None);
    for (id, percent) in [(2, 0), (3, 10_001), (4, 4_000_000_000)] {
        deployment.servers[0].set_behaviour(ServerBehaviour::ReportsPace(percent));
        assert_eq!(pace_in_response(&mut caller, id), None, "{percent}");
    }
    deployment.servers[0].set_behaviour(ServerBehaviour::ReportsPace(250));
    assert!(caller.send_call(5, "id-5", "orders"));
    let pace = ServerPace::from_percent(250).unwrap();
    assert_eq!(idle.next(), Some(NodeMessage::Pace { pace }));
}
