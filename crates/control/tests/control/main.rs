//! Tests of the control instance.

mod admin;
mod common;
mod exchange;
mod force;
mod group;
mod hub;
mod owners;
mod replicated;
mod upkeep;
