//! Incoming connections from nodes and other control instances.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use fleet::ConfigNotice;
use fleet::ControlMessage;
use fleet::ControlReply;
use fleet::EvacuationVersion;
use fleet::NodeReport;
use fleet::QuarantineVersion;
use fleet::TeamShare;
use fleet::TeamTokens;
use link::LinkReceiver;
use link::LinkSender;
use model::ids::ConfigVersion;
use model::ids::DataCentreName;
use model::ids::InstanceId;
use model::ids::NodeId;
use model::ids::TeamName;
use quorum::MemberRole;
use replica::ReplicatedState;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::task::TaskTracker;
use tracing::info;

use crate::capacity::server_capacity;
use crate::recorder;
use crate::recorder::KnownRecords;
use crate::recorder::NodeRecorder;
use crate::recorder::NodeRecords;
use crate::registry::NodeRegistry;
use crate::state::GroupState;

/// Shortest time between two messages about the node list to one node, in milliseconds; the changes
/// in between go out together, at the latest with the answer to the node's next report.
const LIST_INTERVAL_MS: u64 = 100;

/// Accepts and serves connections until the links stop, and writes out what is queued on them.
pub(crate) async fn serve<C: Clock>(state: GroupState<C>, listener: TcpListener) {
    let links = TaskTracker::new();
    loop {
        let (stream, peer) = tokio::select! {
            () = state.links_stop.cancelled() => break,
            accepted = link::accept(&listener, "links") => accepted,
        };
        links.spawn(serve_link(state.clone(), stream, peer));
    }
    links.close();
    links.wait().await;
}

async fn serve_link<C: Clock>(state: GroupState<C>, stream: TcpStream, peer: SocketAddr) {
    let (sender, receiver) = match link::open(stream) {
        Ok(opened) => opened,
        Err(error) => {
            tracing::debug!(event = "link-not-opened", %peer, %error);
            return;
        }
    };
    let session = LinkSession {
        state,
        sender,
        peer,
        node: None,
        sent_version: 0,
        sent_node_list_version: 0,
        list_sent_at: None,
        recorder: NodeRecorder::default(),
        quarantine_version: None,
        evacuation_version: None,
    };
    session.run(receiver).await;
}

/// What a report asks for beside its record.
#[derive(Clone, Debug)]
struct LeaseRequest {
    report_number: u64,
    /// Data centre of the node that reported.
    data_centre: DataCentreName,
    /// Address of the node that reported.
    address: SocketAddr,
    known: KnownRecords,
}

/// A connection, and what has been sent on it.
struct LinkSession<C> {
    state: GroupState<C>,
    sender: LinkSender<ControlMessage>,
    peer: SocketAddr,
    /// The node at the other end, once it has reported.
    node: Option<NodeId>,
    /// Version of the configuration that was sent, or that the node has if that is lower.
    sent_version: ConfigVersion,
    /// Version of the node list that was sent, or that the node has if that is lower.
    sent_node_list_version: u64,
    /// When something about the node list was sent last.
    list_sent_at: Option<Instant>,
    recorder: NodeRecorder,
    /// Version of the quarantine that was sent, or that the node has.
    quarantine_version: Option<QuarantineVersion>,
    /// Version of the evacuated data centres that was sent, or that the node has.
    evacuation_version: Option<EvacuationVersion>,
}

impl<C: Clock> LinkSession<C> {
    async fn run(mut self, mut receiver: LinkReceiver<ControlMessage>) {
        let mut updates = self.state.subscribe();
        loop {
            tokio::select! {
                message = receiver.next() => match message {
                    Some(message) => self.handle_message(message),
                    None => break,
                },
                changed = updates.changed(), if self.node.is_some() => {
                    if changed.is_err() {
                        break;
                    }
                    self.send_updates();
                }
                () = self.state.links_stop.cancelled() => {
                    self.sender.flushed().await;
                    break;
                }
            }
        }
        if let Some(node) = self.node {
            info!(event = "node-link-ended", node, peer = %self.peer);
        }
    }

    fn handle_message(&mut self, message: ControlMessage) {
        match message {
            ControlMessage::Replica { from, to, body } => {
                self.state.peer_links.record_heard(from);
                self.pass_on(from, to, &body);
            }
            ControlMessage::Leaving { instance } => self.state.peer_links.record_leaving(instance),
            ControlMessage::QueryMembers => self.reply_members(),
            ControlMessage::Report(report) => self.handle_report(*report),
            ControlMessage::BorrowTokens {
                requested_at,
                tokens,
            } => self.lend_tokens(requested_at, tokens),
            ControlMessage::Members { .. }
            | ControlMessage::Reply(_)
            | ControlMessage::OtherIdentity { .. } => {
                tracing::warn!(event = "message-unexpected", peer = %self.peer);
            }
        }
    }

