//! Deltas between declarations, so that a small change is sent as a small message.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use crate::declaration::ClassSpec;
use crate::declaration::Declaration;
use crate::declaration::KeySpec;
use crate::declaration::RouteSpec;
use crate::declaration::ServiceSpec;
use crate::declaration::TeamSpec;
use crate::ids::ConfigVersion;
use crate::ids::OwnerKey;

/// An item of a declaration, identified by its name.
pub trait NamedItem: Clone + PartialEq {
    /// Returns the name, which is unique among items of the same kind.
    fn name(&self) -> &str;
}

impl NamedItem for ServiceSpec {
    fn name(&self) -> &str {
        &self.name
    }
}

impl NamedItem for ClassSpec {
    fn name(&self) -> &str {
        &self.name
    }
}

impl NamedItem for RouteSpec {
    fn name(&self) -> &str {
        &self.name
    }
}

impl NamedItem for TeamSpec {
    fn name(&self) -> &str {
        &self.name
    }
}

impl NamedItem for KeySpec {
    fn name(&self) -> &str {
        &self.name
    }
}

/// Changed items of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ItemDelta<T> {
    /// Names of removed items.
    pub removed: Vec<String>,
    /// New or changed items.
    pub upserted: Vec<T>,
}

impl<T> Default for ItemDelta<T> {
    fn default() -> Self {
        Self {
            removed: Vec::new(),
            upserted: Vec::new(),
        }
    }
}

impl<T: NamedItem> ItemDelta<T> {
    /// Returns whether nothing differs.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.removed.is_empty() && self.upserted.is_empty()
    }

    fn diff(old: &[T], new: &[T]) -> Self {
        let before = by_name(old);
        let after = by_name(new);
        let removed = before.keys().filter(|name| !after.contains_key(*name));
        let upserted = after
            .iter()
            .filter(|(name, item)| before.get(*name) != Some(item));
        Self {
            removed: removed.map(|name| (*name).to_owned()).collect(),
            upserted: upserted.map(|(_, item)| (*item).clone()).collect(),
        }
    }

    fn apply(&self, items: &[T]) -> Vec<T> {
        let mut items = by_name(items);
        for name in &self.removed {
            items.remove(name.as_str());
        }
        for item in &self.upserted {
            items.insert(item.name(), item);
        }
        items.into_values().cloned().collect()
    }

    fn compose(&self, next: &Self) -> Self {
        let mut upserted = by_name(&self.upserted);
        let mut removed: BTreeSet<&String> = self.removed.iter().collect();
        for name in &next.removed {
            upserted.remove(name.as_str());
            removed.insert(name);
        }
        for item in &next.upserted {
            upserted.insert(item.name(), item);
        }
        // An item that is inserted again after its removal must not be removed.
        removed.retain(|name| !upserted.contains_key(name.as_str()));
        Self {
            removed: removed.into_iter().cloned().collect(),
            upserted: upserted.into_values().cloned().collect(),
        }
    }
}

/// Difference between two versions of the declaration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DeclarationDelta {
    /// Version to which the delta applies.
    pub from: ConfigVersion,
    /// Version after the delta is applied.
    pub to: ConfigVersion,
    /// The new owners, if changed.
    pub owners: Option<Vec<OwnerKey>>,
    /// Changed services.
    pub services: ItemDelta<ServiceSpec>,
    /// Changed classes.
    pub classes: ItemDelta<ClassSpec>,
    /// Changed routes.
    pub routes: ItemDelta<RouteSpec>,
    /// Changed teams.
    pub teams: ItemDelta<TeamSpec>,
    /// Changed keys.
    pub keys: ItemDelta<KeySpec>,
}

/// A delta was applied to a version for which it was not made.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the delta applies to version {expected}, not to version {found}")]
pub struct DeltaError {
    /// Version that the delta applies to.
    pub expected: ConfigVersion,
    /// Version to which it was applied.
    pub found: ConfigVersion,
}

impl DeclarationDelta {
    /// Composes this delta and the following one into a single delta.
    ///
    /// # Errors
    ///
    /// Fails when `next.from` is not `self.to`.
    pub fn compose(&self, next: &Self) -> Result<Self, DeltaError> {
        check_version(next.from, self.to)?;
        Ok(Self {
            from: self.from,
            to: next.to,
            owners: next.owners.clone().or_else(|| self.owners.clone()),
            services: self.services.compose(&next.services),
            classes: self.classes.compose(&next.classes),
            routes: self.routes.compose(&next.routes),
            teams: self.teams.compose(&next.teams),
            keys: self.keys.compose(&next.keys),
        })
    }
}

impl Declaration {
    /// Returns the delta from `old` to `new`.
    #[must_use]
    pub fn diff(old: &Self, new: &Self) -> DeclarationDelta {
        DeclarationDelta {
            from: old.version,
            to: new.version,
            owners: (old.owners != new.owners).then(|| new.owners.clone()),
            services: ItemDelta::diff(&old.services, &new.services),
            classes: ItemDelta::diff(&old.classes, &new.classes),
            routes: ItemDelta::diff(&old.routes, &new.routes),
            teams: ItemDelta::diff(&old.teams, &new.teams),
            keys: ItemDelta::diff(&old.keys, &new.keys),
        }
    }

    /// Returns the declaration after `delta` is applied.
    ///
    /// # Errors
    ///
    /// Fails when `delta` was made for another version than this one.
    pub fn apply(&self, delta: &DeclarationDelta) -> Result<Self, DeltaError> {
        check_version(delta.from, self.version)?;
        Ok(Self {
            version: delta.to,
            owners: delta.owners.clone().unwrap_or_else(|| self.owners.clone()),
            services: delta.services.apply(&self.services),
            classes: delta.classes.apply(&self.classes),
            routes: delta.routes.apply(&self.routes),
            teams: delta.teams.apply(&self.teams),
            keys: delta.keys.apply(&self.keys),
        })
    }

    /// Sorts the owners, and all items by name; deltas preserve this order.
    pub(crate) fn sort(&mut self) {
        self.owners.sort_unstable();
        sort_by_name(&mut self.services);
        sort_by_name(&mut self.classes);
        sort_by_name(&mut self.routes);
        sort_by_name(&mut self.teams);
        sort_by_name(&mut self.keys);
    }
}

fn check_version(expected: ConfigVersion, found: ConfigVersion) -> Result<(), DeltaError> {
    if expected == found {
        return Ok(());
    }
    Err(DeltaError { expected, found })
}

fn by_name<T: NamedItem>(items: &[T]) -> BTreeMap<&str, &T> {
    items.iter().map(|item| (item.name(), item)).collect()
}

fn sort_by_name<T: NamedItem>(items: &mut [T]) {
    items.sort_by(|left, right| left.name().cmp(right.name()));
}
