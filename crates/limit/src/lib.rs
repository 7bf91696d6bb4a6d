//! Limits of teams and of retries, as pure decisions with the clock passed in.
//!
//! What was weighed stands in `docs/LIMITS.md`.

mod allowance;
mod bucket;
mod budget;
mod demand;
mod escrow;
mod holder;
mod ledger;
mod missed;
mod pot;
mod repeats;
mod resend;
mod shares;

pub use allowance::AllowanceShare;
pub use allowance::RetryAllowance;
pub use bucket::TokenBucket;
pub use budget::RetryBudget;
pub use escrow::EscrowOwner;
pub use holder::GrantEffect;
pub use holder::TakeOutcome;
pub use holder::TokenHolder;
pub use ledger::TeamLimit;
pub use repeats::RepeatBudget;
pub use resend::ResendBook;
pub use resend::ResendVerdict;
pub use shares::ShareBook;

/// Tokens that one call costs, in thousandths of a call.
pub const CALL_MILLI: u64 = 1000;

/// Rounds down to whole calls, since a part of a token is of no use at a node.
const fn whole_calls(tokens_milli: u64) -> u64 {
    tokens_milli - tokens_milli % CALL_MILLI
}
