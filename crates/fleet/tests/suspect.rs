//! Requests that ran when backend servers crashed: which are quarantined, and the bounds.

use std::time::Duration;

use fleet::ConfigStore;
use fleet::StoreEntry;
use fleet::SuspectTable;
use model::exchange::CrashReport;
use model::ids::Fingerprint;
use replica::StateMachine;

/// The request that crashes servers.
const CAUSE: Fingerprint = 7;
/// Time between two crashes that have nothing else in common, in milliseconds.
const APART_MS: u64 = 2_000;
const START_MS: u64 = 1_700_000_000_000;

fn crash(number: u32, suspects: &[Fingerprint]) -> CrashReport {
    CrashReport {
        service: "orders".into(),
        node: 1,
        crash: number,
        suspects: suspects.to_vec(),
    }
}

/// Records crashes with the given suspects, each `gap_ms` after the one before.
fn table(gap_ms: u64, crashes: &[&[Fingerprint]]) -> (SuspectTable, u64) {
    let mut table = SuspectTable::default();
    let mut now_ms = START_MS;
    for (number, suspects) in (1..).zip(crashes) {
        now_ms += gap_ms;
        table.record(&crash(number, suspects), now_ms, u64::from(number));
    }
    (table, now_ms)
}

fn refused(table: &SuspectTable, now_ms: u64) -> Vec<Fingerprint> {
    let requests = table.quarantine(now_ms).requests.into_iter();
    requests.map(|request| request.fingerprint).collect()
}

#[test]
fn one_crash_quarantines_nothing() {
    let (table, now_ms) = table(APART_MS, &[&[CAUSE]]);
    assert!(refused(&table, now_ms).is_empty());
    assert_eq!(table.version(), 0);
}

#[test]
fn the_only_request_that_two_crashes_have_in_common_is_quarantined_for_a_while() {
    let (table, now_ms) = table(APART_MS, &[&[CAUSE, 1, 2], &[3, CAUSE]]);
    assert_eq!(refused(&table, now_ms), [CAUSE]);
    assert!(refused(&table, now_ms + 61_000).is_empty());
}

#[test]
fn requests_that_two_crashes_at_once_have_in_common_are_not_quarantined() {
    let (table, now_ms) = table(10, &[&[CAUSE], &[CAUSE]]);
    assert!(refused(&table, now_ms).is_empty());
}

#[test]
fn several_requests_that_two_crashes_have_in_common_are_not_quarantined() {
    let (table, now_ms) = table(APART_MS, &[&[CAUSE, 1, 2], &[CAUSE, 1]]);
    assert!(refused(&table, now_ms).is_empty());
}

/// Guards against a request that goes on crashing servers after the third one (BUDGET).
#[test]
fn the_third_crash_quarantines_for_long_whatever_else_ran() {
    for gap_ms in [1, APART_MS] {
        let (table, now_ms) = table(gap_ms, &[&[CAUSE, 1, 2], &[CAUSE, 1], &[2, CAUSE]]);
        assert_eq!(refused(&table, now_ms), [CAUSE], "{gap_ms}");
        assert_eq!(refused(&table, now_ms + 3_500_000), [CAUSE], "{gap_ms}");
    }
}

#[test]
fn a_crash_that_is_reported_again_counts_once() {
    let mut table = SuspectTable::default();
    for version in 1..10 {
        table.record(&crash(1, &[CAUSE]), START_MS + version * APART_MS, version);
    }
    assert!(refused(&table, START_MS).is_empty());
}

#[test]
fn a_suspect_is_forgotten_ten_minutes_after_its_last_crash() {
    let (table, now_ms) = table(600_000, &[&[CAUSE], &[CAUSE], &[CAUSE], &[CAUSE]]);
    assert!(refused(&table, now_ms).is_empty());
}

#[test]
fn many_suspects_do_not_displace_one_of_several_crashes() {
    let mut table = SuspectTable::default();
    let mut version = 0;
    let mut record = |table: &mut SuspectTable, suspects: &[Fingerprint]| {
        version += 1;
        let number = u32::try_from(version).unwrap();
        table.record(&crash(number, suspects), START_MS + version * 100, version);
        START_MS + version * 100
    };
    record(&mut table, &[CAUSE, 1]);
    record(&mut table, &[CAUSE, 1]);
    for batch in 0..20 {
        let first = 1_000 + batch * 1_000;
        let innocents: Vec<Fingerprint> = (first..first + 1_000).collect();
        record(&mut table, &innocents);
    }
    let now_ms = record(&mut table, &[CAUSE]);
    assert_eq!(refused(&table, now_ms), [CAUSE]);
    let stored = StoreEntry::Crash {
        report: crash(1, &[CAUSE]),
        at_ms: now_ms,
    };
    assert!(stored.encode().is_ok());
}

#[test]
fn the_quarantine_survives_a_snapshot() {
    let mut store = ConfigStore::default();
    for number in 1..=3 {
        let entry = StoreEntry::Crash {
            report: crash(number, &[CAUSE]),
            at_ms: START_MS,
        };
        store.apply(u64::from(number), &entry.encode().unwrap());
    }
    let mut restored = ConfigStore::default();
    restored.restore(&store.snapshot()).unwrap();
    let list = restored.suspects().quarantine(START_MS);
    assert_eq!(list, store.suspects().quarantine(START_MS));
    assert_eq!(list.version, 3);
    assert_eq!(list.requests[0].time_left, Duration::from_hours(1));
}
