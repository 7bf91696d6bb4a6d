//! The backend server beside this node: what it announced, its slots, and calls to it.

mod exchange;
mod slots;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use admit::SlotGate;
use bytes::Bytes;
use clock::Clock;
use fleet::CallHead;
use fleet::FailureReason;
use fleet::NodeRecord;
use fleet::ProtocolAdapter;
use fleet::RefusalReason;
use fleet::ServerAnnouncement;
use fleet::ServerName;
use fleet::ServerPhase;
use model::context::CallRank;
use model::context::ServerLoad;
use model::ids::RouteName;
use model::ids::ServiceName;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::fate::CallEnd;
use crate::own_server::slots::SlotOutcome;
use crate::pool::LinkPool;
use crate::state::ProxyState;
use crate::state::lock;

/// Part of the time to drain for which calls that are still on their way are taken.
const DRAIN_PART: f64 = 0.6;
/// Difference of the deadlines of a call and of the one that made it, at the most, in milliseconds.
const PARENT_MS: u64 = 25;
/// Delay named when there is no backend server to wait for.
const ABSENT_RETRY: Duration = Duration::from_millis(300);

#[derive(Debug, Default)]
struct ServerState {
    announced: Option<ServerAnnouncement>,
    cold_until: Option<Instant>,
    leaving_since: Option<Instant>,
    gate: SlotGate,
    waiting: HashMap<u64, oneshot::Sender<SlotOutcome>>,
    /// Calls that run, by their deadline and a number.
    running: BTreeMap<(Instant, u64), ParentCall>,
}

/// What a call that the backend server makes takes over from the one it runs.
#[derive(Clone, Debug)]
pub(crate) struct ParentCall {
    pub(crate) route: RouteName,
    pub(crate) rank: CallRank,
    pub(crate) repeated: bool,
}

/// The backend server beside this node; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct OwnServer {
    service: ServiceName,
    state: Arc<Mutex<ServerState>>,
    pool: LinkPool,
    next: Arc<AtomicU64>,
}

/// What an announcement changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AnnounceEffect {
    /// Nothing, since it is late or repeats what is known.
    Nothing,
    /// Others must be told.
    Changed,
    /// It is of another service.
    OtherService,
}

impl OwnServer {
    pub(crate) fn new(service: ServiceName) -> Self {
        Self {
            service,
            state: Arc::default(),
            pool: LinkPool::default(),
            next: Arc::default(),
        }
    }

    /// Takes an announcement.
    pub(crate) fn announce(&self, news: ServerAnnouncement, now: Instant) -> AnnounceEffect {
        if news.service != self.service {
            return AnnounceEffect::OtherService;
        }
        let mut state = lock(&self.state);
        let known = state.announced.as_ref();
        if known.is_some_and(|known| !news.supersedes(known)) {
            return AnnounceEffect::Nothing;
        }
        let is_new_start = known.is_none_or(|known| {
            known.server != news.server || known.started_at_ms != news.started_at_ms
        });
        if is_new_start {
            self.pool.clear();
            state.leaving_since = None;
        }
        if news.phase == ServerPhase::Draining && state.leaving_since.is_none() {
            state.leaving_since = Some(now);
        }
        let is_news = known_differs(state.announced.as_ref(), &news);
        state.cold_until = (!news.warm_up_left.is_zero()).then(|| now + news.warm_up_left);
        state.gate.set_slots(news.slots);
        state.announced = Some(news);
        let changes = state.gate.advance(now);
        drop(state);
        self.settle(changes);
        if is_news {
            AnnounceEffect::Changed
        } else {
            AnnounceEffect::Nothing
        }
    }

    /// Notes that a backend server said it leaves; returns whether it is the one known.
    pub(crate) fn leave(&self, server: &ServerName, now: Instant) -> bool {
        let mut state = lock(&self.state);
        let is_known = state
            .announced
            .as_ref()
            .is_some_and(|known| known.server == *server);
        if is_known && state.leaving_since.is_none() {
            state.leaving_since = Some(now);
        }
        is_known
    }

    /// Returns the record of this backend server; the caller fills in the node.
    pub(crate) fn record(&self, now: Instant) -> NodeRecord {
        let state = lock(&self.state);
        let announced = state.announced.as_ref();
        NodeRecord {
            node: 0,
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            data_centre: Arc::from(""),
            service: self.service.clone(),
            server: announced.map(|known| known.server.clone()),
            slots: announced.map_or(0, |known| known.slots),
            accepts_calls: announced.is_some() && state.leaving_since.is_none(),
            warm_up_left: state
                .cold_until
                .map_or(Duration::ZERO, |until| until.saturating_duration_since(now)),
            load: state.gate.load(),
        }
    }

