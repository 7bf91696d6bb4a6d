//! The control instance: leases, membership, tokens and the admin listener.

pub mod admin;
pub mod core;
pub mod exchange;
pub mod force;
pub mod forward;
pub mod hub;
pub mod log;
pub mod metrics;
pub mod owners;
pub mod propose;
pub mod run;
pub mod server;
pub mod service;
pub mod suspects;
pub mod sync;
pub mod tokens;
pub mod upkeep;

pub use crate::run::run;
