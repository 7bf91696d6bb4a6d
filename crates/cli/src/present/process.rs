//! Formats the status and events of processes.

use std::fmt::Write;

use model::admin::ControlStatus;
use model::admin::NodeStatus;
use timeline::EventRecord;

use crate::present::TextReport;
use crate::present::TextTable;
use crate::report::MergedTimeline;
use crate::report::ProcessRow;
use crate::report::StatusTable;

/// Number of leading digits of a digest that are shown.
const SHOWN_DIGEST_DIGITS: usize = 12;

impl TextReport for StatusTable {
    fn to_text(&self) -> String {
        let mut text = String::new();
        let controls = self.processes.iter().filter_map(ProcessRow::control);
        push_table(&mut text, control_table(controls));
        let nodes = self.processes.iter().filter_map(ProcessRow::node);
        push_table(&mut text, node_table(nodes));
        for process in &self.processes {
            if let Some(error) = &process.error {
                let _ = writeln!(text, "{error}");
            }
        }
        for index in &self.diverged {
            let _ = writeln!(text, "DIVERGED: digests differ at log index {index}");
        }
        text
    }
}

impl TextReport for MergedTimeline {
    fn to_text(&self) -> String {
        let mut table = TextTable::new(&["STAMP", "PROCESS", "EVENT", "DETAILS"]);
        for event in &self.timeline.events {
            table.push(vec![
                event.stamp.to_string(),
                event.process.to_string(),
                event.kind.clone(),
                details(event),
            ]);
        }
        let mut text = table.to_string();
        for reason in &self.unreachable {
            let _ = writeln!(text, "{reason}");
        }
        text
    }
}

fn push_table(text: &mut String, table: Option<TextTable>) {
    if let Some(table) = table {
        text.push_str(&table.to_string());
    }
}

fn control_table<'a>(controls: impl Iterator<Item = &'a ControlStatus>) -> Option<TextTable> {
    let mut controls = controls.peekable();
    controls.peek()?;
    let header = [
        "CONTROL",
        "INSTANCE",
        "DUTY",
        "TERM",
        "LEADER",
        "VERSION",
        "COMMITTED",
        "APPLIED",
        "DIGEST",
        "NODES",
    ];
    let mut table = TextTable::new(&header);
    for control in controls {
        let leader = control
            .leader
            .map_or_else(|| "-".to_owned(), |leader| leader.to_string());
        let digest = control.digest.chars().take(SHOWN_DIGEST_DIGITS).collect();
        table.push(vec![
            control.process.clone(),
            control.instance.to_string(),
            control.role.clone(),
            control.term.to_string(),
            leader,
            control.version.to_string(),
            control.committed.to_string(),
            control.applied.to_string(),
            digest,
            control.nodes.len().to_string(),
        ]);
    }
    Some(table)
}

fn node_table<'a>(nodes: impl Iterator<Item = &'a NodeStatus>) -> Option<TextTable> {
    let mut nodes = nodes.peekable();
    nodes.peek()?;
    let header = [
        "NODE",
        "DATA CENTRE",
        "SERVICE",
        "STATE",
        "VERSION",
        "LEASE MS",
        "ENTERED",
        "IN FLIGHT",
        "QUEUED",
        "LIMIT",
        "MEMBERS",
    ];
    let mut table = TextTable::new(&header);
    for node in nodes {
        let member = &node.member;
        table.push(vec![
            node.process.clone(),
            member.data_centre.to_string(),
            member.service.to_string(),
            member.state.to_string(),
            node.applied.to_string(),
            node.lease_left_ms.to_string(),
            node.entered.to_string(),
            member.load.in_flight.to_string(),
            member.load.queued.to_string(),
            member.load.limit.to_string(),
            node.members.len().to_string(),
        ]);
    }
    Some(table)
}

fn details(event: &EventRecord) -> String {
    let request = event
        .request
        .iter()
        .map(|request| format!("request={request}"));
    let change = event.change.iter().map(|change| format!("change={change}"));
    let fields = event.fields.iter();
    let fields = fields.map(|field| format!("{}={}", field.key, field.value));
    let all: Vec<String> = request.chain(change).chain(fields).collect();
    all.join(" ")
}
