//! Measures what the path through the nodes adds to a direct call.

mod connection;
mod idle;
mod level;
mod process;
mod setup;
mod table;

pub use idle::IdleFigures;
pub use idle::measure_idle;
pub use level::LatencyPath;
pub use level::LevelFigures;
pub use level::LevelSettings;
pub use level::measure_level;
pub use process::load_averages;
pub use setup::LatencyGroup;
pub use table::print_idle;
pub use table::print_levels;
pub use table::write_levels;
