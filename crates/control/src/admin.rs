//! HTTP API for operators.

use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use model::admin::ChangeReport;
use model::admin::ChangeSubmission;
use model::admin::ControlStatus;
use model::admin::DeclarationText;
use model::admin::StatusReport;
use model::admin::TimelineReport;
use model::change::ChangeStatus;
use model::hex;
use model::ids::ChangeHash;
use model::ids::ConfigVersion;
use model::ids::InstanceId;
use timeline::EventRecord;
use timeline::HybridTimestamp;
use tracing::info;
use wire::http::BufferedBody;
use wire::http::json_response;
use wire::http::text_response;

use crate::core::ControlCore;
use crate::log::ControlLog;

/// Maximum body size of a submission, in bytes.
const SUBMISSION_BYTES: usize = 4 * 1024 * 1024;
/// Timeout for the commit of a submission, in milliseconds.
const SUBMIT_TIMEOUT_MS: u64 = 5_000;

impl<L: ControlLog, C: Clock> ControlCore<L, C> {
    /// Handles a request of an operator.
    pub async fn answer_operator(&self, request: Request<Incoming>) -> Response<BufferedBody> {
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/status") => json_response(StatusCode::OK, &self.status()),
            (&Method::GET, "/metrics") => self.answer_metrics(),
            (&Method::GET, "/timeline") => self.answer_timeline(&query),
            (&Method::GET, "/declaration") => self.answer_declaration().await,
            (&Method::POST, "/changes") => self.answer_submission(request).await,
            (&Method::DELETE, path) => match path.strip_prefix("/members/") {
                Some(instance) => self.answer_removal(instance).await,
                None => text_response(StatusCode::NOT_FOUND, "no such path"),
            },
            (&Method::GET, path) => match path.strip_prefix("/changes/") {
                Some(hash) => self.answer_change(hash).await,
                None => text_response(StatusCode::NOT_FOUND, "no such path"),
            },
            _ => text_response(StatusCode::METHOD_NOT_ALLOWED, "method is not allowed"),
        }
    }

    /// Returns the status of this instance.
    #[must_use]
    pub fn status(&self) -> StatusReport {
        let status = self.log.status();
        // Both in one read, so that the digest belongs to the index.
        let (digest_index, digest) = self
            .log
            .read(|state| (state.applied_index(), hex::encode(&state.digest())));
        StatusReport::Control(ControlStatus {
            process: self.config.process.clone(),
            instance: self.instance,
            role: status.role,
            term: status.term,
            leader: status.leader,
            voters: status.voters,
            committed: status.commit_index,
            applied: status.applied_index,
            digest,
            digest_index,
            version: self.log.read(|state| state.config().version()),
            nodes: self.registry.leases(),
        })
    }

    fn answer_metrics(&self) -> Response<BufferedBody> {
        match self.metrics.encode() {
            Ok(metrics) => text_response(StatusCode::OK, &metrics),
            Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
        }
    }

    fn answer_timeline(&self, query: &str) -> Response<BufferedBody> {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let since = pairs.find(|(key, _)| *key == "since");
        let wall_ms = since.and_then(|(_, value)| value.parse().ok());
        let since = HybridTimestamp {
            wall_ms: wall_ms.unwrap_or_default(),
            counter: 0,
        };
        let events = self.events.since(since);
        json_response(StatusCode::OK, &TimelineReport { events })
    }

    async fn answer_declaration(&self) -> Response<BufferedBody> {
        if !self.confirm_leader().await {
            return no_quorum();
        }
        let report = self.log.read(|state| DeclarationText {
            version: state.config().version(),
            text: state.config().text().to_owned(),
        });
        json_response(StatusCode::OK, &report)
    }

    async fn answer_change(&self, hash: &str) -> Response<BufferedBody> {
        let Some(hash) = hex::decode_32(hash) else {
            return text_response(StatusCode::BAD_REQUEST, "a hash has 64 hexadecimal digits");
        };
        if !self.confirm_leader().await {
            return no_quorum();
        }
        let status = self.log.read(|state| state.config().status(&hash));
        json_response(StatusCode::OK, &self.change_report(&hash, status))
    }

    async fn answer_removal(&self, instance: &str) -> Response<BufferedBody> {
        let Ok(instance) = instance.parse::<InstanceId>() else {
            return text_response(StatusCode::BAD_REQUEST, "an instance is a number");
        };
        match self.log.remove_member(instance).await {
            Ok(index) => {
                let event = EventRecord::new("member-removed");
                self.events.push(event.field("instance", &instance));
                info!(event = "member-removed", instance, index);
                json_response(StatusCode::OK, &self.status())
            }
            Err(error) => text_response(StatusCode::CONFLICT, &error.to_string()),
        }
    }

    async fn answer_submission(&self, request: Request<Incoming>) -> Response<BufferedBody> {
        let body = Limited::new(request.into_body(), SUBMISSION_BYTES);
        let body = match body.collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => return text_response(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let submission: ChangeSubmission = match serde_json::from_slice(&body) {
            Ok(submission) => submission,
            Err(error) => return text_response(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let hash = submission.change.hash();
        let deadline = Instant::now() + Duration::from_millis(SUBMIT_TIMEOUT_MS);
        self.metrics.submissions.inc();
        match self.submit(submission, deadline).await {
            Ok(status) => {
                let report = self.change_report(&hash, status);
                self.record_submission(&report);
                json_response(StatusCode::OK, &report)
            }
            Err(error) => text_response(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
        }
    }

    fn record_submission(&self, report: &ChangeReport) {
        let status = format!("{:?}", report.status);
        let event = EventRecord::new("change-submitted").change(&report.hash);
        self.events.push(event.field("status", &status));
        info!(event = "change-submitted", change = report.hash, status);
    }

    /// Returns whether every live node has applied a version, or its lease has expired.
    #[must_use]
    pub fn is_in_force(&self, version: ConfigVersion) -> bool {
        let group = self.mesh.peers();
        self.rollout.is_in_force(version, &self.registry, &group)
    }

    fn change_report(&self, hash: &ChangeHash, status: ChangeStatus) -> ChangeReport {
        let in_force = match status {
            ChangeStatus::Accepted(version) => self.is_in_force(version),
            _ => false,
        };
        ChangeReport {
            hash: hex::encode(hash),
            status,
            in_force,
        }
    }
}

fn no_quorum() -> Response<BufferedBody> {
    text_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "no quorum answered in time; /status tells what this instance knows",
    )
}
