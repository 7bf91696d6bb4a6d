//! What the tasks of a control instance share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use admit::DoorPlanner;
use clock::Clock;
use fleet::ConfigChange;
use fleet::ConfigStore;
use fleet::NodeRoster;
use fleet::TeamEntry;
use fleet::TeamTokens;
use limit::ShareBook;
use limit::TeamLimit;
use metrics::ProcessMetrics;
use model::entry::EntryShare;
use model::ids::ConfigVersion;
use model::ids::InstanceId;
use model::ids::NodeId;
use model::ids::TeamName;
use quorum::MemberDuty;
use replica::ReplicaHandle;
use replica::ReplicaStatus;
use replica::ReplicatedState;
use settings::GroupSettings;
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::mesh::GroupMesh;
use crate::registry::NodeRegistry;
use crate::repair::RepairPolicy;

/// Thousandths in one request.
const MILLI: u64 = 1000;
/// Time to confirm the leader for a read or a lease, in milliseconds.
const CONFIRM_MS: u64 = 900;

/// Time for which a plan for the doors is used, in milliseconds.
const PLAN_MS: u64 = 100;
/// Time between two lines on the plan, in milliseconds.
const PLAN_LOGGED_MS: u64 = 1_000;

/// What a leader knows of the nodes; gone with its leadership.
#[derive(Debug)]
pub(crate) struct LeaderBook {
    pub(crate) term: u64,
    pub(crate) registry: NodeRegistry,
    pub(crate) shares: ShareBook,
    pub(crate) declared: ConfigVersion,
    pub(crate) door: DoorPlanner,
    /// The last plan, and when it was made.
    pub(crate) plan: Option<(Instant, Vec<EntryShare>)>,
    pub(crate) plan_logged: Option<Instant>,
}

impl LeaderBook {
    /// Returns whether `node` and all others that may hold parts of limits are known.
    pub(crate) fn knows_all(&self, node: NodeId, roster: &NodeRoster, now: Instant) -> bool {
        self.registry.is_settled(roster, now) && self.registry.is_listed(node, roster)
    }

    /// Returns the plan for the doors, made anew when it is old.
    pub(crate) fn door_plan(&mut self, now: Instant) -> Vec<EntryShare> {
        let limit = Duration::from_millis(PLAN_MS);
        match &self.plan {
            Some((at, plan)) if now < *at + limit => plan.clone(),
            _ => {
                let plan = self.door.plan(now);
                let logged = Duration::from_millis(PLAN_LOGGED_MS);
                if self.plan_logged.is_none_or(|at| now >= at + logged) {
                    self.plan_logged = Some(now);
                    tracing::info!(event = "door-planned", plan = %self.door.explain(&plan));
                }
                self.plan = Some((now, plan.clone()));
                plan
            }
        }
    }
}

/// Shared state; clones share it.
#[derive(Debug)]
pub(crate) struct GroupState<C> {
    pub(crate) settings: Arc<GroupSettings>,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    pub(crate) clock: C,
    pub(crate) mesh: GroupMesh<C>,
    pub(crate) stop: CancellationToken,
    pub(crate) metrics: ProcessMetrics,
    replica: Arc<Mutex<Option<ReplicaHandle<ConfigStore>>>>,
    book: Arc<Mutex<Option<LeaderBook>>>,
    news: watch::Sender<u64>,
}

impl<C: Clone> Clone for GroupState<C> {
    fn clone(&self) -> Self {
        Self {
            settings: Arc::clone(&self.settings),
            seeds: self.seeds.clone(),
            clock: self.clock.clone(),
            mesh: self.mesh.clone(),
            stop: self.stop.clone(),
            metrics: self.metrics.clone(),
            replica: Arc::clone(&self.replica),
            book: Arc::clone(&self.book),
            news: self.news.clone(),
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
        let (news, _) = watch::channel(0);
        Self {
            mesh: GroupMesh::new(settings.link_port, clock.clone()),
            settings: Arc::new(settings),
            seeds,
            clock,
            stop,
            metrics,
            replica: Arc::default(),
            book: Arc::default(),
            news,
        }
    }

    /// Returns the control instances that the settings name at present.
    pub(crate) fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds.borrow().clone()
    }

    /// Returns the running replica, none while it is being started.
    pub(crate) fn replica(&self) -> Option<ReplicaHandle<ConfigStore>> {
        lock(&self.replica).clone()
    }

    pub(crate) fn set_replica(&self, replica: Option<ReplicaHandle<ConfigStore>>) {
        *lock(&self.replica) = replica;
    }

