//! What the tasks of a node share.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Instant;

use admit::DoorKeeper;
use clock::Clock;
use fleet::NodeRecord;
use fleet::ProtocolAdapter;
use fleet::RouteTable;
use limit::RepeatBudget;
use metrics::MetricBook;
use model::ids::NodeId;
use model::ids::ServiceName;
use settings::ProxySettings;
use tokio::sync::Notify;

use crate::desk::TokenDesk;
use crate::members::MemberTable;
use crate::own_server::OwnServer;
use crate::peers::PeerLinks;
use crate::quota::QuotaTable;
use crate::view::ConfigView;
use crate::work::WorkCounter;

/// Part of the memory that bodies under way may take.
const BODY_MEMORY_DIVISOR: u64 = 3;

/// Lines on single requests in one second, at the most.
const LINES_PER_S: u32 = 150;

/// Lines on single requests in the present second.
#[derive(Debug, Default)]
struct LogWindow {
    second: u64,
    lines: u32,
    left_out: u64,
}

impl LogWindow {
    fn take(&mut self, second: u64) -> bool {
        if second != self.second {
            if self.left_out > 0 {
                tracing::info!(event = "lines-left-out", lines = self.left_out);
            }
            *self = Self {
                second,
                ..Self::default()
            };
        }
        self.lines += 1;
        let fits = self.lines <= LINES_PER_S;
        self.left_out += u64::from(!fits);
        fits
    }
}

/// Shared state of a node; clones share it.
#[derive(Debug)]
pub(crate) struct ProxyState<C, D> {
    inner: Arc<StateInner<C, D>>,
}

impl<C, D> Clone for ProxyState<C, D> {
    fn clone(&self) -> Self {
        Self {
            inner: Arc::clone(&self.inner),
        }
    }
}

impl<C, D> std::ops::Deref for ProxyState<C, D> {
    type Target = StateInner<C, D>;

    fn deref(&self) -> &Self::Target {
        &self.inner
    }
}

/// The parts of [`ProxyState`].
#[derive(Debug)]
pub(crate) struct StateInner<C, D> {
    pub(crate) node: NodeId,
    pub(crate) settings: ProxySettings,
    pub(crate) dialect: D,
    pub(crate) clock: C,
    pub(crate) server: OwnServer,
    pub(crate) peers: PeerLinks,
    pub(crate) metrics: MetricBook,
    /// Wakes the exchange with control.
    pub(crate) report_now: Notify,
    /// Wakes the exchange with control when a request waits for a token.
    pub(crate) ask_now: Notify,
    view: Mutex<ConfigView>,
    members: Mutex<MemberTable>,
    quota: Mutex<QuotaTable>,
    desk: Mutex<TokenDesk>,
    door: Mutex<DoorKeeper>,
    work: Mutex<WorkCounter>,
    repeats: Mutex<HashMap<ServiceName, RepeatBudget>>,
    stopping: AtomicBool,
    started: Instant,
    log_window: Mutex<LogWindow>,
    sampled: AtomicUsize,
    /// Bytes of bodies under way.
    body_bytes: AtomicUsize,
    /// Requests of callers under way.
    entered: AtomicUsize,
}

impl<C: Clock, D: ProtocolAdapter> ProxyState<C, D> {
    pub(crate) fn new(settings: ProxySettings, dialect: D, clock: C, metrics: MetricBook) -> Self {
        let node = rand::random();
        let inner = StateInner {
            node,
            view: Mutex::new(ConfigView::new(settings.bounds.revocation_time)),
            members: Mutex::new(MemberTable::new(node, settings.data_centre.clone())),
            server: OwnServer::new(settings.service.clone()),
            peers: PeerLinks::default(),
            metrics,
            report_now: Notify::new(),
            ask_now: Notify::new(),
            quota: Mutex::default(),
            desk: Mutex::default(),
            door: Mutex::default(),
            work: Mutex::default(),
            repeats: Mutex::default(),
            stopping: AtomicBool::new(false),
            started: clock.now(),
            log_window: Mutex::default(),
            sampled: AtomicUsize::new(0),
            body_bytes: AtomicUsize::new(0),
            entered: AtomicUsize::new(0),
            settings,
            dialect,
            clock,
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    pub(crate) fn view(&self) -> MutexGuard<'_, ConfigView> {
        lock(&self.inner.view)
    }

    pub(crate) fn members(&self) -> MutexGuard<'_, MemberTable> {
        lock(&self.inner.members)
    }

