//! The exchange with control: reports up; configuration, members and limits down.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use fleet::ControlMessage;
use fleet::ControlReply;
use fleet::NodeReport;
use fleet::ProtocolAdapter;
use link::LinkSender;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;
use tracing::info;

use crate::state::ProxyState;

/// Period of the reports, in milliseconds.
const REPORT_MS: u64 = 300;
/// Time to connect to a control instance, in milliseconds.
const CONNECT_MS: u64 = 400;
/// Time without a renewal after which another instance is tried, in milliseconds.
const SILENT_MS: u64 = 700;
/// Time between two tries, in milliseconds.
const RETRY_MS: u64 = 120;
/// Reports whose answers may be under way.
const PENDING_REPORTS: usize = 16;
/// Instances that are remembered.
const KNOWN_INSTANCES: usize = 16;

/// Talks to the leader until the process ends.
pub(crate) async fn run<C: Clock, D: ProtocolAdapter>(
    state: ProxyState<C, D>,
    seeds: watch::Receiver<Vec<SocketAddr>>,
) {
    let mut book = InstanceBook::new(state.settings.control_port, seeds);
    loop {
        let address = book.next();
        let opened = link::connect(address, Duration::from_millis(CONNECT_MS)).await;
        let opened = opened.and_then(link::open::<ControlMessage, ControlMessage>);
        match opened {
            Ok((sender, mut receiver)) => {
                let mut session = ControlSession {
                    state: &state,
                    book: &mut book,
                    sender,
                    number: 0,
                    pending: VecDeque::new(),
                    renewed: false,
                };
                session.run(&mut receiver, address).await;
            }
            Err(error) => {
                tracing::debug!(event = "control-unreachable", peer = %address, %error);
            }
        }
        sleep(Duration::from_millis(RETRY_MS)).await;
    }
}

/// Control instances to try, the most promising first.
struct InstanceBook {
    port: u16,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    known: Vec<SocketAddr>,
    /// The leader as last named, to be tried next.
    leader: Option<SocketAddr>,
    turn: usize,
}

impl InstanceBook {
    fn new(port: u16, seeds: watch::Receiver<Vec<SocketAddr>>) -> Self {
        Self {
            port,
            seeds,
            known: Vec::new(),
            leader: None,
            turn: rand::random::<u8>().into(),
        }
    }

    /// Returns the next instance: the leader if one was named, then all others in turn.
    fn next(&mut self) -> SocketAddr {
        if let Some(leader) = self.leader.take() {
            return leader;
        }
        self.turn += 1;
        let seeds = self.seeds.borrow();
        let seeds = seeds
            .iter()
            .map(|seed| SocketAddr::new(seed.ip(), self.port));
        let all: Vec<SocketAddr> = self.known.iter().copied().chain(seeds).collect();
        all[self.turn % all.len()]
    }

    fn learn(&mut self, instances: Vec<SocketAddr>) {
        if !instances.is_empty() {
            self.known = instances;
            self.known.truncate(KNOWN_INSTANCES);
        }
    }
}

/// One connection to a control instance.
struct ControlSession<'a, C: Clock, D: ProtocolAdapter> {
    state: &'a ProxyState<C, D>,
    book: &'a mut InstanceBook,
    sender: LinkSender<ControlMessage>,
    number: u64,
    /// Reports without an answer, with when they were sent.
    pending: VecDeque<(u64, Instant)>,
    renewed: bool,
}

