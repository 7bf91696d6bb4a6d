//! Differences of a configuration from the one in force, by name.

mod fields;

use std::collections::HashMap;

use derive_more::Display;
use fleet::FleetConfig;

use crate::difference::fields::field_changes;
use crate::difference::fields::global_fields;
use crate::difference::fields::key_changes;
use crate::difference::fields::route_fields;
use crate::difference::fields::service_fields;
use crate::difference::fields::team_fields;

/// Kind of the item that differs.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ItemKind {
    /// The values that belong to no single item: limits, and whether keys are needed.
    #[display("limits")]
    Limits,
    /// A route.
    #[display("route")]
    Route,
    /// A service.
    #[display("service")]
    Service,
    /// A team.
    #[display("team")]
    Team,
}

/// How an item differs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DifferenceKind {
    /// The item is new.
    Added,
    /// The item is no longer there.
    Removed,
    /// Fields of the item have other values.
    Changed(Vec<FieldChange>),
}

/// Difference of an item; contains no keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigDifference {
    /// Kind of the item.
    pub item: ItemKind,
    /// Name of the item; empty for [`ItemKind::Limits`].
    pub name: String,
    /// How the item differs.
    pub kind: DifferenceKind,
}

/// Difference of a field.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum FieldChange {
    /// The field has another value.
    #[display("{field} {before} -> {after}")]
    Value {
        /// Name of the field.
        field: &'static str,
        /// Value in force.
        before: String,
        /// New value.
        after: String,
    },
    /// The team has other keys.
    #[display("keys {added} added, {removed} removed")]
    Keys {
        /// Number of keys that are added.
        added: usize,
        /// Number of keys that are removed.
        removed: usize,
    },
}

/// An item with its fields, found by its name.
struct NamedItem<'a, T> {
    name: &'a str,
    entry: &'a T,
}

/// Returns the differences of `config` from `in_force`; the versions are not among them.
#[must_use]
pub fn find_differences(in_force: &FleetConfig, config: &FleetConfig) -> Vec<ConfigDifference> {
    let mut differences = Vec::new();
    let globals = field_changes(global_fields(in_force), global_fields(config));
    push_changed(&mut differences, ItemKind::Limits, "", globals);
    differences.extend(compare_items(
        ItemKind::Route,
        &named_items(&in_force.routes, |entry| &entry.name),
        &named_items(&config.routes, |entry| &entry.name),
        |before, after| field_changes(route_fields(before), route_fields(after)),
    ));
    differences.extend(compare_items(
        ItemKind::Service,
        &named_items(&in_force.services, |entry| &entry.name),
        &named_items(&config.services, |entry| &entry.name),
        |before, after| field_changes(service_fields(before), service_fields(after)),
    ));
    differences.extend(compare_items(
        ItemKind::Team,
        &named_items(&in_force.teams, |entry| &entry.name),
        &named_items(&config.teams, |entry| &entry.name),
        |before, after| {
            let mut changes = field_changes(team_fields(before), team_fields(after));
            changes.extend(key_changes(&before.keys, &after.keys));
            changes
        },
    ));
    differences
}

fn named_items<T>(entries: &[T], name: impl Fn(&T) -> &str) -> Vec<NamedItem<'_, T>> {
    let items = entries.iter();
    items
        .map(|entry| NamedItem {
            name: name(entry),
            entry,
        })
        .collect()
}

/// Compares items of the same name; if a name is repeated, those at the same position among them.
fn compare_items<T>(
    item: ItemKind,
    before: &[NamedItem<'_, T>],
    after: &[NamedItem<'_, T>],
    changes: impl Fn(&T, &T) -> Vec<FieldChange>,
) -> Vec<ConfigDifference> {
    let mut old: HashMap<&str, Vec<&T>> = HashMap::new();
    // Reversed, so that the first of a repeated name is taken first.
    for NamedItem { name, entry } in before.iter().rev() {
        old.entry(name).or_default().push(entry);
    }
    let mut differences = Vec::new();
    for NamedItem { name, entry } in after {
        match old.get_mut(name).and_then(Vec::pop) {
            Some(old) => push_changed(&mut differences, item, name, changes(old, entry)),
            None => differences.push(difference(item, name, DifferenceKind::Added)),
        }
    }
    for NamedItem { name, .. } in before {
        if old.get_mut(name).and_then(Vec::pop).is_some() {
            differences.push(difference(item, name, DifferenceKind::Removed));
        }
    }
    differences
}

fn push_changed(
    differences: &mut Vec<ConfigDifference>,
    item: ItemKind,
    name: &str,
    changes: Vec<FieldChange>,
) {
    if !changes.is_empty() {
        differences.push(difference(item, name, DifferenceKind::Changed(changes)));
    }
}

fn difference(item: ItemKind, name: &str, kind: DifferenceKind) -> ConfigDifference {
    let name = name.to_owned();
    ConfigDifference { item, name, kind }
}
