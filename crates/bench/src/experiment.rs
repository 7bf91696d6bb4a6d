//! Policy under load and faults on virtual time, with fakes of callers and backend servers.
//!
//! How to run it and what was measured stands in `docs/EXPERIMENTS.md`.

pub mod backend;
pub mod control;
pub mod fixed;
pub mod graph;
pub mod harness;
pub mod ideal;
pub mod managed;
pub mod plain;
pub mod plot;
pub mod queue;
pub mod rates;
pub mod scenario;
pub mod score;
pub mod table;
pub mod tally;
