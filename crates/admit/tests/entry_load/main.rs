//! Replays of load on the entry plan, on virtual time.

mod leader_change;
mod refusals;
mod slow_server;
mod step;
mod support;
