//! Sidecar proxy that runs beside each backend server.
//!
//! A node terminates callers' connections, checks API keys, and admits, routes and
//! forwards calls. It also protects its own backend server from overload and from
//! requests that crash it.

mod admin;
mod admission;
mod attempt;
mod backend;
mod call;
mod control_thread;
mod crash;
mod crash_probe;
mod crash_report;
mod declaration;
mod exchange;
mod execute;
mod forward;
mod headers;
mod idempotency;
mod ingress;
mod lease;
mod local;
mod members;
mod metrics;
mod parent;
mod peer_calls;
mod peers;
mod problem;
mod run;
mod server;
mod state;
mod tokens;

pub use crash_probe::is_running;
pub use run::run;
