//! Checks a configuration before an operator sends it: what control would refuse, what can have no
//! effect, and what changes. Performs no input or output.
//!
//! See `docs/design/config-check.md`.

mod contradiction;
mod difference;
mod document;
mod finding;
mod message;
mod reachability;
mod refusal;

pub use difference::ConfigDifference;
pub use difference::DifferenceKind;
pub use difference::FieldChange;
pub use difference::ItemKind;
pub use difference::find_differences;
pub use document::CheckOutcome;
pub use document::check_document;
pub use finding::CheckFinding;
pub use finding::FindingSeverity;

use fleet::FleetConfig;

/// Returns the findings of a configuration: first what control refuses, then the warnings. Control
/// answers with the first error.
///
/// Without the configuration in force, only versions that control refuses whichever is in force
/// are found.
#[must_use]
pub fn check_config(config: &FleetConfig, in_force: Option<&FleetConfig>) -> Vec<CheckFinding> {
    let mut findings = refusal::find_config_errors(config);
    findings.extend(refusal::find_version_errors(config, in_force));
    findings.extend(find_warnings(config));
    findings
}

/// Returns the findings of the configuration in force when it is sent again: its versions are no
/// errors, because control acknowledges it once more.
fn check_resent(config: &FleetConfig) -> Vec<CheckFinding> {
    let mut findings = refusal::find_config_errors(config);
    findings.extend(find_warnings(config));
    findings
}

fn find_warnings(config: &FleetConfig) -> Vec<CheckFinding> {
    let mut findings = reachability::find_unreachable(config);
    findings.extend(contradiction::find_contradictions(config));
    findings
}
