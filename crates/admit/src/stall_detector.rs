//! Detects connections to a backend server on which no response will come.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use model::ids::RouteName;

use crate::ResponseTimes;

/// Shortest silence that counts as a stall, in milliseconds. Schedulers and garbage collectors
/// pause a server for some tens of milliseconds.
const MIN_SILENCE_MS: u64 = 150;
/// A call is overdue after this multiple of the usual response times. Noisy servers take 2.5
/// times as long as usual for a while.
const SILENCE_FACTOR: u32 = 4;
/// Quantile that stands for the usual response times.
const USUAL_QUANTILE: f64 = 0.99;
/// Weight of the samples from which on the distribution is significant.
const MIN_WEIGHT: f64 = 20.0;
/// Responses to later calls of the route without which a silent call is no stall.
const MIN_OVERTAKEN: usize = 8;
/// Responses of a route that are remembered one by one.
const REMEMBERED_RESPONSES: usize = 32;
/// Most time between two responses of a route that counts as progress, in milliseconds. A server
/// that freezes makes no progress, so that its calls do not grow older meanwhile.
const MAX_GAP_MS: u64 = 20;
/// Time for which the response time of a call counts that was taken for stalled but was answered.
const LATE_VALID: Duration = Duration::from_mins(5);
/// One in this many stalled calls is kept, so that a route with rare long calls is recognised.
const PROBE_INTERVAL: u32 = 8;

/// A call on a stalled connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StalledCall {
    /// Number of the call.
    pub id: u64,
    /// Time for which nothing has been received for it.
    pub silence: Duration,
    /// Whether it must be kept until its deadline even if it could be sent elsewhere, so that an
    /// answer shows that the detection was wrong.
    pub is_probe: bool,
}

/// A call in flight, alone on its connection.
#[derive(Clone, Debug)]
struct WatchedCall {
    route: RouteName,
    sent: Instant,
    /// When something was last received for the call, or when it was sent.
    silent_since: Instant,
    /// Progress of its route at that time.
    progress_mark: Duration,
    /// Calls that the server makes on its behalf at present.
    children: u32,
    is_stalled: bool,
}

/// A call that was answered.
#[derive(Clone, Copy, Debug)]
struct AnsweredCall {
    sent: Instant,
    duration: Duration,
}

/// Responses of one route.
#[derive(Clone, Debug, Default)]
struct RouteProgress {
    times: ResponseTimes,
    recent: VecDeque<AnsweredCall>,
    /// Time in which responses came, each gap counted up to [`MAX_GAP_MS`].
    progress: Duration,
    answered_at: Option<Instant>,
    /// Longest response time of a call that was taken for stalled, and when it was last confirmed.
    late: Option<(Duration, Instant)>,
    stalls: u32,
}

/// Decides for which calls in flight the connection is stalled.
///
/// Load pattern: a server with all slots in use that never responds to some requests, while it
/// serves those on other connections as usual. A connection carries one call at a time, so its
/// oldest call is its only one. The connection is stalled if
///
/// - the call has been silent for a multiple of the usual response times of its route and of
///   those of the calls that overtook it, counting only time in which responses came;
/// - enough calls of the route that were sent later were answered;
/// - the server makes no call of its own on behalf of the silent one at present.
///
/// A slow server raises the response times of the overtaking calls with those of the silent one.
/// A frozen server answers nothing, so that no time counts.
#[derive(Clone, Debug, Default)]
pub struct StallDetector {
    routes: HashMap<RouteName, RouteProgress>,
    calls: HashMap<u64, WatchedCall>,
}

impl StallDetector {
    /// Begins to watch a call that is sent now.
    pub fn begin(&mut self, id: u64, route: &RouteName, now: Instant) {
        let progress = self.routes.entry(route.clone()).or_default().progress;
        let call = WatchedCall {
            route: route.clone(),
            sent: now,
            silent_since: now,
            progress_mark: progress,
            children: 0,
            is_stalled: false,
        };
        self.calls.insert(id, call);
    }

