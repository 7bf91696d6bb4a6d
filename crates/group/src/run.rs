//! Runs a control instance: joins or forms its group, and rejoins when the group has removed it.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use clock::Clock;
use fleet::ConfigStore;
use fleet::ProtocolAdapter;
use fleet::StoreEntry;
use metrics::ProcessMetrics;
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
use tokio::task::JoinHandle;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tracing::info;
use tracing::warn;

use crate::discovery;
use crate::operators;
use crate::session;
use crate::start::DataDirectory;
use crate::start::StartPlan;
use crate::state::GroupState;

/// Prefix of the names of all metrics.
const METRIC_PREFIX: &str = "ragwortplank_control";
/// Interval between heartbeats of a leader, in milliseconds.
const HEARTBEAT_MS: u64 = 75;
/// Shortest and longest election timeout, in milliseconds.
const ELECTION_MIN_MS: u64 = 400;
const ELECTION_MAX_MS: u64 = 800;
/// Size of the log since the last snapshot that triggers the next one, in bytes; the disks are
/// small.
const COMPACT_BYTES: u64 = 4 * 1024 * 1024;
const SEGMENT_BYTES: u64 = 2 * 1024 * 1024;
/// Interval of the periodic maintenance, in milliseconds.
const MAINTENANCE_INTERVAL_MS: u64 = 100;
/// Delay before a retry after a failure, in milliseconds.
const RETRY_DELAY_MS: u64 = 250;
/// Timeout for replicating the list of nodes, in milliseconds.
const PROPOSE_TIMEOUT_MS: u64 = 1_000;
/// Time that a stopping instance has to write out what is queued on its links, in milliseconds.
const FLUSH_TIMEOUT_MS: u64 = 300;
/// Time without a leader after which an instance checks its membership, in milliseconds.
const NO_LEADER_MS: u64 = 2_500;

/// Why a run of the replica ended, and how to go on.
enum ReplicaExit {
    /// The process was asked to stop.
    Stopped,
    /// The replica failed, for example on a disk error; the log on disk is opened again.
    Reopen,
    /// The instance has not become a member; it must query others for the members.
    QueryMembers,
    /// The group has removed this identity; the instance joins under a new one.
    Rejoin,
}

/// Runs a control instance until `stop` is cancelled.
///
/// `seeds` holds the control instances that the settings currently name.
///
/// # Errors
///
/// Fails when an address cannot be bound or the data directory cannot be created.
pub async fn run<C: Clock, A: ProtocolAdapter>(
    settings: GroupSettings,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    adapter: A,
    clock: C,
    stop: CancellationToken,
) -> anyhow::Result<()> {
    let links_listener = bind(SocketAddr::new(settings.own_address, settings.link_port)).await?;
    let operators_listener = bind(settings.operator_listener).await?;
    let metrics_listener = bind(settings.metrics_listener).await?;
    let process_metrics = ProcessMetrics::new(METRIC_PREFIX).context("creating the metrics")?;
    let state = GroupState::new(settings, seeds, clock, stop, process_metrics);
    info!(event = "process-started", process = %state.settings.process,
        data_centre = %state.settings.data_centre, first_start = state.settings.first_start);
    let links = tokio::spawn(session::serve(state.clone(), links_listener));
    let tasks = [
        tokio::spawn(serve_operators(state.clone(), adapter, operators_listener)),
        tokio::spawn(run_maintenance(state.clone())),
        tokio::spawn(metrics::serve(state.metrics.clone(), metrics_listener)),
    ];
    let announcement = tokio::spawn(announce_leaving(state.clone()));
    let result = run_replica(&state).await;
    announcement.abort();
    flush_links(&state, links).await;
    for task in tasks {
        task.abort();
    }
    info!(event = "process-stopped", process = %state.settings.process);
    result
}

/// Tells the other instances once this one is asked to stop.
async fn announce_leaving<C: Clock>(state: GroupState<C>) {
    state.stop.cancelled().await;
    state.peer_links.announce_leaving();
}

