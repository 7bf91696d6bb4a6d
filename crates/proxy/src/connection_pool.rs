//! HTTP connections to the local backend server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::bounded_stream::BoundedStream;
use crate::bounded_stream::ReadAllowance;

/// Timeout to connect to the local backend server, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 400;
/// Longest idle time after which a connection is reused, in milliseconds.
const MAX_IDLE_MS: u64 = 2_500;
/// Size of the buffer for response heads, in bytes.
const MAX_HEAD_BUFFER_BYTES: usize = 64 * 1024;
/// Most idle connections that are kept.
const MAX_IDLE_CONNECTIONS: usize = 512;

/// A request body in memory.
pub(crate) type RequestBody = Full<Bytes>;

/// Why a request has no response.
#[derive(Debug)]
pub(crate) enum SendError {
    /// Nothing of the request was sent.
    NotSent,
    /// The request was sent, but the connection broke or the response was not valid HTTP.
    ResponseLost(hyper::Error),
}

/// A connection to the backend server; carries one request at a time.
#[derive(Debug)]
pub(crate) struct ServerConnection {
    sender: SendRequest<RequestBody>,
    allowance: ReadAllowance,
    is_reused: bool,
}

impl ServerConnection {
    /// Returns whether the connection carried an earlier request, to which a response without an
    /// id may belong.
    pub(crate) const fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Returns how much may still be read for the response under way.
    pub(crate) const fn allowance(&self) -> &ReadAllowance {
        &self.allowance
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: ServerConnection,
    since: Instant,
}

/// Idle connections to one backend server; the last one used is reused first.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: Arc<Mutex<Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Closes all idle connections, for when the backend server was replaced or restarted.
    pub(crate) fn clear(&self) {
        self.lock().clear();
    }

    /// Returns a connection to the pool; its last response must have been read completely.
    pub(crate) fn put_back(&self, mut connection: ServerConnection) {
        let since = Instant::now();
        connection.is_reused = true;
        let mut idle = self.lock();
        if idle.len() < MAX_IDLE_CONNECTIONS && !connection.sender.is_closed() {
            idle.push(IdleConnection { connection, since });
        }
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_expired(&self) {
        let now = Instant::now();
        let limit = Duration::from_millis(MAX_IDLE_MS);
        self.lock().retain(|idle| now < idle.since + limit);
    }

    fn take_idle(&self) -> Option<ServerConnection> {
        let now = Instant::now();
        let limit = Duration::from_millis(MAX_IDLE_MS);
        let mut idle = self.lock();
        while let Some(last) = idle.pop() {
            if now < last.since + limit && last.connection.sender.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Sends a request on an idle connection, or on a new one.
    ///
    /// If an idle connection turns out to be closed before anything was sent, the next one is
    /// tried. `begin` is called whenever the request is about to be written.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<RequestBody>,
        begin: impl Fn(),
    ) -> Result<(Response<Incoming>, ServerConnection), SendError> {
        while let Some(mut connection) = self.take_idle() {
            connection.allowance.begin_response();
            begin();
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::ResponseLost(error.into_error())),
                },
            }
        }
        let mut connection = connect(address).await?;
        connection.allowance.begin_response();
        begin();
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok((response, connection)),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendError::NotSent),
                None => Err(SendError::ResponseLost(error.into_error())),
            },
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn connect(address: SocketAddr) -> Result<ServerConnection, SendError> {
    let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let connected = timeout(limit, TcpStream::connect(address)).await;
    let stream = match connected {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => {
            tracing::debug!(event = "server-unreachable", %address, %error);
            return Err(SendError::NotSent);
        }
        Err(_) => {
            tracing::debug!(event = "server-unreachable", %address, error = "timeout");
            return Err(SendError::NotSent);
        }
    };
    // On failure Nagle's algorithm stays on, which only delays small writes.
    let _ = stream.set_nodelay(true);
    let allowance = ReadAllowance::default();
    let stream = BoundedStream::new(stream, allowance.clone());
    let handshake_result = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BUFFER_BYTES)
        .handshake::<_, RequestBody>(TokioIo::new(stream))
        .await;
    let (sender, driver) = handshake_result.map_err(|_| SendError::NotSent)?;
    tokio::spawn(async move {
        if let Err(error) = driver.await {
            tracing::debug!(event = "server-link-ended", %error);
        }
    });
    Ok(ServerConnection {
        sender,
        allowance,
        is_reused: false,
    })
}
