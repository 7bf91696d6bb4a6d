//! Status of several processes.

use std::collections::BTreeMap;

use model::admin::ControlStatus;
use model::admin::NodeStatus;
use model::admin::StatusReport;
use model::ids::LogIndex;
use serde::Serialize;

use crate::exit::ExitKind;

/// Status of one process, or why it is unknown.
#[derive(Clone, Debug, Serialize)]
pub struct ProcessRow {
    /// Admin listener of the process.
    pub address: String,
    /// Status of the process, if it responded.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub report: Option<StatusReport>,
    /// Why there is no status.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}

/// Status of all queried processes.
#[derive(Clone, Debug, Serialize)]
pub struct StatusTable {
    /// One row for each address, in the order given.
    pub processes: Vec<ProcessRow>,
    /// Log indices at which the state digests of control instances differ.
    pub diverged: Vec<LogIndex>,
}

impl StatusTable {
    /// Compares the digests of control instances at the same log index.
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

    /// Returns the exit kind of the `status` command.
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
    /// Returns the status if the process is a control instance.
    #[must_use]
    pub fn control(&self) -> Option<&ControlStatus> {
        match &self.report {
            Some(StatusReport::Control(control)) => Some(control),
            _ => None,
        }
    }

    /// Returns the status if the process is a node.
    #[must_use]
    pub fn node(&self) -> Option<&NodeStatus> {
        match &self.report {
            Some(StatusReport::Node(node)) => Some(node),
            _ => None,
        }
    }
}
