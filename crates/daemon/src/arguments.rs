//! Command-line arguments of the daemon.

use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;

/// Parsed command-line arguments.
#[derive(Clone, Debug)]
pub(crate) struct DaemonArguments {
    /// Path of the settings file.
    pub(crate) config: PathBuf,
    /// Whether to validate the settings and exit.
    pub(crate) check: bool,
}

impl DaemonArguments {
    /// Parses the command line; exits after printing help or a usage error.
    pub(crate) fn parse() -> Self {
        let matches = command().get_matches();
        let config = matches.get_one::<PathBuf>("config").cloned();
        Self {
            config: config.unwrap_or_default(),
            check: matches.get_flag("check"),
        }
    }
}

fn command() -> Command {
    Command::new("ragwortplankd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Runs a node or a control instance of ragwortplank")
        .after_help(
            "SIGTERM and SIGINT stop the process gracefully: it takes no new work, finishes \
             calls in flight and hands back its leases. Exit status: 0 stopped, 1 failed, \
             2 the settings or the command line cannot be used.",
        )
        .args(daemon_arguments())
}

fn daemon_arguments() -> [Arg; 2] {
    [
        Arg::new("config")
            .long("config")
            .value_name("FILE")
            .required(true)
            .value_parser(value_parser!(PathBuf))
            .help("Settings file (TOML); its `role` is `node` or `control`"),
        Arg::new("check")
            .long("check")
            .action(ArgAction::SetTrue)
            .help("Check the settings and exit"),
    ]
}
