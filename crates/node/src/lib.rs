//! Sidecar proxy that runs beside each backend server.
//!
//! A node terminates callers' connections, checks API keys, and admits, routes and
//! forwards calls. It also protects its own backend server from overload and from
//! requests that crash it.

mod admin;
mod attempt;
mod backend;
mod call;
mod control_thread;
mod crash;
mod entry;
mod exchange;
mod execute;
mod forward;
mod gate;
mod headers;
mod lease;
mod local;
mod lost;
mod members;
mod metrics;
mod once;
mod parent;
mod peers;
mod problem;
mod receive;
mod run;
mod server;
mod state;
mod tell;
mod tokens;
mod view;

pub use run::run;
