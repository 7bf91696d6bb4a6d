//! Whom a joining instance asks, from what other instances say.

use group::MembersAnswer;
use group::choose_members;

fn answer(members: &[u64], confirmed: bool) -> MembersAnswer {
    let members = members.to_vec();
    MembersAnswer { members, confirmed }
}

// Guards against instances that never find their group since the first one they ask was removed
// from it, and names only members that are gone.
#[test]
fn an_answer_without_a_quorum_hides_no_member() {
    let stale = answer(&[1, 2, 3], false);
    let other = answer(&[4, 5], false);
    let current = answer(&[6, 7, 8], true);
    assert_eq!(
        choose_members(&[stale.clone(), other.clone()]),
        [1, 2, 3, 4, 5]
    );
    assert_eq!(choose_members(&[stale, other, current]), [6, 7, 8]);
}

#[test]
fn instances_that_belong_to_no_group_name_nobody() {
    assert!(choose_members(&[]).is_empty());
    assert!(choose_members(&[answer(&[], false)]).is_empty());
    assert!(choose_members(&[answer(&[], true)]).is_empty());
    assert_eq!(
        choose_members(&[answer(&[], true), answer(&[1], false)]),
        [1]
    );
}
