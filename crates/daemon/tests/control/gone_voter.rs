//! Losses while a voter that is gone has not been replaced yet.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::control_group::ControlGroup;
use crate::control_group::document;

/// Time after its start from which on a successor no longer counts as lost.
const CATCH_UP: Duration = Duration::from_secs(4);

fn start_all_but_the_gone(group: &mut ControlGroup) {
    for number in [0, 1, 2, 3, 5] {
        group.start_instance(number, false);
    }
}

#[test]
fn a_change_acknowledged_beside_a_voter_that_is_gone_survives_two_lost_disks() {
    let mut group = ControlGroup::start(6, 5);
    group.put(&document(3, 0));
    group.kill(4);
    group.start_instance(5, false);
    let started = Instant::now();
    thread::sleep(Duration::from_millis(2_500));
    group.kill_all();
    start_all_but_the_gone(&mut group);
    thread::sleep(CATCH_UP.saturating_sub(started.elapsed()));
    let second = document(5, 3);
    group.put(&second);
    let acknowledged = started.elapsed();
    let removed = group.logged(&["event=member-replaced", "Remove"]);
    group.kill_all();
    group.wipe(0);
    group.wipe(1);
    start_all_but_the_gone(&mut group);
    println!("acknowledged {acknowledged:?} after the start of the successor; removed {removed:?}");
    assert_eq!(group.read(2), second);
}

#[test]
fn a_change_acknowledged_after_the_leader_was_replaced_survives_two_lost_disks() {
    let mut group = ControlGroup::start(6, 5);
    group.put(&document(3, 0));
    let leads = |number: &u8| !group.logged_by(*number, &["duty=leader"]).is_empty();
    let leader = (0..5).find(leads).unwrap();
    group.kill(leader);
    group.start_instance(5, false);
    let started = Instant::now();
    thread::sleep(CATCH_UP);
    let second = document(5, 3);
    let acknowledged = group.offer(&second);
    let elapsed = started.elapsed();
    let steps = group.logged(&["event=member-replaced"]);
    println!("acknowledged {acknowledged} {elapsed:?} after the successor's start; {steps:?}");
    group.kill_all();
    let kept: Vec<u8> = (0..5).filter(|number| *number != leader).collect();
    group.wipe(kept[0]);
    group.wipe(kept[1]);
    for number in kept.iter().copied().chain([5]) {
        group.start_instance(number, false);
    }
    if acknowledged {
        assert_eq!(group.read(kept[2]), second);
    }
}

#[test]
fn a_change_acknowledged_once_all_are_back_from_a_kill_survives_two_lost_disks() {
    let mut group = ControlGroup::start(6, 5);
    group.put(&document(3, 0));
    group.kill(4);
    group.start_instance(5, false);
    thread::sleep(Duration::from_millis(2_500));
    group.kill_all();
    start_all_but_the_gone(&mut group);
    let back = Instant::now();
    thread::sleep(CATCH_UP);
    let second = document(5, 3);
    let acknowledged = group.offer(&second);
    let elapsed = back.elapsed();
    let steps = group.logged(&["event=member-replaced"]);
    group.kill_all();
    println!("acknowledged {acknowledged} {elapsed:?} after all are back; {steps:?}");
    group.wipe(0);
    group.wipe(1);
    start_all_but_the_gone(&mut group);
    if acknowledged {
        assert_eq!(group.read(2), second);
    }
}
