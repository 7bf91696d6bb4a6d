//! The node of a deployment whose callers and backend servers speak plain HTTP/1.1.
//!
//! See `docs/PLATFORM.md`: how a request travels, and which promise rests on what.

mod announce;
mod attempt;
mod control;
mod desk;
mod entry;
mod fate;
mod headers;
mod inbound;
mod members;
mod own_server;
mod peers;
mod pool;
mod quota;
mod run;
mod state;
mod view;
mod work;

pub use crate::desk::TokenDesk;
pub use crate::desk::TokenOutcome;
pub use crate::fate::CallEnd;
pub use crate::fate::CallFate;
pub use crate::fate::NextStep;
pub use crate::fate::next_step;
pub use crate::run::run;
pub use crate::view::ConfigView;
