//! One caller with one keep-alive connection.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Instant;

use anyhow::Context;
use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use model::verdict::RunVerdict;
use rustls::ClientConfig;
use rustls::RootCertStore;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::ServerName;
use rustls::pki_types::pem::PemObject;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;
use uuid::Uuid;

use crate::load::CallOutcome;
use crate::load::CallRecord;
use crate::load::CallerProfile;
use crate::standin::CRASH_HEADER;
use crate::standin::ECHO_HEADER;
use crate::standin::MARKER_HEADER;

/// Server name in the nodes' certificates.
const NODE_TLS_NAME: &str = "node.ragwortplank";
/// Header that tells whether the request ran.
const VERDICT_HEADER: &str = "ragwortplank-verdict";

/// The field of a problem document (RFC 9457) that the load generator reads.
#[derive(Deserialize)]
struct ProblemKind {
    #[serde(rename = "type")]
    kind: String,
}

/// Creates a TLS configuration that trusts the certificate authority in a file.
///
/// # Errors
///
/// Fails when the file holds no certificate.
pub fn client_config(authority: &Path) -> anyhow::Result<Arc<ClientConfig>> {
    let mut roots = RootCertStore::empty();
    let certificates = CertificateDer::pem_file_iter(authority);
    let certificates = certificates.with_context(|| authority.display().to_string())?;
    for certificate in certificates {
        roots.add(certificate?)?;
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()?
        .with_root_certificates(roots)
        .with_no_client_auth();
    Ok(Arc::new(config))
}

/// A caller of one node.
pub struct CallerClient {
    node: SocketAddr,
    connector: TlsConnector,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl CallerClient {
    /// Creates a caller, which connects with its first request.
    #[must_use]
    pub fn new(node: SocketAddr, config: Arc<ClientConfig>) -> Self {
        Self {
            node,
            connector: TlsConnector::from(config),
            sender: None,
        }
    }

    /// Sends one request and classifies the response.
    pub async fn call(&mut self, position: usize, profile: &CallerProfile) -> CallRecord {
        self.call_with_marker(position, profile, Uuid::now_v7())
            .await
    }

    /// Returns whether a connection is open or can be opened.
    pub async fn is_reachable(&mut self) -> bool {
        match self.take_sender().await {
            Ok(sender) => {
                self.sender = Some(sender);
                true
            }
            Err(_) => false,
        }
    }

    /// Sends a request that crashes the backend server that runs it.
    pub async fn call_crashing(
        &mut self,
        position: usize,
        profile: &CallerProfile,
        marker: Uuid,
    ) -> CallRecord {
        let extra = [(CRASH_HEADER, "1")];
        self.call_with(position, profile, marker, &extra).await
    }

    /// Sends a request with extra headers and returns the headers that the backend
    /// server received, one per line, with names in lower case.
    ///
    /// # Errors
    ///
    /// Fails when there is no response.
    pub async fn echoed_headers(
        &mut self,
        profile: &CallerProfile,
        extra: &[(&str, &str)],
    ) -> anyhow::Result<Vec<String>> {
        let mut all = vec![(ECHO_HEADER, "1")];
        all.extend_from_slice(extra);
        let request = build_request(profile, Uuid::now_v7(), &all)?;
        let mut sender = self.take_sender().await?;
        let response = sender.send_request(request).await?;
        let body = response.into_body().collect().await?.to_bytes();
        let text = String::from_utf8(body.to_vec())?;
        Ok(text.lines().map(str::to_owned).collect())
    }

    /// Sends one request with a given marker, which is also its idempotency key.
    pub async fn call_with_marker(
        &mut self,
        position: usize,
        profile: &CallerProfile,
        marker: Uuid,
    ) -> CallRecord {
        self.call_with(position, profile, marker, &[]).await
    }

    async fn call_with(
        &mut self,
        position: usize,
        profile: &CallerProfile,
        marker: Uuid,
        extra: &[(&str, &str)],
    ) -> CallRecord {
        let started_at = Instant::now();
        let (outcome, verdict) = match self.exchange(profile, marker, extra).await {
            Ok(classified) => classified,
            Err(_) => (CallOutcome::ConnectionLost, None),
        };
        CallRecord {
            profile: position,
            marker: marker.to_string(),
            outcome,
            verdict,
            elapsed: started_at.elapsed(),
        }
    }

    async fn exchange(
        &mut self,
        profile: &CallerProfile,
        marker: Uuid,
        extra: &[(&str, &str)],
    ) -> anyhow::Result<(CallOutcome, Option<RunVerdict>)> {
        let request = build_request(profile, marker, extra)?;
        let mut sender = self.take_sender().await?;
        let response = sender.send_request(request).await?;
        let closing = wants_close(&response);
        let classified = classify_response(response, marker).await?;
        if !closing {
            self.sender = Some(sender);
        }
        Ok(classified)
    }

    async fn take_sender(&mut self) -> anyhow::Result<SendRequest<Full<Bytes>>> {
        if let Some(mut sender) = self.sender.take()
            && sender.ready().await.is_ok()
        {
            return Ok(sender);
        }
        let stream = TcpStream::connect(self.node).await?;
        stream.set_nodelay(true)?;
        let name = ServerName::try_from(NODE_TLS_NAME)?;
        let stream = self.connector.connect(name, stream).await?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(sender)
    }
}

fn wants_close(response: &Response<Incoming>) -> bool {
    let value = response.headers().get(http::header::CONNECTION);
    value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

fn build_request(
    profile: &CallerProfile,
    marker: Uuid,
    extra: &[(&str, &str)],
) -> http::Result<Request<Full<Bytes>>> {
    let mut request = Request::post(&profile.path)
        .header(http::header::HOST, NODE_TLS_NAME)
        .header(MARKER_HEADER, marker.to_string());
    if let Some(key) = &profile.key {
        request = request.header(http::header::AUTHORIZATION, format!("Bearer {key}"));
    }
    if profile.at_most_once {
        request = request.header("idempotency-key", marker.to_string());
    }
    for (name, value) in extra {
        request = request.header(*name, *value);
    }
    request.body(Full::new(Bytes::from(marker.to_string())))
}

async fn classify_response(
    response: Response<Incoming>,
    marker: Uuid,
) -> anyhow::Result<(CallOutcome, Option<RunVerdict>)> {
    let status = response.status();
    let verdict_text = response.headers().get(VERDICT_HEADER).cloned();
    let verdict_text = verdict_text.as_ref().and_then(|value| value.to_str().ok());
    let verdict = verdict_text.and_then(parse_verdict);
    let body = response.into_body().collect().await?.to_bytes();
    if status.is_success() {
        let is_complete = body == marker.to_string().as_bytes();
        let outcome = if is_complete {
            CallOutcome::Answered
        } else {
            CallOutcome::WrongAnswer
        };
        return Ok((outcome, verdict));
    }
    let problem: Option<ProblemKind> = serde_json::from_slice(&body).ok();
    let cause = problem.map_or_else(|| status.to_string(), |problem| last_part(&problem.kind));
    let outcome = CallOutcome::Failed {
        cause,
        verdict: verdict_text.unwrap_or("none").to_owned(),
    };
    Ok((outcome, verdict))
}

fn last_part(kind: &str) -> String {
    kind.rsplit(':').next().unwrap_or(kind).to_owned()
}

fn parse_verdict(text: &str) -> Option<RunVerdict> {
    match text {
        "not-run" => Some(RunVerdict::NotRun),
        "ran" => Some(RunVerdict::Ran),
        "may-have-run" => Some(RunVerdict::MayHaveRun),
        _ => None,
    }
}
