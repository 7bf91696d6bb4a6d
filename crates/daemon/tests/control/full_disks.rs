//! Disks that are full for a while, one after another.

use std::thread;
use std::time::Duration;

use crate::control_group::ControlGroup;
use crate::control_group::document;

/// Time for which a disk is full, in which its instance tries to open its log again many times.
const FULL_TIME: Duration = Duration::from_secs(3);
/// Lengths beyond which no file of the instances grows meanwhile: nothing fits, a part of a
/// file's header, the header, a part of the first record behind it, and more than that.
const LENGTHS: [u64; 5] = [0, 5, 16, 30, 1_000];

/// Sends changes while one disk after another is full; `lengths` names what still fits on each.
fn check_full_disks(lengths: [u64; 5]) {
    let mut group = ControlGroup::start(5, 5);
    let mut version = 1;
    group.put(&document(version, 0));
    for (number, length) in group.numbers().zip(lengths) {
        group.fill_disk(number, length);
        for _ in 0..3 {
            group.put(&document(version + 1, version));
            version += 1;
            thread::sleep(FULL_TIME / 3);
        }
        group.free_disk(number);
    }
    for _ in 0..3 {
        group.put(&document(version + 1, version));
        version += 1;
    }
    group.await_everywhere(&document(version, version - 1));
    // Every disk has what was acknowledged: any three of them are a quorum.
    group.kill_all();
    group.start_missing();
    group.await_everywhere(&document(version, version - 1));
}

/// Guards against changes that are refused or stay unanswered long after the last of several
/// disks, full one after another, has room again (Acks, CONFIG).
#[test]
fn changes_are_taken_while_and_after_disks_are_full_in_turn() {
    check_full_disks(LENGTHS);
}

#[test]
fn changes_are_taken_while_and_after_disks_are_torn_in_turn() {
    let mut lengths = LENGTHS;
    lengths.reverse();
    check_full_disks(lengths);
}
