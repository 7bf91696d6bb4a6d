//! What a process reads when it starts is on the disk before it counts as stored.

use std::cell::RefCell;
use std::fmt::Debug;
use std::path::Path;
use std::sync::Once;

use bytes::Bytes;
use quorum::DurableWrite;
use quorum::EntryPayload;
use quorum::LogEntry;
use quorum::LogPosition;
use replica::storage::LogStore;
use replica::storage::StoreConfig;
use tempfile::TempDir;
use tracing::Event;
use tracing::Metadata;
use tracing::Subscriber;
use tracing::field::Field;
use tracing::field::Visit;
use tracing::span::Attributes;
use tracing::span::Id;
use tracing::span::Record;

thread_local! {
    /// Paths that were synced on this thread.
    static SYNCED_PATHS: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

/// Collects the paths that the storage reports as synced, for each thread.
struct SyncRecorder;

impl Subscriber for SyncRecorder {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn new_span(&self, _attributes: &Attributes<'_>) -> Id {
        Id::from_u64(1)
    }

    fn record(&self, _span: &Id, _values: &Record<'_>) {}

    fn record_follows_from(&self, _span: &Id, _follows: &Id) {}

    fn event(&self, event: &Event<'_>) {
        event.record(&mut Self);
    }

    fn enter(&self, _span: &Id) {}

    fn exit(&self, _span: &Id) {}
}

impl Visit for SyncRecorder {
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        if field.name() == "path" {
            SYNCED_PATHS.with_borrow_mut(|paths| paths.push(format!("{value:?}")));
        }
    }
}

/// Returns the settings of a store whose syncs are recorded.
fn config(folder: &TempDir) -> StoreConfig {
    static RECORDER: Once = Once::new();
    RECORDER.call_once(|| tracing::subscriber::set_global_default(SyncRecorder).unwrap());
    StoreConfig {
        data_dir: folder.path().join("data"),
        instance: 1,
        initial_members: vec![1, 2, 3],
        join: false,
        segment_bytes: 1 << 20,
    }
}

/// Returns the paths that were synced during `work`.
fn synced_during(work: impl FnOnce()) -> Vec<String> {
    SYNCED_PATHS.take();
    work();
    SYNCED_PATHS.take()
}

/// Opens the folder and returns the paths that were synced meanwhile.
fn synced_by_opening(folder: &TempDir) -> Vec<String> {
    synced_during(|| {
        LogStore::open(&config(folder)).unwrap();
    })
}

fn append(index: u64) -> DurableWrite {
    DurableWrite::Append(vec![LogEntry {
        position: LogPosition { index, term: 1 },
        payload: EntryPayload::Command(Bytes::from_static(b"entry")),
    }])
}

fn contains(paths: &[String], path: &Path) -> bool {
    paths.contains(&path.display().to_string())
}

fn folder_with_an_entry() -> TempDir {
    let folder = TempDir::new().unwrap();
    let (mut store, _) = LogStore::open(&config(&folder)).unwrap();
    store.write(&[append(1)]).unwrap();
    folder
}

#[test]
fn entries_that_a_killed_process_did_not_sync_are_synced_when_they_are_read() {
    let folder = folder_with_an_entry();
    let segment = folder.path().join("data/log/0000000000000001.log");
    assert!(segment.exists());
    let synced = synced_by_opening(&folder);
    assert!(contains(&synced, &segment), "{synced:?}");
}

#[test]
fn names_that_a_killed_process_did_not_sync_are_synced_when_they_are_read() {
    let folder = folder_with_an_entry();
    let synced = synced_by_opening(&folder);
    for holder in ["", "data", "data/log", "data/snapshot"] {
        let path = folder.path().join(holder);
        let path = Path::new(path.to_str().unwrap().trim_end_matches('/'));
        assert!(contains(&synced, path), "{path:?} of {synced:?}");
    }
}

#[test]
fn removed_segments_leave_no_gap_when_power_is_lost() {
    let folder = TempDir::new().unwrap();
    let mut config = config(&folder);
    config.segment_bytes = 1;
    let (mut store, _) = LogStore::open(&config).unwrap();
    for index in 1..=5 {
        store.write(&[append(index)]).unwrap();
    }
    let synced = synced_during(|| store.remove_segments_through(5).unwrap());
    let log = folder.path().join("data/log").display().to_string();
    // A removal that is not synced may be undone alone, so that the later ones leave a gap.
    assert!(synced.iter().filter(|path| **path == log).count() >= 5);
}
