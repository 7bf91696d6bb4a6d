//! Compares the outcomes that callers saw with the requests that backend servers ran.

use std::collections::HashMap;

use model::verdict::RunVerdict;

use crate::load::CallOutcome;
use crate::load::CallRecord;
use crate::load::CallerProfile;

/// Outcomes that must never occur.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AuditReport {
    /// Requests that ran although their verdict was "not run".
    pub ran_though_denied: Vec<String>,
    /// At-most-once requests that ran more than once.
    pub ran_twice: Vec<String>,
    /// Answered requests that no journal contains.
    pub answered_unrun: Vec<String>,
    /// Requests whose response was incomplete or belonged to another request.
    pub wrong_answers: Vec<String>,
    /// Requests whose connection ended without a response.
    pub cut: Vec<String>,
}

impl AuditReport {
    /// Returns whether none of these outcomes occurred.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        *self == Self::default()
    }
}

/// Checks the records against the journals' lines, each `SERVICE MARKER`.
#[must_use]
pub fn audit_runs(
    records: &[CallRecord],
    profiles: &[CallerProfile],
    runs: &[String],
) -> AuditReport {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for run in runs {
        *counts.entry(run).or_default() += 1;
    }
    let mut report = AuditReport::default();
    for record in records {
        let profile = &profiles[record.profile];
        let line = format!("{} {}", profile.service, record.marker);
        let count = counts.get(line.as_str()).copied().unwrap_or(0);
        if record.verdict == Some(RunVerdict::NotRun) && count > 0 {
            report.ran_though_denied.push(line.clone());
        }
        if profile.at_most_once && count > 1 {
            report.ran_twice.push(line.clone());
        }
        match record.outcome {
            CallOutcome::Answered if count == 0 => report.answered_unrun.push(line),
            CallOutcome::WrongAnswer => report.wrong_answers.push(line),
            CallOutcome::ConnectionLost => report.cut.push(line),
            _ => {}
        }
    }
    report
}
