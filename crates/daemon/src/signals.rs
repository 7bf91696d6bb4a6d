//! Graceful stop on signals.

use anyhow::Context;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio_util::sync::CancellationToken;

/// Cancels `stop` on the first SIGTERM or SIGINT.
pub(crate) fn cancel_on_signal(stop: CancellationToken) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("listening for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("listening for SIGINT")?;
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        tracing::info!(event = "stop-requested");
        stop.cancel();
    });
    Ok(())
}
