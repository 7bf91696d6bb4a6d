//! Random actions and faults in a simulated group.

use std::time::Duration;

use arbtest::arbitrary;
use arbtest::arbitrary::Unstructured;
use quorum::InstanceId;
use quorum::MemberChange;
use quorum::Membership;
use quorum::QuorumTerms;
use quorum::RaftCore;

use crate::group::SimGroup;

/// Highest ID of an instance in a run.
const INSTANCES_MAX: InstanceId = 7;

/// Longest ordinary advance of the virtual time, in milliseconds.
const STEP_MAX_MS: u64 = 20;

/// Longest occasional advance of the virtual time, in milliseconds.
const LONG_STEP_MAX_MS: u64 = 500;

impl SimGroup {
    /// Returns whether the members with a disk, but for one, can still elect a leader once they
    /// know which are lost.
    fn survives_without(&self, leaving: Option<InstanceId>, of: &Membership) -> bool {
        let mut left_out = self.lost.clone();
        left_out.extend(leaving);
        let terms = QuorumTerms {
            rule: self.config.quorum_rule,
            left_out,
        };
        of.members().is_empty() || terms.has_quorum(of, |voter| self.members.contains_key(&voter))
    }
}

fn choose(u: &mut Unstructured<'_>, group: &SimGroup) -> arbitrary::Result<InstanceId> {
    let ids = group.ids();
    Ok(ids[u.choose_index(ids.len())?])
}

/// Chooses the leader most of the time, so that most proposals and changes are accepted.
fn choose_leader(u: &mut Unstructured<'_>, group: &SimGroup) -> arbitrary::Result<InstanceId> {
    match group.leader() {
        Some(leader) if u.ratio(7, 8)? => Ok(leader),
        _ => choose(u, group),
    }
}

/// Delivers, duplicates or loses a message, in order or out of order.
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
    let synced_batches = u.int_in_range(0..=3)?;
    group.crash(id, synced_batches);
    if u.ratio(1, 2)? {
        group.start(id);
    }
    Ok(())
}

/// Cuts or restores the link from one member to another.
fn toggle_link(u: &mut Unstructured<'_>, group: &mut SimGroup) -> arbitrary::Result<()> {
    let pair = (choose(u, group)?, choose(u, group)?);
    if !group.cut_links.remove(&pair) {
        group.cut_links.insert(pair);
    }
    Ok(())
}

/// Isolates a member from all others, or restores all links.
fn isolate(u: &mut Unstructured<'_>, group: &mut SimGroup) -> arbitrary::Result<()> {
    if u.ratio(2, 3)? {
        group.cut_links.clear();
        return Ok(());
    }
    let isolated = choose_leader(u, group)?;
    for id in group.ids() {
        group.cut_links.insert((id, isolated));
        group.cut_links.insert((isolated, id));
    }
    Ok(())
}

/// Pauses a member, or resumes all.
fn pause(u: &mut Unstructured<'_>, group: &mut SimGroup) -> arbitrary::Result<()> {
    if u.ratio(2, 3)? {
        group.paused.clear();
    } else {
        let id = choose_leader(u, group)?;
        group.paused.insert(id);
    }
    Ok(())
}

/// Removes a member together with its disk, if a quorum of the voters remains.
fn lose_disk(u: &mut Unstructured<'_>, group: &mut SimGroup) -> arbitrary::Result<()> {
    let id = choose(u, group)?;
    let cores = group
        .members
        .values()
        .filter_map(|member| member.core.as_ref());
    let mut memberships = cores.flat_map(|core| {
        let status = core.status();
        [Some(status.membership), status.outgoing_membership]
    });
    let keeps_quorum = memberships.all(|membership| {
        membership.is_none_or(|membership| group.survives_without(Some(id), &membership))
    });
    let all_running = group.members.values().all(|member| member.core.is_some());
    if keeps_quorum && all_running {
        group.lose(id);
    }
    Ok(())
}

/// Tells a member of a lost one.
fn report_lost(u: &mut Unstructured<'_>, group: &mut SimGroup) -> arbitrary::Result<()> {
    if group.lost.is_empty() {
        return Ok(());
    }
    let lost: Vec<InstanceId> = group.lost.iter().copied().collect();
    let lost = lost[u.choose_index(lost.len())?];
    let to = choose(u, group)?;
    group.report_lost(to, lost);
    Ok(())
}

