//! State that the tasks of a control instance share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use admit::EntryPlanner;
use admit::GateState;
use admit::PlanGate;
use admit::PlanInputs;
use clock::Clock;
use fleet::ConfigChange;
use fleet::ConfigStore;
use fleet::EvacuationList;
use fleet::LentTokens;
use fleet::NodeAddresses;
use fleet::TeamEntry;
use fleet::TeamTokens;
use limit::RateAllocator;
use limit::TeamLimit;
use metrics::ProcessMetrics;
use model::entry::EntryShare;
use model::ids::ConfigVersion;
use model::ids::InstanceId;
use model::ids::NodeId;
use quorum::MemberRole;
use replica::ReplicaHandle;
use replica::ReplicaStatus;
use replica::ReplicatedState;
use settings::GroupSettings;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::peer_links::PeerLinks;
use crate::registry::NodeRegistry;
use crate::repair::MemberView;
use crate::repair::RepairPolicy;
use crate::strength::GroupStrength;
use crate::traffic::TrafficState;

/// Factor from requests to thousandths of a request.
const MILLI: u64 = 1000;
/// Timeout for confirming the leader before a read or a lease renewal, in milliseconds.
const CONFIRM_TIMEOUT_MS: u64 = 900;

/// Longest wait of an operator's request for a group that tolerates all losses, in milliseconds.
///
/// An operator gives up after a second, and a request waits up to twice.
const STRENGTH_TIMEOUT_MS: u64 = 400;
/// Interval between two looks at the members during that wait, in milliseconds.
const STRENGTH_POLL_MS: u64 = 20;

/// Time for which an entry admission plan is reused, in milliseconds.
const PLAN_REUSE_MS: u64 = 100;
/// Minimum interval between log lines about the entry admission plan, in milliseconds.
const PLAN_LOG_INTERVAL_MS: u64 = 1_000;

/// What a leader knows about the nodes; discarded when it loses leadership.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub(crate) term: u64,
    pub(crate) registry: NodeRegistry,
    pub(crate) rate_allocator: RateAllocator,
    /// Version of the configuration applied here: the limits in `rate_allocator`, and `traffic`.
    pub(crate) applied_version: ConfigVersion,
    pub(crate) entry_planner: EntryPlanner,
    pub(crate) plan_gate: PlanGate,
    /// The last entry admission plan, and when it was computed.
    pub(crate) entry_plan: Option<(Instant, Vec<EntryShare>)>,
    pub(crate) plan_logged_at: Option<Instant>,
    pub(crate) traffic: TrafficState,
}

impl LeaderState {
    /// Returns whether all nodes that may hold shares of rate limits are known, and `node` is among
    /// those that the next leader will wait for.
    pub(crate) fn knows_all(
        &self,
        node: NodeId,
        node_addresses: &NodeAddresses,
        now: Instant,
    ) -> bool {
        self.registry.is_complete(node_addresses, now)
            && self.registry.is_replicated(node, node_addresses)
    }

    /// Applies the configuration in force: the limits of the teams, and whether traffic between
    /// data centres is planned.
    pub(crate) fn apply_config(
        &mut self,
        change: Option<ConfigChange>,
        version: ConfigVersion,
        now: Instant,
    ) {
        let config = change.map(|change| change.config);
        self.traffic.configure(config.as_ref());
        let teams = config.into_iter().flat_map(|config| config.teams);
        let limited = teams.filter(|team| team.rate_milli > 0);
        let limits: Vec<_> = limited
            .map(|team| (team.name.clone(), limit_of(&team)))
            .collect();
        self.rate_allocator.set_limits(&limits, now);
        self.applied_version = version;
    }

    /// Tells the allocator whether all nodes that may hold shares have reported; returns it.
    pub(crate) fn note_completeness(
        &mut self,
        node_addresses: &NodeAddresses,
        now: Instant,
    ) -> bool {
        let is_complete = self.registry.is_complete(node_addresses, now);
        self.rate_allocator.set_knows_all_nodes(is_complete, now);
        is_complete
    }

