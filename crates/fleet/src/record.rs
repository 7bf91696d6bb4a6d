//! What is known of a backend server and of the node beside it.

use std::net::SocketAddr;
use std::time::Duration;

use model::context::ServerLoad;
use model::ids::DataCentreName;
use model::ids::NodeId;
use model::ids::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use crate::AnnounceNumber;
use crate::ServerName;

/// What a backend server says of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ServerPhase {
    /// It takes work.
    Ready,
    /// It will leave, and should get no new work.
    Draining,
}

/// One announcement of a backend server, decoded.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServerAnnouncement {
    /// Name of this start of the backend server.
    pub server: ServerName,
    /// Service that it runs.
    pub service: ServiceName,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Calls that it runs at once.
    pub slots: u32,
    /// What it says of itself.
    pub phase: ServerPhase,
    /// Grows with every announcement of one start.
    pub number: AnnounceNumber,
    /// Start of the backend server, in Unix milliseconds; orders starts under one name.
    pub born_ms: u64,
    /// How much longer it stays slow after its start.
    pub cold: Duration,
}

impl ServerAnnouncement {
    /// Returns whether this one tells more than `known`, so that late ones change nothing.
    #[must_use]
    pub fn supersedes(&self, known: &Self) -> bool {
        if self.server == known.server && self.born_ms == known.born_ms {
            return self.number > known.number;
        }
        self.born_ms > known.born_ms
    }
}

/// One node with the backend server beside it, as the other nodes see it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// This start of the node, drawn at random.
    pub node: NodeId,
    /// Where other nodes reach it.
    pub address: SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: DataCentreName,
    /// Service of the backend server beside it.
    pub service: ServiceName,
    /// The backend server, none while none has announced itself.
    pub server: Option<ServerName>,
    /// Calls that the backend server runs at once.
    pub slots: u32,
    /// Whether new calls may be sent there.
    pub takes_work: bool,
    /// How much longer the backend server stays slow, when the record was made.
    pub cold: Duration,
    /// Load when the record was made.
    pub load: ServerLoad,
}
