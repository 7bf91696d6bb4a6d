//! A backend server that passes its health checks and fails a part of its calls at once.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use admit::FailureMeter;
use model::context::FailureShare;
use model::context::ServerLoad;
use model::ids::NodeId;
use route::LeastLoadedPicker;
use route::PickerMember;
use route::SendResult;

/// Time in service of a call that succeeds, and of one that fails.
const SERVED: Duration = Duration::from_millis(30);
const FAILED: Duration = Duration::from_millis(2);
const SLOTS: u32 = 100;

fn picker(now: Instant) -> LeastLoadedPicker {
    let mut picker = LeastLoadedPicker::default();
    for node in 1..=3 {
        let mut member = PickerMember::new(node, now);
        member.slots = SLOTS;
        member.same_data_centre = node == 1;
        member.data_centre = node.to_string().into();
        picker.members_mut().push(member);
    }
    picker
}

/// Calls of one sender to three members, of which `is_failing` tells by node and number of the
/// call which calls fail; returns the share of failed calls in the second second.
fn failed_share(is_failing: impl Fn(NodeId, u64) -> bool) -> f64 {
    let start = Instant::now();
    let mut picker = picker(start);
    let mut meters = [FailureMeter::default(); 3];
    let mut running: VecDeque<(Instant, NodeId, bool)> = VecDeque::new();
    let (mut failed, mut sent) = (0.0, 0.0);
    for number in 0..4_000_u64 {
        let now = start + Duration::from_micros(500 * number);
        let (ended, left): (VecDeque<_>, VecDeque<_>) =
            running.into_iter().partition(|(end, _, _)| *end <= now);
        running = left;
        for (_, node, is_failed) in ended {
            let meter = &mut meters[usize::try_from(node - 1).unwrap()];
            meter.record(is_failed, now);
            let in_flight = running.iter().filter(|call| call.1 == node).count();
            let load = ServerLoad {
                in_flight: u32::try_from(in_flight).unwrap(),
                limit: SLOTS,
                failing: meter.share(now),
                ..ServerLoad::default()
            };
            picker.record_result(node, SendResult::Answered, Some(load), now);
        }
        let node = picker.pick(&[], number, now).unwrap();
        let is_failed = is_failing(node, number);
        let service = if is_failed { FAILED } else { SERVED };
        running.push_back((now + service, node, is_failed));
        if number >= 2_000 {
            sent += 1.0;
            failed += f64::from(u8::from(is_failed));
        }
    }
    failed / sent
}

/// Guards against a failing server that attracts calls: those that it fails end soonest, so it is
/// the least loaded.
#[test]
fn a_member_that_fails_calls_at_once_does_not_attract_them() {
    let share = failed_share(|node, number| node == 1 && number % 5 < 2);
    assert!(share < 0.04, "{share}");
}

/// Guards against avoiding members for failures of a service further down, which all share.
#[test]
fn members_that_fail_alike_are_all_used() {
    let now = Instant::now();
    let mut picker = picker(now);
    let load = ServerLoad {
        limit: SLOTS,
        failing: FailureShare::from_milli(550),
        ..ServerLoad::default()
    };
    for number in 0..600 {
        let node = picker.pick(&[], number, now).unwrap();
        picker.record_result(node, SendResult::Answered, Some(load), now);
    }
    assert_eq!(picker.pick(&[], 1, now), Some(1), "the nearest member");
    assert_eq!(picker.pick_within("1", &[], 1, now), Some(1));
}

/// Guards against a member that is avoided for ever, and against calls that are kept within a
/// data centre whose only member fails them.
#[test]
fn a_member_is_avoided_while_its_report_is_recent() {
    let now = Instant::now();
    let mut picker = picker(now);
    let load = ServerLoad {
        limit: SLOTS,
        failing: FailureShare::from_milli(400),
        ..ServerLoad::default()
    };
    picker.pick(&[2, 3], 0, now);
    picker.record_result(1, SendResult::Answered, Some(load), now);
    assert_ne!(picker.pick(&[], 0, now), Some(1));
    assert_eq!(picker.pick_within("1", &[], 0, now), None);
    let later = now + Duration::from_secs(3);
    assert_eq!(picker.pick(&[], 0, later), Some(1));
    assert_eq!(picker.pick_within("1", &[], 0, later), Some(1));
}

/// Guards against a server with few calls that counts as failing after a single failure.
#[test]
fn one_failure_is_no_failing_server() {
    let now = Instant::now();
    let mut meter = FailureMeter::default();
    meter.record(true, now);
    assert!(meter.share(now).fraction() < 0.25);
    for _ in 0..40 {
        meter.record(true, now);
    }
    assert!(meter.share(now).fraction() > 0.85);
    let later = now + Duration::from_secs(5);
    assert!(meter.share(later).fraction() < 0.05);
}
