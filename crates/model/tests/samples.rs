//! Tests that the sample declarations are valid.

use std::fs;
use std::path::Path;

use model::declaration::Declaration;
use model::declaration::RefusalOrder;

fn sample(deployment: &str) -> Declaration {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../samples")
        .join(deployment)
        .join("declaration.toml");
    let text = fs::read_to_string(path).expect("sample exists");
    Declaration::parse(&text, 1).expect("valid")
}

#[test]
fn both_deployments_have_their_services_and_eight_teams() {
    let services = |declaration: &Declaration| -> Vec<String> {
        let services = declaration.services.iter();
        services.map(|service| service.name.to_string()).collect()
    };
    let plumon = sample("plumon");
    assert_eq!(
        services(&plumon),
        ["payments", "quotes", "refills", "tracking"]
    );
    let kervadec = sample("kervadec");
    assert_eq!(
        services(&kervadec),
        ["catalogue", "orders", "presses", "thread"]
    );
    for declaration in [plumon, kervadec] {
        assert_eq!(declaration.teams.len(), 8);
        assert!(declaration.keys.is_empty());
    }
}

#[test]
fn payments_and_confirmations_are_refused_last_and_run_at_most_once() {
    for deployment in ["plumon", "kervadec"] {
        let declaration = sample(deployment);
        let class_of = |name: &str| {
            let mut classes = declaration.classes.iter();
            classes
                .find(|class| class.name.as_ref() == name)
                .expect("declared")
        };
        for name in ["payments", "confirmations"] {
            let mut routes = declaration.routes.iter();
            let route = routes
                .find(|route| route.name.as_ref() == name)
                .expect("declared");
            assert!(route.at_most_once, "{deployment} {name}");
            assert_eq!(class_of(&route.class).refusal_order, RefusalOrder::Last);
        }
    }
}
