//! Picker with the power of two choices, on a virtual clock.

use std::time::Duration;

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use clock::VirtualClock;
use model::context::FailureShare;
use model::context::ServerLoad;
use model::exchange::MemberRecord;
use model::exchange::ServerState;
use model::ids::NodeId;
use route::CallResult;
use route::TwoChoicePicker;

/// Number of picks from which a member's share is computed.
const PICKS: u64 = 2000;
/// Length of the random input of one property test run, in bytes.
const INPUT_BYTES: u32 = 4096;
/// Number of fixed seeds of the property test, so that each run gives the same result.
const SEEDS: u64 = 40;

fn member(node: NodeId, data_centre: &str, state: ServerState) -> MemberRecord {
    MemberRecord {
        node,
        address: ([127, 0, 0, 1], 9000).into(),
        data_centre: data_centre.into(),
        service: "stock".into(),
        state,
        load: ServerLoad::default(),
    }
}

fn load(in_flight: u32, limit: u32) -> ServerLoad {
    ServerLoad {
        in_flight,
        queued: 0,
        limit,
        pace: None,
        failing: FailureShare::default(),
    }
}

fn picker(clock: &VirtualClock, members: &[MemberRecord]) -> TwoChoicePicker<VirtualClock> {
    let mut picker = TwoChoicePicker::new(clock.clone(), "here".into());
    picker.update(members);
    picker
}

/// Returns the fraction of picks that go to `node`; each call ends before the next pick.
fn picked_fraction(picker: &mut TwoChoicePicker<VirtualClock>, node: NodeId) -> f64 {
    let mut count = 0_u32;
    for seed in 0..PICKS {
        let chosen = picker.pick(&[], seed).expect("a member takes work");
        count += u32::from(chosen.node == node);
        picker.record_result(chosen.node, CallResult::Cancelled, None);
    }
    f64::from(count) / PICKS as f64
}

#[test]
fn draining_absent_and_excluded_members_get_nothing() {
    let clock = VirtualClock::new();
    let members = [
        member(1, "here", ServerState::Draining),
        member(2, "here", ServerState::Absent),
        member(3, "here", ServerState::Ready),
        member(4, "there", ServerState::Ready),
    ];
    let mut picker = picker(&clock, &members);
    for seed in 0..100 {
        let chosen = picker.pick(&[3], seed).expect("one member is left");
        assert_eq!(chosen.node, 4);
        picker.record_result(4, CallResult::Cancelled, None);
    }
    assert_eq!(picker.pick(&[3, 4], 7), None);
    picker.record_result(4, CallResult::Leaving, None);
    assert_eq!(picker.pick(&[3], 7), None);
}

#[test]
fn an_outdated_record_does_not_make_a_leaving_member_available() {
    let clock = VirtualClock::new();
    let members = [member(1, "here", ServerState::Ready)];
    let mut picker = picker(&clock, &members);
    picker.record_result(1, CallResult::Leaving, None);
    picker.update(&members);
    assert_eq!(picker.pick(&[], 1), None);
    clock.advance(Duration::from_secs(3));
    picker.update(&members);
    assert!(picker.pick(&[], 1).is_some());
}

#[test]
fn the_own_data_centre_is_preferred_until_it_is_loaded() {
    let clock = VirtualClock::new();
    let members = [
        member(1, "here", ServerState::Ready),
        member(2, "here", ServerState::Ready),
        member(3, "there", ServerState::Ready),
    ];
    let mut picker = picker(&clock, &members);
    assert!(picked_fraction(&mut picker, 3) < f64::EPSILON);
    for node in 1..=2 {
        picker.record_result(node, CallResult::Cancelled, Some(load(10, 10)));
    }
    picker.record_result(3, CallResult::Cancelled, Some(load(1, 10)));
    assert!(picked_fraction(&mut picker, 3) > 0.5);
}

