//! Cuts learned from answers, on virtual time.

use std::time::Duration;

use admit::CutBook;
use admit::CutList;
use admit::merge_cuts;
use clock::VirtualClock;
use model::context::CallRank;
use model::context::ThresholdNotice;
use model::ids::RouteName;
use model::verdict::FailureCause;
use model::verdict::RunVerdict;

fn notice(service: &str, cut: u32) -> ThresholdNotice {
    ThresholdNotice {
        service: service.into(),
        threshold: CallRank(cut),
    }
}

#[test]
fn ranks_below_the_highest_cut_of_the_route_are_refused_and_no_others() {
    let mut book = CutBook::new(VirtualClock::new());
    let route: RouteName = "orders".into();
    let other: RouteName = "patterns".into();
    book.learn(&route, &[notice("desk", 100), notice("stock", 300)]);
    let failure = book.check(&route, CallRank(299)).unwrap_err();
    assert_eq!(failure.cause, FailureCause::Overloaded);
    assert_eq!(failure.verdict, RunVerdict::NotRun);
    assert!(book.check(&route, CallRank(300)).is_ok());
    assert!(book.check(&other, CallRank(0)).is_ok());
    assert_eq!(book.notices(&route).len(), 2);
}

#[test]
fn one_member_among_many_does_not_set_the_cut() {
    let mut book = CutBook::new(VirtualClock::new());
    let route: RouteName = "orders".into();
    for call in 0..64 {
        let cuts = [notice("stock", 900)];
        let sick = call % 4 == 0;
        book.learn(&route, if sick { &cuts } else { &[] });
    }
    assert_eq!(book.cut(&route), CallRank::MIN);
}

#[test]
fn a_cut_that_nobody_refreshes_fades_within_two_seconds() {
    let clock = VirtualClock::new();
    let mut book = CutBook::new(clock.clone());
    let route: RouteName = "orders".into();
    book.learn(&route, &[notice("stock", u32::MAX)]);
    let mut last = book.cut(&route);
    for _ in 0..20 {
        clock.advance(Duration::from_millis(100));
        assert!(book.cut(&route) <= last);
        last = book.cut(&route);
    }
    assert_eq!(last, CallRank::MIN);
    assert!(book.notices(&route).is_empty());
}

#[test]
fn answers_without_the_cut_end_it() {
    let mut book = CutBook::new(VirtualClock::new());
    let route: RouteName = "orders".into();
    book.learn(&route, &[notice("stock", 500)]);
    for _ in 0..8 {
        book.learn(&route, &[]);
    }
    assert_eq!(book.cut(&route), CallRank::MIN);
}

#[test]
fn merging_keeps_the_highest_cut_of_each_service() {
    let mut cuts = CutList::new();
    merge_cuts(&mut cuts, &[notice("stock", 5), notice("desk", 7)]);
    merge_cuts(&mut cuts, &[notice("stock", 9), notice("desk", 1)]);
    assert_eq!(cuts.as_slice(), [notice("stock", 9), notice("desk", 7)]);
}
