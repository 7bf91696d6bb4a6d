//! When an accepted version is in force.

use std::time::Duration;

use clock::VirtualClock;
use control::force::ForceTracker;
use control::force::LiveInstance;
use control::hub::MembershipHub;

use crate::common::member;

const LEASE: Duration = Duration::from_millis(2_450);
const PEER: LiveInstance = LiveInstance {
    instance: 2,
    incarnation: 5,
};

#[test]
fn a_version_is_in_force_once_every_lease_names_it() {
    let clock = VirtualClock::new();
    let hub = MembershipHub::new(1, 7, clock.clone());
    let force = ForceTracker::new(clock.clone(), LEASE);
    clock.advance(LEASE);
    hub.renew(&member(1, "orders"), 1, LEASE);
    assert!(force.applied(2));
    assert!(!force.applied(2));
    force.heard(PEER, 2);
    assert!(!force.in_force(2, &hub, &[2]));
    hub.renew(&member(1, "orders"), 2, LEASE);
    assert!(force.in_force(2, &hub, &[2]));
}

#[test]
fn a_peer_that_has_not_told_of_its_leases_delays_it_by_one_lease() {
    let clock = VirtualClock::new();
    let hub = MembershipHub::new(1, 7, clock.clone());
    let force = ForceTracker::new(clock.clone(), LEASE);
    clock.advance(LEASE);
    force.heard(PEER, 1);
    force.applied(2);
    clock.advance(LEASE / 2);
    assert!(!force.in_force(2, &hub, &[2]));
    clock.advance(LEASE / 2);
    assert!(force.in_force(2, &hub, &[2]));
}

#[test]
fn a_restarted_instance_knows_of_no_leases_yet() {
    let clock = VirtualClock::new();
    let hub = MembershipHub::new(1, 7, clock.clone());
    let force = ForceTracker::new(clock.clone(), LEASE);
    force.applied(2);
    assert!(!force.in_force(2, &hub, &[]));
    clock.advance(LEASE);
    assert!(force.in_force(2, &hub, &[]));
}

#[test]
fn a_node_that_lags_counts_until_its_lease_runs_out() {
    let clock = VirtualClock::new();
    let hub = MembershipHub::new(1, 7, clock.clone());
    let force = ForceTracker::new(clock.clone(), LEASE);
    clock.advance(LEASE);
    hub.renew(&member(1, "orders"), 1, LEASE / 2);
    force.applied(2);
    assert!(!force.in_force(2, &hub, &[]));
    clock.advance(LEASE / 2);
    assert_eq!(hub.expire().len(), 1);
    assert!(force.in_force(2, &hub, &[]));
}
