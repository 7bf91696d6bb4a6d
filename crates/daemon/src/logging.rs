//! Logging to standard output, one line of key=value pairs for each event.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Environment variable with the log filter.
const FILTER_ENV_VARIABLE: &str = "RAGWORTPLANK_LOG";
/// Log filter when the environment variable is not set or not valid.
const DEFAULT_FILTER: &str = "info,quinn=warn,tarpc=warn,rustls=warn,hyper=warn";
/// Largest number of bytes that wait for standard output; further lines are dropped.
const MAX_PENDING_BYTES: usize = 256 * 1024;
/// Time for which lines are collected before one write, in milliseconds.
const FLUSH_DELAY_MS: u64 = 50;

/// Starts logging; the returned guard writes the remaining lines when it is dropped.
pub(crate) fn init() -> LogGuard {
    let filter = EnvFilter::try_from_env(FILTER_ENV_VARIABLE);
    let filter = filter.unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
    let buffer = LogBuffer::start();
    let layer = tracing_logfmt::builder()
        .with_target(false)
        .with_span_path(false)
        .layer()
        .with_writer(buffer.clone());
    tracing_subscriber::registry()
        .with(filter)
        .with(layer)
        .init();
    LogGuard { buffer }
}

#[derive(Debug, Default)]
struct LogState {
    pending: Vec<u8>,
    dropped_lines: u64,
}

/// Buffer of log lines, written by a separate thread so that logging never blocks on output.
#[derive(Clone, Debug, Default)]
struct LogBuffer {
    state: Arc<Mutex<LogState>>,
    not_empty: Arc<Condvar>,
}

impl LogBuffer {
    fn start() -> Self {
        let buffer = Self::default();
        let writer = buffer.clone();
        thread::spawn(move || writer.run());
        buffer
    }

    fn run(&self) {
        loop {
            let mut state = self.lock();
            while state.pending.is_empty() {
                state = self
                    .not_empty
                    .wait(state)
                    .unwrap_or_else(PoisonError::into_inner);
            }
            drop(state);
            thread::sleep(Duration::from_millis(FLUSH_DELAY_MS));
            self.flush();
        }
    }

    fn flush(&self) {
        let mut state = self.lock();
        let lines = std::mem::take(&mut state.pending);
        let left_out = std::mem::take(&mut state.dropped_lines);
        drop(state);
        let mut output = io::stdout().lock();
        // An error is ignored: with standard output closed there is nowhere to report it.
        let _ = output.write_all(&lines);
        if left_out > 0 {
            let _ = writeln!(
                output,
                "level=warn event=log-lines-left-out lines={left_out}"
            );
        }
        let _ = output.flush();
    }

    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Write for LogBuffer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut state = self.lock();
        let was_empty = state.pending.is_empty();
        if state.pending.len() + line.len() > MAX_PENDING_BYTES {
            state.dropped_lines += 1;
        } else {
            state.pending.extend_from_slice(line);
        }
        drop(state);
        if was_empty {
            self.not_empty.notify_one();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LogBuffer {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

/// Writes the remaining lines when the process ends.
pub(crate) struct LogGuard {
    buffer: LogBuffer,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.buffer.flush();
    }
}
