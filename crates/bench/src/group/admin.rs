//! Reads from admin listeners.

use std::net::SocketAddr;

use anyhow::ensure;
use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use model::admin::StatusReport;
use model::admin::TimelineReport;
use rustls::pki_types::ServerName;
use serde::de::DeserializeOwned;
use settings::TlsFiles;
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;
use wire::identity::TlsIdentity;
use wire::role::PeerRole;

/// Client of admin listeners with an operator's certificate.
#[derive(Clone, Debug)]
pub struct AdminClient {
    tls: TlsFiles,
}

impl AdminClient {
    /// Creates a client with these TLS files.
    #[must_use]
    pub fn new(tls: TlsFiles) -> Self {
        Self { tls }
    }

    /// Reads the status of a process.
    ///
    /// # Errors
    ///
    /// Fails when the process does not answer.
    pub async fn status(&self, address: SocketAddr) -> anyhow::Result<StatusReport> {
        self.json(address, "/status").await
    }

    /// Reads the events of a process.
    ///
    /// # Errors
    ///
    /// Fails when the process does not answer.
    pub async fn timeline(&self, address: SocketAddr) -> anyhow::Result<TimelineReport> {
        self.json(address, "/timeline").await
    }

    /// Reads the metrics of a process.
    ///
    /// # Errors
    ///
    /// Fails when the process does not answer.
    pub async fn metrics(&self, address: SocketAddr) -> anyhow::Result<String> {
        let body = self.get(address, "/metrics").await?;
        Ok(String::from_utf8(body.to_vec())?)
    }

    async fn json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> anyhow::Result<T> {
        let body = self.get(address, path).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    async fn get(&self, address: SocketAddr, path: &str) -> anyhow::Result<Bytes> {
        let identity = TlsIdentity::load(&self.tls)?;
        // Either role may answer here, so the name of the certificate is tried for both.
        for role in [PeerRole::Control, PeerRole::Node] {
            let tls = identity.tcp_client(role)?;
            let mut config = (*tls.config).clone();
            config.alpn_protocols.clear();
            let connector = TlsConnector::from(std::sync::Arc::new(config));
            let name: ServerName<'static> = tls.server_name;
            let stream = TcpStream::connect(address).await?;
            let Ok(stream) = connector.connect(name, stream).await else {
                continue;
            };
            let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
            tokio::spawn(connection);
            let request = Request::get(path)
                .header(http::header::HOST, "admin")
                .body(Full::<Bytes>::default())?;
            let response = sender.send_request(request).await?;
            let status = response.status();
            let body = response.into_body().collect().await?.to_bytes();
            ensure!(status.is_success(), "{path}: {status}");
            return Ok(body);
        }
        anyhow::bail!("{address} is neither a control instance nor a node")
    }
}
