//! Logs: one line of key=value pairs for each event, on standard output.

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

/// Environment variable that selects what is logged.
const FILTER_VARIABLE: &str = "RAGWORTPLANK_LOG";
/// What is logged unless the environment says otherwise.
const DEFAULT_FILTER: &str = "info,quinn=warn,tarpc=warn,rustls=warn,hyper=warn";
/// Bytes that wait for standard output, at the most; further lines are left out.
const WAITING_BYTES: usize = 256 * 1024;
/// Time for which lines are gathered into one write, in milliseconds.
const GATHER_MS: u64 = 50;

/// Starts logging; the returned guard writes what is left when it is dropped.
pub(crate) fn init() -> LogGuard {
    let filter = EnvFilter::try_from_env(FILTER_VARIABLE);
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
    waiting: Vec<u8>,
    left_out: u64,
}

/// Lines that wait to be written by a thread of their own, so that no caller waits.
#[derive(Clone, Debug, Default)]
struct LogBuffer {
    state: Arc<Mutex<LogState>>,
    filled: Arc<Condvar>,
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
            while state.waiting.is_empty() {
                state = self
                    .filled
                    .wait(state)
                    .unwrap_or_else(PoisonError::into_inner);
            }
            drop(state);
            thread::sleep(Duration::from_millis(GATHER_MS));
            self.flush();
        }
    }

    fn flush(&self) {
        let mut state = self.lock();
        let lines = std::mem::take(&mut state.waiting);
        let left_out = std::mem::take(&mut state.left_out);
        drop(state);
        let mut output = io::stdout().lock();
        // Nobody is left to be told when standard output is closed.
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
        let was_empty = state.waiting.is_empty();
        if state.waiting.len() + line.len() > WAITING_BYTES {
            state.left_out += 1;
        } else {
            state.waiting.extend_from_slice(line);
        }
        drop(state);
        if was_empty {
            self.filled.notify_one();
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

/// Writes what is left when the process ends.
pub(crate) struct LogGuard {
    buffer: LogBuffer,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.buffer.flush();
    }
}
