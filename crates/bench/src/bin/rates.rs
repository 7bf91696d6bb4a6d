//! Measures the token allocation over rates, bursts, numbers of nodes and shapes of demand.

use std::time::Duration;

use bench::experiment::rates;
use bench::experiment::rates::DemandShape;
use bench::experiment::rates::RateCase;
use bench::experiment::scenario::TeamRate;
use clap::Arg;
use clap::Command;
use clap::value_parser;

/// Rates with their bursts.
const RATES: [TeamRate; 5] = [
    rate(0.5, 1.0),
    rate(5.0, 5.0),
    rate(50.0, 50.0),
    rate(500.0, 500.0),
    rate(5000.0, 5000.0),
];
/// Numbers of entry nodes.
const NODES: [usize; 4] = [1, 3, 18, 180];
/// Virtual length of a run, in seconds.
const TOTAL_S: u64 = 120;

const fn rate(per_s: f64, burst: f64) -> TeamRate {
    TeamRate { per_s, burst }
}

fn main() {
    let seed = Arg::new("seed")
        .long("seed")
        .value_parser(value_parser!(u64))
        .default_value("1")
        .help("Seed of the random generator");
    let command = Command::new("rates").about("Measures the token allocation on virtual time");
    let matches = command.arg(seed).get_matches();
    let seed = *matches.get_one::<u64>("seed").unwrap_or(&1);
    println!("shape   rate/s  burst nodes  within  refused  share    over  waited  demands/s/node");
    for shape in [DemandShape::Even, DemandShape::Moving] {
        for rate in RATES {
            for nodes in NODES {
                print_case(shape, rate, nodes, seed);
            }
        }
    }
}

fn print_case(shape: DemandShape, rate: TeamRate, nodes: usize, seed: u64) {
    let case = RateCase {
        rate,
        nodes,
        shape,
        total: Duration::from_secs(TOTAL_S),
    };
    let figures = rates::measure(case, seed);
    let part = figures.refused as f64 / figures.within_rate.max(1) as f64;
    let per_node = figures.demands as f64 / TOTAL_S as f64 / nodes as f64;
    println!(
        "{:7} {:6} {:6} {nodes:5} {:7} {:8} {part:.5} {:5} {:7} {per_node:.2}",
        format!("{shape:?}"),
        rate.per_s,
        rate.burst,
        figures.within_rate,
        figures.refused,
        figures.over_issued,
        figures.waited,
    );
}
