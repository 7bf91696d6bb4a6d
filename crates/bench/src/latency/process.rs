//! Resource usage of other processes, from `/proc`.

use std::fs;
use std::time::Duration;

use anyhow::Context;

/// Returns the processor time that all threads of a process have used.
pub(super) fn cpu_time(id: u32) -> anyhow::Result<Duration> {
    thread_cpu_time(id, |_| true)
}

/// Returns the processor time used by the threads of a process whose names `select` accepts.
pub(super) fn thread_cpu_time(id: u32, select: impl Fn(&str) -> bool) -> anyhow::Result<Duration> {
    let mut total = Duration::ZERO;
    for task in fs::read_dir(format!("/proc/{id}/task"))? {
        let folder = task?.path();
        let Ok(name) = fs::read_to_string(folder.join("comm")) else {
            continue;
        };
        if !select(name.trim()) {
            continue;
        }
        let times = fs::read_to_string(folder.join("schedstat")).unwrap_or_default();
        let spent_ns = times.split_whitespace().next();
        let spent_ns = spent_ns.and_then(|text| text.parse().ok());
        total += Duration::from_nanos(spent_ns.unwrap_or_default());
    }
    Ok(total)
}

/// Returns the resident memory of a process, in bytes.
pub(super) fn resident_bytes(id: u32) -> anyhow::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let line = line.context("the process has no resident memory")?;
    let kilobytes: u64 = line.trim().trim_end_matches(" kB").parse()?;
    Ok(kilobytes * 1024)
}

/// Returns the load averages of the machine in the format of the system.
#[must_use]
pub fn load_averages() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let averages: Vec<_> = text.split_whitespace().take(3).collect();
    averages.join(" ")
}
