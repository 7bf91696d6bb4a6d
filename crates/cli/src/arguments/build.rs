//! Defines the command line for clap.

mod shared;

use std::net::IpAddr;
use std::net::SocketAddr;

use clap::Arg;
use clap::ArgAction;
use clap::ArgGroup;
use clap::Command;
use clap::builder::PossibleValuesParser;
use clap::value_parser;
use clap_complete::Shell;

use crate::arguments::SinceTime;
use crate::arguments::build::shared::addresses_argument;
use crate::arguments::build::shared::base;
use crate::arguments::build::shared::control_arguments;
use crate::arguments::build::shared::days;
use crate::arguments::build::shared::file_argument;
use crate::arguments::build::shared::owner_key;
use crate::arguments::build::shared::parse_hex;
use crate::arguments::build::shared::path;
use crate::arguments::build::shared::role;
use crate::arguments::build::shared::text;
use crate::arguments::build::shared::tls_arguments;
use crate::arguments::build::shared::wait;
use crate::certificate::AUTHORITY_VALIDITY_DAYS;
use crate::certificate::CERTIFICATE_VALIDITY_DAYS;
use crate::exit::CHECK_EXIT_STATUS_HELP;
use crate::exit::EXIT_STATUS_HELP;

/// Name of the subcommand that checks a configuration.
pub(super) const CHECK_CONFIG: &str = "check-config";

