//! Retry allowances and re-send limits: extra attempts never exceed them.

use std::time::Duration;

use clock::VirtualClock;
use limit::AllowanceShare;
use limit::ResendTracker;
use limit::ResendVerdict;
use limit::RetryAllowance;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

const MAX_DEPTH: u32 = 16;

/// Runs a call tree in which every layer retries failed calls as long as its allowance lasts.
///
/// Returns the extra attempts made and the unspent ones that the call's answer returns.
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
                let claimed = claimed_unspent(random, left, &share);
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

/// Returns the attempts that an answer claims to be unspent.
///
/// The claim may exceed the share, but only if none of the share was spent.
fn claimed_unspent(random: &mut StdRng, left: u16, share: &AllowanceShare) -> u16 {
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
        let total = random.random_range(0..12);
        let (extra, left) = run_call(&mut random, RetryAllowance::new(total), 0);
        assert!(
            extra + u64::from(left) <= u64::from(total),
            "seed {seed}: {extra} extra and {left} left of {total}"
        );
    }
}

#[test]
fn same_sub_call_under_one_parent_is_charged() {
    let mut resends = ResendTracker::new(Duration::from_mins(1), 2, 100, VirtualClock::new());
    let mut allowance = RetryAllowance::new(1);
    assert_eq!(
        resends.check_sub_call(1, 5, &mut allowance),
        ResendVerdict::First
    );
    assert_eq!(
        resends.check_sub_call(1, 6, &mut allowance),
        ResendVerdict::First
    );
    assert_eq!(
        resends.check_sub_call(2, 5, &mut allowance),
        ResendVerdict::First
    );
    assert_eq!(
        resends.check_sub_call(1, 5, &mut allowance),
        ResendVerdict::Charged
    );
    assert_eq!(
        resends.check_sub_call(1, 5, &mut allowance),
        ResendVerdict::Refused
    );
    resends.forget_parent(1);
    assert_eq!(
        resends.check_sub_call(1, 5, &mut allowance),
        ResendVerdict::First
    );
}

#[test]
fn caller_resends_are_bounded_within_the_window() {
    let clock = VirtualClock::new();
    let mut resends = ResendTracker::new(Duration::from_mins(1), 2, 100, clock.clone());
    let verdicts: Vec<_> = (0..4).map(|_| resends.check_request(9)).collect();
    let expected = [
        ResendVerdict::First,
        ResendVerdict::Charged,
        ResendVerdict::Charged,
        ResendVerdict::Refused,
    ];
    assert_eq!(verdicts, expected);
    clock.advance(Duration::from_mins(1));
    assert_eq!(resends.check_request(9), ResendVerdict::First);
}

#[test]
fn oldest_requests_are_forgotten_beyond_the_capacity() {
    let mut resends = ResendTracker::new(Duration::from_mins(1), 2, 3, VirtualClock::new());
    for request in 0..10 {
        resends.check_request(request);
    }
    assert_eq!(resends.check_request(9), ResendVerdict::Charged);
    assert_eq!(resends.check_request(0), ResendVerdict::First);
}
