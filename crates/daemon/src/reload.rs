//! Reloads the settings that may change at run time: the addresses of the control instances.

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

/// Interval at which the file is read, since it may change without a signal, in seconds.
const POLL_INTERVAL_S: u64 = 2;

/// Reloads the settings file on SIGHUP, which then no longer ends the process, and at intervals.
///
/// The returned channel holds the addresses of control instances that the file lists.
pub(crate) fn watch_seeds(
    file: PathBuf,
    settings: &CheckedSettings,
) -> anyhow::Result<watch::Receiver<Vec<SocketAddr>>> {
    let hangup = signal(SignalKind::hangup()).context("listening for SIGHUP")?;
    let (sender, receiver) = watch::channel(control_seeds(settings));
    tokio::spawn(watch_file(file, hangup, sender));
    Ok(receiver)
}

fn control_seeds(settings: &CheckedSettings) -> Vec<SocketAddr> {
    match settings {
        CheckedSettings::Proxy(settings) => settings.control_seeds.clone(),
        CheckedSettings::Group(settings) => settings.seeds.clone(),
        CheckedSettings::Node(_) | CheckedSettings::Control(_) => Vec::new(),
    }
}

async fn watch_file(file: PathBuf, mut hangup: Signal, seeds: watch::Sender<Vec<SocketAddr>>) {
    let mut poll_interval = interval(Duration::from_secs(POLL_INTERVAL_S));
    poll_interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let asked = tokio::select! {
            _ = hangup.recv() => true,
            _ = poll_interval.tick() => false,
        };
        let loaded = match CheckedSettings::load(&file) {
            Ok(loaded) => control_seeds(&loaded),
            Err(error) if asked => {
                warn!(event = "settings-not-reloaded", %error);
                continue;
            }
            // The file may be half written; the next interval reads it again.
            Err(_) => continue,
        };
        let changed = seeds.send_if_modified(|current| {
            let differs = *current != loaded;
            *current = loaded;
            differs
        });
        if asked || changed {
            info!(event = "settings-reloaded", asked, changed, seeds = ?*seeds.borrow());
        }
    }
}