    /// Returns the entry admission plan for the nodes, or `None` while it is held back.
    pub(crate) fn entry_plan(
        &mut self,
        node_addresses: &NodeAddresses,
        now: Instant,
    ) -> Option<Vec<EntryShare>> {
        if self.plan_gate.is_open() {
            return Some(self.current_plan(now));
        }
        let inputs = PlanInputs {
            known_nodes: node_addresses.len(),
            reported_nodes: self.registry.reported_count(node_addresses),
            untimed_routes: self.entry_planner.untimed_routes(),
        };
        let gate = self.plan_gate.update(inputs, now);
        log_gate(gate, inputs);
        gate.is_open().then(|| self.current_plan(now))
    }

    /// Returns the last plan; computes a new one if it is too old.
    fn current_plan(&mut self, now: Instant) -> Vec<EntryShare> {
        let reuse_time = Duration::from_millis(PLAN_REUSE_MS);
        match &self.entry_plan {
            Some((computed_at, plan)) if now < *computed_at + reuse_time => plan.clone(),
            _ => {
                let plan = self.entry_planner.plan(now);
                let log_interval = Duration::from_millis(PLAN_LOG_INTERVAL_MS);
                if self
                    .plan_logged_at
                    .is_none_or(|at| now >= at + log_interval)
                {
                    self.plan_logged_at = Some(now);
                    tracing::info!(
                        event = "door-planned",
                        plan = %self.entry_planner.explain(&plan)
                    );
                }
                self.entry_plan = Some((now, plan.clone()));
                plan
            }
        }
    }
}

/// Logs when a new leader begins to hold back its entry admission plan, and when it issues the
/// first one.
fn log_gate(gate: GateState, inputs: PlanInputs) {
    let PlanInputs {
        known_nodes,
        reported_nodes,
        untimed_routes,
    } = inputs;
    match gate {
        GateState::HoldBegins => tracing::info!(
            event = "entry-plan-held",
            known_nodes,
            reported_nodes,
            untimed_routes
        ),
        GateState::Opens { waited } => tracing::info!(
            event = "entry-plan-begun",
            known_nodes,
            reported_nodes,
            untimed_routes,
            waited_ms = u64::try_from(waited.as_millis()).unwrap_or(u64::MAX)
        ),
        GateState::Held | GateState::Open => {}
    }
}

/// Whether the deployment has a data centre, as far as the leader can tell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum DataCentreStatus {
    /// The settings, a node that reports or the evacuated data centres name it.
    Known,
    /// Nothing names it.
    Unknown,
    /// Nothing names it yet, but nodes are missing that may be in it.
    Undetermined,
}

/// State shared by the tasks of a control instance; clones refer to the same state.
#[derive(Debug)]
pub(crate) struct GroupState<C> {
    pub(crate) settings: Arc<GroupSettings>,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    pub(crate) clock: C,
    pub(crate) peer_links: PeerLinks<C>,
    /// Cancelled when the instance is asked to stop.
    pub(crate) stop: CancellationToken,
    /// Cancelled when a stopping instance has answered its operators and needs its replica no more.
    pub(crate) replica_stop: CancellationToken,
    /// Cancelled when the replica of a stopping instance has stopped.
    pub(crate) links_stop: CancellationToken,
    pub(crate) metrics: ProcessMetrics,
    replica: Arc<Mutex<Option<ReplicaHandle<ConfigStore>>>>,
    leader_state: Arc<Mutex<Option<LeaderState>>>,
    updates: watch::Sender<u64>,
}

impl<C: Clone> Clone for GroupState<C> {
    fn clone(&self) -> Self {
        Self {
            settings: Arc::clone(&self.settings),
            seeds: self.seeds.clone(),
            clock: self.clock.clone(),
            peer_links: self.peer_links.clone(),
            stop: self.stop.clone(),
            replica_stop: self.replica_stop.clone(),
            links_stop: self.links_stop.clone(),
            metrics: self.metrics.clone(),
            replica: Arc::clone(&self.replica),
            leader_state: Arc::clone(&self.leader_state),
            updates: self.updates.clone(),
        }
    }
}

impl<C: Clock> GroupState<C> {
    pub(crate) fn new(
        settings: GroupSettings,
        seeds: watch::Receiver<Vec<SocketAddr>>,
        clock: C,
        stop: CancellationToken,
        metrics: ProcessMetrics,
    ) -> Self {
        let (updates, _) = watch::channel(0);
        Self {
            peer_links: PeerLinks::new(settings.link_port, clock.clone()),
            settings: Arc::new(settings),
            seeds,
            clock,
            stop,
            replica_stop: CancellationToken::new(),
            links_stop: CancellationToken::new(),
            metrics,
            replica: Arc::default(),
            leader_state: Arc::default(),
            updates,
        }
    }

