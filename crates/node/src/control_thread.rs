//! The thread that carries everything exchanged with control.

use std::thread;

use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

/// Name of the thread, as the system shows it.
const THREAD_NAME: &str = "control-link";

/// A runtime of one thread; dropping it ends the thread and its tasks.
///
/// The lease must be renewed however many calls wait for the other threads,
/// and the system gives a thread that mostly sleeps its turn.
#[derive(Debug)]
pub(crate) struct ControlThread {
    handle: Handle,
    _ends_thread: DropGuard,
}

impl ControlThread {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Fails when the system gives no thread or no poll descriptor.
    pub(crate) fn start() -> std::io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let end = CancellationToken::new();
        let ended = end.clone();
        thread::Builder::new()
            .name(THREAD_NAME.to_owned())
            .spawn(move || runtime.block_on(ended.cancelled()))?;
        Ok(Self {
            handle,
            _ends_thread: end.drop_guard(),
        })
    }

    /// Returns what starts tasks on the thread.
    pub(crate) fn handle(&self) -> &Handle {
        &self.handle
    }
}
