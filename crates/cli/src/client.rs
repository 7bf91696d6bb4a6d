//! HTTP client for the admin listeners of control instances and nodes.

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

/// Timeout of the connection and TLS handshake, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 3_000;
/// Timeout of a whole request, in milliseconds; a commit may have to wait for an election.
const REQUEST_TIMEOUT_MS: u64 = 10_000;
/// Largest response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Client of admin listeners that authenticates with an operator's certificate.
#[derive(Clone, Debug)]
pub struct AdminClient {
    control_tls: TcpClientTls,
    node_tls: TcpClientTls,
}

impl AdminClient {
    /// Loads the operator's TLS files.
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be read or is invalid.
    pub fn new(files: &TlsFiles) -> anyhow::Result<Self> {
        let identity = TlsIdentity::load(files)?;
        Ok(Self {
            control_tls: http1_only(identity.tcp_client(PeerRole::Control)?),
            node_tls: http1_only(identity.tcp_client(PeerRole::Node)?),
        })
    }

    /// Sends a request to control instances in order until one responds.
    ///
    /// Every request is safe to send again, because changes are identified by their hash.
    ///
    /// # Errors
    ///
    /// Fails when none can be reached or one returns an error response.
    pub async fn send_to_control<T: DeserializeOwned>(
        &self,
        addresses: &[SocketAddr],
        request: &AdminRequest,
    ) -> Result<T, CliError> {
        let mut reasons = Vec::new();
        for address in addresses {
            match self.send(*address, PeerRole::Control, request).await {
                Ok(response) => return decode(*address, &response),
                Err(error @ ClientError::Unreachable { .. }) => reasons.push(error.to_string()),
                Err(error @ ClientError::ErrorResponse { .. }) => {
                    return Err(CliError::Failed(error.into()));
                }
            }
        }
        let reasons = reasons.join("; ");
        Err(CliError::Unreachable(anyhow!(
            "no control instance responded: {reasons}"
        )))
    }

    /// Sends a request to a control instance or a node, whichever listens at the address.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be reached or returns an error response.
    pub async fn send_to_any_role<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        request: &AdminRequest,
    ) -> Result<T, CliError> {
        let first = self.send(address, PeerRole::Control, request).await;
        // The TLS handshake fails if the process has the other role, so try as a node next.
        let response = match first {
            Err(ClientError::Unreachable { reason, .. }) => {
                let second = self.send(address, PeerRole::Node, request).await;
                second.map_err(|error| error.with_control_reason(&reason))
            }
            response => response,
        };
        decode(address, &response?)
    }

    /// Sends a request to a node and returns the response body as text.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be reached or returns an error response.
    pub async fn send_to_node(
        &self,
        address: SocketAddr,
        request: &AdminRequest,
    ) -> Result<String, CliError> {
        let response = self.send(address, PeerRole::Node, request).await;
        let response = response?;
        Ok(String::from_utf8_lossy(&response).into_owned())
    }

    async fn send(
        &self,
        address: SocketAddr,
        role: PeerRole,
        request: &AdminRequest,
    ) -> Result<Bytes, ClientError> {
        let request_future = self.send_http_request(address, role, request);
        let limit = Duration::from_millis(REQUEST_TIMEOUT_MS);
        let result = timeout(limit, request_future).await;
        let (status, body) = result
            .unwrap_or_else(|_| Err(anyhow!("no response within {REQUEST_TIMEOUT_MS} ms")))
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

    async fn send_http_request(
        &self,
        address: SocketAddr,
        role: PeerRole,
        request: &AdminRequest,
    ) -> anyhow::Result<(StatusCode, Bytes)> {
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let stream = timeout(limit, self.connect(address, role)).await;
        let stream = stream.context("connecting timed out")??;
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
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
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
            PeerRole::Node => &self.node_tls,
            PeerRole::Control | PeerRole::Operator => &self.control_tls,
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

fn decode<T: DeserializeOwned>(address: SocketAddr, response: &[u8]) -> Result<T, CliError> {
    let decoded = serde_json::from_slice(response);
    let decoded = decoded.with_context(|| format!("{address}: the response cannot be decoded"))?;
    Ok(decoded)
}
