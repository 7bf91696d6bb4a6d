//! Measures how the loss of the serving control instance affects the nodes' leases.

use std::time::Duration;

use tokio::runtime::Runtime;

use crate::RunPlan;
use crate::WARM_UP_S;
use crate::group;
use crate::group::BenchGroup;
use crate::nodes;
use crate::nodes::SimulatedNodes;
use crate::runtime;

/// Time after the loss in which renewals are observed, in seconds.
const WATCH_S: u64 = 8;

/// Kills the instance that serves all nodes and measures their lease renewals.
pub(crate) fn measure(plan: &RunPlan, lose_leader: bool) -> anyhow::Result<()> {
    let runtimes = group::THREAD_NAMES.map(|name| runtime(name, 2));
    let node_runtime = runtime(nodes::THREAD_NAME, 4);
    let group = BenchGroup::start(&runtimes)?;
    let driver = runtime("driver", 1);
    driver.block_on(group.wait_for_initial_owners());
    driver.block_on(group.declare(0));
    let serving_position = if lose_leader {
        group.leader()
    } else {
        group.follower()
    };
    let simulated_nodes = SimulatedNodes::start(&node_runtime, &group, serving_position, plan);
    driver.block_on(simulated_nodes.wait_all_leased());
    std::thread::sleep(Duration::from_secs(WARM_UP_S));
    simulated_nodes.reset_leases();
    let mut runtimes: Vec<Option<Runtime>> = runtimes.into_iter().map(Some).collect();
    if let Some(lost) = runtimes[serving_position].take() {
        lost.shutdown_background();
    }
    std::thread::sleep(Duration::from_secs(WATCH_S));
    let leases = simulated_nodes.leases();
    let least = leases.least_left.as_secs_f64() * 1e3;
    println!("{},{lose_leader},{},{least:.0}", plan.nodes, leases.expired);
    for runtime in runtimes.into_iter().flatten() {
        runtime.shutdown_background();
    }
    node_runtime.shutdown_background();
    Ok(())
}
