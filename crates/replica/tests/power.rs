//! What a process reads when it starts is on the disk before it counts as stored.

use std::fmt::Debug;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;

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

/// Collects the paths that the storage reports as synced.
#[derive(Clone, Default)]
struct SyncRecorder {
    paths: Arc<Mutex<Vec<String>>>,
}

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
        event.record(&mut self.clone());
    }

    fn enter(&self, _span: &Id) {}

    fn exit(&self, _span: &Id) {}
}

impl Visit for SyncRecorder {
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        if field.name() == "path" {
            self.paths.lock().unwrap().push(format!("{value:?}"));
        }
    }
}

fn config(folder: &TempDir) -> StoreConfig {
    StoreConfig {
        data_dir: folder.path().join("data"),
        instance: 1,
        initial_members: vec![1, 2, 3],
        join: false,
        segment_bytes: 1 << 20,
    }
}

/// Opens the folder and returns the paths that were synced meanwhile.
fn synced_by_opening(folder: &TempDir) -> Vec<String> {
    let recorder = SyncRecorder::default();
    tracing::subscriber::with_default(recorder.clone(), || {
        LogStore::open(&config(folder)).unwrap();
    });
    let paths = recorder.paths.lock().unwrap();
    paths.clone()
}

fn contains(paths: &[String], path: &Path) -> bool {
    paths.contains(&path.display().to_string())
}

fn folder_with_an_entry() -> TempDir {
    let folder = TempDir::new().unwrap();
    let (mut store, _) = LogStore::open(&config(&folder)).unwrap();
    let entry = LogEntry {
        position: LogPosition { index: 1, term: 1 },
        payload: EntryPayload::Command(Bytes::from_static(b"entry")),
    };
    store.write(&[DurableWrite::Append(vec![entry])]).unwrap();
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
