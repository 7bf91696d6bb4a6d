//! Which control instances a node tries.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use proxy::ControlInstances;

fn address(last: u8) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 0, last)), 7000)
}

fn addresses(last: &[u8]) -> Vec<SocketAddr> {
    last.iter().copied().map(address).collect()
}

/// Returns what is tried in `count` turns.
fn tried(instances: &mut ControlInstances, seeds: &[u8], count: usize) -> BTreeSet<SocketAddr> {
    let seeds = addresses(seeds);
    (0..count).map(|_| instances.next(&seeds)).collect()
}

// Guards against removed instances that hide the group from nodes: each names the members that it
// knew, which may all be gone, and nodes forgot those that a leader had named.
#[test]
fn an_instance_that_does_not_lead_hides_no_member() {
    let mut instances = ControlInstances::new(0);
    instances.set_members(addresses(&[4, 5, 6]));
    for _ in 0..3 {
        instances.suggest(None, addresses(&[1, 2, 3]));
    }
    let all = addresses(&[1, 2, 3, 4, 5, 6]);
    assert_eq!(
        tried(&mut instances, &[1, 2, 3], 6),
        all.into_iter().collect()
    );
}

#[test]
fn a_leader_that_was_named_is_tried_first_and_once() {
    let mut instances = ControlInstances::new(0);
    instances.suggest(Some(address(9)), addresses(&[1, 2]));
    assert_eq!(instances.next(&addresses(&[1])), address(9));
    assert!(!tried(&mut instances, &[1], 4).contains(&address(9)));
}

#[test]
fn a_confirmed_leader_replaces_all_that_was_named_before() {
    let mut instances = ControlInstances::new(0);
    instances.set_members(addresses(&[1, 2, 3]));
    instances.suggest(None, addresses(&[4]));
    instances.set_members(addresses(&[5, 6]));
    let expected = addresses(&[5, 6, 7]);
    assert_eq!(
        tried(&mut instances, &[7], 3),
        expected.into_iter().collect()
    );
}

#[test]
fn remembered_instances_are_bounded() {
    let mut instances = ControlInstances::new(0);
    let many: Vec<u8> = (1..=200).collect();
    instances.set_members(addresses(&many));
    instances.suggest(None, addresses(&many[100..]));
    assert!(tried(&mut instances, &[1], 1000).len() <= 32);
}
