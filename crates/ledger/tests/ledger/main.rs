//! The state that control instances agree on.

mod changes;
mod sequences;
mod snapshots;
mod support;
mod teams;
