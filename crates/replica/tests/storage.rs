//! Recovery of a damaged data folder: torn tails, corrupt records, unknown versions, and crashes
//! between write and rename.

use std::fs;
use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use bytes::Bytes;
use quorum::DurableWrite;
use quorum::EntryPayload;
use quorum::LogEntry;
use quorum::LogPosition;
use quorum::Membership;
use quorum::StateSnapshot;
use replica::storage::LogStore;
use replica::storage::RecoveredState;
use replica::storage::StorageError;
use replica::storage::StoreConfig;
use tempfile::TempDir;

/// Length of a file's header in bytes.
const HEADER_BYTES: u64 = 16;

fn config(folder: &TempDir) -> StoreConfig {
    StoreConfig {
        data_dir: folder.path().join("data"),
        instance: 1,
        initial_members: vec![1, 2, 3],
        join: false,
        segment_bytes: 1 << 20,
    }
}

fn open(folder: &TempDir) -> Result<(LogStore, RecoveredState), StorageError> {
    LogStore::open(&config(folder))
}

fn reopen(folder: &TempDir) -> RecoveredState {
    open(folder).expect("the folder opens").1
}

fn entry(index: u64, term: u64) -> LogEntry {
    LogEntry {
        position: LogPosition { index, term },
        payload: EntryPayload::Command(Bytes::from(format!("entry {index} of term {term}"))),
    }
}

fn append(index: u64, term: u64) -> DurableWrite {
    DurableWrite::Append(vec![entry(index, term)])
}

fn snapshot(index: u64, term: u64) -> StateSnapshot {
    StateSnapshot {
        last_included: LogPosition { index, term },
        membership: Membership::initial(&[1, 2, 3]),
        state: Bytes::from(vec![42; 3 << 20]),
    }
}

/// Writes entries 1 to `count`, each with a sync of its own.
fn write_entries(folder: &TempDir, count: u64) {
    let (mut store, _) = open(folder).expect("the folder opens");
    for index in 1..=count {
        store.write(&[append(index, 1)]).expect("the disk writes");
    }
}

fn files(folder: &TempDir, kind: &str) -> Vec<PathBuf> {
    let mut paths: Vec<PathBuf> = fs::read_dir(config(folder).data_dir.join(kind))
        .expect("the folder exists")
        .map(|item| item.expect("it lists").path())
        .collect();
    paths.sort();
    paths
}

fn last_segment(folder: &TempDir) -> PathBuf {
    files(folder, "log").pop().expect("a segment")
}

fn flip_bit(path: &Path, offset: u64) {
    let mut content = fs::read(path).expect("it reads");
    let position = usize::try_from(offset).expect("the file is small");
    content[position] ^= 0x40;
    fs::write(path, content).expect("it writes");
}

#[test]
fn reopening_restores_the_vote_and_replaces_conflicting_entries() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut store, first) = open(&folder).expect("the folder opens");
    let vote = DurableWrite::Vote {
        term: 7,
        vote: Some(3),
    };
    store
        .write(&[append(1, 1), append(2, 1), append(3, 1), vote])
        .expect("the disk writes");
    store.write(&[append(2, 7)]).expect("the disk writes");
    drop(store);
    for _ in 0..3 {
        let recovered = reopen(&folder);
        assert_eq!(recovered.identity, first.identity);
        assert_eq!((recovered.state.term, recovered.state.vote), (7, Some(3)));
        assert_eq!(recovered.state.entries, vec![entry(1, 1), entry(2, 7)]);
    }
}

// A crash during a write can leave any prefix of the last segment.
#[test]
fn torn_tail_of_any_length_is_truncated() {
    let whole = tempfile::tempdir().expect("a folder");
    write_entries(&whole, 3);
    let path = last_segment(&whole);
    let content = fs::read(&path).expect("it reads");
    let name = path.file_name().expect("a name").to_owned();
    write_entries(&whole, 0);
    let mut counts = Vec::new();
    for length in 0..=content.len() {
        let folder = tempfile::tempdir().expect("a folder");
        write_entries(&folder, 0);
        fs::write(
            config(&folder).data_dir.join("log").join(&name),
            &content[..length],
        )
        .expect("it writes");
        let count = reopen(&folder).state.entries.len();
        assert_eq!(
            reopen(&folder).state.entries.len(),
            count,
            "the truncation is durable"
        );
        counts.push(count);
    }
    assert!(counts.is_sorted());
    assert_eq!((counts[0], counts.last()), (0, Some(&3)));
    assert!([1, 2].iter().all(|count| counts.contains(count)));
}