    /// Returns the control instances that the settings currently name.
    pub(crate) fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds.borrow().clone()
    }

    /// Returns the running replica; `None` until it has started.
    pub(crate) fn replica(&self) -> Option<ReplicaHandle<ConfigStore>> {
        lock(&self.replica).clone()
    }

    pub(crate) fn set_replica(&self, replica: Option<ReplicaHandle<ConfigStore>>) {
        *lock(&self.replica) = replica;
    }

    pub(crate) fn status(&self) -> Option<ReplicaStatus> {
        self.replica().map(|replica| replica.status())
    }

    /// Returns the identity of the leader; `None` while no leader is known.
    pub(crate) fn leader(&self) -> Option<InstanceId> {
        self.status().and_then(|status| status.leader)
    }

    /// Returns the identities of all members of the group.
    pub(crate) fn members(&self) -> Vec<InstanceId> {
        let status = self.status();
        let members = status.map(|status| status.membership.members().to_vec());
        let members = members.unwrap_or_default().into_iter();
        members.map(|member| member.instance).collect()
    }

    /// Returns the addresses of all members of the group.
    pub(crate) fn instances(&self) -> Vec<SocketAddr> {
        let members = self.members().into_iter();
        members
            .map(|member| self.peer_links.address(member))
            .collect()
    }

    pub(crate) fn repair_policy(&self) -> RepairPolicy {
        RepairPolicy::new(self.settings.bounds.tolerated_losses)
    }

    /// Waits a moment until what is committed can be read back after all losses that the
    /// deployment tolerates; returns whether that is so.
    ///
    /// Only a committed membership counts, since one that is not may be replaced by the one
    /// before it.
    pub(crate) async fn await_strength(&self) -> bool {
        let becomes_strong = async {
            while !self.is_strong() {
                sleep(Duration::from_millis(STRENGTH_POLL_MS)).await;
            }
        };
        let time_limit = Duration::from_millis(STRENGTH_TIMEOUT_MS);
        timeout(time_limit, becomes_strong).await.is_ok()
    }

    fn is_strong(&self) -> bool {
        let tolerated = self.settings.bounds.tolerated_losses;
        self.status().is_some_and(|status| {
            status.is_membership_committed() && self.strength_of(&status).tolerates(tolerated)
        })
    }

    fn strength_of(&self, status: &ReplicaStatus) -> GroupStrength {
        let views = self.member_views(status);
        let policy = self.repair_policy();
        GroupStrength::new(&status.membership, status.instance, &views, &policy)
            .with_known_losses(status.lost_voters.len())
    }

    /// Returns the members as this instance observes them.
    pub(crate) fn member_views(&self, status: &ReplicaStatus) -> Vec<MemberView> {
        let members = status.membership.members().iter();
        members.map(|member| self.peer_links.view(member)).collect()
    }

    /// Returns the strength of the group as this instance knows it; `None` before the start.
    pub(crate) fn strength(&self) -> Option<GroupStrength> {
        self.status().map(|status| self.strength_of(&status))
    }

    /// Waits until a quorum has confirmed the leader and all entries committed before are applied
    /// here; returns whether this succeeded in time.
    pub(crate) async fn confirm_leader(&self) -> bool {
        let Some(replica) = self.replica() else {
            return false;
        };
        let time_limit = Duration::from_millis(CONFIRM_TIMEOUT_MS);
        let confirmed = timeout(time_limit, replica.read_index()).await;
        confirmed.is_ok_and(|outcome| outcome.is_ok())
    }

    /// Returns the latest change that is applied here.
    pub(crate) fn current(&self) -> Option<ConfigChange> {
        self.replica()?.read(|store| store.current().cloned())
    }

    /// Returns the nodes that may hold shares of rate limits, from the state applied here.
    pub(crate) fn node_addresses(&self) -> NodeAddresses {
        let replica = self.replica();
        replica.map_or_else(NodeAddresses::new, |replica| {
            replica.read(|store| store.node_addresses().clone())
        })
    }

    /// Returns the evacuated data centres, from the state applied here.
    pub(crate) fn evacuations(&self) -> EvacuationList {
        let replica = self.replica();
        replica.map_or_else(EvacuationList::default, |replica| {
            replica.read(|store| store.evacuations().clone())
        })
    }

    /// Returns whether the deployment has a data centre, as this instance knows it.
    pub(crate) fn data_centre_status(&self, data_centre: &str) -> DataCentreStatus {
        // A data centre that is evacuated can be returned to service although nothing is left in it.
        if self.settings.data_centres.contains(data_centre)
            || self.evacuations().contains(data_centre)
        {
            return DataCentreStatus::Known;
        }
        let now = self.clock.now();
        let node_addresses = self.node_addresses();
        let status = self.with_leader_state(|leader| {
            if leader.registry.has_data_centre(data_centre) {
                DataCentreStatus::Known
            } else if leader.registry.is_complete(&node_addresses, now) {
                DataCentreStatus::Unknown
            } else {
                DataCentreStatus::Undetermined
            }
        });
        status.unwrap_or(DataCentreStatus::Undetermined)
    }

    pub(crate) fn version(&self) -> ConfigVersion {
        self.replica()
            .map_or(0, |replica| replica.read(ConfigStore::version))
    }

    /// Runs `work` on the leader's state; returns `None` if this instance is not the leader.
    pub(crate) fn with_leader_state<R>(
        &self,
        work: impl FnOnce(&mut LeaderState) -> R,
    ) -> Option<R> {
        let status = self.status()?;
        let mut leader_state = lock(&self.leader_state);
        if status.role != MemberRole::Leader {
            *leader_state = None;
            return None;
        }
        if leader_state
            .as_ref()
            .is_none_or(|leader| leader.term != status.term)
        {
            let now = self.clock.now();
            *leader_state = Some(LeaderState {
                term: status.term,
                registry: NodeRegistry::new(status.term, self.settings.bounds.revocation_time, now),
                rate_allocator: RateAllocator::new(
                    self.settings.bounds.revocation_time,
                    self.settings.bounds.quota_overage_ratio,
                ),
                applied_version: 0,
                entry_planner: EntryPlanner::default(),
                plan_gate: PlanGate::new(now),
                entry_plan: None,
                plan_logged_at: None,
                traffic: TrafficState::new(self.settings.traffic.clone(), self.metrics.clone()),
            });
        }
        leader_state.as_mut().map(work)
    }

    /// Lends tokens to a node; returns `None` if this instance is not the leader.
    ///
    /// Until all nodes are known, only what no unknown node can hold as a share is lent. A shortage
    /// of a pool that has had no time to fill is not reported as the team's limit.
    pub(crate) fn lend_tokens(&self, requested: Vec<TeamTokens>) -> Option<LentTokens> {
        let now = self.clock.now();
        let node_addresses = self.node_addresses();
        let version = self.version();
        let lent = self.with_leader_state(|leader| {
            if leader.applied_version != version {
                leader.apply_config(self.current(), version, now);
            }
            let knows_all = leader.note_completeness(&node_addresses, now);
            let allocator = &mut leader.rate_allocator;
            let mut up_to_limit = knows_all;
            let lent = requested.into_iter().map(|request| {
                let TeamTokens { team, tokens } = request;
                let lent = allocator.lend_tokens(&team, tokens, now);
                up_to_limit &= lent == tokens || allocator.shows_use(&team, now);
                TeamTokens { team, tokens: lent }
            });
            LentTokens {
                tokens: lent.collect(),
                up_to_limit,
            }
        })?;
        let knowledge = if lent.up_to_limit {
            "all-nodes"
        } else {
            "some-nodes"
        };
        self.metrics.count("tokens-lent", knowledge);
        Some(lent)
    }

    /// Notifies the sessions of nodes that there are updates to send.
    pub(crate) fn notify_sessions(&self) {
        self.updates.send_modify(|number| *number += 1);
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.updates.subscribe()
    }
}

fn limit_of(team: &TeamEntry) -> TeamLimit {
    TeamLimit {
        rate_milli: team.rate_milli,
        burst_milli: u64::from(team.burst) * MILLI,
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
