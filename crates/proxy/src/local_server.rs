//! The local backend server, on the same instance as this node: its announcement, its slots,
//! and the calls to it.

mod cold;
mod crash_watch;
mod departures;
mod evacuation;
mod exchange;
mod failures;
mod health_check;
mod pace;
mod slots;
mod stall_watch;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use admit::SlotLimiter;
use admit::StallDetector;
use bytes::Bytes;
use clock::Clock;
use fleet::CallHead;
use fleet::FailureReason;
use fleet::NodeRecord;
use fleet::ProtocolAdapter;
use fleet::RefusalReason;
use fleet::ServerAnnouncement;
use fleet::ServerPhase;
use model::context::CallRank;
use model::context::ServerLoad;
use model::context::ServerPace;
use model::ids::Fingerprint;
use model::ids::RouteName;
use model::ids::ServiceName;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::connection_pool::ConnectionPool;
use crate::crash_probe::probe_after_lost_connection;
use crate::local_server::cold::ColdState;
pub(crate) use crate::local_server::crash_watch::CrashSign;
use crate::local_server::crash_watch::CrashWatch;
use crate::local_server::departures::LocalDepartures;
use crate::local_server::departures::departure;
pub use crate::local_server::evacuation::LocalEvacuation;
pub(crate) use crate::local_server::exchange::MAX_RESPONSE_BYTES;
use crate::local_server::failures::ServerFailures;
use crate::local_server::pace::LastPace;
use crate::local_server::slots::SlotResult;
use crate::local_server::stall_watch::SentCall;
use crate::open_call::CallProgress;
use crate::retry::AttemptOutcome;
use crate::state::ProxyState;
use crate::state::lock;

/// Calls that are still on their way to a draining backend server are accepted for this fraction
/// of the drain time.
const DRAIN_FRACTION: f64 = 0.6;
/// Largest difference between the deadlines of a call and of its parent call, in milliseconds.
const PARENT_TOLERANCE_MS: u64 = 25;
/// Retry-after delay when the backend server cannot run the call.
pub(crate) const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Deadline of a running call, and a unique number.
type RunningKey = (Instant, u64);

/// When the backend server began to drain.
#[derive(Clone, Copy, Debug)]
enum DrainStart {
    At(Instant),
    /// Before this node knew of it, perhaps long ago, so that its drain time counts as over.
    BeforeThisNode,
}

#[derive(Debug, Default)]
struct LocalServerState {
    announcement: Option<ServerAnnouncement>,
    warm_up_until: Option<Instant>,
    draining: Option<DrainStart>,
    departures: LocalDepartures,
    evacuation: LocalEvacuation,
    limiter: SlotLimiter,
    waiting: HashMap<u64, oneshot::Sender<SlotResult>>,
    stalls: StallDetector,
    /// Calls that were sent and have not ended, by number.
    sent: HashMap<u64, Arc<SentCall>>,
    crash_watch: CrashWatch,
    pace: LastPace,
    failures: ServerFailures,
    cold: ColdState,
    /// Running calls, by deadline and a unique number.
    running: BTreeMap<RunningKey, ParentCall>,
}

/// What a call made by the backend server inherits from the call that it was running.
#[derive(Clone, Debug)]
pub(crate) struct ParentCall {
    pub(crate) route: RouteName,
    pub(crate) rank: CallRank,
    pub(crate) is_retry: bool,
    fingerprint: Fingerprint,
    /// Number of the running call.
    call: u64,
}

/// Handle to the local backend server; clones share its state.
#[derive(Clone, Debug)]
pub(crate) struct LocalServer {
    service: ServiceName,
    state: Arc<Mutex<LocalServerState>>,
    pool: ConnectionPool,
    next_id: Arc<AtomicU64>,
    /// Notified when control has recorded departures.
    departures_recorded: watch::Sender<()>,
    /// The pace that other nodes are told; `None` until the server has reported one.
    announced_pace: watch::Sender<Option<ServerPace>>,
    /// Notified when a call waits that only the pace of a cold server holds back.
    call_paced: Arc<Notify>,
}

/// Effect of an announcement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AnnouncementEffect {
    /// None that other nodes need to know: it is out of date or repeats what is known.
    Unchanged,
    /// The node's record changed and must be published.
    Changed,
    /// None, since it names a different service.
    WrongService,
}

impl LocalServer {
    pub(crate) fn new(service: ServiceName) -> Self {
        Self {
            service,
            state: Arc::default(),
            pool: ConnectionPool::default(),
            next_id: Arc::default(),
            departures_recorded: watch::Sender::default(),
            announced_pace: watch::Sender::default(),
            call_paced: Arc::default(),
        }
    }

