//! One team's tokens at one node.

use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use model::exchange::TokenDemand;
use model::exchange::TokenGrant;
use model::ids::TeamName;

use crate::CALL_MILLI;
use crate::demand::DemandMeter;
use crate::pot::TokenPot;

/// Outcome of [`TokenHolder::take`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TakeOutcome {
    /// A token was spent; the call may enter.
    Taken,
    /// No token is here.
    Dry {
        /// Whether the node must send [`TokenHolder::demand`] at once.
        ask_now: bool,
        /// Delay after which to try again: zero while an answer of the owner is
        /// awaited, otherwise the team is above its limit and may be refused.
        retry_after: Duration,
    },
}

/// Outcome of [`TokenHolder::accept`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GrantEffect {
    /// The grant answers no open demand, or its lease has passed.
    Ignored,
    /// The tokens are here; waiting calls may take again.
    Held {
        /// Whether calls became dry after the demand was made, so that the node
        /// must send the next one at once.
        ask_now: bool,
    },
}

/// Holds one team's tokens at a node and decides what to ask for.
///
/// At most one demand is open at a time. It is repeated unchanged until its
/// grant arrives, so that loss, duplication and reordering of messages cannot
/// count a token twice. See `docs/LIMITS.md`, "Exact escrow".
#[derive(Clone, Debug)]
pub struct TokenHolder<C> {
    clock: C,
    team: TeamName,
    ahead: Duration,
    term: u64,
    held: TokenPot,
    /// Tokens of an earlier owner that the present one has not yet counted.
    inherited: TokenPot,
    sequence: u64,
    open: Option<TokenDemand>,
    spent_milli: u64,
    spent_at: Instant,
    waiting_calls: u64,
    closed_until: Option<Instant>,
    /// Whether a new owner does not know yet what is held here.
    report_due: bool,
    meter: DemandMeter,
}

impl<C: Clock> TokenHolder<C> {
    /// Creates a holder without tokens that fetches for the time `ahead`,
    /// which should be about twice the period of the exchange.
    #[must_use]
    pub fn new(team: TeamName, ahead: Duration, clock: C) -> Self {
        Self {
            team,
            ahead,
            term: 0,
            held: TokenPot::default(),
            inherited: TokenPot::default(),
            sequence: 0,
            open: None,
            spent_milli: 0,
            spent_at: clock.now(),
            waiting_calls: 0,
            closed_until: None,
            report_due: false,
            meter: DemandMeter::new(clock.now()),
            clock,
        }
    }

    /// Spends a token for a call that enters now.
    pub fn take(&mut self) -> TakeOutcome {
        let now = self.clock.now();
        self.meter.record();
        self.take_at(now)
    }

    /// Tries again for a call whose earlier [`Self::take`] found no token.
    pub fn retake(&mut self) -> TakeOutcome {
        let now = self.clock.now();
        self.take_at(now)
    }

    fn take_at(&mut self, now: Instant) -> TakeOutcome {
        self.drop_expired(now);
        if self.inherited.spend() || self.held.spend() {
            self.spent_milli += CALL_MILLI;
            self.spent_at = now;
            return TakeOutcome::Taken;
        }
        let closed = self.closed_until.filter(|until| now < *until);
        if let (Some(until), None) = (closed, &self.open) {
            return TakeOutcome::Dry {
                ask_now: false,
                retry_after: until - now,
            };
        }
        self.waiting_calls += 1;
        TakeOutcome::Dry {
            ask_now: self.open.is_none(),
            retry_after: Duration::ZERO,
        }
    }

    /// Returns the open demand, or makes a new one when there is something to say.
    ///
    /// Call it for every exchange, and at once when told to ask now.
    pub fn demand(&mut self) -> Option<TokenDemand> {
        let now = self.clock.now();
        self.drop_expired(now);
        if self.open.is_none() {
            self.open = self.next_demand(now);
        }
        self.open.clone()
    }

    fn next_demand(&mut self, now: Instant) -> Option<TokenDemand> {
        self.meter.sample(now);
        let urgent_milli = self.waiting_calls * CALL_MILLI;
        let held_milli = self.held.milli + self.inherited.milli;
        let target_milli = self.meter.expected_calls(self.ahead) * CALL_MILLI;
        let ahead_milli = target_milli.saturating_sub(held_milli);
        let want_milli = urgent_milli + ahead_milli;
        let idle_milli = self.held.milli.min(held_milli.saturating_sub(target_milli));
        let returned_milli = if urgent_milli == 0 { idle_milli } else { 0 };
        let silent = want_milli == 0 && held_milli == 0 && self.spent_milli == 0;
        if silent && !self.report_due {
            return None;
        }
        self.held.milli -= returned_milli;
        self.waiting_calls = 0;
        self.sequence += 1;
        Some(TokenDemand {
            team: self.team.clone(),
            sequence: self.sequence,
            want_milli,
            returned_milli,
            spent_milli: std::mem::take(&mut self.spent_milli),
            spent_age: now.saturating_duration_since(self.spent_at),
            term: self.term,
            held_milli: held_milli - returned_milli,
            urgent_milli,
        })
    }

    /// Takes over a grant, which dies at `lease_end`.
    ///
    /// `lease_end` must count from when the node sent the very message that
    /// this grant answers.
    pub fn accept(&mut self, grant: &TokenGrant, lease_end: Instant) -> GrantEffect {
        let now = self.clock.now();
        self.drop_expired(now);
        let Some(open) = self.answered_by(grant).filter(|_| now < lease_end) else {
            return GrantEffect::Ignored;
        };
        self.open = None;
        self.report_due = open.term != grant.term;
        if open.term == grant.term {
            self.held.milli += self.inherited.take();
        } else {
            self.inherited.merge(self.held);
            self.held = TokenPot::default();
        }
        self.term = grant.term;
        self.held.milli += grant.granted_milli;
        self.held.until = self.held.until.max(Some(lease_end));
        self.closed_until = grant.retry_after.map(|delay| now + delay);
        GrantEffect::Held {
            ask_now: self.waiting_calls > 0,
        }
    }

    /// Returns the open demand when `grant` answers it.
    fn answered_by(&self, grant: &TokenGrant) -> Option<TokenDemand> {
        let open = self.open.as_ref();
        let answered =
            open.filter(|open| open.sequence == grant.sequence && grant.term >= self.term);
        answered.cloned()
    }

    /// Drops all tokens, as the node must when its lease runs out.
    ///
    /// The open demand is given up too: its grant, if it still comes, is void.
    pub fn lease_ended(&mut self) {
        self.held = TokenPot::default();
        self.inherited = TokenPot::default();
        self.open = None;
        self.waiting_calls = 0;
    }

    fn drop_expired(&mut self, now: Instant) {
        self.held.drop_expired(now);
        self.inherited.drop_expired(now);
    }

    /// Returns the tokens held now, in thousandths of a call.
    #[must_use]
    pub fn held_milli(&self) -> u64 {
        let now = self.clock.now();
        self.held.alive(now) + self.inherited.alive(now)
    }

    /// Returns whether a demand waits for its grant.
    #[must_use]
    pub fn is_asking(&self) -> bool {
        self.open.is_some()
    }
}
