//! Check of a configuration of the `group` role.

use std::fs;
use std::path::Path;

use anyhow::Context;
use check::check_document;
use platform::PlatformAdapter;

use crate::exit::CliError;
use crate::report::ConfigCheckReport;

/// Checks the configuration in a file, against the one in force if there is one.
pub(super) fn check_config(
    file: &Path,
    in_force: Option<&Path>,
) -> Result<ConfigCheckReport, CliError> {
    let document = read_file(file)?;
    let current = in_force.map(read_file).transpose()?;
    let outcome = check_document(&PlatformAdapter, &document, current.as_deref());
    let outcome = outcome.with_context(|| {
        let name = in_force.unwrap_or(file).display();
        format!("{name}: the configuration in force cannot be decoded")
    });
    let outcome = outcome.map_err(CliError::CheckInput)?;
    Ok(ConfigCheckReport::new(file, &outcome))
}

fn read_file(file: &Path) -> Result<Vec<u8>, CliError> {
    let content = fs::read(file);
    let content = content.with_context(|| format!("{} cannot be read", file.display()));
    content.map_err(CliError::CheckInput)
}
