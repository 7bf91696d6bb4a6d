//! Result table of a run, and its CSV file.

use std::fmt;
use std::path::Path;
use std::time::Duration;

use crate::experiment::counters::STEP_MS;
use crate::experiment::score::ScoreCard;

/// Width of the first column, in characters.
const NAME_WIDTH: usize = 34;
/// Width of the other columns, in characters.
const VALUE_WIDTH: usize = 14;

/// Scores of all policies in one scenario, side by side.
#[derive(Clone, Debug)]
pub struct ScoreTable {
    /// Heading.
    pub title: String,
    /// One score card per policy.
    pub cards: Vec<ScoreCard>,
}

/// One row: its label and how its value is formatted.
struct ScoreRow {
    name: &'static str,
    show: fn(&ScoreCard) -> String,
}

const ROWS: [ScoreRow; 18] = [
    row("goodput, whole requests/s", |card| {
        format!("{:.0}", card.goodput_per_s)
    }),
    row("share of the bottleneck's work", |card| {
        format!("{:.3}", card.bottleneck_share)
    }),
    row("time to recover, s", |card| seconds(card.recovery)),
    row("worst team / fair share", |card| {
        format!("{:.3}", card.worst_team_share)
    }),
    row("refused-last class, whole", |card| {
        format!("{:.4}", card.refused_last_success)
    }),
    row("its refusals beyond one period", |card| {
        card.priority_inversions.to_string()
    }),
    row("attempts / needed calls", |card| {
        format!("{:.3}", card.amplification)
    }),
    row("extra attempts, most", |card| {
        card.extra_attempts_max.to_string()
    }),
    row("work wasted on failed requests", |card| {
        format!("{:.3}", card.wasted_work)
    }),
    row("over-issued requests", |card| card.over_issued.to_string()),
    row("refused though within rate", |card| {
        format!("{:.5}", card.refused_within_rate)
    }),
    row("backend servers crashed", |card| card.crashes.to_string()),
    row("slots of the deep service used", |card| {
        format!("{:.3}", card.bottleneck_utilisation)
    }),
    row("innocent requests suspected", |card| {
        card.innocent_suspected.to_string()
    }),
    row("innocent in quarantine at the end", |card| {
        card.innocent_quarantined.to_string()
    }),
    row("failed in the end, whole run", |card| {
        format!("{:.4}", card.failed_share)
    }),
    row("last call after drain, s", |card| {
        seconds(card.last_call_after_drain)
    }),
    row("\"not run\" said of a run", |card| {
        card.false_not_run.to_string()
    }),
];

const fn row(name: &'static str, show: fn(&ScoreCard) -> String) -> ScoreRow {
    ScoreRow { name, show }
}

fn seconds(time: Option<Duration>) -> String {
    time.map_or("-".to_owned(), |time| format!("{:.1}", time.as_secs_f64()))
}

impl fmt::Display for ScoreTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "{}", self.title)?;
        write!(formatter, "{:NAME_WIDTH$}", "")?;
        for card in &self.cards {
            write!(formatter, "{:>VALUE_WIDTH$}", card.policy)?;
        }
        writeln!(formatter)?;
        for row in &ROWS {
            write!(formatter, "{:NAME_WIDTH$}", row.name)?;
            for card in &self.cards {
                write!(formatter, "{:>VALUE_WIDTH$}", (row.show)(card))?;
            }
            writeln!(formatter)?;
        }
        Ok(())
    }
}

impl ScoreTable {
    /// Writes the successful requests in each time step, one column per policy.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written.
    pub fn write_csv(&self, path: &Path) -> anyhow::Result<()> {
        let mut writer = csv::Writer::from_path(path)?;
        let mut header = vec!["time_ms".to_owned()];
        header.extend(self.cards.iter().map(|card| card.policy.to_owned()));
        writer.write_record(&header)?;
        let steps = self.cards.first().map_or(0, |card| card.series.len());
        for step in 0..steps {
            let mut record = vec![(step as u64 * STEP_MS).to_string()];
            record.extend(self.cards.iter().map(|card| card.series[step].to_string()));
            writer.write_record(&record)?;
        }
        writer.flush()?;
        Ok(())
    }
}
