//! Data types and messages of a deployment in which an operator's configuration changes take effect
//! without further approval. Performs no input or output.
//!
//! See `docs/PLATFORM.md` for the architecture.

mod adapter;
mod change;
mod config;
mod control_message;
mod departure;
mod evacuation;
mod node_message;
mod record;
mod store;
mod suspect;
mod table;
mod validate;

/// Name under which a backend server announces itself; usually different after each restart.
pub type ServerName = std::sync::Arc<str>;

/// Identifier that the caller chose for one attempt of its request.
pub type AttemptId = String;

/// Sequence number that orders the announcements of one run of a backend server process.
pub type AnnouncementSequence = u64;

pub use adapter::ApiRequest;
pub use adapter::DecodeError;
pub use adapter::ProtocolAdapter;
pub use adapter::RequestMetadata;
pub use adapter::ResponseMetadata;
pub use change::ChangeOutcome;
pub use change::ConfigChange;
pub use config::CallerLimits;
pub use config::ColdLimit;
pub use config::DOCUMENT_BYTES_MAX;
pub use config::FleetConfig;
pub use config::RouteEntry;
pub use config::ServiceEntry;
pub use config::TeamEntry;
pub use config::WeightedService;
pub use control_message::ConfigNotice;
pub use control_message::ControlMessage;
pub use control_message::ControlReply;
pub use control_message::LentTokens;
pub use control_message::NodeReport;
pub use control_message::TeamDemand;
pub use control_message::TeamShare;
pub use control_message::TeamTokens;
pub use departure::DepartedServer;
pub use departure::DepartureList;
pub use departure::DepartureTable;
pub use departure::DepartureVersion;
pub use evacuation::EvacuationList;
pub use evacuation::EvacuationVersion;
pub use node_message::CallHead;
pub use node_message::FailureReason;
pub use node_message::NodeMessage;
pub use node_message::RefusalReason;
pub use node_message::ResponseHead;
pub use record::NodeRecord;
pub use record::ServerAnnouncement;
pub use record::ServerPhase;
pub use store::ConfigStore;
pub use store::NodeAddresses;
pub use store::StoreEntry;
pub use suspect::QuarantineList;
pub use suspect::QuarantineVersion;
pub use suspect::QuarantinedRequest;
pub use suspect::SuspectTable;
pub use table::KeyOwner;
pub use table::RouteTable;
pub use validate::ConfigError;
pub use validate::collect_errors;
pub use validate::validate;
