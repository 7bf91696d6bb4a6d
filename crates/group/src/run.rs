//! Runs a control instance: finds or forms its group, and starts over when its identity is lost.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use clock::Clock;
use fleet::ConfigStore;
use fleet::GroupMessage;
use fleet::StoreEntry;
use fleet::WireDialect;
use metrics::MetricBook;
use model::ids::InstanceId;
use quorum::MemberRole;
use replica::RaftConfig;
use replica::ReplicaConfig;
use replica::ReplicaError;
use replica::ReplicaHandle;
use replica::ReplicatedState;
use settings::GroupSettings;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tracing::info;
use tracing::warn;

use crate::operators;
use crate::repair::MemberView;
use crate::session;
use crate::start::StartFile;
use crate::start::StartPlan;
use crate::state::GroupState;

/// Name with which the names of all metrics begin.
const METRIC_NAME: &str = "ragwortplank_control";
/// Time between two heartbeats of a leader, in milliseconds.
const HEARTBEAT_MS: u64 = 75;
/// Shortest and longest election timeout, in milliseconds.
const ELECTION_MIN_MS: u64 = 400;
const ELECTION_MAX_MS: u64 = 800;
/// Log since the last snapshot that causes the next one, in bytes; the disks are small.
const COMPACT_BYTES: u64 = 4 * 1024 * 1024;
const SEGMENT_BYTES: u64 = 2 * 1024 * 1024;
/// Period of the upkeep, in milliseconds.
const UPKEEP_MS: u64 = 100;
/// Time between two tries after a failure, in milliseconds.
const RETRY_MS: u64 = 250;
/// Time to ask another instance who belongs to the group, in milliseconds.
const ASK_MS: u64 = 1_200;
/// Time to replicate the list of nodes, in milliseconds.
const PROPOSE_MS: u64 = 1_000;
/// Time without a leader after which an instance asks whether it still belongs, in milliseconds.
const ALONE_MS: u64 = 2_500;

/// Why one life of the replica ended.
enum LifeEnd {
    /// The process was asked to stop.
    Stopped,
    /// The disk failed; the log on it is opened again.
    Reopen,
    /// The instance never became a member; it must ask others who belongs.
    Ask,
    /// The group does not know this identity any more.
    Rejoin,
}

/// Runs a control instance until `stop` is cancelled.
///
/// `seeds` holds the control instances that the settings name at present.
///
/// # Errors
///
/// Fails when an address cannot be bound or the data folder cannot be created.
pub async fn run<C: Clock, D: WireDialect>(
    settings: GroupSettings,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    dialect: D,
    clock: C,
    stop: CancellationToken,
) -> anyhow::Result<()> {
    let links = bind(SocketAddr::new(settings.address, settings.link_port)).await?;
    let operators = bind(settings.operators).await?;
    let figures = bind(settings.metrics).await?;
    let book = MetricBook::new(METRIC_NAME).context("creating the metrics")?;
    let state = GroupState::new(settings, seeds, clock, stop, book);
    info!(event = "process-started", process = %state.settings.process,
        data_centre = %state.settings.data_centre, first_start = state.settings.first_start);
    let tasks = [
        tokio::spawn(session::serve(state.clone(), links)),
        tokio::spawn(operators::serve(state.clone(), dialect, operators)),
        tokio::spawn(upkeep(state.clone())),
        tokio::spawn(metrics::serve(state.metrics.clone(), figures)),
    ];
    let lived = live(&state).await;
    for task in tasks {
        task.abort();
    }
    info!(event = "process-stopped", process = %state.settings.process);
    lived
}

async fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.with_context(|| format!("binding {address}"))
}

async fn live<C: Clock>(state: &GroupState<C>) -> anyhow::Result<()> {
    let file = StartFile::new(&state.settings.data).context("creating the data folder")?;
    let mut must_ask = false;
    loop {
        let end = match start(state, &file) {
            Ok(plan) => match live_once(state, &file, &plan, must_ask).await {
                Ok(end) => end,
                Err(error) => {
                    warn!(event = "replica-not-started", error = %format!("{error:#}"));
                    LifeEnd::Reopen
                }
            },
            Err(error) => {
                warn!(event = "identity-not-saved", %error);
                LifeEnd::Reopen
            }
        };
        state.set_replica(None);
        must_ask = matches!(end, LifeEnd::Ask);
        match end {
            LifeEnd::Stopped => return Ok(()),
            LifeEnd::Reopen | LifeEnd::Ask => {}
            LifeEnd::Rejoin => {
                if let Err(error) = file.forget() {
                    warn!(event = "folder-not-cleared", %error);
                }
            }
        }
        tokio::select! {
            () = state.stop.cancelled() => return Ok(()),
            () = sleep(Duration::from_millis(RETRY_MS)) => {}
        }
    }
}

