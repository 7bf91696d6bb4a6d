//! Serves a control instance until it is stopped.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use clock::Clock;
use supervisor::TaskSupervisor;
use timeline::EventRecord;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tracing::info;
use wire::http::HeadLimits;
use wire::http::HttpListener;
use wire::identity::TlsIdentity;
use wire::quic::QuicEndpoint;
use wire::role::PeerRole;

use crate::assignment::assign_owners;
use crate::core::ControlCore;
use crate::log::ControlLog;
use crate::service::accept_links;
use crate::sync::sync_peers;
use crate::upkeep::run_upkeep;

/// Period of the checks for expired leases and new versions, in milliseconds.
const SWEEP_PERIOD_MS: u64 = 50;
/// Maximum header size of an operator's request, in bytes.
const HEAD_BYTES: usize = 16 * 1024;
/// Timeout for an operator's TLS handshake and request headers, in milliseconds.
const HEAD_TIMEOUT_MS: u64 = 5_000;
/// Time that a shutdown waits for operators' requests, in milliseconds.
const DRAIN_TIMEOUT_MS: u64 = 10_000;
/// Time that a shutdown waits for nodes to move to another instance, in milliseconds.
const NODE_MOVE_TIMEOUT_MS: u64 = 1_000;

/// Bound listeners of a control instance.
pub struct ControlListeners {
    /// QUIC endpoint for nodes and the other instances.
    pub quic: QuicEndpoint,
    /// HTTP listener for operators.
    pub admin: HttpListener,
}

impl ControlListeners {
    /// Binds the listener for operators; `quic` serves nodes and peers.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or the identity is invalid.
    pub async fn bind(
        quic: QuicEndpoint,
        admin: SocketAddr,
        identity: &TlsIdentity,
    ) -> anyhow::Result<Self> {
        let limits = HeadLimits {
            head_bytes: HEAD_BYTES,
            head_timeout: Duration::from_millis(HEAD_TIMEOUT_MS),
        };
        let tls = identity.tcp_server(&[PeerRole::Operator])?;
        let bound = HttpListener::bind(admin, Some(tls), limits).await;
        let admin = bound.with_context(|| format!("address {admin} cannot be bound"))?;
        Ok(Self { quic, admin })
    }
}

impl<L: ControlLog, C: Clock> ControlCore<L, C> {
    /// Serves until the instance is stopped, then completes calls in flight.
    ///
    /// `hand_over` runs after the nodes have moved, while the peers are still
    /// reachable.
    ///
    /// # Errors
    ///
    /// Fails when operators' requests in flight had to be aborted.
    pub async fn serve(
        self,
        listeners: ControlListeners,
        hand_over: impl Future<Output = ()>,
    ) -> anyhow::Result<()> {
        let ControlListeners { quic, admin } = listeners;
        self.events.push(EventRecord::new("control-started"));
        info!(event = "control-started", instance = self.instance);
        let links = tokio::spawn(accept_links(self.clone(), quic.clone()));
        let mut tasks = TaskSupervisor::new(self.clock.clone(), self.stop.clone());
        let core = self.clone();
        tasks.spawn("sync", move || sync_peers(core.clone()));
        let core = self.clone();
        tasks.spawn("owners", move || assign_owners(core.clone()));
        let core = self.clone();
        tasks.spawn("sweep", move || sweep(core.clone()));
        let core = self.clone();
        tasks.spawn("upkeep", move || run_upkeep(core.clone()));
        let core = self.clone();
        let service = move |_, request| {
            let core = core.clone();
            async move { core.answer_operator(request).await }
        };
        let drain = Duration::from_millis(DRAIN_TIMEOUT_MS);
        let admin = admin.serve(service, self.stop.clone(), drain);
        let (tasks, admin) = tokio::join!(tasks.join(), admin);
        self.wait_for_nodes_to_move().await;
        hand_over.await;
        quic.close();
        quic.wait_idle().await;
        links.abort();
        info!(event = "control-stopped", instance = self.instance);
        tasks?;
        admin.context("operators' requests were aborted")
    }

    /// Waits until the nodes of this instance have moved; its replies redirect them.
    async fn wait_for_nodes_to_move(&self) {
        let mut ticks = interval(Duration::from_millis(SWEEP_PERIOD_MS));
        let end = tokio::time::Instant::now() + Duration::from_millis(NODE_MOVE_TIMEOUT_MS);
        while self.registry.count_local() > 0 && tokio::time::Instant::now() < end {
            ticks.tick().await;
            let _ = self.registry.expire_leases();
        }
    }
}

/// Runs [`ControlCore::sweep`] periodically until the instance stops.
async fn sweep<L: ControlLog, C: Clock>(core: ControlCore<L, C>) -> anyhow::Result<()> {
    let mut ticks = interval(Duration::from_millis(SWEEP_PERIOD_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = core.stop.cancelled() => return Ok(()),
            _ = ticks.tick() => core.sweep(),
        }
    }
}

impl<L: ControlLog, C: Clock> ControlCore<L, C> {
    /// Removes nodes whose lease has expired and follows the applied state of the log.
    pub fn sweep(&self) {
        for ended in self.registry.expire_leases() {
            let member = ended.member;
            let own = ended.serving_instance == self.instance;
            self.departed_nodes()
                .record_departure(member.node, own, self.clock.now());
            let event = EventRecord::new("lease-ended").field("node", &member.node);
            self.events.push(event.field("address", &member.address));
            info!(event = "lease-ended", node = member.node, address = %member.address);
        }
        self.crash_reports.expire_reports();
        self.apply_log_state();
        self.metrics
            .nodes
            .set(gauge_value(self.registry.len() as u64));
    }

    fn apply_log_state(&self) {
        self.log
            .read(|state| self.token_allocators.update_from(state));
        let version = self.log.read(|state| state.config().version());
        let status = self.log.status();
        self.metrics.applied.set(gauge_value(status.applied_index));
        let leads = status.leader == Some(self.instance);
        self.metrics.leader.set(i64::from(leads));
        if self.rollout.record_applied(version) {
            self.metrics.version.set(gauge_value(version));
            self.events
                .push(EventRecord::new("config-applied").field("version", &version));
            info!(event = "config-applied", version);
        }
        if self.is_in_force(version) && self.rollout.record_in_force(version) {
            self.events
                .push(EventRecord::new("config-in-force").field("version", &version));
            info!(event = "config-in-force", version);
        }
    }
}

fn gauge_value(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
