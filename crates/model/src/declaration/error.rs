//! Errors in a declaration's text.

use std::ops::Range;

use derive_more::Display;
use derive_more::Error;

/// Position in the declaration's text; both numbers start at 1.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display("line {line}, column {column}")]
pub struct TextPosition {
    /// Line of the text.
    pub line: usize,
    /// Column in that line, in characters.
    pub column: usize,
}

impl TextPosition {
    /// Returns the position at which a span of bytes starts.
    pub(crate) fn of(text: &str, span: &Range<usize>) -> Self {
        let before = text.get(..span.start).unwrap_or(text);
        let tail = before.rsplit('\n').next().unwrap_or("");
        Self {
            line: before.matches('\n').count() + 1,
            column: tail.chars().count() + 1,
        }
    }
}

/// Why a declaration is invalid, with the position, key, value and allowed values.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum DeclarationError {
    /// The text is longer than allowed.
    #[display("the text has {bytes} bytes, expected at most {allowed}")]
    TooLong {
        /// Length of the text in bytes.
        bytes: usize,
        /// Allowed number of bytes.
        allowed: usize,
    },
    /// The text is not valid TOML or doesn't match the schema, as with unknown keys.
    #[display("{place}: {message}{}", quoted(line))]
    Malformed {
        /// Position of the error.
        place: TextPosition,
        /// Message of the TOML library.
        message: String,
        /// The offending line, without leading and trailing whitespace.
        line: String,
    },
    /// A value is not allowed.
    #[display("{place}: key `{key}`: value `{value}` is not allowed, expected {allowed}")]
    InvalidValue {
        /// Position of the value.
        place: TextPosition,
        /// The key, with its table and the index in that table.
        key: String,
        /// The value found.
        value: String,
        /// Description of the allowed values.
        allowed: String,
    },
}

impl DeclarationError {
    /// Converts an error of the TOML library and adds the offending line.
    pub(crate) fn malformed(text: &str, source: &toml::de::Error) -> Self {
        let span = source.span().unwrap_or(0..0);
        let place = TextPosition::of(text, &span);
        let line = text.lines().nth(place.line - 1).unwrap_or("");
        Self::Malformed {
            place,
            message: source.message().replace('\n', " "),
            line: line.trim().to_owned(),
        }
    }
}

fn quoted(line: &str) -> String {
    if line.is_empty() {
        return String::new();
    }
    format!(", in `{line}`")
}
