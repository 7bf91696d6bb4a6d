//! Deterministic tests of single faults.

#[path = "support/disk.rs"]
mod disk;
#[path = "support/group.rs"]
mod group;
#[path = "support/history.rs"]
mod history;
#[path = "support/recovery.rs"]
mod recovery;

use std::time::Duration;

use bytes::Bytes;
use quorum::AppendOutcome;
use quorum::InstanceId;
use quorum::MemberChange;
use quorum::MemberRole;
use quorum::MessageBody;
use quorum::QuorumRule;
use quorum::RaftCore;

use crate::group::SimGroup;
use crate::group::SimMessage;
use crate::recovery::recover;
use crate::recovery::step_all;
use crate::recovery::sync_and_deliver_all;

/// Maximum size of commands or of a snapshot chunk in one message, in bytes.
const MAX_MESSAGE_BYTES: usize = 16;

impl SimGroup {
    /// Returns a group in which a majority is a quorum.
    fn new(initial: &[InstanceId], max_message_bytes: usize, seed: u64) -> Self {
        Self::with_rule(QuorumRule::Majority, initial, max_message_bytes, seed)
    }
}

/// Returns whether no message is in flight and no write waits for a sync.
fn is_quiet(group: &SimGroup) -> bool {
    let mut members = group.members.values();
    group.in_flight.is_empty() && members.all(|member| member.disk.pending.is_empty())
}

#[test]
fn removed_leader_steps_down() {
    let mut group = SimGroup::new(&[1, 2, 3], MAX_MESSAGE_BYTES, 9);
    recover(&mut group);
    let leader = group.leader().expect("a leader");
    let change = MemberChange::Remove(leader);
    let outcome = group.with_core(leader, |core, now| core.change_members(change, now));
    assert!(outcome.is_some_and(|outcome| outcome.is_ok()));
    let refused = group.with_core(leader, |core, now| {
        core.change_members(MemberChange::Promote(2), now)
    });
    assert_eq!(refused, Some(Err(quorum::MemberChangeError::InFlight)));
    recover(&mut group);
    let role = group.members[&leader].core.as_ref().map(RaftCore::role);
    assert_eq!(role, Some(MemberRole::Learner));
    assert_ne!(group.leader(), Some(leader));
}

#[test]
fn leader_without_quorum_steps_down() {
    let mut group = SimGroup::new(&[1, 2, 3], MAX_MESSAGE_BYTES, 11);
    recover(&mut group);
    let leader = group.leader().expect("a leader");
    for id in group.ids() {
        group.cut_links.insert((id, leader));
    }
    for _ in 0..200 {
        group.advance(Duration::from_millis(5));
        group.in_flight.clear();
    }
    let role = group.members[&leader].core.as_ref().map(RaftCore::role);
    assert_ne!(role, Some(MemberRole::Leader));
}

/// Delivers messages for a step, until one with a snapshot chunk for `to`; returns that one.
fn step_to_snapshot_chunk(group: &mut SimGroup, to: InstanceId) -> Option<SimMessage> {
    group.advance(Duration::from_millis(5));
    for id in group.ids() {
        group.sync(id, usize::MAX);
    }
    for message in std::mem::take(&mut group.in_flight) {
        let is_chunk = matches!(message.outgoing.message.body, MessageBody::Snapshot { .. });
        if is_chunk && message.outgoing.to == to {
            return Some(message);
        }
        group.deliver(message);
    }
    None
}

/// Delivers messages until one with a snapshot chunk for `to` is in flight, and returns that one.
fn next_snapshot_chunk(group: &mut SimGroup, to: InstanceId) -> SimMessage {
    loop {
        if let Some(chunk) = step_to_snapshot_chunk(group, to) {
            return chunk;
        }
    }
}

