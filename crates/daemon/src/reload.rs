//! Settings that may change while the process runs: where control is found.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use settings::CheckedSettings;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tracing::info;
use tracing::warn;

/// Period in which the file is read, since it may change without a signal, in seconds.
const LOOK_S: u64 = 2;

/// Watches the settings file, and keeps SIGHUP from ending the process.
///
/// Returns the control instances that the file names, now and after each change.
pub(crate) fn watch_seeds(
    file: PathBuf,
    settings: &CheckedSettings,
) -> anyhow::Result<watch::Receiver<Vec<SocketAddr>>> {
    let hangup = signal(SignalKind::hangup()).context("listening for SIGHUP")?;
    let (sender, receiver) = watch::channel(seeds_of(settings));
    tokio::spawn(follow(file, hangup, sender));
    Ok(receiver)
}

fn seeds_of(settings: &CheckedSettings) -> Vec<SocketAddr> {
    match settings {
        CheckedSettings::Proxy(settings) => settings.control_seeds.clone(),
        CheckedSettings::Group(settings) => settings.seeds.clone(),
        CheckedSettings::Node(_) | CheckedSettings::Control(_) => Vec::new(),
    }
}

async fn follow(file: PathBuf, mut hangup: Signal, seeds: watch::Sender<Vec<SocketAddr>>) {
    let mut period = interval(Duration::from_secs(LOOK_S));
    period.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let asked = tokio::select! {
            _ = hangup.recv() => true,
            _ = period.tick() => false,
        };
        let read = match CheckedSettings::load(&file) {
            Ok(read) => seeds_of(&read),
            Err(error) if asked => {
                warn!(event = "settings-not-reloaded", %error);
                continue;
            }
            // A file that is being written is read again soon.
            Err(_) => continue,
        };
        let changed = seeds.send_if_modified(|known| {
            let differs = *known != read;
            *known = read;
            differs
        });
        if asked || changed {
            info!(event = "settings-reloaded", asked, changed, seeds = ?*seeds.borrow());
        }
    }
}
