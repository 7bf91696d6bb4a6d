//! Rate limits of teams and limits on retries.
//!
//! The types here do no I/O, and time comes from a clock or an argument that
//! the caller passes in. `docs/LIMITS.md` explains the design.

mod allowance;
mod arrival_rate;
mod borrowed_tokens;
mod bucket;
mod budget;
mod holder;
mod leased_tokens;
mod ledger;
mod missed_refill;
mod rate_allocator;
mod resend;
mod service_budget;
mod token_allocator;

pub use allowance::AllowanceShare;
pub use allowance::RetryAllowance;
pub use bucket::TakenToken;
pub use bucket::TokenBucket;
pub use budget::RetryBudget;
pub use holder::GrantOutcome;
pub use holder::TakeOutcome;
pub use holder::TokenHolder;
pub use ledger::TeamLimit;
pub use rate_allocator::RateAllocator;
pub use resend::ResendTracker;
pub use resend::ResendVerdict;
pub use service_budget::ServiceRetryBudget;
pub use token_allocator::TokenAllocator;

/// Cost of one call, in thousandths of a token.
pub const CALL_COST_MILLI: u64 = 1000;

/// Rounds down to whole tokens, since a node cannot spend a fraction of one.
const fn whole_calls(tokens_milli: u64) -> u64 {
    tokens_milli - tokens_milli % CALL_COST_MILLI
}