/// A restarted member has lost the chunks that it acknowledged, and then gets the first one twice.
#[test]
fn snapshot_transfer_survives_a_restart_and_a_duplicate_chunk() {
    let mut group = SimGroup::new(&[1, 2, 3], 4, 13);
    recover(&mut group);
    let leader = group.leader().expect("a leader");
    let lagging = group
        .ids()
        .into_iter()
        .find(|&id| id != leader)
        .expect("a follower");
    group.cut_links.insert((leader, lagging));
    for command in 0..40 {
        group.propose(leader, command);
    }
    for _ in 0..20 {
        step_all(&mut group);
    }
    assert!(group.history.committed() > 40);
    group.compact(leader);
    group.cut_links.clear();
    let first = next_snapshot_chunk(&mut group, lagging);
    group.deliver(first.clone());
    for _ in 0..2 {
        let chunk = next_snapshot_chunk(&mut group, lagging);
        group.deliver(chunk);
    }
    group.crash(lagging, 0);
    group.start(lagging);
    group.deliver(first);
    recover(&mut group);
}

/// Members acknowledge heartbeats before their disks sync, so slow disks must not cost the leader
/// its quorum.
#[test]
fn stalled_disks_block_commits_but_not_reads_or_leadership() {
    let mut group = SimGroup::new(&[1, 2, 3], MAX_MESSAGE_BYTES, 17);
    recover(&mut group);
    let leader = group.leader().expect("a leader");
    let term = group.members[&leader].core.as_ref().map(RaftCore::term);
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
        group.members[&leader].core.as_ref().map(RaftCore::term),
        term
    );
    recover(&mut group);
    assert!(group.history.committed() >= committed + 20);
}

/// A deposed leader that was paused gets acknowledgements of a round from before the pause. They
/// must not complete a later read, which would miss the writes of the new leader.
#[test]
fn read_is_not_confirmed_by_a_round_started_before_it() {
    let mut group = SimGroup::new(&[1, 2, 3], MAX_MESSAGE_BYTES, 19);
    recover(&mut group);
    let old = group.leader().expect("a leader");
    while !is_quiet(&group) {
        sync_and_deliver_all(&mut group);
    }
    group.read(old);
    for message in std::mem::take(&mut group.in_flight) {
        group.deliver(message);
    }
    let answers = std::mem::take(&mut group.in_flight);
    assert!(answers.iter().any(|answer| answer.outgoing.to == old));
    let checked = group.reads_checked;
    group.paused.insert(old);
    while group.leader() == Some(old) {
        step_all(&mut group);
    }
    let new = group.leader().expect("another leader");
    let acknowledged = group.history.acknowledged;
    group.propose(new, 1);
    while group.history.acknowledged == acknowledged {
        step_all(&mut group);
    }
    group.paused.clear();
    group.read(old);
    for answer in answers {
        group.deliver(answer);
    }
    assert_eq!(
        group.reads_checked,
        checked + 1,
        "only the first read has completed"
    );
}

/// Size of a large command, in bytes.
const LARGE_COMMAND_BYTES: usize = 3 * 1024 * 1024;

/// Proposes large commands at a member.
fn propose_large(group: &mut SimGroup, id: InstanceId, count: usize) {
    for _ in 0..count {
        let command = Bytes::from(vec![0; LARGE_COMMAND_BYTES]);
        let proposed = group.with_core(id, |core, now| core.propose(vec![command], now));
        assert!(proposed.is_some_and(|position| position.is_ok()));
    }
}

/// Guards against a member that joins and never catches up: what is queued for it closed its link
/// again and again, and was lost.
#[test]
fn large_entries_that_a_member_has_not_acknowledged_are_limited_in_size() {
    let mut group = SimGroup::new(&[1, 2, 3], MAX_MESSAGE_BYTES, 13);
    recover(&mut group);
    let leader = group.leader().expect("a leader");
    group.in_flight.clear();
    propose_large(&mut group, leader, 12);
    for id in group.ids() {
        let sent = group.in_flight.iter().filter(|sent| sent.outgoing.to == id);
        let bytes: usize = sent
            .map(|sent| match &sent.outgoing.message.body {
                MessageBody::Append { entries, .. } => {
                    entries.iter().map(|entry| entry.payload.size()).sum()
                }
                _ => 0,
            })
            .sum();
        assert!(bytes <= 2 * LARGE_COMMAND_BYTES, "{bytes} bytes for {id}");
    }
    recover(&mut group);
    let last = group.members[&leader].state_machine.applied;
    for member in group.members.values() {
        assert_eq!(member.state_machine.applied, last);
    }
}

