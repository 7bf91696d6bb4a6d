//! Rank thresholds learned from responses, in virtual time.

use std::time::Duration;

use admit::ThresholdList;
use admit::ThresholdTable;
use admit::merge_thresholds;
use clock::VirtualClock;
use model::context::CallRank;
use model::context::ThresholdNotice;
use model::ids::RouteName;
use model::verdict::FailureCause;
use model::verdict::RunVerdict;

fn notice(service: &str, threshold: u32) -> ThresholdNotice {
    ThresholdNotice {
        service: service.into(),
        threshold: CallRank(threshold),
    }
}

#[test]
fn only_ranks_below_the_highest_threshold_of_the_route_are_refused() {
    let mut table = ThresholdTable::new(VirtualClock::new());
    let route: RouteName = "orders".into();
    let other: RouteName = "patterns".into();
    table.learn(&route, &[notice("desk", 100), notice("stock", 300)]);
    let failure = table.check(&route, CallRank(299)).unwrap_err();
    assert_eq!(failure.cause, FailureCause::Overloaded);
    assert_eq!(failure.verdict, RunVerdict::NotRun);
    assert!(table.check(&route, CallRank(300)).is_ok());
    assert!(table.check(&other, CallRank(0)).is_ok());
    assert_eq!(table.notices(&route).len(), 2);
}

#[test]
fn one_server_among_many_does_not_set_the_threshold() {
    let mut table = ThresholdTable::new(VirtualClock::new());
    let route: RouteName = "orders".into();
    for call in 0..64 {
        let notices = [notice("stock", 900)];
        let overloaded = call % 4 == 0;
        table.learn(&route, if overloaded { &notices } else { &[] });
    }
    assert_eq!(table.threshold(&route), CallRank::MIN);
}

#[test]
fn a_threshold_that_is_not_refreshed_decays_within_two_seconds() {
    let clock = VirtualClock::new();
    let mut table = ThresholdTable::new(clock.clone());
    let route: RouteName = "orders".into();
    table.learn(&route, &[notice("stock", u32::MAX)]);
    let mut last = table.threshold(&route);
    for _ in 0..20 {
        clock.advance(Duration::from_millis(100));
        assert!(table.threshold(&route) <= last);
        last = table.threshold(&route);
    }
    assert_eq!(last, CallRank::MIN);
    assert!(table.notices(&route).is_empty());
}

#[test]
fn responses_without_the_threshold_remove_it() {
    let mut table = ThresholdTable::new(VirtualClock::new());
    let route: RouteName = "orders".into();
    table.learn(&route, &[notice("stock", 500)]);
    for _ in 0..8 {
        table.learn(&route, &[]);
    }
    assert_eq!(table.threshold(&route), CallRank::MIN);
}

#[test]
fn merging_keeps_the_highest_threshold_of_each_service() {
    let mut thresholds = ThresholdList::new();
    merge_thresholds(&mut thresholds, &[notice("stock", 5), notice("desk", 7)]);
    merge_thresholds(&mut thresholds, &[notice("stock", 9), notice("desk", 1)]);
    assert_eq!(
        thresholds.as_slice(),
        [notice("stock", 9), notice("desk", 7)]
    );
}
