//! Proof: stand-ins for backend servers and callers, load and process groups.

pub mod demo;
pub mod experiment;
pub mod group;
pub mod journal;
pub mod latency;
pub mod load;
pub mod relay;
pub mod standin;
pub mod wait;