impl<C: Clock, D: ProtocolAdapter> ControlSession<'_, C, D> {
    async fn run(
        &mut self,
        receiver: &mut link::LinkReceiver<ControlMessage>,
        address: SocketAddr,
    ) {
        let mut period = interval(Duration::from_millis(REPORT_MS));
        period.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut renewed_at = self.state.now();
        self.state.members().number = 0;
        self.state.desk().link_lost();
        loop {
            tokio::select! {
                message = receiver.next() => match message {
                    Some(ControlMessage::Reply(reply)) => {
                        let before = self.pending.len();
                        if !self.take(*reply, address) {
                            return;
                        }
                        if self.pending.len() < before {
                            renewed_at = self.state.now();
                        }
                    }
                    Some(_) => {}
                    None => break,
                },
                () = self.state.report_now.notified() => self.report(),
                () = self.state.ask_now.notified() => self.ask(),
                _ = period.tick() => self.report(),
            }
            let silent = self.state.now().saturating_duration_since(renewed_at);
            if silent >= Duration::from_millis(SILENT_MS) {
                break;
            }
        }
        if self.renewed {
            info!(event = "control-lost", peer = %address, config = self.state.view().version());
        }
    }

    fn report(&mut self) {
        let now = self.state.now();
        self.number += 1;
        let record = self.state.record();
        self.state.members().put(record.clone(), now);
        let report = NodeReport {
            number: self.number,
            record,
            applied_version: self.state.view().version(),
            node_list_version: self.state.members().number,
            teams: self.state.quota().uses(now),
            work: {
                let offered = self.state.door().offered();
                self.state.work().report(offered, now)
            },
        };
        self.pending.push_back((self.number, now));
        if self.pending.len() > PENDING_REPORTS {
            self.pending.pop_front();
        }
        self.sender.send(&ControlMessage::Report(Box::new(report)));
    }

    /// Asks for the tokens for which requests wait.
    fn ask(&self) {
        let now = self.state.now();
        let quota = self.state.quota();
        let asked = self.state.desk().next_ask(|team| quota.ahead(team), now);
        drop(quota);
        if let Some(asked) = asked {
            self.sender.send(&ControlMessage::BorrowTokens(asked));
        }
    }

    /// Takes a reply; returns whether this instance may go on being asked.
    fn take(&mut self, reply: ControlReply, address: SocketAddr) -> bool {
        let now = self.state.now();
        match reply {
            ControlReply::NotLeader { leader, instances } => {
                self.book.learn(instances);
                self.book.leader = leader.filter(|leader| *leader != address);
                return false;
            }
            ControlReply::LeaseRenewed {
                report_number: number,
                version,
                instances,
            } => {
                self.book.learn(instances);
                self.renew(number, version, address);
            }
            ControlReply::Config(notice) => self.apply(notice.config),
            ControlReply::Nodes {
                list_version: number,
                records,
                complete: settled,
            } => {
                let own = self.state.record();
                let mut members = self.state.members();
                members.update(number, records, settled, now);
                members.put(own, now);
                let count = members.len();
                drop(members);
                info!(event = "members-listed", number, nodes = count, settled);
            }
            ControlReply::RateShares(shares) => {
                tracing::debug!(event = "shares-given", shares = ?shares);
                self.state.quota().share(&shares, now);
            }
            ControlReply::Tokens(lent) => {
                let spare = self.state.desk().take(lent, now);
                let mut quota = self.state.quota();
                for spare in spare {
                    quota.lend(&spare.team, spare.tokens, now);
                }
                drop(quota);
                self.ask();
            }
            ControlReply::EntryShares(shares) => self.state.door().follow(&shares, now),
        }
        true
    }

    fn renew(&mut self, number: u64, version: u64, address: SocketAddr) {
        let position = self.pending.iter().position(|(sent, _)| *sent == number);
        let Some(position) = position else {
            return;
        };
        let (_, sent_at) = self.pending[position];
        self.pending.drain(..=position);
        let renewed = self.state.view().renew(version, sent_at);
        if renewed && !std::mem::replace(&mut self.renewed, true) {
            info!(event = "control-gained", peer = %address, config = version);
        }
    }

    fn apply(&self, config: fleet::FleetConfig) {
        let version = config.version;
        let now = self.state.now();
        let limits = config.clone();
        let earlier = self.state.view().version();
        if self.state.view().apply(config) {
            self.state.quota().declare(&limits, now);
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
