//! Compares what callers were told with what backend servers ran.

use std::collections::HashMap;

use model::verdict::RunVerdict;

use crate::load::CallOutcome;
use crate::load::CallRecord;
use crate::load::CallerProfile;

/// Outcomes that must never be.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AuditReport {
    /// Requests said not to have run that did.
    pub ran_though_denied: Vec<String>,
    /// Requests that must run at most once and ran again.
    pub ran_twice: Vec<String>,
    /// Requests answered as run that no journal knows.
    pub answered_unrun: Vec<String>,
    /// Answers that were not whole or another request's.
    pub wrong_answers: Vec<String>,
    /// Requests whose connection ended without an answer.
    pub cut: Vec<String>,
}

impl AuditReport {
    /// Returns whether nothing of the kind happened.
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
