//! What the check of a configuration can find.

use derive_more::Display;
use fleet::ConfigError;
use model::ids::ConfigVersion;
use model::ids::RouteName;
use model::ids::ServiceName;
use model::ids::TeamName;

/// What a finding means for the operator.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum FindingSeverity {
    /// Control refuses the configuration.
    #[display("error")]
    Error,
    /// Control accepts the configuration, but a part of it has no effect or contradicts another.
    #[display("warning")]
    Warning,
}

/// A finding; contains no keys.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum CheckFinding {
    /// The document is larger than control reads.
    #[display("the document has {bytes} bytes, control reads {max} at most")]
    DocumentTooLarge {
        /// Size of the document, in bytes.
        bytes: usize,
        /// Largest size that control reads, in bytes.
        max: usize,
    },
    /// The document cannot be decoded.
    #[display("{reason}")]
    Undecodable {
        /// Description without the values of the document.
        reason: String,
    },
    /// The configuration is invalid.
    #[display("{_0}")]
    Invalid(ConfigError),
    /// The configuration is based on another version than the one in force.
    #[display("the base version is {base}, but version {current} is in force")]
    BaseConflict {
        /// Base version of the configuration.
        base: ConfigVersion,
        /// Version in force.
        current: ConfigVersion,
    },
    /// The version is not above the one in force, or the base version if that is unknown.
    #[display("the version is {version}, but must be above {current}")]
    OldVersion {
        /// Version of the configuration.
        version: ConfigVersion,
        /// Version that it must exceed.
        current: ConfigVersion,
    },
    /// The host of a route is empty.
    #[display("route {route}: the host is empty and matches no request that names a host")]
    EmptyHost {
        /// Name of the route.
        route: RouteName,
    },
    /// The host of a route has a port, which is removed from the host of a request.
    #[display("route {route}: the host {host} has a port and never matches")]
    HostWithPort {
        /// Name of the route.
        route: RouteName,
        /// The host.
        host: String,
    },
    /// The host of a route has characters that no host of a request has.
    #[display("route {route}: the host {host:?} is not a host name and never matches")]
    InvalidHost {
        /// Name of the route.
        route: RouteName,
        /// The host.
        host: String,
    },
    /// The host of a route has upper case.
    #[display("route {route}: the host {host} has upper case and is matched in lower case")]
    UpperCaseHost {
        /// Name of the route.
        route: RouteName,
        /// The host.
        host: String,
    },
    /// The prefix of a route has characters that no path of a request has.
    #[display("route {route}: the prefix {prefix:?} has characters that no path contains")]
    UnmatchablePrefix {
        /// Name of the route.
        route: RouteName,
        /// The prefix.
        prefix: String,
    },
    /// An earlier route has the same prefix and, apart from upper case, the same host.
    #[display("route {route}: route {by} has the same host and prefix and is matched instead")]
    ShadowedRoute {
        /// Name of the route that never matches.
        route: RouteName,
        /// Name of the route that is matched.
        by: RouteName,
    },
    /// No route refers to a service, or only routes that never match.
    #[display("service {service}: no request reaches it")]
    UnreachableService {
        /// Name of the service.
        service: ServiceName,
    },
    /// All routes that refer to a service give it the weight 0.
    #[display("service {service}: its weight is 0 in every route")]
    UnweightedService {
        /// Name of the service.
        service: ServiceName,
    },
    /// A team has no keys, so no request belongs to it.
    #[display("team {team}: it has no keys, so no request belongs to it")]
    UnreachableTeam {
        /// Name of the team.
        team: TeamName,
    },
    /// Several routes have the same name.
    #[display("route {route}: another route has the same name")]
    RepeatedRoute {
        /// The name.
        route: RouteName,
    },
    /// Several services have the same name; the first one is used.
    #[display("service {service}: an earlier service has the same name and is used instead")]
    RepeatedService {
        /// The name.
        service: ServiceName,
    },
    /// Several teams have the same name.
    #[display("team {team}: another team has the same name")]
    RepeatedTeam {
        /// The name.
        team: TeamName,
    },
    /// The target latency of a route is above its timeout.
    #[display("route {route}: the target latency is above the timeout")]
    TargetAboveTimeout {
        /// Name of the route.
        route: RouteName,
    },
    /// A team has a rate but no burst, so that all its requests are refused.
    #[display("team {team}: it has a rate but no burst, so none of its requests is admitted")]
    RateWithoutBurst {
        /// Name of the team.
        team: TeamName,
    },
    /// A team has a burst but no rate, and so no limit.
    #[display("team {team}: it has a burst but no rate, so it has no limit")]
    BurstWithoutRate {
        /// Name of the team.
        team: TeamName,
    },
    /// A team has a rate but no keys.
    #[display("team {team}: it has a rate but no keys, so the rate cannot be used")]
    UnusableRate {
        /// Name of the team.
        team: TeamName,
    },
    /// The body limit is below the head limit.
    #[display(
        "limits: the body limit of {body_bytes} bytes is below the head limit of {head_bytes}"
    )]
    BodyBelowHead {
        /// Largest request body, in bytes.
        body_bytes: u32,
        /// Largest request head, in bytes.
        head_bytes: u32,
    },
}

impl CheckFinding {
    /// Returns what the finding means for the operator.
    #[must_use]
    pub const fn severity(&self) -> FindingSeverity {
        match self {
            Self::DocumentTooLarge { .. }
            | Self::Undecodable { .. }
            | Self::Invalid(_)
            | Self::BaseConflict { .. }
            | Self::OldVersion { .. } => FindingSeverity::Error,
            _ => FindingSeverity::Warning,
        }
    }

    /// Returns the name of the finding's kind, for programs.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::DocumentTooLarge { .. } => "document-too-large",
            Self::Undecodable { .. } => "undecodable",
            Self::Invalid(error) => error_kind(error),
            Self::BaseConflict { .. } => "base-conflict",
            Self::OldVersion { .. } => "old-version",
            Self::EmptyHost { .. } => "empty-host",
            Self::HostWithPort { .. } => "host-with-port",
            Self::InvalidHost { .. } => "invalid-host",
            Self::UpperCaseHost { .. } => "upper-case-host",
            Self::UnmatchablePrefix { .. } => "unmatchable-prefix",
            Self::ShadowedRoute { .. } => "shadowed-route",
            Self::UnreachableService { .. } => "unreachable-service",
            Self::UnweightedService { .. } => "unweighted-service",
            Self::UnreachableTeam { .. } => "unreachable-team",
            Self::RepeatedRoute { .. } => "repeated-route",
            Self::RepeatedService { .. } => "repeated-service",
            Self::RepeatedTeam { .. } => "repeated-team",
            Self::TargetAboveTimeout { .. } => "target-above-timeout",
            Self::RateWithoutBurst { .. } => "rate-without-burst",
            Self::BurstWithoutRate { .. } => "burst-without-rate",
            Self::UnusableRate { .. } => "unusable-rate",
            Self::BodyBelowHead { .. } => "body-below-head",
        }
    }
}

const fn error_kind(error: &ConfigError) -> &'static str {
    match error {
        ConfigError::UnknownService { .. } => "unknown-service",
        ConfigError::DuplicateRoute { .. } => "duplicate-route",
        ConfigError::ZeroWeight { .. } => "zero-weight",
        ConfigError::TimeoutOutOfRange { .. } => "timeout-out-of-range",
        ConfigError::NoAttempts { .. } => "no-attempts",
        ConfigError::InvalidPrefix { .. } => "invalid-prefix",
        ConfigError::DuplicateKey { .. } => "duplicate-key",
    }
}
