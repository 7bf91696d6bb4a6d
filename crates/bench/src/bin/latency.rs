//! Compares calls through the nodes with direct calls to a backend server.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bench::latency;
use bench::latency::LatencyFigures;
use bench::latency::LatencyGroup;
use bench::latency::LatencyPath;
use bench::latency::LatencySettings;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

/// Time limit for a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(40);
/// Growth of throughput at doubled concurrency below which a path is saturated.
const SATURATED_GROWTH: f64 = 1.05;

#[tokio::main]
async fn main() -> ExitCode {
    match run(&command().get_matches()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("latency: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    Command::new("latency")
        .about("Compares calls through the nodes with direct calls to a backend server")
        .after_help("Exit status: 0 measured, 1 a failure.")
        .arg(number("samples", "4000").help("Samples of each path at each concurrency"))
        .arg(number("most", "64").help("Highest concurrency"))
        .arg(number("idle-s", "10").help("Time without calls, in seconds"))
        .arg(path("out").help("CSV file for the latencies"))
        .arg(path("folder").help("Folder for files and logs; a new temporary folder unless given"))
}

fn number(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_parser(value_parser!(u32).range(1..))
        .default_value(default)
}

fn path(name: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_parser(value_parser!(PathBuf))
}

async fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let folder = matches.get_one::<PathBuf>("folder").cloned();
    let folder = folder.unwrap_or_else(default_folder);
    let group = LatencyGroup::start(&folder).await?;
    let figures = measure(&group, matches).await;
    let mut processes = group.processes;
    let stopping = tokio::task::spawn_blocking(move || processes.stop(STOP_TIMEOUT));
    stopping.await??;
    let figures = figures?;
    if let Some(file) = matches.get_one::<PathBuf>("out") {
        latency::write_latencies(file, &figures)?;
    }
    Ok(())
}

async fn measure(
    group: &LatencyGroup,
    matches: &ArgMatches,
) -> anyhow::Result<Vec<LatencyFigures>> {
    println!("load averages {}", latency::load_averages());
    let idle = Duration::from_secs(get(matches, "idle-s").into());
    latency::print_idle(&latency::measure_idle(group, idle).await?);
    println!();
    let samples = usize::try_from(get(matches, "samples"))?;
    let most = usize::try_from(get(matches, "most"))?;
    let mut figures = Vec::new();
    let mut concurrency = 1;
    let mut saturation = SaturationDetector::default();
    while concurrency <= most && !saturation.is_reached() {
        for path in LatencyPath::ALL {
            let settings = LatencySettings {
                path,
                concurrency,
                samples,
            };
            let row = latency::measure_latency(group, settings).await?;
            saturation.observe(&row);
            figures.push(row);
        }
        concurrency *= 2;
    }
    latency::print_latencies(&figures);
    println!("load averages {}", latency::load_averages());
    Ok(figures)
}

fn get(matches: &ArgMatches, name: &str) -> u32 {
    matches.get_one::<u32>(name).copied().unwrap_or(1)
}

fn default_folder() -> PathBuf {
    let name = format!("ragwortplank-latency-{}", std::process::id());
    Path::new(&std::env::temp_dir()).join(name)
}

/// Detects that the throughput of both paths through the nodes no longer grows.
#[derive(Debug, Default)]
struct SaturationDetector {
    one_hop: PathGrowth,
    chain: PathGrowth,
}

/// Throughput of one path.
#[derive(Debug, Default)]
struct PathGrowth {
    best: f64,
    is_saturated: bool,
}

impl SaturationDetector {
    fn observe(&mut self, row: &LatencyFigures) {
        match row.path {
            LatencyPath::OneHop => self.one_hop.observe(row.per_second),
            LatencyPath::Chain => self.chain.observe(row.per_second),
            LatencyPath::Direct | LatencyPath::DirectChain => {}
        }
    }

    fn is_reached(&self) -> bool {
        self.one_hop.is_saturated && self.chain.is_saturated
    }
}

impl PathGrowth {
    fn observe(&mut self, per_second: f64) {
        self.is_saturated = per_second < self.best * SATURATED_GROWTH;
        self.best = self.best.max(per_second);
    }
}
