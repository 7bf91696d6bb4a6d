//! Bounds on the policy of ragwortplank under load and faults, over several seeds and both
//! call graphs.
//!
//! The disturbance is shorter than in `docs/EXPERIMENTS.md` to keep the runs
//! short; the bounds are those of the target.

use std::fmt;
use std::sync::LazyLock;
use std::thread;
use std::time::Duration;

use bench::experiment::graph;
use bench::experiment::graph::CallGraph;
use bench::experiment::managed::ManagedPolicy;
use bench::experiment::policy::ControlPolicy;
use bench::experiment::scenario::Scenario;
use bench::experiment::score;
use bench::experiment::score::ScoreCard;
use bench::experiment::static_limit::StaticLimitPolicy;

const SEEDS: [u64; 3] = [1, 2, 3];
const DISTURBANCE: Duration = Duration::from_secs(8);
/// Fairness needs more requests, because the rank of each one is random.
const FAIRNESS_DISTURBANCE: Duration = Duration::from_secs(30);

/// Largest retry allowance that an entry node gives to a request.
const ALLOWANCE_MAX: u32 = 3;

/// One run under one policy.
struct BoundRun {
    user: &'static str,
    seed: u64,
    card: ScoreCard,
}

type RunList = LazyLock<Vec<BoundRun>>;

static SURGE: RunList = LazyLock::new(|| runs::<ManagedPolicy>(DISTURBANCE, "surge3x"));
static SURGE_STATIC: RunList = LazyLock::new(|| runs::<StaticLimitPolicy>(DISTURBANCE, "surge3x"));
static SLOW: RunList = LazyLock::new(|| runs::<ManagedPolicy>(DISTURBANCE, "deep-slow"));
static SLOW_STATIC: RunList = LazyLock::new(|| runs::<StaticLimitPolicy>(DISTURBANCE, "deep-slow"));
static SURGE_LONG: RunList =
    LazyLock::new(|| runs::<ManagedPolicy>(FAIRNESS_DISTURBANCE, "surge3x"));
static SLOW_LONG: RunList =
    LazyLock::new(|| runs::<ManagedPolicy>(FAIRNESS_DISTURBANCE, "deep-slow"));
static BOTH: RunList = LazyLock::new(|| runs::<ManagedPolicy>(DISTURBANCE, "both"));
static GREEDY: RunList = LazyLock::new(|| runs::<ManagedPolicy>(DISTURBANCE, "greedy-team"));
static POISON: RunList = LazyLock::new(|| runs::<ManagedPolicy>(DISTURBANCE, "poison"));
static COLD: RunList = LazyLock::new(|| runs::<ManagedPolicy>(DISTURBANCE, "cold-start"));
static FALSE_REPORTS: RunList = LazyLock::new(|| runs::<ManagedPolicy>(DISTURBANCE, "lying-load"));
static DRAIN: RunList = LazyLock::new(|| runs::<ManagedPolicy>(DISTURBANCE, "drain"));

fn graphs() -> &'static [CallGraph; 2] {
    static GRAPHS: LazyLock<[CallGraph; 2]> =
        LazyLock::new(|| [graph::plumon(), graph::kervadec()]);
    &GRAPHS
}

fn runs<P: ControlPolicy>(disturbance: Duration, name: &str) -> Vec<BoundRun> {
    let scenario = Scenario::named(name, disturbance).expect("the scenario exists");
    let graphs = graphs();
    let cases = graphs
        .iter()
        .flat_map(|graph| SEEDS.map(|seed| (graph, seed)));
    let scenario = &scenario;
    thread::scope(|scope| {
        let spawn = |(graph, seed): (&'static CallGraph, u64)| {
            scope.spawn(move || BoundRun {
                user: graph.name,
                seed,
                card: score::run::<P>(graph, scenario, seed),
            })
        };
        let running: Vec<_> = cases.map(spawn).collect();
        let joined = running.into_iter().map(thread::ScopedJoinHandle::join);
        joined.map(|run| run.expect("the run ends")).collect()
    })
}

/// Fails with all runs for which `holds` is false, and their values.
fn check_bound<T: fmt::Debug>(
    runs: &[BoundRun],
    figure: impl Fn(&ScoreCard) -> T,
    holds: impl Fn(&T) -> bool,
) {
    let mut missed = Vec::new();
    for run in runs {
        let value = figure(&run.card);
        if !holds(&value) {
            missed.push(format!("{} seed {}: {value:?}", run.user, run.seed));
        }
    }
    assert!(missed.is_empty(), "bound missed by {missed:#?}");
}