/// Guards against memory that grows with each large change until all members run out of it.
#[test]
fn entries_kept_before_a_snapshot_are_limited_in_size() {
    let mut group = SimGroup::new(&[1], MAX_MESSAGE_BYTES, 17);
    recover(&mut group);
    propose_large(&mut group, 1, 4);
    while !is_quiet(&group) {
        group.sync(1, 1);
    }
    let applied = group.members[&1].state_machine.applied;
    group.compact(1);
    let is_held = |index| {
        let core = group.members[&1].core.as_ref().expect("it runs");
        core.term_at(index).is_some()
    };
    assert!(is_held(applied));
    assert!(!is_held(applied - 2));
}

/// Guards against a group that is lost for good although three of its six voters are sound.
#[test]
fn voters_without_a_departed_and_two_lost_ones_elect_once_the_losses_are_known() {
    let voters = [1, 2, 3, 4, 5, 6];
    let rule = QuorumRule::Tolerating(2);
    let mut group = SimGroup::with_rule(rule, &voters, MAX_MESSAGE_BYTES, 3);
    recover(&mut group);
    for id in [1, 2, 4] {
        group.lose(id);
    }
    let advance = |group: &mut SimGroup| {
        for _ in 0..400 {
            step_all(group);
        }
    };
    advance(&mut group);
    assert_eq!(group.leader(), None, "three of six are no quorum");
    for id in group.ids() {
        group.report_lost(id, 1);
    }
    advance(&mut group);
    let leader = group.leader().expect("three of five elect");
    let acknowledged = group.history.acknowledged;
    group.propose(leader, 1);
    advance(&mut group);
    assert!(group.history.acknowledged > acknowledged);
}

/// Returns whether the leader sends a chunk of its snapshot to `to` within a few heartbeats.
fn sends_chunk(group: &mut SimGroup, to: InstanceId) -> bool {
    (0..60).any(|_| step_to_snapshot_chunk(group, to).is_some())
}

/// A member has a part of one snapshot when the leader takes the next, which is no longer than that
/// part; it must not count as having the next one.
#[test]
fn a_part_of_an_earlier_snapshot_is_not_taken_for_a_shorter_later_one() {
    let mut group = SimGroup::new(&[1, 2, 3], 4, 13);
    recover(&mut group);
    let leader = group.leader().expect("a leader");
    let mut ids = group.ids().into_iter();
    let lagging = ids.find(|&id| id != leader).expect("a follower");
    group.cut_links.insert((leader, lagging));
    for command in 0..40 {
        group.propose(leader, command);
    }
    for _ in 0..20 {
        step_all(&mut group);
    }
    group.compact(leader);
    group.cut_links.clear();
    let first = next_snapshot_chunk(&mut group, lagging);
    // The reply to the first chunk arrives once the next snapshot has been taken.
    group.deliver(first);
    group.sync(lagging, usize::MAX);
    let replies = std::mem::take(&mut group.in_flight);
    group.cut_links.insert((leader, lagging));
    group.propose(leader, 1);
    for _ in 0..20 {
        step_all(&mut group);
    }
    let applied = group.members[&leader].state_machine.applied;
    group.with_core(leader, |core, _| {
        core.compact(applied, Bytes::from_static(b"x"));
    });
    group.cut_links.clear();
    for reply in replies {
        group.deliver(reply);
    }
    let applied = group.members[&lagging].state_machine.applied;
    assert!(applied < 40, "the transfer is not done");
    assert!(
        sends_chunk(&mut group, lagging),
        "the next snapshot is sent"
    );
}

