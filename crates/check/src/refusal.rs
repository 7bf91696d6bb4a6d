//! Errors for which control refuses a configuration, determined by the functions that it uses.

use fleet::ChangeOutcome;
use fleet::FleetConfig;

use crate::CheckFinding;

/// Returns all errors that depend on the configuration alone.
pub(crate) fn find_config_errors(config: &FleetConfig) -> Vec<CheckFinding> {
    let errors = fleet::collect_errors(config).into_iter();
    errors.map(CheckFinding::Invalid).collect()
}

/// Returns the errors in the version and the base version.
pub(crate) fn find_version_errors(
    config: &FleetConfig,
    in_force: Option<&FleetConfig>,
) -> Vec<CheckFinding> {
    let (version, base) = (config.version, config.base_version);
    // Without the configuration in force, its version is taken to be the base version, because
    // control accepts no other one.
    let current = in_force.map_or(base, |config| config.version);
    let mut findings = Vec::new();
    if let ChangeOutcome::Conflict { current } =
        ChangeOutcome::from_versions(version, base, current)
    {
        findings.push(CheckFinding::BaseConflict { base, current });
    }
    if let ChangeOutcome::OldVersion { current } =
        ChangeOutcome::from_versions(version, current, current)
    {
        findings.push(CheckFinding::OldVersion { version, current });
    }
    findings
}
