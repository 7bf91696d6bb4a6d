//! Backend servers that left beside this node, as the control group has recorded them.

use fleet::DepartedServer;
use fleet::DepartureList;
use fleet::DepartureVersion;
use fleet::ServerName;

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
