//! How a backend server announces itself to the node beside it.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::exchange::ServerState;
use crate::ids::ServiceName;

/// Path on the node's loopback listener that takes a [`ServerAnnouncement`] by `POST`.
pub const ANNOUNCE_PATH: &str = "/.ragwortplank/announce";

/// JSON body of an announcement, repeated at least once a second.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerAnnouncement {
    /// Service that the backend server belongs to.
    pub service: ServiceName,
    /// Where it listens, on loopback.
    pub address: SocketAddr,
    /// Its state, in kebab case.
    pub state: ServerState,
    /// Requests that it can run at once; a hint.
    pub slots: u32,
}
