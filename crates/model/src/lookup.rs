//! Lookup tables of the request path, built once for each declaration.

use std::collections::HashMap;
use std::sync::Arc;

use crate::declaration::ClassSpec;
use crate::declaration::Declaration;
use crate::declaration::RouteSpec;
use crate::ids::KeyDigest;
use crate::ids::TeamName;

/// A route with the class of its requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteEntry {
    /// The route.
    pub route: RouteSpec,
    /// Its class.
    pub class: ClassSpec,
}

/// Maps paths to routes by longest prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_prefix: HashMap<String, Arc<RouteEntry>>,
    by_name: HashMap<Arc<str>, Arc<RouteEntry>>,
    /// Number of segments of the longest prefix; limits the lookups for deep paths.
    depth: usize,
}

impl RouteTable {
    /// Builds the table of a checked declaration.
    #[must_use]
    pub fn new(declaration: &Declaration) -> Self {
        let mut table = Self::default();
        for route in &declaration.routes {
            let class = declaration
                .classes
                .iter()
                .find(|class| class.name == route.class);
            if let Some(class) = class {
                table.insert(route, class);
            }
        }
        table
    }

    /// Returns the route with the longest prefix of whole segments of `path`.
    ///
    /// `path` must have no query. A path that a backend server might interpret as
    /// another path (see [`is_normalized_path`]) has no route, so that a route
    /// that needs a key cannot be reached through the prefix of an open route.
    #[must_use]
    pub fn find(&self, path: &str) -> Option<&Arc<RouteEntry>> {
        if !is_normalized_path(path) {
            return None;
        }
        let mut prefix = self.truncate_to_depth(path);
        while !prefix.is_empty() {
            if let Some(entry) = self.by_prefix.get(prefix) {
                return Some(entry);
            }
            prefix = &prefix[..prefix.rfind('/').unwrap_or(0)];
        }
        self.by_prefix.get("/")
    }

    /// Returns the route with this name.
    #[must_use]
    pub fn by_name(&self, name: &str) -> Option<&Arc<RouteEntry>> {
        self.by_name.get(name)
    }

    fn insert(&mut self, route: &RouteSpec, class: &ClassSpec) {
        let entry = Arc::new(RouteEntry {
            route: route.clone(),
            class: class.clone(),
        });
        self.depth = self.depth.max(route.prefix.matches('/').count());
        self.by_prefix
            .insert(route.prefix.clone(), Arc::clone(&entry));
        self.by_name.insert(Arc::clone(&route.name), entry);
    }

    /// Truncates a path to the number of segments of the longest prefix.
    fn truncate_to_depth<'p>(&self, path: &'p str) -> &'p str {
        let next = path.match_indices('/').nth(self.depth);
        let truncate_to_depth = next.map_or(path, |(position, _)| &path[..position]);
        truncate_to_depth
            .strip_suffix('/')
            .unwrap_or(truncate_to_depth)
    }
}

/// Maps key digests to teams.
#[derive(Clone, Debug, Default)]
pub struct KeyTable {
    teams: HashMap<KeyDigest, TeamName>,
}

impl KeyTable {
    /// Builds the table of a checked declaration.
    #[must_use]
    pub fn new(declaration: &Declaration) -> Self {
        let keys = declaration.keys.iter();
        Self {
            teams: keys
                .map(|key| (key.digest, Arc::clone(&key.team)))
                .collect(),
        }
    }

    /// Returns the team of the key with this digest.
    #[must_use]
    pub fn team(&self, digest: &KeyDigest) -> Option<&TeamName> {
        self.teams.get(digest)
    }
}

/// Returns whether all servers interpret a path in the same way.
///
/// Such a path starts with `/`, has no empty, `.` or `..` segment (an empty last
/// one is allowed), no backslash, and no percent-encoding of a letter, digit, `-`,
/// `.`, `_`, `~`, `/`, `\`, `%` or a control character.
#[must_use]
pub fn is_normalized_path(path: &str) -> bool {
    let Some(rest) = path.strip_prefix('/') else {
        return false;
    };
    let inner = rest.strip_suffix('/').unwrap_or(rest);
    let segments_normalized = rest.is_empty() || inner.split('/').all(is_normalized_segment);
    segments_normalized && !path.contains('\\') && has_normalized_escapes(path)
}

fn is_normalized_segment(segment: &str) -> bool {
    // Some servers strip parameters after `;` before they resolve dot segments.
    let name = segment.split(';').next().unwrap_or(segment);
    !matches!(name, "" | "." | "..")
}

fn has_normalized_escapes(path: &str) -> bool {
    let bytes = path.as_bytes();
    let mut escapes = path.match_indices('%').map(|(position, _)| position);
    escapes.all(|position| {
        let digits = bytes.get(position + 1..position + 3);
        digits
            .and_then(|digits| std::str::from_utf8(digits).ok())
            .filter(|digits| digits.bytes().all(|digit| digit.is_ascii_hexdigit()))
            .and_then(|digits| u8::from_str_radix(digits, 16).ok())
            .is_some_and(|byte| !byte.is_ascii_alphanumeric() && needs_encoding(byte))
    })
}

fn needs_encoding(byte: u8) -> bool {
    !byte.is_ascii_control() && !b"-._~/\\%".contains(&byte)
}
