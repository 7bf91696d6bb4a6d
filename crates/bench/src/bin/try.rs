//! Runs the whole system as separate processes on loopback and checks every outcome.

use std::io::IsTerminal;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use bench::demo;
use bench::demo::DemoGroup;
use bench::journal;
use bench::load;
use bench::load::CallRecord;
use bench::load::LoadSettings;
use bench::load::OutcomeTable;
use bench::load::audit_runs;
use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;

/// Time limit for a graceful stop, in seconds.
const STOP_TIMEOUT_S: u64 = 40;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let folder = matches.get_one::<PathBuf>("folder").cloned();
    let folder = folder.unwrap_or_else(demo::default_folder);
    let keep = matches.get_flag("keep");
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    match runtime.block_on(run(&folder, keep)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("try: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    Command::new("try")
        .about("Runs the whole system on loopback and checks every outcome")
        .after_help("Exit status: 0 all outcomes are right, 1 a wrong outcome or a failure.")
        .arg(
            Arg::new("folder")
                .long("folder")
                .value_parser(value_parser!(PathBuf))
                .help("Folder for files and logs; a new temporary folder unless given"),
        )
        .arg(
            Arg::new("keep")
                .long("keep")
                .action(ArgAction::SetTrue)
                .help("Keep running after the load, until interrupted"),
        )
}

async fn run(folder: &std::path::Path, keep: bool) -> anyhow::Result<bool> {
    progress("creating keys, certificates and settings");
    let DemoGroup {
        mut group,
        profiles,
    } = demo::start(folder).await?;
    let settings = LoadSettings {
        nodes: group.caller_listeners(),
        authority: group.files.authority(),
        profiles: profiles.clone(),
        callers: 24,
        requests: 120,
        pause: std::time::Duration::from_millis(10),
    };
    progress("steady load");
    let steady = load::run_load(&settings).await?;
    progress("overload: the deepest service slows down");
    demo::set_delay(&group, "prices", 40).await?;
    let overload_settings = LoadSettings {
        callers: 120,
        requests: 60,
        pause: std::time::Duration::ZERO,
        ..settings.clone()
    };
    let overload = load::run_load(&overload_settings).await?;
    demo::set_delay(&group, "prices", 2).await?;
    progress("");
    report("Steady load", &steady, &settings);
    report("Overload", &overload, &settings);
    if keep {
        print!("{}", demo::describe(&group, &profiles));
        tokio::signal::ctrl_c()
            .await
            .context("waiting for an interrupt")?;
    }
    progress("stopping gracefully");
    let stopping = tokio::task::spawn_blocking(move || {
        let timeout = std::time::Duration::from_secs(STOP_TIMEOUT_S);
        group.stop(timeout).map(|()| group)
    });
    let group = stopping.await??;
    progress("");
    let runs = journal::read_runs(&group.files.journals)?;
    let records: Vec<CallRecord> = steady.into_iter().chain(overload).collect();
    let audit = audit_runs(&records, &profiles, &runs);
    if audit.is_clean() {
        println!(
            "{} requests, no wrong outcome; files in {}",
            records.len(),
            folder.display()
        );
    } else {
        println!("wrong outcomes: {audit:#?}");
    }
    Ok(audit.is_clean())
}

fn report(title: &str, records: &[CallRecord], settings: &LoadSettings) {
    println!(
        "{title}\n{}",
        OutcomeTable::new(records, &settings.profiles)
    );
}

/// Shows the current step in one line, on a terminal only.
fn progress(text: &str) {
    let mut output = std::io::stderr();
    if output.is_terminal() {
        let _ = write!(output, "\r\x1b[2K{text}");
        let _ = output.flush();
    }
}
