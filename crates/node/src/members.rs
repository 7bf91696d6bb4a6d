//! Table of the known nodes, by the service of their backend server.

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
use route::TwoChoicePicker;
use smallvec::SmallVec;
use tokio::sync::Notify;

use crate::attempt::AttemptReport;

/// Longest wait for the members of a service on its first call, in milliseconds.
const FIRST_CALL_WAIT_MS: u64 = 400;

/// Position in the membership feed of a control instance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct FeedPosition {
    /// Id of the feed.
    pub feed: u64,
    /// Cursor in the feed; 0 requests all members.
    pub cursor: u64,
}

/// Services that this node calls, and the nodes (members) that serve them.
pub(crate) struct MemberTable<C: Clock> {
    clock: C,
    data_centre: DataCentreName,
    known: Mutex<KnownMembers<C>>,
    /// Triggers an exchange with control when a service is called for the first time.
    pub exchange_needed: Notify,
    updated: Notify,
}

struct KnownMembers<C: Clock> {
    records: HashMap<NodeId, MemberRecord>,
    pickers: HashMap<ServiceName, ServicePicker<C>>,
    position: FeedPosition,
}

struct ServicePicker<C: Clock> {
    picker: TwoChoicePicker<C>,
    /// Whether control has answered an exchange that requested this service.
    is_loaded: bool,
}

impl<C: Clock> MemberTable<C> {
    /// Creates an empty table.
    pub(crate) fn new(data_centre: DataCentreName, clock: C) -> Self {
        Self {
            clock,
            data_centre,
            known: Mutex::new(KnownMembers {
                records: HashMap::new(),
                pickers: HashMap::new(),
                position: FeedPosition::default(),
            }),
            exchange_needed: Notify::new(),
            updated: Notify::new(),
        }
    }

    /// Chooses a node for a call, excluding `tried`; the first call to a service waits until its
    /// members are known.
    pub(crate) async fn pick(
        &self,
        service: &ServiceName,
        tried: &[NodeId],
    ) -> Option<PickGuard<'_, C>> {
        let wait_until = tokio::time::Instant::now() + Duration::from_millis(FIRST_CALL_WAIT_MS);
        loop {
            let updated = self.updated.notified();
            match self.try_pick(service, tried) {
                PickAttempt::Picked(server) => return Some(self.pick_guard(service, server)),
                PickAttempt::Exhausted => return None,
                PickAttempt::Unknown => self.exchange_needed.notify_one(),
            }
            tokio::time::timeout_at(wait_until, updated).await.ok()?;
        }
    }

    /// Returns the services whose members this node requests from control.
    pub(crate) fn interests(&self) -> SmallVec<[ServiceName; 4]> {
        self.lock().pickers.keys().cloned().collect()
    }

    /// Returns the feed position to send with the next exchange.
    pub(crate) fn position(&self) -> FeedPosition {
        self.lock().position
    }

    /// Applies an update from an exchange that requested the services `requested`.
    ///
    /// Returns the records of nodes that were not known before.
    pub(crate) fn update(
        &self,
        update: MemberUpdate,
        requested: &[ServiceName],
    ) -> Vec<MemberRecord> {
        let mut known = self.lock();
        let added = known.apply(update);
        known.update_pickers(requested);
        drop(known);
        self.updated.notify_waiters();
        added
    }

    /// Returns all known nodes, sorted by id.
    pub(crate) fn records(&self) -> Vec<MemberRecord> {
        let known = self.lock();
        let mut records: Vec<_> = known.records.values().cloned().collect();
        records.sort_by_key(|record| record.node);
        records
    }

    /// Requests the members of services before their first call.
    pub(crate) fn add_interests<'s>(&self, services: impl Iterator<Item = &'s ServiceName>) {
        let mut known = self.lock();
        for service in services {
            if !known.pickers.contains_key(service) {
                self.add_interest(&mut known, service);
                self.exchange_needed.notify_one();
            }
        }
    }

    fn add_interest(&self, known: &mut KnownMembers<C>, service: &ServiceName) {
        let entry = ServicePicker {
            picker: TwoChoicePicker::new(self.clock.clone(), self.data_centre.clone()),
            is_loaded: false,
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
            None if entry.is_loaded => PickAttempt::Exhausted,
            None => PickAttempt::Unknown,
        }
    }

    fn pick_guard(&self, service: &ServiceName, server: PickedServer) -> PickGuard<'_, C> {
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
        // A service added while the exchange was under way set the cursor to 0; it stays so,
        // so that the next exchange requests all members.
        let is_stale_delta = self.position.cursor == 0 && !update.full;
        if !is_stale_delta {
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
        let mut added = Vec::new();
        for record in update.joined {
            let previous = self.records.insert(record.node, record.clone());
            if previous.is_none() {
                added.push(record);
            }
        }
        added
    }

    fn update_pickers(&mut self, requested: &[ServiceName]) {
        for (service, entry) in &mut self.pickers {
            let records = self.records.values();
            let members: Vec<_> = records
                .filter(|record| record.service == *service)
                .cloned()
                .collect();
            entry.picker.update(&members);
            entry.is_loaded |= requested.contains(service);
        }
    }
}

/// Outcome of trying to pick a member.
enum PickAttempt {
    Picked(PickedServer),
    /// The members are known, and none of them can take the call.
    Exhausted,
    /// The members are not known yet.
    Unknown,
}

/// A chosen node; dropping it reports to the picker how the call ended.
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

    /// Reports to the picker how the attempt ended; without it, the call counts as cancelled.
    pub(crate) fn finish(mut self, report: &AttemptReport, latency: Duration) {
        self.load = report.feedback.as_ref().map(|feedback| feedback.load);
        self.result = match &report.result {
            Ok(response)
                if response.status.is_server_error() && !met_downstream_threshold(report) =>
            {
                CallResult::Failed
            }
            Ok(_) => CallResult::Answered { latency },
            Err(failure) => call_result(failure),
        };
    }
}

impl<C: Clock> Drop for PickGuard<'_, C> {
    fn drop(&mut self) {
        let mut known = self.table.lock();
        if let Some(entry) = known.pickers.get_mut(&self.service) {
            entry
                .picker
                .record_result(self.server.node, self.result, self.load);
        }
    }
}

/// Returns whether overload of a downstream service explains an error of the backend server.
fn met_downstream_threshold(report: &AttemptReport) -> bool {
    let feedback = report.feedback.as_ref();
    feedback.is_some_and(|feedback| !feedback.thresholds.is_empty())
}

fn call_result(failure: &CallFailure) -> CallResult {
    match failure.cause {
        FailureCause::Draining | FailureCause::NoBackend => CallResult::Leaving,
        FailureCause::Cancelled => CallResult::Cancelled,
        _ if failure.verdict == RunVerdict::NotRun => CallResult::Refused,
        _ => CallResult::Failed,
    }
}
