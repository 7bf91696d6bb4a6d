//! Measures the latency that the path through the nodes adds to a direct call.

mod connection;
mod idle;
mod measurement;
mod process;
mod setup;
mod table;

pub use idle::IdleUsage;
pub use idle::measure_idle;
pub use measurement::LatencyFigures;
pub use measurement::LatencyPath;
pub use measurement::LatencySettings;
pub use measurement::measure_latency;
pub use process::load_averages;
pub use setup::LatencyGroup;
pub use table::print_idle;
pub use table::print_latencies;
pub use table::write_latencies;