#[test]
fn a_member_that_joins_later_starts_slowly() {
    let clock = VirtualClock::new();
    let mut members = vec![
        member(1, "here", ServerState::Ready),
        member(2, "here", ServerState::Ready),
    ];
    let mut picker = picker(&clock, &members);
    for node in 1..=2 {
        picker.record_result(node, CallResult::Cancelled, Some(load(3, 10)));
    }
    members.push(member(3, "here", ServerState::Ready));
    picker.update(&members);
    picker.record_result(3, CallResult::Cancelled, Some(load(1, 10)));
    assert!(picked_fraction(&mut picker, 3) < 0.1);
    clock.advance(Duration::from_secs(6));
    for node in 1..=3 {
        picker.record_result(node, CallResult::Cancelled, Some(load(3, 10)));
    }
    assert!(picked_fraction(&mut picker, 3) > 0.2);
}

#[test]
fn a_member_that_refused_a_call_is_avoided_for_a_moment() {
    let clock = VirtualClock::new();
    let members = [
        member(1, "here", ServerState::Ready),
        member(2, "here", ServerState::Ready),
    ];
    let mut picker = picker(&clock, &members);
    picker.record_result(1, CallResult::Refused, None);
    assert!(picked_fraction(&mut picker, 1) < f64::EPSILON);
    clock.advance(Duration::from_millis(300));
    assert!(picked_fraction(&mut picker, 1) > 0.3);
}

#[test]
fn a_slow_outlier_is_ejected_and_returns() {
    let clock = VirtualClock::new();
    let members: Vec<_> = (1..=4)
        .map(|node| member(node, "here", ServerState::Ready))
        .collect();
    let mut picker = picker(&clock, &members);
    for call in 0..400_u64 {
        let node = call % 4 + 1;
        let latency = Duration::from_millis(if node == 4 { 100 } else { 10 });
        picker.record_result(node, CallResult::Answered { latency }, None);
    }
    assert_eq!(picker.available(), 3);
    assert!(picked_fraction(&mut picker, 4) < f64::EPSILON);
    clock.advance(Duration::from_secs(3));
    assert!(picked_fraction(&mut picker, 4) > 0.0);
}

fn check_random_history(input: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let clock = VirtualClock::new();
    let nodes: u64 = input.int_in_range(1..=6)?;
    let states = [
        ServerState::Ready,
        ServerState::Starting,
        ServerState::Draining,
        ServerState::Absent,
    ];
    let mut members: Vec<_> = (1..=nodes)
        .map(|node| member(node, "here", ServerState::Ready))
        .collect();
    let mut picker = picker(&clock, &members);
    while !input.is_empty() {
        match input.int_in_range(0..=3)? {
            0 => {
                let member = input.int_in_range(0..=members.len() - 1)?;
                members[member].state = *input.choose(&states)?;
                picker.update(&members);
            }
            1 => clock.advance(Duration::from_millis(input.int_in_range(0..=3000)?)),
            _ => check_random_call(&mut picker, &members, input)?,
        }
        let accepting = members
            .iter()
            .filter(|member| accepts_calls(member))
            .count();
        assert!(picker.available() >= accepting.div_ceil(2));
        assert!(picker.available() <= accepting);
    }
    Ok(())
}

fn check_random_call(
    picker: &mut TwoChoicePicker<VirtualClock>,
    members: &[MemberRecord],
    input: &mut Unstructured<'_>,
) -> arbtest::arbitrary::Result<()> {
    let chosen = picker.pick(&[], input.arbitrary()?);
    let accepting = members.iter().any(accepts_calls);
    assert_eq!(chosen.is_some(), accepting);
    let Some(chosen) = chosen else {
        return Ok(());
    };
    let record = members.iter().find(|member| member.node == chosen.node);
    assert!(record.is_some_and(accepts_calls));
    let latency = Duration::from_millis(input.int_in_range(1..=500)?);
    let results = [
        CallResult::Answered { latency },
        CallResult::Failed,
        CallResult::Failed,
        CallResult::Refused,
    ];
    picker.record_result(chosen.node, *input.choose(&results)?, None);
    Ok(())
}

fn accepts_calls(member: &MemberRecord) -> bool {
    matches!(member.state, ServerState::Ready | ServerState::Starting)
}

#[test]
fn ejection_leaves_half_of_the_members_and_only_accepting_ones_are_picked() {
    for seed in 0..SEEDS {
        let seed = (seed << 32) | u64::from(INPUT_BYTES);
        arbtest(check_random_history).seed(seed).run();
    }
}
