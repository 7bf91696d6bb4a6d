//! When a node refuses calls to its own backend server, since its data centre is evacuated.

use std::time::Duration;
use std::time::Instant;

use proxy::LocalEvacuation;

/// Guards against refused calls that other nodes sent in time, and against an order that is
/// confirmed again and again and so never comes into force.
#[test]
fn calls_are_refused_one_second_after_the_first_news_of_an_evacuation() {
    let start = Instant::now();
    let after = |ms: u64| start + Duration::from_millis(ms);
    let mut evacuation = LocalEvacuation::default();
    assert!(!evacuation.is_known());
    evacuation.apply(false, start);
    evacuation.apply(true, start);
    evacuation.apply(true, after(500));
    assert!(!evacuation.refuses(after(999)));
    assert!(evacuation.refuses(after(1_000)));
    evacuation.apply(false, after(1_000));
    assert!(!evacuation.refuses(after(2_000)));
}

/// Guards against calls that run after the node was started again in an evacuated data centre.
#[test]
fn a_node_that_starts_in_an_evacuated_data_centre_refuses_calls_at_once() {
    let start = Instant::now();
    let mut evacuation = LocalEvacuation::default();
    evacuation.apply(true, start);
    assert!(evacuation.refuses(start));
}
