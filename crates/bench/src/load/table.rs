//! Table of outcomes by class and team.

use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;

use crate::load::CallOutcome;
use crate::load::CallRecord;
use crate::load::CallerProfile;

/// Highest latency that the histogram records, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Records with the same key are counted together.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct OutcomeKey {
    class: String,
    team: String,
    outcome: CallOutcome,
}

/// Counts and latencies of outcomes.
#[derive(Debug, Default)]
pub struct OutcomeTable {
    rows: BTreeMap<OutcomeKey, Histogram<u64>>,
}

impl OutcomeTable {
    /// Counts the records by class, team and outcome.
    #[must_use]
    pub fn new(records: &[CallRecord], profiles: &[CallerProfile]) -> Self {
        let mut table = Self::default();
        for record in records {
            let profile = &profiles[record.profile];
            let key = OutcomeKey {
                class: profile.class.clone(),
                team: profile.team.clone(),
                outcome: record.outcome.clone(),
            };
            let elapsed_us = u64::try_from(record.elapsed.as_micros()).unwrap_or(MAX_LATENCY_US);
            let histogram = table.rows.entry(key).or_insert_with(new_histogram);
            histogram.saturating_record(elapsed_us);
        }
        table
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are valid")
}

impl fmt::Display for OutcomeTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{:<16} {:<14} {:<36} {:>8} {:>10} {:>10}",
            "class", "team", "outcome", "count", "p50 ms", "p99 ms"
        )?;
        for (key, histogram) in &self.rows {
            let millis = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
            writeln!(
                formatter,
                "{:<16} {:<14} {:<36} {:>8} {:>10.2} {:>10.2}",
                key.class,
                key.team,
                key.outcome.to_string(),
                histogram.len(),
                millis(0.5),
                millis(0.99)
            )?;
        }
        Ok(())
    }
}