#[test]
fn torn_tail_of_zeros_is_truncated() {
    let folder = tempfile::tempdir().expect("a folder");
    write_entries(&folder, 2);
    let mut file = OpenOptions::new()
        .append(true)
        .open(last_segment(&folder))
        .expect("it opens");
    file.write_all(&[0; 4_096]).expect("it writes");
    assert_eq!(reopen(&folder).state.entries.len(), 2);
    assert_eq!(reopen(&folder).state.entries.len(), 2);
}

#[test]
fn corrupt_record_before_the_end_is_reported_with_file_and_offset() {
    let whole = tempfile::tempdir().expect("a folder");
    write_entries(&whole, 3);
    let path = last_segment(&whole);
    let length = fs::metadata(&path).expect("it exists").len();
    let frame = (length - HEADER_BYTES) / 4;
    for offset in HEADER_BYTES..length - 2 * frame {
        flip_bit(&path, offset);
        let refused = open(&whole)
            .map(|_| ())
            .expect_err("the damage is detected");
        let StorageError::Corrupt {
            path: error_path,
            offset: start,
        } = &refused
        else {
            panic!("offset {offset}: {refused}");
        };
        assert_eq!(error_path, &path);
        assert!(*start <= offset && offset - start <= 2 * frame, "{refused}");
        assert!(refused.to_string().contains(&path.display().to_string()));
        flip_bit(&path, offset);
    }
    assert_eq!(reopen(&whole).state.entries.len(), 3);
}

#[test]
fn damage_in_an_earlier_segment_is_refused() {
    let folder = tempfile::tempdir().expect("a folder");
    write_entries(&folder, 3);
    let path = last_segment(&folder);
    reopen(&folder);
    assert_ne!(path, last_segment(&folder));
    let length = fs::metadata(&path).expect("it exists").len();
    flip_bit(&path, length - 1);
    assert!(matches!(open(&folder), Err(StorageError::Corrupt { .. })));
}

#[test]
fn missing_segment_is_refused() {
    let folder = tempfile::tempdir().expect("a folder");
    write_entries(&folder, 3);
    let path = last_segment(&folder);
    reopen(&folder);
    reopen(&folder);
    let middle = files(&folder, "log")
        .into_iter()
        .find(|other| *other > path)
        .expect("a later segment");
    fs::remove_file(middle).expect("the file is removed");
    assert!(matches!(open(&folder), Err(StorageError::Gap { .. })));
}

#[test]
fn unknown_versions_are_refused() {
    let folder = tempfile::tempdir().expect("a folder");
    write_entries(&folder, 1);
    let (mut store, _) = open(&folder).expect("the folder opens");
    let installed = snapshot(5, 1);
    store
        .write(&[DurableWrite::Install(installed)])
        .expect("the disk writes");
    drop(store);
    let identity = config(&folder).data_dir.join("identity");
    let paths = [
        files(&folder, "log").remove(0),
        files(&folder, "snapshot").remove(0),
        identity,
    ];
    for path in paths {
        let content = fs::read(&path).expect("it reads");
        let mut changed = content.clone();
        changed[8] = 9;
        let checksum = crc32fast::hash(&changed[..12]);
        changed[12..16].copy_from_slice(&checksum.to_le_bytes());
        fs::write(&path, changed).expect("it writes");
        let refused = open(&folder)
            .map(|_| ())
            .expect_err("the version is refused");
        assert!(
            matches!(refused, StorageError::UnsupportedVersion { found: 9, .. }),
            "{refused}"
        );
        fs::write(&path, content).expect("it writes");
    }
    reopen(&folder);
}

#[test]
fn corrupt_snapshot_is_refused() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut store, _) = open(&folder).expect("the folder opens");
    let installed = snapshot(5, 1);
    store
        .write(&[DurableWrite::Install(installed)])
        .expect("the disk writes");
    drop(store);
    let path = files(&folder, "snapshot").remove(0);
    flip_bit(&path, 2 << 20);
    assert!(matches!(open(&folder), Err(StorageError::Corrupt { .. })));
    let length = fs::metadata(&path).expect("it exists").len();
    flip_bit(&path, 2 << 20);
    let file = OpenOptions::new()
        .write(true)
        .open(&path)
        .expect("it opens");
    file.set_len(length - 1).expect("it shrinks");
    assert!(matches!(open(&folder), Err(StorageError::Corrupt { .. })));
}

#[test]
fn crash_before_a_rename_keeps_the_earlier_state() {
    let folder = tempfile::tempdir().expect("a folder");
    write_entries(&folder, 3);
    let data = config(&folder).data_dir;
    fs::write(data.join("snapshot").join("0000000000000002.tmp"), b"half").expect("it writes");
    fs::write(data.join("identity.tmp"), b"half").expect("it writes");
    let recovered = reopen(&folder);
    assert_eq!(recovered.state.entries.len(), 3);
    assert!(recovered.state.snapshot.is_none());
    assert!(files(&folder, "snapshot").is_empty());
}

