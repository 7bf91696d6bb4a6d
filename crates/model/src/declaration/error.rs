//! What is wrong with a declaration's text.

use std::ops::Range;

use derive_more::Display;
use derive_more::Error;

/// A place in the declaration's text; both numbers start at 1.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display("line {line}, column {column}")]
pub struct TextPosition {
    /// Line of the text.
    pub line: usize,
    /// Column in that line, in characters.
    pub column: usize,
}

impl TextPosition {
    /// Finds the place where a span of bytes begins.
    pub(crate) fn of(text: &str, span: &Range<usize>) -> Self {
        let before = text.get(..span.start).unwrap_or(text);
        let tail = before.rsplit('\n').next().unwrap_or("");
        Self {
            line: before.matches('\n').count() + 1,
            column: tail.chars().count() + 1,
        }
    }
}

/// A declaration that cannot be used; names place, key, value and what is allowed.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum DeclarationError {
    /// The text is longer than allowed.
    #[display("the text has {bytes} bytes, expected at most {allowed}")]
    TooLong {
        /// Bytes of the text.
        bytes: usize,
        /// Most bytes allowed.
        allowed: usize,
    },
    /// The text is not TOML of the right shape; unknown keys count as well.
    #[display("{place}: {message}{}", quoted(line))]
    Malformed {
        /// Where.
        place: TextPosition,
        /// What the TOML library found.
        message: String,
        /// The line of the text, without leading and trailing space.
        line: String,
    },
    /// A value is not allowed.
    #[display("{place}: key `{key}`: value `{value}` is not allowed, expected {allowed}")]
    InvalidValue {
        /// Where the value stands.
        place: TextPosition,
        /// The key, with the table it stands in and its position there.
        key: String,
        /// The value found.
        value: String,
        /// What would be allowed.
        allowed: String,
    },
}

impl DeclarationError {
    /// Wraps an error of the TOML library, with the line that it complains about.
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