/// Guards against a group that is stuck since a lost voter is being removed when another one stops:
/// where no voter may be left out of a count, a change of the voters is in force as it is appended.
#[test]
fn a_removal_that_is_appended_holds_although_another_voter_is_lost_before_it_is_committed() {
    for rule in [QuorumRule::Majority, QuorumRule::Tolerating(2)] {
        let mut group = SimGroup::with_rule(rule, &[1, 2, 3, 4], MAX_MESSAGE_BYTES, 5);
        recover(&mut group);
        let leader = group.leader().expect("a leader");
        let followers: Vec<InstanceId> =
            group.ids().into_iter().filter(|&id| id != leader).collect();
        group.lose(followers[0]);
        let removal = MemberChange::Remove(followers[0]);
        let appended = group.with_core(leader, |core, now| core.change_members(removal, now));
        assert!(
            appended.is_some_and(|appended| appended.is_ok()),
            "{rule:?}"
        );
        group.in_flight.clear();
        group.lose(followers[1]);
        let acknowledged = group.history.acknowledged;
        for _ in 0..400 {
            step_all(&mut group);
            if let Some(leader) = group.leader() {
                group.propose(leader, 1);
            }
        }
        assert!(group.history.acknowledged > acknowledged, "{rule:?}");
    }
}

/// A paused leader learns of a loss that happened in its own term: the lost voter has elected another
/// leader before, so that what the paused one counts without it was never committed.
#[test]
fn a_loss_that_a_leader_learns_of_in_its_term_is_not_left_out_of_its_counts() {
    let rule = QuorumRule::Tolerating(1);
    let mut group = SimGroup::with_rule(rule, &[1, 2, 3, 4], MAX_MESSAGE_BYTES, 21);
    recover(&mut group);
    let paused = group.leader().expect("a leader");
    let followers: Vec<InstanceId> = group.ids().into_iter().filter(|&id| id != paused).collect();
    let [stored, voted, elected] = followers[..] else {
        panic!("three followers");
    };
    // Only one follower gets the leader's entry.
    for other in [voted, elected] {
        group.cut_links.insert((paused, other));
        group.cut_links.insert((other, paused));
    }
    group.propose(paused, 7);
    let answer = loop {
        sync_and_deliver_all(&mut group);
        let mut messages = group.in_flight.iter();
        if let Some(answer) = messages.find(|message| stores_all_of(&group, message, paused)) {
            break answer.clone();
        }
        group.advance(Duration::from_millis(1));
    };
    group.paused.insert(paused);
    group.lose(stored);
    for id in [voted, elected] {
        group.report_lost(id, stored);
    }
    let is_elected = |group: &SimGroup| {
        let leader = group.leader();
        leader.is_some_and(|leader| leader != paused)
    };
    while !is_elected(&group) {
        step_all(&mut group);
    }
    let committed = group.history.committed();
    for _ in 0..20 {
        step_all(&mut group);
    }
    assert!(
        group.history.committed() > committed,
        "the next leader commits"
    );
    let next = group.leader().expect("a leader");
    let lost = if next == voted { elected } else { voted };
    group.lose(lost);
    group.paused.clear();
    group.report_lost(paused, lost);
    group.deliver(answer);
    let term = |group: &SimGroup| group.members[&paused].core.as_ref().map(RaftCore::term);
    assert!(term(&group) < group.members[&next].core.as_ref().map(RaftCore::term));
}

/// Returns whether a message tells a leader that its sender has all of the leader's entries.
fn stores_all_of(group: &SimGroup, message: &SimMessage, leader: InstanceId) -> bool {
    let core = group.members[&leader].core.as_ref().expect("it runs");
    let all = AppendOutcome::Matched(core.status().last_index);
    let body = &message.outgoing.message.body;
    message.outgoing.to == leader
        && matches!(body, MessageBody::AppendReply { outcome, .. } if *outcome == all)
}
