//! Requests that wait for a token of their team from the leader.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use fleet::TeamTokens;
use model::ids::TeamName;
use tokio::sync::oneshot;

/// Time for which a team that was at its limit is not asked for again, in milliseconds.
const DRY_MS: u64 = 100;
/// Time after which an ask without an answer is repeated, in milliseconds.
const ANSWER_MS: u64 = 300;

/// Whether a request that waited got its token.
pub type TokenOutcome = bool;

#[derive(Debug, Default)]
struct TeamQueue {
    waiters: VecDeque<oneshot::Sender<TokenOutcome>>,
    /// Tokens asked for last.
    asked: u32,
    dry_until: Option<Instant>,
}

impl TeamQueue {
    /// Refuses those who wait, and who come soon, since the team is at its limit.
    fn refuse_all(&mut self, now: Instant) {
        self.dry_until = Some(now + Duration::from_millis(DRY_MS));
        for waiter in self.waiters.drain(..) {
            // Who gave up meanwhile needs no answer.
            let _ = waiter.send(false);
        }
    }
}

/// Requests that wait, by team.
///
/// Load pattern: many small teams at many nodes, so that most requests find no
/// token at their node. One ask is under way at a time and carries what all
/// teams need, so the number of messages does not grow with the requests.
#[derive(Debug, Default)]
pub struct TokenDesk {
    teams: HashMap<TeamName, TeamQueue>,
    asked_at: Option<Instant>,
}

impl TokenDesk {
    /// Queues a request; none when its team is known to be at its limit.
    pub fn wait(
        &mut self,
        team: &TeamName,
        now: Instant,
    ) -> Option<oneshot::Receiver<TokenOutcome>> {
        let queue = self.teams.entry(team.clone()).or_default();
        if queue.dry_until.is_some_and(|until| now < until) {
            return None;
        }
        let (sender, waiter) = oneshot::channel();
        queue.waiters.push_back(sender);
        Some(waiter)
    }

    /// Returns what to ask for now, none while an ask is under way or nobody waits.
    ///
    /// `ahead` says how many more tokens a team will need soon.
    pub fn next_ask(
        &mut self,
        ahead: impl Fn(&TeamName) -> u32,
        now: Instant,
    ) -> Option<Vec<TeamTokens>> {
        let limit = Duration::from_millis(ANSWER_MS);
        if self.asked_at.is_some_and(|at| now < at + limit) {
            return None;
        }
        let mut asked = Vec::new();
        for (team, queue) in &mut self.teams {
            queue.waiters.retain(|waiter| !waiter.is_closed());
            let waiting = u32::try_from(queue.waiters.len()).unwrap_or(u32::MAX);
            if waiting > 0 {
                queue.asked = waiting.saturating_add(ahead(team));
                asked.push(TeamTokens {
                    team: team.clone(),
                    tokens: queue.asked,
                });
            }
        }
        if asked.is_empty() {
            return None;
        }
        self.asked_at = Some(now);
        Some(asked)
    }

    /// Hands out what was lent; returns the tokens that nobody waits for any more.
    pub fn take(&mut self, lent: Vec<TeamTokens>, now: Instant) -> Vec<TeamTokens> {
        self.asked_at = None;
        let mut spare = Vec::new();
        for mut lent in lent {
            let queue = self.teams.entry(lent.team.clone()).or_default();
            let is_dry = lent.tokens < queue.asked;
            while lent.tokens > 0
                && let Some(waiter) = queue.waiters.pop_front()
            {
                // Who gave up meanwhile leaves the token to the next.
                lent.tokens -= u32::from(waiter.send(true).is_ok());
            }
            if is_dry {
                queue.refuse_all(now);
            }
            if lent.tokens > 0 {
                spare.push(lent);
            }
        }
        spare
    }

    /// Forgets an ask whose link was lost.
    pub fn link_lost(&mut self) {
        self.asked_at = None;
    }
}
