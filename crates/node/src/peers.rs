//! Connections to other nodes: one HTTP/2 connection over mutual TLS for each node.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http2;
use hyper::client::conn::http2::SendRequest;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use rustls::ClientConfig;
use rustls::pki_types::ServerName;
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;

/// Timeout of connecting to another node, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Interval of pings on a connection with calls in flight, in milliseconds.
const PING_INTERVAL_MS: u64 = 1_000;
/// Time after which an unanswered ping closes the connection, in milliseconds.
const PING_TIMEOUT_MS: u64 = 1_500;

/// Why no response arrived from the other node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PeerError {
    /// Nothing of the request was sent.
    NotSent,
    /// The connection was lost after the request was sent.
    Lost,
}

/// Connection to one node; the lock makes concurrent calls share one connection attempt.
type PeerSlot = Arc<tokio::sync::Mutex<Option<SendRequest<Full<Bytes>>>>>;

/// Pool of connections to other nodes, by address.
pub(crate) struct PeerPool {
    connector: TlsConnector,
    server_name: ServerName<'static>,
    slots: Mutex<HashMap<SocketAddr, PeerSlot>>,
}

impl PeerPool {
    /// Creates an empty pool.
    ///
    /// `config` holds this node's certificate; `server_name` is the name that another
    /// node's certificate must be valid for.
    pub(crate) fn new(config: Arc<ClientConfig>, server_name: ServerName<'static>) -> Self {
        Self {
            connector: TlsConnector::from(config),
            server_name,
            slots: Mutex::new(HashMap::new()),
        }
    }

    /// Sends a request and waits for the head of the response.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, PeerError> {
        let mut sender = self.sender(address).await.map_err(|error| {
            tracing::debug!(event = "peer-connect-failed", %address, error = %format!("{error:#}"));
            PeerError::NotSent
        })?;
        match sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => {
                self.forget(address).await;
                match error.take_message() {
                    Some(_) => Err(PeerError::NotSent),
                    None => Err(PeerError::Lost),
                }
            }
        }
    }

    /// Opens a connection before its first use.
    pub(crate) async fn connect(&self, address: SocketAddr) -> anyhow::Result<()> {
        self.sender(address).await.map(drop)
    }

    /// Drops the connections to addresses for which `keep` returns false.
    pub(crate) fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        slots.retain(|address, _| keep(address));
    }

    async fn sender(&self, address: SocketAddr) -> anyhow::Result<SendRequest<Full<Bytes>>> {
        let slot = self.slot(address);
        let mut sender = slot.lock().await;
        if let Some(open) = sender.as_ref().filter(|open| !open.is_closed()) {
            return Ok(open.clone());
        }
        let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let connecting = tokio::time::timeout(timeout, self.open(address));
        let open = connecting.await.context("connecting took too long")??;
        *sender = Some(open.clone());
        Ok(open)
    }

    async fn open(&self, address: SocketAddr) -> anyhow::Result<SendRequest<Full<Bytes>>> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let stream = self
            .connector
            .connect(self.server_name.clone(), stream)
            .await?;
        let (sender, connection) = http2::Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .keep_alive_interval(Duration::from_millis(PING_INTERVAL_MS))
            .keep_alive_timeout(Duration::from_millis(PING_TIMEOUT_MS))
            .handshake(TokioIo::new(stream))
            .await?;
        tokio::spawn(connection);
        Ok(sender)
    }

    async fn forget(&self, address: SocketAddr) {
        let slot = self.slot(address);
        let mut sender = slot.lock().await;
        if sender.as_ref().is_some_and(SendRequest::is_closed) {
            *sender = None;
        }
    }

    fn slot(&self, address: SocketAddr) -> PeerSlot {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(slots.entry(address).or_default())
    }
}
