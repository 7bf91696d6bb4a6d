//! Which instance owns which team's tokens.

use control::force::LiveInstance;
use control::log::TeamOwner;
use control::owners::plan_owners;
use model::declaration::Declaration;
use model::declaration::TeamSpec;

fn live(instance: u64) -> LiveInstance {
    LiveInstance {
        instance,
        incarnation: 10 * instance,
    }
}

fn declaration(teams: &[&str]) -> Declaration {
    let teams = teams.iter().map(|team| TeamSpec {
        name: (*team).into(),
        rate_milli: 1_000,
        burst_milli: 1_000,
    });
    Declaration {
        teams: teams.collect(),
        ..Declaration::default()
    }
}

#[test]
fn teams_spread_over_the_live_instances_and_stay_there() {
    let declaration = declaration(&["a", "b", "c", "d"]);
    let group = [live(1), live(2)];
    let planned = plan_owners(&declaration, &[], &group, false);
    let first = planned.iter().filter(|owner| owner.instance == 1).count();
    assert_eq!((planned.len(), first), (4, 2));
    assert!(planned.iter().all(|owner| owner.first && owner.term == 1));
    assert!(plan_owners(&declaration, &planned, &group, true).is_empty());
}

#[test]
fn a_lost_or_restarted_owner_is_replaced_under_a_higher_term() {
    let declaration = declaration(&["a"]);
    let owner = TeamOwner {
        team: "a".into(),
        instance: 2,
        incarnation: 20,
        term: 3,
        first: true,
    };
    let owners = [owner];
    // A new leader has not heard of the owner yet, and waits.
    assert!(plan_owners(&declaration, &owners, &[live(1)], false).is_empty());
    let lost = plan_owners(&declaration, &owners, &[live(1)], true);
    assert_eq!((lost[0].instance, lost[0].term), (1, 4));
    assert!(!lost[0].first);

    let restarted = LiveInstance {
        instance: 2,
        incarnation: 21,
    };
    let again = plan_owners(&declaration, &owners, &[restarted], false);
    assert_eq!((again[0].incarnation, again[0].term), (21, 4));
    assert!(!again[0].first);
}
