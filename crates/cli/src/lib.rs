//! The command-line tool: arguments, what it collects, and how it shows that.
//!
//! Commands in [`command`] collect data into reports, plain data that
//! [`present`] shows as a table or as JSON.

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

/// Runs the command line; results go to `output`, errors to standard error.
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
    // Nothing is left to tell the error to when standard error is closed.
    let _ = writeln!(stderr, "ragwortplank: {error}");
}
