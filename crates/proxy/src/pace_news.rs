//! Decides which paces of the local backend server other nodes are told at once.

use std::time::Duration;
use std::time::Instant;

use model::context::ServerPace;

/// Ratio of two paces from which on they are treated as different.
const CHANGE_RATIO: f64 = 1.2;
/// Time after which an unusual pace is announced again, in milliseconds; other nodes use one for
/// 400 ms.
const REPEAT_MS: u64 = 200;
/// Least time between two announcements, in milliseconds, so that a pace that changes with every
/// response costs the links little.
const SPACING_MS: u64 = 20;
/// Least time between two log lines on the pace, in milliseconds.
const LOG_SPACING_MS: u64 = 1_000;

/// A pace is announced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct PaceDecision {
    /// Whether the announcement is logged too.
    pub(crate) is_logged: bool,
}

/// The announcements of one backend server's pace.
///
/// A node that sends few calls to each of many servers would otherwise learn of a slow server only
/// when the server is fast again.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PaceNews {
    announced: Option<(ServerPace, Instant)>,
    logged_at: Option<Instant>,
}

impl PaceNews {
    /// Decides whether a reported pace is announced; `None` if not.
    pub(crate) fn decide(&mut self, pace: ServerPace, now: Instant) -> Option<PaceDecision> {
        let last = self.announced;
        let known = last.map_or(ServerPace::USUAL, |(known, _)| known);
        let is_changed = differ(pace, known);
        let has_passed = |since: Option<Instant>, span_ms| {
            since.is_none_or(|at| now >= at + Duration::from_millis(span_ms))
        };
        let announced_at = last.map(|(_, at)| at);
        let is_repeated = differ(pace, ServerPace::USUAL) && has_passed(announced_at, REPEAT_MS);
        let is_due = is_changed && has_passed(announced_at, SPACING_MS);
        if !is_due && !is_repeated {
            return None;
        }
        self.announced = Some((pace, now));
        let is_logged = is_changed && has_passed(self.logged_at, LOG_SPACING_MS);
        if is_logged {
            self.logged_at = Some(now);
        }
        Some(PaceDecision { is_logged })
    }
}

fn differ(a: ServerPace, b: ServerPace) -> bool {
    let ratio = a.slowdown() / b.slowdown();
    !(1.0 / CHANGE_RATIO..=CHANGE_RATIO).contains(&ratio)
}
