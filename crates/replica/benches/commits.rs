//! Throughput and latency of commits and linearizable reads, with fsync, on 1 and 3 instances.
//!
//! Run with `cargo bench -p replica --bench commits`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::RwLock;
use std::time::Duration;
use std::time::Instant;

use clock::SystemClock;
use hdrhistogram::Histogram;
use quorum::MemberRole;
use replica::InstanceId;
use replica::LogIndex;
use replica::PeerLink;
use replica::ReplicaConfig;
use replica::ReplicaHandle;
use replica::ReplicatedState;
use replica::StateMachine;
use tempfile::TempDir;
use tokio::runtime::Builder;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// Size of an entry in bytes.
const ENTRY_BYTES: usize = 200;

/// Length of one measurement, in seconds.
const RUN_S: u64 = 3;

/// Warm-up before each measurement, which is not counted, in milliseconds.
const WARM_UP_MS: u64 = 500;

/// Syncs of the baseline, which runs without a replica.
const BASELINE_SYNCS: u32 = 500;

/// Interval between two polls for a leader, in milliseconds.
const POLL_MS: u64 = 5;

/// State machine that only counts.
#[derive(Clone, Debug, Default)]
struct EntryCounter {
    count: u64,
}

impl StateMachine for EntryCounter {
    type Output = u64;

    fn apply(&mut self, _index: LogIndex, _entry: &[u8]) -> u64 {
        self.count += 1;
        self.count
    }

    fn snapshot(&self) -> Vec<u8> {
        self.count.to_le_bytes().to_vec()
    }

    fn restore(&mut self, snapshot: &[u8]) -> anyhow::Result<()> {
        self.count = u64::from_le_bytes(snapshot.try_into()?);
        Ok(())
    }
}

type RunningReplicas = Arc<RwLock<BTreeMap<InstanceId, ReplicaHandle<EntryCounter>>>>;

/// Delivers messages within the process.
#[derive(Clone, Debug)]
struct MemoryLink {
    from: InstanceId,
    running: RunningReplicas,
}

impl PeerLink for MemoryLink {
    fn send(&self, to: InstanceId, message: Vec<u8>) {
        let running = self.running.read().expect("no thread panicked");
        if let Some(handle) = running.get(&to) {
            handle.receive(self.from, message);
        }
    }
}

/// Parameters of one measurement.
#[derive(Clone, Copy, Debug)]
struct BenchCase {
    members: u64,
    batch_limit: usize,
    callers: usize,
}

/// Replicas that run for one measurement.
struct BenchGroup {
    running: RunningReplicas,
    stop: CancellationToken,
    _root: TempDir,
}

impl BenchGroup {
    fn start(case: BenchCase) -> Self {
        let root = tempfile::tempdir_in(env!("CARGO_TARGET_TMPDIR")).expect("a folder");
        let running = RunningReplicas::default();
        let stop = CancellationToken::new();
        let ids: Vec<InstanceId> = (1..=case.members).collect();
        for &id in &ids {
            let folder = root.path().join(id.to_string());
            let mut config = ReplicaConfig::new(id, ids.clone(), folder);
            config.batch_limit = case.batch_limit;
            let link = MemoryLink {
                from: id,
                running: Arc::clone(&running),
            };
            let machine = EntryCounter::default();
            let handle = ReplicaHandle::start(config, link, machine, SystemClock, stop.clone())
                .expect("the replica starts");
            running
                .write()
                .expect("no thread panicked")
                .insert(id, handle);
        }
        Self {
            running,
            stop,
            _root: root,
        }
    }

    async fn leader(&self) -> ReplicaHandle<EntryCounter> {
        loop {
            let handles: Vec<_> = {
                let running = self.running.read().expect("no thread panicked");
                running.values().cloned().collect()
            };
            for handle in handles {
                let status = handle.status();
                if status.role == MemberRole::Leader && status.applied_index > 0 {
                    return handle;
                }
            }
            tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
        }
    }

    async fn follower(&self) -> ReplicaHandle<EntryCounter> {
        let leader = self.leader().await.status().instance;
        let running = self.running.read().expect("no thread panicked");
        let mut others = running.values();
        let follower = others.find(|handle| handle.status().instance != leader);
        follower.expect("more than one member").clone()
    }

    async fn stop(self) {
        self.stop.cancel();
        let handles = std::mem::take(&mut *self.running.write().expect("no thread panicked"));
        for handle in handles.into_values() {
            handle.stopped().await;
        }
    }
}

