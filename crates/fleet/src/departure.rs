//! Backend servers that have left, which no node may use again.
//!
//! The control group keeps them, so that they outlive the node that heard of the leave; see
//! "Backend servers that left" in `docs/PLATFORM.md`.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ServerName;

/// Most departed servers that are remembered beside one node.
const MAX_SERVERS_PER_NODE: usize = 32;
/// Most departed servers that are remembered beside all nodes together.
const MAX_SERVERS: usize = 8_192;

/// Version of the departed servers beside one node; 0 while there are none.
pub type DepartureVersion = u64;

/// A backend server that drains or has left.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct DepartedServer {
    /// Name of the backend server.
    pub server: ServerName,
    /// Its processes that were started up to this time have left, in Unix milliseconds; one that
    /// was started later under the same name may be used.
    pub started_by_ms: u64,
}

impl DepartedServer {
    /// Returns whether this departure is the one of a process, or a later one.
    #[must_use]
    pub fn covers(&self, server: &ServerName, started_at_ms: u64) -> bool {
        self.server == *server && started_at_ms <= self.started_by_ms
    }
}

/// The departed servers beside one node.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct DepartureList {
    /// Increases with every change of the list.
    pub version: DepartureVersion,
    /// The servers, the oldest departure first.
    pub servers: Vec<DepartedServer>,
}

impl DepartureList {
    /// Returns whether a process of a server has left.
    #[must_use]
    pub fn covers(&self, server: &ServerName, started_at_ms: u64) -> bool {
        let mut servers = self.servers.iter();
        servers.any(|departed| departed.covers(server, started_at_ms))
    }

    /// Adds a departure, or moves a known one to a later start; returns whether the list changed.
    fn insert(&mut self, departed: DepartedServer) -> bool {
        if self.covers(&departed.server, departed.started_by_ms) {
            return false;
        }
        self.servers.retain(|known| known.server != departed.server);
        if self.servers.len() >= MAX_SERVERS_PER_NODE {
            self.servers.remove(0);
        }
        self.servers.push(departed);
        true
    }
}

/// The departed servers beside all nodes, by the address of the node; bounded in memory.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct DepartureTable {
    lists: BTreeMap<SocketAddr, DepartureList>,
    /// Number of servers in all lists.
    count: usize,
}

impl DepartureTable {
    /// Adds departures beside the node at `address`; `version` must be above all earlier ones.
    pub fn insert(
        &mut self,
        address: SocketAddr,
        servers: Vec<DepartedServer>,
        version: DepartureVersion,
    ) {
        let list = self.lists.entry(address).or_default();
        let earlier = list.servers.len();
        for departed in servers {
            if list.insert(departed) {
                list.version = version;
            }
        }
        self.count = self.count - earlier + list.servers.len();
        self.evict_oldest();
    }

    /// Returns the departed servers beside the node at `address`.
    #[must_use]
    pub fn list(&self, address: SocketAddr) -> DepartureList {
        self.lists.get(&address).cloned().unwrap_or_default()
    }

    /// Returns the version of the departed servers beside the node at `address`.
    #[must_use]
    pub fn version(&self, address: SocketAddr) -> DepartureVersion {
        self.lists.get(&address).map_or(0, |list| list.version)
    }

    /// Forgets the nodes beside which no server has left for the longest time.
    fn evict_oldest(&mut self) {
        while self.count > MAX_SERVERS {
            let oldest = self.lists.iter().min_by_key(|(_, list)| list.version);
            let Some(address) = oldest.map(|(address, _)| *address) else {
                return;
            };
            if let Some(list) = self.lists.remove(&address) {
                self.count -= list.servers.len();
            }
        }
    }
}
