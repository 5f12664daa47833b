//! Bad texts are refused with the place, the sort and what to write instead.
//!
//! Each case changes one sound text in one place; the snapshots hold the messages.

use std::fmt::Write as _;

const SOUND: &str = "\
failure-domains:
  hcm-a: { region: hcm }
models:
  mini:
    versions:
      1.0:
        state: serving
        price: { input: 0.2, output: 0.8 }
      1.1:
        state: canary
        share: 60%
        price: { input: 0.2, output: 0.8 }
  large:
    versions:
      2.0: { state: serving, price: { input: 2, output: 8 } }
pools:
  language:
    kind: engines
    fencing: true
    concurrency: 8
    versions: [mini/*, large/*]
    endpoints:
      language-1: { address: 10.0.0.1:8000, failure-domain: hcm-a }
      language-2: { address: 10.0.0.2:8000, failure-domain: hcm-a }
  desk:
    kind: plain
    concurrency: 8
    endpoints:
      desk-1: { address: 10.0.0.3:8000, failure-domain: hcm-a }
services:
  draft:
    kind: model
    pool: language
    models: [mini, large]
    quality: 90%
    depends-on: [booking]
  booking:
    kind: plain
    pool: desk
    deadline: 2s
    non-idempotent: [POST /slots/*/confirm]