/// Call that a caller repeats.
#[derive(Clone, Copy, Debug)]
enum BenchCall {
    Propose,
    ReadIndex,
}

/// Makes one call after another, and records those after the warm-up.
async fn call_until(
    handle: ReplicaHandle<EntryCounter>,
    call: BenchCall,
    counted_from: Instant,
    end: Instant,
) -> Histogram<u64> {
    let mut histogram = Histogram::new(3).expect("valid digits");
    while Instant::now() < end {
        let begin = Instant::now();
        let done = match call {
            BenchCall::Propose => handle.propose(vec![7; ENTRY_BYTES]).await.is_ok(),
            BenchCall::ReadIndex => handle.read_index().await.is_ok(),
        };
        if done && begin >= counted_from {
            let took_us = u64::try_from(begin.elapsed().as_micros()).unwrap_or(u64::MAX);
            histogram.record(took_us).expect("it resizes");
        }
    }
    histogram
}

/// Runs callers against one replica and merges their histograms.
async fn measure(
    handle: ReplicaHandle<EntryCounter>,
    call: BenchCall,
    callers: usize,
) -> Histogram<u64> {
    let counted_from = Instant::now() + Duration::from_millis(WARM_UP_MS);
    let end = counted_from + Duration::from_secs(RUN_S);
    let mut tasks = JoinSet::new();
    for _ in 0..callers {
        tasks.spawn(call_until(handle.clone(), call, counted_from, end));
    }
    let mut all = Histogram::<u64>::new(3).expect("valid digits");
    while let Some(part) = tasks.join_next().await {
        all.add(part.expect("no caller panicked"))
            .expect("same digits");
    }
    all
}

fn print_row(head: &str, all: &Histogram<u64>) {
    println!(
        "{head} {:>10} {:>8} {:>8} {:>8}",
        all.len() / RUN_S,
        all.value_at_quantile(0.5),
        all.value_at_quantile(0.99),
        all.value_at_quantile(0.999),
    );
}

async fn measure_commits(case: BenchCase) {
    let group = BenchGroup::start(case);
    let leader = group.leader().await;
    let all = measure(leader, BenchCall::Propose, case.callers).await;
    group.stop().await;
    let BenchCase {
        members,
        batch_limit,
        callers,
    } = case;
    print_row(
        &format!("{members:>7} {batch_limit:>11} {callers:>9}"),
        &all,
    );
}

async fn measure_reads(case: BenchCase) {
    let group = BenchGroup::start(case);
    let leader = group.leader().await;
    let follower = group.follower().await;
    for (role, handle) in [("leader", leader), ("follower", follower)] {
        let all = measure(handle, BenchCall::ReadIndex, case.callers).await;
        let BenchCase {
            members, callers, ..
        } = case;
        print_row(&format!("{members:>7} {role:>11} {callers:>9}"), &all);
    }
    group.stop().await;
}

/// Measures append and sync of a file without a replica.
fn measure_baseline() {
    use std::io::Write;
    let mut file = tempfile::tempfile_in(env!("CARGO_TARGET_TMPDIR")).expect("a file");
    let mut histogram = Histogram::<u64>::new(3).expect("valid digits");
    for _ in 0..BASELINE_SYNCS {
        let begin = Instant::now();
        file.write_all(&[7; ENTRY_BYTES]).expect("the disk writes");
        file.sync_data().expect("the disk syncs");
        let took_us = u64::try_from(begin.elapsed().as_micros()).unwrap_or(u64::MAX);
        histogram.record(took_us).expect("it resizes");
    }
    println!(
        "append and sync {ENTRY_BYTES} bytes alone: p50 {} us, p99 {} us",
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99),
    );
}

fn main() {
    measure_baseline();
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime starts");
    println!("members batch_limit   callers  commits/s   p50_us   p99_us  p999_us");
    for members in [1, 3] {
        for (batch_limit, callers) in [(4_096, 1), (1, 64), (4_096, 64), (4_096, 512)] {
            runtime.block_on(measure_commits(BenchCase {
                members,
                batch_limit,
                callers,
            }));
        }
    }
    println!("members        read   callers    reads/s   p50_us   p99_us  p999_us");
    for callers in [1, 64, 512] {
        runtime.block_on(measure_reads(BenchCase {
            members: 3,
            batch_limit: 4_096,
            callers,
        }));
    }
}
