//! Evacuated data centres in the replicated state.

use std::sync::Arc;

use fleet::ChangeOutcome;
use fleet::ConfigStore;
use fleet::StoreEntry;
use replica::LogIndex;
use replica::StateMachine;

/// Applies an order; returns the version of the list and the names in it.
fn apply(store: &mut ConfigStore, index: LogIndex, name: &str, active: bool) -> (u64, String) {
    let data_centre = Arc::from(name);
    let entry = StoreEntry::Evacuation {
        data_centre,
        active,
    };
    let outcome = store.apply(index, &entry.encode().unwrap());
    assert_eq!(outcome, ChangeOutcome::Accepted);
    let list = store.evacuations();
    (
        list.version,
        list.data_centres.iter().map(|name| &**name).collect(),
    )
}

/// Guards against a retried order that is refused, or sent to all nodes as a change.
#[test]
fn only_orders_that_change_something_change_the_version() {
    let mut store = ConfigStore::default();
    assert_eq!(apply(&mut store, 3, "a", false), (0, String::new()));
    assert_eq!(apply(&mut store, 7, "b", true), (7, "b".to_owned()));
    assert_eq!(apply(&mut store, 8, "b", true), (7, "b".to_owned()));
    assert_eq!(apply(&mut store, 9, "a", true), (9, "ab".to_owned()));
    assert_eq!(apply(&mut store, 10, "b", false), (10, "a".to_owned()));
}

/// Guards against an order that an instance loses when it gets the state as a snapshot.
#[test]
fn a_snapshot_contains_the_evacuated_data_centres() {
    let mut store = ConfigStore::default();
    apply(&mut store, 7, "b", true);
    let mut restored = ConfigStore::default();
    restored.restore(&store.snapshot()).unwrap();
    assert_eq!(restored.evacuations(), store.evacuations());
    assert!(restored.evacuations().contains("b"));
}
