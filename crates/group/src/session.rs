//! Connections of nodes and of other control instances.

use std::net::SocketAddr;

use clock::Clock;
use fleet::ConfigNotice;
use fleet::ControlReply;
use fleet::GroupMessage;
use fleet::NodeReport;
use fleet::TeamShare;
use fleet::TeamTokens;
use link::LinkReceiver;
use link::LinkSender;
use model::entry::ServerCapacity;
use model::ids::ConfigVersion;
use model::ids::NodeId;
use quorum::MemberDuty;
use replica::ReplicatedState;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tracing::info;

use crate::state::GroupState;

/// Serves links until the listener fails.
pub(crate) async fn serve<C: Clock>(state: GroupState<C>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                tokio::spawn(serve_link(state.clone(), stream, peer));
            }
            Err(error) => tracing::warn!(event = "accept-failed", listener = "links", %error),
        }
    }
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
        told_version: 0,
        told_members: 0,
    };
    session.run(receiver).await;
}

/// One connection with what was said on it.
struct LinkSession<C> {
    state: GroupState<C>,
    sender: LinkSender<GroupMessage>,
    peer: SocketAddr,
    /// The node at the other end, once it has reported.
    node: Option<NodeId>,
    told_version: ConfigVersion,
    told_members: u64,
}

impl<C: Clock> LinkSession<C> {
    async fn run(mut self, mut receiver: LinkReceiver<GroupMessage>) {
        let mut news = self.state.subscribe();
        loop {
            tokio::select! {
                message = receiver.next() => match message {
                    Some(message) => self.take(message),
                    None => break,
                },
                changed = news.changed(), if self.node.is_some() => {
                    if changed.is_err() {
                        break;
                    }
                    self.tell_news();
                }
            }
        }
        if let Some(node) = self.node {
            info!(event = "node-link-ended", node, peer = %self.peer);
        }
    }

    fn take(&mut self, message: GroupMessage) {
        match message {
            GroupMessage::Replica { from, to, body } => {
                self.state.mesh.heard(from);
                let replica = self.state.replica();
                let addressed = replica.filter(|replica| replica.status().instance == to);
                if let Some(replica) = addressed {
                    replica.receive(from, body.to_vec());
                }
            }
            GroupMessage::WhoIs => self.answer_who_is(),
            GroupMessage::Report(report) => self.take_report(*report),
            GroupMessage::Ask(asked) => self.lend(asked),
            GroupMessage::Members { .. } | GroupMessage::Reply(_) => {
                tracing::warn!(event = "message-unexpected", peer = %self.peer);
            }
        }
    }

    fn answer_who_is(&self) {
        let (state, sender) = (self.state.clone(), self.sender.clone());
        tokio::spawn(async move {
            let confirmed = state.is_confirmed().await;
            let status = state.status();
            let members = status.map(|status| status.membership.members().to_vec());
            let members = members.unwrap_or_default();
            sender.send(&GroupMessage::Members {
                instances: members.iter().map(|member| member.instance).collect(),
                confirmed,
            });
        });
    }

    fn take_report(&mut self, report: NodeReport) {
        let node = report.record.node;
        let is_leader = self
            .state
            .status()
            .is_some_and(|status| status.duty == MemberDuty::Leader);
        if !is_leader {
            let own = self.state.status().map(|status| status.instance);
            let leader = self.state.leader().filter(|leader| Some(*leader) != own);
            self.reply(ControlReply::Elsewhere {
                leader: leader.map(|leader| self.state.mesh.address(leader)),
                instances: self.state.instances(),
            });
            return;
        }
        self.state.metrics.count("report", "taken");
        if self.node != Some(node) {
            info!(event = "node-reported", node, peer = %self.peer, applied = report.applied);
            self.node = Some(node);
        }
        self.told_version = self.told_version.min(report.applied);
        self.told_members = self.told_members.min(report.members_seen);
        let number = report.number;
        let changed = self.book_report(report);
        if changed {
            self.state.announce();
        }
        self.renew(number);
    }

    /// Takes the report into the leader's book; returns whether other nodes must be told.
    fn book_report(&self, report: NodeReport) -> bool {
        let now = self.state.clock.now();
        let version = self.state.version();
        let changed = self.state.with_book(|book| {
            if book.declared != version {
                book.shares.declare(&self.state.limits(), now);
                book.declared = version;
            }
            let node = report.record.node;
            for used in &report.teams {
                book.shares
                    .report(node, &used.team, used.asked_per_s, used.share_milli, now);
            }
            let record = &report.record;
            let place = ServerCapacity {
                service: record.service.clone(),
                slots: if record.takes_work { record.slots } else { 0 },
            };
            book.door.report(node, place, &report.work, now);
            let effect = book.registry.report(report.record, now);
            if let Some(ended) = effect.replaced {
                book.shares.forget(ended, now);
            }
            effect.changed
        });
        changed.unwrap_or(false)
    }

    /// Renews the lease once a quorum confirmed the leader.
    fn renew(&mut self, number: u64) {
        self.tell_news();
        let now = self.state.clock.now();
        let node = self.node.unwrap_or_default();
        let roster = self.state.roster();
        let told = self.state.with_book(|book| {
            let knows_all = book.knows_all(node, &roster, now);
            let shares = book.shares.grant(node, knows_all, now);
            (knows_all, shares, book.door_plan(now))
        });
        if let Some((knows_all, shares, door)) = told {
            self.reply(ControlReply::Door(door));
            if knows_all {
                let shares = shares.into_iter();
                let shares = shares.map(|(team, share_milli)| TeamShare { team, share_milli });
                self.reply(ControlReply::Shares(shares.collect()));
            }
        }
        let (state, sender) = (self.state.clone(), self.sender.clone());
        tokio::spawn(async move {
            if !state.is_confirmed().await {
                return;
            }
            let reply = ControlReply::Renewed {
                number,
                version: state.version(),
                instances: state.instances(),
            };
            sender.send(&GroupMessage::Reply(Box::new(reply)));
        });
    }

    /// Lends tokens once a quorum confirmed the leader, so that no two leaders lend at once.
    fn lend(&self, asked: Vec<TeamTokens>) {
        let Some(node) = self.node else {
            return;
        };
        let (state, sender) = (self.state.clone(), self.sender.clone());
        tokio::spawn(async move {
            if !state.is_confirmed().await {
                return;
            }
            if let Some(lent) = state.lend(node, asked) {
                sender.send(&GroupMessage::Reply(Box::new(ControlReply::Tokens(lent))));
            }
        });
    }

    /// Tells the node what it has not been told yet.
    fn tell_news(&mut self) {
        let version = self.state.version();
        if version > self.told_version
            && let Some(change) = self.state.current()
        {
            self.told_version = version;
            let config = change.config;
            self.reply(ControlReply::Config(Box::new(ConfigNotice { config })));
        }
        let now = self.state.clock.now();
        let told = self.told_members;
        let roster = self.state.roster();
        let list = self.state.with_book(|book| {
            let settled = book.registry.is_settled(&roster, now);
            // A list grows by one more step once it is settled, so that all learn who has left.
            let number = book.registry.number() * 2 + u64::from(settled);
            (number > told || number >> 25 != told >> 25).then(|| ControlReply::Members {
                number,
                records: book.registry.records(),
                settled,
            })
        });
        if let Some(Some(list)) = list {
            if let ControlReply::Members { number, .. } = &list {
                self.told_members = *number;
            }
            self.reply(list);
        }
    }

    fn reply(&self, reply: ControlReply) {
        self.sender.send(&GroupMessage::Reply(Box::new(reply)));
    }
}
