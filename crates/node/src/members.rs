//! Other nodes, by the service of their backend server.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use clock::Clock;
use model::context::ServerLoad;
use model::exchange::MemberRecord;
use model::exchange::MemberUpdate;
use model::ids::DataCentreName;
use model::ids::NodeId;
use model::ids::ServiceName;
use model::verdict::CallFailure;
use model::verdict::FailureCause;
use model::verdict::RunVerdict;
use route::CallResult;
use route::PickedServer;
use route::ServerPicker;
use smallvec::SmallVec;
use tokio::sync::Notify;

use crate::attempt::AttemptReport;

/// Longest wait for the members of a service that is called for the first time, in milliseconds.
const FIRST_WAIT_MS: u64 = 400;

/// Position in the membership feed of a control instance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct FeedPosition {
    /// The feed.
    pub feed: u64,
    /// The cursor in it; 0 asks for everything.
    pub cursor: u64,
}

/// Services that this node calls and the nodes that serve them.
pub(crate) struct MemberTable<C: Clock> {
    clock: C,
    data_centre: DataCentreName,
    known: Mutex<KnownMembers<C>>,
    /// Wakes the exchange when a service is called for the first time.
    pub wanted: Notify,
    updated: Notify,
}

struct KnownMembers<C: Clock> {
    records: HashMap<NodeId, MemberRecord>,
    pickers: HashMap<ServiceName, ServicePicker<C>>,
    position: FeedPosition,
}

struct ServicePicker<C: Clock> {
    picker: ServerPicker<C>,
    /// Whether an exchange that asked for this service was answered.
    is_known: bool,
}

impl<C: Clock> MemberTable<C> {
    /// Creates a table without interests.
    pub(crate) fn new(data_centre: DataCentreName, clock: C) -> Self {
        Self {
            clock,
            data_centre,
            known: Mutex::new(KnownMembers {
                records: HashMap::new(),
                pickers: HashMap::new(),
                position: FeedPosition::default(),
            }),
            wanted: Notify::new(),
            updated: Notify::new(),
        }
    }

