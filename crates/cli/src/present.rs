//! Formats reports as tables or JSON.

mod change;
mod config_check;
mod process;
mod simple;
mod text_table;

use std::io::Write;

use anyhow::Context;
use serde::Serialize;

use crate::arguments::OutputFormat;

pub use text_table::TextTable;

/// A report that can be formatted as text for people.
pub trait TextReport: Serialize {
    /// Returns the report as text that ends with a line break.
    fn to_text(&self) -> String;
}

/// Writes a report in the requested format.
///
/// # Errors
///
/// Fails when the output is closed.
pub fn write_report(
    report: &impl TextReport,
    format: OutputFormat,
    output: &mut impl Write,
) -> anyhow::Result<()> {
    let text = match format {
        OutputFormat::Table => report.to_text(),
        OutputFormat::Json => format!("{}\n", serde_json::to_string_pretty(report)?),
    };
    output
        .write_all(text.as_bytes())
        .and_then(|()| output.flush())
        .context("the result cannot be written")
}
