//! HTTP server for metric scrapes.

use std::convert::Infallible;
use std::future::ready;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::ProcessMetrics;

/// Answers every request on `listener` with the metrics in text format; never returns.
pub async fn serve(metrics: ProcessMetrics, listener: TcpListener) {
    loop {
        let (stream, _) = link::accept(&listener, "metrics").await;
        let metrics = metrics.clone();
        tokio::spawn(async move {
            let service =
                service_fn(|_: Request<Incoming>| ready(Ok::<_, Infallible>(respond(&metrics))));
            let result = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = result {
                tracing::debug!(event = "metrics-link-ended", %error);
            }
        });
    }
}

fn respond(metrics: &ProcessMetrics) -> Response<Full<Bytes>> {
    Response::new(Full::new(Bytes::from(metrics.encode())))
}