/// Returns the plan to start with; one that is new is durable before it is used.
fn start<C: Clock>(state: &GroupState<C>, file: &StartFile<'_>) -> io::Result<StartPlan> {
    if let Some(plan) = file.load() {
        return Ok(plan);
    }
    // Without a plan nothing that a log may hold was ever promised.
    file.forget()?;
    let plan = StartPlan::with_empty_folder(&state.settings, rand::random());
    file.save(&plan)?;
    info!(
        event = "identity-chosen",
        instance = plan.instance,
        forms = !plan.first.is_empty()
    );
    Ok(plan)
}

async fn live_once<C: Clock>(
    state: &GroupState<C>,
    file: &StartFile<'_>,
    plan: &StartPlan,
    must_ask: bool,
) -> anyhow::Result<LifeEnd> {
    state.mesh.set_own(plan.instance);
    let joins = plan.first.is_empty();
    // A log names the members itself; after a stop of all, nobody else could.
    let group = if joins && (must_ask || !file.log().exists()) {
        let Some(members) = find_group(state).await else {
            return Ok(LifeEnd::Stopped);
        };
        members
    } else {
        plan.first.clone()
    };
    let mut config = ReplicaConfig::new(plan.instance, group, file.log());
    config.join = joins;
    config.raft = RaftConfig {
        heartbeat_interval: Duration::from_millis(HEARTBEAT_MS),
        election_timeout_min: Duration::from_millis(ELECTION_MIN_MS),
        election_timeout_max: Duration::from_millis(ELECTION_MAX_MS),
        ..RaftConfig::default()
    };
    config.snapshot_threshold_bytes = COMPACT_BYTES;
    config.segment_bytes = SEGMENT_BYTES;
    config.max_voters = state.policy().wanted;
    let stop = CancellationToken::new();
    let replica = ReplicaHandle::start(
        config,
        state.mesh.clone(),
        ConfigStore::default(),
        state.clock.clone(),
        stop.clone(),
    )?;
    state.set_replica(Some(replica.clone()));
    let end = watch_replica(state, &replica, plan.instance).await;
    stop.cancel();
    replica.stopped().await;
    Ok(end)
}

/// Waits for the end of the replica's life.
async fn watch_replica<C: Clock>(
    state: &GroupState<C>,
    replica: &ReplicaHandle<ConfigStore>,
    own: InstanceId,
) -> LifeEnd {
    let mut status = replica.watch();
    let mut known = (MemberRole::Learner, 0, 0);
    let mut led_at = state.clock.now();
    let mut period = interval(Duration::from_millis(UPKEEP_MS));
    period.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = state.stop.cancelled() => return LifeEnd::Stopped,
            () = replica.stopped() => return end_of(&replica.status()),
            _ = period.tick() => {}
        }
        let now = state.clock.now();
        let current = status.borrow_and_update().clone();
        let version = state.version();
        if known != (current.role, current.term, version) {
            if known.0 != current.role || known.1 != current.term {
                info!(event = "duty", duty = %current.role, term = current.term, leader = ?current.leader,
                    voters = current.membership.voters().count(), committed = current.commit_index);
                if current.role == MemberRole::Leader {
                    state.mesh.forget_signs();
                }
            }
            known = (current.role, current.term, version);
            state.metrics.count("duty", &current.role.to_string());
            state.metrics.set("config-version", version);
            state.metrics.set("term", current.term);
            state.announce();
        }
        let belongs = current.membership.member(own).is_some();
        if current.leader.is_some() || current.role == MemberRole::Leader {
            led_at = now;
        } else if now.saturating_duration_since(led_at) >= Duration::from_millis(ALONE_MS) {
            led_at = now;
            if belongs && is_expelled(state, own).await {
                warn!(event = "identity-expelled", instance = own);
                return LifeEnd::Rejoin;
            }
            if !belongs {
                // The members that were asked, if any, may all be gone by now.
                return LifeEnd::Ask;
            }
        }
    }
}