    pub(crate) fn status(&self) -> Option<ReplicaStatus> {
        self.replica().map(|replica| replica.status())
    }

    /// Returns the leader's address for links, none while no leader is known.
    pub(crate) fn leader(&self) -> Option<InstanceId> {
        self.status().and_then(|status| status.leader)
    }

    /// Returns where the other instances are reached.
    pub(crate) fn instances(&self) -> Vec<SocketAddr> {
        let status = self.status();
        let members = status.map(|status| status.membership.members().to_vec());
        let members = members.unwrap_or_default();
        members
            .iter()
            .map(|member| self.mesh.address(member.instance))
            .collect()
    }

    pub(crate) fn policy(&self) -> RepairPolicy {
        RepairPolicy::new(self.settings.bounds.tolerated_losses)
    }

    /// Returns whether a committed entry is on more disks than may be lost.
    pub(crate) fn is_large_enough(&self) -> bool {
        let tolerated = self.settings.bounds.tolerated_losses;
        self.status()
            .is_some_and(|status| status.membership.quorum() > tolerated)
    }

    /// Waits until a quorum confirmed the leader, and all committed before is applied here.
    pub(crate) async fn is_confirmed(&self) -> bool {
        let Some(replica) = self.replica() else {
            return false;
        };
        let limit = Duration::from_millis(CONFIRM_MS);
        let confirmed = timeout(limit, replica.confirm()).await;
        confirmed.is_ok_and(|outcome| outcome.is_ok())
    }

    /// Returns the change in force as far as applied here.
    pub(crate) fn current(&self) -> Option<ConfigChange> {
        self.replica()?.read(|store| store.current().cloned())
    }

    /// Returns the limits of the teams that have one, as far as applied here.
    pub(crate) fn limits(&self) -> Vec<(TeamName, TeamLimit)> {
        let current = self.current();
        let teams = current.into_iter().flat_map(|change| change.config.teams);
        teams
            .filter(|team| team.rate_per_s > 0)
            .map(|team| (team.name.clone(), limit_of(&team)))
            .collect()
    }

    /// Returns the nodes that may hold parts of limits, as far as applied here.
    pub(crate) fn roster(&self) -> NodeRoster {
        let replica = self.replica();
        replica.map_or_else(NodeRoster::new, |replica| {
            replica.read(|store| store.roster().clone())
        })
    }

    pub(crate) fn version(&self) -> ConfigVersion {
        self.replica()
            .map_or(0, |replica| replica.read(ConfigStore::version))
    }

    /// Runs `work` on the leader's book, none when this instance does not lead.
    pub(crate) fn with_book<R>(&self, work: impl FnOnce(&mut LeaderBook) -> R) -> Option<R> {
        let status = self.status()?;
        let mut book = lock(&self.book);
        if status.duty != MemberDuty::Leader {
            *book = None;
            return None;
        }
        if book.as_ref().is_none_or(|book| book.term != status.term) {
            let now = self.clock.now();
            *book = Some(LeaderBook {
                term: status.term,
                registry: NodeRegistry::new(status.term, self.settings.bounds.revoke, now),
                shares: ShareBook::new(
                    self.settings.bounds.revoke,
                    self.settings.bounds.quota_overage,
                ),
                declared: 0,
                door: DoorPlanner::default(),
                plan: None,
                plan_logged: None,
            });
        }
        book.as_mut().map(work)
    }

    /// Draws tokens for a node; none while this instance does not lead, or not know all nodes.
    pub(crate) fn lend(&self, node: NodeId, asked: Vec<TeamTokens>) -> Option<Vec<TeamTokens>> {
        let now = self.clock.now();
        let roster = self.roster();
        let lent = self.with_book(|book| {
            book.knows_all(node, &roster, now).then(|| {
                let drawn = asked.into_iter().map(|asked| TeamTokens {
                    tokens: book.shares.draw(&asked.team, asked.tokens, now),
                    team: asked.team,
                });
                drawn.collect()
            })
        });
        lent.flatten()
    }

    /// Tells the sessions of nodes that there is something to say.
    pub(crate) fn announce(&self) {
        self.news.send_modify(|number| *number += 1);
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.news.subscribe()
    }
}

fn limit_of(team: &TeamEntry) -> TeamLimit {
    TeamLimit {
        rate_milli: u64::from(team.rate_per_s) * MILLI,
        burst_milli: u64::from(team.burst) * MILLI,
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
