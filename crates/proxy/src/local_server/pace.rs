//! The load and pace that the backend server reports with its responses, and when other nodes are
//! told of the pace.

use std::convert::Infallible;
use std::time::Duration;
use std::time::Instant;

use fleet::NodeMessage;
use link::LinkSender;
use metrics::ProcessMetrics;
use model::context::ServerLoad;
use model::context::ServerPace;

use crate::local_server::LocalServer;
use crate::pace_news::PaceNews;
use crate::state::lock;

/// Time for which a reported pace counts, in milliseconds. Other work on the instance begins and
/// ends several times a second.
const PACE_VALID_MS: u64 = 400;
/// Kind of the metrics on the pace.
const PACE: &str = "pace";

/// The last reported pace, if any, and the last one that other nodes were told.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LastPace {
    report: Option<(ServerPace, Instant)>,
    news: PaceNews,
}

impl LastPace {
    /// Returns the pace, unless it was reported too long ago.
    pub(super) fn at(&self, now: Instant) -> Option<ServerPace> {
        let (pace, reported_at) = self.report?;
        let valid = Duration::from_millis(PACE_VALID_MS);
        (now.saturating_duration_since(reported_at) < valid).then_some(pace)
    }
}

impl LocalServer {
    /// Notes the load that the backend server reported with an answer, and tells other nodes of a
    /// pace that they should know.
    pub(super) fn note_reported_load(
        &self,
        load: Option<ServerLoad>,
        metrics: &ProcessMetrics,
        now: Instant,
    ) {
        let mut state = lock(&self.state);
        let calls = load.map(|load| load.in_flight.saturating_add(load.queued));
        let changes = state.limiter.note_report(calls, now);
        drop(state);
        self.notify_waiters(changes);
        if let Some(pace) = load.and_then(|load| load.pace) {
            self.note_pace(pace, metrics, now);
        }
    }

    fn note_pace(&self, pace: ServerPace, metrics: &ProcessMetrics, now: Instant) {
        let mut state = lock(&self.state);
        state.pace.report = Some((pace, now));
        let decision = state.pace.news.decide(pace, now);
        drop(state);
        let Some(decision) = decision else {
            return;
        };
        self.announced_pace.send_replace(Some(pace));
        metrics.count(PACE, "announced");
        metrics.set("server-pace-percent", u64::from(pace.percent()));
        if decision.is_logged {
            tracing::info!(event = "server-pace", percent = pace.percent());
        }
    }

    /// Keeps a backend server that reports its pace below the load at which it slows down.
    pub(super) fn update_full_speed(&self, now: Instant) {
        let mut state = lock(&self.state);
        let reports_pace = state.pace.at(now).is_some();
        state.limiter.set_keeps_full_speed(reports_pace);
    }

    /// Sends each announced pace on a link to another node; never returns.
    pub(crate) async fn send_paces(&self, sender: LinkSender<NodeMessage>) -> Infallible {
        let mut announced = self.announced_pace.subscribe();
        loop {
            // A node that does not read gets the latest pace only, once it reads again.
            if announced.changed().await.is_err() || !sender.ready().await {
                return std::future::pending().await;
            }
            let pace = *announced.borrow_and_update();
            if let Some(pace) = pace {
                sender.send(&NodeMessage::Pace { pace });
            }
        }
    }
}
