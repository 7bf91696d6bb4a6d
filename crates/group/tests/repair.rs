//! Which member is replaced, when disks and instances are lost.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;

use group::MemberView;
use group::RepairPolicy;
use group::instance_at;
use group::instance_ip;
use model::ids::InstanceId;
use quorum::MemberChange;

const LIVELY: Duration = Duration::from_millis(80);
const LOST: Duration = Duration::from_secs(10);

fn at(last: u8, folder: u32) -> InstanceId {
    instance_at(IpAddr::V4(Ipv4Addr::new(10, 0, 0, last)), folder)
}

fn view(instance: InstanceId, voter: bool, silent: Duration) -> MemberView {
    MemberView {
        instance,
        voter,
        silent,
    }
}

fn five() -> Vec<MemberView> {
    (1..=5)
        .map(|last| view(at(last, 0), true, LIVELY))
        .collect()
}

fn next(members: &[MemberView]) -> Option<MemberChange> {
    RepairPolicy::new(2).next_step(at(1, 0), members)
}

#[test]
fn an_identity_names_its_address() {
    let address = IpAddr::V4(Ipv4Addr::new(10, 3, 0, 46));
    assert_eq!(instance_ip(instance_at(address, 77)), address);
    assert_ne!(instance_at(address, 77), instance_at(address, 0));
}

#[test]
fn a_whole_group_stays_as_it_is() {
    assert_eq!(next(&five()), None);
}

#[test]
fn a_silent_voter_stays_while_there_is_no_replacement() {
    let mut members = five();
    members[3].silent = LOST;
    assert_eq!(next(&members), None);
}

#[test]
fn a_silent_voter_gives_way_to_a_learner_that_is_there() {
    let mut members = five();
    members[3].silent = LOST;
    members.push(view(at(9, 4), false, LIVELY));
    assert_eq!(next(&members), Some(MemberChange::Remove(at(4, 0))));
}

#[test]
fn a_learner_waits_while_all_voters_are_heard() {
    let mut members = five();
    members.push(view(at(9, 4), false, LIVELY));
    assert_eq!(next(&members), None);
}

#[test]
fn a_voter_whose_address_comes_back_with_an_empty_disk_is_replaced_at_once() {
    let mut members = five();
    members.push(view(at(2, 7), false, LIVELY));
    assert_eq!(next(&members), Some(MemberChange::Remove(at(2, 0))));
}

#[test]
fn nothing_is_removed_while_a_place_is_free() {
    let mut members = five();
    members.remove(4);
    members[3].silent = LOST;
    members.push(view(at(9, 4), false, LIVELY));
    assert_eq!(next(&members), None);
}

#[test]
fn a_learner_that_is_gone_is_forgotten() {
    let mut members = five();
    members.push(view(at(9, 4), false, LOST));
    assert_eq!(next(&members), Some(MemberChange::Remove(at(9, 4))));
}

#[test]
fn the_leader_never_removes_itself() {
    let mut members = five();
    members[0].silent = LOST;
    members.push(view(at(1, 3), false, LIVELY));
    assert_eq!(next(&members), None);
}
