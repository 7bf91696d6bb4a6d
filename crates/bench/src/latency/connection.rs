//! A connection that sends one request after the other.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use rustls::ClientConfig;
use rustls::pki_types::ServerName;
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;

/// Server name in the nodes' certificates.
const NODE_TLS_NAME: &str = "node.ragwortplank";
/// Body of each request, which the stub backend server sends back.
const BODY: Bytes = Bytes::from_static(&[b'x'; 64]);

/// An open connection to a stub backend server or a node.
pub(super) struct CallConnection {
    sender: SendRequest<Full<Bytes>>,
    path: String,
    authorization: Option<String>,
}

impl CallConnection {
    /// Connects to a stub backend server.
    pub(super) async fn plain(address: SocketAddr, path: &str) -> anyhow::Result<Self> {
        let stream = connect(address).await?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(Self {
            sender,
            path: path.to_owned(),
            authorization: None,
        })
    }

    /// Connects to a node as a caller with a key.
    pub(super) async fn tls(
        address: SocketAddr,
        path: &str,
        config: Arc<ClientConfig>,
        key: &str,
    ) -> anyhow::Result<Self> {
        let stream = connect(address).await?;
        let name = ServerName::try_from(NODE_TLS_NAME)?;
        let stream = TlsConnector::from(config).connect(name, stream).await?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(Self {
            sender,
            path: path.to_owned(),
            authorization: Some(format!("Bearer {key}")),
        })
    }

    /// Sends a request; returns whether it succeeded and its complete response arrived.
    pub(super) async fn call(&mut self) -> anyhow::Result<bool> {
        let mut request = Request::post(&self.path).header(http::header::HOST, NODE_TLS_NAME);
        if let Some(value) = &self.authorization {
            request = request.header(http::header::AUTHORIZATION, value);
        }
        let request = request.body(Full::new(BODY))?;
        self.sender.ready().await?;
        let response = self.sender.send_request(request).await?;
        let is_success = response.status().is_success();
        let body = response.into_body().collect().await?.to_bytes();
        Ok(is_success && body == BODY)
    }
}

async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
