//! Simulates a scenario on virtual time and prints the scores of three policies side by side.

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use bench::experiment::graph;
use bench::experiment::graph::CallGraph;
use bench::experiment::managed::ManagedPolicy;
use bench::experiment::no_control::NoControlPolicy;
use bench::experiment::plot;
use bench::experiment::scenario;
use bench::experiment::scenario::Scenario;
use bench::experiment::score;
use bench::experiment::score::ScoreCard;
use bench::experiment::static_limit::StaticLimitPolicy;
use bench::experiment::table::ScoreTable;
use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

/// Argument that selects all scenarios.
const ALL: &str = "all";

fn main() -> anyhow::Result<()> {
    let matches = command().get_matches();
    let name = text(&matches, "name");
    let seed = *matches.get_one::<u64>("seed").unwrap_or(&1);
    let seconds = *matches.get_one::<u64>("seconds").unwrap_or(&60);
    let only = matches.get_flag("only");
    let out = matches.get_one::<PathBuf>("out");
    let length = Duration::from_secs(seconds);
    for graph in graphs(&text(&matches, "user")) {
        let names = scenario::NAMES.iter();
        for name in names.filter(|known| name == ALL || name == **known) {
            let Some(scenario) = Scenario::named(name, length) else {
                continue;
            };
            run(&graph, &scenario, seed, only, out.map(PathBuf::as_path))?;
        }
    }
    Ok(())
}

fn command() -> Command {
    let names = scenario::NAMES.into_iter().chain([ALL]);
    Command::new("experiment")
        .about("Runs an experiment on virtual time")
        .arg(
            Arg::new("name")
                .required(true)
                .value_parser(names.collect::<Vec<_>>())
                .help("Scenario to run"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .default_value("1")
                .help("Seed of the random generators"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_parser(value_parser!(u64))
                .default_value("60")
                .help("Virtual seconds for which the disturbance lasts"),
        )
        .arg(
            Arg::new("user")
                .long("user")
                .value_parser(["plumon", "kervadec", "both"])
                .default_value("both")
                .help("Call graph to simulate"),
        )
        .arg(
            Arg::new("only")
                .long("only")
                .action(ArgAction::SetTrue)
                .help(
                    "Run only the policy of ragwortplank, without the two that it is compared with",
                ),
        )
        .arg(
            Arg::new("out")
                .long("out")
                .value_parser(value_parser!(PathBuf))
                .help("Folder for CSV and SVG files"),
        )
}

fn text(matches: &ArgMatches, name: &str) -> String {
    let value = matches.get_one::<String>(name);
    value.cloned().unwrap_or_default()
}

fn graphs(user: &str) -> Vec<CallGraph> {
    let graphs = [graph::plumon(), graph::kervadec()];
    let chosen = |graph: &CallGraph| user == "both" || graph.name == user;
    graphs.into_iter().filter(chosen).collect()
}

fn cards(graph: &CallGraph, scenario: &Scenario, seed: u64, only: bool) -> Vec<ScoreCard> {
    let managed = score::run::<ManagedPolicy>(graph, scenario, seed);
    if only {
        return vec![managed];
    }
    vec![
        score::run::<NoControlPolicy>(graph, scenario, seed),
        score::run::<StaticLimitPolicy>(graph, scenario, seed),
        managed,
    ]
}

fn run(
    graph: &CallGraph,
    scenario: &Scenario,
    seed: u64,
    only: bool,
    out: Option<&Path>,
) -> anyhow::Result<()> {
    let table = ScoreTable {
        title: format!("{} {} seed {seed}", graph.name, scenario.name),
        cards: cards(graph, scenario, seed, only),
    };
    println!("{table}");
    let Some(out) = out else {
        return Ok(());
    };
    std::fs::create_dir_all(out)?;
    let stem = format!("{}-{}-{seed}", graph.name, scenario.name);
    table.write_csv(&out.join(format!("{stem}.csv")))?;
    plot::draw(&table, &out.join(format!("{stem}.svg")))
}
