//! Retry budget of an entry node.

use limit::RetryBudget;

#[test]
fn extra_attempts_are_limited_to_a_tenth_of_the_requests() {
    let mut budget = RetryBudget::default();
    let reserved: u32 = (0..1_000).map(|_| u32::from(budget.reserve())).sum();
    // The initial balance is 20, and each request earns a tenth of an attempt.
    assert!((115..=120).contains(&reserved), "{reserved}");
}

#[test]
fn released_attempts_are_reserved_again_up_to_the_largest_balance() {
    let mut budget = RetryBudget::default();
    for _ in 0..1_000 {
        let reserved = budget.reserve();
        assert_eq!(reserved, 3);
        budget.release(reserved);
    }
    let mut reserved = 0;
    for _ in 0..10 {
        reserved += u32::from(budget.reserve());
    }
    assert!(reserved <= 21, "{reserved}");
}
