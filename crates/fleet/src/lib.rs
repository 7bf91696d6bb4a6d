//! Data types and messages of a deployment in which an operator's configuration changes take effect
//! without further approval. Performs no input or output.
//!
//! See `docs/PLATFORM.md` for the architecture.

mod adapter;
mod call;
mod check;
mod config;
mod exchange;
mod record;
mod store;
mod table;

/// Name under which a backend server announces itself; usually different after each restart.
pub type ServerName = std::sync::Arc<str>;

/// Identifier that the caller chose for one attempt of its request.
pub type AttemptId = String;

/// Sequence number that orders the announcements of one run of a backend server process.
pub type AnnounceNumber = u64;

pub use adapter::ApiRequest;
pub use adapter::DecodeError;
pub use adapter::ProtocolAdapter;
pub use adapter::RequestMetadata;
pub use adapter::ResponseMetadata;
pub use call::AnswerHead;
pub use call::CallHead;
pub use call::FailCause;
pub use call::LinkMessage;
pub use call::RefuseCause;
pub use check::ConfigFault;
pub use check::check;
pub use config::CallerLimits;
pub use config::FleetConfig;
pub use config::RouteEntry;
pub use config::ServiceEntry;
pub use config::TeamEntry;
pub use config::WeightedService;
pub use exchange::ConfigNotice;
pub use exchange::ControlReply;
pub use exchange::GroupMessage;
pub use exchange::NodeReport;
pub use exchange::TeamShare;
pub use exchange::TeamTokens;
pub use exchange::TeamUse;
pub use record::NodeRecord;
pub use record::ServerAnnouncement;
pub use record::ServerPhase;
pub use store::ChangeOutcome;
pub use store::ConfigChange;
pub use store::ConfigStore;
pub use store::NodeRoster;
pub use store::StoreEntry;
pub use table::KeyOwner;
pub use table::RouteTable;
