//! Session with the control group: sends reports and token requests; receives configuration,
//! nodes, evacuated data centres, quota shares and admission plans.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use fleet::ControlMessage;
use fleet::ControlReply;
use fleet::NodeRecord;
use fleet::NodeReport;
use fleet::ProtocolAdapter;
use link::LinkSender;
use model::ids::NodeId;
use model::traffic::TrafficShare;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;
use tracing::info;

use crate::control_instances::ControlInstances;
use crate::state::ProxyState;
use crate::token_wait_queue::drop_late_loan;

/// Interval between reports, in milliseconds.
const REPORT_PERIOD_MS: u64 = 300;
/// Timeout to connect to a control instance, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 400;
/// Time without a reply to a report after which another control instance is tried, in
/// milliseconds.
const REPLY_TIMEOUT_MS: u64 = 700;
/// Delay before the next connection to a control instance, in milliseconds.
const RECONNECT_DELAY_MS: u64 = 120;
/// Most reports without a reply that are remembered.
const MAX_PENDING_REPORTS: usize = 16;

/// Keeps a session with the leader of the control group; never returns.
pub(crate) async fn run<C: Clock, A: ProtocolAdapter>(
    state: ProxyState<C, A>,
    seeds: watch::Receiver<Vec<SocketAddr>>,
) {
    let port = state.settings.control_port;
    let mut instances = ControlInstances::new(rand::random::<u8>().into());
    loop {
        let seeds = seeds.borrow().clone();
        let seeds = seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port));
        let address = instances.next(&seeds.collect::<Vec<_>>());
        let opened = link::connect(address, Duration::from_millis(CONNECT_TIMEOUT_MS)).await;
        let opened = opened.and_then(link::open::<ControlMessage, ControlMessage>);
        match opened {
            Ok((sender, mut receiver)) => {
                let mut session = ControlSession {
                    state: &state,
                    instances: &mut instances,
                    sender,
                    opened_at: state.now(),
                    report_number: 0,
                    pending_reports: VecDeque::new(),
                    has_renewed_lease: false,
                };
                session.run(&mut receiver, address).await;
            }
            Err(error) => {
                tracing::debug!(event = "control-unreachable", peer = %address, %error);
            }
        }
        sleep(Duration::from_millis(RECONNECT_DELAY_MS)).await;
    }
}

/// A connection to one control instance.
struct ControlSession<'a, C: Clock, A: ProtocolAdapter> {
    state: &'a ProxyState<C, A>,
    instances: &'a mut ControlInstances,
    sender: LinkSender<ControlMessage>,
    opened_at: Instant,
    report_number: u64,
    /// Numbers of the reports without a reply, and when each was sent.
    pending_reports: VecDeque<(u64, Instant)>,
    /// Whether a reply in this session has renewed the lease.
    has_renewed_lease: bool,
}

