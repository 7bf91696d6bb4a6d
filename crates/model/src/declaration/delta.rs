//! Differences between declarations, so that a small change travels as a small message.

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

/// An item of a declaration, known by its name.
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

/// Items of one kind that differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ItemDelta<T> {
    /// Names of items that are gone.
    pub removed: Vec<String>,
    /// Items that are new or changed.
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

    fn between(old: &[T], new: &[T]) -> Self {
        let before = by_name(old);
        let after = by_name(new);
        let gone = before.keys().filter(|name| !after.contains_key(*name));
        let put = after
            .iter()
            .filter(|(name, item)| before.get(*name) != Some(item));
        Self {
            removed: gone.map(|name| (*name).to_owned()).collect(),
            upserted: put.map(|(_, item)| (*item).clone()).collect(),
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

    fn then(&self, next: &Self) -> Self {
        let mut put = by_name(&self.upserted);
        let mut removed: BTreeSet<&String> = self.removed.iter().collect();
        for name in &next.removed {
            put.remove(name.as_str());
            removed.insert(name);
        }
        for item in &next.upserted {
            put.insert(item.name(), item);
        }
        // An item put again after its removal needs no removal.
        removed.retain(|name| !put.contains_key(name.as_str()));
        Self {
            removed: removed.into_iter().cloned().collect(),
            upserted: put.into_values().cloned().collect(),
        }
    }
}

/// Difference between two versions of the declaration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DeclarationDelta {
    /// Version that it applies to.
    pub from: ConfigVersion,
    /// Version that it leads to.
    pub to: ConfigVersion,
    /// The new owners, when they differ.
    pub owners: Option<Vec<OwnerKey>>,
    /// Services that differ.
    pub services: ItemDelta<ServiceSpec>,
    /// Classes that differ.
    pub classes: ItemDelta<ClassSpec>,
    /// Routes that differ.
    pub routes: ItemDelta<RouteSpec>,
    /// Teams that differ.
    pub teams: ItemDelta<TeamSpec>,
    /// Keys that differ.
    pub keys: ItemDelta<KeySpec>,
}

/// A delta that was made for another version than the one at hand.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the delta applies to version {expected}, not to version {found}")]
pub struct DeltaError {
    /// Version that the delta applies to.
    pub expected: ConfigVersion,
    /// Version at hand.
    pub found: ConfigVersion,
}

impl DeclarationDelta {
    /// Joins this delta with the one that follows it into one of the same effect.
    ///
    /// # Errors
    ///
    /// Fails when `next` does not start at the version that this one leads to.
    pub fn compose(&self, next: &Self) -> Result<Self, DeltaError> {
        check_version(next.from, self.to)?;
        Ok(Self {
            from: self.from,
            to: next.to,
            owners: next.owners.clone().or_else(|| self.owners.clone()),
            services: self.services.then(&next.services),
            classes: self.classes.then(&next.classes),
            routes: self.routes.then(&next.routes),
            teams: self.teams.then(&next.teams),
            keys: self.keys.then(&next.keys),
        })
    }
}

impl Declaration {
    /// Returns the difference that leads from `old` to `new`.
    #[must_use]
    pub fn diff(old: &Self, new: &Self) -> DeclarationDelta {
        DeclarationDelta {
            from: old.version,
            to: new.version,
            owners: (old.owners != new.owners).then(|| new.owners.clone()),
            services: ItemDelta::between(&old.services, &new.services),
            classes: ItemDelta::between(&old.classes, &new.classes),
            routes: ItemDelta::between(&old.routes, &new.routes),
            teams: ItemDelta::between(&old.teams, &new.teams),
            keys: ItemDelta::between(&old.keys, &new.keys),
        }
    }

    /// Returns the declaration that `delta` leads to.
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

    /// Sorts owners, and all items by name, the order in which deltas keep them.
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
