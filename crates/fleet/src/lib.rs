//! Vocabulary of a deployment whose changes count as approved on arrival; no input or output.
//!
//! See `docs/PLATFORM.md` for how the pieces fit together.

mod call;
mod check;
mod config;
mod dialect;
mod exchange;
mod record;
mod store;
mod table;

/// Name under which a backend server announces itself; a new start mostly has a new one.
pub type ServerName = std::sync::Arc<str>;

/// Identifier that the caller gave to one attempt of its request.
pub type AttemptId = String;

/// Order of two announcements of one start of a backend server.
pub type AnnounceNumber = u64;

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
pub use dialect::AnswerMarks;
pub use dialect::ControlCall;
pub use dialect::RequestMarks;
pub use dialect::WireDialect;
pub use dialect::WireFault;
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