fn end_of(status: &replica::ReplicaStatus) -> LifeEnd {
    match &status.fatal_error {
        Some(ReplicaError::OtherFolder { .. }) => LifeEnd::Rejoin,
        Some(fault) => {
            warn!(event = "replica-stopped", %fault);
            LifeEnd::Reopen
        }
        None => LifeEnd::Stopped,
    }
}

/// Asks the seeds until one names the members of the group; none once asked to stop.
async fn find_group<C: Clock>(state: &GroupState<C>) -> Option<Vec<InstanceId>> {
    loop {
        for seed in state.seeds() {
            if seed.ip() == state.settings.address {
                continue;
            }
            let address = SocketAddr::new(seed.ip(), state.settings.link_port);
            if let Some((members, _)) = ask_members(address).await
                && !members.is_empty()
            {
                info!(event = "group-found", seed = %address, members = members.len());
                return Some(members);
            }
        }
        tokio::select! {
            () = state.stop.cancelled() => return None,
            () = sleep(Duration::from_millis(RETRY_MS)) => {}
        }
    }
}

/// Returns whether a quorum says that `own` does not belong to the group.
async fn is_expelled<C: Clock>(state: &GroupState<C>, own: InstanceId) -> bool {
    let mut addresses = state.instances();
    let seeds = state.seeds().into_iter();
    addresses.extend(seeds.map(|seed| SocketAddr::new(seed.ip(), state.settings.link_port)));
    for address in addresses {
        if address.ip() == state.settings.address {
            continue;
        }
        if let Some((members, true)) = ask_members(address).await {
            return !members.contains(&own);
        }
    }
    false
}

/// Asks one instance who belongs to the group, and whether a quorum confirmed it.
async fn ask_members(address: SocketAddr) -> Option<(Vec<InstanceId>, bool)> {
    let limit = Duration::from_millis(ASK_MS);
    let asked = async {
        let stream = link::connect(address, limit).await.ok()?;
        let opened = link::open::<GroupMessage, GroupMessage>(stream).ok()?;
        let (sender, mut receiver) = opened;
        sender.send(&GroupMessage::WhoIs);
        match receiver.next().await? {
            GroupMessage::Members {
                instances,
                confirmed,
            } => Some((instances, confirmed)),
            _ => None,
        }
    };
    timeout(limit, asked).await.ok().flatten()
}

/// Watches links, nodes and members.
async fn upkeep<C: Clock>(state: GroupState<C>) {
    let mut period = interval(Duration::from_millis(UPKEEP_MS));
    period.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        period.tick().await;
        state.mesh.probe();
        let now = state.clock.now();
        if state.with_book(|book| book.registry.expire(now)) == Some(true) {
            state.announce();
        }
        list_nodes(&state).await;
        repair(&state).await;
    }
}

/// Replicates the addresses of the nodes when they changed.
async fn list_nodes<C: Clock>(state: &GroupState<C>) {
    let now = state.clock.now();
    let roster = state.roster();
    let next = state.with_book(|book| book.registry.next_roster(&roster, now));
    let (Some(Some(next)), Some(replica)) = (next, state.replica()) else {
        return;
    };
    let nodes = next.len();
    let entry = match StoreEntry::Roster(next).encode() {
        Ok(entry) => entry,
        Err(error) => {
            warn!(event = "nodes-not-listed", %error);
            return;
        }
    };
    let limit = Duration::from_millis(PROPOSE_MS);
    match timeout(limit, replica.propose(entry)).await {
        Ok(Ok(_)) => info!(event = "nodes-listed", nodes, earlier = roster.len()),
        Ok(Err(error)) => tracing::debug!(event = "nodes-not-listed", %error),
        Err(_) => tracing::debug!(event = "nodes-not-listed", error = "timeout"),
    }
}

async fn repair<C: Clock>(state: &GroupState<C>) {
    let Some(replica) = state.replica() else {
        return;
    };
    let status = replica.status();
    if status.role != MemberRole::Leader {
        return;
    }
    let members = status.membership.members().iter();
    let views: Vec<MemberView> = members
        .map(|member| MemberView {
            instance: member.instance,
            voter: member.voter,
            silent: state.mesh.silent(member.instance),
        })
        .collect();
    let Some(step) = state.policy().next_step(status.instance, &views) else {
        return;
    };
    match replica.change_members(step).await {
        Ok(index) => info!(event = "member-replaced", step = ?step, index),
        Err(error) => tracing::debug!(event = "member-not-replaced", step = ?step, %error),
    }
}
