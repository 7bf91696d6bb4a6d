//! Plan of traffic between data centres, and the placement of calls with and without it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use model::context::FailureShare;
use model::context::ServerLoad;
use model::entry::RouteCalls;
use model::entry::RouteExecutions;
use model::entry::SentCalls;
use model::entry::WorkReport;
use model::traffic::TrafficShare;
use route::LeastLoadedPicker;
use route::NodePlace;
use route::PickerMember;
use route::SendResult;
use route::TrafficCosts;
use route::TrafficPlan;
use route::TrafficPlanner;

const NAMES: [&str; 3] = ["a", "b", "c"];
const WINDOW: Duration = Duration::from_millis(300);
const TICK: Duration = Duration::from_millis(1);
/// Calling nodes in each data centre.
const CALLERS: usize = 4;
const SLOTS: u32 = 40;
/// Service time at usual speed with all slots in use, and the part of it that the load adds.
const FULL_S: f64 = 0.042;
const LOAD_PART: f64 = 0.3;
/// Demand of the data centres as parts of the whole.
const DEMAND: [f64; 3] = [0.29, 0.34, 0.37];

/// Calls sent, calls run, their time in milliseconds, and calls refused in one window.
type Counts = [u32; 4];

/// Returns a window with `per_s` calls sent and run that take `mean_ms` each.
fn steady(per_s: u32, mean_ms: u32) -> Counts {
    let calls = per_s * 3 / 10;
    [calls, calls, calls * mean_ms, 0]
}

fn report(planner: &mut TrafficPlanner, site: usize, slots: u32, counts: Counts, now: Instant) {
    add_window(planner, site, slots, &window(counts), now);
}

fn window(counts: Counts) -> WorkReport {
    let [sent, count, busy_ms, refused] = counts;
    let run = RouteExecutions {
        route: Arc::from("read"),
        started: count,
        count,
        busy_ms,
        refused: 0,
    };
    WorkReport {
        window_ms: 300,
        sent: vec![SentCalls {
            service: Arc::from("store"),
            count: sent,
        }],
        runs: vec![run],
        refused,
        ..WorkReport::default()
    }
}

fn add_window(
    planner: &mut TrafficPlanner,
    site: usize,
    slots: u32,
    work: &WorkReport,
    now: Instant,
) {
    let service = Arc::from("store");
    let data_centre = Arc::from(NAMES[site]);
    let place = NodePlace {
        data_centre,
        service,
        slots,
    };
    planner.add_report(site as u64, place, work, now);
}

fn planner(network_delay: Duration) -> TrafficPlanner {
    TrafficPlanner::new(TrafficCosts {
        leave_cost: Duration::from_millis(15),
        network_delay,
    })
}

/// Results of a replay, as fractions of the calls.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    calls: f64,
    left: f64,
    /// Attempts that a full server refused.
    retried: f64,
    /// Calls that all servers refused.
    refused: f64,
}

/// A call that runs: when it started and ends, and the node that made it.
type RunningCall = (Instant, Instant, usize);

/// Replays 40 s of demand, as parts of the whole capacity, on one server in each data centre.
struct Replay {
    speeds: [f64; 3],
    is_planned: bool,
    pickers: Vec<LeastLoadedPicker>,
    running: [Vec<RunningCall>; 3],
    counts: [Counts; 3],
    plans: [Option<TrafficPlan>; 3],
    seed: u64,
    outcome: Outcome,
}

fn replay(speeds: [f64; 3], is_planned: bool, demand: impl Fn(f64) -> [f64; 3]) -> Outcome {
    let start = Instant::now();
    let mut replay = Replay {
        speeds,
        is_planned,
        pickers: (0..3 * CALLERS)
            .map(|caller| picker(caller / CALLERS, start))
            .collect(),
        running: Default::default(),
        counts: Default::default(),
        plans: [const { None }; 3],
        seed: 1,
        outcome: Outcome::default(),
    };
    replay.run(start, demand);
    let mut outcome = replay.outcome;
    outcome.left /= outcome.calls;
    outcome.retried /= outcome.calls;
    outcome.refused /= outcome.calls;
    outcome
}

fn picker(origin: usize, now: Instant) -> LeastLoadedPicker {
    let mut picker = LeastLoadedPicker::default();
    for (site, name) in NAMES.into_iter().enumerate() {
        let mut member = PickerMember::new(site as u64, now);
        member.data_centre = Arc::from(name);
        member.same_data_centre = site == origin;
        member.slots = SLOTS;
        picker.members_mut().push(member);
    }
    picker
}

