//! Checks that extra attempts never exceed the allowance.

use std::time::Duration;

use clock::VirtualClock;
use limit::AllowanceShare;
use limit::ResendBook;
use limit::ResendVerdict;
use limit::RetryAllowance;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

const MAX_DEPTH: u32 = 16;

/// Runs a call tree in which every layer repeats failed calls as long as it may.
///
/// Returns the extra attempts spent and what the call's answer brings back.
fn run_call(random: &mut StdRng, mut allowance: RetryAllowance, depth: u32) -> (u64, u16) {
    let mut extra = 0;
    let children = if depth < MAX_DEPTH {
        random.random_range(0..3)
    } else {
        0
    };
    for _ in 0..children {
        loop {
            let share = allowance.split();
            let (spent, left) = run_call(random, RetryAllowance::new(share.amount()), depth + 1);
            extra += spent;
            let lost = random.random_bool(0.3);
            if !lost {
                let claimed = claim(random, left, &share);
                allowance.restore(share, claimed);
            }
            let failed = lost || random.random_bool(0.5);
            if !failed || !allowance.charge() {
                break;
            }
            extra += 1;
        }
    }
    (extra, allowance.left())
}

/// An answer may claim more than its share, but what was spent stays spent.
fn claim(random: &mut StdRng, left: u16, share: &AllowanceShare) -> u16 {
    if left == share.amount() && random.random_bool(0.2) {
        left + 7
    } else {
        left
    }
}

#[test]
fn extra_attempts_never_exceed_the_allowance() {
    for seed in 0..2000 {
        let mut random = StdRng::seed_from_u64(seed);
        let minted = random.random_range(0..12);
        let (extra, left) = run_call(&mut random, RetryAllowance::new(minted), 0);
        assert!(
            extra + u64::from(left) <= u64::from(minted),
            "seed {seed}: {extra} extra and {left} left of {minted}"
        );
    }
}

#[test]
fn same_sub_call_under_one_parent_is_charged() {
    let mut book = ResendBook::new(Duration::from_mins(1), 2, 100, VirtualClock::new());
    let mut allowance = RetryAllowance::new(1);
    assert_eq!(book.sub_call(1, 5, &mut allowance), ResendVerdict::First);
    assert_eq!(book.sub_call(1, 6, &mut allowance), ResendVerdict::First);
    assert_eq!(book.sub_call(2, 5, &mut allowance), ResendVerdict::First);
    assert_eq!(book.sub_call(1, 5, &mut allowance), ResendVerdict::Charged);
    assert_eq!(book.sub_call(1, 5, &mut allowance), ResendVerdict::Refused);
    book.parent_ended(1);
    assert_eq!(book.sub_call(1, 5, &mut allowance), ResendVerdict::First);
}

#[test]
fn caller_resends_are_bounded_within_the_window() {
    let clock = VirtualClock::new();
    let mut book = ResendBook::new(Duration::from_mins(1), 2, 100, clock.clone());
    let verdicts: Vec<_> = (0..4).map(|_| book.arrival(9)).collect();
    let expected = [
        ResendVerdict::First,
        ResendVerdict::Charged,
        ResendVerdict::Charged,
        ResendVerdict::Refused,
    ];
    assert_eq!(verdicts, expected);
    clock.advance(Duration::from_mins(1));
    assert_eq!(book.arrival(9), ResendVerdict::First);
}

#[test]
fn book_stays_within_its_capacity() {
    let mut book = ResendBook::new(Duration::from_mins(1), 2, 3, VirtualClock::new());
    for request in 0..10 {
        book.arrival(request);
    }
    assert_eq!(book.arrival(9), ResendVerdict::Charged);
    assert_eq!(book.arrival(0), ResendVerdict::First);
}
