//! Validation, versioning and snapshots of configurations, and matching of requests to routes.

use std::sync::Arc;
use std::time::Duration;

use fleet::CallerLimits;
use fleet::ChangeOutcome;
use fleet::ConfigChange;
use fleet::ConfigError;
use fleet::ConfigStore;
use fleet::FleetConfig;
use fleet::KeyOwner;
use fleet::NodeAddresses;
use fleet::RouteEntry;
use fleet::RouteTable;
use fleet::ServiceEntry;
use fleet::StoreEntry;
use fleet::TeamEntry;
use fleet::WeightedService;
use replica::StateMachine;

fn route(name: &str, prefix: &str) -> RouteEntry {
    RouteEntry {
        name: Arc::from(name),
        host: "shop.example".to_owned(),
        prefix: prefix.to_owned(),
        idempotent: true,
        large_bodies: false,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_secs(1),
        priority: 0,
        max_attempts: 2,
        allow_anonymous: false,
        services: vec![WeightedService {
            service: Arc::from("orders"),
            weight_milli: 1000,
        }],
    }
}

fn config(version: u64, base_version: u64) -> FleetConfig {
    FleetConfig {
        version,
        base_version,
        routes: vec![
            route("all", "/"),
            route("deep", "/a/b/"),
            route("top", "/a/"),
        ],
        services: vec![ServiceEntry {
            name: Arc::from("orders"),
            health_path: "/health".to_owned(),
            max_connections: 10,
            cold: None,
        }],
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1_000_000,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        requires_keys: true,
        teams: vec![TeamEntry {
            name: Arc::from("north"),
            keys: vec!["key-1".to_owned(), "key-2".to_owned()],
            priority: 0,
            rate_milli: 10_000,
            burst: 10,
        }],
    }
}

fn change(version: u64, base_version: u64, text: &'static str) -> Vec<u8> {
    let change = ConfigChange {
        config: config(version, base_version),
        document: text.as_bytes().into(),
    };
    StoreEntry::Change(change).encode().unwrap()
}

#[test]
fn the_longest_matching_prefix_is_chosen() {
    let table = RouteTable::new(config(1, 0));
    let name = |host: &str, path: &str| table.route(host, path).map(|route| &*route.name);
    assert_eq!(name("shop.example", "/a/b/c?x=/"), Some("deep"));
    assert_eq!(name("shop.example:8080", "/a/b"), Some("top"));
    assert_eq!(name("SHOP.example", "/"), Some("all"));
    assert_eq!(name("other.example", "/a/"), None);
}

/// Guards against an IPv6 literal that is cut at its last colon and matches only with a port.
#[test]
fn a_route_of_an_ipv6_literal_matches_with_and_without_a_port() {
    let mut config = config(1, 0);
    for route in &mut config.routes {
        route.host = "[::1]".to_owned();
    }
    let table = RouteTable::new(config);
    for host in ["[::1]", "[::1]:8080"] {
        let route = table.route(host, "/a/b").map(|route| &*route.name);
        assert_eq!(route, Some("top"), "{host}");
    }
    assert!(table.route("[::2]", "/a/b").is_none());
}

#[test]
fn a_key_identifies_its_team() {
    let table = RouteTable::new(config(1, 0));
    assert!(
        matches!(table.key_owner(Some("key-2")), KeyOwner::Team(team) if &*team.name == "north")
    );
    assert_eq!(table.key_owner(Some("key-3")), KeyOwner::Unknown);
    assert_eq!(table.key_owner(None), KeyOwner::Unknown);
}

