//! Test and measurement tools: stub backend servers, a load generator, groups of real
//! processes, and a discrete-event simulation of the overload policies.

pub mod demo;
pub mod experiment;
pub mod group;
pub mod journal;
pub mod latency;
pub mod load;
pub mod relay;
pub mod standin;
pub mod wait;
