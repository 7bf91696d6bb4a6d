//! One token allocator with one or two token holders, without message loss.

use std::sync::Arc;
use std::time::Duration;

use clock::Clock;
use clock::VirtualClock;
use limit::GrantOutcome;
use limit::TakeOutcome;
use limit::TeamLimit;
use limit::TokenAllocator;
use limit::TokenHolder;

const LEASE: Duration = Duration::from_secs(2);
const PREFETCH_HORIZON: Duration = Duration::from_millis(400);

fn limit(rate: u64, burst: u64) -> TeamLimit {
    TeamLimit {
        rate_milli: rate * 1000,
        burst_milli: burst * 1000,
    }
}

fn holder(clock: &VirtualClock) -> TokenHolder<VirtualClock> {
    TokenHolder::new(Arc::from("kervadec"), PREFETCH_HORIZON, clock.clone())
}

/// Delivers one demand and its grant without loss; returns the effect of the grant.
fn exchange(
    allocator: &mut TokenAllocator<VirtualClock>,
    node: u64,
    holder: &mut TokenHolder<VirtualClock>,
    clock: &VirtualClock,
) -> GrantOutcome {
    let Some(demand) = holder.demand() else {
        return GrantOutcome::Ignored;
    };
    let grant = allocator.grant(node, &demand);
    holder.accept(&grant, clock.now() + LEASE)
}

#[test]
fn node_without_tokens_takes_one_after_an_exchange() {
    let clock = VirtualClock::new();
    let mut allocator = TokenAllocator::new(limit(10, 1), 1, LEASE, clock.clone());
    let mut holder = holder(&clock);
    let no_token = TakeOutcome::NoToken {
        ask_now: true,
        retry_after: Duration::ZERO,
    };
    assert_eq!(holder.take(), no_token);
    exchange(&mut allocator, 1, &mut holder, &clock);
    assert_eq!(holder.retry_take(), TakeOutcome::Taken);
    assert_ne!(holder.retry_take(), TakeOutcome::Taken);
}

#[test]
fn single_token_is_not_kept_by_an_idle_node() {
    let clock = VirtualClock::new();
    let mut allocator = TokenAllocator::new(limit(10, 1), 1, LEASE, clock.clone());
    let mut first = holder(&clock);
    first.take();
    exchange(&mut allocator, 1, &mut first, &clock);
    assert_eq!(first.retry_take(), TakeOutcome::Taken);
    clock.advance(Duration::from_millis(200));
    exchange(&mut allocator, 1, &mut first, &clock);
    clock.advance(Duration::from_millis(200));
    let mut second = holder(&clock);
    second.take();
    exchange(&mut allocator, 2, &mut second, &clock);
    assert_eq!(second.retry_take(), TakeOutcome::Taken);
}

#[test]
fn repeated_demand_gets_the_same_grant_and_counts_once() {
    let clock = VirtualClock::new();
    let mut allocator = TokenAllocator::new(limit(10, 20), 1, LEASE, clock.clone());
    let mut holder = holder(&clock);
    holder.take();
    let demand = holder.demand().expect("a call waits");
    let first = allocator.grant(1, &demand);
    let second = allocator.grant(1, &demand);
    assert_eq!(first, second);
    let lease_end = clock.now() + LEASE;
    assert_ne!(holder.accept(&first, lease_end), GrantOutcome::Ignored);
    assert_eq!(holder.accept(&second, lease_end), GrantOutcome::Ignored);
    assert_eq!(allocator.outstanding_milli(), holder.held_milli());
}

#[test]
fn returned_tokens_are_free_once() {
    let clock = VirtualClock::new();
    let mut allocator = TokenAllocator::new(limit(0, 40), 1, LEASE, clock.clone());
    let mut holder = holder(&clock);
    for _ in 0..10 {
        holder.take();
    }
    exchange(&mut allocator, 1, &mut holder, &clock);
    assert!(holder.held_milli() >= 10_000);
    for _ in 0..8 {
        clock.advance(Duration::from_millis(200));
        let Some(demand) = holder.demand() else {
            continue;
        };
        allocator.grant(1, &demand);
        let grant = allocator.grant(1, &demand);
        holder.accept(&grant, clock.now() + LEASE);
    }
    assert_eq!(allocator.free_milli() + holder.held_milli(), 40_000);
    assert!(holder.held_milli() <= 1000);
}

