//! Property test of the core under loss, repetition, reordering, crashes, lost disks and changes
//! of members.

#[path = "support/disk.rs"]
mod disk;
#[path = "support/group.rs"]
mod group;
#[path = "support/history.rs"]
mod history;

use std::time::Duration;

use arbtest::arbitrary;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use quorum::InstanceId;
use quorum::MemberChange;
use quorum::MemberDuty;
use quorum::Membership;
use quorum::MessageBody;
use quorum::QuorumCore;

use crate::group::SimGroup;
use crate::group::SimMessage;

/// Runs of the property, each with its own seed.
const RUNS: u64 = 500;

/// Seeds of further runs: each failed before a fault was mended, or under a deliberate one.
const FURTHER_RUNS: [u64; 7] = [0xa20, 0x194c, 0x2d97, 0x3266, 0x58cc, 0x6a0c, 0x80be];

/// Random bytes of one run.
const RUN_BYTES: u64 = 12 * 1024;

/// Instances that may ever exist in a run.
const INSTANCES_MAX: InstanceId = 7;

/// Most bytes of commands or of a snapshot in one message, so that transfers take several.
const MESSAGE_BYTES: usize = 16;

/// Longest usual step of time, in milliseconds.
const STEP_MAX_MS: u64 = 20;

/// Longest step of time, in milliseconds.
const LEAP_MAX_MS: u64 = 500;

/// Virtual time in which a healed group must make progress, in milliseconds.
const RECOVERY_MS: u64 = 20_000;

fn choose(u: &mut Unstructured<'_>, group: &SimGroup) -> arbitrary::Result<InstanceId> {
    let ids = group.ids();
    Ok(ids[u.choose_index(ids.len())?])
}

/// Prefers the leader, so that most proposals and changes are accepted.
fn choose_leader(u: &mut Unstructured<'_>, group: &SimGroup) -> arbitrary::Result<InstanceId> {
    match group.leader() {
        Some(leader) if u.ratio(7, 8)? => Ok(leader),
        _ => choose(u, group),
    }
}

/// Takes a message out of the network, or leaves a copy there.
fn deliver(u: &mut Unstructured<'_>, group: &mut SimGroup) -> arbitrary::Result<()> {
    if group.in_flight.is_empty() {
        return Ok(());
    }
    let newest_first = u.ratio(1, 4)?;
    let position = if newest_first {
        u.choose_index(group.in_flight.len())?
    } else {
        0
    };
    let message = if u.ratio(1, 16)? {
        group.in_flight[position].clone()
    } else {
        group.in_flight.remove(position)
    };
    if u.ratio(15, 16)? {
        group.deliver(message);
    }
    Ok(())
}

fn sync(u: &mut Unstructured<'_>, group: &mut SimGroup) -> arbitrary::Result<()> {
    let id = choose(u, group)?;
    let count = u.int_in_range(1..=4)?;
    group.sync(id, count);
    Ok(())
}

fn crash(u: &mut Unstructured<'_>, group: &mut SimGroup) -> arbitrary::Result<()> {
    let id = choose(u, group)?;
    let survivors = u.int_in_range(0..=3)?;
    group.crash(id, survivors);
    if u.ratio(1, 2)? {
        group.start(id);
    }
    Ok(())
}

/// Cuts or heals one direction between two members.
fn cut(u: &mut Unstructured<'_>, group: &mut SimGroup) -> arbitrary::Result<()> {
    let pair = (choose(u, group)?, choose(u, group)?);
    if !group.cuts.remove(&pair) {
        group.cuts.insert(pair);
    }
    Ok(())
}

/// Cuts a member off from all others, or heals all cuts.
fn isolate(u: &mut Unstructured<'_>, group: &mut SimGroup) -> arbitrary::Result<()> {
    if u.ratio(2, 3)? {
        group.cuts.clear();
        return Ok(());
    }
    let isolated = choose_leader(u, group)?;
    for id in group.ids() {
        group.cuts.insert((id, isolated));
        group.cuts.insert((isolated, id));
    }
    Ok(())
}

/// Suspends a member, or lets all go on.
fn pause(u: &mut Unstructured<'_>, group: &mut SimGroup) -> arbitrary::Result<()> {
    if u.ratio(2, 3)? {
        group.paused.clear();
    } else {
        let id = choose_leader(u, group)?;
        group.paused.insert(id);
    }
    Ok(())
}

