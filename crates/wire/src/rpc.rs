//! tarpc over QUIC, with one transport for each stream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::ClientMessage;
use tarpc::Response;
use tarpc::client;
use tarpc::client::Channel;
use tarpc::client::RpcError;
use tarpc::context;
use tarpc::context::Context;
use tarpc::serde_transport;
use tarpc::serde_transport::Transport;
use tarpc::server::BaseChannel;
use tokio::runtime::Handle;
use tokio::sync::OwnedMutexGuard;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::codec::PostcardCodec;
use crate::codec::frame_codec;
use crate::error::ConnectionError;
use crate::quic::QuicConnection;
use crate::quic::QuicEndpoint;
use crate::quic::QuicStream;
use crate::role::PeerRole;

/// Timeout of a handshake, which may outlast the call that started it, in milliseconds.
const HANDSHAKE_TIMEOUT_MS: u64 = 2_000;

/// tarpc transport that receives `In` and sends `Out`.
pub type RpcTransport<In, Out> = Transport<QuicStream, In, Out, PostcardCodec<In, Out>>;

/// Server side of one stream, to execute with a service.
pub type ServerChannel<Req, Resp> =
    BaseChannel<Req, Resp, RpcTransport<ClientMessage<Req>, Response<Resp>>>;

/// Creates a tarpc transport on a stream.
#[must_use]
pub fn transport<In, Out>(stream: QuicStream) -> RpcTransport<In, Out>
where
    In: DeserializeOwned,
    Out: Serialize,
{
    serde_transport::new(Framed::new(stream, frame_codec()), PostcardCodec::default())
}

/// Creates the server side on a stream.
#[must_use]
pub fn server_channel<Req, Resp>(stream: QuicStream) -> ServerChannel<Req, Resp>
where
    Req: DeserializeOwned,
    Resp: Serialize,
{
    BaseChannel::with_defaults(transport(stream))
}

/// Returns a tarpc context whose deadline is `limit` from now.
#[must_use]
pub fn call_context(limit: Duration) -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + limit;
    context
}

/// Returns whether a call failed because its connection is unusable.
///
/// A missed deadline does not count: other calls may be in flight on the same
/// connection, and if the network drops its packets, the idle timeout closes it.
#[must_use]
pub fn is_connection_failure(error: &RpcError) -> bool {
    matches!(
        error,
        RpcError::Shutdown | RpcError::Send(_) | RpcError::Channel(_)
    )
}

/// Client side of one process; connects on first use and reconnects after a failure.
#[derive(Debug)]
pub struct RpcChannel<Req, Resp> {
    /// Runtime that drives all connections, whichever task opens them.
    runtime: Handle,
    endpoint: QuicEndpoint,
    address: SocketAddr,
    role: PeerRole,
    current: Arc<Mutex<Option<OpenChannel<Req, Resp>>>>,
    /// Locked while connecting, so that concurrent calls share one connection.
    /// Holds the error of the last failed attempt.
    connecting: Arc<tokio::sync::Mutex<String>>,
}

/// A connection with the client side of its only stream.
#[derive(Debug)]
struct OpenChannel<Req, Resp> {
    connection: QuicConnection,
    channel: Channel<Req, Resp>,
}

impl<Req, Resp> Clone for RpcChannel<Req, Resp> {
    fn clone(&self) -> Self {
        Self {
            runtime: self.runtime.clone(),
            endpoint: self.endpoint.clone(),
            address: self.address,
            role: self.role,
            current: Arc::clone(&self.current),
            connecting: Arc::clone(&self.connecting),
        }
    }
}

impl<Req, Resp> RpcChannel<Req, Resp>
where
    Req: tarpc::RequestName + Serialize + Send + 'static,
    Resp: DeserializeOwned + Send + 'static,
{
    /// Creates a channel to the process of this role at `address`, without connecting.
    ///
    /// The runtime in which the channel is created drives its connections.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    #[must_use]
    pub fn new(endpoint: QuicEndpoint, address: SocketAddr, role: PeerRole) -> Self {
        Self {
            runtime: Handle::current(),
            endpoint,
            address,
            role,
            current: Arc::default(),
            connecting: Arc::default(),
        }
    }

    /// Returns the address of the process.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the open channel, or connects within `limit`.
    ///
    /// A handshake that takes longer continues in the background, so that a
    /// process that is busy with many new connections does not waste its work.
    ///
    /// # Errors
    ///
    /// Fails when no connection is established in time.
    pub async fn channel(&self, limit: Duration) -> Result<Channel<Req, Resp>, ConnectionError> {
        if let Some(channel) = self.open_channel() {
            return Ok(channel);
        }
        if let Ok(connect_guard) = Arc::clone(&self.connecting).try_lock_owned() {
            self.runtime.spawn(self.clone().connect(connect_guard));
        }
        let address = self.address;
        let waited = timeout(limit, self.connecting.lock()).await;
        let failure = waited.map_err(|_| ConnectionError::Timeout { address })?;
        self.open_channel().ok_or_else(|| ConnectionError::Refused {
            address,
            reason: failure.clone(),
        })
    }

    /// Connects, or stores the reason of the failure.
    async fn connect(self, mut failure: OwnedMutexGuard<String>) {
        if self.open_channel().is_some() {
            return;
        }
        match self.try_connect().await {
            Ok(opened) => *self.lock() = Some(opened),
            Err(error) => *failure = error.to_string(),
        }
    }

    async fn try_connect(&self) -> Result<OpenChannel<Req, Resp>, ConnectionError> {
        let limit = Duration::from_millis(HANDSHAKE_TIMEOUT_MS);
        let connection = self
            .endpoint
            .connect(self.address, self.role, limit)
            .await?;
        let stream = connection.open().await?;
        let channel = client::new(client::Config::default(), transport(stream)).spawn();
        Ok(OpenChannel {
            connection,
            channel,
        })
    }

    /// Closes the connection, so that the next call opens a new one.
    pub fn reset(&self) {
        if let Some(opened) = self.lock().take() {
            opened.connection.close();
        }
    }

    /// Returns the open connection, if any.
    #[must_use]
    pub fn connection(&self) -> Option<QuicConnection> {
        self.lock().as_ref().map(|opened| opened.connection.clone())
    }

    fn open_channel(&self) -> Option<Channel<Req, Resp>> {
        let current = self.lock();
        let opened = current
            .as_ref()
            .filter(|opened| !opened.connection.is_closed())?;
        Some(opened.channel.clone())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<OpenChannel<Req, Resp>>> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
