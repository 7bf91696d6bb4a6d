//! Turns matches into typed arguments.

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

pub(super) fn arguments(matches: &ArgMatches) -> CliArguments {
    let json = optional::<String>(matches, "output").is_some_and(|format| format == "json");
    CliArguments {
        output: if json {
            OutputFormat::Json
        } else {
            OutputFormat::Table
        },
        command: cli_command(matches),
    }
}

fn cli_command(matches: &ArgMatches) -> CliCommand {
    match subcommand(matches) {
        ("keygen", matches) => keygen(matches),
        ("cert", matches) => cert(matches),
        ("check", matches) => CliCommand::Check {
            files: many(matches, "file"),
        },
        ("plan", matches) => CliCommand::Plan {
            file: needed(matches, "file"),
            control: control(matches),
        },
        ("propose", matches) => CliCommand::Propose(propose(matches)),
        ("sign", matches) => CliCommand::Sign(sign(matches)),
        ("status", matches) => CliCommand::Status {
            addresses: many(matches, "addresses"),
            tls: tls(matches),
        },
        ("team", matches) => team_key(subcommand(matches).1),
        ("timeline", matches) => CliCommand::Timeline(timeline(matches)),
        ("drain", matches) => CliCommand::Drain {
            address: needed(matches, "address"),
            tls: tls(matches),
        },
        (_, matches) => CliCommand::Completions {
            shell: needed(matches, "shell"),
        },
    }
}

fn keygen(matches: &ArgMatches) -> CliCommand {
    match subcommand(matches) {
        ("owner", matches) => CliCommand::KeygenOwner {
            output_file: needed(matches, "out"),
        },
        _ => CliCommand::KeygenTeamKey,
    }
}

fn cert(matches: &ArgMatches) -> CliCommand {
    match subcommand(matches) {
        ("authority", matches) => CliCommand::CertAuthority(AuthorityArguments {
            output_folder: needed(matches, "out"),
            name: needed(matches, "name"),
            validity_days: needed(matches, "days"),
        }),
        (_, matches) => CliCommand::CertIssue(IssueArguments {
            authority_folder: needed(matches, "authority"),
            output_folder: needed(matches, "out"),
            name: needed(matches, "name"),
            role: role(&needed::<String>(matches, "role")),
            ip_addresses: many(matches, "ip"),
            dns_names: many(matches, "dns"),
            validity_days: needed(matches, "days"),
        }),
    }
}

fn propose(matches: &ArgMatches) -> ProposeArguments {
    ProposeArguments {
        file: needed(matches, "file"),
        base_version: optional(matches, "base"),
        key_file: optional(matches, "key"),
        signature_files: many(matches, "signature"),
        wait_timeout: wait(matches),
        control: control(matches),
    }
}

fn sign(matches: &ArgMatches) -> SignArguments {
    let subject: String = needed(matches, "subject");
    let base_version: Option<u64> = optional(matches, "base");
    let hash = hex::decode_32(&subject).filter(|_| base_version.is_none());
    let file = PathBuf::from(subject);
    let subject = hash.map_or(SignSubject::File { file, base_version }, SignSubject::Hash);
    SignArguments {
        subject,
        key_file: needed(matches, "key"),
    }
}

fn team_key(matches: &ArgMatches) -> CliCommand {
    match subcommand(matches) {
        ("grant", matches) => CliCommand::TeamKeyGrant {
            team: needed(matches, "team"),
            name: needed(matches, "name"),
            digest: optional(matches, "digest"),
            edit: edit(matches),
        },
        (_, matches) => CliCommand::TeamKeyWithdraw {
            name: needed(matches, "name"),
            edit: edit(matches),
        },
    }
}

fn timeline(matches: &ArgMatches) -> TimelineArguments {
    TimelineArguments {
        addresses: many(matches, "addresses"),
        tls: tls(matches),
        request: optional(matches, "request"),
        change: optional(matches, "change"),
        process: optional(matches, "process"),
        since: optional(matches, "since"),
    }
}

fn edit(matches: &ArgMatches) -> EditArguments {
    EditArguments {
        key_file: needed(matches, "key"),
        output_file: optional(matches, "write"),
        wait_timeout: wait(matches),
        control: control(matches),
    }
}

fn control(matches: &ArgMatches) -> ControlArguments {
    ControlArguments {
        addresses: many(matches, "control"),
        tls: tls(matches),
    }
}

fn tls(matches: &ArgMatches) -> TlsFiles {
    TlsFiles {
        authority: needed(matches, "tls-authority"),
        certificate: needed(matches, "tls-certificate"),
        key: needed(matches, "tls-key"),
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

fn needed<T: Any + Clone + Send + Sync>(matches: &ArgMatches, name: &str) -> T {
    optional(matches, name).expect("the argument is required or has a default")
}

fn many<T: Any + Clone + Send + Sync>(matches: &ArgMatches, name: &str) -> Vec<T> {
    matches
        .get_many::<T>(name)
        .map_or_else(Vec::new, |values| values.cloned().collect())
}
