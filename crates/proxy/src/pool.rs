//! Connections to the backend server beside this node.

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

/// Time to connect to a backend server on the same instance, in milliseconds.
const CONNECT_MS: u64 = 400;
/// Time for which a connection may be idle and still be used again, in milliseconds.
const IDLE_MAX_MS: u64 = 2_500;
/// Idle connections that are kept.
const IDLE_COUNT_MAX: usize = 512;

/// Body of a request, whole.
pub(crate) type RequestBody = Full<Bytes>;

/// Why a request got no answer.
#[derive(Debug)]
pub(crate) enum SendFault {
    /// No byte of it was sent.
    NotSent,
    /// It was sent, and the connection ended or carried something else.
    Lost(hyper::Error),
}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub(crate) struct ServerLink {
    sender: SendRequest<RequestBody>,
}

#[derive(Debug)]
struct IdleLink {
    link: ServerLink,
    since: Instant,
}

/// Idle connections to one backend server, the one used last first.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkPool {
    idle: Arc<Mutex<Vec<IdleLink>>>,
}

impl LinkPool {
    /// Drops all idle connections, as when another backend server took the address.
    pub(crate) fn clear(&self) {
        self.lock().clear();
    }

    /// Keeps a connection whose answer was read whole.
    pub(crate) fn put_back(&self, link: ServerLink) {
        let since = Instant::now();
        let mut idle = self.lock();
        if idle.len() < IDLE_COUNT_MAX && !link.sender.is_closed() {
            idle.push(IdleLink { link, since });
        }
    }

    /// Drops connections that have been idle for too long.
    pub(crate) fn expire(&self) {
        let now = Instant::now();
        let limit = Duration::from_millis(IDLE_MAX_MS);
        self.lock().retain(|idle| now < idle.since + limit);
    }

    fn take(&self) -> Option<ServerLink> {
        let now = Instant::now();
        let limit = Duration::from_millis(IDLE_MAX_MS);
        let mut idle = self.lock();
        while let Some(last) = idle.pop() {
            if now < last.since + limit && last.link.sender.is_ready() {
                return Some(last.link);
            }
        }
        None
    }

    /// Sends a request on an idle connection or a new one.
    ///
    /// A connection that turns out to be closed before anything was sent is replaced.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<RequestBody>,
    ) -> Result<(Response<Incoming>, ServerLink), SendFault> {
        while let Some(mut link) = self.take() {
            match link.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, link)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(SendFault::Lost(error.into_error())),
                },
            }
        }
        let mut link = connect(address).await?;
        match link.sender.try_send_request(request).await {
            Ok(response) => Ok((response, link)),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendFault::NotSent),
                None => Err(SendFault::Lost(error.into_error())),
            },
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<IdleLink>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn connect(address: SocketAddr) -> Result<ServerLink, SendFault> {
    let limit = Duration::from_millis(CONNECT_MS);
    let connected = timeout(limit, TcpStream::connect(address)).await;
    let stream = match connected {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => {
            tracing::debug!(event = "server-unreachable", %address, %error);
            return Err(SendFault::NotSent);
        }
        Err(_) => {
            tracing::debug!(event = "server-unreachable", %address, error = "timeout");
            return Err(SendFault::NotSent);
        }
    };
    // Without it only small writes are slower.
    let _ = stream.set_nodelay(true);
    let shaken = http1::Builder::new()
        .handshake::<_, RequestBody>(TokioIo::new(stream))
        .await;
    let (sender, connection) = shaken.map_err(|_| SendFault::NotSent)?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!(event = "server-link-ended", %error);
        }
    });
    Ok(ServerLink { sender })
}
