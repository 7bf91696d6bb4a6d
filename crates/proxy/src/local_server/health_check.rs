//! Health checks of the local backend server, which show that it became cold between two
//! announcements.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use clock::Clock;
use fleet::ProtocolAdapter;
use fleet::ServerName;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use tokio::time::timeout;

use crate::body::read_body;
use crate::connection_pool::RequestBody;
use crate::local_server::LocalServer;
use crate::state::ProxyState;

/// Time within which a check must be answered, in milliseconds; then the last announcement
/// applies.
const CHECK_TIMEOUT_MS: u64 = 400;
/// Largest body of an answer, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// The process that a health check asks.
#[derive(Clone, Debug)]
pub(super) struct CheckTarget {
    pub(super) server: ServerName,
    pub(super) started_at_ms: u64,
    pub(super) sent: Instant,
}

impl LocalServer {
    /// Sends a health check if one is due and delays no call.
    pub(crate) fn check_health<C: Clock, A: ProtocolAdapter>(&self, proxy: &ProxyState<C, A>) {
        let Some(target) = self.begin_check(proxy.now()) else {
            return;
        };
        let proxy = proxy.clone();
        tokio::spawn(async move {
            let server = &proxy.server;
            let limit = Duration::from_millis(CHECK_TIMEOUT_MS);
            let answer = timeout(limit, server.request_cold_left(&proxy, &target)).await;
            if answer.is_err() {
                proxy.metrics.count("health-check", "timeout");
            }
            let cold_left = answer.ok().flatten();
            if server.end_check(&target, cold_left, proxy.now()) {
                proxy.publish_record();
            }
        });
    }

    /// Asks the backend server for its remaining cold time.
    ///
    /// An answer that names another server, or carries the id of a request on a connection that
    /// was used before, is none to this check.
    async fn request_cold_left<C: Clock, A: ProtocolAdapter>(
        &self,
        proxy: &ProxyState<C, A>,
        target: &CheckTarget,
    ) -> Option<Duration> {
        let request = build_check(proxy)?;
        let sent = self
            .pool
            .send(proxy.settings.server_address, request, || ());
        let (response, connection) = sent.await.ok()?;
        let (parts, body) = response.into_parts();
        let metadata = proxy.adapter.response_metadata(&parts.headers);
        let is_foreign = metadata.attempt.is_some_and(|id| !id.is_empty());
        if is_foreign && connection.is_reused() {
            return None;
        }
        let buffer = proxy.answer_memory.buffer(MAX_BODY_BYTES);
        let allowance = connection.allowance();
        let collected = read_body(body, buffer, |length| allowance.note_progress(length)).await;
        collected.ok()?;
        self.pool.put_back(connection);
        let is_other = metadata.server.is_some_and(|name| name != target.server);
        if is_other || parts.status == StatusCode::MISDIRECTED_REQUEST {
            return None;
        }
        metadata.cold_left
    }
}

/// Builds the request to the health path of the node's service.
fn build_check<C: Clock, A: ProtocolAdapter>(
    proxy: &ProxyState<C, A>,
) -> Option<Request<RequestBody>> {
    let (table, _) = proxy.route_table()?;
    let service = table.service(&proxy.settings.service)?;
    Request::get(service.health_path.as_str())
        .header(header::HOST, proxy.settings.server_address.to_string())
        .body(Full::new(Bytes::new()))
        .ok()
}
