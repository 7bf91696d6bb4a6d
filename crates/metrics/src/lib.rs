//! Prometheus metrics of a process, and the HTTP server that exposes them.

mod book;
mod server;

pub use book::MetricBook;
pub use server::serve;
