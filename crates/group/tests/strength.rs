//! With which voters a change may be acknowledged.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use group::GroupStrength;
use group::MemberView;
use group::RepairPolicy;
use group::instance_id;
use model::ids::InstanceId;
use quorum::MemberChange;
use quorum::Membership;
use quorum::QuorumRule;
use quorum::QuorumTerms;

const SHORT_SILENCE: Duration = Duration::from_millis(80);
const LONG_SILENCE: Duration = Duration::from_secs(10);

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

/// Returns the views of a member that hears all others.
fn all_heard(membership: &Membership) -> Vec<MemberView> {
    let members = membership.members().iter();
    members
        .map(|member| MemberView {
            instance: member.instance,
            voter: member.voter,
            silence: SHORT_SILENCE,
            heard: true,
            leaving: false,
        })
        .collect()
}

fn strength(membership: &Membership, views: &[MemberView]) -> GroupStrength {
    GroupStrength::new(membership, at(1, 0), views, &RepairPolicy::new(2))
}

fn tolerates(membership: &Membership, losses: usize) -> bool {
    strength(membership, &all_heard(membership)).tolerates(losses)
}

fn tolerates_two(membership: &Membership) -> bool {
    tolerates(membership, 2)
}

/// Returns whether two losses are tolerated beside a voter that was not heard for `silence`.
fn tolerates_two_beside_silent(membership: &Membership, silence: Duration, heard: bool) -> bool {
    let mut views = all_heard(membership);
    views[4].silence = silence;
    views[4].heard = heard;
    strength(membership, &views).tolerates(2)
}

#[test]
fn a_silent_voter_does_not_count_while_its_replacement_waits() {
    let waiting = with_learner(&voters(5), at(9, 4));
    assert!(!tolerates_two_beside_silent(&waiting, LONG_SILENCE, true));
    let second_waits = with_learner(&with_voter(&voters(5), at(9, 4)), at(10, 5));
    let mut views = all_heard(&second_waits);
    views[3].silence = LONG_SILENCE;
    views[4].silence = LONG_SILENCE;
    assert!(!strength(&second_waits, &views).tolerates(2));
}

/// With six voters, four store what is committed, and three without the lost ones elect.
#[test]
fn a_spare_voter_stands_in_for_a_silent_one() {
    let promoted = with_voter(&voters(5), at(9, 4));
    assert!(tolerates_two_beside_silent(&promoted, LONG_SILENCE, true));
    assert!(tolerates_two_beside_silent(
        &promoted,
        Duration::ZERO,
        false
    ));
    let second_waits = with_learner(&promoted, at(10, 5));
    assert!(tolerates_two_beside_silent(
        &second_waits,
        LONG_SILENCE,
        true
    ));
}

#[test]
fn a_voter_that_is_known_to_be_lost_counts_although_nothing_waits_at_its_address() {
    let membership = voters(5);
    let strength = strength(&membership, &all_heard(&membership));
    assert!(strength.tolerates(2));
    assert!(!strength.with_known_losses(1).tolerates(2));
}

#[test]
fn a_voter_that_a_new_leader_has_not_heard_does_not_count_while_its_replacement_waits() {
    let waiting = with_learner(&voters(5), at(9, 4));
    assert!(!tolerates_two_beside_silent(
        &waiting,
        Duration::ZERO,
        false
    ));
}

#[test]
fn a_silent_voter_without_a_replacement_is_one_of_the_tolerated_losses() {
    assert!(tolerates_two_beside_silent(&voters(5), LONG_SILENCE, true));
    assert!(tolerates_two_beside_silent(&voters(5), LONG_SILENCE, false));
}

#[test]
fn a_silent_voter_whose_address_came_back_without_its_disk_counts_as_one_loss() {
    let membership = with_learner(&voters(5), at(5, 7));
    let mut views = all_heard(&membership);
    views[4].silence = LONG_SILENCE;
    assert_eq!(strength(&membership, &views).lost_voters, 1);
}

#[test]
fn an_instance_never_counts_itself_as_silent() {
    let membership = with_learner(&voters(5), at(9, 4));
    let mut views = all_heard(&membership);
    views[0].silence = LONG_SILENCE;
    views[0].heard = false;
    assert_eq!(strength(&membership, &views).lost_voters, 0);
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
    assert!(!tolerates_two(&with_voter(&voters(4), at(2, 7))));
    assert!(tolerates_two(&with_voter(&voters(5), at(2, 7))));
    assert!(tolerates_two(&with_voter(
        &with_learner(&voters(6), at(2, 7)),
        at(9, 4)
    )));
}

#[test]
fn one_or_no_tolerated_loss_needs_three_voters_or_one() {
    assert!(tolerates(&voters(3), 1));
    assert!(!tolerates(&voters(2), 1));
    assert!(tolerates(&voters(1), 0));
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
        if !tolerates(&membership, losses) {
            return Ok(());
        }
        let mut disks = running(&membership);
        disks.retain(|&instance| membership.is_voter(instance));
        let rule = QuorumRule::Tolerating(losses);
        let is_quorum = |left_out: &BTreeSet<InstanceId>, subset: &[InstanceId]| {
            let left_out = left_out.clone();
            let terms = QuorumTerms { rule, left_out };
            terms.has_quorum(&membership, |voter| subset.contains(&voter))
        };
        let subsets = subsets(&disks);
        let stored_by = subsets.iter();
        let quorums: Vec<_> = stored_by
            .filter(|subset| is_quorum(&BTreeSet::new(), subset))
            .collect();
        let phantoms = membership.voters().filter(|voter| !disks.contains(voter));
        let phantoms: BTreeSet<InstanceId> = phantoms.collect();
        for lost in subsets.iter().filter(|lost| lost.len() == losses) {
            let left_out: BTreeSet<InstanceId> =
                phantoms.iter().chain(lost.iter()).copied().collect();
            let remaining = disks.iter().filter(|disk| !lost.contains(disk));
            let remaining: Vec<InstanceId> = remaining.copied().collect();
            assert!(
                is_quorum(&left_out, &remaining),
                "{lost:?} lost of {membership:?}"
            );
            for later in subsets.iter().filter(|later| is_quorum(&left_out, later)) {
                for stored_by in &quorums {
                    assert!(stored_by.iter().any(|instance| later.contains(instance)));
                }
            }
        }
        Ok(())
    });
}
