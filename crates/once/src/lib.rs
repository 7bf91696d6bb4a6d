//! Records of requests that must run at most once: a pure table that the replicated log drives.

mod limits;
mod record;
mod sum;
mod table;

pub use limits::OnceLimits;
pub use table::OnceTable;