/// Returns the definition of the command line.
#[must_use]
pub fn command() -> Command {
    Command::new("ragwortplank")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Validates and proposes declarations, and inspects the running processes")
        .after_help(EXIT_STATUS_HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(output())
        .subcommands(file_commands())
        .subcommands(change_commands())
        .subcommands(operation_commands())
}

fn output() -> Arg {
    Arg::new("output")
        .long("output")
        .global(true)
        .value_parser(PossibleValuesParser::new(["table", "json"]))
        .default_value("table")
        .help("Output format of results")
}

/// Commands that work offline.
fn file_commands() -> [Command; 6] {
    [
        keygen(),
        cert(),
        Command::new("check")
            .about("Validate declarations and print how many items each declares")
            .arg(file_argument().num_args(1..)),
        check_config(),
        sign(),
        Command::new("completions")
            .about("Print a shell completion script")
            .arg(
                Arg::new("shell")
                    .required(true)
                    .value_parser(value_parser!(Shell)),
            ),
    ]
}

/// Commands that read or change the declaration in force.
fn change_commands() -> [Command; 3] {
    [
        Command::new("plan")
            .about("Show what a declaration would change")
            .arg(file_argument())
            .args(control_arguments()),
        propose(),
        Command::new("team")
            .about("Manage the keys of teams")
            .subcommand_required(true)
            .subcommand(team_key()),
    ]
}

/// Commands that query or control running processes.
fn operation_commands() -> [Command; 3] {
    [
        Command::new("status")
            .about("Show the status of processes, and whether control instances have diverged")
            .arg(addresses_argument())
            .args(tls_arguments()),
        timeline(),
        Command::new("drain")
            .about("Drain a node: it finishes the calls it has accepted and takes no new ones")
            .arg(
                Arg::new("address")
                    .value_name("ADDRESS")
                    .required(true)
                    .value_parser(value_parser!(SocketAddr))
                    .help("Admin listener of the node"),
            )
            .args(tls_arguments()),
    ]
}

fn keygen() -> Command {
    Command::new("keygen")
        .about("Generate keys")
        .subcommand_required(true)
        .subcommand(
            Command::new("owner")
                .about("Create an owner's key file and print the public key")
                .arg(path("out", "FILE", "File to create").required(true)),
        )
        .subcommand(
            Command::new("team-key")
                .about("Generate a key for a team and print it with its digest"),
        )
}

fn cert() -> Command {
    Command::new("cert")
        .about("Create TLS certificates")
        .subcommand_required(true)
        .subcommand(
            Command::new("authority")
                .about("Create the certificate authority of a deployment")
                .arg(
                    path(
                        "out",
                        "FOLDER",
                        "Folder for authority.pem and authority.key",
                    )
                    .required(true),
                )
                .arg(text("name", "Name of the deployment").default_value("ragwortplank"))
                .arg(days(AUTHORITY_VALIDITY_DAYS)),
        )
        .subcommand(
            Command::new("issue")
                .about("Issue the TLS certificate of a process")
                .arg(
                    path(
                        "authority",
                        "FOLDER",
                        "Folder with the files of the certificate authority",
                    )
                    .required(true),
                )
                .arg(path("out", "FOLDER", "Folder for NAME.pem and NAME.key").required(true))
                .arg(text("name", "Name of the process, and base name of the files").required(true))
                .arg(role())
                .arg(
                    Arg::new("ip")
                        .long("ip")
                        .action(ArgAction::Append)
                        .value_parser(value_parser!(IpAddr))
                        .help("IP address of the process"),
                )
                .arg(text("dns", "Additional DNS name of the process").action(ArgAction::Append))
                .arg(days(CERTIFICATE_VALIDITY_DAYS)),
        )
}

fn check_config() -> Command {
    Command::new(CHECK_CONFIG)
        .about("Check a configuration of the `group` role before it is sent")
        .after_help(CHECK_EXIT_STATUS_HELP)
        .arg(file_argument().help("Configuration (JSON)"))
        .arg(path(
            "in-force",
            "FILE",
            "Configuration in force, to check the versions and show the differences",
        ))
        .arg(
            Arg::new("format")
                .long("format")
                .value_parser(PossibleValuesParser::new(["plain", "json"]))
                .help("Output format; takes precedence over --output"),
        )
}

fn sign() -> Command {
    Command::new("sign")
        .about("Sign a change offline; `propose --signature` submits the signature")
        .arg(
            Arg::new("subject")
                .value_name("HASH|FILE")
                .required(true)
                .help("Hash of a change, or a declaration together with --base"),
        )
        .arg(base())
        .arg(owner_key().required(true))
}

fn propose() -> Command {
    Command::new("propose")
        .about("Propose a declaration, or add the second owner's signature to a proposal")
        .arg(file_argument())
        .arg(base())
        .arg(owner_key())
        .arg(
            path("signature", "FILE", "Signature file written by `sign`").action(ArgAction::Append),
        )
        .group(
            ArgGroup::new("signers")
                .args(["key", "signature"])
                .multiple(true)
                .required(true),
        )
        .arg(wait())
        .args(control_arguments())
}

fn team_key() -> Command {
    Command::new("key")
        .about("Propose to grant or withdraw a key of a team")
        .subcommand_required(true)
        .subcommand(
            Command::new("grant")
                .about(
                    "Propose to grant a key; without --digest a new key is generated and printed",
                )
                .arg(Arg::new("team").value_name("TEAM").required(true))
                .arg(text("name", "Name of the key, by which it can be withdrawn").required(true))
                .arg(
                    text("digest", "Digest of an existing key, 64 hexadecimal digits")
                        .value_parser(parse_hex),
                )
                .args(edit_arguments()),
        )
        .subcommand(
            Command::new("withdraw")
                .about("Propose to withdraw a key")
                .arg(Arg::new("name").value_name("NAME").required(true))
                .args(edit_arguments()),
        )
}

fn timeline() -> Command {
    Command::new("timeline")
        .about("Show the events of several processes, causes before effects")
        .arg(addresses_argument())
        .arg(text("request", "Only events of this request"))
        .arg(text("change", "Only events of this change"))
        .arg(text("process", "Only events of this process"))
        .arg(
            Arg::new("since")
                .long("since")
                .value_name("TIME")
                .value_parser(value_parser!(SinceTime))
                .help(
                    "Only events since this time: milliseconds since the Unix epoch, \
                     or a duration before now such as `90s`, `15m` or `2h`",
                ),
        )
        .args(tls_arguments())
}

fn edit_arguments() -> Vec<Arg> {
    let mut arguments = vec![
        owner_key().required(true),
        path(
            "write",
            "FILE",
            "Also write the edited declaration to this file, for version control",
        ),
        wait(),
    ];
    arguments.extend(control_arguments());
    arguments
}
