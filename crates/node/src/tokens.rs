//! Rate limit tokens of the teams, held locally and replenished by control.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use limit::GrantOutcome;
use limit::TakeOutcome;
use limit::TokenHolder;
use model::admin::TeamTokens;
use model::exchange::TokenDemand;
use model::exchange::TokenGrant;
use model::ids::TeamName;
use model::verdict::CallFailure;
use model::verdict::FailureCause;
use tokio::sync::Notify;

/// Period of demand for which tokens are fetched in advance, in milliseconds.
const PREFETCH_MS: u64 = 1_200;
/// Longest time that a request waits for a token, in milliseconds.
const TOKEN_WAIT_MS: u64 = 400;

/// Local tokens of all teams whose requests enter at this node.
#[derive(Debug)]
pub(crate) struct TokenCache<C> {
    clock: C,
    holders: Mutex<HashMap<TeamName, TokenHolder<C>>>,
    /// Triggers an exchange with control when tokens are needed immediately.
    pub exchange_needed: Notify,
    grants_arrived: Notify,
}

impl<C: Clock> TokenCache<C> {
    /// Creates a cache without tokens.
    pub(crate) fn new(clock: C) -> Self {
        Self {
            clock,
            holders: Mutex::new(HashMap::new()),
            exchange_needed: Notify::new(),
            grants_arrived: Notify::new(),
        }
    }

    /// Spends one of the team's tokens, waiting a short time for one when none is held.
    ///
    /// # Errors
    ///
    /// Fails when the team exceeds its rate, or control does not grant a token in time.
    pub(crate) async fn take(&self, team: &TeamName) -> Result<(), CallFailure> {
        let wait_until = tokio::time::Instant::now() + Duration::from_millis(TOKEN_WAIT_MS);
        let mut outcome = self.with_holder(team, TokenHolder::take);
        loop {
            let grants_arrived = self.grants_arrived.notified();
            match outcome {
                TakeOutcome::Taken => return Ok(()),
                TakeOutcome::NoToken { retry_after, .. } if !retry_after.is_zero() => {
                    return Err(rate_exceeded(retry_after));
                }
                TakeOutcome::NoToken { ask_now, .. } => {
                    if ask_now {
                        self.exchange_needed.notify_one();
                    }
                }
            }
            if tokio::time::timeout_at(wait_until, grants_arrived)
                .await
                .is_err()
            {
                return Err(rate_exceeded(Duration::from_millis(TOKEN_WAIT_MS)));
            }
            outcome = self.with_holder(team, TokenHolder::retry_take);
        }
    }

    /// Returns the demands to send with the next exchange.
    pub(crate) fn demands(&self) -> Vec<TokenDemand> {
        let mut holders = self.lock();
        holders
            .values_mut()
            .filter_map(TokenHolder::demand)
            .collect()
    }

    /// Adds granted tokens, which expire at `lease_end`.
    pub(crate) fn accept_grants(&self, grants: &[TokenGrant], lease_end: Instant) {
        let mut ask_now = false;
        let mut holders = self.lock();
        for grant in grants {
            if let Some(holder) = holders.get_mut(&grant.team) {
                let outcome = holder.accept(grant, lease_end);
                ask_now |= matches!(outcome, GrantOutcome::Accepted { ask_now: true });
            }
        }
        drop(holders);
        self.grants_arrived.notify_waiters();
        if ask_now {
            self.exchange_needed.notify_one();
        }
    }

    /// Discards all tokens, because the lease has ended.
    pub(crate) fn lease_ended(&self) {
        let mut holders = self.lock();
        holders.values_mut().for_each(TokenHolder::lease_ended);
    }

    /// Returns the tokens held for each team.
    pub(crate) fn held(&self) -> Vec<TeamTokens> {
        let holders = self.lock();
        let held = holders.iter().map(|(team, holder)| TeamTokens {
            team: team.clone(),
            tokens_milli: holder.held_milli(),
        });
        held.collect()
    }

    fn with_holder<R>(&self, team: &TeamName, action: impl FnOnce(&mut TokenHolder<C>) -> R) -> R {
        let mut holders = self.lock();
        let holder = holders.entry(team.clone()).or_insert_with(|| {
            let prefetch = Duration::from_millis(PREFETCH_MS);
            TokenHolder::new(team.clone(), prefetch, self.clock.clone())
        });
        action(holder)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<TeamName, TokenHolder<C>>> {
        self.holders.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn rate_exceeded(retry_after: Duration) -> CallFailure {
    let delay_ms = u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX);
    CallFailure::not_run(FailureCause::RateExceeded).retry_after_ms(delay_ms)
}
