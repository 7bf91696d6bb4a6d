//! Encoding of the messages between members.

use quorum::FolderId;
use quorum::PeerMessage;
use serde::Deserialize;
use serde::Serialize;

/// Version of the encoding, the first byte of each message.
const ENVELOPE_VERSION: u8 = 1;

/// A message of Raft, or one that registers a data folder or joins the group.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerEnvelope {
    /// A message of Raft.
    Raft(PeerMessage),
    /// An initial member with a new folder asks another one to register it.
    RegisterFolder {
        /// The new folder.
        folder: FolderId,
    },
    /// Response to `RegisterFolder`.
    RegisterFolderReply {
        /// Folder of the request.
        folder: FolderId,
        /// Whether the folder is registered; false if the instance has another one or is not an
        /// initial member.
        accepted: bool,
    },
    /// An instance asks the leader to add it as a learner.
    Join {
        /// Folder of the instance.
        folder: FolderId,
    },
    /// The ID of a joining instance belongs to another folder.
    JoinRefused {
        /// Folder of the request.
        folder: FolderId,
    },
}

impl PeerEnvelope {
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![ENVELOPE_VERSION]).unwrap_or_default()
    }

    /// Decodes a message; `None` when it is malformed or of another version.
    pub(crate) fn decode(message: &[u8]) -> Option<Self> {
        let (&version, body) = message.split_first()?;
        if version != ENVELOPE_VERSION {
            return None;
        }
        postcard::from_bytes(body).ok()
    }
}
