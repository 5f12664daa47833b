//! The example data fits the example configurations.

use oatdale_config::{Config, from_str};
use serde::Deserialize;
use std::fs;
use std::path::{Path, PathBuf};

/// A line of `requests.jsonl`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ExampleRequest {
    customer: String,
    service: String,
    instruction: String,
    file: String,
    max_tokens: u32,
}

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

fn check(config: &Config, folder: &Path, line: &str) {
    let req: ExampleRequest = serde_json::from_str(line).unwrap();
    let customer = config.customers.find(|c| c.name == req.customer);
    let customer = customer.unwrap_or_else(|| panic!("no customer {}", req.customer));
    let service = config.service(&req.service);
    let service = service.unwrap_or_else(|| panic!("no service {}", req.service));
    let may = config.may_call(customer, service);
    assert!(may, "{} may not call {}", req.customer, req.service);
    let text = fs::read_to_string(folder.join(&req.file)).expect(&req.file);
    assert!(!text.trim().is_empty() && !req.instruction.is_empty());
    assert!(req.max_tokens > 0);
}

#[test]
fn each_example_request_is_one_that_its_customer_may_make() {
    for name in ["skyward", "tallyrow"] {
        let text = fs::read_to_string(examples().join(format!("{name}.yaml"))).unwrap();
        let config = from_str(&text).unwrap();
        let folder = examples().join("data").join(name);
        let requests = fs::read_to_string(folder.join("requests.jsonl")).unwrap();
        requests.lines().for_each(|l| check(&config, &folder, l));
        assert!(requests.lines().count() >= 10);
    }
}
