//! CPU time by thread name.

use std::collections::BTreeMap;
use std::fs;
use std::time::Duration;

/// CPU time spent so far, by thread name.
#[derive(Clone, Debug, Default)]
pub(crate) struct CpuSample {
    spent: BTreeMap<String, Duration>,
}

impl CpuSample {
    /// Reads the CPU times of all threads of this process.
    pub(crate) fn take() -> anyhow::Result<Self> {
        let mut sample = Self::default();
        for task in fs::read_dir("/proc/self/task")? {
            let folder = task?.path();
            let Ok(name) = fs::read_to_string(folder.join("comm")) else {
                continue;
            };
            let times = fs::read_to_string(folder.join("schedstat")).unwrap_or_default();
            let first = times.split_whitespace().next();
            let spent_ns = first.and_then(|text| text.parse().ok()).unwrap_or_default();
            let total = sample.spent.entry(name.trim().to_owned()).or_default();
            *total += Duration::from_nanos(spent_ns);
        }
        Ok(sample)
    }

    /// Returns the CPU time spent since an earlier sample.
    pub(crate) fn since(&self, earlier: &Self) -> Self {
        let spent = self.spent.iter().map(|(name, spent)| {
            let before = earlier.spent.get(name).copied().unwrap_or_default();
            (name.clone(), spent.saturating_sub(before))
        });
        Self {
            spent: spent.collect(),
        }
    }

    /// Returns the CPU time of the threads with this name.
    pub(crate) fn of(&self, name: &str) -> Duration {
        self.spent.get(name).copied().unwrap_or_default()
    }
}
