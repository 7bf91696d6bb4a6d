//! Tests of when an accepted version is in force.

use std::time::Duration;

use clock::VirtualClock;
use control::registry::NodeRegistry;
use control::rollout::LiveInstance;
use control::rollout::RolloutTracker;

use crate::common::member;

const LEASE: Duration = Duration::from_millis(2_450);
const PEER: LiveInstance = LiveInstance {
    instance: 2,
    incarnation: 5,
};

#[test]
fn a_version_is_in_force_once_every_lease_names_it() {
    let clock = VirtualClock::new();
    let registry = NodeRegistry::new(1, 7, clock.clone());
    let rollout = RolloutTracker::new(clock.clone(), LEASE);
    clock.advance(LEASE);
    registry.record_renewal(&member(1, "orders"), 1, LEASE);
    assert!(rollout.record_applied(2));
    assert!(!rollout.record_applied(2));
    rollout.record_peer_version(PEER, 2);
    assert!(!rollout.is_in_force(2, &registry, &[2]));
    registry.record_renewal(&member(1, "orders"), 2, LEASE);
    assert!(rollout.is_in_force(2, &registry, &[2]));
}

#[test]
fn a_peer_without_a_report_delays_the_version_by_one_lease() {
    let clock = VirtualClock::new();
    let registry = NodeRegistry::new(1, 7, clock.clone());
    let rollout = RolloutTracker::new(clock.clone(), LEASE);
    clock.advance(LEASE);
    rollout.record_peer_version(PEER, 1);
    rollout.record_applied(2);
    clock.advance(LEASE / 2);
    assert!(!rollout.is_in_force(2, &registry, &[2]));
    clock.advance(LEASE / 2);
    assert!(rollout.is_in_force(2, &registry, &[2]));
}

#[test]
fn a_restarted_instance_waits_one_lease() {
    let clock = VirtualClock::new();
    let registry = NodeRegistry::new(1, 7, clock.clone());
    let rollout = RolloutTracker::new(clock.clone(), LEASE);
    rollout.record_applied(2);
    assert!(!rollout.is_in_force(2, &registry, &[]));
    clock.advance(LEASE);
    assert!(rollout.is_in_force(2, &registry, &[]));
}

#[test]
fn a_lagging_node_delays_the_version_until_its_lease_ends() {
    let clock = VirtualClock::new();
    let registry = NodeRegistry::new(1, 7, clock.clone());
    let rollout = RolloutTracker::new(clock.clone(), LEASE);
    clock.advance(LEASE);
    registry.record_renewal(&member(1, "orders"), 1, LEASE / 2);
    rollout.record_applied(2);
    assert!(!rollout.is_in_force(2, &registry, &[]));
    clock.advance(LEASE / 2);
    assert_eq!(registry.expire_leases().len(), 1);
    assert!(rollout.is_in_force(2, &registry, &[]));
}
