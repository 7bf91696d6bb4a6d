//! State of several processes.

use std::collections::BTreeMap;

use model::admin::ControlStatus;
use model::admin::NodeStatus;
use model::admin::StatusReport;
use model::ids::LogIndex;
use serde::Serialize;

use crate::exit::ExitKind;

/// State of one process, or why it is not known.
#[derive(Clone, Debug, Serialize)]
pub struct ProcessRow {
    /// Its admin listener.
    pub address: String,
    /// Its state.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub report: Option<StatusReport>,
    /// Why there is none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}

/// State of all processes asked.
#[derive(Clone, Debug, Serialize)]
pub struct StatusTable {
    /// One row for each address, in the order given.
    pub processes: Vec<ProcessRow>,
    /// Log positions at which control instances have different digests.
    pub diverged: Vec<LogIndex>,
}

impl StatusTable {
    /// Compares control instances that have applied the same commands.
    #[must_use]
    pub fn new(processes: Vec<ProcessRow>) -> Self {
        let mut digests: BTreeMap<LogIndex, &str> = BTreeMap::new();
        let mut diverged = Vec::new();
        for control in processes.iter().filter_map(ProcessRow::control) {
            let digest = digests
                .entry(control.digest_index)
                .or_insert(&control.digest);
            if *digest != control.digest && !diverged.contains(&control.digest_index) {
                diverged.push(control.digest_index);
            }
        }
        Self {
            processes,
            diverged,
        }
    }

    /// Returns how a command ends that found this.
    #[must_use]
    pub fn exit_kind(&self) -> ExitKind {
        if !self.diverged.is_empty() {
            return ExitKind::Failed;
        }
        let mut processes = self.processes.iter();
        if processes.any(|process| process.report.is_none()) {
            return ExitKind::Unreachable;
        }
        ExitKind::Done
    }
}

impl ProcessRow {
    /// Returns the state of a control instance.
    #[must_use]
    pub fn control(&self) -> Option<&ControlStatus> {
        match &self.report {
            Some(StatusReport::Control(control)) => Some(control),
            _ => None,
        }
    }

    /// Returns the state of a node.
    #[must_use]
    pub fn node(&self) -> Option<&NodeStatus> {
        match &self.report {
            Some(StatusReport::Node(node)) => Some(node),
            _ => None,
        }
    }
}
