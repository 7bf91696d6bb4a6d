//! Reports of commands, as plain data.

mod change;
mod config_check;
mod plan;
mod status;

use model::admin::TimelineReport;
use serde::Serialize;

pub use change::ChangeOutcome;
pub use change::KeyOutcome;
pub use change::SignatureFile;
pub use config_check::ConfigCheckReport;
pub use config_check::DifferenceRow;
pub use config_check::FindingRow;
pub use plan::PlanAction;
pub use plan::PlanReport;
pub use plan::PlanRow;
pub use status::ProcessRow;
pub use status::StatusTable;

/// A new owner key.
#[derive(Clone, Debug, Serialize)]
pub struct OwnerKeyReport {
    /// Public key in hexadecimal, for `owners` in a declaration.
    pub public: String,
    /// File with the private key.
    pub file: String,
}

/// A new key of a team; it is printed once and stored nowhere.
#[derive(Clone, Debug, Serialize)]
pub struct TeamKeyReport {
    /// The key, which callers send.
    pub key: String,
    /// Its digest in hexadecimal, for the declaration.
    pub digest: String,
}

/// Files of a new certificate.
#[derive(Clone, Debug, Serialize)]
pub struct CertificateReport {
    /// The certificate.
    pub certificate: String,
    /// The private key.
    pub key: String,
}

/// Number of items in a valid declaration.
#[derive(Clone, Debug, Serialize)]
pub struct CheckRow {
    /// The file.
    pub file: String,
    /// Number of services.
    pub services: usize,
    /// Number of classes.
    pub classes: usize,
    /// Number of routes.
    pub routes: usize,
    /// Number of teams.
    pub teams: usize,
    /// Number of keys.
    pub keys: usize,
}

/// Outcome of validating declarations.
#[derive(Clone, Debug, Serialize)]
pub struct CheckReport {
    /// One row for each file.
    pub files: Vec<CheckRow>,
}

/// Outcome of a drain request.
#[derive(Clone, Debug, Serialize)]
pub struct DrainReport {
    /// Admin listener of the node.
    pub address: String,
    /// Response of the node.
    pub answer: String,
}

/// Events of several processes, oldest first.
#[derive(Clone, Debug, Serialize)]
pub struct MergedTimeline {
    /// The events.
    #[serde(flatten)]
    pub timeline: TimelineReport,
    /// Errors of the processes that did not respond.
    pub unreachable: Vec<String>,
}
