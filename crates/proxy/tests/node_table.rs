//! No node in an evacuated data centre is picked, in whatever order messages arrive.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fleet::EvacuationList;
use fleet::NodeRecord;
use model::context::ServerLoad;
use model::ids::NodeId;
use proxy::NodeTable;

/// The node itself, in data centre "a", and a node in data centre "b".
const OWN: NodeId = 1;
const OTHER: NodeId = 2;
/// Messages: the node list whole and as a change, the node's record of its own server, the
/// evacuated data centres, and the earlier ones from a control instance that was cut off.
const MESSAGES: usize = 5;
const EVACUATIONS: usize = 3;

fn record(node: NodeId) -> NodeRecord {
    NodeRecord {
        node,
        address: SocketAddr::from(([10, 0, 0, 1], u16::try_from(node).unwrap())),
        data_centre: Arc::from(if node == OWN { "a" } else { "b" }),
        service: Arc::from("stock"),
        server: Some(Arc::from("i-1")),
        slots: 8,
        accepts_calls: true,
        warm_up_left: Duration::ZERO,
        load: ServerLoad::default(),
    }
}

fn evacuations(version: u64, data_centre: Option<&str>) -> EvacuationList {
    EvacuationList {
        version,
        data_centres: data_centre.into_iter().map(Arc::from).collect(),
    }
}

fn apply(table: &mut NodeTable, message: usize, evacuated: &str, now: Instant) {
    let records = vec![record(OWN), record(OTHER)];
    match message {
        0 => table.apply_list(1, records, true, now),
        1 => assert!(table.apply_changes(0, 2, records, &[], now)),
        2 => table.upsert(record(OWN), now),
        EVACUATIONS => assert!(table.apply_evacuations(evacuations(7, Some(evacuated)))),
        _ => assert_eq!(
            table.apply_evacuations(evacuations(5, None)),
            table.evacuation_version() == Some(5)
        ),
    }
}

/// Returns whether a node is picked when the other is excluded.
fn picks(table: &mut NodeTable, node: NodeId, now: Instant) -> bool {
    table
        .pick("stock", None, &[OWN + OTHER - node], now)
        .is_some()
}

/// Applies all orders of the messages; neither may `evacuated`, in data centre `name`, be picked
/// from the evacuation on, nor may it prevent that `other` is.
fn check_all_orders(name: &str, evacuated: NodeId, other: NodeId) {
    let now = Instant::now();
    arbtest::arbtest(|random| {
        let mut rest: Vec<usize> = (0..MESSAGES).collect();
        let mut table = NodeTable::new(OWN, Arc::from("a"));
        let mut is_known = false;
        while !rest.is_empty() {
            let message = rest.remove(random.choose_index(rest.len())?);
            apply(&mut table, message, name, now);
            is_known |= message == EVACUATIONS;
            assert!(!is_known || !picks(&mut table, evacuated, now), "{message}");
        }
        assert!(picks(&mut table, other, now));
        // Withdrawn, the data centre is in use again.
        assert!(table.apply_evacuations(evacuations(9, None)));
        assert!(picks(&mut table, evacuated, now));
        Ok(())
    });
}

#[test]
fn an_evacuated_data_centre_is_not_picked_in_any_order_of_messages() {
    check_all_orders("b", OTHER, OWN);
}

/// Guards against the node's record of its own server, which it applies by itself.
#[test]
fn the_own_server_is_not_picked_in_an_evacuated_data_centre() {
    check_all_orders("a", OWN, OTHER);
}