/// Serves operators, then stops the replica, which the answers to their last requests need.
async fn serve_operators<C: Clock, A: ProtocolAdapter>(
    state: GroupState<C>,
    adapter: A,
    listener: TcpListener,
) {
    // The replica stops even if serving panics.
    let _replica_stop = state.replica_stop.clone().drop_guard();
    operators::serve(state, adapter, listener).await;
}

/// Writes out what is queued for nodes and other instances, and ends the sessions.
async fn flush_links<C: Clock>(state: &GroupState<C>, links: JoinHandle<()>) {
    state.links_stop.cancel();
    let flush_time = Duration::from_millis(FLUSH_TIMEOUT_MS);
    let flushed = async { tokio::join!(links, state.peer_links.flushed()) };
    match timeout(flush_time, flushed).await {
        Ok((Ok(()), ())) => {}
        Ok((Err(error), ())) => warn!(event = "links-not-flushed", %error),
        Err(_) => warn!(event = "links-not-flushed", error = "timeout"),
    }
}

async fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.with_context(|| format!("binding {address}"))
}

async fn run_replica<C: Clock>(state: &GroupState<C>) -> anyhow::Result<()> {
    let directory = DataDirectory::new(&state.settings.data_directory)
        .context("creating the data directory")?;
    let mut must_query = false;
    // Only the first identity that this process uses may be one that forms the group.
    let mut may_form = state.settings.first_start;
    let mut known_members = Vec::new();
    loop {
        let exit = match load_or_create_plan(state, &directory, may_form) {
            Ok(plan) => {
                may_form = false;
                known_members.clone_from(&plan.known_members);
                match run_replica_once(state, &directory, &plan, must_query).await {
                    Ok(exit) => exit,
                    Err(error) => {
                        warn!(event = "replica-not-started", error = %format!("{error:#}"));
                        ReplicaExit::Reopen
                    }
                }
            }
            Err(error) => {
                warn!(event = "no-identity", error = %format!("{error:#}"));
                ReplicaExit::Reopen
            }
        };
        let members = state.members();
        if !members.is_empty() {
            known_members = members;
        }
        state.set_replica(None);
        must_query = matches!(exit, ReplicaExit::QueryMembers);
        match exit {
            ReplicaExit::Stopped => return Ok(()),
            ReplicaExit::Reopen | ReplicaExit::QueryMembers => {}
            ReplicaExit::Rejoin => {
                // Without a new plan, the old identity starts and is removed again.
                if let Err(error) = choose_next_identity(state, &directory, &known_members) {
                    warn!(event = "identity-not-replaced", error = %format!("{error:#}"));
                }
            }
        }
        tokio::select! {
            () = state.replica_stop.cancelled() => return Ok(()),
            () = sleep(Duration::from_millis(RETRY_DELAY_MS)) => {}
        }
    }
}

/// Returns the start plan; a new plan is saved durably before it is used.
///
/// A new plan may be one that forms the group only if `may_form` is set.
fn load_or_create_plan<C: Clock>(
    state: &GroupState<C>,
    directory: &DataDirectory<'_>,
    may_form: bool,
) -> anyhow::Result<StartPlan> {
    let saved = directory.load_plan();
    if let Some(plan) = saved.context("reading the plan")? {
        return Ok(plan);
    }
    // Without a plan, nothing in the log has been acknowledged to anyone.
    directory.delete_log().context("deleting the log")?;
    let plan = if may_form {
        StartPlan::with_empty_directory(&state.settings, rand::random())
    } else {
        StartPlan::joining(state.settings.own_address, rand::random())
    };
    directory.save_plan(&plan).context("saving the plan")?;
    log_chosen(&plan);
    Ok(plan)
}