    /// Passes a message on to the replica, or answers that the member it is for is gone.
    ///
    /// An instance that has lost its disk says so even before it has found its group.
    fn pass_on(&self, from: InstanceId, to: InstanceId, body: &[u8]) {
        let Some(running) = self.state.peer_links.own() else {
            return;
        };
        if running != to {
            let intended = to;
            self.sender
                .send(&ControlMessage::OtherIdentity { intended, running });
            return;
        }
        let replica = self.state.replica();
        if let Some(replica) = replica.filter(|replica| replica.status().instance == to) {
            replica.receive(from, body.to_vec());
        }
    }

    fn reply_members(&self) {
        let (state, sender) = (self.state.clone(), self.sender.clone());
        tokio::spawn(async move {
            let confirmed = state.confirm_leader().await;
            let Some(status) = state.status() else {
                sender.send(&ControlMessage::Members {
                    instances: Vec::new(),
                    confirmed: false,
                });
                return;
            };
            let members = status.membership.members().iter();
            sender.send(&ControlMessage::Members {
                instances: members.map(|member| member.instance).collect(),
                // A removal that is not committed may still be undone, and the asker would
                // have deleted its log by then.
                confirmed: confirmed && status.is_membership_committed(),
            });
        });
    }

    fn handle_report(&mut self, mut report: NodeReport) {
        let node = report.record.node;
        let is_leader = self
            .state
            .status()
            .is_some_and(|status| status.role == MemberRole::Leader);
        if !is_leader {
            let own = self.state.status().map(|status| status.instance);
            let leader = self.state.leader().filter(|leader| Some(*leader) != own);
            self.reply(ControlReply::NotLeader {
                leader: leader.map(|leader| self.state.peer_links.address(leader)),
                instances: self.state.instances(),
            });
            return;
        }
        self.state.metrics.count("report", "taken");
        if self.node != Some(node) {
            info!(event = "node-reported", node, peer = %self.peer,
                applied = report.applied_version);
            self.node = Some(node);
        }
        self.sent_version = self.sent_version.min(report.applied_version);
        self.sent_node_list_version = self.sent_node_list_version.min(report.node_list_version);
        let request = LeaseRequest {
            report_number: report.number,
            data_centre: report.record.data_centre.clone(),
            address: report.record.address,
            known: KnownRecords {
                departures: report.departure_version,
                evacuations: report.evacuation_version,
                quarantine: report.quarantine_version,
            },
        };
        self.quarantine_version = report.quarantine_version;
        self.evacuation_version = report.evacuation_version;
        let records = NodeRecords {
            address: request.address,
            departed: std::mem::take(&mut report.departed),
            crashes: std::mem::take(&mut report.crashes),
        };
        self.recorder.record(&self.state, &self.sender, records);
        let changed = self.record_report(report);
        if changed {
            self.state.notify_sessions();
        }
        self.renew_lease(&request);
    }

    /// Records the report in the leader's state; returns whether other nodes must be notified.
    fn record_report(&self, report: NodeReport) -> bool {
        let now = self.state.clock.now();
        let version = self.state.version();
        let evacuations = self.state.evacuations();
        let changed = self.state.with_leader_state(|leader| {
            if leader.applied_version != version {
                leader.apply_config(self.state.current(), version, now);
            }
            let node = report.record.node;
            for demand in &report.teams {
                leader.rate_allocator.report(
                    node,
                    &demand.team,
                    demand.demand_per_s,
                    demand.share_milli,
                    now,
                );
            }
            let reported: Vec<&TeamName> = report.teams.iter().map(|demand| &demand.team).collect();
            leader.rate_allocator.report_rest(node, &reported, now);
            let place = server_capacity(&report.record, &evacuations);
            leader
                .traffic
                .add_report(&report.record, place.slots, &report.work, now);
            leader
                .entry_planner
                .add_report(node, place, &report.work, now);
            let effect = leader.registry.report(report.record, now);
            if let Some(ended) = effect.replaced {
                leader.rate_allocator.remove_node(ended, now);
            }
            effect.changed
        });
        changed.unwrap_or(false)
    }

