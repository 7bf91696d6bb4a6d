//! Tests of the route and key tables.

use model::declaration::Declaration;
use model::keys::digest_key;
use model::keys::encode_key;
use model::lookup::KeyTable;
use model::lookup::RouteTable;
use model::lookup::is_normalized_path;

const TEXT: &str = include_str!("fixtures/valid/open-root.toml");

fn found(table: &RouteTable, path: &str) -> Option<String> {
    table.find(path).map(|entry| entry.route.name.to_string())
}

#[test]
fn the_longest_prefix_of_whole_segments_matches() {
    let declaration = Declaration::parse(TEXT, 1).expect("valid");
    let table = RouteTable::new(&declaration);
    for path in ["/patterns/v1", "/patterns/v1/", "/patterns/v1/a/b/c"] {
        assert_eq!(found(&table, path).as_deref(), Some("patterns"), "{path}");
    }
    for path in ["/", "/patterns", "/patterns/v10", "/patterns/v", "/a/b/c/d"] {
        assert_eq!(found(&table, path).as_deref(), Some("front"), "{path}");
    }
    let entry = table.find("/patterns/v1").expect("declared");
    assert_eq!(entry.class.name, entry.route.class);
    assert!(table.by_name("front").is_some());
    assert!(table.by_name("back").is_none());
}

#[test]
fn without_a_root_prefix_other_paths_have_no_route() {
    let text = include_str!("fixtures/valid/every-key.toml");
    let declaration = Declaration::parse(text, 1).expect("valid");
    let table = RouteTable::new(&declaration);
    assert_eq!(found(&table, "/payments/7").as_deref(), Some("pay"));
    assert_eq!(found(&table, "/"), None);
    assert_eq!(found(&table, "/paymentsx"), None);
    assert_eq!(found(&RouteTable::default(), "/payments"), None);
}

#[test]
fn an_ambiguous_path_has_no_route() {
    let declaration = Declaration::parse(TEXT, 1).expect("valid");
    let table = RouteTable::new(&declaration);
    let ambiguous = [
        "",
        "patterns",
        "//patterns/v1",
        "/a/../patterns/v1",
        "/./patterns/v1",
        "/a/..;x=1/patterns",
        "/p%61tterns/v1",
        "/patterns%2fv1",
        "/patterns%2Fv1",
        "/a/%2e%2e/patterns",
        "/a\\patterns",
        "/a%5cpatterns",
        "/a%00",
        "/a%2561",
        "/a%",
        "/a%+1",
        "/a//",
    ];
    for path in ambiguous {
        assert_eq!(found(&table, path), None, "{path}");
    }
    for path in ["/a%20b", "/a%C3%B1o", "/a;b=1", "/a...b"] {
        assert!(is_normalized_path(path), "{path}");
    }
}

#[test]
fn a_key_is_found_by_its_digest() {
    let key = encode_key(&[7; 32]);
    assert!(key.starts_with("rwp_"));
    let mut declaration = Declaration::parse(TEXT, 1).expect("valid");
    declaration.keys.push(model::declaration::KeySpec {
        name: "a".to_owned(),
        team: "la-pluma".into(),
        digest: digest_key(&key),
    });
    let table = KeyTable::new(&declaration);
    let team = table.team(&digest_key(&key)).map(AsRef::as_ref);
    assert_eq!(team, Some("la-pluma"));
    assert_eq!(table.team(&digest_key(&encode_key(&[8; 32]))), None);
}
