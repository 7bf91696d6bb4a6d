//! Differences between two declarations.

use std::collections::BTreeMap;

use derive_more::Display;
use model::declaration::ClassSpec;
use model::declaration::Declaration;
use model::declaration::KeySpec;
use model::declaration::NamedItem;
use model::declaration::RefusalOrder;
use model::declaration::RouteSpec;
use model::declaration::ServiceSpec;
use model::declaration::TeamSpec;
use model::hex;
use model::ids::ConfigVersion;
use serde::Serialize;

/// How an item changes.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[display(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum PlanAction {
    /// The item is added.
    Add,
    /// The item is changed.
    Change,
    /// The item is removed.
    Remove,
}

/// An item that changes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct PlanRow {
    /// How the item changes.
    pub action: PlanAction,
    /// Table of the declaration that contains the item.
    pub table: &'static str,
    /// Name of the item.
    pub name: String,
    /// Description of the item in the version in force.
    pub before: String,
    /// Description of the item in the new declaration.
    pub after: String,
}

/// Difference between the version in force and a declaration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct PlanReport {
    /// Version in force.
    pub version: ConfigVersion,
    /// Items that change.
    pub rows: Vec<PlanRow>,
}

impl PlanReport {
    /// Compares two declarations.
    #[must_use]
    pub fn compare(old: &Declaration, new: &Declaration) -> Self {
        let mut rows = Vec::new();
        if old.owners != new.owners {
            rows.push(PlanRow {
                action: PlanAction::Change,
                table: "owners",
                name: String::new(),
                before: owners(old),
                after: owners(new),
            });
        }
        rows.extend(changed_rows("service", &old.services, &new.services));
        rows.extend(changed_rows("class", &old.classes, &new.classes));
        rows.extend(changed_rows("route", &old.routes, &new.routes));
        rows.extend(changed_rows("team", &old.teams, &new.teams));
        rows.extend(changed_rows("key", &old.keys, &new.keys));
        Self {
            version: old.version,
            rows,
        }
    }
}

/// Describes an item in one line.
trait DescribeItem: NamedItem {
    fn describe(&self) -> String;
}

impl DescribeItem for ServiceSpec {
    fn describe(&self) -> String {
        "declared".to_owned()
    }
}

impl DescribeItem for ClassSpec {
    fn describe(&self) -> String {
        let refused = match self.refusal_order {
            RefusalOrder::First => "first",
            RefusalOrder::Middle => "middle",
            RefusalOrder::Last => "last",
        };
        let percent = f64::from(self.target_share_milli) / 10.0;
        let within_ms = self.deadline.as_millis();
        format!("refused {refused}, {percent}% within {within_ms} ms")
    }
}

impl DescribeItem for RouteSpec {
    fn describe(&self) -> String {
        let mut text = format!("{} to {}, class {}", self.prefix, self.service, self.class);
        let flags = [
            (self.allow_anonymous, "open"),
            (self.idempotent, "idempotent"),
            (self.at_most_once, "once"),
        ];
        for (_, flag) in flags.iter().filter(|(set, _)| *set) {
            text.push_str(", ");
            text.push_str(flag);
        }
        text
    }
}

impl DescribeItem for TeamSpec {
    fn describe(&self) -> String {
        let rate = self.rate_milli as f64 / 1_000.0;
        let burst = self.burst_milli as f64 / 1_000.0;
        format!("{rate}/s, burst {burst}")
    }
}

impl DescribeItem for KeySpec {
    fn describe(&self) -> String {
        let digest = hex::encode(&self.digest);
        format!("team {}, digest {}", self.team, &digest[..12])
    }
}

fn changed_rows<T: DescribeItem>(table: &'static str, old: &[T], new: &[T]) -> Vec<PlanRow> {
    let mut pairs: BTreeMap<&str, (Option<&T>, Option<&T>)> = BTreeMap::new();
    for item in old {
        pairs.entry(item.name()).or_default().0 = Some(item);
    }
    for item in new {
        pairs.entry(item.name()).or_default().1 = Some(item);
    }
    let changed = pairs.into_iter().filter(|(_, (old, new))| old != new);
    let rows = changed.map(|(name, (old, new))| PlanRow {
        action: action(old, new),
        table,
        name: name.to_owned(),
        before: old.map_or_else(String::new, DescribeItem::describe),
        after: new.map_or_else(String::new, DescribeItem::describe),
    });
    rows.collect()
}

fn action<T>(old: Option<&T>, new: Option<&T>) -> PlanAction {
    match (old, new) {
        (None, _) => PlanAction::Add,
        (Some(_), None) => PlanAction::Remove,
        (Some(_), Some(_)) => PlanAction::Change,
    }
}

fn owners(declaration: &Declaration) -> String {
    let owners = declaration.owners.iter();
    let owners: Vec<String> = owners.map(|owner| hex::encode(owner)).collect();
    owners.join(", ")
}