impl Replay {
    fn run(&mut self, start: Instant, demand: impl Fn(f64) -> [f64; 3]) {
        let capacity = f64::from(SLOTS) * self.speeds.iter().sum::<f64>() / FULL_S;
        let mut planner = planner(Duration::from_secs(1));
        let mut due = [0.0; 3];
        for tick in 0..40_000 {
            let now = start + TICK * tick;
            if tick == 6_000 {
                self.outcome = Outcome::default();
            }
            self.end_calls(now);
            let rates = demand(f64::from(tick) * TICK.as_secs_f64());
            for site in 0..3 {
                due[site] += rates[site] * capacity * TICK.as_secs_f64();
                while due[site] >= 1.0 {
                    due[site] -= 1.0;
                    self.place_call(site, now);
                }
            }
            if tick % 300 == 299 {
                self.report(&mut planner, now);
            }
        }
    }

    fn end_calls(&mut self, now: Instant) {
        for site in 0..3 {
            let calls = std::mem::take(&mut self.running[site]);
            let (ended, left) = calls
                .into_iter()
                .partition::<Vec<_>, _>(|call| call.1 <= now);
            self.running[site] = left;
            for (started, _, caller) in ended {
                self.counts[site][1] += 1;
                self.counts[site][2] += u32::try_from((now - started).as_millis()).unwrap();
                self.record(caller, site, SendResult::Answered, now);
            }
        }
    }

    fn place_call(&mut self, origin: usize, now: Instant) {
        let random = self.random();
        let caller = origin * CALLERS + usize::try_from(self.seed >> 40).unwrap() % CALLERS;
        let plan = self.plans[origin].as_ref();
        let drawn = plan.map(|plan| {
            plan.draw("store", random, now)
                .map_or(NAMES[origin], |name| name)
        });
        let drawn = drawn.map(str::to_owned);
        self.counts[origin][0] += 1;
        self.outcome.calls += 1.0;
        let mut tried = Vec::new();
        while tried.len() < 3 {
            let (picker, seed) = (&mut self.pickers[caller], self.seed >> 33);
            let within = drawn.as_ref();
            let within = within.and_then(|name| picker.pick_within(name, &tried, seed, now));
            let node = within.or_else(|| picker.pick(&tried, seed, now)).unwrap();
            tried.push(node);
            let site = usize::try_from(node).unwrap();
            let used = self.running[site].len() as f64 / f64::from(SLOTS);
            if used < 1.0 {
                let mean_s = FULL_S / self.speeds[site] * (1.0 - LOAD_PART * (1.0 - used));
                let time = Duration::from_secs_f64(mean_s * (0.5 + self.random()));
                self.running[site].push((now, now + time, caller));
                self.outcome.left += f64::from(u8::from(site != origin));
                return;
            }
            self.counts[site][3] += 1;
            self.outcome.retried += 1.0;
            self.record(caller, site, SendResult::Refused, now);
        }
        self.outcome.refused += 1.0;
    }

    fn report(&mut self, planner: &mut TrafficPlanner, now: Instant) {
        for (site, counts) in self.counts.iter_mut().enumerate() {
            report(planner, site, SLOTS, std::mem::take(counts), now);
        }
        if self.is_planned {
            planner.update(now);
            self.plans = NAMES.map(|name| Some(TrafficPlan::new(planner.shares_of(name), now)));
        }
    }

    fn record(&mut self, caller: usize, site: usize, result: SendResult, now: Instant) {
        let load = ServerLoad {
            in_flight: u32::try_from(self.running[site].len()).unwrap(),
            queued: 0,
            limit: SLOTS,
            pace: None,
            failing: FailureShare::default(),
        };
        self.pickers[caller].record_result(site as u64, result, Some(load), now);
    }

    /// Returns the next number of a linear congruential generator, from 0 to 1.
    fn random(&mut self) -> f64 {
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005);
        self.seed = self.seed.wrapping_add(1_442_695_040_888_963_407);
        (self.seed >> 33) as f64 / f64::from(1_u32 << 31)
    }
}

