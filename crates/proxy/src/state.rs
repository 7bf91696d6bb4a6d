//! State shared by the tasks of a node.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Instant;

use admit::EntryAdmission;
use clock::Clock;
use fleet::EvacuationList;
use fleet::NodeRecord;
use fleet::ProtocolAdapter;
use fleet::RouteTable;
use limit::ServiceRetryBudget;
use metrics::ProcessMetrics;
use model::ids::NodeId;
use model::ids::ServiceName;
use settings::ProxySettings;
use tokio::sync::Notify;
use tracing::info;

use crate::crash_tracker::CrashTracker;
use crate::leased_config::LeasedConfig;
use crate::local_server::LocalServer;
use crate::memory_budget::MemoryBudget;
use crate::node_table::NodeTable;
use crate::peers::PeerPool;
use crate::quota::QuotaTable;
use crate::stop_control::StopControl;
use crate::stop_schedule::StopSchedule;
use crate::token_wait_queue::TokenWaitQueue;
use crate::work::WorkCounter;

/// Request bodies in flight may use the memory limit divided by this.
const BODY_MEMORY_DIVISOR: u64 = 3;

/// Answers in flight may use the memory limit divided by this.
const ANSWER_MEMORY_DIVISOR: u64 = 3;

/// Most log lines on individual requests in one second.
const MAX_LINES_PER_S: u32 = 150;

/// Limits the log lines on individual requests in each second.
#[derive(Debug, Default)]
struct RequestLogLimiter {
    second: u64,
    lines: u32,
    suppressed: u64,
}

impl RequestLogLimiter {
    fn allow(&mut self, second: u64) -> bool {
        if second != self.second {
            if self.suppressed > 0 {
                info!(event = "lines-left-out", lines = self.suppressed);
            }
            *self = Self {
                second,
                ..Self::default()
            };
        }
        self.lines += 1;
        let fits = self.lines <= MAX_LINES_PER_S;
        self.suppressed += u64::from(!fits);
        fits
    }
}

/// Handle to the state of a node; clones share it.
#[derive(Debug)]
pub(crate) struct ProxyState<C, A> {
    inner: Arc<StateInner<C, A>>,
}

impl<C, A> Clone for ProxyState<C, A> {
    fn clone(&self) -> Self {
        Self {
            inner: Arc::clone(&self.inner),
        }
    }
}

impl<C, A> std::ops::Deref for ProxyState<C, A> {
    type Target = StateInner<C, A>;

    fn deref(&self) -> &Self::Target {
        &self.inner
    }
}

/// The parts of [`ProxyState`].
#[derive(Debug)]
pub(crate) struct StateInner<C, A> {
    pub(crate) node: NodeId,
    pub(crate) settings: ProxySettings,
    pub(crate) adapter: A,
    pub(crate) clock: C,
    pub(crate) server: LocalServer,
    pub(crate) peers: PeerPool,
    /// Memory of the answers in flight, from the local backend server and from other nodes.
    pub(crate) answer_memory: MemoryBudget,
    /// Memory of the request bodies in flight.
    pub(crate) request_memory: MemoryBudget,
    pub(crate) metrics: ProcessMetrics,
    pub(crate) stop: StopControl,
    /// Wakes the control session to send a report at once.
    pub(crate) report_now: Notify,
    /// Wakes the control session to request tokens, since a request waits for one.
    pub(crate) request_tokens_now: Notify,
    config: Mutex<LeasedConfig>,
    nodes: Mutex<NodeTable>,
    quota: Mutex<QuotaTable>,
    token_queue: Mutex<TokenWaitQueue>,
    admission: Mutex<EntryAdmission>,
    work: Mutex<WorkCounter>,
    crashes: Mutex<CrashTracker>,
    retry_budgets: Mutex<HashMap<ServiceName, ServiceRetryBudget>>,
    started: Instant,
    request_log_limiter: Mutex<RequestLogLimiter>,
    sample_count: AtomicUsize,
}

impl<C: Clock, A: ProtocolAdapter> ProxyState<C, A> {
    pub(crate) fn new(
        settings: ProxySettings,
        adapter: A,
        clock: C,
        metrics: ProcessMetrics,
    ) -> Self {
        let node = rand::random();
        let answer_memory = MemoryBudget::new(settings.memory_bytes / ANSWER_MEMORY_DIVISOR);
        let inner = StateInner {
            node,
            config: Mutex::new(LeasedConfig::new(settings.bounds.revocation_time)),
            nodes: Mutex::new(NodeTable::new(node, settings.data_centre.clone())),
            server: LocalServer::new(settings.service.clone()),
            peers: PeerPool::new(answer_memory.clone()),
            answer_memory,
            request_memory: MemoryBudget::new(settings.memory_bytes / BODY_MEMORY_DIVISOR),
            metrics,
            stop: StopControl::default(),
            report_now: Notify::new(),
            request_tokens_now: Notify::new(),
            quota: Mutex::default(),
            token_queue: Mutex::default(),
            admission: Mutex::default(),
            work: Mutex::default(),
            crashes: Mutex::default(),
            retry_budgets: Mutex::default(),
            started: clock.now(),
            request_log_limiter: Mutex::default(),
            sample_count: AtomicUsize::new(0),
            settings,
            adapter,
            clock,
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    pub(crate) fn config(&self) -> MutexGuard<'_, LeasedConfig> {
        lock(&self.inner.config)
    }

    pub(crate) fn nodes(&self) -> MutexGuard<'_, NodeTable> {
        lock(&self.inner.nodes)
    }

