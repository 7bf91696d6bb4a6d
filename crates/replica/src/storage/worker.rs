//! The thread that writes and syncs, so that the disk blocks no other thread.

use std::sync::Arc;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::thread;
use std::thread::JoinHandle;

use quorum::BatchNumber;
use quorum::DurableWrite;
use quorum::OutgoingMessage;
use quorum::StateSnapshot;

use crate::LogIndex;
use crate::storage::FolderIdentity;
use crate::storage::LogStore;
use crate::storage::StorageError;
use crate::storage::store;

/// Job of the storage worker; jobs run in order.
#[derive(Debug)]
pub(crate) enum StorageJob {
    /// Writes of one batch and the messages that wait for them.
    Batch {
        /// Number to report once synced.
        batch: BatchNumber,
        /// Writes in order.
        writes: Vec<DurableWrite>,
        /// Messages to send once the writes are synced.
        messages: Vec<OutgoingMessage>,
    },
    /// Replaces the identity.
    SaveIdentity(FolderIdentity),
    /// Marks the folder as refused by the group.
    MarkRefused,
    /// A snapshot of the instance's own state up to this index is on disk.
    SnapshotSaved(LogIndex),
}

/// Report of the storage worker.
#[derive(Debug)]
pub(crate) enum StorageReport {
    /// All batches up to this one are synced.
    Synced {
        /// Number of the last batch.
        batch: BatchNumber,
        /// Messages that may be sent now.
        messages: Vec<OutgoingMessage>,
    },
    /// The identity is synced.
    IdentitySaved(FolderIdentity),
    /// The disk failed.
    Failed(Arc<StorageError>),
}

/// Runs a [`LogStore`] on a thread of its own.
pub(crate) struct StorageWorker<F> {
    store: LogStore,
    jobs: Receiver<StorageJob>,
    /// Jobs of the snapshot threads.
    cleanup_jobs: Sender<StorageJob>,
    batch_limit: usize,
    report: F,
    /// Threads that write snapshots.
    snapshot_threads: Vec<JoinHandle<()>>,
}

impl<F: Fn(StorageReport) + Clone + Send + 'static> StorageWorker<F> {
    /// Starts the thread; it ends when the returned sender is dropped.
    pub(crate) fn start(
        store: LogStore,
        batch_limit: usize,
        report: F,
    ) -> (Sender<StorageJob>, JoinHandle<()>) {
        let (sender, jobs) = mpsc::channel();
        let (cleanup_jobs, cleanup) = mpsc::channel();
        let worker = Self {
            store,
            jobs,
            cleanup_jobs,
            batch_limit: batch_limit.max(1),
            report,
            snapshot_threads: Vec::new(),
        };
        let thread = thread::spawn(move || worker.run(&cleanup));
        (sender, thread)
    }

    fn run(mut self, cleanup: &Receiver<StorageJob>) {
        while let Ok(first) = self.jobs.recv() {
            let mut jobs = vec![first];
            while jobs.len() < self.batch_limit
                && let Ok(job) = self.jobs.try_recv()
            {
                jobs.push(job);
            }
            jobs.extend(cleanup.try_iter());
            if let Err(error) = self.run_jobs(jobs) {
                (self.report)(StorageReport::Failed(Arc::new(error)));
                break;
            }
        }
        for thread in self.snapshot_threads {
            // A thread that panicked has written no snapshot.
            let _ = thread.join();
        }
    }

    /// Runs the jobs that were received together, with one sync of the log.
    fn run_jobs(&mut self, jobs: Vec<StorageJob>) -> Result<(), StorageError> {
        let mut synced = None;
        let mut all_writes = Vec::new();
        let mut all_messages = Vec::new();
        for job in jobs {
            match job {
                StorageJob::Batch {
                    batch,
                    writes,
                    messages,
                } => {
                    synced = Some(batch);
                    all_writes.extend(writes);
                    all_messages.extend(messages);
                }
                StorageJob::SaveIdentity(identity) => {
                    self.store.save_identity(identity.clone())?;
                    (self.report)(StorageReport::IdentitySaved(identity));
                }
                StorageJob::MarkRefused => self.store.mark_refused()?,
                StorageJob::SnapshotSaved(index) => self.store.remove_segments_through(index)?,
            }
        }
        self.store.write(&all_writes)?;
        if let Some(batch) = synced {
            (self.report)(StorageReport::Synced {
                batch,
                messages: all_messages,
            });
        }
        for write in all_writes {
            if let DurableWrite::Compact(own) = write {
                self.save_snapshot(own);
            }
        }
        Ok(())
    }

    /// Writes a snapshot on a thread of its own, so that the log can be synced meanwhile.
    fn save_snapshot(&mut self, own: StateSnapshot) {
        let folder = self.store.snapshot_folder();
        let cleanup_jobs = self.cleanup_jobs.clone();
        let report = self.report.clone();
        self.snapshot_threads.retain(|thread| !thread.is_finished());
        let thread = thread::spawn(move || match store::save_snapshot(&folder, &own) {
            Ok(()) => {
                let _ = cleanup_jobs.send(StorageJob::SnapshotSaved(own.last_included.index));
            }
            Err(error) => report(StorageReport::Failed(Arc::new(error))),
        });
        self.snapshot_threads.push(thread);
    }
}
