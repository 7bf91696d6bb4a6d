//! Policy under load and faults on virtual time, with fakes of callers and backend servers.
//!
//! How to run it and what was measured stands in `docs/EXPERIMENTS.md`.

pub mod backend;
pub mod counters;
pub mod graph;
pub mod harness;
pub mod managed;
pub mod no_control;
pub mod plot;
pub mod policy;
pub mod queue;
pub mod rates;
pub mod reference_bucket;
pub mod scenario;
pub mod score;
pub mod static_limit;
pub mod table;
