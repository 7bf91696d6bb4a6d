//! Cost of each admission decision on the system clock.

use std::hint::black_box;
use std::time::Duration;

use admit::AdmitDecision;
use admit::AdmitGate;
use admit::CallOffer;
use admit::CallOutcome;
use admit::CutBook;
use admit::StandingBook;
use admit::TrialBook;
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

/// Calls that run beside the measured one.
const BACKGROUND_CALLS: u64 = 20;
/// Calls that wait in the overloaded gate.
const WAITING_CALLS: u64 = 64;

fn offer(id: u64, rank: u32) -> CallOffer {
    CallOffer {
        id,
        rank: CallRank(rank),
        deadline: SystemClock.now() + Duration::from_hours(1),
        fingerprint: id,
    }
}

fn admit_and_release(criterion: &mut Criterion) {
    let mut gate = AdmitGate::new(SystemClock);
    gate.hint_slots(150);
    for id in 0..BACKGROUND_CALLS {
        gate.offer(offer(id, 7));
    }
    let mut id = BACKGROUND_CALLS;
    criterion.bench_function("admit and release", |bencher| {
        bencher.iter(|| {
            id += 1;
            let outcome = gate.offer(offer(id, 7));
            black_box(outcome);
            black_box(gate.finish(id, CallOutcome::Completed))
        });
    });
}

fn admit_under_overload(criterion: &mut Criterion) {
    let mut gate = AdmitGate::new(SystemClock);
    let mut id = 0;
    while gate.offer(offer(id, 7)).decision == AdmitDecision::Run {
        id += 1;
    }
    for _ in 0..WAITING_CALLS {
        id += 1;
        gate.offer(offer(id, 7));
    }
    criterion.bench_function("queue and displace", |bencher| {
        bencher.iter(|| {
            id += 1;
            black_box(gate.offer(offer(id, u32::try_from(id).unwrap_or(u32::MAX))))
        });
    });
}

fn rank(criterion: &mut Criterion) {
    let mut book = StandingBook::new(SystemClock);
    let teams: Vec<TeamSpec> = (0..8)
        .map(|number| TeamSpec {
            name: format!("team-{number}").into(),
            rate_milli: 100_000,
            burst_milli: 100_000,
        })
        .collect();
    book.update(&teams);
    let team: TeamName = "team-3".into();
    let mut id = 0_u128;
    criterion.bench_function("rank", |bencher| {
        bencher.iter(|| {
            id += 1;
            black_box(book.rank(Some(&team), RefusalOrder::Middle, id))
        });
    });
}

fn cuts(criterion: &mut Criterion) {
    let mut book = CutBook::new(SystemClock);
    let notices: Vec<ThresholdNotice> = (0..3)
        .map(|number| ThresholdNotice {
            service: format!("service-{number}").into(),
            threshold: CallRank(1000 + number),
        })
        .collect();
    let route: RouteName = "orders".into();
    book.learn(&route, &notices);
    criterion.bench_function("cut check", |bencher| {
        bencher.iter(|| black_box(book.check(&route, CallRank(500))));
    });
    criterion.bench_function("cut learn", |bencher| {
        bencher.iter(|| book.learn(&route, &notices));
    });
}

fn trial(criterion: &mut Criterion) {
    let mut book = TrialBook::new(SystemClock, "orders".into());
    let mut fingerprint = 0;
    criterion.bench_function("suspect check", |bencher| {
        bencher.iter(|| {
            fingerprint += 1;
            black_box(book.check(fingerprint));
            book.ended(fingerprint, true);
        });
    });
}

criterion_group!(
    decisions,
    admit_and_release,
    admit_under_overload,
    rank,
    cuts,
    trial
);
criterion_main!(decisions);
