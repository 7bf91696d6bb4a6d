//! Encoding of what members send to each other.

use quorum::FolderId;
use quorum::PeerMessage;
use serde::Deserialize;
use serde::Serialize;

/// Version of the encoding, the first byte of each message.
const ENVELOPE_VERSION: u8 = 1;

/// A message of the consensus, or of the admission of data folders around it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerEnvelope {
    /// A message of the consensus.
    Core(PeerMessage),
    /// A first member with a new folder asks to be remembered.
    Hello {
        /// The new folder.
        folder: FolderId,
    },
    /// Answers a hello.
    HelloReply {
        /// Folder of the hello.
        folder: FolderId,
        /// Whether no other folder is known for the instance.
        accepted: bool,
    },
    /// An instance asks the leader to become a learner.
    Join {
        /// Its folder.
        folder: FolderId,
    },
    /// The identity of a joining instance is taken by another folder.
    JoinRefused {
        /// Folder of the request.
        folder: FolderId,
    },
}

impl PeerEnvelope {
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![ENVELOPE_VERSION]).unwrap_or_default()
    }

    /// Decodes a message, none when it is malformed or of another version.
    pub(crate) fn decode(message: &[u8]) -> Option<Self> {
        let (&version, body) = message.split_first()?;
        if version != ENVELOPE_VERSION {
            return None;
        }
        postcard::from_bytes(body).ok()
    }
}
