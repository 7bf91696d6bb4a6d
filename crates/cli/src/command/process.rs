//! Commands that query the status and events of processes, or drain a node.

use std::net::SocketAddr;
use std::time::SystemTime;

use futures::future::join_all;
use model::admin::StatusReport;
use model::admin::TimelineReport;
use settings::TlsFiles;
use timeline::EventRecord;

use crate::arguments::TimelineArguments;
use crate::client::AdminClient;
use crate::client::AdminRequest;
use crate::exit::CliError;
use crate::report::DrainReport;
use crate::report::MergedTimeline;
use crate::report::ProcessRow;
use crate::report::StatusTable;

pub(super) async fn status(
    addresses: &[SocketAddr],
    tls: &TlsFiles,
) -> Result<StatusTable, CliError> {
    let client = AdminClient::new(tls).map_err(CliError::Usage)?;
    let request = AdminRequest::get("/status");
    let requests = addresses.iter().map(|address| {
        let response = client.send_to_any_role::<StatusReport>(*address, &request);
        async move { process_row(*address, response.await) }
    });
    Ok(StatusTable::new(join_all(requests).await))
}

pub(super) async fn timeline(arguments: &TimelineArguments) -> Result<MergedTimeline, CliError> {
    let client = AdminClient::new(&arguments.tls).map_err(CliError::Usage)?;
    let since = arguments
        .since
        .map(|since| since.unix_ms(SystemTime::now()));
    let request = AdminRequest::get(format!("/timeline?since={}", since.unwrap_or_default()));
    let addresses = arguments.addresses.iter();
    let requests =
        addresses.map(|address| client.send_to_any_role::<TimelineReport>(*address, &request));
    let mut reports = Vec::new();
    let mut unreachable = Vec::new();
    for result in join_all(requests).await {
        match result {
            Ok(report) => reports.push(report),
            Err(error) => unreachable.push(error.to_string()),
        }
    }
    let mut events = merge_events(reports);
    events.retain(|event| matches_filters(event, arguments));
    Ok(MergedTimeline {
        timeline: TimelineReport { events },
        unreachable,
    })
}

pub(super) async fn drain(address: SocketAddr, tls: &TlsFiles) -> Result<DrainReport, CliError> {
    let client = AdminClient::new(tls).map_err(CliError::Usage)?;
    let request = AdminRequest::post("/drain", &())?;
    let answer = client.send_to_node(address, &request).await?;
    Ok(DrainReport {
        address: address.to_string(),
        answer,
    })
}

/// Merges the events of several processes, sorted by timestamp and then by process.
#[must_use]
pub fn merge_events(reports: Vec<TimelineReport>) -> Vec<EventRecord> {
    let events = reports.into_iter().flat_map(|report| report.events);
    let mut events: Vec<EventRecord> = events.collect();
    events.sort_by(|left, right| {
        let by_timestamp = left.stamp.cmp(&right.stamp);
        by_timestamp.then_with(|| left.process.cmp(&right.process))
    });
    events
}

fn process_row(address: SocketAddr, result: Result<StatusReport, CliError>) -> ProcessRow {
    let (report, error) = match result {
        Ok(report) => (Some(report), None),
        Err(error) => (None, Some(error.to_string())),
    };
    ProcessRow {
        address: address.to_string(),
        report,
        error,
    }
}

fn matches_filters(event: &EventRecord, arguments: &TimelineArguments) -> bool {
    let matches = |filter: &Option<String>, found: Option<&str>| {
        filter.as_ref().is_none_or(|wanted| found == Some(wanted))
    };
    matches(&arguments.request, event.request.as_deref())
        && matches(&arguments.change, event.change.as_deref())
        && matches(&arguments.process, Some(&event.process))
}
