//! Checks of single values, with the place and key of what is wrong.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::Range;
use std::ops::RangeInclusive;

use toml::Spanned;

use crate::declaration::DeclarationError;
use crate::declaration::TextPosition;
use crate::declaration::check::Checked;
use crate::declaration::check::DeclarationChecker;
use crate::declaration::check::ItemKey;
use crate::declaration::file::KeyFile;
use crate::declaration::file::RouteFile;
use crate::hex;
use crate::lookup;

/// Most bytes of a name.
const NAME_BYTES_MAX: usize = 64;
/// Most bytes of a path prefix.
const PREFIX_BYTES_MAX: usize = 256;
/// Smallest and largest share of requests to answer in time, in per cent.
const SHARE_PERCENT: RangeInclusive<f64> = 1.0..=99.9;
/// Names that an error lists at most.
const NAMES_LISTED: usize = 12;

/// Names of the items of a table.
pub(super) type NameSet<'f> = BTreeSet<&'f str>;

impl DeclarationChecker<'_> {
    /// Checks the names of a table and returns them.
    pub(super) fn distinct<'f>(
        &self,
        table: &str,
        names: impl Iterator<Item = &'f Spanned<String>>,
    ) -> Checked<NameSet<'f>> {
        let mut seen = NameSet::new();
        for (position, name) in names.enumerate() {
            let key = ItemKey { table, position }.field("name");
            let value = name.get_ref();
            if !is_name(value) {
                let allowed = "1 to 64 letters, digits, `-`, `_` and `.`";
                return Err(self.disallowed(&key, value, &name.span(), allowed));
            }
            if !seen.insert(value.as_str()) {
                return Err(self.disallowed(&key, value, &name.span(), "each name once"));
            }
        }
        Ok(seen)
    }

    pub(super) fn distinct_prefixes(&self, routes: &[RouteFile]) -> Checked<()> {
        let prefixes = routes.iter().map(|route| &route.prefix);
        self.distinct_values("route", "prefix", prefixes, str::to_owned)
    }

    pub(super) fn distinct_digests(&self, keys: &[KeyFile]) -> Checked<()> {
        let digests = keys.iter().map(|key| &key.digest);
        self.distinct_values("key", "digest", digests, str::to_ascii_lowercase)
    }

    pub(super) fn distinct_values<'f>(
        &self,
        table: &str,
        field: &str,
        values: impl Iterator<Item = &'f Spanned<String>>,
        normal: impl Fn(&str) -> String,
    ) -> Checked<()> {
        let mut seen = BTreeSet::new();
        for (position, value) in values.enumerate() {
            if !seen.insert(normal(value.get_ref())) {
                let key = ItemKey { table, position }.field(field);
                let allowed = format!("each {field} once");
                return Err(self.disallowed(&key, value.get_ref(), &value.span(), &allowed));
            }
        }
        Ok(())
    }

    pub(super) fn refers(
        &self,
        key: &str,
        name: &Spanned<String>,
        declared: &NameSet<'_>,
    ) -> Checked<()> {
        if declared.contains(name.get_ref().as_str()) {
            return Ok(());
        }
        let mut listed: Vec<&str> = declared.iter().copied().take(NAMES_LISTED).collect();
        if declared.len() > NAMES_LISTED {
            listed.push("...");
        }
        let allowed = format!("one of those declared: {}", listed.join(", "));
        Err(self.disallowed(key, name.get_ref(), &name.span(), &allowed))
    }

    pub(super) fn prefix(&self, key: &str, prefix: &Spanned<String>) -> Checked<()> {
        let value = prefix.get_ref();
        let plain = |letter: char| letter.is_ascii_alphanumeric() || "/-_.~".contains(letter);
        let closed = value == "/" || !value.ends_with('/');
        let valid = value.len() <= PREFIX_BYTES_MAX
            && closed
            && value.chars().all(plain)
            && lookup::is_normalized_path(value);
        if valid {
            return Ok(());
        }
        let allowed = "`/` or segments of letters, digits, `-`, `_`, `.` and `~`, \
                       each after a `/`, at most 256 bytes";
        Err(self.disallowed(key, value, &prefix.span(), allowed))
    }

    pub(super) fn hex_32(&self, key: &str, text: &Spanned<String>) -> Checked<[u8; 32]> {
        hex::decode_32(text.get_ref()).ok_or_else(|| {
            let allowed = "64 hexadecimal digits";
            self.disallowed(key, text.get_ref(), &text.span(), allowed)
        })
    }

    pub(super) fn tenths(&self, key: &str, percent: &Spanned<f64>) -> Checked<u16> {
        let scaled = self.scaled(key, percent, 10.0, &SHARE_PERCENT)?;
        Ok(u16::try_from(scaled).unwrap_or(u16::MAX))
    }

    pub(super) fn thousandths(
        &self,
        key: &str,
        value: &Spanned<f64>,
        range: &RangeInclusive<f64>,
    ) -> Checked<u64> {
        self.scaled(key, value, 1_000.0, range)
    }

    /// Scales a value to an integer; fractions finer than the scale are refused.
    pub(super) fn scaled(
        &self,
        key: &str,
        value: &Spanned<f64>,
        scale: f64,
        range: &RangeInclusive<f64>,
    ) -> Checked<u64> {
        /// Largest difference that comes from writing decimals in binary.
        const ROUNDING: f64 = 1e-3;
        let number = *value.get_ref();
        let scaled = number * scale;
        if range.contains(&number) && (scaled - scaled.round()).abs() < ROUNDING {
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "the range above is positive and far below 2^53"
            )]
            return Ok(scaled.round() as u64);
        }
        let (start, end) = (range.start(), range.end());
        let allowed = format!("{start} to {end} in steps of {}", 1.0 / scale);
        Err(self.disallowed(key, number, &value.span(), &allowed))
    }

    pub(super) fn disallowed(
        &self,
        key: &str,
        value: impl Display,
        span: &Range<usize>,
        allowed: &str,
    ) -> DeclarationError {
        DeclarationError::InvalidValue {
            place: TextPosition::of(self.text, span),
            key: key.to_owned(),
            value: value.to_string(),
            allowed: allowed.to_owned(),
        }
    }
}

fn is_name(value: &str) -> bool {
    let allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    !value.is_empty() && value.len() <= NAME_BYTES_MAX && value.chars().all(allowed)
}
