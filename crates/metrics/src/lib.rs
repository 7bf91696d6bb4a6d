//! Counters and histograms of a process, and the listener that serves them as text.

mod book;
mod server;

pub use book::MetricBook;
pub use server::serve;
