//! With which voters a change may be acknowledged.

use std::net::IpAddr;
use std::net::Ipv4Addr;

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use group::GroupStrength;
use group::instance_id;
use model::ids::InstanceId;
use quorum::MemberChange;
use quorum::Membership;

fn at(last: u8, directory_id: u32) -> InstanceId {
    instance_id(IpAddr::V4(Ipv4Addr::new(10, 0, 0, last)), directory_id)
}

fn voters(count: u8) -> Membership {
    let instances: Vec<InstanceId> = (1..=count).map(|last| at(last, 0)).collect();
    Membership::initial(&instances)
}

fn with_learner(membership: &Membership, instance: InstanceId) -> Membership {
    let change = MemberChange::AddLearner {
        instance,
        folder: instance,
    };
    membership.with_change(change).unwrap()
}

fn with_voter(membership: &Membership, instance: InstanceId) -> Membership {
    with_learner(membership, instance)
        .with_change(MemberChange::Promote(instance))
        .unwrap()
}

fn tolerates_two(membership: &Membership) -> bool {
    GroupStrength::new(membership).tolerates(2)
}

#[test]
fn five_voters_acknowledge_although_two_disks_may_be_lost() {
    assert!(tolerates_two(&voters(5)));
    assert!(tolerates_two(&voters(6)));
    assert!(tolerates_two(&with_learner(&voters(5), at(9, 4))));
}

#[test]
fn four_voters_cannot_acknowledge_what_two_lost_disks_would_hide() {
    assert!(!tolerates_two(&voters(3)));
    assert!(!tolerates_two(&voters(4)));
}

#[test]
fn a_voter_whose_address_came_back_without_its_disk_does_not_count() {
    assert!(!tolerates_two(&with_learner(&voters(5), at(2, 7))));
    assert!(!tolerates_two(&with_voter(&voters(5), at(2, 7))));
    assert!(tolerates_two(&with_voter(
        &with_learner(&voters(6), at(2, 7)),
        at(9, 4)
    )));
}

#[test]
fn one_or_no_tolerated_loss_needs_three_voters_or_one() {
    assert!(GroupStrength::new(&voters(3)).tolerates(1));
    assert!(!GroupStrength::new(&voters(2)).tolerates(1));
    assert!(GroupStrength::new(&voters(1)).tolerates(0));
}

/// Returns all subsets of `instances`.
fn subsets(instances: &[InstanceId]) -> Vec<Vec<InstanceId>> {
    (0..1_u32 << instances.len())
        .map(|bits| {
            let chosen = instances.iter().enumerate();
            chosen
                .filter(|(position, _)| bits >> position & 1 == 1)
                .map(|(_, instance)| *instance)
                .collect()
        })
        .collect()
}

fn some_membership(choices: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<Membership> {
    let mut membership = voters(choices.int_in_range(1..=7)?);
    for directory_id in 1..=choices.int_in_range(0..=3)? {
        let instance = at(choices.int_in_range(1..=9)?, directory_id);
        membership = if choices.arbitrary()? {
            with_voter(&membership, instance)
        } else {
            with_learner(&membership, instance)
        };
    }
    Ok(membership)
}

/// Returns the members that run: the ones that joined last at their address.
fn running(membership: &Membership) -> Vec<InstanceId> {
    let members = membership.members();
    members
        .iter()
        .map(|member| member.instance)
        .filter(|&instance| {
            !members.iter().any(|other| {
                other.instance > instance
                    && group::instance_ip(other.instance) == group::instance_ip(instance)
            })
        })
        .collect()
}

#[test]
fn whatever_disks_are_lost_a_quorum_with_the_acknowledged_change_remains() {
    arbtest(|choices| {
        let membership = some_membership(choices)?;
        let losses = choices.int_in_range(0..=3)?;
        if !GroupStrength::new(&membership).tolerates(losses) {
            return Ok(());
        }
        let mut disks = running(&membership);
        disks.retain(|&instance| membership.is_voter(instance));
        let quorums: Vec<_> = subsets(&disks)
            .into_iter()
            .filter(|subset| subset.len() == membership.quorum_size())
            .collect();
        let lost_sets = subsets(&disks);
        for lost in lost_sets.iter().filter(|lost| lost.len() == losses) {
            assert!(
                membership.has_quorum(|voter| disks.contains(&voter) && !lost.contains(&voter)),
                "{lost:?} lost of {membership:?}"
            );
            let without = |subset: &&Vec<InstanceId>| subset.iter().all(|i| !lost.contains(i));
            for later in quorums.iter().filter(without) {
                for stored_by in &quorums {
                    assert!(stored_by.iter().any(|instance| later.contains(instance)));
                }
            }
        }
        Ok(())
    });
}
