//! The time of a request runs from its arrival, however many reads that took.

use std::time::Duration;
use std::time::Instant;

use proxy::ArrivalTimes;

#[test]
fn what_is_used_arrived_with_the_read_that_held_its_last_byte() {
    let start = Instant::now();
    let at = |second| start + Duration::from_secs(second);
    let mut arrivals = ArrivalTimes::default();
    assert_eq!(arrivals.of_used(0), None);
    arrivals.note(10, at(1));
    arrivals.note(10, at(2));
    // 15 of 20 bytes are used: the 15th came with the second read.
    assert_eq!(arrivals.of_used(10), Some(at(1)));
    assert_eq!(arrivals.of_used(5), Some(at(2)));
    arrivals.note(10, at(9));
    assert_eq!(arrivals.of_used(10), Some(at(2)));
    assert_eq!(arrivals.of_used(0), Some(at(9)));
}

#[test]
fn a_caller_that_sends_byte_by_byte_gains_no_time() {
    let start = Instant::now();
    let mut arrivals = ArrivalTimes::default();
    for second in 0..1_000 {
        arrivals.note(1, start + Duration::from_secs(second));
    }
    let counted = arrivals.of_used(0).unwrap();
    assert!(counted <= start + Duration::from_secs(999));
    // What arrives once all of it is used has its own time.
    let later = start + Duration::from_secs(2_000);
    arrivals.note(1, later);
    assert_eq!(arrivals.of_used(0), Some(later));
}
