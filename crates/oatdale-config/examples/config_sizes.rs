//! Measures the text of a large site: bytes of the document and of typical deltas, time to read.
//!
//! `cargo run --release -p oatdale-config --example config_sizes`

use oatdale_config::{ChangeId, Document, Revision, VersionState, set_state};
use std::fmt::Write as _;
use std::time::Instant;

const MODELS: usize = 10;
const VERSIONS: usize = 4;
const DOMAINS: usize = 16;
const ENDPOINTS: usize = 2_100;
const CUSTOMERS: usize = 60;
const RUNS: u32 = 20;

fn main() {
    let text = large_text();
    let old = Document::new(Revision(1), ChangeId(1), "mai", 1_764_633_600, text.clone());
    println!("whole document: {} bytes", old.encode().len());
    let share = set_state(&text, "model-3/v2", VersionState::Canary { share: 0.2 });
    let drain = set_state(&text, "model-3/v1", VersionState::Draining);
    let cases = [
        ("raise a canary's share", share.expect("sound")),
        ("drain a version", drain.expect("sound")),
        (
            "move one endpoint",
            text.replace("10.0.1.44:8000", "10.9.1.44:8000"),
        ),
        ("add an endpoint", add_endpoint(&text)),
        ("load a version at 210 endpoints", load_version(&text)),
    ];
    for (name, new) in cases {
        measure(name, &old, new);
    }
    let start = Instant::now();
    for _ in 0..RUNS {
        oatdale_config::from_str(&text).expect("sound");
    }
    println!("read and check: {:?}", start.elapsed() / RUNS);
}

fn measure(name: &str, old: &Document, text: String) {
    oatdale_config::from_str(&text).expect("sound");
    let new = Document::new(
        Revision(2),
        ChangeId(0x5eed_5eed_5eed),
        "mai",
        1_764_633_660,
        text,
    );
    let start = Instant::now();
    let delta = old.delta_to(&new);
    let made = start.elapsed();
    let start = Instant::now();
    let applied = old.apply(&delta).expect("it fits");
    let took = start.elapsed();
    assert_eq!(applied, new);
    let mut bytes = Vec::new();
    ciborium::into_writer(&delta, &mut bytes).expect("memory takes it");
    println!(
        "{name}: {} bytes, made in {made:?}, applied in {took:?}",
        bytes.len()
    );
}

fn add_endpoint(text: &str) -> String {
    let line = "      w-new: { address: 10.250.0.1:8000, failure-domain: d-3 }\n";
    text.replacen("      w-77:", &format!("{line}      w-77:"), 1)
}

fn load_version(text: &str) -> String {
    let mut count = 0;
    let lines = text.lines().map(|line| match line.contains("model-3/v1") {
        true if line.contains("w-") && count < 210 => {
            count += 1;
            line.replace("model-3/v1", "model-3/v1, model-3/v2")
        }
        _ => line.to_owned(),
    });
    lines.collect::<Vec<_>>().join("\n") + "\n"
}

/// A site of the target size: 40 versions, 2,100 endpoints in 16 failure domains.
fn large_text() -> String {
    let mut text = String::from("failure-domains:\n");
    for d in 0..DOMAINS {
        put(
            &mut text,
            format_args!("  d-{d}: {{ region: r-{} }}", d % 5),
        );
    }
    text.push_str("models:\n");
    for m in 0..MODELS {
        put(&mut text, format_args!("  model-{m}:\n    versions:"));
        for v in 0..VERSIONS {
            let state = if v == 2 {
                "canary\n        share: 5%"
            } else {
                "serving"
            };
            put(
                &mut text,
                format_args!("      v{v}:\n        state: {state}"),
            );
            put(
                &mut text,
                format_args!("        price: {{ input: 0.2, output: 0.8 }}"),
            );
        }
    }
    text.push_str("pools:\n  language:\n    kind: engines\n    fencing: true\n");
    text.push_str("    concurrency: 24\n    versions: [model-0/*]\n    endpoints:\n");
    for e in 0..ENDPOINTS {
        let (a, b, d, m) = (e / 250, e % 250, e % DOMAINS, e % MODELS);
        put(
            &mut text,
            format_args!(
                "      w-{e}: {{ address: 10.0.{a}.{b}:8000, failure-domain: d-{d}, versions: \
                 [model-{m}/v1, model-{m}/v{}] }}",
                [0, 2, 3][e / MODELS % 3]
            ),
        );
    }
    text.push_str("services:\n");
    for m in 0..MODELS {
        put(
            &mut text,
            format_args!("  service-{m}:\n    kind: model\n    pool: language"),
        );
        put(
            &mut text,
            format_args!("    models: [model-{m}]\n    quality: 90%"),
        );
    }
    text.push_str("customers:\n");
    for c in 0..CUSTOMERS {
        let key = oatdale_config::Digest::of(format!("key-{c}"));
        put(
            &mut text,
            format_args!("  customer-{c}:\n    keys: [{key}]"),
        );
        let m = c % MODELS;
        put(
            &mut text,
            format_args!("    services: [service-{m}]\n    versions: [model-{m}/*]"),
        );
        put(
            &mut text,
            format_args!("    limits: {{ requests-per-second: 60, concurrent: 200 }}"),
        );
    }
    text
}

fn put(text: &mut String, line: std::fmt::Arguments<'_>) {
    writeln!(text, "{line}").expect("a string takes it");
}
