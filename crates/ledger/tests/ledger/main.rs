//! Tests of the replicated state of the control instances.

mod changes;
mod random_commands;
mod snapshots;
mod support;
mod team_owners;
