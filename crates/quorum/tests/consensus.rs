//! Property test with lost, duplicated and reordered messages, crashes, lost disks and membership
//! changes.

#[path = "support/actions.rs"]
mod actions;
#[path = "support/disk.rs"]
mod disk;
#[path = "support/group.rs"]
mod group;
#[path = "support/history.rs"]
mod history;
#[path = "support/recovery.rs"]
mod recovery;

use arbtest::arbtest;

use crate::actions::draw_weights;
use crate::actions::perform_action;
use crate::group::SimGroup;
use crate::recovery::recover;

/// Runs of the property test, each with its own seed.
const RUNS: u64 = 500;

/// Seeds of additional runs; each failed when a rule of the protocol was deliberately broken.
const FURTHER_RUNS: [u64; 6] = [0xb2, 0x4c8, 0x846, 0x1e03, 0x40d9, 0x8301];

/// Size of the random input of one run, in bytes.
const RUN_BYTES: u64 = 12 * 1024;

/// Maximum size of commands or of a snapshot chunk in one message, in bytes; small, so that
/// transfers take several messages.
const MAX_MESSAGE_BYTES: usize = 16;

#[test]
fn group_stays_safe_under_faults_and_recovers() {
    let mut reads_checked = 0;
    for run in (0..RUNS).chain(FURTHER_RUNS) {
        arbtest(|u| {
            let max_message_bytes = u.int_in_range(1..=MAX_MESSAGE_BYTES)?;
            let mut group = SimGroup::new(&[1, 2, 3], max_message_bytes, run * 1_000);
            let weights = draw_weights(u)?;
            while !u.is_empty() {
                perform_action(u, &weights, &mut group)?;
            }
            recover(&mut group);
            reads_checked += group.reads_checked;
            assert!(group.history.acknowledged > 0);
            Ok(())
        })
        .seed(run << 32 | RUN_BYTES)
        .run();
    }
    assert!(
        reads_checked > RUNS,
        "too few reads were checked: {reads_checked}"
    );
}