/// Gives up an identity that the group has removed, and its log, for a new one that joins.
///
/// However the deployment was started, the group exists: the new identity never forms one. It asks
/// `known_members` for the group, beside the seeds.
fn choose_next_identity<C: Clock>(
    state: &GroupState<C>,
    directory: &DataDirectory<'_>,
    known_members: &[InstanceId],
) -> anyhow::Result<()> {
    let plan = StartPlan::joining(state.settings.own_address, rand::random());
    let plan = plan.with_known_members(known_members.to_vec());
    let replaced = directory.replace_plan(&plan);
    replaced.context("replacing the plan")?;
    log_chosen(&plan);
    Ok(())
}

fn log_chosen(plan: &StartPlan) {
    info!(
        event = "identity-chosen",
        instance = plan.instance,
        forms = !plan.initial_members.is_empty()
    );
}

async fn run_replica_once<C: Clock>(
    state: &GroupState<C>,
    directory: &DataDirectory<'_>,
    plan: &StartPlan,
    must_query: bool,
) -> anyhow::Result<ReplicaExit> {
    state.peer_links.set_own(plan.instance);
    let joins = plan.initial_members.is_empty();
    // An existing log contains the members; after all instances stopped, no other could name them.
    let log_path = directory.log_path();
    let has_log = log_path.try_exists().context("looking for the log")?;
    let initial_members = if joins && (must_query || !has_log) {
        let Some(members) = discovery::find_group(state, &plan.known_members).await else {
            return Ok(ReplicaExit::Stopped);
        };
        members
    } else {
        plan.initial_members.clone()
    };
    let mut config = ReplicaConfig::new(plan.instance, initial_members, directory.log_path());
    config.join = joins;
    config.raft = RaftConfig {
        heartbeat_interval: Duration::from_millis(HEARTBEAT_MS),
        election_timeout_min: Duration::from_millis(ELECTION_MIN_MS),
        election_timeout_max: Duration::from_millis(ELECTION_MAX_MS),
        ..RaftConfig::default()
    };
    config.snapshot_threshold_bytes = COMPACT_BYTES;
    config.segment_bytes = SEGMENT_BYTES;
    config.raft.quorum_rule = state.repair_policy().quorum_rule();
    config.max_voters = state.repair_policy().target_voters;
    let stop = CancellationToken::new();
    let replica = ReplicaHandle::start(
        config,
        state.peer_links.clone(),
        ConfigStore::default(),
        state.clock.clone(),
        stop.clone(),
    )?;
    state.set_replica(Some(replica.clone()));
    let exit = watch_replica(state, &replica, plan.instance).await;
    stop.cancel();
    replica.stopped().await;
    Ok(exit)
}

/// Monitors the replica until it ends or must be restarted; publishes its status as metrics.
async fn watch_replica<C: Clock>(
    state: &GroupState<C>,
    replica: &ReplicaHandle<ConfigStore>,
    own: InstanceId,
) -> ReplicaExit {
    let mut status = replica.watch();
    let mut last_seen = (MemberRole::Learner, 0, 0, 0);
    let mut leader_seen_at = state.clock.now();
    let mut period = interval(Duration::from_millis(MAINTENANCE_INTERVAL_MS));
    period.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = state.replica_stop.cancelled() => return ReplicaExit::Stopped,
            () = replica.stopped() => return replica_exit(&replica.status()),
            _ = period.tick() => {}
        }
        let now = state.clock.now();
        let current = status.borrow_and_update().clone();
        let version = state.version();
        let evacuations = state.evacuations();
        let seen = (current.role, current.term, version, evacuations.version);
        if last_seen != seen {
            if last_seen.0 != current.role || last_seen.1 != current.term {
                info!(event = "duty", duty = %current.role, term = current.term, leader = ?current.leader,
                    voters = current.membership.voters().count(), committed = current.commit_index);
                if current.role == MemberRole::Leader {
                    state.peer_links.reset_silence();
                }
            }
            last_seen = seen;
            state.metrics.count("duty", &current.role.to_string());
            state.metrics.set("config-version", version);
            let evacuated = evacuations.data_centres.len() as u64;
            state.metrics.set("evacuated-data-centres", evacuated);
            state.metrics.set("term", current.term);
            state.notify_sessions();
        }
        // A removed instance may know of its removal, and hears the leader no more after that.
        let is_removed = current.membership.has_removed(own);
        let is_member = current.membership.member(own).is_some();
        let has_leader = current.leader.is_some() || current.role == MemberRole::Leader;
        if has_leader && !is_removed {
            leader_seen_at = now;
        } else if now.saturating_duration_since(leader_seen_at)
            >= Duration::from_millis(NO_LEADER_MS)
        {
            leader_seen_at = now;
            if (is_member || is_removed) && discovery::is_removed(state, own).await {
                warn!(event = "identity-expelled", instance = own);
                return ReplicaExit::Rejoin;
            }
            if !is_member && !is_removed {
                // The members that earlier queries found, if any, may all be gone by now.
                return ReplicaExit::QueryMembers;
            }
        }
    }
}

