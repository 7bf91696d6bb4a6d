//! Which member is replaced when disks and instances are lost.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;

use group::MemberView;
use group::RepairPolicy;
use group::instance_id;
use group::instance_ip;
use model::ids::InstanceId;
use quorum::MemberChange;

const SHORT_SILENCE: Duration = Duration::from_millis(80);
/// Silence of an instance that was killed and is back.
const RESTART_SILENCE: Duration = Duration::from_millis(500);
/// Silence that leaves time for a replacement within the 4 s that a successor may take.
const REPLACED_SILENCE: Duration = Duration::from_millis(3_200);
/// Silence after an election that leaves time for a replacement within those 4 s.
const UNHEARD_SILENCE: Duration = Duration::from_millis(2_100);
const LONG_SILENCE: Duration = Duration::from_secs(10);

fn at(last: u8, directory_id: u32) -> InstanceId {
    instance_id(IpAddr::V4(Ipv4Addr::new(10, 0, 0, last)), directory_id)
}

fn member(instance: InstanceId, voter: bool, silence: Duration) -> MemberView {
    MemberView {
        instance,
        voter,
        silence,
        heard: true,
    }
}

fn five_voters() -> Vec<MemberView> {
    (1..=5)
        .map(|last| member(at(last, 0), true, SHORT_SILENCE))
        .collect()
}

fn next(members: &[MemberView]) -> Option<MemberChange> {
    RepairPolicy::new(2).next_step(at(1, 0), members)
}

#[test]
fn an_identity_contains_its_address() {
    let address = IpAddr::V4(Ipv4Addr::new(10, 3, 0, 46));
    assert_eq!(instance_ip(instance_id(address, 77)), address);
    assert_ne!(instance_id(address, 77), instance_id(address, 0));
}

#[test]
fn a_healthy_group_is_not_changed() {
    assert_eq!(next(&five_voters()), None);
}

#[test]
fn a_silent_voter_is_kept_without_a_replacement() {
    let mut members = five_voters();
    members[3].silence = LONG_SILENCE;
    assert_eq!(next(&members), None);
}

#[test]
fn a_silent_voter_is_removed_only_after_a_connected_learner_was_promoted() {
    let mut members = five_voters();
    members[3].silence = LONG_SILENCE;
    members.push(member(at(9, 4), false, SHORT_SILENCE));
    assert_eq!(next(&members), Some(MemberChange::Promote(at(9, 4))));
    members[5].voter = true;
    assert_eq!(next(&members), Some(MemberChange::Remove(at(4, 0))));
}

#[test]
fn a_voter_that_went_away_is_replaced_before_its_successor_counts_as_caught_up() {
    let mut members = five_voters();
    members[3].silence = REPLACED_SILENCE;
    members.push(member(at(9, 4), false, SHORT_SILENCE));
    assert_eq!(next(&members), Some(MemberChange::Promote(at(9, 4))));
}

#[test]
fn a_sixth_voter_stays_while_none_is_silent() {
    let mut members = five_voters();
    members.push(member(at(9, 4), true, SHORT_SILENCE));
    assert_eq!(next(&members), None);
}

#[test]
fn a_learner_waits_while_no_voter_is_silent() {
    let mut members = five_voters();
    members.push(member(at(9, 4), false, SHORT_SILENCE));
    assert_eq!(next(&members), None);
}

#[test]
fn a_voter_whose_address_returns_with_an_empty_disk_is_replaced_immediately() {
    let mut members = five_voters();
    members[1].silence = RESTART_SILENCE;
    members.push(member(at(2, 7), false, SHORT_SILENCE));
    assert_eq!(next(&members), Some(MemberChange::Remove(at(2, 0))));
}

#[test]
fn no_voter_is_removed_while_a_voter_is_missing() {
    let mut members = five_voters();
    members.remove(4);
    members[3].silence = LONG_SILENCE;
    members.push(member(at(9, 4), false, SHORT_SILENCE));
    assert_eq!(next(&members), None);
}

#[test]
fn a_silent_learner_is_removed() {
    let mut members = five_voters();
    members.push(member(at(9, 4), false, LONG_SILENCE));
    assert_eq!(next(&members), Some(MemberChange::Remove(at(9, 4))));
}

