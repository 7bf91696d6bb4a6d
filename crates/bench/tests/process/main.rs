//! Real processes on loopback, under load and failure.

mod change;
mod crash;
mod cut;
mod input;
mod limits;
mod once;
mod owners;
mod path;
mod stop;
mod support;
