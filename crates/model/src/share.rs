//! Shares as thousandths, the form in which plans are sent.

/// Thousandths of a whole.
const MILLI: f64 = 1000.0;

/// Returns a fraction between 0 and 1 in thousandths; what lies outside is brought to the bounds.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a fraction lies between 0 and 1"
)]
pub fn to_milli(fraction: f64) -> u16 {
    (fraction.clamp(0.0, 1.0) * MILLI).round() as u16
}
