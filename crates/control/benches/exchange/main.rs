//! Benchmark of the exchange: cost by number of nodes and changes, and time from the commit of
//! a change until it is in force.
//!
//! Three control instances and the simulated nodes run in one process with
//! separate threads, so that their CPU time can be distinguished by thread name. See `docs/EXCHANGE.md`.

#[path = "../../../wire/tests/common/authority.rs"]
mod authority;
mod claims;
mod cpu;
mod group;
mod instance_loss;
mod nodes;
mod results;
mod sizes;

use std::time::Duration;
use std::time::Instant;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

use crate::cpu::CpuSample;
use crate::group::BenchGroup;
use crate::nodes::SimulatedNodes;
use crate::results::RolloutTimes;
use crate::results::RunResult;

/// Warm-up time before the measurement, in seconds.
const WARM_UP_S: u64 = 4;
/// Pause between two measured changes, in milliseconds.
const CHANGE_PAUSE_MS: u64 = 1_300;

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
struct RunPlan {
    nodes: u64,
    seconds: u64,
    period: Duration,
    changes: u32,
    demands: usize,
    /// Whether nodes may move to another instance.
    allow_failover: bool,
}

fn main() -> anyhow::Result<()> {
    let matches = arguments().get_matches();
    if matches.get_flag("sizes") {
        return sizes::print();
    }
    let counts: Vec<u64> = matches
        .get_many("nodes")
        .map(|nodes| nodes.copied().collect())
        .unwrap_or_default();
    if matches.get_flag("claims") {
        let length = Duration::from_secs(plan(&matches, 0).seconds);
        return measure_claims(&counts, length);
    }
    if matches.get_flag("lose") {
        println!("nodes,lost_leader,lapsed_leases,least_lease_left_ms");
        for nodes in counts {
            let plan = RunPlan {
                allow_failover: true,
                ..plan(&matches, nodes)
            };
            instance_loss::measure(&plan, false)?;
            instance_loss::measure(&plan, true)?;
        }
        return Ok(());
    }
    println!("{}", RunResult::HEADINGS);
    for nodes in counts {
        let result = measure(&plan(&matches, nodes))?;
        println!("{result}");
    }
    Ok(())
}

fn arguments() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    Command::new("exchange")
        .arg(
            Arg::new("nodes")
                .long("nodes")
                .value_delimiter(',')
                .default_value("50,200")
                .value_parser(value_parser!(u64))
                .help("Nodes that one control instance serves, one run for each number"),
        )
        .arg(number("seconds", "10", "Length of the measurement"))
        .arg(number("period-ms", "600", "Period of the exchange"))
        .arg(number(
            "changes",
            "0",
            "Changes committed one by one during the measurement",
        ))
        .arg(number(
            "demands",
            "2",
            "Teams that each node demands tokens of in each exchange",
        ))
        .arg(
            Arg::new("sizes")
                .long("sizes")
                .action(ArgAction::SetTrue)
                .help("Print the encoded sizes of the messages instead"),
        )
        .arg(
            Arg::new("lose")
                .long("lose")
                .action(ArgAction::SetTrue)
                .help("Kill the instance that serves all nodes instead, once a follower, once the leader"),
        )
        .arg(
            Arg::new("claims")
                .long("claims")
                .action(ArgAction::SetTrue)
                .help("Measure claims by these numbers of nodes instead"),
        )
        .arg(Arg::new("bench").long("bench").num_args(0).hide(true))
}

fn plan(matches: &ArgMatches, nodes: u64) -> RunPlan {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    RunPlan {
        nodes,
        seconds: number("seconds"),
        period: Duration::from_millis(number("period-ms")),
        changes: u32::try_from(number("changes")).unwrap_or(u32::MAX),
        demands: usize::try_from(number("demands")).unwrap_or(usize::MAX),
        allow_failover: false,
    }
}

fn measure(plan: &RunPlan) -> anyhow::Result<RunResult> {
    let runtimes = group::THREAD_NAMES.map(|name| runtime(name, 2));
    let node_runtime = runtime(nodes::THREAD_NAME, 4);
    let group = BenchGroup::start(&runtimes)?;
    let driver = runtime("driver", 1);
    driver.block_on(group.wait_for_initial_owners());
    driver.block_on(group.declare(0));
    let serving_position = group.follower();
    let simulated_nodes = SimulatedNodes::start(&node_runtime, &group, serving_position, plan);
    driver.block_on(simulated_nodes.wait_all_leased());
    std::thread::sleep(Duration::from_secs(WARM_UP_S));

    let (traffic, cpu, began) = (
        simulated_nodes.traffic(),
        CpuSample::take()?,
        Instant::now(),
    );
    simulated_nodes.reset_latencies();
    let times = driver.block_on(time_changes(
        plan,
        &group,
        serving_position,
        &simulated_nodes,
    ));
    let rest = Duration::from_secs(plan.seconds).saturating_sub(began.elapsed());
    std::thread::sleep(rest);
    let elapsed = began.elapsed();
    let result = RunResult {
        plan: *plan,
        elapsed,
        traffic: simulated_nodes.traffic().since(&traffic),
        cpu: CpuSample::take()?.since(&cpu),
        latencies: simulated_nodes.latencies(),
        serving_thread: group::THREAD_NAMES[serving_position],
        times,
    };
    for runtime in runtimes {
        runtime.shutdown_background();
    }
    node_runtime.shutdown_background();
    Ok(result)
}

fn measure_claims(counts: &[u64], length: Duration) -> anyhow::Result<()> {
    let runtimes = group::THREAD_NAMES.map(|name| runtime(name, 2));
    let node_runtime = runtime(nodes::THREAD_NAME, 4);
    let group = BenchGroup::start(&runtimes)?;
    runtime("driver", 1).block_on(group.wait_for_initial_owners());
    let serving_position = group.follower();
    claims::measure(&node_runtime, &group, serving_position, counts, length)?;
    for runtime in runtimes {
        runtime.shutdown_background();
    }
    Ok(())
}

/// Commits changes one by one and measures the time until all nodes have applied them.
async fn time_changes(
    plan: &RunPlan,
    group: &BenchGroup,
    serving_position: usize,
    simulated_nodes: &SimulatedNodes,
) -> RolloutTimes {
    let mut times = RolloutTimes::default();
    for change in 1..=plan.changes {
        // The varied pause hits different phases of the nodes' periods.
        let pause = CHANGE_PAUSE_MS + u64::from(change % 7) * 37;
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let version = group.declare(change).await;
        let committed = Instant::now();
        simulated_nodes.wait_all_applied(version).await;
        times.applied.push(committed.elapsed());
        group.wait_in_force(serving_position, version).await;
        times.in_force.push(committed.elapsed());
    }
    times
}

fn runtime(name: &str, threads: usize) -> Runtime {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
        .expect("a runtime can be started")
}
