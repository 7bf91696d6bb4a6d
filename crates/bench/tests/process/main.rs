//! Tests of the whole system as real processes on loopback, under load and failure.

mod at_most_once;
mod change;
mod crash;
mod end_to_end;
mod input;
mod limits;
mod owners;
mod partition;
mod stop;
mod support;
