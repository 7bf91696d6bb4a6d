//! Types shared by all processes: identifiers, declarations, call context and messages.

pub mod admin;
pub mod announce;
pub mod change;
pub mod context;
pub mod declaration;
pub mod entry;
pub mod exchange;
pub mod hex;
pub mod idempotency;
pub mod ids;
pub mod keys;
pub mod lookup;
pub mod share;
pub mod status;
pub mod traffic;
pub mod verdict;
