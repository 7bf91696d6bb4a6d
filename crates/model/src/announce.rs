//! Announcement that a backend server sends to the node on its host.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::exchange::ServerState;
use crate::ids::ServiceName;

/// Path on the node's loopback listener that accepts a [`ServerAnnouncement`] by `POST`.
pub const ANNOUNCE_PATH: &str = "/.ragwortplank/announce";

/// JSON body of an announcement, sent at least once a second.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerAnnouncement {
    /// Service that the backend server belongs to.
    pub service: ServiceName,
    /// Address on which the backend server listens, on loopback.
    pub address: SocketAddr,
    /// State of the backend server, in kebab case.
    pub state: ServerState,
    /// Requests that the backend server can run concurrently; a hint.
    pub slots: u32,
}
