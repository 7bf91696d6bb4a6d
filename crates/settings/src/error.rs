//! What is wrong with a settings file.

use std::path::PathBuf;

use derive_more::Display;
use derive_more::Error;

/// A settings file that cannot be used; names file, key, value and what is allowed.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[display("{}: cannot be read: {source}", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file is not TOML of the right shape; unknown keys count as well.
    #[display("{}: {source}", file.display())]
    Malformed {
        /// The file.
        file: PathBuf,
        /// What and where.
        source: Box<toml::de::Error>,
    },
    /// A value is not allowed.
    #[display("{}: key `{key}`: value `{value}` is not allowed, expected {allowed}", file.display())]
    InvalidValue {
        /// The file.
        file: PathBuf,
        /// The key, with the tables it stands in.
        key: String,
        /// The value found.
        value: String,
        /// What would be allowed.
        allowed: String,
    },
}