/// Fails with all runs whose share of the bottleneck is below the static limit's.
fn check_not_below(runs: &[BoundRun], others: &[BoundRun]) {
    let mut missed = Vec::new();
    for (run, other) in runs.iter().zip(others) {
        let (mine, theirs) = (run.card.bottleneck_share, other.card.bottleneck_share);
        if mine < theirs {
            missed.push(format!(
                "{} seed {}: {mine:.3} < {theirs:.3}",
                run.user, run.seed
            ));
        }
    }
    assert!(missed.is_empty(), "below the static limit: {missed:#?}");
}

fn all() -> impl Iterator<Item = &'static BoundRun> {
    let overload = SURGE.iter().chain(SLOW.iter()).chain(BOTH.iter());
    let faults = GREEDY.iter().chain(POISON.iter()).chain(COLD.iter());
    let reports = FALSE_REPORTS.iter().chain(DRAIN.iter());
    overload.chain(faults).chain(reports)
}

/// Recovery time, or the maximum if the success rate did not recover.
fn recovery(card: &ScoreCard) -> Duration {
    card.recovery.unwrap_or(Duration::MAX)
}

fn check_recovery(runs: &[BoundRun]) {
    check_bound(runs, recovery, |time| *time <= Duration::from_secs(2));
}

#[test]
fn surge_goodput_is_nine_tenths_of_the_bottleneck() {
    check_bound(&SURGE, |card| card.bottleneck_share, |share| *share >= 0.9);
}

#[test]
fn slow_deep_service_goodput_is_nine_tenths_of_the_bottleneck() {
    check_bound(&SLOW, |card| card.bottleneck_share, |share| *share >= 0.9);
}

#[test]
fn surge_goodput_is_not_below_the_static_limit() {
    check_not_below(&SURGE, &SURGE_STATIC);
}

#[test]
fn slow_deep_service_goodput_is_not_below_the_static_limit() {
    check_not_below(&SLOW, &SLOW_STATIC);
}

#[test]
fn recovery_from_a_surge_takes_two_seconds_at_most() {
    check_recovery(&SURGE);
}

#[test]
fn recovery_from_a_slow_deep_service_takes_two_seconds_at_most() {
    check_recovery(&SLOW);
}

#[test]
fn recovery_from_both_takes_two_seconds_at_most() {
    check_recovery(&BOTH);
}

#[test]
fn worst_team_gets_its_share_in_a_surge() {
    check_bound(
        &SURGE_LONG,
        |card| card.worst_team_share,
        |share| *share >= 0.95,
    );
}

#[test]
fn worst_team_gets_its_share_of_a_slow_deep_service() {
    check_bound(
        &SLOW_LONG,
        |card| card.worst_team_share,
        |share| *share >= 0.95,
    );
}

#[test]
fn worst_team_gets_its_share_beside_a_greedy_one() {
    check_bound(
        &GREEDY,
        |card| card.worst_team_share,
        |share| *share >= 0.95,
    );
}

#[test]
fn payments_are_refused_last_in_a_surge() {
    check_bound(&SURGE, |card| card.priority_inversions, |count| *count == 0);
}

#[test]
fn payments_are_refused_last_at_a_slow_deep_service() {
    check_bound(&SLOW, |card| card.priority_inversions, |count| *count == 0);
}

#[test]
fn payments_are_refused_last_under_both() {
    check_bound(&BOTH, |card| card.priority_inversions, |count| *count == 0);
}

#[test]
fn extra_attempts_stay_within_the_allowance() {
    for run in all() {
        assert!(run.card.extra_attempts_max <= ALLOWANCE_MAX);
    }
}

#[test]
fn overload_is_amplified_by_a_tenth_at_most() {
    for run in all() {
        assert!(run.card.amplification <= 1.1);
    }
}

#[test]
fn no_team_is_let_in_beyond_its_rate() {
    assert!(all().all(|run| run.card.over_issued == 0));
}

#[test]
fn one_in_a_thousand_within_the_rate_is_refused_at_most() {
    for run in all() {
        assert!(run.card.refused_within_rate <= 0.001);
    }
}

#[test]
fn poison_crashes_two_backend_servers_at_most() {
    check_bound(&POISON, |card| card.crashes, |crashes| *crashes <= 2);
}

#[test]
fn innocent_requests_leave_quarantine() {
    let innocent = |card: &ScoreCard| card.innocent_quarantined;
    check_bound(&POISON, innocent, |count| *count == 0);
}

#[test]
fn not_run_is_never_said_of_a_call_that_ran() {
    assert!(all().all(|run| run.card.false_not_run == 0));
}

#[test]
fn draining_backend_server_gets_no_call_after_three_seconds() {
    let last = |card: &ScoreCard| card.last_call_after_drain.unwrap_or_default();
    check_bound(&DRAIN, last, |last| *last <= Duration::from_secs(3));
}
