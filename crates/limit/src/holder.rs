//! Tokens of one team that a node holds.

use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use model::exchange::TokenDemand;
use model::exchange::TokenGrant;
use model::ids::TeamName;

use crate::CALL_COST_MILLI;
use crate::arrival_rate::ArrivalRateMeter;
use crate::leased_tokens::LeasedTokens;

/// Outcome of [`TokenHolder::take`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TakeOutcome {
    /// A token was spent; the call may proceed.
    Taken,
    /// The node holds no token.
    NoToken {
        /// Whether the node must send [`TokenHolder::demand`] at once.
        ask_now: bool,
        /// Delay after which to try again. Zero while an answer from the
        /// allocator is pending; otherwise the team is above its limit and the
        /// call may be refused.
        retry_after: Duration,
    },
}

/// Outcome of [`TokenHolder::accept`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GrantOutcome {
    /// The grant answers no open demand, or its lease has expired.
    Ignored,
    /// The tokens were added; waiting calls may try again.
    Accepted {
        /// Whether more calls found no token after the demand was made, so that
        /// the node must send the next one at once.
        ask_now: bool,
    },
}

/// Holds one team's tokens at a node and decides how many to ask for.
///
/// At most one demand is open at a time. It is repeated unchanged until its
/// grant arrives, so that loss, duplication and reordering of messages cannot
/// count a token twice. See `docs/LIMITS.md`.
#[derive(Clone, Debug)]
pub struct TokenHolder<C> {
    clock: C,
    team: TeamName,
    prefetch_horizon: Duration,
    term: u64,
    held: LeasedTokens,
    /// Tokens from a previous allocator that the present one has not counted yet.
    carried_over: LeasedTokens,
    sequence: u64,
    open_demand: Option<TokenDemand>,
    spent_milli: u64,
    spent_at: Instant,
    waiting_calls: u64,
    retry_at: Option<Instant>,
    /// Whether a new allocator has yet to learn what is held here.
    report_due: bool,
    arrival_rate: ArrivalRateMeter,
}

impl<C: Clock> TokenHolder<C> {
    /// Creates a holder without tokens.
    ///
    /// It fetches tokens in advance for the calls expected within `prefetch_horizon`, which
    /// should be about twice the period of the exchange with the allocator.
    #[must_use]
    pub fn new(team: TeamName, prefetch_horizon: Duration, clock: C) -> Self {
        Self {
            team,
            prefetch_horizon,
            term: 0,
            held: LeasedTokens::default(),
            carried_over: LeasedTokens::default(),
            sequence: 0,
            open_demand: None,
            spent_milli: 0,
            spent_at: clock.now(),
            waiting_calls: 0,
            retry_at: None,
            report_due: false,
            arrival_rate: ArrivalRateMeter::new(clock.now()),
            clock,
        }
    }

    /// Spends a token for a new call.
    pub fn take(&mut self) -> TakeOutcome {
        let now = self.clock.now();
        self.arrival_rate.record();
        self.take_at(now)
    }

    /// Spends a token for a call for which [`Self::take`] found none.
    pub fn retry_take(&mut self) -> TakeOutcome {
        let now = self.clock.now();
        self.take_at(now)
    }

    fn take_at(&mut self, now: Instant) -> TakeOutcome {
        self.drop_expired(now);
        if self.carried_over.spend_one() || self.held.spend_one() {
            self.spent_milli += CALL_COST_MILLI;
            self.spent_at = now;
            return TakeOutcome::Taken;
        }
        let retry_at = self.retry_at.filter(|retry_at| now < *retry_at);
        if let (Some(retry_at), None) = (retry_at, &self.open_demand) {
            return TakeOutcome::NoToken {
                ask_now: false,
                retry_after: retry_at - now,
            };
        }
        self.waiting_calls += 1;
        TakeOutcome::NoToken {
            ask_now: self.open_demand.is_none(),
            retry_after: Duration::ZERO,
        }
    }

    /// Returns the open demand, or makes a new one if there is anything to request or report.
    ///
    /// Call it for every exchange, and at once when `ask_now` is set.
    pub fn demand(&mut self) -> Option<TokenDemand> {
        let now = self.clock.now();
        self.drop_expired(now);
        if self.open_demand.is_none() {
            self.open_demand = self.next_demand(now);
        }
        self.open_demand.clone()
    }

    fn next_demand(&mut self, now: Instant) -> Option<TokenDemand> {
        self.arrival_rate.sample(now);
        let urgent_milli = self.waiting_calls * CALL_COST_MILLI;
        let held_milli = self.held.amount_milli + self.carried_over.amount_milli;
        let target_milli =
            self.arrival_rate.expected_calls(self.prefetch_horizon) * CALL_COST_MILLI;
        let prefetch_milli = target_milli.saturating_sub(held_milli);
        let want_milli = urgent_milli + prefetch_milli;
        let idle_milli = self
            .held
            .amount_milli
            .min(held_milli.saturating_sub(target_milli));
        let returned_milli = if urgent_milli == 0 { idle_milli } else { 0 };
        let nothing_to_send = want_milli == 0 && held_milli == 0 && self.spent_milli == 0;
        if nothing_to_send && !self.report_due {
            return None;
        }
        self.held.amount_milli -= returned_milli;
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

    /// Adds the tokens of a grant, which expire at `lease_end`.
    ///
    /// `lease_end` must count from when the node sent the very message that
    /// this grant answers.
    pub fn accept(&mut self, grant: &TokenGrant, lease_end: Instant) -> GrantOutcome {
        let now = self.clock.now();
        self.drop_expired(now);
        let Some(open) = self.matching_demand(grant).filter(|_| now < lease_end) else {
            return GrantOutcome::Ignored;
        };
        self.open_demand = None;
        self.report_due = open.term != grant.term;
        if open.term == grant.term {
            self.held.amount_milli += self.carried_over.take_all();
        } else {
            self.carried_over.merge(self.held);
            self.held = LeasedTokens::default();
        }
        self.term = grant.term;
        self.held.amount_milli += grant.granted_milli;
        self.held.lease_end = self.held.lease_end.max(Some(lease_end));
        self.retry_at = grant.retry_after.map(|delay| now + delay);
        GrantOutcome::Accepted {
            ask_now: self.waiting_calls > 0,
        }
    }

    /// Returns the open demand when `grant` answers it.
    fn matching_demand(&self, grant: &TokenGrant) -> Option<TokenDemand> {
        let open = self.open_demand.as_ref();
        let answered =
            open.filter(|open| open.sequence == grant.sequence && grant.term >= self.term);
        answered.cloned()
    }

    /// Drops all tokens, as the node must when its lease expires.
    ///
    /// The open demand is dropped too, so a grant that still arrives for it is
    /// ignored.
    pub fn lease_ended(&mut self) {
        self.held = LeasedTokens::default();
        self.carried_over = LeasedTokens::default();
        self.open_demand = None;
        self.waiting_calls = 0;
    }

    fn drop_expired(&mut self, now: Instant) {
        self.held.drop_expired(now);
        self.carried_over.drop_expired(now);
    }

    /// Returns the tokens held now, in thousandths of a token.
    #[must_use]
    pub fn held_milli(&self) -> u64 {
        let now = self.clock.now();
        self.held.valid_at(now) + self.carried_over.valid_at(now)
    }

    /// Returns whether a demand is waiting for its grant.
    #[must_use]
    pub fn has_open_demand(&self) -> bool {
        self.open_demand.is_some()
    }
}
