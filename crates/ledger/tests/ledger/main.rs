//! Tests of the replicated state of the control instances.

mod changes;
mod sequences;
mod snapshots;
mod support;
mod teams;
