//! The thread that writes and syncs, so that the disk holds up no one else.

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

/// Work for the disk, done in order.
#[derive(Debug)]
pub(crate) enum StorageJob {
    /// Writes of one batch and the messages that wait for them.
    Batch {
        /// Number to report.
        batch: BatchNumber,
        /// Writes in order.
        writes: Vec<DurableWrite>,
        /// Messages to release afterwards.
        messages: Vec<OutgoingMessage>,
    },
    /// Replaces the identity.
    Identity(FolderIdentity),
    /// An own snapshot is on disk.
    Compacted(LogIndex),
}

/// What the disk reports.
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

/// Owner of a [`LogStore`] on its own thread.
pub(crate) struct StorageWorker<F> {
    store: LogStore,
    jobs: Receiver<StorageJob>,
    own_jobs: Sender<StorageJob>,
    batch_limit: usize,
    report: F,
    /// Threads that write snapshots.
    saving: Vec<JoinHandle<()>>,
}

impl<F: Fn(StorageReport) + Clone + Send + 'static> StorageWorker<F> {
    /// Starts the thread; it ends when the returned sender is dropped.
    pub(crate) fn start(
        store: LogStore,
        batch_limit: usize,
        report: F,
    ) -> (Sender<StorageJob>, JoinHandle<()>) {
        let (sender, jobs) = mpsc::channel();
        let (own_jobs, own) = mpsc::channel();
        let worker = Self {
            store,
            jobs,
            own_jobs,
            batch_limit: batch_limit.max(1),
            report,
            saving: Vec::new(),
        };
        let thread = thread::spawn(move || worker.run(&own));
        (sender, thread)
    }

    fn run(mut self, own: &Receiver<StorageJob>) {
        while let Ok(first) = self.jobs.recv() {
            let mut jobs = vec![first];
            while jobs.len() < self.batch_limit
                && let Ok(job) = self.jobs.try_recv()
            {
                jobs.push(job);
            }
            jobs.extend(own.try_iter());
            if let Err(error) = self.perform(jobs) {
                (self.report)(StorageReport::Failed(Arc::new(error)));
                break;
            }
        }
        for saving in self.saving {
            // A thread that panicked has written no snapshot.
            let _ = saving.join();
        }
    }

    /// Performs jobs that came in together with one sync of the log.
    fn perform(&mut self, jobs: Vec<StorageJob>) -> Result<(), StorageError> {
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
                StorageJob::Identity(identity) => {
                    self.store.save_identity(identity.clone())?;
                    (self.report)(StorageReport::IdentitySaved(identity));
                }
                StorageJob::Compacted(index) => self.store.remove_segments_through(index)?,
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

    /// Writes an own snapshot beside the log, which is synced meanwhile.
    fn save_snapshot(&mut self, own: StateSnapshot) {
        let folder = self.store.snapshot_folder();
        let own_jobs = self.own_jobs.clone();
        let report = self.report.clone();
        self.saving.retain(|saving| !saving.is_finished());
        let saving = thread::spawn(move || match store::save_snapshot(&folder, &own) {
            Ok(()) => {
                let _ = own_jobs.send(StorageJob::Compacted(own.last_included.index));
            }
            Err(error) => report(StorageReport::Failed(Arc::new(error))),
        });
        self.saving.push(saving);
    }
}
