//! Ranks assigned at the entry node, and the allocation that follows from a rank threshold.

use std::time::Duration;

use admit::RankPolicy;
use admit::RequestRanker;
use clock::VirtualClock;
use model::context::CallRank;
use model::declaration::RefusalOrder;
use model::declaration::TeamSpec;
use model::ids::TeamName;

fn team(name: &str, rate: u64) -> TeamSpec {
    TeamSpec {
        name: name.into(),
        rate_milli: rate * 1000,
        burst_milli: rate * 1000,
    }
}

/// Sends requests of each team evenly for ten seconds and returns their ranks.
fn ranks(
    ranker: &mut RequestRanker<VirtualClock>,
    clock: &VirtualClock,
    rates: &[(TeamName, u64)],
) -> Vec<(TeamName, CallRank)> {
    let mut ranks = Vec::new();
    let mut id = 0_u128;
    for tick in 0..10_000_u64 {
        clock.advance(Duration::from_millis(1));
        for (team, rate) in rates {
            let due = tick * rate / 1000 != (tick + 1) * rate / 1000;
            if due {
                id += 1;
                let rank = ranker.rank(Some(team), RefusalOrder::Middle, id);
                if tick >= 5000 {
                    ranks.push((team.clone(), rank));
                }
            }
        }
    }
    ranks
}

/// Returns the admitted calls per second of one team, when the `admitted` highest-ranked calls
/// per second of all teams are.
fn admitted_rate(mut ranks: Vec<(TeamName, CallRank)>, admitted: usize, name: &str) -> f64 {
    ranks.sort_by_key(|(_, rank)| std::cmp::Reverse(*rank));
    ranks.truncate(admitted * 5);
    let of_team = ranks.iter().filter(|(team, _)| &**team == name);
    of_team.count() as f64 / 5.0
}

#[test]
fn classes_are_refused_in_their_declared_order() {
    let worst_last = RankPolicy::rank(RefusalOrder::Last, 1e9, 1);
    for id in 0..1000 {
        let middle = RankPolicy::rank(RefusalOrder::Middle, 0.0, id);
        let first = RankPolicy::rank(RefusalOrder::First, 0.0, id);
        assert!(first < middle);
        assert!(middle < worst_last);
    }
}

#[test]
fn a_threshold_admits_the_max_min_fair_share_of_every_team() {
    let clock = VirtualClock::new();
    let mut ranker = RequestRanker::new(clock.clone());
    ranker.update(&[team("small", 100), team("even", 300), team("large", 600)]);
    let rates = [
        ("small".into(), 20),
        ("even".into(), 200),
        ("large".into(), 400),
    ];
    let ranks = ranks(&mut ranker, &clock, &rates);
    // 220 per second over demands of 20, 200 and 400: 20, 100 and 100.
    assert!(admitted_rate(ranks.clone(), 220, "small") >= 0.95 * 20.0);
    assert!(admitted_rate(ranks.clone(), 220, "even") >= 0.95 * 100.0);
    assert!(admitted_rate(ranks, 220, "large") >= 0.95 * 100.0);
}

#[test]
fn a_team_at_eight_times_its_rate_does_not_reduce_the_share_of_others() {
    let clock = VirtualClock::new();
    let mut ranker = RequestRanker::new(clock.clone());
    ranker.update(&[team("modest", 100), team("greedy", 100)]);
    let rates = [("modest".into(), 90), ("greedy".into(), 800)];
    let ranks = ranks(&mut ranker, &clock, &rates);
    assert!(admitted_rate(ranks, 200, "modest") >= 0.95 * 90.0);
}

#[test]
fn the_demand_of_a_team_at_one_of_many_entry_nodes_is_capped_at_its_declared_rate() {
    let clock = VirtualClock::new();
    let mut spread = RequestRanker::new(clock.clone());
    let mut single = RequestRanker::new(clock.clone());
    let teams = [team("spread", 160), team("single", 160)];
    spread.update(&teams);
    single.update(&teams);
    spread.set_entry_nodes(16);
    single.set_entry_nodes(16);
    let mut ranks_of_both = ranks(&mut spread, &clock, &[("spread".into(), 10)]);
    let of_single = ranks(&mut single, &clock, &[("single".into(), 160)]);
    // The other fifteen nodes observe the same rate of the spread team as this one.
    let one_node = ranks_of_both.clone();
    for _ in 1..16 {
        ranks_of_both.extend(one_node.iter().cloned());
    }
    ranks_of_both.extend(of_single);
    assert!(admitted_rate(ranks_of_both.clone(), 160, "spread") >= 0.85 * 80.0);
    assert!(admitted_rate(ranks_of_both, 160, "single") >= 0.85 * 80.0);
}

#[test]
fn the_rank_is_the_same_for_the_same_request_and_demand() {
    let first = RankPolicy::rank(RefusalOrder::First, 40.0, 77);
    assert_eq!(first, RankPolicy::rank(RefusalOrder::First, 40.0, 77));
}

#[test]
fn a_team_does_not_lose_by_retrying_refused_requests() {
    let clock = VirtualClock::new();
    let mut ranker = RequestRanker::new(clock.clone());
    // Both teams offer the same rate, and only the second retries refused requests.
    let teams: [(TeamName, u32); 2] = [("without-retries".into(), 1), ("with-retries".into(), 5)];
    // A fixed threshold admits the requests with a sampled rate below about 39 calls per second.
    let threshold = CallRank::new(RankPolicy::importance(RefusalOrder::Middle), 124, 0);
    let mut admitted = [0_u32; 2];
    let mut retries: Vec<(usize, u128, u32)> = Vec::new();
    let mut id = 0;
    for tick in 0..100_000_u64 {
        clock.advance(Duration::from_millis(1));
        let mut due = std::mem::take(&mut retries);
        for (team, (_, attempts)) in teams.iter().enumerate() {
            if tick % 3 == 0 {
                id += 1;
                due.push((team, id, *attempts));
            }
        }
        for (team, id, attempts_left) in due {
            let rank = ranker.rank(Some(&teams[team].0), RefusalOrder::Middle, id);
            if rank >= threshold {
                admitted[team] += 1;
            } else if attempts_left > 1 {
                retries.push((team, id, attempts_left - 1));
            }
        }
    }
    let fair = f64::from(admitted[0] + admitted[1]) / 2.0;
    let worst = f64::from(admitted[0].min(admitted[1])) / fair;
    assert!(worst >= 0.95, "{admitted:?}");
}
