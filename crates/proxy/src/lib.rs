//! Node of a deployment whose callers and backend servers speak plain HTTP/1.1.
//!
//! A node is a sidecar proxy: it runs beside one backend server, takes requests from callers and
//! from that backend server, and forwards each to a backend server of the right service, directly
//! or through the node beside it. See `docs/PLATFORM.md` for the path of a request and the
//! guarantees.

mod announce;
mod answer_queue;
mod arrival_times;
mod body;
mod body_decoder;
mod bounded_stream;
mod connection_pool;
mod control;
mod control_instances;
mod crash_probe;
mod crash_tracker;
mod forward;
mod headers;
mod ingress;
mod leased_config;
mod local_server;
mod memory_budget;
mod node_table;
mod open_call;
mod pace_news;
mod peer_server;
mod peers;
mod quota;
mod reported_paces;
mod retry;
mod run;
mod state;
mod stop_control;
mod stop_schedule;
mod token_wait_queue;
mod work;

pub use crate::answer_queue::AnswerQueue;
pub use crate::answer_queue::ReadyAnswer;
pub use crate::answer_queue::RequestTicket;
pub use crate::arrival_times::ArrivalTimes;
pub use crate::body_decoder::BodyDecoder;
pub use crate::body_decoder::BodyFraming;
pub use crate::body_decoder::DecodedPart;
pub use crate::body_decoder::MalformedBody;
pub use crate::control_instances::ControlInstances;
pub use crate::leased_config::LeasedConfig;
pub use crate::local_server::LocalEvacuation;
pub use crate::memory_budget::BodyBuffer;
pub use crate::memory_budget::BodyTooLarge;
pub use crate::memory_budget::MemoryBudget;
pub use crate::node_table::ChosenNode;
pub use crate::node_table::NodeTable;
pub use crate::retry::AttemptHistory;
pub use crate::retry::AttemptOutcome;
pub use crate::retry::RetryDecision;
pub use crate::retry::decide_retry;
pub use crate::run::run;
pub use crate::stop_schedule::StopPhase;
pub use crate::stop_schedule::StopSchedule;
pub use crate::token_wait_queue::GrantedToken;
pub use crate::token_wait_queue::TokenWaitQueue;
pub use crate::token_wait_queue::drop_late_loan;
