//! Bursts of one kind, team or data centre, and kinds with different costs at a scarce service.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use admit::EntryPlanner;
use model::entry::EntryShare;
use model::entry::RouteCalls;
use model::entry::WorkReport;
use model::ids::RouteName;

use crate::support::WINDOW_MS;
use crate::support::offer;
use crate::support::place;
use crate::support::run;

const WINDOW: Duration = Duration::from_millis(300);
const READ_MS: f64 = 23.0;
/// Windows with the usual load, and with a burst of 8 s.
const USUAL_WINDOWS: usize = 120;
const BURST_WINDOWS: usize = 27;

/// Requests of one team in one data centre: route, its priority, team, data centre, requests per
/// second, calls on the scarce service, and time at the entry service in milliseconds.
type Demand = (&'static str, u8, &'static str, &'static str, f64, f64, f64);

fn admitted(plan: &[EntryShare], demand: &Demand) -> u16 {
    let (route, _, team, data_centre, ..) = *demand;
    let mut shares = plan.iter().filter(|share| {
        (&*share.kind.route, &*share.data_centre) == (route, data_centre)
            && share.team.as_deref().is_none_or(|named| named == team)
    });
    // The share of the team itself follows that of all others.
    shares
        .next_back()
        .map_or(1000, |share| share.admitted_milli)
}

/// Replays windows of demands beside `slots` of the scarce service; returns the admitted
/// thousandths of each demand of the last window.
fn replay<const N: usize>(slots: u32, phases: &[([Demand; N], usize)]) -> [u16; N] {
    let (mut planner, mut now) = (EntryPlanner::default(), Instant::now());
    let (mut plan, mut parts) = (Vec::new(), [1000; N]);
    let windows = phases.iter();
    for demands in windows.flat_map(|(demands, count)| std::iter::repeat_n(demands, *count)) {
        let mut reads = 0.0;
        for (node, here) in (1..).zip(["a", "b"]) {
            let mut work = WorkReport {
                window_ms: WINDOW_MS,
                ..WorkReport::default()
            };
            for demand in demands.iter().filter(|demand| demand.3 == here) {
                let (route, priority, team, _, per_s, calls, entry_ms) = *demand;
                let count = per_s * WINDOW.as_secs_f64();
                let mut offered = offer(route, priority, count);
                offered.team = Arc::from(team);
                work.offered.push(offered);
                let entered = count * f64::from(admitted(&plan, demand)) / 1000.0;
                work.runs.push(run(route, entered, 0.0, entry_ms));
                work.calls.push(RouteCalls {
                    parent: RouteName::from(route),
                    route: RouteName::from("read"),
                    count: run("read", entered * calls, 0.0, 0.0).count,
                });
                reads += entered * calls;
            }
            let mut entry = place("shop", 4_000);
            entry.data_centre = Arc::from(here);
            planner.add_report(node, entry, &work, now);
        }
        let done = reads.min(f64::from(slots) * 300.0 / READ_MS);
        let mut deep = WorkReport {
            window_ms: WINDOW_MS,
            ..WorkReport::default()
        };
        deep.runs = vec![run("read", done, 0.0, READ_MS)];
        deep.refused = run("read", reads - done, 0.0, 0.0).count;
        planner.add_report(9, place("stock", slots), &deep, now);
        plan = planner.plan(now);
        parts = demands.each_ref().map(|demand| admitted(&plan, demand));
        now += WINDOW;
    }
    parts
}

/// Guards against an order of equally important kinds by what they use of services with free
/// capacity, which gave the scarce service to requests that need twice as many of its calls.
#[test]
fn the_cost_of_a_request_is_its_calls_on_the_scarce_service() {
    let demands = [
        ("search", 1, "x", "a", 311.0, 1.0, 20.0),
        ("browse", 1, "x", "a", 2_000.0, 4.0, 400.0),
        ("grant", 1, "x", "a", 1_000.0, 8.0, 20.0),
    ];
    let parts = replay(315, &[(demands, USUAL_WINDOWS)]);
    assert_eq!(parts[..2], [1000, 1000], "{parts:?}");
    assert!((400..700).contains(&parts[2]), "{parts:?}");
}

/// Guards against a burst of one team in one data centre that is paid by the same team elsewhere
/// and by other teams.
#[test]
fn a_burst_of_one_team_in_one_data_centre_is_paid_there() {
    let origins = [("x", "a"), ("y", "a"), ("x", "b"), ("y", "b")];
    let usual = origins.map(|(team, here)| ("browse", 1, team, here, 500.0, 4.0, 400.0));
    assert_eq!(replay(220, &[(usual, USUAL_WINDOWS)]), [1000; 4]);
    let mut burst = usual;
    burst[0].4 *= 4.0;
    let parts = replay(220, &[(usual, USUAL_WINDOWS), (burst, BURST_WINDOWS)]);
    assert!(parts[1..].iter().all(|part| *part > 950), "{parts:?}");
    assert!((250..500).contains(&parts[0]), "{parts:?}");
}

/// Guards against a burst of an important kind that takes the capacity which less important
/// kinds usually have.
#[test]
fn a_burst_of_one_kind_is_paid_by_that_kind() {
    let browse = ("browse", 1, "x", "a", 500.0, 4.0, 400.0);
    let usual = [("grant", 0, "x", "a", 800.0, 8.0, 20.0), browse];
    let burst = [("grant", 0, "x", "a", 1_840.0, 8.0, 20.0), browse];
    let parts = replay(260, &[(usual, USUAL_WINDOWS), (burst, BURST_WINDOWS)]);
    assert!(parts[1] > 950, "{parts:?}");
    assert!((500..620).contains(&parts[0]), "{parts:?}");
}

/// Guards against rates of teams that send less than one request per second: taken as they are,
/// most would be 0, and more would be admitted than there is capacity for.
#[test]
fn teams_with_few_requests_share_one_fraction() {
    let (mut planner, mut now) = (EntryPlanner::default(), Instant::now());
    let mut admitted = 1.0;
    for window in 0..USUAL_WINDOWS {
        let mut work = WorkReport {
            window_ms: WINDOW_MS,
            ..WorkReport::default()
        };
        for team in (0..72).filter(|team| (window + team * 7) % 6 == 0) {
            let mut offered = offer("quote", 1, 1.0);
            offered.team = Arc::from(format!("team-{team}"));
            work.offered.push(offered);
        }
        work.runs = vec![run("quote", 12.0 * admitted, 0.0, 100.0)];
        planner.add_report(1, place("quotes", 3), &work, now);
        let plan = planner.plan(now);
        let parts: Vec<u16> = plan.iter().map(|share| share.admitted_milli).collect();
        let is_one = parts.len() == 1 && (600..850).contains(&parts[0]);
        assert!(is_one || window < USUAL_WINDOWS / 2, "{plan:?}");
        admitted = f64::from(parts[0]) / 1000.0;
        now += WINDOW;
    }
}
