//! Report of `check-config`.

use std::path::Path;

use check::CheckFinding;
use check::CheckOutcome;
use check::ConfigDifference;
use check::DifferenceKind;
use check::FindingSeverity;
use serde::Serialize;

use crate::exit::ExitKind;

/// Outcome of checking a configuration; contains no keys.
#[derive(Clone, Debug, Serialize)]
pub struct ConfigCheckReport {
    /// The file.
    pub file: String,
    /// Number of errors.
    pub errors: usize,
    /// Number of warnings.
    pub warnings: usize,
    /// The findings, errors first.
    pub findings: Vec<FindingRow>,
    /// Differences from the configuration in force.
    pub differences: Vec<DifferenceRow>,
}

/// A finding.
#[derive(Clone, Debug, Serialize)]
pub struct FindingRow {
    /// `error` or `warning`.
    pub severity: String,
    /// Name of the finding's kind.
    pub kind: &'static str,
    /// Description with the name of the route, service or team.
    pub message: String,
}

/// Difference of a route, a service, a team or the limits.
#[derive(Clone, Debug, Serialize)]
pub struct DifferenceRow {
    /// `added`, `removed` or `changed`.
    pub change: &'static str,
    /// `route`, `service`, `team` or `limits`.
    pub item: String,
    /// Name of the route, service or team; empty for the limits.
    pub name: String,
    /// The fields that changed, with both values.
    pub fields: Vec<String>,
}

impl ConfigCheckReport {
    /// Creates the report of a check.
    #[must_use]
    pub fn new(file: &Path, outcome: &CheckOutcome) -> Self {
        Self {
            file: file.display().to_string(),
            errors: outcome.count(FindingSeverity::Error),
            warnings: outcome.count(FindingSeverity::Warning),
            findings: outcome.findings.iter().map(FindingRow::new).collect(),
            differences: outcome.differences.iter().map(DifferenceRow::new).collect(),
        }
    }

    /// Returns the exit kind of the check; differences alone are no findings.
    #[must_use]
    pub const fn exit_kind(&self) -> ExitKind {
        match (self.errors, self.warnings) {
            (0, 0) => ExitKind::Done,
            (0, _) => ExitKind::CheckWarnings,
            _ => ExitKind::CheckErrors,
        }
    }
}

impl FindingRow {
    fn new(finding: &CheckFinding) -> Self {
        Self {
            severity: finding.severity().to_string(),
            kind: finding.kind(),
            message: finding.to_string(),
        }
    }
}

impl DifferenceRow {
    fn new(difference: &ConfigDifference) -> Self {
        let (change, fields) = match &difference.kind {
            DifferenceKind::Added => ("added", Vec::new()),
            DifferenceKind::Removed => ("removed", Vec::new()),
            DifferenceKind::Changed(fields) => {
                ("changed", fields.iter().map(ToString::to_string).collect())
            }
        };
        Self {
            change,
            item: difference.item.to_string(),
            name: difference.name.clone(),
            fields,
        }
    }
}