/// Guards against traffic between data centres where each one has room, and against a slow server
/// that refuses what others have slots for.
///
/// At 60% of the uneven capacity the demand of the slow server is 87% of its room, at 90% it is
/// 130%, at 120% no server has room. Without a queue, chance alone refuses a few calls at 90%.
#[test]
fn only_what_exceeds_the_room_of_a_data_centre_leaves_it() {
    let uneven = [0.5, 1.0, 1.0];
    for (speeds, load, left_max, refused_max) in [
        ([1.0; 3], 0.6, 0.001, 0.0),
        (uneven, 0.6, 0.01, 0.0),
        (uneven, 0.9, 0.25, 0.0005),
        (uneven, 1.2, 0.6, 0.25),
    ] {
        let [planned, by_load] = [true, false]
            .map(|is_planned| replay(speeds, is_planned, |_| DEMAND.map(|part| part * load)));
        let case = format!("{speeds:?}, {load}: {planned:?}, by load {by_load:?}");
        println!("{case}");
        assert!(planned.left < left_max, "{case}");
        assert!(planned.refused <= refused_max, "{case}");
        assert!(planned.retried < by_load.retried.max(0.003), "{case}");
        assert!(by_load.left > 0.2, "{case}");
    }
}

/// Guards against a plan that lags behind demand which swings between the data centres.
#[test]
fn a_plan_follows_demand_that_swings() {
    let planned = replay([1.0; 3], true, |at_s| {
        let angle = at_s / 17.0 * std::f64::consts::TAU;
        [0.0, 2.1, 4.2].map(|phase| 0.8 / 3.0 * (1.0 + 0.55 * (angle + phase).sin()))
    });
    println!("swinging: {planned:?}");
    assert!(planned.left < 0.2, "{planned:?}");
    assert!(planned.refused <= 0.0, "{planned:?}");
    assert!(planned.retried < 0.02, "{planned:?}");
}

const DELAY: Duration = Duration::from_millis(10);

/// Returns the planned thousandths between two data centres.
fn milli(planner: &TrafficPlanner, origin: &str, destination: &str) -> u16 {
    let shares = planner.shares_of(origin).into_iter();
    let mut shares = shares.filter(|share| &*share.destination == destination);
    shares.next().map_or(0, |share| share.share_milli)
}

/// Guards against calls that stay in a data centre without servers, or are planned for one that is
/// cut off from control.
#[test]
fn all_calls_leave_a_data_centre_without_servers() {
    let mut planner = planner(DELAY);
    let mut now = Instant::now();
    report(&mut planner, 1, 50, steady(100, 100), now);
    for window in 0..6 {
        report(&mut planner, 0, 0, [30, 0, 0, 0], now);
        report(&mut planner, 2, 50, steady(300, 100), now);
        planner.update(now);
        let (to_b, to_c) = (milli(&planner, "a", "b"), milli(&planner, "a", "c"));
        assert_eq!(to_b + to_c, 1000, "window {window}: {to_b} and {to_c}");
        assert_eq!(
            to_b > to_c,
            window < 5,
            "window {window}: {to_b} and {to_c}"
        );
        assert!(planner.shares_of("b").is_empty());
        now += WINDOW;
    }
    assert_eq!(milli(&planner, "a", "c"), 1000);
}

/// Guards against all calls of a data centre without servers at the only one that has little room.
#[test]
fn calls_without_servers_are_spread_over_full_data_centres() {
    let mut planner = planner(DELAY);
    let now = Instant::now();
    report(&mut planner, 0, 0, [90, 0, 0, 0], now);
    report(&mut planner, 1, 50, steady(480, 100), now);
    report(&mut planner, 2, 50, steady(410, 100), now);
    planner.update(now);
    let (to_b, to_c) = (milli(&planner, "a", "b"), milli(&planner, "a", "c"));
    assert!(to_b > 400 && to_c > to_b, "{to_b} and {to_c}");
}

/// Guards against two data centres that exchange the same load while the demand moves from one to
/// the other.
#[test]
fn two_data_centres_never_exchange_load() {
    let mut planner = planner(DELAY);
    let start = Instant::now();
    let mut has_left = [false; 2];
    for window in 0..60 {
        let now = start + WINDOW * window;
        let is_first_high = window / 10 % 2 == 0;
        let rates = if is_first_high {
            [600, 200]
        } else {
            [200, 600]
        };
        for (site, rate) in rates.into_iter().enumerate() {
            report(&mut planner, site, 50, steady(rate, 100), now);
        }
        planner.update(now);
        let (there, back) = (milli(&planner, "a", "b"), milli(&planner, "b", "a"));
        assert!(
            there == 0 || back == 0,
            "window {window}: {there} and {back}"
        );
        has_left[0] |= there > 0;
        has_left[1] |= back > 0;
    }
    assert_eq!(has_left, [true, true]);
}

