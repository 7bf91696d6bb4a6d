//! The control instance: leases, membership, tokens and the admin listener.

pub mod admin;
pub mod assignment;
pub mod core;
pub mod crash_reports;
pub mod exchange;
pub mod forward;
pub mod log;
pub mod metrics;
pub mod propose;
pub mod registry;
pub mod rollout;
pub mod run;
pub mod server;
pub mod service;
pub mod sync;
pub mod tokens;
pub mod upkeep;

pub use crate::run::run;
