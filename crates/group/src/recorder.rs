//! Records what nodes report and what must outlive them: backend servers that left, and crashes;
//! sends nodes what is recorded.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use clock::Clock;
use fleet::ControlMessage;
use fleet::ControlReply;
use fleet::DepartedServer;
use fleet::DepartureVersion;
use fleet::EvacuationVersion;
use fleet::QuarantineVersion;
use fleet::StoreEntry;
use link::LinkSender;
use model::exchange::CrashReport;
use replica::ReplicatedState;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tracing::info;
use tracing::warn;

use crate::state::GroupState;

/// Timeout for replicating an entry, in milliseconds; the node reports it again after it.
const RECORD_TIMEOUT_MS: u64 = 1_000;

/// What a node asks control to record.
#[derive(Debug)]
pub(crate) struct NodeRecords {
    /// Address of the node.
    pub(crate) address: SocketAddr,
    pub(crate) departed: Vec<DepartedServer>,
    pub(crate) crashes: Vec<CrashReport>,
}

/// What a node knows of the recorded state; `None` where it knows nothing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownRecords {
    pub(crate) departures: Option<DepartureVersion>,
    pub(crate) evacuations: Option<EvacuationVersion>,
    pub(crate) quarantine: Option<QuarantineVersion>,
}

/// Records what one node reports.
#[derive(Debug, Default)]
pub(crate) struct NodeRecorder {
    /// The proposals under way; one task at most, however often the node reports.
    proposals: Option<JoinHandle<()>>,
}

impl NodeRecorder {
    /// Replicates what a node reports, and tells it once that is committed.
    pub(crate) fn record<C: Clock>(
        &mut self,
        state: &GroupState<C>,
        sender: &LinkSender<ControlMessage>,
        records: NodeRecords,
    ) {
        let proposals = self.proposals.as_ref();
        let is_under_way = proposals.is_some_and(|proposals| !proposals.is_finished());
        if is_under_way || records.departed.is_empty() && records.crashes.is_empty() {
            return;
        }
        let (state, sender) = (state.clone(), sender.clone());
        self.proposals = Some(tokio::spawn(async move {
            record_departures(&state, &sender, records.address, records.departed).await;
            for report in records.crashes {
                if !record_crash(&state, &sender, report).await {
                    return;
                }
            }
        }));
    }
}

async fn record_departures<C: Clock>(
    state: &GroupState<C>,
    sender: &LinkSender<ControlMessage>,
    address: SocketAddr,
    servers: Vec<DepartedServer>,
) {
    if servers.is_empty() {
        return;
    }
    let count = servers.len();
    if propose(state, StoreEntry::Departures { address, servers }).await {
        info!(event = "departures-recorded", node = %address, servers = count);
        send_departures(state, sender, address, None);
    }
}

/// Replicates a crash; returns whether it is committed.
async fn record_crash<C: Clock>(
    state: &GroupState<C>,
    sender: &LinkSender<ControlMessage>,
    report: CrashReport,
) -> bool {
    let (node, number, suspects) = (report.node, report.crash, report.suspects.len());
    let service = report.service.clone();
    let at_ms = unix_millis(state);
    if !propose(state, StoreEntry::Crash { report, at_ms }).await {
        return false;
    }
    info!(event = "crash-recorded", %service, node, number, suspects);
    reply(sender, ControlReply::CrashesRecorded(number));
    state.notify_sessions();
    true
}

/// Sends a node what is recorded and it does not know; returns whether the recorded state could be
/// read.
///
/// The state applied here must be as new as when the node reported. The departures go last, since
/// a node uses its backend server once it knows them.
pub(crate) fn send_records<C: Clock>(
    state: &GroupState<C>,
    sender: &LinkSender<ControlMessage>,
    address: SocketAddr,
    known: KnownRecords,
) -> bool {
    send_quarantine(state, sender, known.quarantine);
    let evacuations = send_evacuations(state, sender, known.evacuations);
    send_departures(state, sender, address, known.departures);
    evacuations.is_some()
}

/// Sends a node the requests to refuse, unless it has them in version `known`; returns the version
/// that it has then.
pub(crate) fn send_quarantine<C: Clock>(
    state: &GroupState<C>,
    sender: &LinkSender<ControlMessage>,
    known: Option<QuarantineVersion>,
) -> Option<QuarantineVersion> {
    let replica = state.replica()?;
    let now_ms = unix_millis(state);
    let list = replica.read(|store| {
        let suspects = store.suspects();
        (known != Some(suspects.version())).then(|| suspects.quarantine(now_ms))
    });
    let Some(list) = list else {
        return known;
    };
    let version = list.version;
    reply(sender, ControlReply::Quarantine(list));
    Some(version)
}

/// Sends a node the evacuated data centres, unless it has them in version `known`; returns the
/// version that it has then.
pub(crate) fn send_evacuations<C: Clock>(
    state: &GroupState<C>,
    sender: &LinkSender<ControlMessage>,
    known: Option<EvacuationVersion>,
) -> Option<EvacuationVersion> {
    let replica = state.replica()?;
    let list = replica.read(|store| {
        let evacuations = store.evacuations();
        (known != Some(evacuations.version)).then(|| evacuations.clone())
    });
    let Some(list) = list else {
        return known;
    };
    let version = list.version;
    reply(sender, ControlReply::Evacuations(list));
    Some(version)
}

fn send_departures<C: Clock>(
    state: &GroupState<C>,
    sender: &LinkSender<ControlMessage>,
    address: SocketAddr,
    known: Option<DepartureVersion>,
) {
    let Some(replica) = state.replica() else {
        return;
    };
    let list = replica.read(|store| {
        let departures = store.departures();
        (known != Some(departures.version(address))).then(|| departures.list(address))
    });
    if let Some(list) = list {
        reply(sender, ControlReply::Departures(list));
    }
}

fn reply(sender: &LinkSender<ControlMessage>, reply: ControlReply) {
    sender.send(&ControlMessage::Reply(Box::new(reply)));
}

/// Replicates an entry; returns whether it is committed.
async fn propose<C: Clock>(state: &GroupState<C>, entry: StoreEntry) -> bool {
    let Some(replica) = state.replica() else {
        return false;
    };
    let encoded = match entry.encode() {
        Ok(encoded) => encoded,
        Err(error) => {
            warn!(event = "entry-not-recorded", %error);
            return false;
        }
    };
    let time_limit = Duration::from_millis(RECORD_TIMEOUT_MS);
    let error = match timeout(time_limit, replica.propose(encoded)).await {
        Ok(Ok(_)) => {
            state.metrics.count("entry", "recorded");
            return true;
        }
        Ok(Err(error)) => error.to_string(),
        Err(_) => "timeout".to_owned(),
    };
    info!(event = "entry-not-recorded", error);
    state.metrics.count("entry", "not-recorded");
    false
}

/// Returns the time of day in Unix milliseconds; 0 before 1970.
fn unix_millis<C: Clock>(state: &GroupState<C>) -> u64 {
    let since = state.clock.wall().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
