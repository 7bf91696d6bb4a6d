//! Removal of document values from decoding errors, because a misplaced key may be among them.

use fleet::DecodeError;

/// Text in place of a removed value.
const REMOVED: &str = "(value not shown)";
/// Words before a quoted name of the document's format, which is not a value of the document.
const NAME_INTRODUCTIONS: [&str; 3] = ["missing field ", "duplicate field ", "expected "];
/// Words before the list of the values that are allowed, which contains no value of the document.
const LIST_INTRODUCTION: &str = ", expected ";

/// Removes the values of the document from a decoding error.
pub(crate) fn without_values(error: DecodeError) -> DecodeError {
    match error {
        DecodeError::Malformed { reason } => DecodeError::Malformed {
            reason: remove_values(&reason),
        },
        DecodeError::InvalidValue { field } => DecodeError::InvalidValue { field },
    }
}

/// Replaces quoted texts, except those that name a field or an allowed value.
fn remove_values(reason: &str) -> String {
    let mut shown = String::new();
    let mut rest = reason;
    while let Some(start) = rest.find(['"', '`']) {
        shown.push_str(&rest[..start]);
        let quote = if rest[start..].starts_with('"') {
            '"'
        } else {
            '`'
        };
        let quoted = quoted_length(&rest[start..], quote);
        if quote == '`' && introduces_name(&shown) {
            shown.push_str(&rest[start..start + quoted]);
        } else {
            shown.push_str(REMOVED);
        }
        rest = &rest[start + quoted..];
    }
    shown.push_str(rest);
    shown
}

fn introduces_name(shown: &str) -> bool {
    let is_name = NAME_INTRODUCTIONS
        .iter()
        .any(|introduction| shown.ends_with(introduction));
    is_name || shown.contains(LIST_INTRODUCTION)
}

/// Returns the length in bytes of the quoted text at the start, with its quotation marks; a
/// backslash escapes one in double quotes. A text without end extends to the end.
fn quoted_length(text: &str, quote: char) -> usize {
    let mut is_escaped = false;
    for (position, character) in text.char_indices().skip(1) {
        if character == quote && !is_escaped {
            return position + character.len_utf8();
        }
        is_escaped = character == '\\' && !is_escaped && quote == '"';
    }
    text.len()
}
