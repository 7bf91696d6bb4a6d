//! Handles exchange requests of nodes.

use std::time::Duration;

use clock::Clock;
use ledger::ControlState;
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
    /// Handles one exchange request.
    ///
    /// A lease is granted only after a quorum confirmed the leader. It names the
    /// version that is applied here after the confirmation. See `docs/EXCHANGE.md`, "Leases".
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
        self.crash_reports.add_reports(&request.crashes);
        let reply = if request.leaving {
            self.remove_leaving_node(&request)
        } else {
            self.renew_lease(&request).await
        };
        timer.observe_duration();
        self.metrics.exchanges.inc();
        Ok(reply)
    }

    /// Removes a node that shuts down and needs no further lease.
    fn remove_leaving_node(&self, request: &ExchangeRequest) -> ExchangeReply {
        let node = request.member.node;
        self.registry.remove_node(node);
        self.departed_nodes()
            .record_departure(node, true, self.clock.now());
        self.events
            .push(EventRecord::new("node-left").field("node", &node));
        info!(event = "node-left", node);
        self.reply_without_lease(request)
    }

    async fn renew_lease(&self, request: &ExchangeRequest) -> ExchangeReply {
        let node = request.member.node;
        let peer_grants =
            self.demand_forwarder
                .request_grants(self, node, request.demands.as_slice());
        let (confirmed, peer_grants) = tokio::join!(self.confirm_leader(), peer_grants);
        if !confirmed {
            self.metrics.lease_refusals.inc();
            return self.reply_without_lease(request);
        }
        let length = Duration::from_millis(LEASE_MS);
        // Must precede the read of the version; see `NodeRegistry::record_renewal`.
        self.registry
            .record_renewal(&request.member, request.applied, length);
        let (version, config) = self.log.read(|state| {
            let version = state.config().version();
            (version, config_update(state, request.applied))
        });
        ExchangeReply {
            lease: Some(LeaseGrant { version, length }),
            config,
            members: self.member_update(request),
            grants: self.collect_grants(node, request, peer_grants),
            quarantined: self.quarantine_notices(request),
            crashes_taken: true,
            stamp: self.events.clock().next_timestamp(),
        }
    }

    fn quarantine_notices(&self, request: &ExchangeRequest) -> Vec<QuarantineNotice> {
        self.crash_reports
            .quarantine_notices(&request.member.service, &request.interests)
    }

    fn member_update(&self, request: &ExchangeRequest) -> MemberUpdate {
        self.registry
            .changes_since(request.feed, request.member_cursor, &request.interests)
    }

    fn collect_grants(
        &self,
        node: NodeId,
        request: &ExchangeRequest,
        peer_grants: Vec<TokenGrant>,
    ) -> Vec<TokenGrant> {
        let mut grants = self
            .token_allocators
            .grant(&self.log, node, &request.demands);
        grants.extend(peer_grants);
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
            quarantined: self.quarantine_notices(request),
            crashes_taken: true,
            stamp: self.events.clock().next_timestamp(),
        }
    }
}

/// Returns the update to the declaration in force; a node without a declaration
/// gets it in full.
fn config_update(state: &ControlState, applied: ConfigVersion) -> ConfigUpdate {
    let declaration = state.config().declaration();
    if applied == 0 && declaration.version > 0 {
        return ConfigUpdate::Full(Box::new(declaration.as_ref().clone()));
    }
    state.config().update_from(applied)
}
