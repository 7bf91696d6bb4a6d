//! Discrete-event simulation of overload policies under load and faults, on virtual time.
//!
//! A caller *sends* a request to an entry node, possibly several times; each send is an
//! *entry*. A *hop* is one call from a node to a service, with all its attempts. Callers and
//! backend servers are simulated; the policies decide what nodes admit, send and refuse.
//!
//! `docs/EXPERIMENTS.md` explains how to run it and lists the results.

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
