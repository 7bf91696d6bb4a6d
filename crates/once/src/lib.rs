//! Records of requests that must run at most once: a pure table that the replicated log drives.

mod answers;
mod limits;
mod record;
mod scope;
mod sum;
mod table;

pub use limits::OnceLimits;
pub use table::OnceTable;