/// Guards against callers who wait for slow servers, and against leaving for less than it costs.
#[test]
fn calls_leave_for_sooner_answers_only_above_the_cost() {
    for (slow_ms, leaves) in [(60, false), (80, true)] {
        let mut planner = planner(DELAY);
        let start = Instant::now();
        for window in 0..20 {
            let now = start + WINDOW * window;
            for (site, mean_ms) in [slow_ms, 40, 60].into_iter().enumerate() {
                report(&mut planner, site, 100, steady(100, mean_ms), now);
            }
            planner.update(now);
        }
        let share = milli(&planner, "a", "b");
        assert_eq!(share > 200, leaves, "{slow_ms}: {share}");
        assert_eq!(share > 0, leaves, "{slow_ms}: {share}");
        assert_eq!(milli(&planner, "a", "c"), 0, "{slow_ms}");
    }
}

/// Guards against all calls of a service leaving because a service that it calls is slow.
#[test]
fn calls_to_a_service_that_calls_others_do_not_leave_for_sooner_answers() {
    let mut planner = planner(DELAY);
    let start = Instant::now();
    for number in 0..20 {
        let now = start + WINDOW * number;
        for (site, mean_ms) in [200, 40, 60].into_iter().enumerate() {
            let mut work = window(steady(100, mean_ms));
            work.calls.push(RouteCalls {
                parent: Arc::from("read"),
                route: Arc::from("lookup"),
                count: 30,
            });
            add_window(&mut planner, site, 100, &work, now);
        }
        planner.update(now);
    }
    assert_eq!(planner.shares().count(), 0);
}

/// Guards against load that is moved to and fro although no data centre has room.
#[test]
fn nothing_is_planned_while_all_are_overloaded() {
    let mut planner = planner(DELAY);
    let start = Instant::now();
    for window in 0..20 {
        let now = start + WINDOW * window;
        for (site, (rate, mean_ms)) in [(870, 75), (680, 90), (740, 75)].into_iter().enumerate() {
            report(&mut planner, site, 50, steady(rate, mean_ms), now);
        }
        planner.update(now);
        assert_eq!(planner.shares().count(), 0, "window {window}");
    }
}

/// Guards against a new leader that begins at no share at all while a slow server is full.
#[test]
fn the_first_plan_of_a_leader_is_not_limited_to_a_step() {
    let mut planner = planner(DELAY);
    let now = Instant::now();
    for (site, rate) in [600, 200].into_iter().enumerate() {
        report(&mut planner, site, 50, steady(rate, 100), now);
    }
    planner.update(now);
    assert!((250..=350).contains(&milli(&planner, "a", "b")));
    assert!(
        planner.describe_changes()[0]
            .1
            .contains("a:slots=50,busy=60.0,sent=600")
    );
    assert!(planner.describe_changes().is_empty());
}

/// Guards against a plan that stays in force while control is silent.
#[test]
fn a_plan_fades_while_control_is_silent() {
    let start = Instant::now();
    let share = TrafficShare {
        service: Arc::from("store"),
        destination: Arc::from("b"),
        share_milli: 400,
    };
    let plan = TrafficPlan::new(vec![share], start);
    for (after_ms, leaving) in [(0, 400), (2_500, 400), (5_000, 200), (7_500, 0)] {
        let now = start + Duration::from_millis(after_ms);
        let draws = (0..1000_u32).map(|draw| (f64::from(draw) + 0.5) / 1000.0);
        let left = draws.filter(|&draw| plan.draw("store", draw, now).is_some());
        assert_eq!(left.count(), leaving, "after {after_ms} ms");
        assert_eq!(plan.weight(now) > 0.0, leaving > 0, "after {after_ms} ms");
    }
    assert_eq!(plan.draw("other", 0.0, start), None);
}

/// Guards against calls that fail or wait because the data centre of the plan has no free slot.
#[test]
fn a_data_centre_without_a_free_slot_or_a_healthy_member_is_left() {
    let now = Instant::now();
    let mut full = picker(0, now);
    full.members_mut()[1].slots = 2;
    let picked = [(); 3].map(|()| full.pick_within("b", &[], 0, now));
    assert_eq!(picked, [Some(1), Some(1), None]);
    assert_eq!(full.pick(&[1], 0, now), Some(0));
    for result in [SendResult::Refused, SendResult::Unreachable] {
        let mut refused = picker(0, now);
        let node = refused.pick_within("b", &[], 0, now).unwrap();
        refused.record_result(node, result, None, now);
        assert_eq!(refused.pick_within("b", &[], 0, now), None, "{result:?}");
    }
}
