//! Tests of the control instance.

mod admin;
mod assignment;
mod common;
mod exchange;
mod registry;
mod rollout;
mod three_replicas;
mod two_instances;
mod upkeep;
