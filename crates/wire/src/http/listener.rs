//! HTTP listener with its accept loop and graceful stop.

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

/// Pause after a failed accept, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 20;
/// Smallest HTTP/1 read buffer that hyper allows, in bytes.
const MIN_HEAD_BYTES: usize = 8_192;

/// Limits for request heads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeadLimits {
    /// Largest head, in bytes; for HTTP/1 the limit is at least 8,192.
    pub head_bytes: usize,
    /// Timeout for the TLS handshake, and for each head.
    pub head_timeout: Duration,
}

/// A bound TCP listener for HTTP/1.1 and HTTP/2.
pub struct HttpListener {
    listener: TcpListener,
    acceptor: Option<TlsAcceptor>,
    limits: HeadLimits,
}

/// Connections that were still busy when a graceful stop timed out.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("{connections} connections were still busy after {waited:?}")]
pub struct DrainTimeoutError {
    /// Connections that were open when the stop began.
    pub connections: usize,
    /// Time for which the stop waited.
    pub waited: Duration,
}

impl HttpListener {
    /// Binds an address; without `tls` the listener serves plain HTTP.
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
    /// Fails when the operating system cannot tell the address.
    pub fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until `stop` is cancelled, then waits up to `drain_timeout` for calls in flight.
    ///
    /// After the stop, no new connection is accepted, and open ones are closed
    /// gracefully (`GOAWAY` or `Connection: close`).
    ///
    /// # Errors
    ///
    /// Fails when calls in flight did not finish in time and are cut off.
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

    /// Serves a stream; drops it if no request head arrives in time, for either HTTP version.
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
        let request_seen = Arc::new(AtomicBool::new(false));
        let seen_by_handler = Arc::clone(&request_seen);
        let handler = service_fn(move |request| {
            seen_by_handler.store(true, Ordering::Relaxed);
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
                if !request_seen.load(Ordering::Relaxed) {
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
