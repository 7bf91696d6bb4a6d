//! Shares of a team's rate, token buckets and service retry budgets under changing demand.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use limit::RateAllocator;
use limit::ServiceRetryBudget;
use limit::TeamLimit;
use limit::TokenBucket;
use model::ids::TeamName;

const LEASE: Duration = Duration::from_secs(5);
const PERIOD: Duration = Duration::from_millis(450);
const RATE_PER_S: u32 = 300;

fn allocator(start: Instant) -> (RateAllocator, TeamName) {
    let team = TeamName::from("team");
    let mut allocator = RateAllocator::new(LEASE, 0.1);
    allocator.set_limits(&[(team.clone(), limit(RATE_PER_S))], start);
    (allocator, team)
}

fn limit(rate_per_s: u32) -> TeamLimit {
    let rate_milli = u64::from(rate_per_s) * 1000;
    TeamLimit {
        rate_milli,
        burst_milli: rate_milli,
    }
}

/// Reports the demand of each node in each period and calls `check` after each grant; nodes apply
/// a grant one period late at worst. Returns the shares at the end.
fn run_periods(
    periods: &[Vec<u32>],
    check: impl Fn(usize, &HashMap<u64, u64>),
) -> HashMap<u64, u64> {
    let start = Instant::now();
    let (mut allocator, team) = allocator(start);
    let mut shares: HashMap<u64, u64> = HashMap::new();
    for (period, demand) in periods.iter().enumerate() {
        let now = start + PERIOD * u32::try_from(period).unwrap();
        for (node, demand) in (0_u64..).zip(demand) {
            let share = shares.get(&node).copied().unwrap_or(0);
            allocator.report(node, &team, *demand, share, now);
            for (_, granted) in allocator.grant(node, true, now) {
                shares.insert(node, granted);
            }
            check(period, &shares);
        }
    }
    shares
}

/// Returns the rate plus nine tenths of an overage of one tenth, in thousandths.
fn limit_with_overage_milli() -> u64 {
    u64::from(RATE_PER_S) * 1090
}

#[test]
fn the_shares_never_exceed_the_rate_plus_overage() {
    arbtest::arbtest(|source| {
        let nodes = source.int_in_range(1..=12_usize)?;
        let periods: Vec<Vec<u32>> = (0..20)
            .map(|_| (0..nodes).map(|_| source.int_in_range(0..=900)).collect())
            .collect::<Result<_, _>>()?;
        run_periods(&periods, |period, shares| {
            let sum: u64 = shares.values().sum();
            assert!(sum <= limit_with_overage_milli(), "period {period}: {sum}");
        });
        Ok(())
    });
}

#[test]
fn a_node_to_which_all_callers_move_gets_most_of_the_rate() {
    let demand = |busy: usize| -> Vec<u32> {
        (0..10)
            .map(|node| if node == busy { 300 } else { 0 })
            .collect()
    };
    let mut periods = vec![demand(0); 20];
    periods.extend(vec![demand(7); 20]);
    let shares = run_periods(&periods, |_, _| {});
    assert!(shares[&7] > u64::from(RATE_PER_S) * 500, "{shares:?}");
}

#[test]
fn equal_demand_gets_equal_shares() {
    let shares = run_periods(&vec![vec![30; 10]; 40], |_, _| {});
    for share in shares.values() {
        assert!((20_500..=21_500).contains(share), "{shares:?}");
    }
}

/// Guards against refusals while the leader is unavailable: nodes cannot borrow tokens
/// then, so the shares must cover a team's usual demand.
#[test]
fn shares_cover_the_demand_of_a_team_well_within_its_limit() {
    let shares = run_periods(&vec![vec![18; 10]; 40], |_, _| {});
    for share in shares.values() {
        assert!((17_500..=18_500).contains(share), "{shares:?}");
    }
}

