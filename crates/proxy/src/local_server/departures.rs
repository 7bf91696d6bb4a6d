//! Backend servers that left beside this node, as the control group has recorded them.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use fleet::DepartedServer;
use fleet::DepartureList;
use fleet::DepartureVersion;
use fleet::ServerAnnouncement;
use fleet::ServerName;
use tokio::time::timeout;

use crate::local_server::DrainStart;
use crate::local_server::LocalServer;
use crate::state::lock;

/// Time within which control must record a departure, in milliseconds; a server takes an answer
/// for an acknowledgement for one second.
const RECORD_TIMEOUT_MS: u64 = 800;
/// Most departures that wait to be recorded.
const MAX_UNRECORDED: usize = 32;

/// The backend servers that left beside this node, in this run of its process and in earlier ones.
#[derive(Debug, Default)]
pub(super) struct LocalDepartures {
    /// What control has recorded; `None` until it has told this run.
    recorded: Option<DepartureList>,
    /// What control has not recorded yet, the oldest first.
    unrecorded: Vec<DepartedServer>,
}

impl LocalDepartures {
    /// Notes that a server leaves.
    pub(super) fn insert(&mut self, departed: DepartedServer) {
        if self.covers(&departed.server, departed.started_by_ms) {
            return;
        }
        if self.unrecorded.len() >= MAX_UNRECORDED {
            let forgotten = self.unrecorded.remove(0);
            tracing::warn!(event = "departure-forgotten", server = %forgotten.server);
        }
        self.unrecorded.push(departed);
    }

    /// Applies what control has recorded.
    pub(super) fn apply(&mut self, list: DepartureList) {
        self.unrecorded
            .retain(|departed| !list.covers(&departed.server, departed.started_by_ms));
        self.recorded = Some(list);
    }

    /// Returns whether control has told this run which servers left before.
    pub(super) const fn is_known(&self) -> bool {
        self.recorded.is_some()
    }

    /// Returns whether a process of a server has left, as far as is known.
    pub(super) fn covers(&self, server: &ServerName, started_at_ms: u64) -> bool {
        let mut unrecorded = self.unrecorded.iter();
        self.is_recorded(server, started_at_ms)
            || unrecorded.any(|departed| departed.covers(server, started_at_ms))
    }

    /// Returns whether control has recorded that a process of a server has left.
    pub(super) fn is_recorded(&self, server: &ServerName, started_at_ms: u64) -> bool {
        let recorded = self.recorded.as_ref();
        recorded.is_some_and(|list| list.covers(server, started_at_ms))
    }

    /// Returns the version of what control has recorded.
    pub(super) fn version(&self) -> Option<DepartureVersion> {
        self.recorded.as_ref().map(|list| list.version)
    }

    /// Returns the departures that control has not recorded yet.
    pub(super) fn unrecorded(&self) -> Vec<DepartedServer> {
        self.unrecorded.clone()
    }
}

impl LocalServer {
    /// Starts to drain `server`, which leaves, if it is the current backend server.
    ///
    /// Returns the departure, which counts once control has recorded it: an announcement that the
    /// server sent before may arrive later, at this run of the node or at the next.
    pub(crate) fn begin_drain(
        &self,
        server: &ServerName,
        now: Instant,
        wall: SystemTime,
    ) -> DepartedServer {
        let mut state = lock(&self.state);
        let known = state.announcement.as_ref();
        let known = known.filter(|known| known.server == *server).map(departure);
        if known.is_some() {
            state.draining.get_or_insert(DrainStart::At(now));
        }
        let departed = known.unwrap_or_else(|| DepartedServer {
            server: server.clone(),
            started_by_ms: unix_millis(wall),
        });
        state.departures.insert(departed.clone());
        departed
    }

    /// Applies the departures that control has recorded; returns whether this changes the record
    /// that the node publishes.
    pub(crate) fn apply_departures(&self, list: DepartureList) -> bool {
        let mut state = lock(&self.state);
        let had_accepted = state.accepts_calls();
        state.departures.apply(list);
        let announced = state.announcement.as_ref().map(departure);
        let has_left = announced.is_some_and(|announced| {
            let departures = &state.departures;
            departures.is_recorded(&announced.server, announced.started_by_ms)
        });
        if has_left {
            state.draining.get_or_insert(DrainStart::BeforeThisNode);
        }
        let is_changed = had_accepted != state.accepts_calls();
        drop(state);
        self.departures_recorded.send_replace(());
        is_changed
    }

    /// Waits until control has recorded a departure; returns whether it does so in time.
    pub(crate) async fn await_recorded(&self, departed: &DepartedServer) -> bool {
        let mut recorded = self.departures_recorded.subscribe();
        let is_recorded = recorded.wait_for(|()| {
            let departures = &lock(&self.state).departures;
            departures.is_recorded(&departed.server, departed.started_by_ms)
        });
        let time_limit = Duration::from_millis(RECORD_TIMEOUT_MS);
        timeout(time_limit, is_recorded)
            .await
            .is_ok_and(|outcome| outcome.is_ok())
    }

    /// Returns the version of the recorded departures that this run knows, and the departures that
    /// control has yet to record.
    pub(crate) fn departures(&self) -> (Option<DepartureVersion>, Vec<DepartedServer>) {
        let departures = &lock(&self.state).departures;
        (departures.version(), departures.unrecorded())
    }
}

/// Returns the departure of the process that an announcement describes.
pub(super) fn departure(announcement: &ServerAnnouncement) -> DepartedServer {
    DepartedServer {
        server: announcement.server.clone(),
        started_by_ms: announcement.started_at_ms,
    }
}

/// Returns Unix milliseconds; 0 for a time before 1970, which makes every start a later one.
fn unix_millis(wall: SystemTime) -> u64 {
    let since = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
