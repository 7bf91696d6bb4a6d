//! `ragwortplankd`: runs a node or a control instance, depending on its settings.

mod arguments;
mod logging;
mod reload;
mod signals;

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use clock::BootClock;
use clock::SystemClock;
use platform::PlatformAdapter;
use settings::CheckedSettings;
use tokio_util::sync::CancellationToken;

use crate::arguments::DaemonArguments;

/// Worker threads of a node, which shares its instance with a backend server.
const NODE_THREADS: usize = 2;
/// Worker threads of a control instance.
const CONTROL_THREADS: usize = 4;
/// Exit status when the settings cannot be used.
const SETTINGS_STATUS: u8 = 2;

fn main() -> ExitCode {
    let arguments = DaemonArguments::parse();
    let settings = match CheckedSettings::load(&arguments.config) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("ragwortplankd: {error}");
            return ExitCode::from(SETTINGS_STATUS);
        }
    };
    if arguments.check {
        println!("{}: valid", arguments.config.display());
        return ExitCode::SUCCESS;
    }
    let _logs = logging::init();
    match run(settings, arguments.config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(event = "process-failed", error = %format!("{error:#}"));
            eprintln!("ragwortplankd: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: CheckedSettings, file: PathBuf) -> anyhow::Result<()> {
    let threads = match settings {
        CheckedSettings::Node(_) => NODE_THREADS,
        CheckedSettings::Control(_) => CONTROL_THREADS,
        CheckedSettings::Proxy(_) | CheckedSettings::Group(_) => return run_single(settings, file),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
        .context("starting the runtime")?;
    runtime.block_on(serve(settings, file))
}

/// Runs on a single thread, for instances that have only a fraction of a core.
fn run_single(settings: CheckedSettings, file: PathBuf) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("starting the runtime")?;
    runtime.block_on(serve(settings, file))
}

async fn serve(settings: CheckedSettings, file: PathBuf) -> anyhow::Result<()> {
    let stop = CancellationToken::new();
    signals::cancel_on_signal(stop.clone())?;
    let seeds = reload::watch_seeds(file, &settings)?;
    match settings {
        CheckedSettings::Node(settings) => node::run(settings, SystemClock, stop).await,
        CheckedSettings::Control(settings) => control::run(settings, SystemClock, stop).await,
        CheckedSettings::Proxy(settings) => {
            proxy::run(settings, seeds, PlatformAdapter, BootClock::new(), stop).await
        }
        CheckedSettings::Group(settings) => {
            group::run(settings, seeds, PlatformAdapter, BootClock::new(), stop).await
        }
    }
}
