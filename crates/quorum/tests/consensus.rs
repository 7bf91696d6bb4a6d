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

use arbtest::arbitrary;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use quorum::InstanceId;
use quorum::QuorumRule;

use crate::actions::draw_weights;
use crate::actions::perform_action;
use crate::group::SimGroup;
use crate::recovery::recover;

/// Runs of the property test, each with its own seed.
const RUNS: u64 = 500;

/// Seeds of additional runs; each failed when a rule of the protocol was deliberately broken.
const FURTHER_RUNS: [u64; 6] = [0xb2, 0x4c8, 0x846, 0x1e03, 0x40d9, 0x8301];

/// Seeds of additional runs with spare voters, likewise.
const FURTHER_SPARE_RUNS: [u64; 1] = [0x724];

/// Size of the random input of one run, in bytes.
const RUN_BYTES: u64 = 12 * 1024;

/// Maximum size of commands or of a snapshot chunk in one message, in bytes; small, so that
/// transfers take several messages.
const MAX_MESSAGE_BYTES: usize = 16;

/// Runs a group through random faults, then without, and returns how many reads were checked.
fn run_group(u: &mut Unstructured<'_>, setup: &GroupSetup, seed: u64) -> arbitrary::Result<u64> {
    let max_message_bytes = u.int_in_range(1..=MAX_MESSAGE_BYTES)?;
    let mut group = SimGroup::with_rule(setup.rule, setup.initial, max_message_bytes, seed);
    let weights = draw_weights(u)?;
    while !u.is_empty() {
        perform_action(u, &weights, &mut group)?;
    }
    recover(&mut group);
    assert!(group.history.acknowledged > 0);
    Ok(group.reads_checked)
}

/// How a group starts.
struct GroupSetup {
    rule: QuorumRule,
    initial: &'static [InstanceId],
}

fn check_runs(setup: &GroupSetup, runs: impl Iterator<Item = u64>) {
    let mut reads_checked = 0;
    for run in runs {
        arbtest(|u| {
            reads_checked += run_group(u, setup, run * 1_000)?;
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

#[test]
fn group_stays_safe_under_faults_and_recovers() {
    let setup = GroupSetup {
        rule: QuorumRule::Majority,
        initial: &[1, 2, 3],
    };
    check_runs(&setup, (0..RUNS).chain(FURTHER_RUNS));
}

/// Guards against two leaders, and against lost entries, where lost voters are left out of a count.
#[test]
fn group_with_spare_voters_stays_safe_as_disks_are_lost() {
    for (losses, initial) in [
        (1, &[1, 2, 3][..]),
        (1, &[1, 2, 3, 4]),
        (2, &[1, 2, 3, 4, 5, 6]),
    ] {
        let setup = GroupSetup {
            rule: QuorumRule::Tolerating(losses),
            initial,
        };
        check_runs(&setup, (0..RUNS).chain(FURTHER_SPARE_RUNS));
    }
}