#[test]
fn a_node_that_stops_reporting_keeps_its_share_until_its_lease_expires() {
    let start = Instant::now();
    let (mut allocator, team) = allocator(start);
    allocator.report(1, &team, 600, 0, start);
    let held = allocator.grant(1, true, start)[0].1;
    assert!(held > limit_with_overage_milli() / 2, "{held}");
    let tokens_lent_in_a_second = |allocator: &mut RateAllocator, from: Instant| {
        // Empties the pool first.
        while allocator.lend_tokens(&team, 1000, from) > 0 {}
        let steps = (1..=100).map(|step| from + Duration::from_millis(10) * step);
        steps
            .map(|now| allocator.lend_tokens(&team, 1000, now))
            .sum::<u32>()
    };
    let soon = start + LEASE / 2;
    allocator.report(2, &team, 600, 0, soon);
    allocator.grant(2, false, soon);
    let lent = tokens_lent_in_a_second(&mut allocator, soon);
    // Less than one token may have been left over from before.
    assert!(
        u64::from(lent - 1) * 1000 <= limit_with_overage_milli() - held,
        "{lent}"
    );
    let later = start + LEASE;
    allocator.report(2, &team, 600, 0, later);
    allocator.grant(2, false, later);
    let lent = tokens_lent_in_a_second(&mut allocator, later);
    assert!(
        u64::from(lent) * 1000 > limit_with_overage_milli() - held,
        "{lent}"
    );
}

/// Callers leave a node whose next report comes late. The pool must not grow for the time in which
/// the node could still use its old share.
#[test]
fn the_pool_does_not_refill_from_a_share_until_the_node_reports_giving_it_up() {
    let start = Instant::now();
    let (mut allocator, team) = allocator(start);
    let half_second = Duration::from_millis(500);
    allocator.report(1, &team, 600, 0, start);
    let held = allocator.grant(1, true, start)[0].1;
    let mut now = start;
    let mut lower = held;
    // The demand falls until the leader grants less than it had.
    while lower == held {
        now += half_second;
        allocator.report(1, &team, 0, held, now);
        lower = allocator.grant(1, true, now)[0].1;
    }
    while allocator.lend_tokens(&team, 1000, now) > 0 {}
    now += half_second;
    allocator.report(1, &team, 0, lower, now);
    allocator.grant(1, true, now);
    // Less than one token may have been left over from before.
    let lent = allocator.lend_tokens(&team, 1000, now) - 1;
    assert!(
        u64::from(lent) * 2000 <= limit_with_overage_milli() - held,
        "{lent}"
    );
}

/// The callers of a small team are spread over so many nodes that each node's share of the limit
/// is far below one request per second.
#[test]
fn a_small_team_at_many_nodes_gets_its_demand_within_its_limit() {
    let start = Instant::now();
    let team = TeamName::from("team");
    let (nodes, rate_per_s) = (74_u64, 41_u32);
    let mut allocator = RateAllocator::new(LEASE, 0.1);
    allocator.set_limits(&[(team.clone(), limit(rate_per_s))], start);
    let mut buckets: Vec<TokenBucket> = (0..nodes).map(|_| TokenBucket::new(start)).collect();
    let (mut requests, mut admitted) = (0, 0);
    let mut random = 1_u64;
    for step in 0..20_000_u32 {
        let now = start + Duration::from_millis(step.into());
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        if step % 300 == 0 {
            for (node, bucket) in (0..).zip(&mut buckets) {
                let share = bucket.share_milli();
                allocator.report(node, &team, bucket.sample_demand_per_s(now), share, now);
                for (_, granted) in allocator.grant(node, true, now) {
                    bucket.set_share(granted, 1.0, now);
                }
            }
        }
        // Sends four fifths of the limit, each request to a random node.
        if step % 30 != 0 {
            continue;
        }
        let bucket = &mut buckets[usize::try_from((random >> 33) % nodes).unwrap()];
        let mut is_admitted = bucket.take(now).is_some();
        if !is_admitted {
            bucket.add_borrowed_tokens(
                allocator.lend_tokens(&team, 1 + bucket.prefetch_tokens(), now),
                now,
            );
            is_admitted = bucket.retry_take(now).is_some();
        }
        if step >= 5_000 {
            requests += 1;
            admitted += u32::from(is_admitted);
        }
    }
    assert!(admitted * 100 >= requests * 99, "{admitted} of {requests}");
}