    /// Applies an announcement of the backend server.
    ///
    /// One of a process that has left names no server to use, however late it arrives. Until
    /// `earlier_until`, the server may run calls of an earlier process of this node.
    pub(crate) fn apply_announcement(
        &self,
        new: ServerAnnouncement,
        earlier_until: Instant,
        now: Instant,
    ) -> AnnouncementEffect {
        if new.service != self.service {
            return AnnouncementEffect::WrongService;
        }
        let mut state = lock(&self.state);
        let had_left = state.departures.covers(&new.server, new.started_at_ms);
        if new.phase == ServerPhase::Draining {
            state.departures.insert(departure(&new));
        }
        let known = state.announcement.as_ref();
        if known.is_some_and(|known| !new.supersedes(known)) {
            return AnnouncementEffect::Unchanged;
        }
        let is_first = known.is_none();
        let is_new_start = known.is_none_or(|known| {
            known.server != new.server || known.started_at_ms != new.started_at_ms
        });
        if is_new_start {
            if had_left {
                return AnnouncementEffect::Unchanged;
            }
            self.pool.clear();
            state.crash_watch = CrashWatch::default();
            state.pace = LastPace::default();
            state.failures = ServerFailures::default();
            state.stalls.reset();
            state.limiter.forget_abandoned();
            state.draining = None;
        }
        if new.phase == ServerPhase::Draining {
            let start = if is_first {
                DrainStart::BeforeThisNode
            } else {
                DrainStart::At(now)
            };
            state.draining.get_or_insert(start);
        }
        let slots_before = state.published_slots();
        let is_different = is_different(state.announcement.as_ref(), &new);
        let warm_up_left = new.warm_up_left;
        state.limiter.set_slots(new.slots);
        if is_first {
            state.limiter.assume_earlier_calls(earlier_until);
        }
        state.announcement = Some(new);
        state.apply_cold_left(warm_up_left, "announcement", now);
        let is_changed = is_different || state.published_slots() != slots_before;
        drop(state);
        self.process_queue(now);
        if is_changed {
            AnnouncementEffect::Changed
        } else {
            AnnouncementEffect::Unchanged
        }
    }

    /// Returns the record of the backend server, in which the caller fills in node, address and
    /// data centre.
    pub(crate) fn record(&self, now: Instant) -> NodeRecord {
        let state = lock(&self.state);
        let announcement = state.announcement.as_ref();
        NodeRecord {
            node: 0,
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            data_centre: Arc::from(""),
            service: self.service.clone(),
            server: announcement.map(|known| known.server.clone()),
            slots: state.published_slots(),
            accepts_calls: state.accepts_calls(),
            warm_up_left: state.published_warm_up(now),
            load: state.load(now),
        }
    }

    pub(crate) fn load(&self, now: Instant) -> ServerLoad {
        lock(&self.state).load(now)
    }

    /// Refuses calls that have waited too long, and closes idle connections; returns whether the
    /// record that the node publishes changed, because the backend server is warm by now.
    pub(crate) fn tick(&self, now: Instant) -> bool {
        let is_changed = self.end_cold_period(now);
        self.update_full_speed(now);
        self.process_queue(now);
        self.pool.close_expired();
        is_changed
    }

    /// Runs a call on the local backend server as soon as a slot is free.
    pub(crate) async fn run_call<C: Clock, A: ProtocolAdapter>(
        &self,
        proxy: &ProxyState<C, A>,
        head: &CallHead,
        body: Bytes,
        progress: &CallProgress,
    ) -> AttemptOutcome {
        let _open = proxy.stop.server_calls.token();
        let started = proxy.now();
        let deadline = started + head.time_left;
        let fingerprint = head.fingerprint(&body);
        if let Some(retry_after) = proxy.crashes().refusal(fingerprint, started) {
            return AttemptOutcome::Refused {
                cause: RefusalReason::Quarantined,
                retry_after,
            };
        }
        let server = match self.available_server(proxy, head, started) {
            Ok(server) => server,
            Err(cause) => {
                return AttemptOutcome::Refused {
                    cause,
                    retry_after: UNAVAILABLE_RETRY_AFTER,
                };
            }
        };
        let mut permit = match self.acquire_slot(head, &proxy.metrics, started).await {
            Ok(permit) => permit,
            Err(retry_after) => {
                proxy.work().count_refused();
                return AttemptOutcome::Refused {
                    cause: RefusalReason::Overloaded,
                    retry_after,
                };
            }
        };
        // The call may have waited for longer than calls in flight are run.
        if self.is_evacuated(proxy.now()) {
            return AttemptOutcome::Refused {
                cause: RefusalReason::Evacuated,
                retry_after: UNAVAILABLE_RETRY_AFTER,
            };
        }
        let left = deadline.saturating_duration_since(proxy.now());
        if left.is_zero() {
            return AttemptOutcome::Refused {
                cause: RefusalReason::TooLate,
                retry_after: UNAVAILABLE_RETRY_AFTER,
            };
        }
        let sent = proxy.now();
        proxy.work().count_started(&head.route);
        let call = permit.begin(&head.route, sent + left);
        let running = self.register_running(head, fingerprint, &call);
        progress.begin_send();
        let outcome = self
            .run_sent(proxy, head, body, &server, (&call, left))
            .await;
        let service_time = proxy.now().saturating_duration_since(sent);
        let is_answered = matches!(outcome, AttemptOutcome::Answered { .. });
        if is_connection_lost(&outcome) {
            probe_after_lost_connection(proxy);
        }
        if is_connect_failed(&outcome) {
            self.assume_cold(proxy);
        }
        drop(running);
        self.note_outcome(&outcome, &proxy.metrics, proxy.now());
        if is_refused_by_server(&outcome) {
            proxy.work().count_server_refused(&head.route);
        }
        if is_answered {
            let now = proxy.now();
            proxy.crashes().record_completed(fingerprint, now);
            self.note_answer(sent, now);
            proxy.work().count_completed(&head.route, service_time);
            proxy.metrics.observe("server", service_time);
        }
        permit.finish(is_answered.then_some(service_time), proxy.now());
        outcome
    }