// An installed snapshot is saved before its reset record is synced; a crash in between leaves the
// older entries, which conflict with the snapshot.
#[test]
fn crash_between_snapshot_file_and_reset_record_discards_the_conflicting_log() {
    let folder = tempfile::tempdir().expect("a folder");
    write_entries(&folder, 3);
    let other = tempfile::tempdir().expect("a folder");
    let (mut store, _) = open(&other).expect("the folder opens");
    let installed = snapshot(2, 9);
    store
        .write(&[DurableWrite::Install(installed.clone())])
        .expect("the disk writes");
    let path = files(&other, "snapshot").remove(0);
    let name = path.file_name().expect("a name");
    fs::copy(&path, config(&folder).data_dir.join("snapshot").join(name)).expect("it copies");
    let recovered = reopen(&folder);
    assert_eq!(recovered.state.snapshot, Some(installed));
    assert!(recovered.state.entries.is_empty());
    let (mut store, _) = open(&folder).expect("the folder opens");
    store.write(&[append(3, 9)]).expect("the disk writes");
    drop(store);
    assert_eq!(reopen(&folder).state.entries, vec![entry(3, 9)]);
}

#[test]
fn segments_up_to_a_snapshot_are_removed() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut small = config(&folder);
    small.segment_bytes = 200;
    let (mut store, _) = LogStore::open(&small).expect("the folder opens");
    for index in 1..=50 {
        store.write(&[append(index, 1)]).expect("the disk writes");
    }
    let before = files(&folder, "log").len();
    let path = config(&folder).data_dir.join("snapshot");
    let other = tempfile::tempdir().expect("a folder");
    let (mut source, _) = open(&other).expect("the folder opens");
    source
        .write(&[DurableWrite::Install(snapshot(40, 1))])
        .expect("the disk writes");
    let saved = files(&other, "snapshot").remove(0);
    fs::copy(&saved, path.join(saved.file_name().expect("a name"))).expect("it copies");
    store.remove_segments_through(40).expect("the disk removes");
    assert!(files(&folder, "log").len() < before / 2);
    drop(store);
    let recovered = reopen(&folder);
    let expected: Vec<LogEntry> = (41..=50).map(|index| entry(index, 1)).collect();
    assert_eq!(recovered.state.entries, expected);
}

#[test]
fn folder_is_bound_to_one_instance_and_locked_by_one_process() {
    let folder = tempfile::tempdir().expect("a folder");
    let (store, _) = open(&folder).expect("the folder opens");
    assert!(matches!(open(&folder), Err(StorageError::Locked { .. })));
    drop(store);
    let mut other = config(&folder);
    other.instance = 2;
    let refused = LogStore::open(&other).map(|_| ());
    assert!(matches!(
        refused,
        Err(StorageError::OtherInstance {
            expected: 2,
            found: 1,
            ..
        })
    ));
    fs::remove_file(config(&folder).data_dir.join("identity")).expect("the file is removed");
    assert!(matches!(
        open(&folder),
        Err(StorageError::MissingIdentity { .. })
    ));
}

#[test]
fn a_segment_that_cannot_be_examined_is_not_taken_for_a_missing_one() {
    let folder = TempDir::new().expect("a folder");
    let (mut store, _) = open(&folder).expect("the folder opens");
    store.write(&[append(1, 1)]).expect("the disk works");
    drop(store);
    // Examining a link without a target fails.
    let segment = folder.path().join("data/log/0000000000000002.log");
    std::os::unix::fs::symlink(folder.path().join("nowhere"), segment).expect("a link");
    assert!(matches!(open(&folder), Err(StorageError::Io { .. })));
}

#[test]
fn a_segment_whose_header_was_lost_with_the_power_is_created_again() {
    let folder = TempDir::new().expect("a folder");
    write_entries(&folder, 3);
    drop(open(&folder).expect("the folder opens"));
    let segment = last_segment(&folder);
    let mut content = fs::read(&segment).expect("the segment is read");
    content[..usize::try_from(HEADER_BYTES).expect("a small number")].fill(0);
    fs::write(&segment, content).expect("the segment is written");
    assert_eq!(reopen(&folder).state.entries.len(), 3);
}

#[test]
fn a_segment_that_was_synced_after_its_creation_is_not_created_again() {
    let folder = TempDir::new().expect("a folder");
    write_entries(&folder, 3);
    flip_bit(&last_segment(&folder), 0);
    assert!(matches!(
        open(&folder),
        Err(StorageError::Corrupt { offset: 0, .. })
    ));
}
