//! Runs the commands; each returns a report and an exit kind.

mod change;
mod check_config;
mod edit;
mod local;
mod process;
mod propose;

use std::future::Future;
use std::io::Write;

use anyhow::Context;

use crate::arguments;
use crate::arguments::CliArguments;
use crate::arguments::CliCommand;
use crate::arguments::OutputFormat;
use crate::exit::CliError;
use crate::exit::ExitKind;
use crate::present::TextReport;
use crate::present::write_report;

pub use edit::grant_key;
pub use edit::withdraw_key;
pub use process::merge_events;

/// Program name in completion scripts.
const PROGRAM_NAME: &str = "ragwortplank";

/// Runs a command and writes its report.
///
/// # Errors
///
/// Fails when the command fails without a report, or the output is closed.
pub fn run(arguments: &CliArguments, output: &mut impl Write) -> Result<ExitKind, CliError> {
    let mut printer = ReportPrinter {
        format: arguments.output,
        output,
    };
    match arguments.command.clone() {
        CliCommand::KeygenOwner { output_file } => {
            printer.print(&local::keygen_owner(&output_file)?)
        }
        CliCommand::KeygenTeamKey => printer.print(&local::keygen_team_key()),
        CliCommand::CertAuthority(arguments) => printer.print(&local::cert_authority(&arguments)?),
        CliCommand::CertIssue(arguments) => printer.print(&local::cert_issue(arguments)?),
        CliCommand::Check { files } => printer.print(&local::check(&files)?),
        CliCommand::CheckConfig { file, in_force } => {
            let report = check_config::check_config(&file, in_force.as_deref())?;
            printer.print_with_exit(&report, report.exit_kind())
        }
        CliCommand::Sign(arguments) => printer.print(&local::sign(&arguments)?),
        CliCommand::Completions { shell } => {
            let mut command = arguments::command();
            clap_complete::generate(shell, &mut command, PROGRAM_NAME, printer.output);
            Ok(ExitKind::Done)
        }
        CliCommand::Plan { file, control } => {
            printer.print(&block_on(change::plan(&file, &control))?)
        }
        CliCommand::Propose(arguments) => {
            let outcome = block_on(propose::propose(&arguments))?;
            printer.print_with_exit(&outcome, outcome.exit_kind())
        }
        CliCommand::TeamKeyGrant {
            team,
            name,
            digest,
            edit,
        } => {
            let outcome = block_on(change::grant(&team, &name, digest, &edit))?;
            printer.print_with_exit(&outcome, outcome.change.exit_kind())
        }
        CliCommand::TeamKeyWithdraw { name, edit } => {
            let outcome = block_on(change::withdraw(&name, &edit))?;
            printer.print_with_exit(&outcome, outcome.change.exit_kind())
        }
        CliCommand::Status { addresses, tls } => {
            let table = block_on(process::status(&addresses, &tls))?;
            printer.print_with_exit(&table, table.exit_kind())
        }
        CliCommand::Timeline(arguments) => {
            let merged = block_on(process::timeline(&arguments))?;
            let exit = if merged.unreachable.is_empty() {
                ExitKind::Done
            } else {
                ExitKind::Unreachable
            };
            printer.print_with_exit(&merged, exit)
        }
        CliCommand::Drain { address, tls } => {
            printer.print(&block_on(process::drain(address, &tls))?)
        }
    }
}

/// Writes reports in the requested format.
struct ReportPrinter<'a, W> {
    format: OutputFormat,
    output: &'a mut W,
}

impl<W: Write> ReportPrinter<'_, W> {
    fn print(&mut self, report: &impl TextReport) -> Result<ExitKind, CliError> {
        self.print_with_exit(report, ExitKind::Done)
    }

    fn print_with_exit(
        &mut self,
        report: &impl TextReport,
        exit: ExitKind,
    ) -> Result<ExitKind, CliError> {
        write_report(report, self.format, self.output)?;
        Ok(exit)
    }
}

/// Runs an asynchronous command to completion.
fn block_on<T>(command: impl Future<Output = Result<T, CliError>>) -> Result<T, CliError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("the async runtime could not be started")?;
    runtime.block_on(command)
}