fn replica_exit(status: &replica::ReplicaStatus) -> ReplicaExit {
    match &status.fatal_error {
        Some(ReplicaError::OtherFolder { .. }) => ReplicaExit::Rejoin,
        Some(fault) => {
            warn!(event = "replica-stopped", %fault);
            ReplicaExit::Reopen
        }
        None => ReplicaExit::Stopped,
    }
}

/// Periodically checks connections, nodes and members.
async fn run_maintenance<C: Clock>(state: GroupState<C>) {
    let mut period = interval(Duration::from_millis(MAINTENANCE_INTERVAL_MS));
    period.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        period.tick().await;
        state.peer_links.probe();
        let now = state.clock.now();
        if state.with_leader_state(|leader| leader.registry.expire(now)) == Some(true) {
            state.notify_sessions();
        }
        replicate_node_addresses(&state).await;
        report_lost_voters(&state);
        replace_lost_member(&state).await;
    }
}

/// Replicates the addresses of the nodes if they have changed.
async fn replicate_node_addresses<C: Clock>(state: &GroupState<C>) {
    let now = state.clock.now();
    let node_addresses = state.node_addresses();
    let next =
        state.with_leader_state(|leader| leader.registry.next_node_addresses(&node_addresses, now));
    let (Some(Some(next)), Some(replica)) = (next, state.replica()) else {
        return;
    };
    let nodes = next.len();
    let entry = match StoreEntry::NodeAddresses(next).encode() {
        Ok(entry) => entry,
        Err(error) => {
            warn!(event = "nodes-not-listed", %error);
            return;
        }
    };
    let time_limit = Duration::from_millis(PROPOSE_TIMEOUT_MS);
    match timeout(time_limit, replica.propose(entry)).await {
        Ok(Ok(_)) => info!(
            event = "nodes-listed",
            nodes,
            earlier = node_addresses.len()
        ),
        Ok(Err(error)) => tracing::debug!(event = "nodes-not-listed", %error),
        Err(_) => tracing::debug!(event = "nodes-not-listed", error = "timeout"),
    }
}

/// Tells the replica which voters are lost, so that an election may leave them out.
fn report_lost_voters<C: Clock>(state: &GroupState<C>) {
    let Some(replica) = state.replica() else {
        return;
    };
    let status = replica.status();
    for lost in state.peer_links.lost_voters(status.voters_in_force()) {
        if !status.lost_voters.contains(&lost) {
            replica.report_lost(lost);
        }
    }
}

async fn replace_lost_member<C: Clock>(state: &GroupState<C>) {
    let Some(replica) = state.replica() else {
        return;
    };
    let status = replica.status();
    if status.role != MemberRole::Leader {
        return;
    }
    let views = state.member_views(&status);
    let Some(step) = state.repair_policy().next_step(status.instance, &views) else {
        return;
    };
    match replica.change_members(step).await {
        Ok(index) => info!(event = "member-replaced", step = ?step, index),
        Err(error) => tracing::debug!(event = "member-not-replaced", step = ?step, %error),
    }
}
