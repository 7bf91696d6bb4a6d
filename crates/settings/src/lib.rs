//! Settings files of the daemon: their TOML structure and the validated values.

mod check;
mod control;
mod error;
mod file;
mod fleet;
mod node;

pub use check::CheckedSettings;
pub use control::ControlSettings;
pub use error::SettingsError;
pub use fleet::DeploymentBounds;
pub use fleet::GroupSettings;
pub use fleet::ProxySettings;
pub use fleet::TrafficSettings;
pub use node::ControlAddress;
pub use node::LimitSettings;
pub use node::NodeSettings;
pub use node::TlsFiles;