#[test]
fn tokens_expire_with_the_lease_and_return_only_by_refill() {
    let clock = VirtualClock::new();
    let mut allocator = TokenAllocator::new(limit(1, 4), 1, LEASE, clock.clone());
    let mut holder = holder(&clock);
    for _ in 0..4 {
        holder.take();
    }
    exchange(&mut allocator, 1, &mut holder, &clock);
    assert_eq!(holder.held_milli(), 4000);
    assert_eq!(allocator.free_milli(), 0);
    clock.advance(LEASE);
    assert_eq!(holder.held_milli(), 0);
    assert_eq!(allocator.free_milli(), 0);
    clock.advance(Duration::from_secs(1));
    assert_eq!(allocator.free_milli(), 1000);
}

#[test]
fn new_allocator_grants_nothing_that_nodes_may_still_hold() {
    let clock = VirtualClock::new();
    let mut holder = holder(&clock);
    let mut allocator = TokenAllocator::take_over(limit(1, 10), 2, LEASE, 3000, clock.clone());
    for _ in 0..10 {
        holder.take();
    }
    exchange(&mut allocator, 1, &mut holder, &clock);
    assert_eq!(holder.held_milli(), 3000);
    clock.advance(LEASE);
    assert_eq!(allocator.free_milli(), 0);
    clock.advance(Duration::from_secs(5));
    assert_eq!(allocator.free_milli(), 5000);
}

#[test]
fn refill_resumes_once_every_node_has_reported() {
    let clock = VirtualClock::new();
    let mut holder = holder(&clock);
    let mut allocator = TokenAllocator::take_over(limit(10, 10), 2, LEASE, 0, clock.clone());
    holder.take();
    exchange(&mut allocator, 1, &mut holder, &clock);
    assert!(!allocator.finish_takeover(&[1]));
    holder.retry_take();
    exchange(&mut allocator, 1, &mut holder, &clock);
    assert!(allocator.finish_takeover(&[1]));
    clock.advance(Duration::from_millis(500));
    assert_eq!(allocator.free_milli(), 5000);
}

#[test]
fn lowered_burst_applies_to_free_tokens_at_once() {
    let clock = VirtualClock::new();
    let mut allocator = TokenAllocator::new(limit(10, 100), 1, LEASE, clock.clone());
    allocator.set_limit(limit(10, 7));
    assert_eq!(allocator.free_milli(), 7000);
    allocator.set_limit(limit(10, 100));
    clock.advance(Duration::from_secs(1));
    assert_eq!(allocator.free_milli(), 17_000);
}

#[test]
fn large_rates_refill_without_overflow_or_loss() {
    let clock = VirtualClock::new();
    let large = TeamLimit {
        rate_milli: 77_000_000_000,
        burst_milli: u64::MAX / 4,
    };
    let mut allocator = TokenAllocator::take_over(large, 2, Duration::ZERO, 0, clock.clone());
    for _ in 0..1000 {
        clock.advance(Duration::from_nanos(1_000_003));
        allocator.free_milli();
    }
    assert_eq!(allocator.free_milli(), 77_000_231_000);
}

#[test]
fn reserved_tokens_are_not_granted() {
    let clock = VirtualClock::new();
    let mut allocator = TokenAllocator::new(limit(0, 10), 1, LEASE, clock.clone());
    assert_eq!(allocator.reserve(6000), 6000);
    let mut holder = holder(&clock);
    for _ in 0..10 {
        holder.take();
    }
    exchange(&mut allocator, 1, &mut holder, &clock);
    assert_eq!(holder.held_milli(), 4000);
}

#[test]
fn grant_that_arrives_after_its_lease_is_ignored() {
    let clock = VirtualClock::new();
    let mut allocator = TokenAllocator::new(limit(10, 10), 1, LEASE, clock.clone());
    let mut holder = holder(&clock);
    holder.take();
    let lease_end = clock.now() + LEASE;
    let demand = holder.demand().expect("a call waits");
    let grant = allocator.grant(1, &demand);
    clock.advance(LEASE);
    assert_eq!(holder.accept(&grant, lease_end), GrantOutcome::Ignored);
    assert_eq!(holder.held_milli(), 0);
}

#[test]
fn tokens_of_a_previous_allocator_keep_their_expiry_until_counted() {
    let clock = VirtualClock::new();
    let mut previous = TokenAllocator::new(limit(10, 10), 1, LEASE, clock.clone());
    let mut holder = holder(&clock);
    for _ in 0..5 {
        holder.take();
    }
    exchange(&mut previous, 1, &mut holder, &clock);
    assert!(holder.held_milli() >= 5000);
    let mut allocator = TokenAllocator::take_over(limit(10, 10), 2, LEASE, 0, clock.clone());
    clock.advance(LEASE.saturating_sub(Duration::from_millis(1)));
    exchange(&mut allocator, 1, &mut holder, &clock);
    clock.advance(Duration::from_millis(1));
    assert_eq!(holder.held_milli(), 0);
}
