//! What nodes see when the control instance that holds them is lost.

use std::time::Duration;

use tokio::runtime::Runtime;

use crate::RunPlan;
use crate::WARM_UP_S;
use crate::group;
use crate::group::BenchGroup;
use crate::nodes;
use crate::nodes::NodeFleet;
use crate::runtime;

/// Time after the loss in which renewals are watched, in seconds.
const WATCH_S: u64 = 8;

/// Loses the holder of all nodes without a farewell and watches their leases.
pub(crate) fn measure(plan: &RunPlan, lose_leader: bool) -> anyhow::Result<()> {
    let runtimes = group::NAMES.map(|name| runtime(name, 2));
    let node_runtime = runtime(nodes::THREAD_NAME, 4);
    let group = BenchGroup::start(&runtimes)?;
    let driver = runtime("driver", 1);
    driver.block_on(group.founded());
    driver.block_on(group.declare(0));
    let holder = if lose_leader {
        group.leader()
    } else {
        group.follower()
    };
    let fleet = NodeFleet::start(&node_runtime, &group, holder, plan);
    driver.block_on(fleet.all_leased());
    std::thread::sleep(Duration::from_secs(WARM_UP_S));
    fleet.reset_leases();
    let mut runtimes: Vec<Option<Runtime>> = runtimes.into_iter().map(Some).collect();
    if let Some(lost) = runtimes[holder].take() {
        lost.shutdown_background();
    }
    std::thread::sleep(Duration::from_secs(WATCH_S));
    let leases = fleet.leases();
    let least = leases.least_left.as_secs_f64() * 1e3;
    println!("{},{lose_leader},{},{least:.0}", plan.nodes, leases.lapsed);
    for runtime in runtimes.into_iter().flatten() {
        runtime.shutdown_background();
    }
    node_runtime.shutdown_background();
    Ok(())
}