#[test]
fn shares_and_lent_tokens_stay_within_the_limit_for_any_demand() {
    arbtest::arbtest(|source| {
        let start = Instant::now();
        let (mut allocator, team) = allocator(start);
        let nodes = source.int_in_range(1..=6_u64)?;
        let mut buckets: Vec<TokenBucket> = (0..nodes).map(|_| TokenBucket::new(start)).collect();
        let mut admitted = Vec::new();
        for step in 0..1_000_u32 {
            let now = start + Duration::from_millis(10) * step;
            for (node, bucket) in (0..).zip(&mut buckets) {
                if (u64::from(step) + node) % 30 == 0 {
                    let share = bucket.share_milli();
                    allocator.report(node, &team, bucket.sample_demand_per_s(now), share, now);
                    for (_, granted) in allocator.grant(node, true, now) {
                        bucket.set_share(granted, 1.0, now);
                    }
                }
                for _ in 0..source.int_in_range(0..=3_u32)? {
                    let mut is_admitted = bucket.take(now).is_some();
                    if !is_admitted {
                        bucket.add_borrowed_tokens(
                            allocator.lend_tokens(&team, 1 + bucket.prefetch_tokens(), now),
                            now,
                        );
                        is_admitted = bucket.retry_take(now).is_some();
                    }
                    if is_admitted {
                        admitted.push(now);
                    }
                }
            }
        }
        let window = Duration::from_secs(5);
        let most = f64::from(RATE_PER_S) * 6.0 * 1.1 + 20.0;
        for (first, from) in admitted.iter().enumerate() {
            let within = admitted[first..].partition_point(|at| *at < *from + window);
            assert!(within as f64 <= most, "{within} in 5 s");
        }
        Ok(())
    })
    .budget_ms(2_000);
}

#[test]
fn a_new_leader_raises_no_share_before_it_knows_all_nodes() {
    let now = Instant::now();
    let (mut allocator, team) = allocator(now);
    allocator.report(1, &team, 100, 20_000, now);
    assert_eq!(allocator.grant(1, false, now)[0].1, 20_000);
}

#[test]
fn a_bucket_passes_no_more_than_its_rate_and_depth() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(start);
    bucket.set_share(20_000, 1.0, start);
    let full_at = start + Duration::from_secs(3);
    let passed = (0..5000).filter(|step| {
        let now = full_at + Duration::from_millis(*step);
        bucket.take(now).is_some()
    });
    assert!((110..=120).contains(&passed.count()));
}

/// All nodes of a team over its limit are killed and restart at once. A bucket that started full
/// would let a second burst through.
#[test]
fn a_restarted_node_gets_no_second_burst() {
    let start = Instant::now();
    let restart = start + Duration::from_secs(2);
    let mut bucket = TokenBucket::new(start);
    bucket.set_share(20_000, 1.0, start);
    let mut passed = 0;
    for step in 0..5000 {
        let now = start + Duration::from_secs(1) + Duration::from_millis(step);
        if now == restart {
            bucket = TokenBucket::new(now);
            bucket.set_share(20_000, 1.0, now);
        }
        passed += u32::from(bucket.take(now).is_some());
    }
    assert!(passed <= 120, "{passed}");
}

#[test]
fn a_bucket_starts_empty_and_refills_at_its_rate() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(start);
    bucket.set_share(2_000, 0.5, start);
    assert!(bucket.take(start).is_none());
    let later = start + Duration::from_millis(500);
    assert!(bucket.take(later).is_some());
    assert!(bucket.take(later).is_none());
}

/// Spreads requests that all fail over nodes and a window; returns how many retries are allowed.
fn failing_retries(
    budgets: &mut [ServiceRetryBudget],
    requests: u32,
    start: Instant,
    window: Duration,
) -> u32 {
    let nodes = budgets.len();
    let mut retries = 0;
    for number in 0..requests {
        let now = start + window * number / requests;
        let budget = &mut budgets[number as usize % nodes];
        budget.earn();
        retries += u32::from(budget.spend(now));
    }
    retries
}

#[test]
fn retries_stay_within_the_ratio_when_everything_fails() {
    let start = Instant::now();
    let window = Duration::from_secs(10);
    let (ratio, slack, nodes) = (0.2, 49.0, 15);
    let mut budgets: Vec<ServiceRetryBudget> = (0..nodes)
        .map(|_| ServiceRetryBudget::new(ratio, slack, window, nodes, start))
        .collect();
    let requests = 6_000;
    let retries = failing_retries(&mut budgets, requests, start, window);
    assert!(f64::from(retries) <= ratio * f64::from(requests) + slack);
    assert!(retries > 500);
}

/// A node that reports only the teams of which it has demand or a share.
#[derive(Clone, Debug, Default)]
struct SparseNode {
    share_milli: u64,
    /// Grants on their way, the oldest first.
    in_flight: Vec<u64>,
}

impl SparseNode {
    fn report(
        &self,
        allocator: &mut RateAllocator,
        node: u64,
        team: &TeamName,
        demand: u32,
        now: Instant,
    ) {
        let is_named = demand > 0 || self.share_milli > 0;
        if is_named {
            allocator.report(node, team, demand, self.share_milli, now);
        }
        let reported: &[&TeamName] = if is_named { &[team] } else { &[] };
        allocator.report_rest(node, reported, now);
    }