    /// Sends the current shares, then renews the lease once a quorum has confirmed the leader.
    fn renew_lease(&mut self, request: &LeaseRequest) {
        self.send_updates();
        let now = self.state.clock.now();
        let node = self.node.unwrap_or_default();
        let node_addresses = self.state.node_addresses();
        let granted = self.state.with_leader_state(|leader| {
            let knows_all = leader.knows_all(node, &node_addresses, now);
            leader.note_completeness(&node_addresses, now);
            let shares = leader.rate_allocator.grant(node, knows_all, now);
            let plan = leader.entry_plan(&node_addresses, now);
            let traffic_shares = leader.traffic.shares_of(
                &request.data_centre,
                &leader.registry,
                &node_addresses,
                now,
            );
            (knows_all, shares, plan, traffic_shares)
        });
        if let Some((knows_all, shares, entry_shares, traffic_shares)) = granted {
            if let Some(entry_shares) = entry_shares {
                self.reply(ControlReply::EntryShares(entry_shares));
            }
            if let Some(shares) = traffic_shares {
                self.reply(ControlReply::TrafficShares(shares));
            }
            if knows_all {
                let shares = shares.into_iter();
                let shares = shares.map(|(team, share_milli)| TeamShare { team, share_milli });
                self.reply(ControlReply::RateShares(shares.collect()));
            }
        }
        let (state, sender) = (self.state.clone(), self.sender.clone());
        let LeaseRequest {
            report_number,
            address,
            known,
            ..
        } = *request;
        tokio::spawn(async move {
            if !state.confirm_leader().await {
                return;
            }
            if !recorder::send_records(&state, &sender, address, known) {
                return;
            }
            let reply = ControlReply::LeaseRenewed {
                report_number,
                version: state.version(),
                instances: state.instances(),
            };
            sender.send(&ControlMessage::Reply(Box::new(reply)));
        });
    }

    /// Lends tokens once a quorum has confirmed the leader, so that no two leaders lend at the
    /// same time.
    fn lend_tokens(&self, requested_at: Duration, requested: Vec<TeamTokens>) {
        let (state, sender) = (self.state.clone(), self.sender.clone());
        tokio::spawn(async move {
            if !state.confirm_leader().await {
                return;
            }
            if let Some(lent) = state.lend_tokens(requested) {
                let reply = ControlReply::Tokens { requested_at, lent };
                sender.send(&ControlMessage::Reply(Box::new(reply)));
            }
        });
    }

    /// Sends the node the configuration and the node list if it does not have the latest versions.
    fn send_updates(&mut self) {
        let version = self.state.version();
        if version > self.sent_version
            && let Some(change) = self.state.current()
        {
            self.sent_version = version;
            let config = change.config;
            self.reply(ControlReply::Config(Box::new(ConfigNotice { config })));
        }
        if self.quarantine_version.is_some() {
            self.quarantine_version =
                recorder::send_quarantine(&self.state, &self.sender, self.quarantine_version);
        }
        self.evacuation_version =
            recorder::send_evacuations(&self.state, &self.sender, self.evacuation_version);
        let now = self.state.clock.now();
        let interval = Duration::from_millis(LIST_INTERVAL_MS);
        if self.list_sent_at.is_some_and(|at| now < at + interval) {
            return;
        }
        let sent = self.sent_node_list_version;
        let node_addresses = self.state.node_addresses();
        let list = self.state.with_leader_state(|leader| {
            let complete = leader.registry.is_complete(&node_addresses, now);
            node_list_reply(&leader.registry, complete, sent)
        });
        if let Some(Some((list_version, list))) = list {
            self.sent_node_list_version = list_version;
            self.list_sent_at = Some(now);
            self.reply(list);
        }
    }

    fn reply(&self, reply: ControlReply) {
        self.sender.send(&ControlMessage::Reply(Box::new(reply)));
    }
}

/// Returns the node list, or how it differs from version `sent`, and its version; `None` if nothing
/// has changed.
fn node_list_reply(
    registry: &NodeRegistry,
    complete: bool,
    sent: u64,
) -> Option<(u64, ControlReply)> {
    // The version increases once more when the list becomes complete, so that all nodes learn which
    // nodes have left.
    let list_version = registry.list_version() * 2 + u64::from(complete);
    let is_of_this_leader = list_version >> 25 == sent >> 25;
    if is_of_this_leader && list_version <= sent {
        return None;
    }
    let was_complete = sent % 2 == 1;
    let changes = registry.changes_since(sent / 2);
    let reply = match changes.filter(|_| complete == was_complete) {
        Some(changes) => ControlReply::NodeChanges {
            base_version: sent,
            list_version,
            changed: changes.changed,
            removed: changes.removed,
        },
        None => ControlReply::Nodes {
            list_version,
            records: registry.records(),
            complete,
        },
    };
    Some((list_version, reply))
}
