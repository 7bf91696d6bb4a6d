//! Runs a group without faults.

use std::time::Duration;

use crate::group::SimGroup;

/// Virtual time within which a group without faults must make progress, in milliseconds.
const RECOVERY_MS: u64 = 20_000;

/// Ends all faults and runs the group until all members have applied everything.
pub(crate) fn recover(group: &mut SimGroup) {
    group.cut_links.clear();
    group.paused.clear();
    for id in group.ids() {
        group.start(id);
    }
    let mut elapsed_ms = 0;
    let mut proposed = None;
    while elapsed_ms < RECOVERY_MS {
        elapsed_ms += 5;
        step_all(group);
        if let Some(leader) = group.leader()
            && proposed.is_none()
        {
            group.propose(leader, 0);
            proposed = Some(group.history.committed());
        }
        let done = proposed.is_some_and(|before| group.history.acknowledged > before);
        if done && all_applied(group) {
            return;
        }
        if elapsed_ms % 1_000 == 0 {
            proposed = None;
            report_all_lost(group);
        }
    }
    panic!(
        "the group made no progress without faults: {}",
        group.summary()
    );
}

fn report_all_lost(group: &mut SimGroup) {
    for lost in group.lost.clone() {
        for id in group.ids() {
            group.report_lost(id, lost);
        }
    }
}

fn all_applied(group: &SimGroup) -> bool {
    let Some(leader) = group.leader() else {
        return false;
    };
    let leader = group.members[&leader]
        .core
        .as_ref()
        .expect("the leader runs");
    let membership = leader.status().membership;
    membership.members().iter().all(|member| {
        group
            .members
            .get(&member.instance)
            .is_none_or(|state| state.state_machine.applied == group.history.committed())
    })
}

/// Advances the time, syncs all writes and delivers all messages in flight.
pub(crate) fn step_all(group: &mut SimGroup) {
    group.advance(Duration::from_millis(5));
    sync_and_deliver_all(group);
}

pub(crate) fn sync_and_deliver_all(group: &mut SimGroup) {
    for id in group.ids() {
        group.sync(id, usize::MAX);
    }
    for message in std::mem::take(&mut group.in_flight) {
        group.deliver(message);
    }
}