    pub(crate) fn quota(&self) -> MutexGuard<'_, QuotaTable> {
        lock(&self.inner.quota)
    }

    pub(crate) fn desk(&self) -> MutexGuard<'_, TokenDesk> {
        lock(&self.inner.desk)
    }

    pub(crate) fn door(&self) -> MutexGuard<'_, DoorKeeper> {
        lock(&self.inner.door)
    }

    pub(crate) fn work(&self) -> MutexGuard<'_, WorkCounter> {
        lock(&self.inner.work)
    }

    /// Returns the routes and teams, and whether the lease on them holds.
    pub(crate) fn table(&self) -> Option<(Arc<RouteTable>, bool)> {
        let view = self.view();
        let leased = view.is_leased(self.now());
        view.table().map(|table| (table, leased))
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.inner.stopping.load(Ordering::Relaxed)
    }

    pub(crate) fn begin_stop(&self) {
        self.inner.stopping.store(true, Ordering::Relaxed);
        self.report_now.notify_one();
    }

    /// Returns whether callers may be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        let is_leased = self.table().is_some_and(|(_, leased)| leased);
        !self.is_stopping() && is_leased && self.quota().is_granted()
    }

    /// Returns what this node tells of itself.
    pub(crate) fn record(&self) -> NodeRecord {
        let settings = &self.inner.settings;
        let mut record = self.inner.server.record(self.now());
        record.node = self.inner.node;
        record.address = std::net::SocketAddr::new(settings.own_address, settings.link_port);
        record.data_centre = settings.data_centre.clone();
        record.accepts_calls &= !self.is_stopping();
        record
    }

    /// Tells control at once, and this node's own picker, what became of the backend server.
    pub(crate) fn publish_own(&self) {
        let record = self.record();
        let now = self.now();
        self.members().put(record, now);
        self.report_now.notify_one();
    }

    /// Earns for a first attempt towards a service.
    pub(crate) fn earn_repeat(&self, service: &ServiceName) {
        self.with_repeats(service, |budget, _| budget.earn());
    }

    /// Spends an attempt beyond the first; returns whether there was one.
    pub(crate) fn spend_repeat(&self, service: &ServiceName) -> bool {
        self.with_repeats(service, RepeatBudget::spend)
    }

    fn with_repeats<R>(
        &self,
        service: &ServiceName,
        work: impl FnOnce(&mut RepeatBudget, Instant) -> R,
    ) -> R {
        let now = self.now();
        let bounds = &self.inner.settings.bounds;
        let nodes = self.members().len();
        let mut repeats = lock(&self.inner.repeats);
        let budget = repeats.entry(service.clone()).or_insert_with(|| {
            RepeatBudget::new(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window,
                nodes,
                now,
            )
        });
        work(budget, now)
    }

    /// Books the bytes of a body; none when there is no memory for it.
    pub(crate) fn book_body(&self, bytes: usize) -> Option<BodyBooking<C, D>> {
        let limit = self.inner.settings.memory_bytes / BODY_MEMORY_DIVISOR;
        let booked = self.inner.body_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let booking = BodyBooking {
            state: self.clone(),
            bytes,
        };
        (booked as u64 <= limit).then_some(booking)
    }

    /// Returns whether a line on a request may be logged; few enough a second are.
    pub(crate) fn may_log(&self) -> bool {
        let second = self.now().duration_since(self.inner.started).as_secs();
        lock(&self.inner.log_window).take(second)
    }

    /// Returns whether this is one of the requests in `one_in` that are looked at.
    pub(crate) fn is_sampled(&self, one_in: usize) -> bool {
        let number = self.inner.sampled.fetch_add(1, Ordering::Relaxed);
        number.is_multiple_of(one_in)
    }

    /// Counts a request of a caller until the returned guard is dropped.
    pub(crate) fn enter(&self) -> EntryGuard<C, D> {
        self.inner.entered.fetch_add(1, Ordering::Relaxed);
        EntryGuard {
            state: self.clone(),
        }
    }

    /// Returns how many requests of callers are under way.
    pub(crate) fn entered(&self) -> usize {
        self.inner.entered.load(Ordering::Relaxed)
    }
}

/// Bytes of a body that count until this is dropped.
pub(crate) struct BodyBooking<C, D> {
    state: ProxyState<C, D>,
    bytes: usize,
}

impl<C, D> Drop for BodyBooking<C, D> {
    fn drop(&mut self) {
        self.state
            .inner
            .body_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A request of a caller that counts until this is dropped.
pub(crate) struct EntryGuard<C, D> {
    state: ProxyState<C, D>,
}

impl<C, D> Drop for EntryGuard<C, D> {
    fn drop(&mut self) {
        self.state.inner.entered.fetch_sub(1, Ordering::Relaxed);
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