/// Returns whether a quorum of the voters after a change still has its disk.
fn keeps_quorum(group: &SimGroup, leader: InstanceId, change: MemberChange) -> bool {
    let Some(core) = group
        .members
        .get(&leader)
        .and_then(|member| member.core.as_ref())
    else {
        return false;
    };
    let next = core.status().membership.with_change(change);
    next.is_ok_and(|next| group.survives_without(None, &next))
}

fn change_members(u: &mut Unstructured<'_>, group: &mut SimGroup) -> arbitrary::Result<()> {
    let leader = choose_leader(u, group)?;
    let instance = u.int_in_range(1..=INSTANCES_MAX)?;
    let change = match u.int_in_range(0..=4)? {
        0 => MemberChange::AddLearner {
            instance,
            folder: instance,
        },
        1 | 2 => MemberChange::Promote(instance),
        3 => MemberChange::Demote(instance),
        _ => MemberChange::Remove(instance),
    };
    if !keeps_quorum(group, leader, change) {
        return Ok(());
    }
    let outcome = group.with_core(leader, |core, now| core.change_members(change, now));
    let added = matches!(change, MemberChange::AddLearner { .. });
    if added && outcome.is_some_and(|outcome| outcome.is_ok()) && instance > 3 {
        let folder = instance;
        if !group.members.contains_key(&instance) && !group.lost.contains(&instance) {
            group.add(instance, folder, Membership::default());
        }
    }
    Ok(())
}

/// Action that may happen next, and its relative frequency before a run draws its own.
#[derive(Clone, Copy, Debug)]
struct SimAction {
    weight: u32,
    perform: fn(&mut Unstructured<'_>, &mut SimGroup) -> arbitrary::Result<()>,
}

/// All actions.
const ACTIONS: [SimAction; 15] = [
    action(70, deliver),
    action(25, sync),
    action(9, |u, group| {
        group.advance(Duration::from_millis(u.int_in_range(1..=STEP_MAX_MS)?));
        Ok(())
    }),
    action(1, |u, group| {
        group.advance(Duration::from_millis(u.int_in_range(1..=LONG_STEP_MAX_MS)?));
        Ok(())
    }),
    action(5, |u, group| {
        let id = choose_leader(u, group)?;
        group.propose(id, u.arbitrary()?);
        Ok(())
    }),
    action(4, |u, group| {
        let id = choose(u, group)?;
        group.read(id);
        Ok(())
    }),
    action(2, crash),
    action(2, |u, group| {
        let id = choose(u, group)?;
        group.start(id);
        Ok(())
    }),
    action(1, toggle_link),
    action(1, isolate),
    action(1, pause),
    action(2, |u, group| {
        let id = choose(u, group)?;
        group.compact(id);
        Ok(())
    }),
    action(3, change_members),
    action(1, |u, group| {
        let id = choose_leader(u, group)?;
        group.with_core(id, RaftCore::transfer_leadership);
        if u.ratio(1, 8)? {
            lose_disk(u, group)?;
        }
        Ok(())
    }),
    action(1, report_lost),
];

const fn action(
    weight: u32,
    perform: fn(&mut Unstructured<'_>, &mut SimGroup) -> arbitrary::Result<()>,
) -> SimAction {
    SimAction { weight, perform }
}

/// Draws the weight of each action for a run, so that runs differ in their faults.
pub(crate) fn draw_weights(u: &mut Unstructured<'_>) -> arbitrary::Result<Vec<u32>> {
    ACTIONS
        .iter()
        .map(|action| Ok(action.weight * u.choose(&[0, 1, 1, 2, 4, 8])? + action.weight / 8))
        .collect()
}

pub(crate) fn perform_action(
    u: &mut Unstructured<'_>,
    weights: &[u32],
    group: &mut SimGroup,
) -> arbitrary::Result<()> {
    let total: u32 = weights.iter().sum();
    let mut drawn = u.int_in_range(0..=total.saturating_sub(1))?;
    for (action, &weight) in ACTIONS.iter().zip(weights) {
        if drawn < weight {
            return (action.perform)(u, group);
        }
        drawn -= weight;
    }
    Ok(())
}
