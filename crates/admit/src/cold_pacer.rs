//! Pacer for a backend server that tolerates only a limited rate of requests while it is cold.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Length of the window over which requests are counted, in seconds.
const WINDOW_S: f64 = 1.0;
/// Most requests in one window; bounds the memory of the pacer.
const WINDOW_REQUESTS_MAX: f64 = 65_536.0;
/// Lowest rate, in requests per second; a lower one would not fit into a [`Duration`].
const RATE_MIN_PER_S: f64 = 1e-6;
/// Part of the slack that one burst may use. Requests do not take equally long to reach the
/// server, so that the end of one window and the beginning of the next may arrive together.
const BURST_SLACK_FRACTION: f64 = 0.5;

/// At most `count` requests within any interval of `length`.
#[derive(Clone, Copy, Debug, PartialEq)]
struct WindowRule {
    count: usize,
    length: Duration,
}

impl WindowRule {
    /// Creates the rule for `rate_per_s` with about `count` requests, at least one.
    fn new(count: f64, shortest_s: f64, rate_per_s: f64) -> Self {
        let count = count.floor().clamp(1.0, WINDOW_REQUESTS_MAX);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the count is clamped to a small range"
        )]
        Self {
            count: count as usize,
            length: Duration::from_secs_f64((count / rate_per_s).max(shortest_s)),
        }
    }
}

/// Rate of requests that a cold backend server tolerates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceLimit {
    rate_per_s: f64,
    /// The requests of one second.
    window: WindowRule,
    /// The requests that may be sent at once.
    burst: WindowRule,
}

impl PaceLimit {
    /// Creates a limit of `rate_per_s` with `slack` further requests in any one second.
    ///
    /// No window is planned to use the slack. It covers requests that were under way when the
    /// server became cold, and differences of the time that requests take to reach the server.
    #[must_use]
    pub fn new(rate_per_s: f64, slack: f64) -> Self {
        let rate_per_s = rate_per_s.clamp(RATE_MIN_PER_S, WINDOW_REQUESTS_MAX);
        let per_window = (rate_per_s * WINDOW_S).floor().max(1.0);
        let burst = (slack * BURST_SLACK_FRACTION).min(per_window);
        Self {
            rate_per_s,
            window: WindowRule::new(per_window, WINDOW_S, rate_per_s),
            burst: WindowRule::new(burst, 0.0, rate_per_s),
        }
    }

    /// Returns the requests per second.
    #[must_use]
    pub const fn rate_per_s(&self) -> f64 {
        self.rate_per_s
    }
}

/// Decides when the next request may be sent to a backend server that may be cold.
///
/// Load pattern: a server that runs hundreds of requests per second becomes cold without notice
/// and crashes when it receives more than a few tens. Requests are recorded while the server is
/// warm too, so that those of the last second count from the moment at which it becomes cold.
#[derive(Clone, Debug)]
pub struct ColdPacer {
    limit: PaceLimit,
    cold_until: Option<Instant>,
    /// Times of the last requests, as many as one window may hold, the oldest first.
    sent: VecDeque<Instant>,
    /// Any number of requests may have been sent up to this time.
    unknown_until: Instant,
}

impl ColdPacer {
    /// Creates a pacer for a server that may have received any number of requests before `now`,
    /// from an earlier process too.
    #[must_use]
    pub const fn new(limit: PaceLimit, now: Instant) -> Self {
        Self {
            limit,
            cold_until: None,
            sent: VecDeque::new(),
            unknown_until: now,
        }
    }

    /// Returns the limit.
    #[must_use]
    pub const fn limit(&self) -> PaceLimit {
        self.limit
    }

    /// Changes the limit; the requests sent so far still count.
    pub fn set_limit(&mut self, limit: PaceLimit) {
        self.limit = limit;
        self.forget_oldest();
    }

    /// Sets the time until which the server is cold.
    pub const fn set_cold_until(&mut self, cold_until: Option<Instant>) {
        self.cold_until = cold_until;
    }

    /// Returns whether the server is cold.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Records a request that is sent.
    pub fn record(&mut self, now: Instant) {
        let last = self.sent.back().copied().unwrap_or(self.unknown_until);
        self.sent.push_back(now.max(last));
        self.forget_oldest();
    }

    /// Returns the time from which the next request may be sent.
    #[must_use]
    pub fn next_at(&self, now: Instant) -> Instant {
        now + self.expected_delay(0, now)
    }

    /// Returns the expected delay of a request behind `ahead` others that wait.
    #[must_use]
    pub fn expected_delay(&self, ahead: usize, now: Instant) -> Duration {
        let Some(cold_until) = self.cold_until else {
            return Duration::ZERO;
        };
        let window = self.delay_by(self.limit.window, ahead, now);
        let burst = self.delay_by(self.limit.burst, ahead, now);
        let cold_left = cold_until.saturating_duration_since(now);
        window.max(burst).min(cold_left)
    }

    /// Returns the delay that one rule causes; `ahead` requests are sent as soon as it allows.
    fn delay_by(&self, rule: WindowRule, ahead: usize, now: Instant) -> Duration {
        let rounds = ahead / rule.count;
        let freed = self.last_but(rule.count - ahead % rule.count) + rule.length;
        let first = freed.saturating_duration_since(now);
        first + rule.length.mul_f64(rounds as f64)
    }

    /// Returns the time of the `count`-th last request, the last one being the first.
    fn last_but(&self, count: usize) -> Instant {
        let position = self.sent.len().checked_sub(count);
        position.map_or(self.unknown_until, |position| self.sent[position])
    }

    fn forget_oldest(&mut self) {
        while self.sent.len() > self.limit.window.count {
            if let Some(oldest) = self.sent.pop_front() {
                self.unknown_until = oldest;
            }
        }
    }
}
