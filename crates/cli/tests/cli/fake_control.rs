//! A fake control group: the real replicated state machine behind admin listeners,
//! without consensus or a log.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use ledger::CommandOutcome;
use ledger::ControlCommand;
use ledger::ControlState;
use model::admin::ChangeReport;
use model::admin::ChangeSubmission;
use model::admin::DeclarationText;
use model::admin::StatusReport;
use model::admin::TimelineReport;
use model::change::ChangeStatus;
use model::hex;
use model::ids::ChangeHash;
use settings::TlsFiles;
use tokio::runtime::Runtime;
use tokio_util::sync::CancellationToken;
use wire::http::BufferedBody;
use wire::http::HeadLimits;
use wire::http::HttpListener;
use wire::http::json_response;
use wire::http::text_response;
use wire::identity::TlsIdentity;
use wire::role::PeerRole;

use crate::support::TestDeployment;

/// State shared by the fake instances, which tests may modify.
#[derive(Default)]
pub(crate) struct FakeState {
    pub(crate) control_state: ControlState,
    /// Number of next submissions that are applied but answered with 503.
    pub(crate) lost_responses: usize,
    pub(crate) in_force: bool,
    /// Outdated response to the next request for the declaration.
    pub(crate) stale_declaration: Option<DeclarationText>,
    pub(crate) submissions: usize,
    pub(crate) statuses: Vec<StatusReport>,
    pub(crate) timeline: TimelineReport,
    pub(crate) drained: usize,
}

/// Fake instances on loopback; dropping them stops their listeners.
pub(crate) struct FakeControl {
    pub(crate) state: Arc<Mutex<FakeState>>,
    pub(crate) addresses: Vec<SocketAddr>,
    stop: CancellationToken,
    _runtime: Runtime,
}

impl FakeControl {
    /// Starts a group of control instances initialised with the deployment's owners.
    pub(crate) fn start(deployment: &TestDeployment, instances: usize) -> Self {
        let fake = Self::start_as(deployment, "control", instances);
        let owners = deployment.owners.iter();
        let owners = owners
            .map(|owner| hex::decode_32(owner).expect("key"))
            .collect();
        let mut state = fake.state.lock().expect("state");
        state
            .control_state
            .execute(ControlCommand::SetInitialOwners { owners });
        drop(state);
        fake
    }

    /// Starts listeners that present the certificate of a role.
    pub(crate) fn start_as(deployment: &TestDeployment, role: &str, instances: usize) -> Self {
        let runtime = Runtime::new().expect("runtime");
        let state = Arc::new(Mutex::new(FakeState::default()));
        let stop = CancellationToken::new();
        let files = TlsFiles {
            authority: deployment.path("tls/authority.pem"),
            certificate: deployment.path(&format!("tls/{role}.pem")),
            key: deployment.path(&format!("tls/{role}.key")),
        };
        let identity = TlsIdentity::load(&files).expect("identity");
        let addresses = (0..instances).map(|_| {
            let tls = identity.tcp_server(&[PeerRole::Operator]).expect("TLS");
            let limits = HeadLimits {
                head_bytes: 16 * 1024,
                head_timeout: Duration::from_secs(5),
            };
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let bound = runtime.block_on(HttpListener::bind(any, Some(tls), limits));
            let listener = bound.expect("bound");
            let address = listener.local_addr().expect("address");
            let state = Arc::clone(&state);
            let service = move |_, request| handle_request(Arc::clone(&state), request);
            runtime.spawn(listener.serve(service, stop.clone(), Duration::ZERO));
            address
        });
        let addresses = addresses.collect();
        Self {
            state,
            addresses,
            stop,
            _runtime: runtime,
        }
    }

    pub(crate) fn first_address(&self) -> String {
        self.addresses[0].to_string()
    }
}

impl Drop for FakeControl {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn handle_request(
    state: Arc<Mutex<FakeState>>,
    request: Request<Incoming>,
) -> Response<BufferedBody> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let body = request
        .into_body()
        .collect()
        .await
        .expect("body")
        .to_bytes();
    let mut state = state.lock().expect("state");
    match (method, path.as_str()) {
        (Method::GET, "/declaration") => {
            let report = state.stale_declaration.take();
            let report = report.unwrap_or_else(|| state.declaration());
            json_response(StatusCode::OK, &report)
        }
        (Method::POST, "/changes") => {
            let submission = serde_json::from_slice(&body).expect("submission");
            state.submit(submission)
        }
        (Method::GET, "/status") => {
            let report = state.statuses.remove(0);
            json_response(StatusCode::OK, &report)
        }
        (Method::GET, "/timeline") => json_response(StatusCode::OK, &state.timeline),
        (Method::POST, "/drain") => {
            state.drained += 1;
            text_response(StatusCode::ACCEPTED, "draining")
        }
        (Method::GET, path) => {
            let hash = path.strip_prefix("/changes/").and_then(hex::decode_32);
            let hash = hash.expect("hash");
            let status = state.control_state.config().status(&hash);
            state.report(&hash, status)
        }
        _ => text_response(StatusCode::NOT_FOUND, "no such path"),
    }
}

impl FakeState {
    pub(crate) fn declaration(&self) -> DeclarationText {
        let config = self.control_state.config();
        DeclarationText {
            version: config.version(),
            text: config.text().to_owned(),
        }
    }

    fn submit(&mut self, submission: ChangeSubmission) -> Response<BufferedBody> {
        self.submissions += 1;
        let hash = submission.change.hash();
        let command = ControlCommand::SubmitChange {
            change: submission.change,
            signatures: submission.signatures,
        };
        let CommandOutcome::Change(status) = self.control_state.execute(command) else {
            return text_response(StatusCode::INTERNAL_SERVER_ERROR, "unexpected outcome");
        };
        if self.lost_responses > 0 {
            self.lost_responses -= 1;
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "the outcome is not known");
        }
        self.report(&hash, status)
    }

    fn report(&self, hash: &ChangeHash, status: ChangeStatus) -> Response<BufferedBody> {
        let accepted = matches!(status, ChangeStatus::Accepted(_));
        let report = ChangeReport {
            hash: hex::encode(hash),
            status,
            in_force: self.in_force && accepted,
        };
        json_response(StatusCode::OK, &report)
    }
}