/// Loses the disk of a member for ever, while a majority of the voters remains.
fn lose_disk(u: &mut Unstructured<'_>, group: &mut SimGroup) -> arbitrary::Result<()> {
    let id = choose(u, group)?;
    let bearable = group
        .members
        .values()
        .filter_map(|member| member.core.as_ref())
        .all(|core| {
            let membership = core.status().membership;
            membership.members().is_empty()
                || membership.has_quorum(|voter| voter != id && group.members.contains_key(&voter))
        });
    let running = group.members.values().all(|member| member.core.is_some());
    if bearable && running {
        group.members.remove(&id);
    }
    Ok(())
}

/// Returns whether disks are left on a majority of the voters after a change.
fn keeps_majority(group: &SimGroup, leader: InstanceId, change: MemberChange) -> bool {
    let Some(core) = group
        .members
        .get(&leader)
        .and_then(|member| member.core.as_ref())
    else {
        return false;
    };
    let next = core.status().membership.changed(change);
    next.is_ok_and(|next| next.has_quorum(|voter| group.members.contains_key(&voter)))
}

fn change_members(u: &mut Unstructured<'_>, group: &mut SimGroup) -> arbitrary::Result<()> {
    let leader = choose_leader(u, group)?;
    let instance = u.int_in_range(1..=INSTANCES_MAX)?;
    let change = match u.int_in_range(0..=3)? {
        0 => MemberChange::AddLearner {
            instance,
            folder: instance,
        },
        1 | 2 => MemberChange::Promote(instance),
        _ => MemberChange::Remove(instance),
    };
    if !keeps_majority(group, leader, change) {
        return Ok(());
    }
    let outcome = group.at(leader, |core, now| core.change_members(change, now));
    let added = matches!(change, MemberChange::AddLearner { .. });
    if added && outcome.is_some_and(|outcome| outcome.is_ok()) && instance > 3 {
        let folder = instance;
        if !group.members.contains_key(&instance) {
            group.add(instance, folder, Membership::default());
        }
    }
    Ok(())
}

fn act(u: &mut Unstructured<'_>, group: &mut SimGroup) -> arbitrary::Result<()> {
    match u.int_in_range(0..=127_u8)? {
        0..=69 => deliver(u, group)?,
        70..=94 => sync(u, group)?,
        95..=103 => group.advance(Duration::from_millis(u.int_in_range(1..=STEP_MAX_MS)?)),
        104 => group.advance(Duration::from_millis(u.int_in_range(1..=LEAP_MAX_MS)?)),
        105..=109 => {
            let id = choose_leader(u, group)?;
            group.propose(id, u.arbitrary()?);
        }
        110..=113 => {
            let id = choose(u, group)?;
            group.read(id);
        }
        114 | 115 => crash(u, group)?,
        116 | 117 => {
            let id = choose(u, group)?;
            group.start(id);
        }
        118 => cut(u, group)?,
        119 => isolate(u, group)?,
        120 => pause(u, group)?,
        121 | 122 => {
            let id = choose(u, group)?;
            group.compact(id);
        }
        123..=125 => change_members(u, group)?,
        126 => {
            let id = choose_leader(u, group)?;
            group.at(id, QuorumCore::transfer_leadership);
        }
        _ if u.ratio(1, 8)? => lose_disk(u, group)?,
        _ => {}
    }
    Ok(())
}

/// Ends all faults and lets the group run until everything is applied everywhere.
fn recover(group: &mut SimGroup) {
    group.cuts.clear();
    group.paused.clear();
    for id in group.ids() {
        group.start(id);
    }
    let mut waited_ms = 0;
    let mut proposed = None;
    while waited_ms < RECOVERY_MS {
        waited_ms += 5;
        group.advance(Duration::from_millis(5));
        for id in group.ids() {
            group.sync(id, usize::MAX);
        }
        for message in std::mem::take(&mut group.in_flight) {
            group.deliver(message);
        }
        if let Some(leader) = group.leader()
            && proposed.is_none()
        {
            group.propose(leader, 0);
            proposed = Some(group.history.committed());
        }
        let settled = proposed.is_some_and(|before| group.history.acknowledged > before);
        if settled && all_applied(group) {
            return;
        }
        if waited_ms % 1_000 == 0 {
            proposed = None;
        }
    }
    panic!("the healed group makes no progress: {}", group.summary());
}

fn all_applied(group: &SimGroup) -> bool {
    let Some(leader) = group.leader() else {
        return false;
    };
    let leader = group.members[&leader].core.as_ref().expect("it leads");
    let membership = leader.status().membership;
    membership.members().iter().all(|member| {
        group
            .members
            .get(&member.instance)
            .is_none_or(|state| state.machine.applied == group.history.committed())
    })
}

