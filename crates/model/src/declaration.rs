//! The declaration of the owners: services, classes, routes, teams and keys.

mod check;
mod delta;
mod error;
mod file;

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::declaration::check::DeclarationChecker;
use crate::declaration::check::TEXT_BYTES_MAX;
use crate::ids::ClassName;
use crate::ids::ConfigVersion;
use crate::ids::KeyDigest;
use crate::ids::OwnerKey;
use crate::ids::RouteName;
use crate::ids::ServiceName;
use crate::ids::TeamName;

pub use delta::DeclarationDelta;
pub use delta::DeltaError;
pub use delta::ItemDelta;
pub use delta::NamedItem;
pub use error::DeclarationError;
pub use error::TextPosition;

/// A validated declaration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Declaration {
    /// Version under which it was committed; 0 before the first change.
    pub version: ConfigVersion,
    /// The two owners.
    pub owners: Vec<OwnerKey>,
    /// Declared services.
    pub services: Vec<ServiceSpec>,
    /// Request classes.
    pub classes: Vec<ClassSpec>,
    /// Routes from path prefixes to services.
    pub routes: Vec<RouteSpec>,
    /// Teams with their rate limits.
    pub teams: Vec<TeamSpec>,
    /// Keys granted to teams.
    pub keys: Vec<KeySpec>,
}

impl Declaration {
    /// Parses and validates the owners' TOML text; `version` is not checked.
    ///
    /// Items are sorted by name, so that texts that differ only in order or
    /// layout yield equal declarations. `docs/CONFIGURATION.md` describes the text.
    ///
    /// # Errors
    ///
    /// Fails at the first error; the error names the position, the key, the
    /// value and the allowed values.
    pub fn parse(text: &str, version: ConfigVersion) -> Result<Self, DeclarationError> {
        if text.len() > TEXT_BYTES_MAX {
            return Err(DeclarationError::TooLong {
                bytes: text.len(),
                allowed: TEXT_BYTES_MAX,
            });
        }
        let file =
            toml::from_str(text).map_err(|source| DeclarationError::malformed(text, &source))?;
        DeclarationChecker::new(text).check(&file, version)
    }
}

/// A service, under whose name backend servers announce themselves.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceName,
}

/// Order in which classes are refused under overload.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalOrder {
    /// Refused before all others.
    First,
    /// Refused after `First` and before `Last`.
    Middle,
    /// Refused last: payments and confirmations.
    Last,
}

/// A request class with its latency target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassSpec {
    /// Name of the class.
    pub name: ClassName,
    /// Order of refusal under overload.
    pub refusal_order: RefusalOrder,
    /// Time within which the target share must be answered; also the deadline of each request.
    pub deadline: Duration,
    /// Target share of requests that are answered in time, in thousandths (990 is 99%).
    pub target_share_milli: u16,
}

/// A route: maps requests under a path prefix to a service and a class.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RouteSpec {
    /// Name of the route.
    pub name: RouteName,
    /// Path prefix, matched by whole segments; the longest match wins.
    pub prefix: String,
    /// Service that runs the requests.
    pub service: ServiceName,
    /// Class of the requests.
    pub class: ClassName,
    /// Whether requests without a key are accepted.
    pub allow_anonymous: bool,
    /// Whether requests are idempotent and may be retried.
    pub idempotent: bool,
    /// Whether a request must run at most once (needs an `Idempotency-Key`).
    pub at_most_once: bool,
}

/// A team with its rate limit and burst, summed over all instances.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TeamSpec {
    /// Name of the team.
    pub name: TeamName,
    /// Admitted requests per second, in thousandths.
    pub rate_milli: u64,
    /// Burst size in requests, in thousandths.
    pub burst_milli: u64,
}

/// A key of a team; only its digest is stored.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct KeySpec {
    /// Name by which the key is revoked.
    pub name: String,
    /// Team that the key belongs to.
    pub team: TeamName,
    /// Digest of the key.
    pub digest: KeyDigest,
}
