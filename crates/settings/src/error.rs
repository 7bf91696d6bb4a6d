//! Errors of settings files.

use std::path::PathBuf;

use derive_more::Display;
use derive_more::Error;

/// Why a settings file cannot be used.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[display("{}: cannot be read: {source}", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// Error of the file system.
        source: std::io::Error,
    },
    /// The file is not valid TOML, lacks a key or, where that is refused, has an unknown one.
    #[display("{}: {source}", file.display())]
    Malformed {
        /// The file.
        file: PathBuf,
        /// Parse error with its position.
        source: Box<toml::de::Error>,
    },
    /// A value is not allowed.
    #[display("{}: key `{key}`: value `{value}` is not allowed, expected {allowed}", file.display())]
    InvalidValue {
        /// The file.
        file: PathBuf,
        /// The key, prefixed with its tables.
        key: String,
        /// The value found.
        value: String,
        /// Description of the allowed values.
        allowed: String,
    },
}
