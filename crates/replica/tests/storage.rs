//! The data folder under damage: torn tails, corrupt middles, unknown versions, crashes between
//! write and rename.

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

fn recovered(folder: &TempDir) -> RecoveredState {
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
fn filled(folder: &TempDir, count: u64) {
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

fn flip(path: &Path, offset: u64) {
    let mut content = fs::read(path).expect("it reads");
    let position = usize::try_from(offset).expect("a small file");
    content[position] ^= 0x40;
    fs::write(path, content).expect("it writes");
}

#[test]
fn votes_and_entries_come_back_and_conflicts_replace() {
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
        let back = recovered(&folder);
        assert_eq!(back.identity, first.identity);
        assert_eq!((back.state.term, back.state.vote), (7, Some(3)));
        assert_eq!(back.state.entries, vec![entry(1, 1), entry(2, 7)]);
    }
}

#[test]
fn torn_tail_is_cut_at_every_length() {
    let whole = tempfile::tempdir().expect("a folder");
    filled(&whole, 3);
    let path = last_segment(&whole);
    let content = fs::read(&path).expect("it reads");
    let name = path.file_name().expect("a name").to_owned();
    filled(&whole, 0);
    let mut counts = Vec::new();
    for length in 0..=content.len() {
        let folder = tempfile::tempdir().expect("a folder");
        filled(&folder, 0);
        fs::write(
            config(&folder).data_dir.join("log").join(&name),
            &content[..length],
        )
        .expect("it writes");
        let count = recovered(&folder).state.entries.len();
        assert_eq!(
            recovered(&folder).state.entries.len(),
            count,
            "the cut lasts"
        );
        counts.push(count);
    }
    assert!(counts.is_sorted());
    assert_eq!((counts[0], counts.last()), (0, Some(&3)));
    assert!([1, 2].iter().all(|count| counts.contains(count)));
}

#[test]
fn torn_tail_of_zeros_is_cut() {
    let folder = tempfile::tempdir().expect("a folder");
    filled(&folder, 2);
    let mut file = OpenOptions::new()
        .append(true)
        .open(last_segment(&folder))
        .expect("it opens");
    file.write_all(&[0; 4_096]).expect("it writes");
    assert_eq!(recovered(&folder).state.entries.len(), 2);
    assert_eq!(recovered(&folder).state.entries.len(), 2);
}

#[test]
fn corrupt_middle_is_refused_with_file_and_offset() {
    let whole = tempfile::tempdir().expect("a folder");
    filled(&whole, 3);
    let path = last_segment(&whole);
    let length = fs::metadata(&path).expect("it exists").len();
    let frame = (length - HEADER_BYTES) / 4;
    for offset in HEADER_BYTES..length - 2 * frame {
        flip(&path, offset);
        let refused = open(&whole).map(|_| ()).expect_err("the damage is seen");
        let StorageError::Corrupt {
            path: named,
            offset: start,
        } = &refused
        else {
            panic!("offset {offset}: {refused}");
        };
        assert_eq!(named, &path);
        assert!(*start <= offset && offset - start <= 2 * frame, "{refused}");
        assert!(refused.to_string().contains(&path.display().to_string()));
        flip(&path, offset);
    }
    assert_eq!(recovered(&whole).state.entries.len(), 3);
}

#[test]
fn damage_in_an_earlier_segment_is_refused() {
    let folder = tempfile::tempdir().expect("a folder");
    filled(&folder, 3);
    let path = last_segment(&folder);
    recovered(&folder);
    assert_ne!(path, last_segment(&folder));
    let length = fs::metadata(&path).expect("it exists").len();
    flip(&path, length - 1);
    assert!(matches!(open(&folder), Err(StorageError::Corrupt { .. })));
}

#[test]
fn missing_segment_is_refused() {
    let folder = tempfile::tempdir().expect("a folder");
    filled(&folder, 3);
    let path = last_segment(&folder);
    recovered(&folder);
    recovered(&folder);
    let middle = files(&folder, "log")
        .into_iter()
        .find(|other| *other > path)
        .expect("a later segment");
    fs::remove_file(middle).expect("it goes");
    assert!(matches!(open(&folder), Err(StorageError::Gap { .. })));
}

#[test]
fn unknown_versions_are_refused() {
    let folder = tempfile::tempdir().expect("a folder");
    filled(&folder, 1);
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
        let refused = open(&folder).map(|_| ()).expect_err("the version is seen");
        assert!(
            matches!(refused, StorageError::UnsupportedVersion { found: 9, .. }),
            "{refused}"
        );
        fs::write(&path, content).expect("it writes");
    }
    recovered(&folder);
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
    flip(&path, 2 << 20);
    assert!(matches!(open(&folder), Err(StorageError::Corrupt { .. })));
    let length = fs::metadata(&path).expect("it exists").len();
    flip(&path, 2 << 20);
    let file = OpenOptions::new()
        .write(true)
        .open(&path)
        .expect("it opens");
    file.set_len(length - 1).expect("it shrinks");
    assert!(matches!(open(&folder), Err(StorageError::Corrupt { .. })));
}

#[test]
fn crash_before_the_rename_leaves_the_older_state() {
    let folder = tempfile::tempdir().expect("a folder");
    filled(&folder, 3);
    let data = config(&folder).data_dir;
    fs::write(data.join("snapshot").join("0000000000000002.tmp"), b"half").expect("it writes");
    fs::write(data.join("identity.tmp"), b"half").expect("it writes");
    let back = recovered(&folder);
    assert_eq!(back.state.entries.len(), 3);
    assert!(back.state.snapshot.is_none());
    assert!(files(&folder, "snapshot").is_empty());
}

#[test]
fn crash_between_an_installed_snapshot_and_its_record_drops_the_conflicting_log() {
    let folder = tempfile::tempdir().expect("a folder");
    filled(&folder, 3);
    let other = tempfile::tempdir().expect("a folder");
    let (mut store, _) = open(&other).expect("the folder opens");
    let installed = snapshot(2, 9);
    store
        .write(&[DurableWrite::Install(installed.clone())])
        .expect("the disk writes");
    let path = files(&other, "snapshot").remove(0);
    let name = path.file_name().expect("a name");
    fs::copy(&path, config(&folder).data_dir.join("snapshot").join(name)).expect("it copies");
    let back = recovered(&folder);
    assert_eq!(back.state.snapshot, Some(installed));
    assert!(back.state.entries.is_empty());
    let (mut store, _) = open(&folder).expect("the folder opens");
    store.write(&[append(3, 9)]).expect("the disk writes");
    drop(store);
    assert_eq!(recovered(&folder).state.entries, vec![entry(3, 9)]);
}

#[test]
fn segments_before_a_snapshot_are_dropped() {
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
    let back = recovered(&folder);
    let expected: Vec<LogEntry> = (41..=50).map(|index| entry(index, 1)).collect();
    assert_eq!(back.state.entries, expected);
}

#[test]
fn folder_belongs_to_one_instance_and_one_process() {
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
    fs::remove_file(config(&folder).data_dir.join("identity")).expect("it goes");
    assert!(matches!(
        open(&folder),
        Err(StorageError::MissingIdentity { .. })
    ));
}
