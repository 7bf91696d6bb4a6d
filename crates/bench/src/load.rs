//! Load generator: callers over real connections, with a check of every outcome.

mod audit;
mod caller;
mod table;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use model::verdict::RunVerdict;
use tokio::task::JoinSet;

pub use audit::AuditReport;
pub use audit::audit_runs;
pub use caller::CallerClient;
pub use caller::client_config;
pub use table::OutcomeTable;

/// One kind of request that callers send.
#[derive(Clone, Debug)]
pub struct CallerProfile {
    /// Team of the key; used only in the report.
    pub team: String,
    /// Key sent with each request; none for anonymous routes.
    pub key: Option<String>,
    /// Class of the route; used only in the report.
    pub class: String,
    /// Path of the request.
    pub path: String,
    /// Service that runs it first, by its name in the journals.
    pub service: String,
    /// Whether each request carries an `Idempotency-Key`.
    pub at_most_once: bool,
}

/// A load with a fixed number of requests.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Caller listeners of the nodes.
    pub nodes: Vec<SocketAddr>,
    /// File of the certificate authority that signed the nodes' certificates.
    pub authority: PathBuf,
    /// Kinds of requests, sent in turn.
    pub profiles: Vec<CallerProfile>,
    /// Callers that each send one request after the other.
    pub callers: usize,
    /// Requests that each caller sends.
    pub requests: usize,
    /// Pause of a caller between two requests.
    pub pause: Duration,
}

/// Outcome of a request as its caller sees it.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum CallOutcome {
    /// The complete response to this request.
    #[display("answered")]
    Answered,
    /// A refusal or failure response with its cause and verdict.
    #[display("{cause} ({verdict})")]
    Failed {
        /// Last part of the problem type.
        cause: String,
        /// Text of the verdict header.
        verdict: String,
    },
    /// A response that is incomplete or belongs to another request.
    #[display("wrong answer")]
    WrongAnswer,
    /// The connection ended without a response.
    #[display("cut")]
    ConnectionLost,
}

/// One request and its outcome.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Position of its profile in the settings.
    pub profile: usize,
    /// Marker that identifies it in the journals.
    pub marker: String,
    /// Outcome as the caller saw it.
    pub outcome: CallOutcome,
    /// Verdict in the response, if any.
    pub verdict: Option<RunVerdict>,
    /// Time from the request to its outcome.
    pub elapsed: Duration,
}

/// Runs a load to its end.
///
/// # Errors
///
/// Fails when the authority cannot be loaded or a caller panics.
pub async fn run_load(settings: &LoadSettings) -> anyhow::Result<Vec<CallRecord>> {
    let config = client_config(&settings.authority)?;
    let mut callers = JoinSet::new();
    for position in 0..settings.callers {
        let node = settings.nodes[position % settings.nodes.len()];
        let client = CallerClient::new(node, Arc::clone(&config));
        let settings = settings.clone();
        callers.spawn(run_caller(position, client, settings));
    }
    let mut records = Vec::new();
    while let Some(joined) = callers.join_next().await {
        records.extend(joined?);
    }
    Ok(records)
}

async fn run_caller(
    position: usize,
    mut client: CallerClient,
    settings: LoadSettings,
) -> Vec<CallRecord> {
    let mut records = Vec::with_capacity(settings.requests);
    for turn in 0..settings.requests {
        let profile = (position + turn) % settings.profiles.len();
        let record = client.call(profile, &settings.profiles[profile]).await;
        records.push(record);
        tokio::time::sleep(settings.pause).await;
    }
    records
}