#[test]
fn the_leader_never_removes_itself() {
    let mut members = five_voters();
    members[0].silence = LONG_SILENCE;
    members.push(member(at(1, 3), false, SHORT_SILENCE));
    assert_eq!(next(&members), None);
}

#[test]
fn a_new_leader_that_has_heard_neither_of_two_members_at_an_address_removes_none() {
    let mut members = five_voters();
    members.push(member(at(2, 7), false, SHORT_SILENCE));
    assert_eq!(next(&members), None);
}

#[test]
fn a_voter_is_kept_when_an_earlier_learner_at_its_address_lost_its_disk() {
    let mut members = five_voters();
    members.push(member(at(2, 7), false, SHORT_SILENCE * 6));
    assert_eq!(next(&members), None);
}

#[test]
fn a_learner_whose_address_returned_with_another_disk_is_removed_at_once() {
    let mut members = five_voters();
    members.push(member(at(2, 7), false, SHORT_SILENCE * 20));
    assert_eq!(next(&members), Some(MemberChange::Remove(at(2, 7))));
}

#[test]
fn a_dead_learner_at_the_address_of_the_leader_is_removed_soon() {
    let mut members = five_voters();
    // Nobody hears itself.
    members[0].silence = LONG_SILENCE;
    members.push(member(at(1, 9), false, Duration::from_secs(2)));
    assert_eq!(next(&members), Some(MemberChange::Remove(at(1, 9))));
}

/// Returns five voters of which `unheard` were not heard since the leader took office, and a
/// learner at a new address.
fn after_an_election(unheard: &[usize], silence: Duration) -> Vec<MemberView> {
    let mut members = five_voters();
    members.push(member(at(9, 4), false, SHORT_SILENCE));
    for &position in unheard {
        members[position].heard = false;
        members[position].silence = silence;
    }
    members
}

#[test]
fn the_only_voter_that_a_new_leader_does_not_hear_is_replaced_before_the_successor_caught_up() {
    let members = after_an_election(&[3], UNHEARD_SILENCE);
    assert_eq!(next(&members), Some(MemberChange::Promote(at(9, 4))));
    let members = after_an_election(&[3], RESTART_SILENCE);
    assert_eq!(next(&members), None);
}

#[test]
fn a_new_leader_that_does_not_hear_several_voters_waits_longer_for_them() {
    let members = after_an_election(&[3, 4], UNHEARD_SILENCE);
    assert_eq!(next(&members), None);
}

/// Returns five voters of which two are silent, one of them for longer, and a learner at a new
/// address.
fn two_silent_and_a_learner() -> Vec<MemberView> {
    let mut members = five_voters();
    members[2].silence = REPLACED_SILENCE;
    members[3].silence = LONG_SILENCE;
    members.push(member(at(9, 4), false, SHORT_SILENCE));
    members
}

#[test]
fn a_silent_voter_is_demoted_while_another_may_be_the_one_that_is_gone() {
    let mut members = two_silent_and_a_learner();
    assert_eq!(next(&members), Some(MemberChange::Promote(at(9, 4))));
    members[5].voter = true;
    assert_eq!(next(&members), Some(MemberChange::Demote(at(4, 0))));
}

#[test]
fn a_demoted_voter_stays_while_another_voter_is_missing() {
    let mut members = two_silent_and_a_learner();
    members[5].voter = true;
    members[3].voter = false;
    assert_eq!(next(&members), None);
}

#[test]
fn a_demoted_voter_that_is_back_replaces_the_voter_that_is_gone() {
    let mut members = two_silent_and_a_learner();
    members[5].voter = true;
    members[3].voter = false;
    members[3].silence = SHORT_SILENCE;
    assert_eq!(next(&members), Some(MemberChange::Promote(at(4, 0))));
    members[3].voter = true;
    assert_eq!(next(&members), Some(MemberChange::Remove(at(3, 0))));
}

#[test]
fn a_demoted_voter_is_removed_once_all_voters_are_heard() {
    let mut members = two_silent_and_a_learner();
    members[5].voter = true;
    members[3].voter = false;
    members[2].silence = SHORT_SILENCE;
    assert_eq!(next(&members), Some(MemberChange::Remove(at(4, 0))));
}

#[test]
fn a_learner_that_a_new_leader_has_not_heard_is_not_promoted() {
    let mut members = two_silent_and_a_learner();
    members[5].heard = false;
    assert_eq!(next(&members), None);
}
