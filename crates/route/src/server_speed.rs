//! Present speed of a backend server, from the pace that it reports and from its response times.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use model::context::ServerPace;
use model::ids::RouteName;

/// Time for which a reported pace counts, in milliseconds. Other work on the instance of a server
/// begins and ends several times a second.
const PACE_VALID_MS: u64 = 400;
/// Time constant with which the response times of a server lose their weight, in seconds. A node
/// that sends one call a second needs several seconds for a usable mean.
const RESPONSE_TIME_CONSTANT_S: f64 = 6.0;
/// Responses of average duration that are assumed besides the measured ones, so that a few slow ones
/// change little and the speed of a server without calls returns to the usual one.
const ASSUMED_RESPONSES: f64 = 16.0;
/// Largest counted multiple of the mean response time. One response may have waited for other causes.
const RESPONSE_RATIO_MAX: f64 = 5.0;
/// Smallest and largest speed. With the smallest, a server still gets calls when the others are full.
const SPEED_MIN: f64 = 0.1;
const SPEED_MAX: f64 = 4.0;
/// Time constant of the mean response time of a route over all servers, in seconds.
const ROUTE_TIME_CONSTANT_S: f64 = 10.0;

/// Sum of values whose weight decays with their age.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingSum {
    sum: f64,
    count: f64,
    updated_at: Option<Instant>,
}

impl DecayingSum {
    fn add(&mut self, value: f64, time_constant_s: f64, now: Instant) {
        let weight = self.weight(time_constant_s, now);
        self.sum = self.sum * weight + value;
        self.count = self.count * weight + 1.0;
        self.updated_at = Some(now);
    }

    /// Returns the mean of the values and of `assumed` values of 1.
    fn mean_with(&self, assumed: f64, time_constant_s: f64, now: Instant) -> f64 {
        let weight = self.weight(time_constant_s, now);
        (self.sum * weight + assumed) / (self.count * weight + assumed)
    }

    fn weight(&self, time_constant_s: f64, now: Instant) -> f64 {
        let age = self
            .updated_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        (-age.as_secs_f64() / time_constant_s).exp()
    }
}

/// Present speed of one backend server: 1.0 is usual, 0.4 means that work takes 2.5 times as long.
///
/// The response times tell how the server compares with its peers in the last seconds; they are
/// compared with the pace that it reported meanwhile, so that a server whose pace does not agree with
/// its responses is soon treated as its responses suggest. A recent pace then tells how the present
/// moment differs from those seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerSpeed {
    pace: Option<(ServerPace, Instant)>,
    response_ratios: DecayingSum,
    slowdowns: DecayingSum,
}

impl ServerSpeed {
    /// Notes a pace that the server reported at `now`.
    pub const fn note_pace(&mut self, pace: ServerPace, now: Instant) {
        self.pace = Some((pace, now));
    }

    /// Notes a response time as a multiple of the mean of its route at all servers, and the pace
    /// that came with the response. A ratio that is not a positive number is ignored.
    pub fn note_response(&mut self, ratio: f64, pace: Option<ServerPace>, now: Instant) {
        if !ratio.is_finite() || ratio <= 0.0 {
            return;
        }
        let time_constant_s = RESPONSE_TIME_CONSTANT_S;
        let ratio = ratio.min(RESPONSE_RATIO_MAX);
        self.response_ratios.add(ratio, time_constant_s, now);
        let slowdown = pace.map_or(1.0, bounded_slowdown);
        self.slowdowns.add(slowdown, time_constant_s, now);
    }

    /// Returns the speed; `None` if neither a recent pace nor a response time is known.
    #[must_use]
    pub fn at(&self, now: Instant) -> Option<f64> {
        let pace = self.recent_pace(now);
        if pace.is_none() && self.response_ratios.updated_at.is_none() {
            return None;
        }
        let mean =
            |sum: &DecayingSum| sum.mean_with(ASSUMED_RESPONSES, RESPONSE_TIME_CONSTANT_S, now);
        let slowdown = pace.map_or(1.0, |pace| bounded_slowdown(pace) / mean(&self.slowdowns));
        let duration = mean(&self.response_ratios) * slowdown;
        Some((1.0 / duration).clamp(SPEED_MIN, SPEED_MAX))
    }

    fn recent_pace(&self, now: Instant) -> Option<ServerPace> {
        let (pace, reported_at) = self.pace?;
        let valid = Duration::from_millis(PACE_VALID_MS);
        (now.saturating_duration_since(reported_at) < valid).then_some(pace)
    }
}

fn bounded_slowdown(pace: ServerPace) -> f64 {
    1.0 / pace.speed()
}

/// Mean response time of each route over all servers of a service.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteTimes {
    means: HashMap<RouteName, DecayingSum>,
}

impl RouteTimes {
    /// Adds a response time, and returns it as a multiple of the mean.
    pub(crate) fn add(&mut self, route: &RouteName, took: Duration, now: Instant) -> f64 {
        let mean = self.means.entry(route.clone()).or_default();
        mean.add(took.as_secs_f64(), ROUTE_TIME_CONSTANT_S, now);
        took.as_secs_f64() * mean.count / mean.sum
    }
}