#[test]
fn group_stays_safe_under_faults_and_recovers() {
    let mut reads_checked = 0;
    for run in (0..RUNS).chain(FURTHER_RUNS) {
        arbtest(|u| {
            let message_bytes = u.int_in_range(1..=MESSAGE_BYTES)?;
            let mut group = SimGroup::new(&[1, 2, 3], message_bytes, run * 1_000);
            while !u.is_empty() {
                act(u, &mut group)?;
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
        "the runs check reads: {reads_checked}"
    );
}

#[test]
fn removed_leader_steps_down() {
    let mut group = SimGroup::new(&[1, 2, 3], MESSAGE_BYTES, 9);
    recover(&mut group);
    let leader = group.leader().expect("a leader");
    let change = MemberChange::Remove(leader);
    let outcome = group.at(leader, |core, now| core.change_members(change, now));
    assert!(outcome.is_some_and(|outcome| outcome.is_ok()));
    let refused = group.at(leader, |core, now| {
        core.change_members(MemberChange::Promote(2), now)
    });
    assert_eq!(refused, Some(Err(quorum::ChangeError::InFlight)));
    recover(&mut group);
    let duty = group.members[&leader].core.as_ref().map(QuorumCore::duty);
    assert_eq!(duty, Some(MemberDuty::Learner));
    assert_ne!(group.leader(), Some(leader));
}

#[test]
fn leader_without_quorum_steps_down() {
    let mut group = SimGroup::new(&[1, 2, 3], MESSAGE_BYTES, 11);
    recover(&mut group);
    let leader = group.leader().expect("a leader");
    for id in group.ids() {
        group.cuts.insert((id, leader));
    }
    for _ in 0..200 {
        group.advance(Duration::from_millis(5));
        group.in_flight.clear();
    }
    let duty = group.members[&leader].core.as_ref().map(QuorumCore::duty);
    assert_ne!(duty, Some(MemberDuty::Leader));
}

/// Delivers what is on its way until a piece of a snapshot to `to` is, and returns that piece.
fn next_piece(group: &mut SimGroup, to: InstanceId) -> SimMessage {
    loop {
        group.advance(Duration::from_millis(5));
        for id in group.ids() {
            group.sync(id, usize::MAX);
        }
        for message in std::mem::take(&mut group.in_flight) {
            let is_piece = matches!(message.outgoing.message.body, MessageBody::Snapshot { .. });
            if is_piece && message.outgoing.to == to {
                return message;
            }
            group.deliver(message);
        }
    }
}

#[test]
fn snapshot_transfer_survives_a_restart_and_a_repeated_piece() {
    let mut group = SimGroup::new(&[1, 2, 3], 4, 13);
    recover(&mut group);
    let leader = group.leader().expect("a leader");
    let behind = group
        .ids()
        .into_iter()
        .find(|&id| id != leader)
        .expect("two follow");
    group.cuts.insert((leader, behind));
    for command in 0..40 {
        group.propose(leader, command);
    }
    for _ in 0..20 {
        group.advance(Duration::from_millis(5));
        for id in group.ids() {
            group.sync(id, usize::MAX);
        }
        for message in std::mem::take(&mut group.in_flight) {
            group.deliver(message);
        }
    }
    assert!(group.history.committed() > 40);
    group.compact(leader);
    group.cuts.clear();
    let first = next_piece(&mut group, behind);
    group.deliver(first.clone());
    for _ in 0..2 {
        let piece = next_piece(&mut group, behind);
        group.deliver(piece);
    }
    group.crash(behind, 0);
    group.start(behind);
    group.deliver(first);
    recover(&mut group);
}

#[test]
fn stalled_disks_hold_up_commits_but_neither_reads_nor_the_leader() {
    let mut group = SimGroup::new(&[1, 2, 3], MESSAGE_BYTES, 17);
    recover(&mut group);
    let leader = group.leader().expect("a leader");
    let term = group.members[&leader].core.as_ref().map(QuorumCore::term);
    let committed = group.history.committed();
    let checked = group.reads_checked;
    for step in 0..400 {
        group.advance(Duration::from_millis(5));
        if step % 20 == 0 {
            group.propose(leader, 1);
            for id in group.ids() {
                group.read(id);
            }
        }
        for message in std::mem::take(&mut group.in_flight) {
            group.deliver(message);
        }
    }
    assert_eq!(group.history.committed(), committed);
    assert!(group.reads_checked >= checked + 3 * 18);
    assert_eq!(group.leader(), Some(leader));
    assert_eq!(
        group.members[&leader].core.as_ref().map(QuorumCore::term),
        term
    );
    recover(&mut group);
    assert!(group.history.committed() >= committed + 20);
}
