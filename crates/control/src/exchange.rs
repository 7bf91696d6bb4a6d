//! Answers the exchanges of nodes.

use std::time::Duration;

use clock::Clock;
use ledger::LedgerState;
use model::exchange::ConfigUpdate;
use model::exchange::ExchangeReply;
use model::exchange::ExchangeRequest;
use model::exchange::LeaseGrant;
use model::exchange::MemberUpdate;
use model::exchange::PROTOCOL_VERSION;
use model::exchange::QuarantineNotice;
use model::exchange::TokenGrant;
use model::ids::ConfigVersion;
use model::ids::NodeId;
use timeline::EventRecord;
use tracing::info;
use wire::service::ControlError;

use crate::core::ControlCore;
use crate::core::LEASE_MS;
use crate::log::ControlLog;

impl<L: ControlLog, C: Clock> ControlCore<L, C> {
    /// Answers one exchange.
    ///
    /// A lease is granted only after a quorum confirmed the leader, and names
    /// the version applied here after that. See `docs/EXCHANGE.md`, "Leases".
    ///
    /// # Errors
    ///
    /// Fails when the node speaks another protocol version or this instance stops.
    pub async fn exchange(&self, request: ExchangeRequest) -> Result<ExchangeReply, ControlError> {
        if request.protocol != PROTOCOL_VERSION {
            return Err(ControlError::ProtocolVersion {
                offered: request.protocol,
                supported: PROTOCOL_VERSION,
            });
        }
        if self.stop.is_cancelled() {
            return Err(ControlError::Stopping);
        }
        let timer = self.metrics.exchange_seconds.start_timer();
        self.events.clock().observe(request.stamp);
        self.suspects.report(&request.crashes);
        let reply = if request.leaving {
            self.release(&request)
        } else {
            self.renew(&request).await
        };
        timer.observe_duration();
        self.metrics.exchanges.inc();
        Ok(reply)
    }

    /// Takes leave of a node, which needs no lease any more.
    fn release(&self, request: &ExchangeRequest) -> ExchangeReply {
        let node = request.member.node;
        self.hub.leave(node);
        self.departures().departed(node, true, self.clock.now());
        self.events
            .push(EventRecord::new("node-left").field("node", &node));
        info!(event = "node-left", node);
        self.reply_without_lease(request)
    }

    async fn renew(&self, request: &ExchangeRequest) -> ExchangeReply {
        let node = request.member.node;
        let remote = self
            .forwarder
            .grants(self, node, request.demands.as_slice());
        let (confirmed, remote) = tokio::join!(self.confirmed(), remote);
        if !confirmed {
            self.metrics.lease_refusals.inc();
            return self.reply_without_lease(request);
        }
        let length = Duration::from_millis(LEASE_MS);
        // Before the version is read, as `MembershipHub::renew` demands.
        self.hub.renew(&request.member, request.applied, length);
        let (version, config) = self.log.read(|state| {
            let version = state.config().version();
            (version, config_update(state, request.applied))
        });
        ExchangeReply {
            lease: Some(LeaseGrant { version, length }),
            config,
            members: self.members(request),
            grants: self.grants(node, request, remote),
            quarantined: self.quarantined(request),
            crashes_taken: true,
            stamp: self.events.clock().next_timestamp(),
        }
    }

    fn quarantined(&self, request: &ExchangeRequest) -> Vec<QuarantineNotice> {
        self.suspects
            .notices(&request.member.service, &request.interests)
    }

    fn members(&self, request: &ExchangeRequest) -> MemberUpdate {
        self.hub
            .update(request.feed, request.member_cursor, &request.interests)
    }

    fn grants(
        &self,
        node: NodeId,
        request: &ExchangeRequest,
        remote: Vec<TokenGrant>,
    ) -> Vec<TokenGrant> {
        let mut grants = self.bank.grant(&self.log, node, &request.demands);
        grants.extend(remote);
        grants
    }

    fn reply_without_lease(&self, request: &ExchangeRequest) -> ExchangeReply {
        let members = MemberUpdate {
            feed: request.feed,
            cursor: request.member_cursor,
            ..MemberUpdate::default()
        };
        ExchangeReply {
            lease: None,
            config: ConfigUpdate::Current,
            members,
            grants: Vec::new(),
            quarantined: self.quarantined(request),
            crashes_taken: true,
            stamp: self.events.clock().next_timestamp(),
        }
    }
}

/// Returns the way to the declaration in force; a node that has none gets all of it.
fn config_update(state: &LedgerState, applied: ConfigVersion) -> ConfigUpdate {
    let declaration = state.config().declaration();
    if applied == 0 && declaration.version > 0 {
        return ConfigUpdate::Full(Box::new(declaration.as_ref().clone()));
    }
    state.config().update_from(applied)
}
