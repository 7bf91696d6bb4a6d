//! Picker of the least loaded member.

use std::time::Duration;
use std::time::Instant;

use model::context::FailureShare;
use model::context::ServerLoad;
use route::LeastLoadedPicker;
use route::PickerMember;
use route::SendResult;

fn picker(now: Instant, count: u64) -> LeastLoadedPicker {
    let mut picker = LeastLoadedPicker::default();
    for node in 1..=count {
        let mut member = PickerMember::new(node, now);
        member.slots = 10;
        member.same_data_centre = true;
        picker.members_mut().push(member);
    }
    picker
}

#[test]
fn calls_are_spread_evenly_over_equal_members() {
    let now = Instant::now();
    let mut picker = picker(now, 3);
    let mut counts = [0; 3];
    for seed in 0..30 {
        let node = picker.pick(&[], seed, now).unwrap();
        counts[usize::try_from(node).unwrap() - 1] += 1;
    }
    assert_eq!(counts, [10, 10, 10]);
}

#[test]
fn a_member_that_reports_load_gets_fewer_calls() {
    let now = Instant::now();
    let mut picker = picker(now, 2);
    let node = picker.pick(&[2], 0, now).unwrap();
    let load = ServerLoad {
        in_flight: 10,
        queued: 5,
        limit: 10,
        pace: None,
        failing: FailureShare::default(),
    };
    picker.record_result(node, SendResult::Answered, Some(load), now);
    for seed in 0..8 {
        assert_eq!(picker.pick(&[], seed, now), Some(2));
    }
}

/// Guards against calls that pile up at a cold server, whose queue is short, until the record that
/// shows its room arrives; and against a limit that stays when it is warm.
#[test]
fn a_cold_member_gets_no_more_calls_than_its_reported_limit_allows() {
    let now = Instant::now();
    let mut picker = picker(now, 2);
    picker.pick(&[2], 0, now);
    let load = ServerLoad {
        in_flight: 1,
        queued: 0,
        limit: 1,
        pace: None,
        failing: FailureShare::default(),
    };
    picker.record_result(1, SendResult::Answered, Some(load), now);
    let chosen: Vec<_> = (0..9).map(|seed| picker.pick(&[], seed, now)).collect();
    assert_eq!(chosen, [Some(2); 9]);
    let later = now + Duration::from_secs(2);
    assert_eq!(picker.pick(&[], 0, later), Some(1));
}

#[test]
fn a_failing_member_is_skipped_for_a_while_unless_it_is_the_last() {
    let now = Instant::now();
    let mut picker = picker(now, 2);
    for _ in 0..3 {
        picker.pick(&[2], 0, now);
        picker.record_result(1, SendResult::Failed, None, now);
    }
    for seed in 0..4 {
        assert_eq!(picker.pick(&[], seed, now), Some(2));
    }
    assert_eq!(picker.pick(&[2], 0, now), Some(1));
    let later = now + Duration::from_secs(3);
    for _ in 0..6 {
        picker.record_result(2, SendResult::Cancelled, None, later);
    }
    assert!((0..4).any(|seed| picker.pick(&[], seed, later) == Some(1)));
}

#[test]
fn a_member_that_accepts_no_calls_is_never_picked() {
    let now = Instant::now();
    let mut picker = picker(now, 2);
    picker.members_mut()[0].accepts_calls = false;
    assert_eq!(picker.pick(&[2], 0, now), None);
    assert_eq!(picker.pick(&[], 0, now), Some(2));
}

/// An instance has lost power, but its links have not timed out yet.
#[test]
fn an_unresponsive_member_gets_no_calls_while_another_is_left() {
    let now = Instant::now();
    let mut picker = picker(now, 2);
    picker.mark_unresponsive(1, now);
    for seed in 0..8 {
        assert_eq!(picker.pick(&[], seed, now), Some(2));
    }
    assert_eq!(picker.pick(&[2], 0, now), Some(1));
    let later = now + Duration::from_millis(250);
    let chosen: Vec<_> = (0..20).map(|seed| picker.pick(&[], seed, later)).collect();
    assert!(chosen.contains(&Some(1)), "{chosen:?}");
}

/// All backend servers are nearly full, and the one in the own data centre fills up first.
#[test]
fn a_remote_member_with_free_slots_is_preferred_to_a_full_local_one() {
    let now = Instant::now();
    let report = |in_flight| ServerLoad {
        in_flight,
        queued: 0,
        limit: 100,
        pace: None,
        failing: FailureShare::default(),
    };
    let chosen = |near: u32, far: u32| {
        let mut picker = picker(now, 2);
        picker.members_mut()[1].same_data_centre = false;
        for (node, in_flight) in [(1, near), (2, far)] {
            picker.members_mut()[usize::try_from(node).unwrap() - 1].slots = 100;
            picker.pick(&[3 - node], 0, now);
            picker.record_result(node, SendResult::Answered, Some(report(in_flight)), now);
        }
        picker.pick(&[], 0, now).unwrap()
    };
    assert_eq!(chosen(70, 55), 1);
    assert_eq!(chosen(102, 85), 2);
    assert_eq!(chosen(98, 97), 1);
}

/// A service with as many members in each of five data centres, of which one is near.
fn five_data_centres(now: Instant, in_each: u64) -> LeastLoadedPicker {
    let mut picker = picker(now, 5 * in_each);
    for (position, member) in picker.members_mut().iter_mut().enumerate() {
        member.same_data_centre = position.is_multiple_of(5);
    }
    picker
}

fn is_near(node: u64) -> bool {
    (node - 1).is_multiple_of(5)
}

/// Traffic between data centres is paid for, and takes longer.
#[test]
fn calls_stay_in_the_data_centre_while_it_has_room_however_many_members_are_elsewhere() {
    let now = Instant::now();
    for in_each in [1, 4, 8] {
        let mut picker = five_data_centres(now, in_each);
        for seed in 0..1_000_u64 {
            let node = picker.pick(&[], seed.wrapping_mul(7_919), now).unwrap();
            assert!(
                is_near(node),
                "{in_each} in each, call {seed} goes to {node}"
            );
            picker.record_result(node, SendResult::Answered, None, now);
        }
    }
}

#[test]
fn calls_leave_a_data_centre_before_it_is_full() {
    let now = Instant::now();
    let mut picker = five_data_centres(now, 8);
    let nodes = (0..200_u64).map(|seed| picker.pick(&[], seed.wrapping_mul(7_919), now));
    let near = nodes.filter(|node| is_near(node.unwrap())).count();
    // The near members have 80 of 400 slots: more than their share of 200 calls, and no more than
    // fit.
    assert!((41..=80).contains(&near), "{near}");
}
