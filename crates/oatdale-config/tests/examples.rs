//! The example configurations that ship with the product are sound.

use oatdale_config::{Config, Digest, Key, PoolKey, ServiceKind, VersionState};
use sha2::{Digest as _, Sha256};
use std::path::PathBuf;

fn text(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name);
    std::fs::read_to_string(path).expect("the example is there")
}

fn example(name: &str) -> Config {
    match oatdale_config::from_str(&text(name)) {
        Ok(cfg) => cfg,
        Err(e) => panic!("{}", e.in_file(name)),
    }
}

fn dev_key(customer: &str) -> Digest {
    Digest(Sha256::digest(format!("dev-{customer}")).into())
}

#[test]
fn skyward_is_as_the_page_says() {
    let cfg = example("skyward.yaml");
    assert_eq!(cfg.domains.len(), 3);
    assert_eq!(cfg.pools[PoolKey::from_index(0)].endpoints.len(), 9);
    assert_eq!(cfg.pools[PoolKey::from_index(1)].endpoints.len(), 3);
    assert_eq!(cfg.customers.len(), 10);
    let canary = cfg.version("orbit-mini/2026-11").expect("a canary");
    assert_eq!(
        cfg.versions[canary].state,
        VersionState::Canary { share: 0.05 }
    );
    let booking = &cfg.services[cfg.service("booking").expect("a plain service")];
    let once = |path| {
        booking
            .non_idempotent
            .iter()
            .any(|c| c.matches("POST", path))
    };
    assert!(once("/slots/17/confirm") && once("/holds/3/release") && !once("/slots"));
}

#[test]
fn tallyrow_is_as_the_page_says() {
    let cfg = example("tallyrow.yaml");
    assert_eq!(cfg.pools[PoolKey::from_index(0)].endpoints.len(), 9);
    assert_eq!(cfg.pools[PoolKey::from_index(1)].endpoints.len(), 3);
    let summary = &cfg.services[cfg.service("licence-summary").expect("a service")];
    assert!(matches!(summary.kind, ServiceKind::Model { quality, .. } if quality == 0.97));
    assert!(summary.non_idempotent[0].matches("POST", ""));
    let tagging = cfg.customer_of(dev_key("zarqa-works")).expect("a customer");
    assert!(cfg.allows(tagging, cfg.version("ledger-mini/2026-08").unwrap()));
    assert!(!cfg.allows(tagging, cfg.version("ledger-max/2026-10").unwrap()));
}

#[test]
fn each_customer_has_its_documented_development_key() {
    for name in ["skyward.yaml", "tallyrow.yaml"] {
        let cfg = example(name);
        for (key, customer) in cfg.customers.iter() {
            assert_eq!(cfg.customer_of(dev_key(&customer.name)), Some(key));
        }
    }
}

#[test]
fn the_node_of_the_example_belongs_to_skyward() {
    let node = oatdale_config::node_settings_from_str(&text("node.yaml")).expect("sound");
    let cfg = example("skyward.yaml");
    let domain = cfg.domains.iter().find(|(_, d)| d.name == node.domain);
    assert_eq!(domain.expect("a known domain").1.region, node.region);
    assert_eq!(node.advertise.callers.to_string(), "10.84.1.1:8080");
}
