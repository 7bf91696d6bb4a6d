//! Capacity that the entry plan counts for a backend server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fleet::EvacuationList;
use fleet::NodeRecord;
use group::server_capacity;
use model::context::ServerLoad;

/// Guards against a plan that admits requests for servers to which nothing is sent.
#[test]
fn servers_in_an_evacuated_data_centre_have_no_slots() {
    let record = NodeRecord {
        node: 1,
        address: SocketAddr::from(([10, 0, 0, 1], 7001)),
        data_centre: Arc::from("a"),
        service: Arc::from("stock"),
        server: Some(Arc::from("i-1")),
        slots: 8,
        accepts_calls: true,
        warm_up_left: Duration::ZERO,
        load: ServerLoad::default(),
    };
    for (evacuated, slots) in [("a", 0), ("b", 8)] {
        let list = EvacuationList {
            version: 1,
            data_centres: [Arc::from(evacuated)].into(),
        };
        assert_eq!(server_capacity(&record, &list).slots, slots, "{evacuated}");
    }
}
