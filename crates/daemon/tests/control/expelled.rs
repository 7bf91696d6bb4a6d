//! Instances that the group removed while they ran.

use crate::control_group::ControlGroup;
use crate::control_group::document;
use crate::wait::eventually;

/// Freezes an instance until the leader has removed it, and resumes it.
fn expel(group: &ControlGroup, number: u8) {
    let removed = ["event=member-replaced", "Remove"];
    let expelled = ["event=identity-expelled"];
    let before = group.logged(&removed).len();
    group.freeze(number);
    eventually("the silent instance is replaced", || {
        group.logged(&removed).len() > before
    });
    group.thaw(number);
    eventually("the removed instance learns of its removal", || {
        !group.logged_by(number, &expelled).is_empty()
    });
}

// Guards against seeds that choose the identity of the first start again after they were removed:
// the group lost a voter for each, and three of them formed a second group with an empty state.
#[test]
fn seeds_that_are_removed_while_they_run_join_the_group_again() {
    let mut group = ControlGroup::start(6, 5);
    let first = document(3, 0);
    group.put(&first);
    group.start_instance(5, false);
    for seed in 0..3 {
        expel(&group, seed);
        assert_eq!(group.read(seed), first);
    }
    let second = document(5, 3);
    group.put(&second);
    group.await_everywhere(&second);
}

// Guards against an instance that was removed while it ran and asks for its group only where its
// settings say, at seeds that have all been replaced since it started.
#[test]
fn an_instance_that_is_removed_finds_its_group_though_all_its_seeds_are_gone() {
    let mut group = ControlGroup::start(9, 5);
    let first = document(3, 0);
    group.put(&first);
    for (seed, successor) in [(0, 5), (1, 6), (2, 7)] {
        group.start_instance(successor, false);
        assert_eq!(group.read(successor), first);
        let removed = ["event=member-replaced", "Remove"];
        let before = group.logged(&removed).len();
        group.kill(seed);
        eventually("the seed is replaced", || {
            group.logged(&removed).len() > before
        });
    }
    group.seeds = [5, 6, 7];
    group.start_instance(8, false);
    assert_eq!(group.read(8), first);
    expel(&group, 3);
    assert_eq!(group.read(3), first);
}
