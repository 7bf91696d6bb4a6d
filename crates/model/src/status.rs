//! Status codes of answers.

use std::ops::RangeInclusive;

/// Status codes of final answers in HTTP.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Returns whether a status code may stand in the final answer to a request.
///
/// Parsers take other numbers of three digits too. An answer with one of them says nothing of
/// its request, whatever else stands in it.
#[must_use]
pub fn is_final_status(status: u16) -> bool {
    FINAL_STATUSES.contains(&status)
}
