//! The replicated state: the configuration in force, the digests of accepted changes, the
//! addresses of nodes, the backend servers that left, the requests that crash them, and the
//! evacuated data centres.

use std::collections::BTreeSet;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;

use model::exchange::CrashReport;
use model::ids::ChangeHash;
use model::ids::ConfigVersion;
use model::ids::DataCentreName;
use replica::LogIndex;
use replica::StateMachine;
use serde::Deserialize;
use serde::Serialize;

use crate::ChangeOutcome;
use crate::ConfigChange;
use crate::DepartedServer;
use crate::DepartureTable;
use crate::EvacuationList;
use crate::SuspectTable;

/// Version of the encoding of log entries and snapshots, stored as their first byte.
const STORE_VERSION: u8 = 4;
/// Number of accepted changes that are remembered, so that a resent one is acknowledged again.
const REMEMBERED_CHANGES_MAX: usize = 8_192;

/// Addresses of the nodes that may hold shares of the teams' rate limits.
///
/// A new leader waits for a report from each of them, since a node that is partitioned
/// from the group keeps using the share that an earlier leader assigned to it.
pub type NodeAddresses = BTreeSet<SocketAddr>;

/// An entry of the replicated log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum StoreEntry {
    /// Changes the configuration.
    Change(ConfigChange),
    /// Replaces the set of node addresses.
    NodeAddresses(NodeAddresses),
    /// Adds backend servers that left beside a node.
    Departures {
        /// Address of the node.
        address: SocketAddr,
        /// The servers.
        servers: Vec<DepartedServer>,
    },
    /// Adds a crash of a backend server.
    Crash {
        /// The crash, as the node beside the server reported it.
        report: CrashReport,
        /// When the leader heard of it, in Unix milliseconds.
        at_ms: u64,
    },
    /// Evacuates a data centre, or returns it to service.
    Evacuation {
        /// The data centre.
        data_centre: DataCentreName,
        /// Whether nothing may be sent to its backend servers from now on.
        active: bool,
    },
}

impl StoreEntry {
    /// Encodes the entry for the log.
    ///
    /// # Errors
    ///
    /// Fails when a value cannot be encoded.
    pub fn encode(&self) -> anyhow::Result<Vec<u8>> {
        Ok(postcard::to_extend(self, vec![STORE_VERSION])?)
    }

    fn decode(entry: &[u8]) -> Option<Self> {
        let (&version, body) = entry.split_first()?;
        (version == STORE_VERSION)
            .then(|| postcard::from_bytes(body).ok())
            .flatten()
    }
}

/// State machine that the control instances replicate.
#[derive(Clone, Debug, Default)]
pub struct ConfigStore {
    current: Option<ConfigChange>,
    accepted: HashSet<ChangeHash>,
    accepted_order: VecDeque<ChangeHash>,
    node_addresses: NodeAddresses,
    departures: DepartureTable,
    suspects: SuspectTable,
    evacuations: EvacuationList,
}

/// Content of a snapshot.
#[derive(Serialize, Deserialize)]
struct StoreSnapshot {
    current: Option<ConfigChange>,
    accepted_order: VecDeque<ChangeHash>,
    node_addresses: NodeAddresses,
    departures: DepartureTable,
    suspects: SuspectTable,
    evacuations: EvacuationList,
}

impl ConfigStore {
    /// Returns the change in force; `None` before the first.
    #[must_use]
    pub const fn current(&self) -> Option<&ConfigChange> {
        self.current.as_ref()
    }

    /// Returns the version of the configuration in force; 0 before the first.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.current
            .as_ref()
            .map_or(0, |change| change.config.version)
    }

    /// Returns the addresses of the nodes that may hold shares of the teams' rate limits.
    #[must_use]
    pub const fn node_addresses(&self) -> &NodeAddresses {
        &self.node_addresses
    }

    /// Returns the backend servers that left.
    #[must_use]
    pub const fn departures(&self) -> &DepartureTable {
        &self.departures
    }

    /// Returns the requests that ran when backend servers crashed.
    #[must_use]
    pub const fn suspects(&self) -> &SuspectTable {
        &self.suspects
    }

    /// Returns the evacuated data centres.
    #[must_use]
    pub const fn evacuations(&self) -> &EvacuationList {
        &self.evacuations
    }

    /// Returns the outcome that applying a change now would have.
    #[must_use]
    pub fn evaluate(&self, change: &ConfigChange) -> ChangeOutcome {
        if self.accepted.contains(&change.digest()) {
            ChangeOutcome::Accepted
        } else {
            let config = &change.config;
            ChangeOutcome::from_versions(config.version, config.base_version, self.version())
        }
    }

    fn apply_change(&mut self, change: ConfigChange) -> ChangeOutcome {
        let outcome = self.evaluate(&change);
        let digest = change.digest();
        if outcome == ChangeOutcome::Accepted && self.accepted.insert(digest) {
            self.accepted_order.push_back(digest);
            self.current = Some(change);
            self.evict_oldest();
        }
        outcome
    }

    fn evict_oldest(&mut self) {
        while self.accepted_order.len() > REMEMBERED_CHANGES_MAX {
            if let Some(oldest) = self.accepted_order.pop_front() {
                self.accepted.remove(&oldest);
            }
        }
    }
}

impl StateMachine for ConfigStore {
    type Output = ChangeOutcome;

    fn apply(&mut self, index: LogIndex, entry: &[u8]) -> ChangeOutcome {
        match StoreEntry::decode(entry) {
            Some(StoreEntry::Change(change)) => self.apply_change(change),
            Some(StoreEntry::NodeAddresses(node_addresses)) => {
                self.node_addresses = node_addresses;
                ChangeOutcome::Stored
            }
            Some(StoreEntry::Departures { address, servers }) => {
                self.departures.insert(address, servers, index);
                ChangeOutcome::Stored
            }
            Some(StoreEntry::Crash { report, at_ms }) => {
                self.suspects.record(&report, at_ms, index);
                ChangeOutcome::Stored
            }
            Some(StoreEntry::Evacuation {
                data_centre,
                active,
            }) => {
                self.evacuations.apply(data_centre, active, index);
                ChangeOutcome::Accepted
            }
            None => ChangeOutcome::Unreadable,
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        let snapshot = StoreSnapshot {
            current: self.current.clone(),
            accepted_order: self.accepted_order.clone(),
            node_addresses: self.node_addresses.clone(),
            departures: self.departures.clone(),
            suspects: self.suspects.clone(),
            evacuations: self.evacuations.clone(),
        };
        postcard::to_extend(&snapshot, vec![STORE_VERSION]).unwrap_or_default()
    }

    fn restore(&mut self, snapshot: &[u8]) -> anyhow::Result<()> {
        let Some((&STORE_VERSION, body)) = snapshot.split_first() else {
            anyhow::bail!("the snapshot is of an unknown version");
        };
        let snapshot: StoreSnapshot = postcard::from_bytes(body)?;
        self.accepted = snapshot.accepted_order.iter().copied().collect();
        self.accepted_order = snapshot.accepted_order;
        self.current = snapshot.current;
        self.node_addresses = snapshot.node_addresses;
        self.departures = snapshot.departures;
        self.suspects = snapshot.suspects;
        self.evacuations = snapshot.evacuations;
        Ok(())
    }
}
