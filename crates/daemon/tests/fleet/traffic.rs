//! Calls are placed by a traffic plan only while the configuration calls for one.

use std::time::Duration;

use crate::deployment::TestDeployment;
use crate::deployment::document;
use crate::http;
use crate::wait::eventually;

const GRACE: Duration = Duration::from_secs(6);

/// Sends a request; returns whether the node has counted calls that it placed by a plan.
fn is_placed_by_plan(deployment: &TestDeployment, id: &str) -> bool {
    deployment.call(0, "GET /stock/1", id, "key-1");
    let metrics = deployment.node_address(0, 7);
    let metrics = http::send(metrics, "GET /metrics", &[("Host", "node")], "").unwrap();
    metrics
        .body
        .contains("detail=\"same\",kind=\"attempt-placed\"")
}

/// Guards against a plan that never reaches the nodes, and against one for a deployment whose
/// configuration calls for none.
#[test]
fn a_plan_is_in_force_only_with_large_bodies() {
    let (services, paths) = (["orders", "stock"], [("/orders/", 1), ("/stock/", 1)]);
    let first = document(3, 0, "key-1");
    let deployment = TestDeployment::start_serving(&services, GRACE, &first, &paths);
    assert!(!is_placed_by_plan(&deployment, "id-before"));
    let large = document(4, 3, "key-1").replace("\"safe\"", "\"download\"");
    assert_eq!(deployment.put_config(&large).status, 200);
    eventually("calls are placed by a plan", || {
        is_placed_by_plan(&deployment, "id-large")
    });
    assert_eq!(deployment.put_config(&document(5, 4, "key-1")).status, 200);
    eventually("the plan is phased out", || {
        deployment.call(0, "GET /stock/1", "id-after", "key-1");
        deployment
            .node_log(0)
            .contains("event=traffic-plan-expired")
    });
}
