//! What an operator's order is about, and its log lines.

use std::net::SocketAddr;

use fleet::ChangeOutcome;
use model::ids::ConfigVersion;
use model::ids::DataCentreName;
use replica::ProposeError;
use tracing::info;

/// What the log and the metrics say about an operator's order.
#[derive(Clone, Debug)]
pub(super) enum OrderSubject {
    /// A change of the configuration.
    Config {
        version: ConfigVersion,
        /// Version that the operator edited.
        base: ConfigVersion,
    },
    /// The begin or the end of an evacuation.
    Evacuation {
        data_centre: DataCentreName,
        active: bool,
    },
}

impl OrderSubject {
    /// Returns the kind under which outcomes are counted.
    pub(super) const fn metric_kind(&self) -> &'static str {
        match self {
            Self::Config { .. } => "config",
            Self::Evacuation { .. } => "evacuation",
        }
    }

    pub(super) fn log_decided(&self, outcome: &Result<ChangeOutcome, ProposeError>, group: &str) {
        match self {
            Self::Config { version, base } => {
                info!(event = "config-decided", version, base, ?outcome, group);
            }
            Self::Evacuation {
                data_centre,
                active,
            } => {
                info!(event = "evacuation-decided", %data_centre, active, ?outcome, group);
            }
        }
    }

    pub(super) fn log_redirected(&self, leader: SocketAddr) {
        match self {
            Self::Config { version, .. } => {
                info!(event = "config-redirected", version, %leader);
            }
            Self::Evacuation {
                data_centre,
                active,
            } => {
                info!(event = "evacuation-redirected", %data_centre, active, %leader);
            }
        }
    }

    /// Logs that the order is not replicated, for a reason that may pass.
    pub(super) fn log_not_taken(&self, reason: &str, group: &str) {
        match self {
            Self::Config { version, .. } => {
                info!(event = "config-not-taken", version, reason, group);
            }
            Self::Evacuation {
                data_centre,
                active,
            } => {
                info!(event = "evacuation-not-taken", %data_centre, active, reason, group);
            }
        }
    }

    /// Logs that the order is in force or may still come into force.
    pub(super) fn log_undecided(&self, reason: &str, group: &str) {
        match self {
            Self::Config { version, .. } => {
                info!(event = "config-undecided", version, reason, group);
            }
            Self::Evacuation {
                data_centre,
                active,
            } => {
                info!(event = "evacuation-undecided", %data_centre, active, reason, group);
            }
        }
    }
}