customers:
  cubesat:
    keys: [sha256:7f1b5a2c9d3e4f60718293a4b5c6d7e8f90a1b2c3d4e5f60718293a4b5c6d7e8]
    services: [draft, booking]
    versions: [mini/*, large/2.0]
    limits: { requests-per-second: 5, concurrent: 2 }
  flood:
    keys: [sha256:aaaa5a2c9d3e4f60718293a4b5c6d7e8f90a1b2c3d4e5f60718293a4b5c6d7e8]
    services: [booking]
    limits: { requests-per-second: 5, concurrent: 2 }
";

const NODE: &str = "\
host: entry-1
failure-domain: hcm-a
region: hcm
listen: { callers: 10.0.0.1:8080, nodes: 10.0.0.1:8081, admin: 10.0.0.1:8082 }
platform: { key-value: 10.0.0.9:2400 }
mesh-key: 7f1b5a2c9d3e4f60718293a4b5c6d7e8f90a1b2c3d4e5f60718293a4b5c6d7e8
";

/// Replaces the first `old` by `new` and returns what the reader says.
fn change<T>(
    sound: &str,
    (old, new): (&str, &str),
    read: fn(&str) -> oatdale_config::Result<T>,
) -> String {
    assert!(sound.contains(old), "{old} is not in the text");
    let text = sound.replacen(old, new, 1);
    match read(&text) {
        Ok(_) => panic!("{new:?} was accepted"),
        Err(e) => e.to_string(),
    }
}

fn messages<T>(
    sound: &str,
    cases: &[(&str, &str)],
    read: fn(&str) -> oatdale_config::Result<T>,
) -> String {
    let mut messages = String::new();
    for case in cases {
        let (old, new) = case;
        let error = change(sound, *case, read);
        writeln!(messages, "{old:?} becomes {new:?}\n{error}\n").expect("a string takes it");
    }
    messages
}

fn text(cases: &[(&str, &str)]) -> String {
    messages(SOUND, cases, oatdale_config::from_str)
}

/// Compares with the stored messages; the cases stand in them already, so the expression is left
/// out.
fn check(name: &str, found: &str) {
    let mut settings = insta::Settings::clone_current();
    settings.set_omit_expression(true);
    settings.bind(|| insta::assert_snapshot!(name, found));
}

#[test]
fn the_unchanged_texts_are_sound() {
    oatdale_config::from_str(SOUND).expect("sound");
    oatdale_config::node_settings_from_str(NODE).expect("sound");
}

#[test]
fn syntax() {
    check(
        "syntax",
        &text(&[
            ("{ region: hcm }", "{ region: hcm"),
            ("  mini:", "\tmini:"),
            ("versions: [mini/*", "versions: [mini/*]]"),
            ("pools:", "---\npools:"),
            ("kind: engines", "kind: *nowhere"),
        ]),
    );
}

// A file that is cut off while it is copied may still be sound YAML. In force, it would shut out
// every caller.
#[test]
fn empty_and_cut_off_texts() {
    let cut_off = SOUND.split("services:").next().expect("a first part");
    let mut found = String::new();
    for text in ["", "# nothing\n", "customers:\n", cut_off] {
        let error = oatdale_config::from_str(text).unwrap_err();
        writeln!(found, "{error}\n").expect("a string takes it");
    }
    check("empty", &found);
}

#[test]
fn fields() {
    check(
        "fields",
        &text(&[
            ("customers:", "custmers:"),
            ("failure-domain: hcm-a", "failure_domain: hcm-a"),
            ("quality: 90%", "qualty: 90%"),
            ("kind: plain", "color: red"),
            ("    pool: desk\n", ""),
            ("    pool: desk\n", "    pool: desk\n    pool: desk\n"),
            ("        share: 60%\n", ""),
            ("fencing: true", "fencing: yes"),
            ("    fencing: true\n", ""),
            ("concurrency: 8", "concurrency: many"),
            ("concurrency: 8", "concurrency: -1"),
            ("    concurrency: 8\n", ""),
            ("    quality: 90%\n", ""),
            ("    models: [mini, large]\n", ""),
            ("models: [mini, large]", "models: mini"),
            ("input: 0.2", "input: cheap"),
            ("region: hcm", "region:"),
            ("{ region: hcm }", "hcm"),
            ("  hcm-a: { region: hcm }", "  - hcm-a"),
        ]),
    );
}

#[test]
fn names() {
    check(
        "names",
        &text(&[
            ("failure-domain: hcm-a", "failure-domain: hcm-b"),
            ("pool: desk", "pool: dsk"),
            ("models: [mini, large]", "models: [mni, large]"),
            ("depends-on: [booking]", "depends-on: [bookings]"),
            ("services: [booking]", "services: [tagging]"),
            ("large/2.0]", "large/2.1]"),
            ("large/2.0]", "lrge/2.0]"),
            ("large/2.0]", "large]"),
            ("state: serving", "state: Serving"),
            ("kind: engines", "kind: engine"),
            ("kind: model", "kind: modell"),
            ("  large:", "  mini:"),
            ("      1.1:", "      1.0:"),
            ("desk-1:", "language-2:"),
            ("  booking:", "  draft:"),
            ("  flood:", "  cubesat:"),
            ("services: [draft, booking]", "services: [draft, draft]"),
            ("  desk:", "  front desk:"),
            ("  desk:", "  '':"),
        ]),
    );
}

#[test]
fn values() {
    check(
        "values",
        &text(&[
            ("share: 60%", "share: 160%"),
            ("share: 60%", "share: 60"),
            ("share: 60%", "share: 0%"),
            ("share: 60%", "share: some"),
            ("quality: 90%", "quality: -1%"),
            ("input: 0.2", "input: -0.2"),
            ("input: 0.2", "input: .nan"),
            ("deadline: 2s", "deadline: 2"),
            ("deadline: 2s", "deadline: 0s"),
            ("10.0.0.1:8000", "worker-1:8000"),
            ("10.0.0.1:8000", "10.0.0.1"),
            ("10.0.0.1:8000", "10.0.0.1:0"),
            ("sha256:7f1b5a", "sha256:7f1b"),
            ("sha256:7f1b5a", "md5:7f1b5a"),
            ("POST /slots/*/confirm", "/slots/*/confirm"),
            ("POST /slots/*/confirm", "POST slots/*/confirm"),
            ("POST /slots/*/confirm", "POST /slots/**/confirm"),
            ("POST /slots/*/confirm", "post /slots/*/confirm"),
            ("requests-per-second: 5", "requests-per-second: 0"),
            ("concurrent: 2", "concurrent: 0"),
        ]),
    );
}

