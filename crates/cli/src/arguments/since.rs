//! The `--since` argument of `timeline`.

use std::str::FromStr;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use derive_more::Display;
use derive_more::Error;

/// A point in time, absolute or relative to now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SinceTime {
    /// Milliseconds since the Unix epoch.
    UnixMs(u64),
    /// This long before now.
    Ago(Duration),
}

/// The text is not a valid time.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display(
    "expected milliseconds since the Unix epoch, \
     or a duration before now such as `90s`, `15m` or `2h`"
)]
pub struct ParseSinceError;

impl SinceTime {
    /// Returns the time in milliseconds since the Unix epoch.
    #[must_use]
    pub fn unix_ms(self, now: SystemTime) -> u64 {
        match self {
            Self::UnixMs(unix_ms) => unix_ms,
            Self::Ago(ago) => {
                let now = now.duration_since(UNIX_EPOCH).unwrap_or_default();
                let since = now.saturating_sub(ago);
                u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
            }
        }
    }
}

impl FromStr for SinceTime {
    type Err = ParseSinceError;

    fn from_str(text: &str) -> Result<Self, ParseSinceError> {
        let units = [('s', 1), ('m', 60), ('h', 60 * 60), ('d', 24 * 60 * 60)];
        for (unit, unit_s) in units {
            if let Some(count) = text.strip_suffix(unit) {
                let count: u64 = count.parse().map_err(|_| ParseSinceError)?;
                let seconds = count.checked_mul(unit_s).ok_or(ParseSinceError)?;
                return Ok(Self::Ago(Duration::from_secs(seconds)));
            }
        }
        text.parse().map(Self::UnixMs).map_err(|_| ParseSinceError)
    }
}
