//! The budget of extra attempts.

use limit::RetryBudget;

#[test]
fn a_tenth_of_the_requests_earns_an_extra_attempt() {
    let mut budget = RetryBudget::default();
    let saved: u32 = (0..1_000).map(|_| u32::from(budget.reserve())).sum();
    // 20 are saved at the start, and each request earns a tenth.
    assert!((115..=120).contains(&saved), "{saved}");
}

#[test]
fn what_is_given_back_is_given_again_but_never_piled_up() {
    let mut budget = RetryBudget::default();
    for _ in 0..1_000 {
        let given = budget.reserve();
        assert_eq!(given, 3);
        budget.release(given);
    }
    let mut given = 0;
    for _ in 0..10 {
        given += u32::from(budget.reserve());
    }
    assert!(given <= 21, "{given}");
}
