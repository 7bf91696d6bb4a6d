//! The command-line tool of owners and operators.

use std::process::ExitCode;

use cli::arguments::CliArguments;

fn main() -> ExitCode {
    let arguments = CliArguments::parse();
    cli::run(&arguments, &mut std::io::stdout()).into()
}
