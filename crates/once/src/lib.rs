//! Idempotency records of requests that must run at most once.
//!
//! The table does no I/O; entries of the replicated log drive it.

mod answers;
mod limits;
mod record;
mod scope;
mod set_hash;
mod table;

pub use limits::IdempotencyLimits;
pub use table::IdempotencyTable;
