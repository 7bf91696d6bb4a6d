//! A stand-in of a control group: the real ledger behind admin listeners, without a log.

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
use ledger::LedgerCommand;
use ledger::LedgerOutcome;
use ledger::LedgerState;
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

use crate::support::Workplace;

/// What the stand-ins share and tests set.
#[derive(Default)]
pub(crate) struct FakeState {
    pub(crate) ledger: LedgerState,
    /// Submissions whose answer is lost after they were applied.
    pub(crate) lost_answers: usize,
    pub(crate) in_force: bool,
    /// What the next question for the declaration is answered with.
    pub(crate) stale: Option<DeclarationText>,
    pub(crate) submissions: usize,
    pub(crate) statuses: Vec<StatusReport>,
    pub(crate) timeline: TimelineReport,
    pub(crate) drained: usize,
}

/// Stand-ins on loopback; dropping them ends their listeners.
pub(crate) struct FakeControl {
    pub(crate) state: Arc<Mutex<FakeState>>,
    pub(crate) addresses: Vec<SocketAddr>,
    stop: CancellationToken,
    _runtime: Runtime,
}

impl FakeControl {
    /// Starts a group of control instances that was founded by the owners.
    pub(crate) fn start(workplace: &Workplace, instances: usize) -> Self {
        let fake = Self::start_as(workplace, "control", instances);
        let owners = workplace.owners.iter();
        let owners = owners
            .map(|owner| hex::decode_32(owner).expect("key"))
            .collect();
        let mut state = fake.state.lock().expect("state");
        state.ledger.execute(LedgerCommand::Genesis { owners });
        drop(state);
        fake
    }

    /// Starts listeners with the certificate of a role.
    pub(crate) fn start_as(workplace: &Workplace, role: &str, instances: usize) -> Self {
        let runtime = Runtime::new().expect("runtime");
        let state = Arc::new(Mutex::new(FakeState::default()));
        let stop = CancellationToken::new();
        let files = TlsFiles {
            authority: workplace.path("tls/authority.pem"),
            certificate: workplace.path(&format!("tls/{role}.pem")),
            key: workplace.path(&format!("tls/{role}.key")),
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
            let service = move |_, request| answer(Arc::clone(&state), request);
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

    pub(crate) fn first(&self) -> String {
        self.addresses[0].to_string()
    }
}

impl Drop for FakeControl {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn answer(
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
            let report = state.stale.take();
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
            let status = state.ledger.config().status(&hash);
            state.report(&hash, status)
        }
        _ => text_response(StatusCode::NOT_FOUND, "no such path"),
    }
}

impl FakeState {
    pub(crate) fn declaration(&self) -> DeclarationText {
        let config = self.ledger.config();
        DeclarationText {
            version: config.version(),
            text: config.text().to_owned(),
        }
    }

    fn submit(&mut self, submission: ChangeSubmission) -> Response<BufferedBody> {
        self.submissions += 1;
        let hash = submission.change.hash();
        let command = LedgerCommand::Submit {
            change: submission.change,
            signatures: submission.signatures,
        };
        let LedgerOutcome::Change(status) = self.ledger.execute(command) else {
            return text_response(StatusCode::INTERNAL_SERVER_ERROR, "unexpected outcome");
        };
        if self.lost_answers > 0 {
            self.lost_answers -= 1;
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
