//! Validation of single values; errors carry the position and key.

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

/// Maximum length of a name, in bytes.
const NAME_BYTES_MAX: usize = 64;
/// Maximum length of a path prefix, in bytes.
const PREFIX_BYTES_MAX: usize = 256;
/// Minimum and maximum share of requests to answer in time, in per cent.
const SHARE_PERCENT: RangeInclusive<f64> = 1.0..=99.9;
/// Maximum number of names listed in an error.
const LISTED_NAMES_MAX: usize = 12;

/// Names of the items of a table.
pub(super) type NameSet<'f> = BTreeSet<&'f str>;

impl DeclarationChecker<'_> {
    /// Validates the names of a table and returns them; each must be unique.
    pub(super) fn unique_names<'f>(
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
                return Err(self.invalid_value(&key, value, &name.span(), allowed));
            }
            if !seen.insert(value.as_str()) {
                return Err(self.invalid_value(&key, value, &name.span(), "each name once"));
            }
        }
        Ok(seen)
    }

    pub(super) fn check_unique_prefixes(&self, routes: &[RouteFile]) -> Checked<()> {
        let prefixes = routes.iter().map(|route| &route.prefix);
        self.check_unique_values("route", "prefix", prefixes, str::to_owned)
    }

    pub(super) fn check_unique_digests(&self, keys: &[KeyFile]) -> Checked<()> {
        let digests = keys.iter().map(|key| &key.digest);
        self.check_unique_values("key", "digest", digests, str::to_ascii_lowercase)
    }

    pub(super) fn check_unique_values<'f>(
        &self,
        table: &str,
        field: &str,
        values: impl Iterator<Item = &'f Spanned<String>>,
        normalize: impl Fn(&str) -> String,
    ) -> Checked<()> {
        let mut seen = BTreeSet::new();
        for (position, value) in values.enumerate() {
            if !seen.insert(normalize(value.get_ref())) {
                let key = ItemKey { table, position }.field(field);
                let allowed = format!("each {field} once");
                return Err(self.invalid_value(&key, value.get_ref(), &value.span(), &allowed));
            }
        }
        Ok(())
    }

    pub(super) fn check_reference(
        &self,
        key: &str,
        name: &Spanned<String>,
        declared: &NameSet<'_>,
    ) -> Checked<()> {
        if declared.contains(name.get_ref().as_str()) {
            return Ok(());
        }
        let mut listed: Vec<&str> = declared.iter().copied().take(LISTED_NAMES_MAX).collect();
        if declared.len() > LISTED_NAMES_MAX {
            listed.push("...");
        }
        let allowed = format!("one of those declared: {}", listed.join(", "));
        Err(self.invalid_value(key, name.get_ref(), &name.span(), &allowed))
    }

    pub(super) fn check_prefix(&self, key: &str, prefix: &Spanned<String>) -> Checked<()> {
        let value = prefix.get_ref();
        let is_allowed = |letter: char| letter.is_ascii_alphanumeric() || "/-_.~".contains(letter);
        let no_trailing_slash = value == "/" || !value.ends_with('/');
        let valid = value.len() <= PREFIX_BYTES_MAX
            && no_trailing_slash
            && value.chars().all(is_allowed)
            && lookup::is_normalized_path(value);
        if valid {
            return Ok(());
        }
        let allowed = "`/` or segments of letters, digits, `-`, `_`, `.` and `~`, \
                       each after a `/`, at most 256 bytes";
        Err(self.invalid_value(key, value, &prefix.span(), allowed))
    }

    pub(super) fn hex_32(&self, key: &str, text: &Spanned<String>) -> Checked<[u8; 32]> {
        hex::decode_32(text.get_ref()).ok_or_else(|| {
            let allowed = "64 hexadecimal digits";
            self.invalid_value(key, text.get_ref(), &text.span(), allowed)
        })
    }

    pub(super) fn parse_tenths(&self, key: &str, percent: &Spanned<f64>) -> Checked<u16> {
        let scale_to_integer = self.scale_to_integer(key, percent, 10.0, &SHARE_PERCENT)?;
        Ok(u16::try_from(scale_to_integer).unwrap_or(u16::MAX))
    }

    pub(super) fn parse_thousandths(
        &self,
        key: &str,
        value: &Spanned<f64>,
        range: &RangeInclusive<f64>,
    ) -> Checked<u64> {
        self.scale_to_integer(key, value, 1_000.0, range)
    }

    /// Scales a value to an integer; rejects fractions finer than the scale.
    pub(super) fn scale_to_integer(
        &self,
        key: &str,
        value: &Spanned<f64>,
        scale: f64,
        range: &RangeInclusive<f64>,
    ) -> Checked<u64> {
        /// Tolerance for the rounding of decimal fractions in binary.
        const ROUNDING: f64 = 1e-3;
        let number = *value.get_ref();
        let scale_to_integer = number * scale;
        if range.contains(&number) && (scale_to_integer - scale_to_integer.round()).abs() < ROUNDING
        {
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "the range above is positive and far below 2^53"
            )]
            return Ok(scale_to_integer.round() as u64);
        }
        let (start, end) = (range.start(), range.end());
        let allowed = format!("{start} to {end} in steps of {}", 1.0 / scale);
        Err(self.invalid_value(key, number, &value.span(), &allowed))
    }

    pub(super) fn invalid_value(
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
