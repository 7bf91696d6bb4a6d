//! Cost of choosing a backend server on the system clock.

use std::hint::black_box;
use std::time::Duration;

use clock::SystemClock;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use model::context::FailureShare;
use model::context::ServerLoad;
use model::exchange::MemberRecord;
use model::exchange::ServerState;
use route::CallResult;
use route::TwoChoicePicker;

/// Members of a present service, of the target's average service, and of a large one.
const MEMBER_COUNTS: [u64; 3] = [5, 17, 100];

fn member(node: u64) -> MemberRecord {
    MemberRecord {
        node,
        address: ([127, 0, 0, 1], 9000).into(),
        data_centre: format!("centre-{}", node % 3).into(),
        service: "stock".into(),
        state: ServerState::Ready,
        load: ServerLoad::default(),
    }
}

fn pick(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("pick and record result");
    for count in MEMBER_COUNTS {
        let members: Vec<MemberRecord> = (0..count).map(member).collect();
        let mut picker = TwoChoicePicker::new(SystemClock, "centre-1".into());
        picker.update(&members);
        let load = ServerLoad {
            in_flight: 10,
            queued: 0,
            limit: 100,
            pace: None,
            failing: FailureShare::default(),
        };
        let latency = Duration::from_millis(5);
        let mut seed = 0;
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                seed += 1;
                let server = picker.pick(&[], seed).expect("members are ready");
                let result = CallResult::Answered { latency };
                picker.record_result(server.node, result, Some(load));
                black_box(server)
            });
        });
    }
    group.finish();
}

criterion_group!(choices, pick);
criterion_main!(choices);
