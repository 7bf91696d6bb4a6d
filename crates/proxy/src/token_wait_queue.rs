//! Queue of requests that wait for a token of their team, borrowed from the leader.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use fleet::LentTokens;
use fleet::TeamTokens;
use limit::TakenToken;
use model::ids::TeamName;
use tokio::sync::oneshot;

/// Time for which requests of a team without tokens are refused at once, in milliseconds.
const EXHAUSTED_MS: u64 = 100;
/// Time after which an unanswered token request is sent again, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 300;
/// Time after which tokens are requested again from a leader that lent fewer although the team may
/// be within its limit, in milliseconds.
const PARTIAL_RETRY_MS: u64 = 30;
/// Longest time from a token request to its answer in which the tokens are of use, in milliseconds.
const MAX_LOAN_AGE_MS: u64 = 1_000;

/// The token that a waiting request was granted; `None` if its team has used up its rate.
pub type GrantedToken = Option<TakenToken>;

#[derive(Debug, Default)]
struct TeamQueue {
    waiters: VecDeque<oneshot::Sender<GrantedToken>>,
    /// Tokens in the last token request.
    requested: u32,
    exhausted_until: Option<Instant>,
}

impl TeamQueue {
    /// Refuses the waiting requests, and those that arrive soon, since the team has used up its
    /// rate.
    fn refuse_all(&mut self, now: Instant) {
        self.exhausted_until = Some(now + Duration::from_millis(EXHAUSTED_MS));
        for waiter in self.waiters.drain(..) {
            // Sending fails when the request was cancelled meanwhile, and is not needed then.
            let _ = waiter.send(None);
        }
    }
}

/// Requests of each team that wait for a token.
///
/// Load pattern: many teams with low rates on many nodes, where most requests find no token at
/// their node. Only one token request is in flight at a time and it covers all teams, so the
/// number of messages does not grow with the number of requests.
#[derive(Debug, Default)]
pub struct TokenWaitQueue {
    teams: HashMap<TeamName, TeamQueue>,
    /// Time until which no further tokens are requested.
    requested_until: Option<Instant>,
}

impl TokenWaitQueue {
    /// Queues a request; returns `None` when its team has just used up its rate.
    pub fn enqueue(
        &mut self,
        team: &TeamName,
        now: Instant,
    ) -> Option<oneshot::Receiver<GrantedToken>> {
        let queue = self.teams.entry(team.clone()).or_default();
        if queue.exhausted_until.is_some_and(|until| now < until) {
            return None;
        }
        let (sender, waiter) = oneshot::channel();
        queue.waiters.push_back(sender);
        Some(waiter)
    }

    /// Returns the tokens to request now, or `None` while a token request is in flight or no
    /// request waits.
    ///
    /// `extra` returns how many tokens to request for a team beyond those of waiting requests.
    pub fn next_request(
        &mut self,
        extra: impl Fn(&TeamName) -> u32,
        now: Instant,
    ) -> Option<Vec<TeamTokens>> {
        if self.requested_until.is_some_and(|until| now < until) {
            return None;
        }
        let mut requested = Vec::new();
        for (team, queue) in &mut self.teams {
            queue.waiters.retain(|waiter| !waiter.is_closed());
            let waiting = u32::try_from(queue.waiters.len()).unwrap_or(u32::MAX);
            if waiting > 0 {
                queue.requested = waiting.saturating_add(extra(team));
                requested.push(TeamTokens {
                    team: team.clone(),
                    tokens: queue.requested,
                });
            }
        }
        if requested.is_empty() {
            return None;
        }
        self.requested_until = Some(now + Duration::from_millis(REQUEST_TIMEOUT_MS));
        Some(requested)
    }

    /// Returns the time until the next token request is due, or `None` while no request waits.
    ///
    /// Waiting requests may get no answer, or fewer tokens than they need from a leader that does
    /// not know all nodes yet; no message would cause another token request then.
    #[must_use]
    pub fn next_request_delay(&self, now: Instant) -> Option<Duration> {
        let mut waiters = self.teams.values().flat_map(|queue| &queue.waiters);
        let is_awaited = waiters.any(|waiter| !waiter.is_closed());
        let until = self.requested_until.unwrap_or(now);
        is_awaited.then(|| until.saturating_duration_since(now))
    }

    /// Distributes the borrowed tokens to waiting requests; returns those that none waits for.
    ///
    /// If they were lent up to the limit, a team that got fewer tokens than requested has used up
    /// its rate, so its other requests are refused. Otherwise these go on waiting.
    pub fn distribute(&mut self, borrowed: LentTokens, now: Instant) -> Vec<TeamTokens> {
        let LentTokens {
            tokens,
            up_to_limit,
        } = borrowed;
        self.requested_until =
            (!up_to_limit).then(|| now + Duration::from_millis(PARTIAL_RETRY_MS));
        let mut unused = Vec::new();
        for mut borrowed in tokens {
            let queue = self.teams.entry(borrowed.team.clone()).or_default();
            let is_exhausted = up_to_limit && borrowed.tokens < queue.requested;
            while borrowed.tokens > 0
                && let Some(waiter) = queue.waiters.pop_front()
            {
                // When a request was cancelled meanwhile, the next one gets its token.
                borrowed.tokens -= u32::from(waiter.send(Some(TakenToken::borrowed(now))).is_ok());
            }
            if is_exhausted {
                queue.refuse_all(now);
            }
            if borrowed.tokens > 0 {
                unused.push(borrowed);
            }
        }
        unused
    }

    /// Forgets the token request in flight, since its connection was lost.
    pub fn forget_request(&mut self) {
        self.requested_until = None;
    }
}

/// Returns a loan without its tokens if it was requested too long ago.
///
/// The leader counts tokens as spent when it lends them. At a node that was frozen or cut off they
/// would come on top of what is lent seconds later. Requests that wait go on waiting.
#[must_use]
pub fn drop_late_loan(mut borrowed: LentTokens, age: Duration) -> LentTokens {
    if age > Duration::from_millis(MAX_LOAN_AGE_MS) {
        borrowed.up_to_limit = false;
        for team in &mut borrowed.tokens {
            team.tokens = 0;
        }
    }
    borrowed
}