    /// Notes that a part of the response was received.
    pub fn note_progress(&mut self, id: u64, now: Instant) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.silent_since = now;
            let route = self.routes.get(&call.route);
            call.progress_mark = route.map_or(Duration::ZERO, |route| route.progress);
        }
    }

    /// Notes that the server makes a call on behalf of this one, which therefore runs.
    pub fn begin_child(&mut self, id: u64) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.children += 1;
        }
    }

    /// Notes that such a call has ended.
    pub fn end_child(&mut self, id: u64, now: Instant) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.children = call.children.saturating_sub(1);
        }
        self.note_progress(id, now);
    }

    /// Ends the watch over a call; `is_answered` tells whether a whole response was received.
    pub fn finish(&mut self, id: u64, is_answered: bool, now: Instant) {
        let Some(call) = self.calls.remove(&id).filter(|_| is_answered) else {
            return;
        };
        let route = self.routes.entry(call.route).or_default();
        let answered = AnsweredCall {
            sent: call.sent,
            duration: now.saturating_duration_since(call.sent),
        };
        route.record(answered, call.is_stalled, now);
    }

    /// Returns the calls whose connections have stalled since the last check.
    #[must_use]
    pub fn check(&mut self, now: Instant) -> Vec<StalledCall> {
        let mut stalled = Vec::new();
        for (id, call) in &mut self.calls {
            let Some(route) = self.routes.get_mut(&call.route) else {
                continue;
            };
            if call.is_stalled || !route.is_stalled(call, now) {
                continue;
            }
            call.is_stalled = true;
            route.stalls = route.stalls.wrapping_add(1);
            stalled.push(StalledCall {
                id: *id,
                silence: now.saturating_duration_since(call.silent_since),
                is_probe: route.stalls.is_multiple_of(PROBE_INTERVAL),
            });
        }
        stalled
    }

    /// Forgets all response times, for when the server was replaced.
    pub fn reset(&mut self) {
        for route in self.routes.values_mut() {
            let progress = route.progress;
            *route = RouteProgress {
                progress,
                ..RouteProgress::default()
            };
        }
    }
}

impl RouteProgress {
    fn record(&mut self, answered: AnsweredCall, was_stalled: bool, now: Instant) {
        let last = self.answered_at.replace(now).unwrap_or(now);
        let gap = now.saturating_duration_since(last);
        self.progress += gap.min(Duration::from_millis(MAX_GAP_MS));
        self.times.record(answered.duration, now);
        if self.recent.len() >= REMEMBERED_RESPONSES {
            self.recent.pop_front();
        }
        self.recent.push_back(answered);
        let longest = self.late_at(now).unwrap_or_default();
        let is_similar = !longest.is_zero() && answered.duration >= longest / 2;
        if was_stalled || is_similar {
            self.late = Some((longest.max(answered.duration), now));
        }
    }

    /// Returns the longest response time of a call that was wrongly taken for stalled.
    fn late_at(&self, now: Instant) -> Option<Duration> {
        let (longest, confirmed_at) = self.late?;
        (now.saturating_duration_since(confirmed_at) < LATE_VALID).then_some(longest)
    }

    /// Returns the silence after which a call is overdue; `None` while too little is known.
    fn overdue_after(&self, now: Instant) -> Option<Duration> {
        if self.times.weight() < MIN_WEIGHT {
            return None;
        }
        let usual = self.times.quantile(USUAL_QUANTILE)?;
        let longest = usual.max(self.late_at(now).unwrap_or_default());
        Some((longest * SILENCE_FACTOR).max(Duration::from_millis(MIN_SILENCE_MS)))
    }

    fn is_stalled(&self, call: &WatchedCall, now: Instant) -> bool {
        let silence = self.progress.saturating_sub(call.progress_mark);
        let silence = silence.min(now.saturating_duration_since(call.silent_since));
        if call.children > 0 || self.overdue_after(now).is_none_or(|limit| silence < limit) {
            return false;
        }
        let later = self.recent.iter();
        let later = later.filter(|answered| answered.sent > call.silent_since);
        let (mut count, mut longest) = (0, Duration::ZERO);
        for answered in later {
            count += 1;
            longest = longest.max(answered.duration);
        }
        count >= MIN_OVERTAKEN && silence >= longest * SILENCE_FACTOR
    }
}
