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
/// Silence of a voter in the other half of a split that lasts.
const SPLIT_SILENCE: Duration = Duration::from_secs(8);
const LONG_SILENCE: Duration = Duration::from_secs(11);
/// Silence that is longer still.
const LONGER_SILENCE: Duration = Duration::from_secs(12);

fn at(last: u8, directory_id: u32) -> InstanceId {
    instance_id(IpAddr::V4(Ipv4Addr::new(10, 0, 0, last)), directory_id)
}

fn member(instance: InstanceId, voter: bool, silence: Duration) -> MemberView {
    MemberView {
        instance,
        voter,
        silence,
        heard: true,
        leaving: false,
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
fn a_voter_that_stops_is_removed_at_once_if_it_has_a_successor() {
    let mut members = five_voters();
    members[3].leaving = true;
    assert_eq!(next(&members), None);
    members.push(member(at(9, 4), true, SHORT_SILENCE));
    assert_eq!(next(&members), Some(MemberChange::Remove(at(4, 0))));
}

/// The half that is cut off may hold the votes that are needed once disks are lost as well.
#[test]
fn a_voter_in_the_other_half_of_a_split_is_kept() {
    let mut members = five_voters();
    members[3].silence = SPLIT_SILENCE;
    members.push(member(at(9, 4), true, SHORT_SILENCE));
    assert_eq!(next(&members), None);
}

#[test]
fn a_sixth_voter_stays_while_none_is_silent() {
    let mut members = five_voters();
    members.push(member(at(9, 4), true, SHORT_SILENCE));
    assert_eq!(next(&members), None);
}

/// Its predecessor may go without notice, and two disks may be lost before that is noticed.
#[test]
fn a_learner_votes_although_no_voter_is_silent() {
    let mut members = five_voters();
    members.push(member(at(9, 4), false, SHORT_SILENCE));
    assert_eq!(next(&members), Some(MemberChange::Promote(at(9, 4))));
    members[5].voter = true;
    members.push(member(at(10, 5), false, SHORT_SILENCE));
    assert_eq!(next(&members), Some(MemberChange::Promote(at(10, 5))));
}

#[test]
fn a_learner_waits_while_there_are_as_many_spares_as_tolerated_losses() {
    let mut members = five_voters();
    members.push(member(at(9, 4), true, SHORT_SILENCE));
    members.push(member(at(10, 5), true, SHORT_SILENCE));
    members.push(member(at(11, 6), false, SHORT_SILENCE));
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

#[test]
fn a_new_leader_waits_for_a_voter_that_it_has_not_heard() {
    let mut members = five_voters();
    members.push(member(at(9, 4), true, SHORT_SILENCE));
    members[3].heard = false;
    members[3].silence = SPLIT_SILENCE;
    assert_eq!(next(&members), None);
    members[3].silence = LONG_SILENCE;
    assert_eq!(next(&members), Some(MemberChange::Remove(at(4, 0))));
}

/// Returns five voters of which two are silent, one of them for longer, and a learner at a new
/// address.
fn two_silent_and_a_learner() -> Vec<MemberView> {
    let mut members = five_voters();
    members[2].silence = LONG_SILENCE;
    members[3].silence = LONGER_SILENCE;
    members.push(member(at(9, 4), false, SHORT_SILENCE));
    members
}

#[test]
fn no_silent_voter_is_removed_while_another_may_be_the_one_that_is_gone() {
    let mut members = two_silent_and_a_learner();
    assert_eq!(next(&members), Some(MemberChange::Promote(at(9, 4))));
    members[5].voter = true;
    assert_eq!(next(&members), None);
}

#[test]
fn the_voter_that_is_gone_is_removed_once_the_other_is_back() {
    let mut members = two_silent_and_a_learner();
    members[5].voter = true;
    members[3].silence = SHORT_SILENCE;
    assert_eq!(next(&members), Some(MemberChange::Remove(at(3, 0))));
}

#[test]
fn both_silent_voters_are_removed_once_each_has_a_successor() {
    let mut members = two_silent_and_a_learner();
    members[5].voter = true;
    members.push(member(at(10, 5), true, SHORT_SILENCE));
    assert_eq!(next(&members), Some(MemberChange::Remove(at(4, 0))));
    members.remove(3);
    assert_eq!(next(&members), Some(MemberChange::Remove(at(3, 0))));
}

#[test]
fn a_silent_learner_stays_while_another_voter_is_missing() {
    let mut members = two_silent_and_a_learner();
    members[5].voter = true;
    members[3].voter = false;
    assert_eq!(next(&members), None);
    members[2].silence = SHORT_SILENCE;
    assert_eq!(next(&members), Some(MemberChange::Remove(at(4, 0))));
}

#[test]
fn a_learner_that_a_new_leader_has_not_heard_is_not_promoted() {
    let mut members = two_silent_and_a_learner();
    members[5].heard = false;
    assert_eq!(next(&members), None);
}