#[test]
fn invalid_configurations_are_rejected() {
    assert_eq!(fleet::validate(&config(1, 0)), Ok(()));
    let faulty = |edit: fn(&mut FleetConfig)| {
        let mut config = config(1, 0);
        edit(&mut config);
        fleet::validate(&config).unwrap_err()
    };
    let unknown = faulty(|config| config.services.clear());
    assert!(matches!(unknown, ConfigError::UnknownService { .. }));
    let same = faulty(|config| config.routes[1].prefix = "/a/".to_owned());
    assert!(matches!(same, ConfigError::DuplicateRoute { .. }));
    let weight = faulty(|config| config.routes[0].services[0].weight_milli = 0);
    assert!(matches!(weight, ConfigError::ZeroWeight { .. }));
    let none = faulty(|config| config.routes[0].services.clear());
    assert!(matches!(none, ConfigError::ZeroWeight { .. }));
    let timeout = faulty(|config| config.routes[0].timeout = Duration::from_secs(601));
    assert!(matches!(timeout, ConfigError::TimeoutOutOfRange { .. }));
    let attempts = faulty(|config| config.routes[0].max_attempts = 0);
    assert!(matches!(attempts, ConfigError::NoAttempts { .. }));
    let shared = faulty(|config| {
        let mut duplicate = config.teams[0].clone();
        duplicate.name = Arc::from("south");
        config.teams.push(duplicate);
    });
    assert!(matches!(shared, ConfigError::DuplicateKey { .. }));
}

#[test]
fn the_second_of_two_changes_on_the_same_base_conflicts() {
    let mut store = ConfigStore::default();
    assert_eq!(store.apply(1, &change(5, 0, "a")), ChangeOutcome::Accepted);
    assert_eq!(store.apply(2, &change(7, 5, "b")), ChangeOutcome::Accepted);
    let conflict = ChangeOutcome::Conflict { current: 7 };
    assert_eq!(store.apply(3, &change(7, 5, "c")), conflict);
    assert_eq!(store.version(), 7);
    assert_eq!(store.current().unwrap().document.as_ref(), b"b");
}

#[test]
fn a_resent_change_is_accepted_again_even_after_it_was_replaced() {
    let mut store = ConfigStore::default();
    store.apply(1, &change(5, 0, "a"));
    store.apply(2, &change(7, 5, "b"));
    assert_eq!(store.apply(3, &change(5, 0, "a")), ChangeOutcome::Accepted);
    assert_eq!(store.version(), 7);
}

#[test]
fn a_version_that_does_not_increase_is_refused() {
    let mut store = ConfigStore::default();
    store.apply(1, &change(5, 0, "a"));
    let old = ChangeOutcome::OldVersion { current: 5 };
    assert_eq!(store.apply(2, &change(5, 5, "b")), old);
}

#[test]
fn a_snapshot_restores_the_version_and_the_accepted_changes() {
    let mut store = ConfigStore::default();
    store.apply(1, &change(5, 0, "a"));
    store.apply(2, &change(7, 5, "b"));
    let mut restored = ConfigStore::default();
    restored.restore(&store.snapshot()).unwrap();
    assert_eq!(restored.version(), 7);
    assert_eq!(
        restored.apply(3, &change(5, 0, "a")),
        ChangeOutcome::Accepted
    );
    assert!(restored.restore(b"\x09rest").is_err());
}

#[test]
fn node_addresses_survive_a_change_and_a_snapshot() {
    let mut store = ConfigStore::default();
    let node_addresses: NodeAddresses = ["10.0.0.1:7021".parse().unwrap()].into();
    let entry = StoreEntry::NodeAddresses(node_addresses.clone())
        .encode()
        .unwrap();
    assert_eq!(store.apply(1, &entry), ChangeOutcome::Stored);
    assert_eq!(
        store.apply(2, &change(1, 0, "first")),
        ChangeOutcome::Accepted
    );
    let mut restored = ConfigStore::default();
    restored.restore(&store.snapshot()).unwrap();
    assert_eq!(*restored.node_addresses(), node_addresses);
}

/// Guards against a configuration without teams that lets every request in, or every key (CONFIG,
/// ROUTE).
#[test]
fn without_teams_every_key_is_unknown_and_none_is_needed_only_where_none_is_required() {
    let mut closed = config(1, 0);
    closed.teams.clear();
    let mut open = closed.clone();
    open.requires_keys = false;
    let (closed, open) = (RouteTable::new(closed), RouteTable::new(open));
    for key in [Some("key-1"), Some("")] {
        assert_eq!(closed.key_owner(key), KeyOwner::Unknown, "{key:?}");
        assert_eq!(open.key_owner(key), KeyOwner::Unknown, "{key:?}");
    }
    assert_eq!(closed.key_owner(None), KeyOwner::Unknown);
    assert_eq!(open.key_owner(None), KeyOwner::NotNeeded);
}
