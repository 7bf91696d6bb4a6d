//! Edits a declaration's text, preserving comments and formatting elsewhere.

use anyhow::Context;
use anyhow::ensure;
use model::hex;
use model::ids::KeyDigest;
use toml_edit::ArrayOfTables;
use toml_edit::DocumentMut;
use toml_edit::Item;
use toml_edit::Table;
use toml_edit::value;

/// Name of the table of granted keys.
const KEY_TABLE: &str = "key";

/// Appends a key to a declaration.
///
/// Equal arguments give equal texts, so that both owners sign the same change.
///
/// # Errors
///
/// Fails when the text is not TOML, or already has a key of that name.
pub fn grant_key(text: &str, name: &str, team: &str, digest: &KeyDigest) -> anyhow::Result<String> {
    let mut document: DocumentMut = text.parse().context("the declaration is not TOML")?;
    let keys = document
        .entry(KEY_TABLE)
        .or_insert_with(|| Item::ArrayOfTables(ArrayOfTables::new()))
        .as_array_of_tables_mut()
        .context("`key` must be an array of tables: [[key]]")?;
    let exists = keys.iter().any(|key| is_named(key, name));
    ensure!(!exists, "a key named `{name}` already exists");
    let mut key = Table::new();
    key.insert("name", value(name));
    key.insert("team", value(team));
    key.insert("digest", value(hex::encode(digest)));
    keys.push(key);
    Ok(document.to_string())
}

/// Removes a key from a declaration.
///
/// # Errors
///
/// Fails when the text is not TOML, or has no key of that name.
pub fn withdraw_key(text: &str, name: &str) -> anyhow::Result<String> {
    let mut document: DocumentMut = text.parse().context("the declaration is not TOML")?;
    let keys = document.get_mut(KEY_TABLE);
    let keys = keys.and_then(Item::as_array_of_tables_mut);
    let keys = keys.with_context(|| format!("there is no key named `{name}`"))?;
    let before = keys.len();
    keys.retain(|key| !is_named(key, name));
    ensure!(keys.len() < before, "there is no key named `{name}`");
    Ok(document.to_string())
}

fn is_named(key: &Table, name: &str) -> bool {
    key.get("name").and_then(Item::as_str) == Some(name)
}
