//! CPU time of each admission decision, on the system clock.

use std::hint::black_box;
use std::time::Duration;

use admit::AdaptiveLimiter;
use admit::AdmitDecision;
use admit::CallOffer;
use admit::CallOutcome;
use admit::CrashQuarantine;
use admit::RequestRanker;
use admit::ThresholdTable;
use clock::Clock;
use clock::SystemClock;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use model::context::CallRank;
use model::context::ThresholdNotice;
use model::declaration::RefusalOrder;
use model::declaration::TeamSpec;
use model::ids::RouteName;
use model::ids::TeamName;

/// Calls that run at the same time as the measured one.
const BACKGROUND_CALLS: u64 = 20;
/// Calls in the queue of the overloaded limiter.
const QUEUED_CALLS: u64 = 64;

fn offer(id: u64, rank: u32) -> CallOffer {
    CallOffer {
        id,
        rank: CallRank(rank),
        deadline: SystemClock.now() + Duration::from_hours(1),
        fingerprint: id,
    }
}

fn admit_and_release(criterion: &mut Criterion) {
    let mut limiter = AdaptiveLimiter::new(SystemClock);
    limiter.hint_slots(150);
    for id in 0..BACKGROUND_CALLS {
        limiter.offer(offer(id, 7));
    }
    let mut id = BACKGROUND_CALLS;
    criterion.bench_function("admit and release", |bencher| {
        bencher.iter(|| {
            id += 1;
            let outcome = limiter.offer(offer(id, 7));
            black_box(outcome);
            black_box(limiter.finish(id, CallOutcome::Completed))
        });
    });
}

fn admit_under_overload(criterion: &mut Criterion) {
    let mut limiter = AdaptiveLimiter::new(SystemClock);
    let mut id = 0;
    while limiter.offer(offer(id, 7)).decision == AdmitDecision::Run {
        id += 1;
    }
    for _ in 0..QUEUED_CALLS {
        id += 1;
        limiter.offer(offer(id, 7));
    }
    criterion.bench_function("queue and evict", |bencher| {
        bencher.iter(|| {
            id += 1;
            black_box(limiter.offer(offer(id, u32::try_from(id).unwrap_or(u32::MAX))))
        });
    });
}

fn rank(criterion: &mut Criterion) {
    let mut ranker = RequestRanker::new(SystemClock);
    let teams: Vec<TeamSpec> = (0..8)
        .map(|number| TeamSpec {
            name: format!("team-{number}").into(),
            rate_milli: 100_000,
            burst_milli: 100_000,
        })
        .collect();
    ranker.update(&teams);
    let team: TeamName = "team-3".into();
    let mut id = 0_u128;
    criterion.bench_function("rank", |bencher| {
        bencher.iter(|| {
            id += 1;
            black_box(ranker.rank(Some(&team), RefusalOrder::Middle, id))
        });
    });
}

fn thresholds(criterion: &mut Criterion) {
    let mut table = ThresholdTable::new(SystemClock);
    let notices: Vec<ThresholdNotice> = (0..3)
        .map(|number| ThresholdNotice {
            service: format!("service-{number}").into(),
            threshold: CallRank(1000 + number),
        })
        .collect();
    let route: RouteName = "orders".into();
    table.learn(&route, &notices);
    criterion.bench_function("threshold check", |bencher| {
        bencher.iter(|| black_box(table.check(&route, CallRank(500))));
    });
    criterion.bench_function("threshold learn", |bencher| {
        bencher.iter(|| table.learn(&route, &notices));
    });
}

fn quarantine(criterion: &mut Criterion) {
    let mut quarantine = CrashQuarantine::new(SystemClock, "orders".into());
    let mut fingerprint = 0;
    criterion.bench_function("suspect check", |bencher| {
        bencher.iter(|| {
            fingerprint += 1;
            black_box(quarantine.check(fingerprint));
            quarantine.record_end(fingerprint, true);
        });
    });
}

criterion_group!(
    decisions,
    admit_and_release,
    admit_under_overload,
    rank,
    thresholds,
    quarantine
);
criterion_main!(decisions);
