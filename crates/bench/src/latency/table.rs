//! Results as printed tables and as CSV.

use std::path::Path;

use crate::latency::IdleUsage;
use crate::latency::LatencyFigures;

/// Bytes of a kibibyte and a mebibyte.
const KIB: f64 = 1_024.0;
const MIB: f64 = KIB * KIB;

/// Prints the resource usage of processes without calls.
pub fn print_idle(figures: &[IdleUsage]) {
    println!(
        "{:<12} {:>8} {:>8} {:>10}",
        "idle", "% core", "KiB/s", "MiB"
    );
    for row in figures {
        let bytes = row.control_bytes;
        let bytes = bytes.map_or("-".to_owned(), |bytes| format!("{:.2}", bytes / KIB));
        println!(
            "{:<12} {:>8.2} {bytes:>8} {:>10.1}",
            row.process,
            row.cpu_percent,
            row.resident_bytes as f64 / MIB
        );
    }
}

/// Prints latencies, and what each call adds to the direct call at the same concurrency.
pub fn print_latencies(figures: &[LatencyFigures]) {
    println!(
        "{:<11} {:>5} {:>7} {:>6} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>9} {:>6}",
        "path",
        "conc.",
        "ok",
        "failed",
        "1/s",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "+p50/call",
        "+p99/call",
        "node CPU",
        "load"
    );
    for row in figures {
        println!(
            "{:<11} {:>5} {:>7} {:>6} {:>8.0} {:>8.3} {:>8.3} {:>8.3} {:>9} {:>9} {:>9.3} {:>6}",
            row.path.to_string(),
            row.concurrency,
            row.answered,
            row.failed,
            row.per_second,
            row.p50_ms,
            row.p99_ms,
            row.p999_ms,
            added(figures, row, |row| row.p50_ms),
            added(figures, row, |row| row.p99_ms),
            row.node_cpu_ms,
            row.load_average.split(' ').next().unwrap_or_default(),
        );
    }
}

/// Writes latencies as CSV.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub fn write_latencies(file: &Path, figures: &[LatencyFigures]) -> anyhow::Result<()> {
    let mut writer = csv::Writer::from_path(file)?;
    for row in figures {
        writer.serialize(row)?;
    }
    writer.flush()?;
    Ok(())
}

/// Returns the difference of a quantile to that of the direct path, per service call.
fn added(
    figures: &[LatencyFigures],
    row: &LatencyFigures,
    value: impl Fn(&LatencyFigures) -> f64,
) -> String {
    let baseline = row.path.baseline().and_then(|path| {
        let mut direct = figures.iter();
        direct.find(|other| other.path == path && other.concurrency == row.concurrency)
    });
    baseline.map_or("-".to_owned(), |direct| {
        let added = (value(row) - value(direct)) / row.path.calls() as f64;
        format!("{added:.3}")
    })
}
