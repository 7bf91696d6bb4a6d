//! Parts of a team's rate at the nodes, under callers that move and one that asks for too much.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use limit::RepeatBudget;
use limit::ShareBook;
use limit::TokenBucket;
use model::ids::TeamName;

const LEASE: Duration = Duration::from_secs(5);
const PERIOD: Duration = Duration::from_millis(450);
const RATE_PER_S: u32 = 300;

fn book() -> (ShareBook, TeamName) {
    let team = TeamName::from("team");
    let mut book = ShareBook::new(LEASE, 0.1);
    book.declare(&[(team.clone(), RATE_PER_S)]);
    (book, team)
}

/// Reports of `asked` by node and period; nodes go by a grant one period late at the worst.
fn play(periods: &[Vec<u32>], check: impl Fn(usize, &HashMap<u64, u64>)) -> HashMap<u64, u64> {
    let (mut book, team) = book();
    let start = Instant::now();
    let mut shares: HashMap<u64, u64> = HashMap::new();
    for (period, asked) in periods.iter().enumerate() {
        let now = start + PERIOD * u32::try_from(period).unwrap();
        for (node, asked) in (0_u64..).zip(asked) {
            let share = shares.get(&node).copied().unwrap_or(0);
            book.report(node, &team, *asked, share, now);
            for (_, granted) in book.grant(node, true, now) {
                shares.insert(node, granted);
            }
            check(period, &shares);
        }
    }
    shares
}

/// The rate and nine tenths of the overage of a tenth, in thousandths.
fn bound_milli() -> u64 {
    u64::from(RATE_PER_S) * 1090
}

#[test]
fn the_parts_never_add_up_to_more_than_the_rate_and_the_overage() {
    arbtest::arbtest(|source| {
        let nodes = source.int_in_range(1..=12_usize)?;
        let periods: Vec<Vec<u32>> = (0..20)
            .map(|_| (0..nodes).map(|_| source.int_in_range(0..=900)).collect())
            .collect::<Result<_, _>>()?;
        play(&periods, |period, shares| {
            let sum: u64 = shares.values().sum();
            assert!(sum <= bound_milli(), "period {period}: {sum}");
        });
        Ok(())
    });
}

#[test]
fn a_node_where_all_callers_turn_up_gets_most_of_the_rate() {
    let asked = |busy: usize| -> Vec<u32> {
        (0..10)
            .map(|node| if node == busy { 300 } else { 0 })
            .collect()
    };
    let mut periods = vec![asked(0); 20];
    periods.extend(vec![asked(7); 20]);
    let shares = play(&periods, |_, _| {});
    assert!(shares[&7] > u64::from(RATE_PER_S) * 500, "{shares:?}");
}

#[test]
fn even_callers_get_even_parts() {
    let shares = play(&vec![vec![30; 10]; 20], |_, _| {});
    for share in shares.values() {
        assert!((28_000..=34_000).contains(share), "{shares:?}");
    }
}

#[test]
fn a_silent_node_keeps_its_part_until_its_lease_has_run_out() {
    let (mut book, team) = book();
    let start = Instant::now();
    book.report(1, &team, 100, 0, start);
    let first = book.grant(1, true, start)[0].1;
    assert_eq!(first, bound_milli());
    let soon = start + LEASE / 2;
    book.report(2, &team, 100, 0, soon);
    assert_eq!(book.grant(2, true, soon)[0].1, 0);
    let later = start + LEASE;
    book.report(2, &team, 100, 0, later);
    assert_eq!(book.grant(2, true, later)[0].1, bound_milli());
}

#[test]
fn a_new_leader_raises_nothing_before_it_knows_all_nodes() {
    let (mut book, team) = book();
    let now = Instant::now();
    book.report(1, &team, 100, 20_000, now);
    assert_eq!(book.grant(1, false, now)[0].1, 20_000);
}

#[test]
fn a_bucket_lets_no_more_pass_than_rate_and_depth() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(start);
    bucket.set_share(20_000, 1.0, start);
    let saved = start + Duration::from_secs(3);
    let passed = (0..5000).filter(|step| {
        let now = saved + Duration::from_millis(*step);
        bucket.take(now).is_ok()
    });
    assert!((110..=120).contains(&passed.count()));
}

/// Load pattern: a team over its limit whose nodes are all killed and start again at once.
#[test]
fn a_node_that_starts_again_brings_no_second_burst() {
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
        passed += u32::from(bucket.take(now).is_ok());
    }
    assert!(passed <= 120, "{passed}");
}

#[test]
fn a_bucket_names_the_time_until_the_next_token() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(start);
    bucket.set_share(2_000, 0.5, start);
    assert_eq!(bucket.take(start), Err(Duration::from_millis(500)));
    let later = start + Duration::from_millis(500);
    assert_eq!(bucket.take(later), Ok(()));
    assert_eq!(bucket.take(later), Err(Duration::from_millis(500)));
}

#[test]
fn repeats_keep_to_the_ratio_when_everything_fails() {
    let start = Instant::now();
    let window = Duration::from_secs(10);
    let (ratio, slack, nodes) = (0.2, 49.0, 15);
    let mut budgets: Vec<RepeatBudget> = (0..nodes)
        .map(|_| RepeatBudget::new(ratio, slack, window, nodes, start))
        .collect();
    let requests = 6_000;
    let mut repeats = 0;
    for number in 0..requests {
        let now = start + window * number / requests;
        let budget = &mut budgets[number as usize % nodes];
        budget.earn();
        repeats += u32::from(budget.spend(now));
    }
    assert!(f64::from(repeats) <= ratio * f64::from(requests) + slack);
    assert!(repeats > 500);
}
