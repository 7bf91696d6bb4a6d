//! Argument definitions shared by several commands.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::builder::PossibleValuesParser;
use clap::value_parser;

/// Value of `--wait` when it is given without one, in seconds.
const DEFAULT_WAIT_S: &str = "10";

pub(super) fn control_arguments() -> Vec<Arg> {
    let control = Arg::new("control")
        .long("control")
        .value_name("ADDRESS")
        .env("RAGWORTPLANK_CONTROL")
        .value_delimiter(',')
        .action(ArgAction::Append)
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("Admin listeners of control instances, tried in order");
    let mut arguments = vec![control];
    arguments.extend(tls_arguments());
    arguments
}

pub(super) fn tls_arguments() -> [Arg; 3] {
    [
        path(
            "tls-authority",
            "FILE",
            "Certificate of the authority that signed all certificates",
        )
        .env("RAGWORTPLANK_TLS_AUTHORITY")
        .required(true),
        path("tls-certificate", "FILE", "Certificate of the operator")
            .env("RAGWORTPLANK_TLS_CERTIFICATE")
            .required(true),
        path("tls-key", "FILE", "Private key of the operator")
            .env("RAGWORTPLANK_TLS_KEY")
            .required(true),
    ]
}

pub(super) fn file_argument() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Declaration (TOML)")
}

pub(super) fn addresses_argument() -> Arg {
    Arg::new("addresses")
        .value_name("ADDRESS")
        .required(true)
        .num_args(1..)
        .value_parser(value_parser!(SocketAddr))
        .help("Admin listeners of nodes and control instances")
}

pub(super) fn owner_key() -> Arg {
    path("key", "FILE", "Private key file of the signing owner")
}

pub(super) fn base() -> Arg {
    Arg::new("base")
        .long("base")
        .value_name("VERSION")
        .value_parser(value_parser!(u64))
        .help("Version that the declaration is based on")
}

pub(super) fn wait() -> Arg {
    Arg::new("wait")
        .long("wait")
        .value_name("SECONDS")
        .num_args(0..=1)
        .default_missing_value(DEFAULT_WAIT_S)
        .value_parser(value_parser!(u64))
        .help("Wait up to this many seconds until the change is in force everywhere")
}

pub(super) fn role() -> Arg {
    Arg::new("role")
        .long("role")
        .required(true)
        .value_parser(PossibleValuesParser::new(["node", "control", "operator"]))
        .help("Role of the process, which its peers check")
}

pub(super) fn days(default: u32) -> Arg {
    Arg::new("days")
        .long("days")
        .default_value(default.to_string())
        .value_parser(value_parser!(u32).range(1..=36_500))
        .help("Days until the certificate expires")
}

pub(super) fn path(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name(value)
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

pub(super) fn text(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name(name.to_uppercase())
        .help(help)
}

pub(super) fn parse_hex(text: &str) -> Result<[u8; 32], String> {
    model::hex::decode_32(text).ok_or_else(|| "expected 64 hexadecimal digits".to_owned())
}
