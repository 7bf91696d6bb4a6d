//! A connection of a caller or of the local backend server, until its last answer is written.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use clock::Clock;
use fleet::ProtocolAdapter;
use http::HeaderValue;
use http::Response;
use http::header;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpStream;

use crate::ingress::answer_request;
use crate::ingress::open_request;
use crate::ingress::pipeline::HandedOver;
use crate::ingress::pipeline::serve_pipelined;
use crate::ingress::prefixed_reader::PrefixedReader;
use crate::ingress::refusal::BufferedResponse;
use crate::open_call::OpenCall;
use crate::state::ProxyState;
use crate::state::lock;

/// Size of the buffer for request heads, in bytes; the configured limit is checked after reading.
pub(super) const MAX_HEAD_BUFFER_BYTES: usize = 64 * 1024;
/// Timeout for request heads while there is no configuration, in seconds.
const DEFAULT_HEAD_TIMEOUT_S: u64 = 10;

/// The last request that was read from a connection.
pub(super) struct LastCall<C: Clock, A: ProtocolAdapter> {
    call: Mutex<Option<Arc<OpenCall<C, A>>>>,
}

impl<C: Clock, A: ProtocolAdapter> LastCall<C, A> {
    const fn new() -> Self {
        Self {
            call: Mutex::new(None),
        }
    }

    /// Notes the next request; the answer to the one before it has been written.
    pub(super) fn replace(&self, call: &Arc<OpenCall<C, A>>) {
        let earlier = lock(&self.call).replace(Arc::clone(call));
        if let Some(earlier) = earlier {
            earlier.finish();
        }
    }

    fn is_none(&self) -> bool {
        lock(&self.call).is_none()
    }

    /// Notes that the connection has ended, so that nothing more can be written.
    fn finish(&self) {
        if let Some(call) = &*lock(&self.call) {
            call.finish();
        }
    }
}

/// Serves the requests on a connection, and ends with it.
pub(super) async fn serve_connection<C: Clock, A: ProtocolAdapter>(
    state: ProxyState<C, A>,
    stream: TcpStream,
) {
    // On failure Nagle's algorithm stays on, which only delays small writes.
    let _ = stream.set_nodelay(true);
    let limits = state
        .route_table()
        .map(|(table, _)| table.config().limits.clone());
    let head_timeout = limits.map_or(Duration::from_secs(DEFAULT_HEAD_TIMEOUT_S), |limits| {
        limits.head_timeout.max(limits.idle_timeout)
    });
    if let Some(rest) = serve_pipelined(&state, stream, head_timeout).await {
        serve_last(&state, rest, head_timeout).await;
    }
}

/// Serves the next request of a connection, in any form that HTTP allows, and closes it.
///
/// The HTTP library sees neither that a caller leaves nor when a request arrived while others of
/// the connection wait, so nothing may wait behind this one.
async fn serve_last<C: Clock, A: ProtocolAdapter>(
    state: &ProxyState<C, A>,
    rest: HandedOver,
    head_timeout: Duration,
) {
    let reader = PrefixedReader::new(rest.input, rest.reader);
    let stream = tokio::io::join(reader, rest.writer);
    let last = LastCall::new();
    let service = service_fn(|request| {
        let open = open_request(state, request, state.now());
        last.replace(&open.call);
        async move {
            let response = answer_request(state, open).await;
            Ok::<_, Infallible>(with_framing(state, response))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .max_buf_size(MAX_HEAD_BUFFER_BYTES)
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = state.stop.connections_closing() => {
            // An idle connection closes at once, any other after the answer to its request.
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                ended = connection.as_mut() => ended,
                () = no_request_until_end(state, &last) => Ok(()),
            }
        }
    };
    last.finish();
    if let Err(error) = ended {
        tracing::debug!(event = "caller-link-ended", %error);
    }
}

/// Closes the connection behind the answer if the node stops.
fn with_framing<C: Clock, A: ProtocolAdapter>(
    state: &ProxyState<C, A>,
    mut response: BufferedResponse,
) -> Response<Full<Bytes>> {
    if state.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response.map(Full::new)
}

/// Completes at the end of a stop if no head was read whole by then; never otherwise.
async fn no_request_until_end<C: Clock, A: ProtocolAdapter>(
    state: &ProxyState<C, A>,
    last: &LastCall<C, A>,
) {
    state.stop.ending().await;
    if !last.is_none() {
        std::future::pending::<()>().await;
    }
}
