//! What the owners declare: services, classes, routes, teams and keys.

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

/// The declared state in force, checked.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Declaration {
    /// Version under which it was committed; 0 before the first change.
    pub version: ConfigVersion,
    /// The two owners.
    pub owners: Vec<OwnerKey>,
    /// Declared services.
    pub services: Vec<ServiceSpec>,
    /// Classes of work.
    pub classes: Vec<ClassSpec>,
    /// Routes by which requests reach services.
    pub routes: Vec<RouteSpec>,
    /// Teams with their rates.
    pub teams: Vec<TeamSpec>,
    /// Keys granted to teams.
    pub keys: Vec<KeySpec>,
}

impl Declaration {
    /// Reads and checks the owners' TOML text; `version` is taken as given.
    ///
    /// Items are sorted by name, so that texts that differ in order or layout
    /// only make equal declarations. `docs/CONFIGURATION.md` describes the text.
    ///
    /// # Errors
    ///
    /// Fails at the first thing wrong, and names its place, key and value and
    /// what would be allowed.
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

/// A service that backend servers announce themselves for.
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
    /// Refused between the two others.
    Middle,
    /// Refused last: payments and confirmations.
    Last,
}

/// A class of work with the target for how it is served.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassSpec {
    /// Name of the class.
    pub name: ClassName,
    /// When it is refused under overload.
    pub refusal_order: RefusalOrder,
    /// Time within which the target share must be answered; also the deadline.
    pub deadline: Duration,
    /// Share of requests to answer in time, in thousandths (990 is 99%).
    pub target_share_milli: u16,
}

/// A route: requests below a path prefix, for one service and class.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RouteSpec {
    /// Name of the route.
    pub name: RouteName,
    /// Path prefix, matched by whole segments; the longest match is taken.
    pub prefix: String,
    /// Service that runs the requests.
    pub service: ServiceName,
    /// Class of requests that enter here.
    pub class: ClassName,
    /// Whether no key is needed.
    pub allow_anonymous: bool,
    /// Whether a repeated request does no harm, so that it may be retried.
    pub idempotent: bool,
    /// Whether a request must run at most once (needs an `Idempotency-Key`).
    pub at_most_once: bool,
}

/// A team with its rate and burst over all instances together.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TeamSpec {
    /// Name of the team.
    pub name: TeamName,
    /// Requests that enter per second, in thousandths.
    pub rate_milli: u64,
    /// Requests that may enter at once, in thousandths.
    pub burst_milli: u64,
}

/// A key granted to a team; only its digest is kept.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct KeySpec {
    /// Name under which it is withdrawn.
    pub name: String,
    /// The team it belongs to.
    pub team: TeamName,
    /// Digest of the key.
    pub digest: KeyDigest,
}
