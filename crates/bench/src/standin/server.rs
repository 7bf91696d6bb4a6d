//! HTTP server of the stub backend server.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::standin::CRASH_HEADER;
use crate::standin::ECHO_HEADER;
use crate::standin::MARKER_HEADER;
use crate::standin::StandinSettings;
use crate::standin::StandinState;
use crate::standin::announce::announce;

/// Header that links the sub-calls of a call to it.
const CALL_HEADER: &str = "ragwortplank-call";
/// Header of a refusal that says that the request did not run.
const SHED_HEADER: &str = "ragwortplank-shed";
/// Exit status after a request with [`CRASH_HEADER`].
const CRASH_STATUS: i32 = 70;

/// Client of the node's loopback listener.
type NodeClient = Client<HttpConnector, Full<Bytes>>;

/// Runs a stub backend server until the process ends.
///
/// # Errors
///
/// Fails when it cannot listen or open its journal.
pub async fn run(settings: StandinSettings) -> anyhow::Result<()> {
    let listener = TcpListener::bind(settings.listen).await;
    let listener = listener.with_context(|| format!("listening on {}", settings.listen))?;
    let address = listener.local_addr()?;
    let state = StandinState::new(settings).context("opening the journal")?;
    let client: NodeClient = Client::builder(TokioExecutor::new()).build_http();
    tokio::spawn(announce(Arc::clone(&state), address, client.clone()));
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let state = Arc::clone(&state);
        let client = client.clone();
        let service = service_fn(move |request| {
            let state = Arc::clone(&state);
            let client = client.clone();
            async move { Ok::<_, Infallible>(respond(&state, &client, request).await) }
        });
        let serving = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(serving);
    }
}

async fn respond(
    state: &StandinState,
    client: &NodeClient,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    if let Some(rest) = request.uri().path().strip_prefix("/.standin/") {
        return handle_command(state, rest);
    }
    if state.shedding.load(Ordering::Relaxed) {
        return shed_response();
    }
    let call = request.headers().get(CALL_HEADER).cloned();
    let marker = request.headers().get(MARKER_HEADER).cloned();
    let crash = request.headers().contains_key(CRASH_HEADER);
    if let Some(marker) = marker.as_ref().and_then(|marker| marker.to_str().ok()) {
        let line = format!("{} {marker}", state.settings.service);
        if state.journal.record(&line).is_err() {
            return text_response(StatusCode::INTERNAL_SERVER_ERROR, "journal");
        }
    }
    if crash {
        std::process::exit(CRASH_STATUS);
    }
    if request.headers().contains_key(ECHO_HEADER) {
        return echoed_headers(&request);
    }
    let Ok(body) = request.into_body().collect().await else {
        return text_response(StatusCode::BAD_REQUEST, "body");
    };
    simulate_work(state).await;
    for path in &state.settings.calls {
        let status = sub_call(state, client, path, call.as_ref(), marker.as_ref()).await;
        if !status.is_success() {
            return text_response(StatusCode::BAD_GATEWAY, "sub-call failed");
        }
    }
    let mut response = Response::new(Full::new(body.to_bytes()));
    if let Some(marker) = marker {
        response.headers_mut().insert(MARKER_HEADER, marker);
    }
    response
}

async fn simulate_work(state: &StandinState) {
    let Ok(_slot) = state.slots.acquire().await else {
        return;
    };
    let delay_ms = state.delay_ms.load(Ordering::Relaxed);
    // Timers round up to whole milliseconds, so that even a delay of zero would wait.
    if delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}

async fn sub_call(
    state: &StandinState,
    client: &NodeClient,
    path: &str,
    call: Option<&HeaderValue>,
    marker: Option<&HeaderValue>,
) -> StatusCode {
    let uri = format!("http://{}{path}", state.settings.node);
    let mut request = Request::post(uri);
    for (name, value) in [(CALL_HEADER, call), (MARKER_HEADER, marker)] {
        if let Some(value) = value {
            request = request.header(name, value);
        }
    }
    let Ok(request) = request.body(Full::default()) else {
        return StatusCode::INTERNAL_SERVER_ERROR;
    };
    match client.request(request).await {
        Ok(response) => response.status(),
        Err(_) => StatusCode::BAD_GATEWAY,
    }
}

/// Carries out a command that changes the behaviour: `drain`, `ready`, `shed_response`, `serve`, `delay/MS`.
fn handle_command(state: &StandinState, order: &str) -> Response<Full<Bytes>> {
    match order.split_once('/') {
        Some(("delay", text)) => match text.parse() {
            Ok(delay_ms) => state.delay_ms.store(delay_ms, Ordering::Relaxed),
            Err(_) => return text_response(StatusCode::BAD_REQUEST, "delay"),
        },
        _ => match order {
            "drain" => state.draining.store(true, Ordering::Relaxed),
            "ready" => state.draining.store(false, Ordering::Relaxed),
            "shed" => state.shedding.store(true, Ordering::Relaxed),
            "serve" => state.shedding.store(false, Ordering::Relaxed),
            _ => return text_response(StatusCode::NOT_FOUND, "order"),
        },
    }
    text_response(StatusCode::OK, "done")
}

/// Lists the headers of a request, one per line.
fn echoed_headers(request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let mut lines = String::new();
    for (name, value) in request.headers() {
        lines.push_str(name.as_str());
        lines.push_str(": ");
        lines.push_str(value.to_str().unwrap_or("?"));
        lines.push('\n');
    }
    Response::new(Full::new(Bytes::from(lines)))
}

fn shed_response() -> Response<Full<Bytes>> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "shed");
    let value = HeaderValue::from_static("1");
    response.headers_mut().insert(SHED_HEADER, value);
    response
}

fn text_response(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}
