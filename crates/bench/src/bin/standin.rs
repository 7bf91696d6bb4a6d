//! A stub backend server as a separate process.

use std::time::Duration;

use bench::standin;
use bench::standin::StandinSettings;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

#[tokio::main(flavor = "current_thread")]
async fn main() -> anyhow::Result<()> {
    let matches = command().get_matches();
    standin::run(settings(&matches)).await
}

fn command() -> Command {
    Command::new("standin")
        .about("Runs a stub backend server")
        .arg(required("service").help("Service to announce"))
        .arg(required("listen").value_parser(value_parser!(std::net::SocketAddr)))
        .arg(required("node").value_parser(value_parser!(std::net::SocketAddr)))
        .arg(required("journal").value_parser(value_parser!(std::path::PathBuf)))
        .arg(number("slots", "16"))
        .arg(number("delay-ms", "2"))
        .arg(number("warm-up-ms", "0"))
        .arg(
            Arg::new("call")
                .long("call")
                .action(clap::ArgAction::Append),
        )
}

fn required(name: &'static str) -> Arg {
    Arg::new(name).long(name).required(true)
}

fn number(name: &'static str, default: &'static str) -> Arg {
    let parser = value_parser!(u64);
    Arg::new(name)
        .long(name)
        .value_parser(parser)
        .default_value(default)
}

fn settings(matches: &ArgMatches) -> StandinSettings {
    let millis =
        |name: &str| Duration::from_millis(matches.get_one::<u64>(name).copied().unwrap_or(0));
    let slots = matches.get_one::<u64>("slots").copied().unwrap_or(1);
    StandinSettings {
        service: matches
            .get_one::<String>("service")
            .cloned()
            .unwrap_or_default(),
        listen: *matches.get_one("listen").expect("clap requires it"),
        node: *matches.get_one("node").expect("clap requires it"),
        slots: usize::try_from(slots).unwrap_or(usize::MAX),
        delay: millis("delay-ms"),
        warm_up: millis("warm-up-ms"),
        calls: matches
            .get_many::<String>("call")
            .map(|calls| calls.cloned().collect())
            .unwrap_or_default(),
        journal: matches
            .get_one::<std::path::PathBuf>("journal")
            .cloned()
            .unwrap_or_default(),
    }
}
