//! Converts clap matches into typed arguments.

use std::any::Any;
use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;
use model::hex;
use settings::TlsFiles;
use wire::role::PeerRole;

use crate::arguments::AuthorityArguments;
use crate::arguments::CliArguments;
use crate::arguments::CliCommand;
use crate::arguments::ControlArguments;
use crate::arguments::EditArguments;
use crate::arguments::IssueArguments;
use crate::arguments::OutputFormat;
use crate::arguments::ProposeArguments;
use crate::arguments::SignArguments;
use crate::arguments::SignSubject;
use crate::arguments::TimelineArguments;
use crate::arguments::build::CHECK_CONFIG;

pub(super) fn arguments(matches: &ArgMatches) -> CliArguments {
    CliArguments {
        output: output_format(matches),
        command: cli_command(matches),
    }
}

/// Returns the format that `check-config --format` requests, otherwise that of `--output`.
fn output_format(matches: &ArgMatches) -> OutputFormat {
    let format: Option<String> = match subcommand(matches) {
        (CHECK_CONFIG, matches) => optional(matches, "format"),
        _ => None,
    };
    match format.or_else(|| optional(matches, "output")).as_deref() {
        Some("json") => OutputFormat::Json,
        _ => OutputFormat::Table,
    }
}

fn cli_command(matches: &ArgMatches) -> CliCommand {
    match subcommand(matches) {
        ("keygen", matches) => keygen(matches),
        ("cert", matches) => cert(matches),
        ("check", matches) => CliCommand::Check {
            files: values(matches, "file"),
        },
        (CHECK_CONFIG, matches) => CliCommand::CheckConfig {
            file: required(matches, "file"),
            in_force: optional(matches, "in-force"),
        },
        ("plan", matches) => CliCommand::Plan {
            file: required(matches, "file"),
            control: control(matches),
        },
        ("propose", matches) => CliCommand::Propose(propose(matches)),
        ("sign", matches) => CliCommand::Sign(sign(matches)),
        ("status", matches) => CliCommand::Status {
            addresses: values(matches, "addresses"),
            tls: tls(matches),
        },
        ("team", matches) => team_key(subcommand(matches).1),
        ("timeline", matches) => CliCommand::Timeline(timeline(matches)),
        ("drain", matches) => CliCommand::Drain {
            address: required(matches, "address"),
            tls: tls(matches),
        },
        (_, matches) => CliCommand::Completions {
            shell: required(matches, "shell"),
        },
    }
}

fn keygen(matches: &ArgMatches) -> CliCommand {
    match subcommand(matches) {
        ("owner", matches) => CliCommand::KeygenOwner {
            output_file: required(matches, "out"),
        },
        _ => CliCommand::KeygenTeamKey,
    }
}

fn cert(matches: &ArgMatches) -> CliCommand {
    match subcommand(matches) {
        ("authority", matches) => CliCommand::CertAuthority(AuthorityArguments {
            output_folder: required(matches, "out"),
            name: required(matches, "name"),
            validity_days: required(matches, "days"),
        }),
        (_, matches) => CliCommand::CertIssue(IssueArguments {
            authority_folder: required(matches, "authority"),
            output_folder: required(matches, "out"),
            name: required(matches, "name"),
            role: role(&required::<String>(matches, "role")),
            ip_addresses: values(matches, "ip"),
            dns_names: values(matches, "dns"),
            validity_days: required(matches, "days"),
        }),
    }
}

fn propose(matches: &ArgMatches) -> ProposeArguments {
    ProposeArguments {
        file: required(matches, "file"),
        base_version: optional(matches, "base"),
        key_file: optional(matches, "key"),
        signature_files: values(matches, "signature"),
        wait_timeout: wait(matches),
        control: control(matches),
    }
}

fn sign(matches: &ArgMatches) -> SignArguments {
    let subject: String = required(matches, "subject");
    let base_version: Option<u64> = optional(matches, "base");
    let hash = hex::decode_32(&subject).filter(|_| base_version.is_none());
    let file = PathBuf::from(subject);
    let subject = hash.map_or(SignSubject::File { file, base_version }, SignSubject::Hash);
    SignArguments {
        subject,
        key_file: required(matches, "key"),
    }
}

fn team_key(matches: &ArgMatches) -> CliCommand {
    match subcommand(matches) {
        ("grant", matches) => CliCommand::TeamKeyGrant {
            team: required(matches, "team"),
            name: required(matches, "name"),
            digest: optional(matches, "digest"),
            edit: edit(matches),
        },
        (_, matches) => CliCommand::TeamKeyWithdraw {
            name: required(matches, "name"),
            edit: edit(matches),
        },
    }
}

fn timeline(matches: &ArgMatches) -> TimelineArguments {
    TimelineArguments {
        addresses: values(matches, "addresses"),
        tls: tls(matches),
        request: optional(matches, "request"),
        change: optional(matches, "change"),
        process: optional(matches, "process"),
        since: optional(matches, "since"),
    }
}

fn edit(matches: &ArgMatches) -> EditArguments {
    EditArguments {
        key_file: required(matches, "key"),
        output_file: optional(matches, "write"),
        wait_timeout: wait(matches),
        control: control(matches),
    }
}

fn control(matches: &ArgMatches) -> ControlArguments {
    ControlArguments {
        addresses: values(matches, "control"),
        tls: tls(matches),
    }
}

fn tls(matches: &ArgMatches) -> TlsFiles {
    TlsFiles {
        authority: required(matches, "tls-authority"),
        certificate: required(matches, "tls-certificate"),
        key: required(matches, "tls-key"),
    }
}

fn wait(matches: &ArgMatches) -> Option<Duration> {
    optional(matches, "wait").map(Duration::from_secs)
}

fn role(name: &str) -> PeerRole {
    match name {
        "node" => PeerRole::Node,
        "control" => PeerRole::Control,
        _ => PeerRole::Operator,
    }
}

fn subcommand(matches: &ArgMatches) -> (&str, &ArgMatches) {
    matches.subcommand().expect("subcommands are required")
}

fn optional<T: Any + Clone + Send + Sync>(matches: &ArgMatches, name: &str) -> Option<T> {
    matches.get_one::<T>(name).cloned()
}

fn required<T: Any + Clone + Send + Sync>(matches: &ArgMatches, name: &str) -> T {
    optional(matches, name).expect("the argument is required or has a default")
}

fn values<T: Any + Clone + Send + Sync>(matches: &ArgMatches, name: &str) -> Vec<T> {
    matches
        .get_many::<T>(name)
        .map_or_else(Vec::new, |found| found.cloned().collect())
}