    /// Chooses a node for a call; the first call to a service waits for its members.
    pub(crate) async fn pick(
        &self,
        service: &ServiceName,
        tried: &[NodeId],
    ) -> Option<PickGuard<'_, C>> {
        let give_up = tokio::time::Instant::now() + Duration::from_millis(FIRST_WAIT_MS);
        loop {
            let updated = self.updated.notified();
            match self.try_pick(service, tried) {
                PickAttempt::Picked(server) => return Some(self.guard(service, server)),
                PickAttempt::Exhausted => return None,
                PickAttempt::Unknown => self.wanted.notify_one(),
            }
            tokio::time::timeout_at(give_up, updated).await.ok()?;
        }
    }

    /// Returns the services whose members this node wants to know.
    pub(crate) fn interests(&self) -> SmallVec<[ServiceName; 4]> {
        self.lock().pickers.keys().cloned().collect()
    }

    /// Returns the position to send with an exchange.
    pub(crate) fn position(&self) -> FeedPosition {
        self.lock().position
    }

    /// Takes over an update that answers an exchange with these interests.
    ///
    /// Returns the addresses of nodes that are new here.
    pub(crate) fn update(&self, update: MemberUpdate, asked: &[ServiceName]) -> Vec<MemberRecord> {
        let mut known = self.lock();
        let fresh = known.apply(update);
        known.refresh_pickers(asked);
        drop(known);
        self.updated.notify_waiters();
        fresh
    }

    /// Returns all nodes known.
    pub(crate) fn records(&self) -> Vec<MemberRecord> {
        let known = self.lock();
        let mut records: Vec<_> = known.records.values().cloned().collect();
        records.sort_by_key(|record| record.node);
        records
    }

    /// Asks for the members of services ahead of their first call.
    pub(crate) fn expect_calls<'s>(&self, services: impl Iterator<Item = &'s ServiceName>) {
        let mut known = self.lock();
        for service in services {
            if !known.pickers.contains_key(service) {
                self.add_interest(&mut known, service);
                self.wanted.notify_one();
            }
        }
    }

    fn add_interest(&self, known: &mut KnownMembers<C>, service: &ServiceName) {
        let entry = ServicePicker {
            picker: ServerPicker::new(self.clock.clone(), self.data_centre.clone()),
            is_known: false,
        };
        known.pickers.insert(service.clone(), entry);
        known.position.cursor = 0;
    }

    fn try_pick(&self, service: &ServiceName, tried: &[NodeId]) -> PickAttempt {
        let mut known = self.lock();
        let Some(entry) = known.pickers.get_mut(service) else {
            self.add_interest(&mut known, service);
            return PickAttempt::Unknown;
        };
        match entry.picker.pick(tried, rand::random()) {
            Some(server) => PickAttempt::Picked(server),
            None if entry.is_known => PickAttempt::Exhausted,
            None => PickAttempt::Unknown,
        }
    }

    fn guard(&self, service: &ServiceName, server: PickedServer) -> PickGuard<'_, C> {
        PickGuard {
            table: self,
            service: service.clone(),
            server,
            result: CallResult::Cancelled,
            load: None,
        }
    }

    fn lock(&self) -> MutexGuard<'_, KnownMembers<C>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<C: Clock> KnownMembers<C> {
    fn apply(&mut self, update: MemberUpdate) -> Vec<MemberRecord> {
        // A service that was asked for meanwhile keeps the cursor at 0.
        let restarted = self.position.cursor == 0 && !update.full;
        if !restarted {
            self.position = FeedPosition {
                feed: update.feed,
                cursor: update.cursor,
            };
        }
        if update.full {
            self.records.clear();
        }
        for node in &update.left {
            self.records.remove(node);
        }
        let mut fresh = Vec::new();
        for record in update.joined {
            let known = self.records.insert(record.node, record.clone());
            if known.is_none() {
                fresh.push(record);
            }
        }
        fresh
    }

    fn refresh_pickers(&mut self, asked: &[ServiceName]) {
        for (service, entry) in &mut self.pickers {
            let members = self.records.values();
            let members: Vec<_> = members
                .filter(|record| record.service == *service)
                .cloned()
                .collect();
            entry.picker.update(&members);
            entry.is_known |= asked.contains(service);
        }
    }
}

/// Outcome of one look at the members.
enum PickAttempt {
    Picked(PickedServer),
    /// The members are known and none takes the call.
    Exhausted,
    /// The members are not known yet.
    Unknown,
}

/// A chosen node; dropping it tells the picker how the call ended.
pub(crate) struct PickGuard<'a, C: Clock> {
    table: &'a MemberTable<C>,
    service: ServiceName,
    server: PickedServer,
    result: CallResult,
    load: Option<ServerLoad>,
}

impl<C: Clock> PickGuard<'_, C> {
    /// Returns the chosen node.
    pub(crate) fn server(&self) -> PickedServer {
        self.server
    }

    /// Tells the picker how the attempt ended.
    pub(crate) fn finish(mut self, report: &AttemptReport, latency: Duration) {
        self.load = report.feedback.as_ref().map(|feedback| feedback.load);
        self.result = match &report.result {
            Ok(answer) if answer.status.is_server_error() && !met_cuts(report) => {
                CallResult::Failed
            }
            Ok(_) => CallResult::Answered { latency },
            Err(failure) => result_of(failure),
        };
    }
}

impl<C: Clock> Drop for PickGuard<'_, C> {
    fn drop(&mut self) {
        let mut known = self.table.lock();
        if let Some(entry) = known.pickers.get_mut(&self.service) {
            entry.picker.learn(self.server.node, self.result, self.load);
        }
    }
}

/// Says whether an overload further down explains an error of the backend server.
fn met_cuts(report: &AttemptReport) -> bool {
    let feedback = report.feedback.as_ref();
    feedback.is_some_and(|feedback| !feedback.thresholds.is_empty())
}

fn result_of(failure: &CallFailure) -> CallResult {
    match failure.cause {
        FailureCause::Draining | FailureCause::NoBackend => CallResult::Leaving,
        FailureCause::Cancelled => CallResult::Cancelled,
        _ if failure.verdict == RunVerdict::NotRun => CallResult::Refused,
        _ => CallResult::Failed,
    }
}
