//! Announces the stub backend server to the node beside it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use model::announce::ANNOUNCE_PATH;
use model::announce::ServerAnnouncement;

use crate::standin::StandinState;

/// Interval of announcements, in milliseconds.
const ANNOUNCE_INTERVAL_MS: u64 = 250;

/// Sends announcements until the process ends.
pub(crate) async fn announce(
    state: Arc<StandinState>,
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
) {
    let mut interval = tokio::time::interval(Duration::from_millis(ANNOUNCE_INTERVAL_MS));
    loop {
        interval.tick().await;
        let announcement = ServerAnnouncement {
            service: Arc::from(state.settings.service.as_str()),
            address,
            state: state.state(),
            slots: u32::try_from(state.settings.slots).unwrap_or(u32::MAX),
        };
        let body = serde_json::to_vec(&announcement).unwrap_or_default();
        let uri = format!("http://{}{ANNOUNCE_PATH}", state.settings.node);
        let request = Request::post(uri).body(Full::new(Bytes::from(body)));
        let Ok(request) = request else { continue };
        // The node may not have started yet; the next interval tries again.
        let _ = client.request(request).await;
    }
}
