//! Tests that applied deltas yield the same declaration as parsing its text.

use std::fmt::Write;

use model::declaration::Declaration;
use model::hex;

/// Returns the text of a declaration with `teams` teams and the keys of `keys`.
fn text(teams: usize, keys: impl Iterator<Item = usize>) -> String {
    let mut text = format!(
        "owners = [\"{}\", \"{}\"]\n",
        "11".repeat(32),
        "22".repeat(32)
    );
    for team in 0..teams {
        let _ = write!(
            text,
            "[[team]]\nname = \"team-{team}\"\nrate = {}\nburst = 5\n",
            team + 1
        );
    }
    for key in keys {
        let digest = hex::encode(blake3::hash(&key.to_le_bytes()).as_bytes());
        let team = key % teams;
        let _ = write!(
            text,
            "[[key]]\nname = \"key-{key}\"\nteam = \"team-{team}\"\ndigest = \"{digest}\"\n"
        );
    }
    text
}

fn parse(text: &str, version: u64) -> Declaration {
    Declaration::parse(text, version).expect("valid")
}

#[test]
fn a_delta_and_a_composed_delta_yield_the_new_declaration() {
    let first = parse(&text(8, 0..20), 1);
    let second = parse(&text(9, (3..20).chain(25..30)), 2);
    let third = parse(&text(7, 0..10), 3);
    let first_delta = Declaration::diff(&first, &second);
    let second_delta = Declaration::diff(&second, &third);
    assert_eq!(first.apply(&first_delta).expect("fits"), second);
    let composed = first_delta.compose(&second_delta).expect("follows");
    assert_eq!(first.apply(&composed).expect("fits"), third);
}

#[test]
fn a_delta_for_another_version_is_refused() {
    let first = parse(&text(8, 0..20), 1);
    let second = parse(&text(8, 0..21), 2);
    let delta = Declaration::diff(&first, &second);
    assert!(second.apply(&delta).is_err());
    assert!(delta.compose(&delta).is_err());
}

#[test]
fn a_text_in_another_order_makes_an_equal_declaration() {
    let whole = parse(&text(8, 0..20), 1);
    let shuffled = parse(&text(8, (0..20).rev()), 1);
    assert_eq!(whole, shuffled);
}

#[test]
fn a_change_of_one_key_yields_a_delta_of_one_key() {
    let first = parse(&text(8, 0..500), 1);
    let second = parse(&text(8, 0..501), 2);
    let delta = Declaration::diff(&first, &second);
    assert_eq!(delta.keys.upserted.len(), 1);
    assert!(delta.keys.removed.is_empty());
    assert!(delta.teams.is_empty() && delta.services.is_empty());
    assert_eq!(delta.owners, None);
}
