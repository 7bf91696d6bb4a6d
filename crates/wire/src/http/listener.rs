//! The accept loop of an HTTP listener.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use http::Request;
use http::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::server::graceful::Watcher;
use rustls::ServerConfig;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_rustls::TlsAcceptor;
use tokio_util::sync::CancellationToken;
use tracing::debug;

/// Pause after the system refused to accept, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 20;
/// Smallest buffer that hyper allows for a head, in bytes.
const MIN_HEAD_BYTES: usize = 8_192;

/// Bounds for the heads of requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeadLimits {
    /// Largest head, in bytes; HTTP/1 allows at least 8,192.
    pub head_bytes: usize,
    /// Time for the TLS handshake, and again for each head.
    pub head_timeout: Duration,
}

/// A bound TCP listener for HTTP/1.1 and HTTP/2.
pub struct HttpListener {
    listener: TcpListener,
    acceptor: Option<TlsAcceptor>,
    limits: HeadLimits,
}

/// Calls that a stop had to cut.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("{connections} connections were still busy after {waited:?}")]
pub struct DrainTimeoutError {
    /// Connections that were busy when the time was up.
    pub connections: usize,
    /// How long the stop waited.
    pub waited: Duration,
}

impl HttpListener {
    /// Binds an address; without `tls` it speaks plain HTTP.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        tls: Option<Arc<ServerConfig>>,
        limits: HeadLimits,
    ) -> std::io::Result<Self> {
        Ok(Self {
            listener: TcpListener::bind(address).await?,
            acceptor: tls.map(TlsAcceptor::from),
            limits,
        })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Fails when the socket was lost.
    pub fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until `stop` is cancelled, then waits up to `drain_timeout` for calls in flight.
    ///
    /// After the stop, connections are told to go elsewhere (`GOAWAY` or
    /// `Connection: close`) and no new one is accepted.
    ///
    /// # Errors
    ///
    /// Fails when calls in flight had to be cut.
    pub async fn serve<S, F, B>(
        self,
        service: S,
        stop: CancellationToken,
        drain_timeout: Duration,
    ) -> Result<(), DrainTimeoutError>
    where
        S: Fn(SocketAddr, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: Body + Send + 'static,
        B::Data: Send,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let graceful = GracefulShutdown::new();
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, remote)) => {
                        let connection = HttpConnection {
                            limits: self.limits,
                            remote,
                            watcher: graceful.watcher(),
                        };
                        let acceptor = self.acceptor.clone();
                        tokio::spawn(connection.run(stream, acceptor, service.clone()));
                    }
                    Err(error) => {
                        debug!(event = "accept-failed", %error);
                        sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
                    }
                },
            }
        }
        drop(self.listener);
        let connections = graceful.count();
        timeout(drain_timeout, graceful.shutdown())
            .await
            .map_err(|_| DrainTimeoutError {
                connections,
                waited: drain_timeout,
            })
    }
}

/// One accepted connection.
struct HttpConnection {
    limits: HeadLimits,
    remote: SocketAddr,
    watcher: Watcher,
}

impl HttpConnection {
    async fn run<S, F, B>(self, stream: TcpStream, acceptor: Option<TlsAcceptor>, service: S)
    where
        S: Fn(SocketAddr, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: Body + Send + 'static,
        B::Data: Send,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let _ = stream.set_nodelay(true);
        let builder = self.builder();
        let Some(acceptor) = acceptor else {
            self.serve(builder, stream, service).await;
            return;
        };
        match timeout(self.limits.head_timeout, acceptor.accept(stream)).await {
            Ok(Ok(stream)) => {
                let is_http2 = stream.get_ref().1.alpn_protocol() == Some(b"h2");
                let builder = if is_http2 {
                    builder.http2_only()
                } else {
                    builder.http1_only()
                };
                self.serve(builder, stream, service).await;
            }
            Ok(Err(error)) => debug!(event = "handshake-failed", remote = %self.remote, %error),
            Err(_) => debug!(event = "handshake-timeout", remote = %self.remote),
        }
    }

    fn builder(&self) -> auto::Builder<TokioExecutor> {
        let mut builder = auto::Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.head_timeout)
            .max_buf_size(self.limits.head_bytes.max(MIN_HEAD_BYTES));
        builder
            .http2()
            .timer(TokioTimer::new())
            .keep_alive_interval(self.limits.head_timeout)
            .keep_alive_timeout(self.limits.head_timeout)
            .max_header_list_size(u32::try_from(self.limits.head_bytes).unwrap_or(u32::MAX));
        builder
    }

    /// Serves a stream; one that sends no head in time is dropped, whatever its protocol.
    async fn serve<I, S, F, B>(self, builder: auto::Builder<TokioExecutor>, stream: I, service: S)
    where
        I: AsyncRead + AsyncWrite + Unpin + Send + 'static,
        S: Fn(SocketAddr, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: Body + Send + 'static,
        B::Data: Send,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let remote = self.remote;
        let spoken = Arc::new(AtomicBool::new(false));
        let heard = Arc::clone(&spoken);
        let handler = service_fn(move |request| {
            heard.store(true, Ordering::Relaxed);
            let response = service(remote, request);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let connection = builder
            .serve_connection(TokioIo::new(stream), handler)
            .into_owned();
        let mut connection = std::pin::pin!(self.watcher.watch(connection));
        let outcome = tokio::select! {
            outcome = &mut connection => outcome,
            () = sleep(self.limits.head_timeout) => {
                if !spoken.load(Ordering::Relaxed) {
                    debug!(event = "head-timeout", %remote);
                    return;
                }
                connection.await
            }
        };
        if let Err(error) = outcome {
            debug!(event = "connection-failed", %remote, %error);
        }
    }
}
