//! A dedicated thread for communication with control.

use std::thread;

use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

/// Name of the thread, as shown by the operating system.
const THREAD_NAME: &str = "control-link";

/// A single-threaded runtime on its own thread; dropping it stops the thread and its tasks.
///
/// The lease must be renewed on time even when calls saturate the other threads, and the
/// operating system's scheduler gives a mostly sleeping thread its turn.
#[derive(Debug)]
pub(crate) struct ControlThread {
    handle: Handle,
    _stop_on_drop: DropGuard,
}

impl ControlThread {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Fails when the operating system cannot provide a thread or a poll descriptor.
    pub(crate) fn start() -> std::io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        thread::Builder::new()
            .name(THREAD_NAME.to_owned())
            .spawn(move || runtime.block_on(stopped.cancelled()))?;
        Ok(Self {
            handle,
            _stop_on_drop: stop.drop_guard(),
        })
    }

    /// Returns the handle that spawns tasks on the thread.
    pub(crate) fn handle(&self) -> &Handle {
        &self.handle
    }
}
