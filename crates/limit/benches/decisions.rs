//! Cost of the limit checks that each request passes.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use clock::Clock;
use clock::SystemClock;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use limit::ResendTracker;
use limit::RetryAllowance;
use limit::TeamLimit;
use limit::TokenAllocator;
use limit::TokenHolder;

/// Length of the token lease, in seconds.
const LEASE_S: u64 = 3600;
/// More tokens than the benchmark can use up.
const AMPLE_MILLI: u64 = u64::MAX / 8;

fn token_take(criterion: &mut Criterion) {
    let clock = SystemClock;
    let lease = Duration::from_secs(LEASE_S);
    let limit = TeamLimit {
        rate_milli: AMPLE_MILLI,
        burst_milli: AMPLE_MILLI,
    };
    let mut allocator = TokenAllocator::new(limit, 1, lease, clock);
    let mut holder = TokenHolder::new(Arc::from("team"), Duration::from_secs(1), clock);
    holder.take();
    let mut demand = holder.demand().expect("a call waits");
    demand.urgent_milli = AMPLE_MILLI / 2;
    demand.want_milli = AMPLE_MILLI / 2;
    let grant = allocator.grant(1, &demand);
    holder.accept(&grant, clock.now() + lease);
    criterion.bench_function("token take", |bencher| bencher.iter(|| holder.take()));
}

fn allocator_grant(criterion: &mut Criterion) {
    let clock = SystemClock;
    let limit = TeamLimit {
        rate_milli: AMPLE_MILLI,
        burst_milli: AMPLE_MILLI,
    };
    let mut allocator = TokenAllocator::new(limit, 1, Duration::from_secs(LEASE_S), clock);
    let mut holder = TokenHolder::new(Arc::from("team"), Duration::from_secs(1), clock);
    holder.take();
    let mut demand = holder.demand().expect("a call waits");
    let mut node = 0;
    criterion.bench_function("allocator grant, 1400 nodes", |bencher| {
        bencher.iter(|| {
            node = (node + 1) % 1400;
            demand.sequence += 1;
            allocator.grant(node, black_box(&demand))
        });
    });
}

fn allowance(criterion: &mut Criterion) {
    criterion.bench_function("allowance split, charge, restore", |bencher| {
        bencher.iter(|| {
            let mut whole = RetryAllowance::new(black_box(3));
            let share = whole.split();
            let left = share.amount();
            whole.charge();
            whole.restore(share, left);
            whole.left()
        });
    });
}

fn resend_check(criterion: &mut Criterion) {
    let window = Duration::from_secs(LEASE_S);
    let mut resends = ResendTracker::new(window, 3, 65_536, SystemClock);
    let mut request = 0;
    criterion.bench_function("resend check", |bencher| {
        bencher.iter(|| {
            request += 1;
            resends.check_request(request)
        });
    });
}

criterion_group!(
    decisions,
    token_take,
    allocator_grant,
    allowance,
    resend_check
);
criterion_main!(decisions);
