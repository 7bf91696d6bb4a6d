//! What was acknowledged is read back after disks were lost.

use std::fs;
use std::thread;

use crate::control_group::ControlGroup;
use crate::control_group::document;
use crate::control_group::offer;
use crate::wait::eventually;

/// Instances of a group that tolerates the loss of two disks.
const SIZE: u8 = 5;

/// Kills all instances, loses the disks of two and starts all again.
fn lose_two_disks(group: &mut ControlGroup, wiped: [u8; 2]) {
    group.kill_all();
    for number in wiped {
        group.wipe(number);
    }
    group.start_missing();
}

/// Waits until `count` voters without their disks were removed; the next acknowledgement then
/// shows that the group is whole again.
fn await_removals(group: &ControlGroup, count: usize) {
    eventually("the lost voters are removed", || {
        group.logged(&["event=member-replaced", "Remove"]).len() >= count
    });
}

#[test]
fn a_change_offered_to_four_voters_survives_two_lost_disks() {
    let mut group = ControlGroup::start(SIZE, SIZE - 1);
    let first = document(3, 0);
    let mut acknowledged = false;
    eventually("a change is decided on by four voters", || {
        acknowledged |= group.offer(&first);
        !group.logged(&["event=config-", "\"4 voters"]).is_empty()
    });
    if !acknowledged {
        group.start_instance(SIZE - 1, true);
        group.put(&first);
    }
    lose_two_disks(&mut group, [0, 3]);
    group.await_everywhere(&first);
}

#[test]
fn a_change_survives_two_lost_seeds() {
    let mut group = ControlGroup::start(SIZE, SIZE);
    let first = document(3, 0);
    group.put(&first);
    lose_two_disks(&mut group, [0, 1]);
    group.await_everywhere(&first);
    group.put(&document(5, 3));
}

#[test]
fn changes_survive_losses_of_one_disk_and_then_of_two() {
    let mut group = ControlGroup::start(SIZE, SIZE);
    group.put(&document(3, 0));
    group.kill(2);
    group.wipe(2);
    group.start_missing();
    await_removals(&group, 1);
    let second = document(5, 3);
    group.put(&second);
    lose_two_disks(&mut group, [0, 4]);
    group.await_everywhere(&second);
    await_removals(&group, 3);
    let third = document(8, 5);
    group.put(&third);
    lose_two_disks(&mut group, [1, 2]);
    group.await_everywhere(&third);
}

#[test]
fn a_change_sent_while_a_member_is_replaced_survives_one_more_lost_disk() {
    let mut group = ControlGroup::start(SIZE, SIZE);
    group.put(&document(3, 0));
    group.kill(1);
    group.wipe(1);
    group.start_missing();
    let second = document(5, 3);
    group.put(&second);
    group.kill_all();
    group.wipe(4);
    group.start_missing();
    group.await_everywhere(&second);
}

#[test]
fn changes_are_acknowledged_while_one_instance_is_down() {
    let mut group = ControlGroup::start(SIZE, SIZE);
    group.put(&document(3, 0));
    for (base, number) in (3..).zip(group.numbers()) {
        group.kill(number);
        let change = document(base + 1, base);
        group.put(&change);
        group.start_missing();
        group.await_everywhere(&change);
    }
}

#[test]
fn what_was_acknowledged_survives_repeated_kills_of_all() {
    let mut group = ControlGroup::start(SIZE, SIZE);
    for base in 0..4 {
        let change = document(base + 1, base);
        group.put(&change);
        group.kill_all();
        group.start_missing();
        group.await_everywhere(&change);
    }
}

#[test]
fn a_change_sent_while_all_stop_is_kept_once_it_is_acknowledged() {
    let mut group = ControlGroup::start(SIZE, SIZE);
    let mut earlier = document(1, 0);
    group.put(&earlier);
    let mut base = 1;
    for version in 2..6 {
        let change = document(version, base);
        let operators = group.operators();
        let sent = change.clone();
        let sender = thread::spawn(move || offer(&operators, &sent));
        group.terminate_all();
        let acknowledged = sender.join().unwrap();
        group.start_missing();
        let kept = group.read(0);
        assert!(
            kept == change || (kept == earlier && !acknowledged),
            "acknowledged: {acknowledged}, kept: {kept}"
        );
        group.await_everywhere(&kept);
        if kept == change {
            base = version;
            earlier = change;
        }
    }
}

#[test]
fn a_plan_that_cannot_be_read_does_not_delete_the_log() {
    let mut group = ControlGroup::start(SIZE, SIZE);
    let first = document(3, 0);
    group.put(&first);
    group.await_everywhere(&first);
    group.kill_all();
    let hidden = [0, 1, 2].map(|number| {
        let plan = group.data(number).join("start");
        let content = fs::read(&plan).unwrap();
        fs::remove_file(&plan).unwrap();
        // Reading a directory fails, and not because it is missing.
        fs::create_dir(&plan).unwrap();
        (number, plan, content)
    });
    group.start_missing();
    for (number, plan, content) in hidden {
        eventually("the unreadable plan is noticed", || {
            !group.logged_by(number, &["Is a directory"]).is_empty()
        });
        fs::remove_dir(&plan).unwrap();
        fs::write(&plan, content).unwrap();
    }
    group.await_everywhere(&first);
}
