//! Time and memory to recover a data folder, by size of log and snapshot.
//!
//! Run with `cargo bench -p replica --bench recovery`.

use std::fs;
use std::path::Path;
use std::time::Instant;

use bytes::Bytes;
use quorum::DurableWrite;
use quorum::EntryPayload;
use quorum::LogEntry;
use quorum::LogPosition;
use quorum::Membership;
use quorum::StateSnapshot;
use replica::storage::LogStore;
use replica::storage::StoreConfig;

/// Size of an entry in bytes.
const ENTRY_BYTES: usize = 200;

/// Entries written with one sync.
const BATCH_ENTRIES: u64 = 100;

/// Size of a segment file in bytes.
const SEGMENT_BYTES: u64 = 8 << 20;

/// Bytes in a megabyte.
const MEGABYTE: usize = 1 << 20;

fn config(folder: &Path) -> StoreConfig {
    StoreConfig {
        data_dir: folder.to_owned(),
        instance: 1,
        initial_members: vec![1],
        join: false,
        segment_bytes: SEGMENT_BYTES,
    }
}

/// Writes a snapshot and `entries` entries after it.
fn fill(folder: &Path, snapshot_bytes: usize, entries: u64) {
    let (mut store, _) = LogStore::open(&config(folder)).expect("the folder opens");
    let last_included = LogPosition { index: 1, term: 1 };
    let snapshot = StateSnapshot {
        last_included,
        membership: Membership::initial(&[1]),
        state: Bytes::from(vec![7; snapshot_bytes]),
    };
    store
        .write(&[DurableWrite::Install(snapshot)])
        .expect("the disk writes");
    let mut index = 2;
    while index < entries + 2 {
        let batch = (index..index + BATCH_ENTRIES)
            .map(|index| LogEntry {
                position: LogPosition { index, term: 1 },
                payload: EntryPayload::Command(Bytes::from(vec![7; ENTRY_BYTES])),
            })
            .collect();
        store
            .write(&[DurableWrite::Append(batch)])
            .expect("the disk writes");
        index += BATCH_ENTRIES;
    }
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes
        .and_then(|text| text.parse::<usize>().ok())
        .unwrap_or(0)
        * 1024
}

fn measure(snapshot_mb: usize, entries: u64) {
    let root = tempfile::tempdir_in(env!("CARGO_TARGET_TMPDIR")).expect("a folder");
    fill(root.path(), snapshot_mb * MEGABYTE, entries);
    let before = resident_bytes();
    let begin = Instant::now();
    let (store, recovered) = LogStore::open(&config(root.path())).expect("the folder opens");
    let took = begin.elapsed();
    let grown = resident_bytes().saturating_sub(before);
    assert_eq!(recovered.state.entries.len() as u64, entries);
    println!(
        "{snapshot_mb:>11} {entries:>9} {:>8.1} {:>8} {:>9}",
        took.as_secs_f64() * 1_000.0,
        grown / MEGABYTE,
        (grown as u64).checked_div(entries).unwrap_or(0),
    );
    drop(store);
}

fn main() {
    println!("snapshot_MB   entries  open_ms grown_MB B/entry");
    for (snapshot_mb, entries) in [(0, 10_000), (0, 100_000), (0, 400_000), (16, 0), (64, 0)] {
        measure(snapshot_mb, entries);
    }
}
