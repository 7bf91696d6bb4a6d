//! Talks to the admin listeners of control instances and nodes.

mod error;
mod request;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use anyhow::anyhow;
use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use settings::TlsFiles;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_rustls::TlsConnector;
use tokio_rustls::client::TlsStream;
use wire::identity::TcpClientTls;
use wire::identity::TlsIdentity;
use wire::role::PeerRole;

use crate::exit::CliError;

pub use error::ClientError;
pub use request::AdminRequest;

/// Time to connect and shake hands, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 3_000;
/// Time for a whole request, in milliseconds; a commit may take an election.
const REQUEST_TIMEOUT_MS: u64 = 10_000;
/// Largest answer, in bytes.
const ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Client of admin listeners, with an operator's certificate.
#[derive(Clone, Debug)]
pub struct AdminClient {
    control: TcpClientTls,
    node: TcpClientTls,
}

impl AdminClient {
    /// Reads the operator's TLS files.
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be used.
    pub fn new(files: &TlsFiles) -> anyhow::Result<Self> {
        let identity = TlsIdentity::load(files)?;
        Ok(Self {
            control: http1_only(identity.tcp_client(PeerRole::Control)?),
            node: http1_only(identity.tcp_client(PeerRole::Node)?),
        })
    }

    /// Asks control instances in turn until one answers.
    ///
    /// Every request may be sent again: changes are known by their hash.
    ///
    /// # Errors
    ///
    /// Fails when none can be reached or one refuses the request.
    pub async fn send_to_control<T: DeserializeOwned>(
        &self,
        addresses: &[SocketAddr],
        request: &AdminRequest,
    ) -> Result<T, CliError> {
        let mut reasons = Vec::new();
        for address in addresses {
            match self.ask(*address, PeerRole::Control, request).await {
                Ok(answer) => return decode(*address, &answer),
                Err(error @ ClientError::Unreachable { .. }) => reasons.push(error.to_string()),
                Err(error @ ClientError::ErrorResponse { .. }) => {
                    return Err(CliError::Failed(error.into()));
                }
            }
        }
        let reasons = reasons.join("; ");
        Err(CliError::Unreachable(anyhow!(
            "no control instance answered: {reasons}"
        )))
    }

    /// Asks a process of either role.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be reached or refuses the request.
    pub async fn send_to_any_role<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        request: &AdminRequest,
    ) -> Result<T, CliError> {
        let first = self.ask(address, PeerRole::Control, request).await;
        // A certificate of the other role fails the handshake.
        let answer = match first {
            Err(ClientError::Unreachable { reason, .. }) => {
                let second = self.ask(address, PeerRole::Node, request).await;
                second.map_err(|error| error.after_control(&reason))
            }
            answer => answer,
        };
        decode(address, &answer?)
    }

    /// Tells a node something and returns the text of its answer.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be reached or refuses the request.
    pub async fn send_to_node(
        &self,
        address: SocketAddr,
        request: &AdminRequest,
    ) -> Result<String, CliError> {
        let answer = self.ask(address, PeerRole::Node, request).await;
        let answer = answer?;
        Ok(String::from_utf8_lossy(&answer).into_owned())
    }

    async fn ask(
        &self,
        address: SocketAddr,
        role: PeerRole,
        request: &AdminRequest,
    ) -> Result<Bytes, ClientError> {
        let exchange = self.exchange(address, role, request);
        let limit = Duration::from_millis(REQUEST_TIMEOUT_MS);
        let answered = timeout(limit, exchange).await;
        let (status, body) = answered
            .unwrap_or_else(|_| Err(anyhow!("no answer within {REQUEST_TIMEOUT_MS} ms")))
            .map_err(|error| ClientError::Unreachable {
                address,
                reason: format!("{error:#}"),
            })?;
        if status.is_success() {
            return Ok(body);
        }
        let reason = String::from_utf8_lossy(&body).into_owned();
        if status == StatusCode::SERVICE_UNAVAILABLE {
            return Err(ClientError::Unreachable { address, reason });
        }
        Err(ClientError::ErrorResponse {
            address,
            status,
            reason,
        })
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        role: PeerRole,
        request: &AdminRequest,
    ) -> anyhow::Result<(StatusCode, Bytes)> {
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let stream = timeout(limit, self.connect(address, role)).await;
        let stream = stream.context("no connection in time")??;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let driver = tokio::spawn(connection);
        let request = Request::builder()
            .method(&request.method)
            .uri(&request.path)
            .header(HOST, address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(request.body.clone()))?;
        let response = sender.send_request(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), ANSWER_BYTES);
        let body = body.collect().await.map_err(|error| anyhow!(error))?;
        driver.abort();
        Ok((status, body.to_bytes()))
    }

    async fn connect(
        &self,
        address: SocketAddr,
        role: PeerRole,
    ) -> anyhow::Result<TlsStream<TcpStream>> {
        let tls = match role {
            PeerRole::Node => &self.node,
            PeerRole::Control | PeerRole::Operator => &self.control,
        };
        let stream = TcpStream::connect(address).await?;
        let connector = TlsConnector::from(Arc::clone(&tls.config));
        Ok(connector.connect(tls.server_name.clone(), stream).await?)
    }
}

fn http1_only(mut tls: TcpClientTls) -> TcpClientTls {
    Arc::make_mut(&mut tls.config).alpn_protocols = vec![b"http/1.1".to_vec()];
    tls
}

fn decode<T: DeserializeOwned>(address: SocketAddr, answer: &[u8]) -> Result<T, CliError> {
    let decoded = serde_json::from_slice(answer);
    let decoded = decoded.with_context(|| format!("{address}: the answer cannot be read"))?;
    Ok(decoded)
}