    /// Finds the running call on whose behalf the backend server makes a call with this deadline.
    ///
    /// Such a call does not name its parent, but has the same deadline. The running call with the
    /// nearest deadline is the parent, unless the two differ too much.
    pub(crate) fn find_parent(&self, deadline: Instant) -> Option<ParentCall> {
        let state = lock(&self.state);
        let after = state.running.range((deadline, 0)..).next();
        let before = state.running.range(..(deadline, 0)).next_back();
        let distance = |((at, _), _): &(&RunningKey, &ParentCall)| {
            let late = at.saturating_duration_since(deadline);
            late.max(deadline.saturating_duration_since(*at))
        };
        let nearest = after.into_iter().chain(before).min_by_key(distance)?;
        let limit = Duration::from_millis(PARENT_TOLERANCE_MS);
        (distance(&nearest) <= limit).then(|| nearest.1.clone())
    }

    fn register_running(
        &self,
        head: &CallHead,
        fingerprint: Fingerprint,
        call: &SentCall,
    ) -> RunningCall {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let key = (call.deadline, id);
        let parent = ParentCall {
            route: head.route.clone(),
            rank: head.rank,
            is_retry: head.repeated,
            fingerprint,
            call: call.id,
        };
        lock(&self.state).running.insert(key, parent);
        RunningCall {
            server: self.clone(),
            key,
        }
    }

    /// Returns the announcement of the backend server if it can be sent a call now.
    fn available_server<C: Clock, A: ProtocolAdapter>(
        &self,
        proxy: &ProxyState<C, A>,
        head: &CallHead,
        now: Instant,
    ) -> Result<ServerAnnouncement, RefusalReason> {
        let state = lock(&self.state);
        let announcement = state.announcement.clone().ok_or(RefusalReason::NoServer)?;
        if head.service != self.service || !state.is_informed() {
            return Err(RefusalReason::NoServer);
        }
        if state.evacuation.refuses(now) {
            return Err(RefusalReason::Evacuated);
        }
        let drain = proxy.settings.bounds.drain_time.mul_f64(DRAIN_FRACTION);
        let is_drained = match state.draining {
            None => false,
            Some(DrainStart::At(since)) => now >= since + drain,
            Some(DrainStart::BeforeThisNode) => true,
        };
        if is_drained {
            return Err(RefusalReason::Draining);
        }
        Ok(announcement)
    }
}

const fn is_connection_lost(outcome: &AttemptOutcome) -> bool {
    matches!(
        outcome,
        AttemptOutcome::Failed {
            cause: FailureReason::ConnectionLost
        }
    )
}

const fn is_connect_failed(outcome: &AttemptOutcome) -> bool {
    matches!(
        outcome,
        AttemptOutcome::Refused {
            cause: RefusalReason::ConnectFailed,
            ..
        }
    )
}

const fn is_refused_by_server(outcome: &AttemptOutcome) -> bool {
    matches!(
        outcome,
        AttemptOutcome::Refused {
            cause: RefusalReason::ServerRefused,
            ..
        }
    )
}

impl LocalServerState {
    /// Returns the load to report to other nodes.
    fn load(&self, now: Instant) -> ServerLoad {
        let load = self.limiter.load();
        ServerLoad {
            limit: self
                .cold
                .slots
                .map_or(load.limit, |slots| slots.min(load.limit)),
            pace: self.pace.at(now),
            failing: self.failures.share(now),
            ..load
        }
    }

    /// Returns whether new calls may be sent to the backend server.
    ///
    /// An evacuation does not show here: every node knows the evacuated data centres itself.
    const fn accepts_calls(&self) -> bool {
        self.announcement.is_some() && self.draining.is_none() && self.is_informed()
    }

    /// Returns whether control has told this run of the node which servers left and which data
    /// centres are evacuated; until then, the server that is announced may be out of use.
    const fn is_informed(&self) -> bool {
        self.departures.is_known() && self.evacuation.is_known()
    }
}

fn is_different(known: Option<&ServerAnnouncement>, new: &ServerAnnouncement) -> bool {
    known.is_none_or(|known| {
        known.server != new.server
            || known.started_at_ms != new.started_at_ms
            || known.phase != new.phase
            || known.slots != new.slots
    })
}

/// Keeps a call listed as running until it is dropped.
struct RunningCall {
    server: LocalServer,
    key: RunningKey,
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        lock(&self.server.state).running.remove(&self.key);
    }
}