    pub(crate) fn quota(&self) -> MutexGuard<'_, QuotaTable> {
        lock(&self.inner.quota)
    }

    pub(crate) fn token_queue(&self) -> MutexGuard<'_, TokenWaitQueue> {
        lock(&self.inner.token_queue)
    }

    pub(crate) fn admission(&self) -> MutexGuard<'_, EntryAdmission> {
        lock(&self.inner.admission)
    }

    pub(crate) fn crashes(&self) -> MutexGuard<'_, CrashTracker> {
        lock(&self.inner.crashes)
    }

    pub(crate) fn work(&self) -> MutexGuard<'_, WorkCounter> {
        lock(&self.inner.work)
    }

    /// Returns the routes and teams, and whether the configuration lease is valid.
    pub(crate) fn route_table(&self) -> Option<(Arc<RouteTable>, bool)> {
        let config = self.config();
        let leased = config.is_leased(self.now());
        config.table().map(|table| (table, leased))
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.inner.stop.is_requested()
    }

    /// Begins the graceful stop, and tells control at once.
    pub(crate) fn begin_stop(&self) -> StopSchedule {
        let grace = self.inner.settings.bounds.stop_grace_period;
        let schedule = self.inner.stop.request(self.now(), grace);
        self.publish_record();
        schedule
    }

    /// Returns whether the node is ready for requests of callers.
    pub(crate) fn is_ready(&self) -> bool {
        let is_leased = self.route_table().is_some_and(|(_, leased)| leased);
        !self.is_stopping() && is_leased && self.quota().has_shares()
    }

    /// Returns the record that this node publishes about itself.
    pub(crate) fn node_record(&self) -> NodeRecord {
        let settings = &self.inner.settings;
        let mut record = self.inner.server.record(self.now());
        record.node = self.inner.node;
        record.address = std::net::SocketAddr::new(settings.own_address, settings.link_port);
        record.data_centre = settings.data_centre.clone();
        record.accepts_calls &= !self.is_stopping();
        record
    }

    /// Publishes the node's current record to its own node table, and at once to control.
    pub(crate) fn publish_record(&self) {
        let record = self.node_record();
        let now = self.now();
        self.nodes().upsert(record, now);
        self.report_now.notify_one();
    }

    /// Applies the evacuated data centres, unless the known ones are as new.
    pub(crate) fn apply_evacuations(&self, list: EvacuationList) {
        let now = self.now();
        let version = list.version;
        let count = list.data_centres.len() as u64;
        let own = list.contains(&self.inner.settings.data_centre);
        let names: Vec<&str> = list.data_centres.iter().map(|name| &**name).collect();
        let names = names.join(",");
        if !self.nodes().apply_evacuations(list) {
            return;
        }
        info!(
            event = "evacuations-known",
            version,
            data_centres = names,
            own
        );
        self.inner.metrics.set("evacuated-data-centres", count);
        if self.inner.server.apply_evacuation(own, now) {
            self.publish_record();
        }
    }

    /// Credits the service's retry budget for a first attempt.
    pub(crate) fn credit_retry_budget(&self, service: &ServiceName) {
        self.with_retry_budget(service, |budget, _| budget.earn());
    }

    /// Takes one retry from the service's retry budget; returns whether there was one.
    pub(crate) fn spend_retry_budget(&self, service: &ServiceName) -> bool {
        self.with_retry_budget(service, ServiceRetryBudget::spend)
    }

    fn with_retry_budget<R>(
        &self,
        service: &ServiceName,
        operation: impl FnOnce(&mut ServiceRetryBudget, Instant) -> R,
    ) -> R {
        let now = self.now();
        let bounds = &self.inner.settings.bounds;
        let nodes = self.nodes().node_count();
        let mut retry_budgets = lock(&self.inner.retry_budgets);
        let budget = retry_budgets.entry(service.clone()).or_insert_with(|| {
            ServiceRetryBudget::new(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window,
                nodes,
                now,
            )
        });
        // More nodes may be known by now than when the budget was made.
        budget.set_nodes(nodes, now);
        operation(budget, now)
    }

    /// Returns whether a line on a request may be logged now, within the limit per second.
    pub(crate) fn may_log_request(&self) -> bool {
        let second = self.now().duration_since(self.inner.started).as_secs();
        lock(&self.inner.request_log_limiter).allow(second)
    }

    /// Returns `true` on one in `one_in` calls.
    pub(crate) fn is_sampled(&self, one_in: usize) -> bool {
        let number = self.inner.sample_count.fetch_add(1, Ordering::Relaxed);
        number.is_multiple_of(one_in)
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
