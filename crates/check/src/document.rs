//! Check of a document, decoded as control decodes it.

use fleet::DOCUMENT_BYTES_MAX;
use fleet::DecodeError;
use fleet::FleetConfig;
use fleet::ProtocolAdapter;

use crate::CheckFinding;
use crate::ConfigDifference;
use crate::FindingSeverity;
use crate::check_config;
use crate::check_resent;
use crate::find_differences;
use crate::message::without_values;

/// Result of checking a document; contains no keys.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CheckOutcome {
    /// The findings, errors first.
    pub findings: Vec<CheckFinding>,
    /// Differences from the configuration in force; empty if none was given.
    pub differences: Vec<ConfigDifference>,
}

impl CheckOutcome {
    /// Returns the most severe severity among the findings.
    #[must_use]
    pub fn severity(&self) -> Option<FindingSeverity> {
        self.findings.iter().map(CheckFinding::severity).min()
    }

    /// Returns the number of findings of a severity.
    #[must_use]
    pub fn count(&self, severity: FindingSeverity) -> usize {
        let severities = self.findings.iter().map(CheckFinding::severity);
        severities.filter(|other| *other == severity).count()
    }
}

/// Checks a document against the one in force.
///
/// # Errors
///
/// Fails when the document in force cannot be decoded; the error contains no values of it.
pub fn check_document<A: ProtocolAdapter>(
    adapter: &A,
    document: &[u8],
    in_force: Option<&[u8]>,
) -> Result<CheckOutcome, DecodeError> {
    let current = in_force.map(|document| adapter.decode_config(document));
    let current = current.transpose().map_err(without_values)?;
    if document.len() > DOCUMENT_BYTES_MAX {
        return Ok(single_finding(CheckFinding::DocumentTooLarge {
            bytes: document.len(),
            max: DOCUMENT_BYTES_MAX,
        }));
    }
    let config = match adapter.decode_config(document) {
        Ok(config) => config,
        Err(error) => {
            let reason = without_values(error).to_string();
            return Ok(single_finding(CheckFinding::Undecodable { reason }));
        }
    };
    let is_resent = in_force == Some(document);
    Ok(check_decoded(&config, current.as_ref(), is_resent))
}

fn check_decoded(
    config: &FleetConfig,
    in_force: Option<&FleetConfig>,
    is_resent: bool,
) -> CheckOutcome {
    let findings = if is_resent {
        check_resent(config)
    } else {
        check_config(config, in_force)
    };
    let differences = in_force.map(|in_force| find_differences(in_force, config));
    CheckOutcome {
        findings,
        differences: differences.unwrap_or_default(),
    }
}

fn single_finding(finding: CheckFinding) -> CheckOutcome {
    CheckOutcome {
        findings: vec![finding],
        differences: Vec::new(),
    }
}