    pub(crate) fn load(&self) -> ServerLoad {
        lock(&self.state).gate.load()
    }

    /// Refuses calls that have waited too long, and drops idle connections.
    pub(crate) fn tick(&self, now: Instant) {
        let changes = lock(&self.state).gate.advance(now);
        self.settle(changes);
        self.pool.expire();
    }

    /// Runs a call here, as soon as there is a slot.
    pub(crate) async fn run<C: Clock, D: ProtocolAdapter>(
        &self,
        proxy: &ProxyState<C, D>,
        head: &CallHead,
        body: Bytes,
    ) -> CallEnd {
        let started = proxy.now();
        let deadline = started + head.time_left;
        let server = match self.target(proxy, head, started) {
            Ok(server) => server,
            Err(cause) => {
                return CallEnd::Refused {
                    cause,
                    retry_after: ABSENT_RETRY,
                };
            }
        };
        let permit = match self.slot(head, started).await {
            Ok(permit) => permit,
            Err(retry_after) => {
                proxy.work().refused();
                return CallEnd::Refused {
                    cause: RefusalReason::Overloaded,
                    retry_after,
                };
            }
        };
        let left = deadline.saturating_duration_since(proxy.now());
        if left.is_zero() {
            return CallEnd::Refused {
                cause: RefusalReason::TooLate,
                retry_after: ABSENT_RETRY,
            };
        }
        let sent = proxy.now();
        proxy.work().started(&head.route);
        let _running = self.begin(head, sent + left);
        let exchange = self.exchange(proxy, head, body, &server, left);
        let end = timeout(left, exchange).await.unwrap_or(CallEnd::Failed {
            cause: FailureReason::Timeout,
        });
        let service = proxy.now().saturating_duration_since(sent);
        let is_answered = matches!(end, CallEnd::Answered { .. });
        if is_answered {
            proxy.work().ran(&head.route, service);
            proxy.metrics.observe("server", service);
        }
        permit.finish(is_answered.then_some(service), proxy.now());
        end
    }

    /// Returns the running call whose deadline is nearest to that of a call of the backend server.
    ///
    /// Such a call names no parent, but it expires at its parent's deadline.
    pub(crate) fn parent(&self, deadline: Instant) -> Option<ParentCall> {
        let state = lock(&self.state);
        let after = state.running.range((deadline, 0)..).next();
        let before = state.running.range(..(deadline, 0)).next_back();
        let distance = |((at, _), _): &(&(Instant, u64), &ParentCall)| {
            let late = at.saturating_duration_since(deadline);
            late.max(deadline.saturating_duration_since(*at))
        };
        let nearest = after.into_iter().chain(before).min_by_key(distance)?;
        let limit = Duration::from_millis(PARENT_MS);
        (distance(&nearest) <= limit).then(|| nearest.1.clone())
    }

    fn begin(&self, head: &CallHead, deadline: Instant) -> RunningCall {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let key = (deadline, id);
        let parent = ParentCall {
            route: head.route.clone(),
            rank: head.rank,
            repeated: head.repeated,
        };
        lock(&self.state).running.insert(key, parent);
        RunningCall {
            server: self.clone(),
            key,
        }
    }

    /// Returns the backend server that may get a call now.
    fn target<C: Clock, D: ProtocolAdapter>(
        &self,
        proxy: &ProxyState<C, D>,
        head: &CallHead,
        now: Instant,
    ) -> Result<ServerAnnouncement, RefusalReason> {
        let state = lock(&self.state);
        let announced = state.announced.clone().ok_or(RefusalReason::NoServer)?;
        if head.service != self.service {
            return Err(RefusalReason::NoServer);
        }
        let drain = proxy.settings.bounds.drain_time.mul_f64(DRAIN_PART);
        if state
            .leaving_since
            .is_some_and(|since| now >= since + drain)
        {
            return Err(RefusalReason::Draining);
        }
        Ok(announced)
    }
}

fn known_differs(known: Option<&ServerAnnouncement>, news: &ServerAnnouncement) -> bool {
    known.is_none_or(|known| {
        known.server != news.server
            || known.started_at_ms != news.started_at_ms
            || known.phase != news.phase
            || known.slots != news.slots
    })
}

/// A call that counts as running until this is dropped.
struct RunningCall {
    server: OwnServer,
    key: (Instant, u64),
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        lock(&self.server.state).running.remove(&self.key);
    }
}