impl<C: Clock, A: ProtocolAdapter> ControlSession<'_, C, A> {
    async fn run(
        &mut self,
        receiver: &mut link::LinkReceiver<ControlMessage>,
        address: SocketAddr,
    ) {
        let mut period = interval(Duration::from_millis(REPORT_PERIOD_MS));
        period.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut replied_at = self.state.now();
        self.state.nodes().list_version = 0;
        self.state.token_queue().forget_request();
        loop {
            let token_request_delay = self.token_request_delay();
            tokio::select! {
                message = receiver.next() => match message {
                    Some(ControlMessage::Reply(reply)) => {
                        let before = self.pending_reports.len();
                        if !self.handle_reply(*reply, address) {
                            return;
                        }
                        if self.pending_reports.len() < before {
                            replied_at = self.state.now();
                        }
                    }
                    Some(_) => {}
                    None => break,
                },
                () = self.state.report_now.notified() => self.send_report(),
                () = self.state.request_tokens_now.notified() => self.request_tokens(),
                () = sleep(token_request_delay.unwrap_or_default()),
                    if token_request_delay.is_some() => self.request_tokens(),
                _ = period.tick() => self.send_report(),
            }
            let since_reply = self.state.now().saturating_duration_since(replied_at);
            if since_reply >= Duration::from_millis(REPLY_TIMEOUT_MS) {
                break;
            }
        }
        if self.has_renewed_lease {
            info!(event = "control-lost", peer = %address, config = self.state.config().version());
        }
    }

    fn send_report(&mut self) {
        let now = self.state.now();
        self.report_number += 1;
        let record = self.state.node_record();
        let (node_list_version, evacuation_version) = {
            let mut nodes = self.state.nodes();
            nodes.upsert(record.clone(), now);
            (nodes.list_version, nodes.evacuation_version())
        };
        let (departure_version, departed) = self.state.server.departures();
        let (quarantine_version, crashes) = self.state.crashes().report();
        let report = NodeReport {
            number: self.report_number,
            record,
            applied_version: self.state.config().version(),
            node_list_version,
            departure_version,
            departed,
            evacuation_version,
            quarantine_version,
            crashes,
            teams: self.state.quota().sample_demand(now),
            work: {
                let offered = self.state.admission().take_offered();
                self.state.work().take_report(offered, now)
            },
        };
        self.pending_reports.push_back((self.report_number, now));
        if self.pending_reports.len() > MAX_PENDING_REPORTS {
            self.pending_reports.pop_front();
        }
        self.sender.send(&ControlMessage::Report(Box::new(report)));
    }

    fn token_request_delay(&self) -> Option<Duration> {
        let now = self.state.now();
        self.state.token_queue().next_request_delay(now)
    }

    /// Requests tokens from the leader if requests wait for some.
    fn request_tokens(&self) {
        let now = self.state.now();
        let quota = self.state.quota();
        let requested = self
            .state
            .token_queue()
            .next_request(|team| quota.prefetch_tokens(team), now);
        drop(quota);
        if let Some(tokens) = requested {
            let requested_at = now.saturating_duration_since(self.opened_at);
            self.sender.send(&ControlMessage::BorrowTokens {
                requested_at,
                tokens,
            });
        }
    }

    /// Handles a reply; returns `false` when this instance does not lead, so that the session must
    /// end.
    fn handle_reply(&mut self, reply: ControlReply, address: SocketAddr) -> bool {
        let now = self.state.now();
        match reply {
            ControlReply::NotLeader { leader, instances } => {
                let leader = leader.filter(|leader| *leader != address);
                self.instances.suggest(leader, instances);
                return false;
            }
            ControlReply::LeaseRenewed {
                report_number: number,
                version,
                instances,
            } => {
                self.renew(number, version, instances, address);
            }
            ControlReply::Config(notice) => self.apply(notice.config),
            ControlReply::Nodes {
                list_version: number,
                records,
                complete: settled,
            } => {
                let own = self.state.node_record();
                let mut nodes = self.state.nodes();
                nodes.apply_list(number, records, settled, now);
                nodes.upsert(own, now);
                let count = nodes.node_count();
                drop(nodes);
                info!(event = "members-listed", number, nodes = count, settled);
            }
            ControlReply::NodeChanges {
                base_version: base,
                list_version: number,
                changed,
                removed,
            } => self.apply_node_changes(base, number, changed, &removed),
            ControlReply::RateShares(shares) => {
                tracing::debug!(event = "shares-given", shares = ?shares);
                self.state.quota().apply_shares(&shares, now);
            }
            ControlReply::Tokens { requested_at, lent } => {
                let since_opened = now.saturating_duration_since(self.opened_at);
                let borrowed = drop_late_loan(lent, since_opened.saturating_sub(requested_at));
                let unused = self.state.token_queue().distribute(borrowed, now);
                let mut quota = self.state.quota();
                for unused in unused {
                    quota.add_borrowed_tokens(&unused.team, unused.tokens, now);
                }
                drop(quota);
                self.request_tokens();
            }
            ControlReply::Departures(list) => {
                let (version, servers) = (list.version, list.servers.len());
                info!(event = "departures-known", version, servers);
                if self.state.server.apply_departures(list) {
                    self.state.publish_record();
                }
            }
            ControlReply::Evacuations(list) => self.state.apply_evacuations(list),
            ControlReply::Quarantine(list) => {
                let (version, requests) = (list.version, list.requests.len());
                info!(event = "quarantine-known", version, requests);
                self.state.crashes().apply(&list, now);
            }
            ControlReply::CrashesRecorded(number) => self.state.crashes().confirm(number),
            ControlReply::TrafficShares(shares) => self.apply_traffic_plan(shares),
            ControlReply::EntryShares(shares) => self.state.admission().apply_plan(&shares, now),
        }
        true
    }

    fn apply_traffic_plan(&self, shares: Vec<TrafficShare>) {
        tracing::debug!(event = "traffic-shares-given", shares = ?shares);
        let now = self.state.now();
        self.state.nodes().apply_traffic_plan(shares, now);
    }

    fn apply_node_changes(
        &self,
        base: u64,
        number: u64,
        changed: Vec<NodeRecord>,
        removed: &[NodeId],
    ) {
        let now = self.state.now();
        let own = self.state.node_record();
        let (count_changed, count_removed) = (changed.len(), removed.len());
        let mut nodes = self.state.nodes();
        let applied = nodes.apply_changes(base, number, changed, removed, now);
        nodes.upsert(own, now);
        let count = nodes.node_count();
        drop(nodes);
        info!(
            event = "members-changed",
            number,
            base,
            applied,
            changed = count_changed,
            removed = count_removed,
            nodes = count
        );
    }

    /// Renews the lease, unless the instance belongs to a control group older than the one that
    /// this node knows: that one is left when its answers do not count as such for long enough.
    fn renew(
        &mut self,
        number: u64,
        version: u64,
        instances: Vec<SocketAddr>,
        address: SocketAddr,
    ) {
        let own_version = self.state.config().version();
        if version < own_version {
            self.state.metrics.count("lease", "outdated");
            info!(event = "control-outdated", peer = %address, config = own_version, offered = version);
            return;
        }
        self.instances.set_members(instances);
        let position = self
            .pending_reports
            .iter()
            .position(|(sent, _)| *sent == number);
        let Some(position) = position else {
            return;
        };
        let (_, sent_at) = self.pending_reports[position];
        self.pending_reports.drain(..=position);
        let renewed = self.state.config().renew(version, sent_at);
        if renewed && !std::mem::replace(&mut self.has_renewed_lease, true) {
            info!(event = "control-gained", peer = %address, config = version);
        }
    }

    /// Applies what the configuration states about cold backend servers of this node's service.
    fn apply_cold_limit(&self, config: &fleet::FleetConfig, now: Instant) {
        let settings = &self.state.settings;
        let mut services = config.services.iter();
        let service = services.find(|entry| entry.name == settings.service);
        let limit = service.and_then(|entry| entry.cold);
        let server = &self.state.server;
        if server.set_cold_limit(limit, &settings.bounds, now) {
            self.state.publish_record();
        }
    }

    fn apply(&self, config: fleet::FleetConfig) {
        let version = config.version;
        let now = self.state.now();
        let limits = config.clone();
        let earlier = self.state.config().version();
        if self.state.config().apply(config) {
            self.state.quota().apply_config(&limits, now);
            self.apply_cold_limit(&limits, now);
            self.state.metrics.set("config-version", version);
            info!(
                event = "config-applied",
                config = version,
                earlier,
                routes = limits.routes.len(),
                teams = limits.teams.len(),
            );
        }
    }
}
