//! The process beside each backend server: it terminates callers, checks keys,
//! admits, routes and forwards calls, and guards its own backend server.

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