#[test]
fn rules() {
    check(
        "rules",
        &text(&[
            ("state: serving", "state: canary\n        share: 50%"),
            ("state: serving", "state: serving\n        share: 50%"),
            (
                "    kind: plain\n    pool: desk",
                "    kind: plain\n    pool: desk\n    depends-on: [draft]",
            ),
            (
                "    kind: plain\n    pool: desk",
                "    kind: plain\n    pool: desk\n    depends-on: [booking]",
            ),
            ("versions: [mini/*, large/2.0]", "versions: []"),
            ("versions: [mini/*, large/2.0]", "versions: [mini/1.1]"),
            ("versions: [mini/*, large/*]", "versions: [mini/*]"),
            ("sha256:aaaa", "sha256:7f1b"),
            (
                "    keys: [sha256:aaaa5a2c9d3e4f60718293a4b5c6d7e8f90a1b2c3d4e5f60718293a4b5c6d7e8]",
                "    keys: []",
            ),
            ("10.0.0.2:8000", "10.0.0.1:8000"),
            ("pool: desk", "pool: language"),
            ("pool: language", "pool: desk"),
            (
                "    kind: plain\n    concurrency: 8",
                "    kind: plain\n    fencing: true\n    concurrency: 8",
            ),
            (
                "    kind: plain\n    concurrency: 8",
                "    kind: plain\n    versions: [mini/1.0]\n    concurrency: 8",
            ),
            (
                "    kind: plain\n    pool: desk",
                "    kind: plain\n    quality: 90%\n    pool: desk",
            ),
            (
                "    endpoints:\n      desk-1: { address: 10.0.0.3:8000, failure-domain: hcm-a }",
                "    endpoints: {}",
            ),
            (
                "    versions:\n      2.0: { state: serving, price: { input: 2, output: 8 } }",
                "    versions: {}",
            ),
        ]),
    );
}

#[test]
fn several_problems_are_reported_at_once() {
    let text = SOUND
        .replace("state: serving", "state: serveing")
        .replace("10.0.0.2:8000", "10.0.0.2")
        .replace("pool: desk", "pool: dsk")
        .replace("large/2.0]", "large/3.0]");
    let error = oatdale_config::from_str(&text).unwrap_err();
    check("several", &error.in_file("skyward.yaml").to_string());
}

#[test]
fn node_settings() {
    let found = messages(
        NODE,
        &[
            ("host:", "hots:"),
            ("host: entry-1", "host: entry 1"),
            ("callers: 10.0.0.1:8080", "callers: 0.0.0.0:8080"),
            ("callers: 10.0.0.1:8080", "callers: localhost:8080"),
            ("nodes: 10.0.0.1:8081", "nodes: 10.0.0.1:8080"),
            ("mesh-key: 7f1b", "mesh-key: secret-7f1b"),
            ("mesh-key:", "mesh-key-file: a\nmesh-key:"),
            ("mesh-key:", "mesh-key-file: a\nhost-key:"),
            (
                "mesh-key: 7f1b5a2c9d3e4f60718293a4b5c6d7e8f90a1b2c3d4e5f60718293a4b5c6d7e8",
                "",
            ),
            ("region: hcm", "region: hcm\nlog-level: verbose"),
            ("region: hcm", "region: hcm\nlimits: { header-bytes: 1GiB }"),
            ("region: hcm", "region: hcm\nlimits: { connections: 0 }"),
            ("region: hcm", "region: hcm\naddress-lifetime: 15"),
            ("region: hcm", "region: hcm\nrefuse-after: 1s"),
            ("region: hcm", "region: hcm\nbill-holders: 0"),
            ("region: hcm", "region: hcm\npeers: [entry-2:8081]"),
            ("platform: { key-value: 10.0.0.9:2400 }\n", ""),
        ],
        oatdale_config::node_settings_from_str,
    );
    check("node_settings", &found);
}