    /// The largest share that the node applies now or once any of its grants arrives.
    fn reserved_milli(&self) -> u64 {
        let in_flight = self.in_flight.iter().copied();
        in_flight.fold(self.share_milli, u64::max)
    }
}

#[test]
fn shares_never_exceed_the_rate_when_nodes_leave_out_what_they_do_not_have() {
    arbtest::arbtest(|source| {
        let start = Instant::now();
        let (mut allocator, team) = allocator(start);
        let mut nodes = vec![SparseNode::default(); source.int_in_range(1..=8)?];
        let mut now = start;
        while !source.is_empty() {
            let position = source.choose_index(nodes.len())?;
            let node = position as u64;
            if source.ratio(1, 3)? {
                // A grant arrives; none overtakes another on a link.
                if !nodes[position].in_flight.is_empty() {
                    nodes[position].share_milli = nodes[position].in_flight.remove(0);
                }
                continue;
            }
            now += Duration::from_millis(source.int_in_range(0..=100)?);
            let demand = if source.ratio(1, 2)? {
                0
            } else {
                source.int_in_range(0..=900)?
            };
            nodes[position].report(&mut allocator, node, &team, demand, now);
            // A node that applies nothing late reports what it was granted last.
            if nodes[position].in_flight.is_empty() {
                let grants = allocator.grant(node, true, now);
                nodes[position]
                    .in_flight
                    .extend(grants.iter().map(|(_, granted)| *granted));
            }
            let sum: u64 = nodes.iter().map(SparseNode::reserved_milli).sum();
            assert!(sum <= limit_with_overage_milli(), "{sum}: {nodes:?}");
        }
        Ok(())
    });
}

#[test]
fn a_grant_that_is_on_its_way_stays_reserved_while_the_node_reports_none() {
    let start = Instant::now();
    let (mut allocator, team) = allocator(start);
    let (holder, other) = (1, 2);
    allocator.report(holder, &team, 900, 0, start);
    let granted: u64 = allocator
        .grant(holder, true, start)
        .iter()
        .map(|(_, share)| share)
        .sum();
    assert!(granted > 0);
    allocator.report_rest(holder, &[], start);
    allocator.report(other, &team, 900, 0, start);
    let second: u64 = allocator
        .grant(other, true, start)
        .iter()
        .map(|(_, share)| share)
        .sum();
    assert!(
        granted + second <= limit_with_overage_milli(),
        "{granted} and {second}"
    );
}

#[test]
fn a_team_without_demand_at_a_node_costs_nothing_there_after_a_while() {
    let start = Instant::now();
    let (mut allocator, team) = allocator(start);
    allocator.report(1, &team, 2, 0, start);
    let mut now = start;
    for _ in 0..60 {
        now += PERIOD;
        allocator.report_rest(1, &[], now);
    }
    assert_eq!(allocator.grant(1, true, now), []);
}

/// Least share that a node gets of a team whose burst is a second of its rate.
const LEAST_SHARE_MILLI: u64 = 1_500;
/// Difference in shares that forgetting a node may make.
const TOLERANCE_MILLI: u64 = 50;

/// A small team whose requests come to one node and then to another, seldom to each.
#[test]
fn shares_are_the_same_whether_nodes_name_teams_without_demand_or_leave_them_out() {
    arbtest::arbtest(|source| {
        let start = Instant::now();
        let (mut full, team) = allocator(start);
        let (mut sparse, _) = allocator(start);
        let nodes = source.int_in_range(2..=8)?;
        let mut shares = vec![0_u64; nodes];
        let mut sparse_nodes = vec![SparseNode::default(); nodes];
        for period in 0..120 {
            let now = start + PERIOD * period;
            for position in 0..nodes {
                let node = position as u64;
                let demand = if source.ratio(1, 20)? { 4 } else { 0 };
                full.report(node, &team, demand, shares[position], now);
                for (_, granted) in full.grant(node, true, now) {
                    shares[position] = granted;
                }
                sparse_nodes[position].report(&mut sparse, node, &team, demand, now);
                for (_, granted) in sparse.grant(node, true, now) {
                    sparse_nodes[position].share_milli = granted;
                }
                let (more, less) = (shares[position], sparse_nodes[position].share_milli);
                let (more, less) = (more.max(less), more.min(less));
                // A forgotten node had hardly any demand. Below the least useful share there is none.
                let is_least = less == 0 && more <= LEAST_SHARE_MILLI + TOLERANCE_MILLI;
                assert!(
                    more - less <= TOLERANCE_MILLI || is_least,
                    "{shares:?} {sparse_nodes:?}"
                );
            }
        }
        Ok(())
    });
}

