//! The command-line tool of owners and operators.
//!
//! The functions of [`command`] return reports from [`report`], which are plain data;
//! [`present`] formats them as a table or as JSON.

pub mod arguments;
pub mod certificate;
pub mod client;
pub mod command;
pub mod exit;
pub mod keyfile;
pub mod present;
pub mod report;
pub mod secret_file;

use std::io::Write;

use crate::arguments::CliArguments;
use crate::exit::CliError;
use crate::exit::ExitKind;

/// Runs a command, writing its report to `output` and errors to standard error.
pub fn run(arguments: &CliArguments, output: &mut impl Write) -> ExitKind {
    match command::run(arguments, output) {
        Ok(exit) => exit,
        Err(error) => {
            report_error(&error);
            error.exit_kind()
        }
    }
}

fn report_error(error: &CliError) {
    let mut stderr = std::io::stderr();
    // If standard error is closed, the error cannot be reported anywhere else.
    let _ = writeln!(stderr, "ragwortplank: {error}");
}
