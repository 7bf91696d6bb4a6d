//! The replicated state: the configuration in force, which ones were ever accepted, and the nodes.

use std::collections::BTreeSet;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;

use bytes::Bytes;
use model::ids::ChangeHash;
use model::ids::ConfigVersion;
use replica::LogIndex;
use replica::StateMachine;
use serde::Deserialize;
use serde::Serialize;

use crate::FleetConfig;

/// Version of the encoding of entries and snapshots, their first byte.
const STORE_VERSION: u8 = 2;
/// Accepted changes that are remembered, so that one sent again is acknowledged again.
const REMEMBERED_CHANGES: usize = 8_192;

/// A change as it stands in the log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// The configuration, decoded.
    pub config: FleetConfig,
    /// What the operator sent, to be returned as it was.
    pub document: Bytes,
}

impl ConfigChange {
    /// Returns the digest by which a change that is sent again is recognised.
    #[must_use]
    pub fn digest(&self) -> ChangeHash {
        *blake3::hash(&self.document).as_bytes()
    }
}

/// Addresses of the nodes that may hold parts of teams' limits.
///
/// A leader that takes over waits for word of each of them, since one that is
/// cut off goes on with the part that an earlier leader gave it.
pub type NodeRoster = BTreeSet<SocketAddr>;

/// An entry of the log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum StoreEntry {
    /// A change of the configuration.
    Change(ConfigChange),
    /// Replaces the nodes known.
    Roster(NodeRoster),
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

/// What became of an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangeOutcome {
    /// It is in force, or was until a later one replaced it.
    Accepted,
    /// It builds on another version than the one in force.
    Conflict {
        /// Version in force.
        current: ConfigVersion,
    },
    /// Its version is not above the one in force.
    OldVersion {
        /// Version in force.
        current: ConfigVersion,
    },
    /// It was a list of nodes, which is known now.
    Listed,
    /// The entry could not be read.
    Unreadable,
}

/// State machine of the control group.
#[derive(Clone, Debug, Default)]
pub struct ConfigStore {
    current: Option<ConfigChange>,
    accepted: HashSet<ChangeHash>,
    order: VecDeque<ChangeHash>,
    roster: NodeRoster,
}

/// A snapshot's content.
#[derive(Serialize, Deserialize)]
struct StoreSnapshot {
    current: Option<ConfigChange>,
    order: VecDeque<ChangeHash>,
    roster: NodeRoster,
}

impl ConfigStore {
    /// Returns the configuration in force, none before the first.
    #[must_use]
    pub const fn current(&self) -> Option<&ConfigChange> {
        self.current.as_ref()
    }

    /// Returns the version in force, 0 before the first.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.current
            .as_ref()
            .map_or(0, |change| change.config.version)
    }

    /// Returns the nodes that may hold parts of teams' limits.
    #[must_use]
    pub const fn roster(&self) -> &NodeRoster {
        &self.roster
    }

    /// Returns what would become of a change now.
    #[must_use]
    pub fn judge(&self, change: &ConfigChange) -> ChangeOutcome {
        let current = self.version();
        if self.accepted.contains(&change.digest()) {
            ChangeOutcome::Accepted
        } else if change.config.base != current {
            ChangeOutcome::Conflict { current }
        } else if change.config.version <= current {
            ChangeOutcome::OldVersion { current }
        } else {
            ChangeOutcome::Accepted
        }
    }

    fn take(&mut self, change: ConfigChange) -> ChangeOutcome {
        let outcome = self.judge(&change);
        let digest = change.digest();
        if outcome == ChangeOutcome::Accepted && self.accepted.insert(digest) {
            self.order.push_back(digest);
            self.current = Some(change);
            self.forget_oldest();
        }
        outcome
    }

    fn forget_oldest(&mut self) {
        while self.order.len() > REMEMBERED_CHANGES {
            if let Some(oldest) = self.order.pop_front() {
                self.accepted.remove(&oldest);
            }
        }
    }
}

impl StateMachine for ConfigStore {
    type Output = ChangeOutcome;

    fn apply(&mut self, _index: LogIndex, entry: &[u8]) -> ChangeOutcome {
        match StoreEntry::decode(entry) {
            Some(StoreEntry::Change(change)) => self.take(change),
            Some(StoreEntry::Roster(roster)) => {
                self.roster = roster;
                ChangeOutcome::Listed
            }
            None => ChangeOutcome::Unreadable,
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        let snapshot = StoreSnapshot {
            current: self.current.clone(),
            order: self.order.clone(),
            roster: self.roster.clone(),
        };
        postcard::to_extend(&snapshot, vec![STORE_VERSION]).unwrap_or_default()
    }

    fn restore(&mut self, snapshot: &[u8]) -> anyhow::Result<()> {
        let Some((&STORE_VERSION, body)) = snapshot.split_first() else {
            anyhow::bail!("the snapshot is of an unknown version");
        };
        let snapshot: StoreSnapshot = postcard::from_bytes(body)?;
        self.accepted = snapshot.order.iter().copied().collect();
        self.order = snapshot.order;
        self.current = snapshot.current;
        self.roster = snapshot.roster;
        Ok(())
    }
}
