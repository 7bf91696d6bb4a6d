//! Prometheus metrics of a process, and the HTTP server that exposes them.

mod process_metrics;
mod server;

pub use process_metrics::ProcessMetrics;
pub use server::serve;
