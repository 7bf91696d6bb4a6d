//! What is known about a backend server and the node beside it.

use std::net::SocketAddr;
use std::time::Duration;

use model::context::ServerLoad;
use model::ids::DataCentreName;
use model::ids::NodeId;
use model::ids::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use crate::AnnouncementSequence;
use crate::ServerName;

/// Lifecycle phase that a backend server reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ServerPhase {
    /// It accepts new calls.
    Ready,
    /// It will shut down and should get no new calls.
    Draining,
}

/// A decoded announcement of a backend server.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServerAnnouncement {
    /// Name of the backend server, usually different after each restart.
    pub server: ServerName,
    /// Service that it runs.
    pub service: ServiceName,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Number of calls that it executes concurrently.
    pub slots: u32,
    /// Lifecycle phase that it reports.
    pub phase: ServerPhase,
    /// Increases with every announcement of one run of the process.
    pub sequence: AnnouncementSequence,
    /// Start time of the process in Unix milliseconds; orders restarts under one name.
    pub started_at_ms: u64,
    /// Remaining warm-up time during which it is still slow after its start.
    pub warm_up_left: Duration,
}

impl ServerAnnouncement {
    /// Returns whether this announcement is newer than `known`.
    ///
    /// Announcements that arrive out of order are thereby ignored.
    #[must_use]
    pub fn supersedes(&self, known: &Self) -> bool {
        if self.server == known.server && self.started_at_ms == known.started_at_ms {
            return self.sequence > known.sequence;
        }
        self.started_at_ms > known.started_at_ms
    }
}

/// A node and the backend server beside it, as published to the other nodes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Identifier of this run of the node process, chosen at random at its start.
    pub node: NodeId,
    /// Address at which other nodes reach it.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: DataCentreName,
    /// Service of the backend server beside it.
    pub service: ServiceName,
    /// Name of the backend server; `None` until one has announced itself.
    pub server: Option<ServerName>,
    /// Number of calls that the backend server executes concurrently.
    pub slots: u32,
    /// Whether new calls may be sent to it.
    pub accepts_calls: bool,
    /// Remaining warm-up time of the backend server when the record was made.
    pub warm_up_left: Duration,
    /// Load of the backend server when the record was made.
    pub load: ServerLoad,
}