/// Shares held by nodes that a new leader has not heard of, and what it lends meanwhile.
///
/// Guards against refusals for as long as one of many nodes has not reported to a new leader, and
/// against a leader that lends what such a node may use.
#[test]
fn a_leader_that_does_not_know_all_nodes_lends_only_what_is_never_granted_as_shares() {
    let start = Instant::now();
    arbtest::arbtest(|source| {
        let demands: Vec<Vec<u32>> = (0..12)
            .map(|_| (0..6).map(|_| source.int_in_range(0..=400)).collect())
            .collect::<Result<_, _>>()?;
        let shares = run_periods(&demands, |_, _| {});
        let held: u64 = shares.values().sum();
        let (mut leader, team) = allocator(start);
        leader.set_knows_all_nodes(false, start);
        let lent = lent_in(&mut leader, &team, start, Duration::from_secs(5));
        let limit = limit_with_overage_milli();
        assert!(held + lent * 1000 / 5 <= limit, "{held} and {lent}");
        assert!(lent * 1000 / 5 >= limit * 3 / 10, "{lent}");
        Ok(())
    });
}

#[test]
fn a_leader_lends_the_whole_rate_once_it_knows_that_no_node_holds_a_share() {
    let start = Instant::now();
    let (mut leader, team) = allocator(start);
    leader.set_knows_all_nodes(false, start);
    lent_in(&mut leader, &team, start, Duration::from_secs(1));
    let known = start + Duration::from_secs(1);
    leader.set_knows_all_nodes(true, known);
    let lent = lent_in(&mut leader, &team, known, Duration::from_secs(1));
    assert!(lent + 1 >= u64::from(RATE_PER_S) * 109 / 100, "{lent}");
}

/// Returns how many tokens an allocator lends at most from `from` on.
fn lent_in(allocator: &mut RateAllocator, team: &TeamName, from: Instant, length: Duration) -> u64 {
    let steps = (1..=100).map(|step| from + length / 100 * step);
    steps
        .map(|now| u64::from(allocator.lend_tokens(team, 1000, now)))
        .sum()
}

/// Guards against a team within its limit that is told it is over it, since a new leader's pool
/// begins empty and all nodes report to it before it has a token to lend.
#[test]
fn a_shortage_of_a_pool_that_had_no_time_to_fill_shows_no_use() {
    let start = Instant::now();
    let team = TeamName::from("team");
    let low = TeamLimit {
        rate_milli: 5_000,
        burst_milli: 10_000,
    };
    let mut allocator = RateAllocator::new(LEASE, 0.1);
    allocator.set_limits(&[(team.clone(), low)], start);
    let all_reported = start + Duration::from_millis(100);
    assert_eq!(allocator.lend_tokens(&team, 1, all_reported), 0);
    assert!(!allocator.shows_use(&team, all_reported));
    let fill_time = Duration::from_secs(2);
    allocator.set_limits(&[(team.clone(), low)], start + fill_time);
    assert!(allocator.shows_use(&team, start + fill_time));
    let rare = TeamLimit {
        rate_milli: 1,
        burst_milli: 10_000,
    };
    let other = TeamName::from("other");
    let limits = [(team, low), (other.clone(), rare)];
    let later = start + fill_time;
    allocator.set_limits(&limits, later);
    assert!(!allocator.shows_use(&other, later + LEASE / 2));
    assert!(allocator.shows_use(&other, later + LEASE));
}

// Guards against nodes that keep a retry budget from a time at which they knew hardly any other
// node, as all do that restart together: their budgets added up to many times the slack.
#[test]
fn retries_stay_within_the_slack_when_the_other_nodes_become_known_later() {
    let start = Instant::now();
    let window = Duration::from_secs(10);
    let (ratio, slack, nodes) = (0.2, 49.0, 15);
    let mut budgets: Vec<ServiceRetryBudget> = (0..nodes)
        .map(|_| ServiceRetryBudget::new(ratio, slack, window, 1, start))
        .collect();
    for budget in &mut budgets {
        budget.set_nodes(nodes, start);
    }
    let requests = 1_000;
    let retries = failing_retries(&mut budgets, requests, start, window);
    assert!(
        f64::from(retries) <= ratio * f64::from(requests) + slack,
        "{retries}"
    );
}
