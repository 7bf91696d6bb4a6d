//! Ports of process groups are unique within a group.

use std::collections::HashSet;

use bench::group::PortPool;

/// Enough that a pool without memory would almost certainly repeat a port.
const PORTS: usize = 4_000;

#[test]
fn no_port_is_handed_out_twice() {
    let pool = PortPool::new();
    let mut ports = HashSet::new();
    for _ in 0..PORTS {
        let port = pool.tcp().expect("a port");
        assert!(ports.insert(port), "{port} was handed out twice");
    }
}
