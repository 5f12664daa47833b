//! Roll-outs change one version's words and nothing else, and differences read well.

use oatdale_config::{EditError, VersionState, changes, from_str, set_state, unified, unserved};

const TEXT: &str = "\
failure-domains: { a: { region: r } }
models:
  mini:
    versions:
      1.0:   # the old one
        state: serving   # since spring
        price: { input: 1, output: 2 }
      1.1:
        state:  \"canary\"  # growing
        # Mai raises this on Mondays.
        share: 5%   # of new sessions
        price: { input: 1, output: 2 }
      1.2: { state: canary, share: 10%, price: { input: 1, output: 2 } }
      1.3: { state: serving, price: { input: 1, output: 2 } }
      1.4: { share: 10%, state: canary, price: { input: 1, output: 2 } }
pools:
  p:
    kind: engines
    fencing: false
    concurrency: 1
    versions: [mini/*]
    endpoints: { e: { address: 10.0.0.1:80, failure-domain: a } }
services:
  s: { kind: model, pool: p, models: [mini], quality: 0.9 }
customers:
  c:
    keys: [sha256:7f1b5a2c9d3e4f60718293a4b5c6d7e8f90a1b2c3d4e5f60718293a4b5c6d7e8]
    services: [s]
    versions: [mini/*]
    limits: { requests-per-second: 5, concurrent: 2 }
";

const CANARY: VersionState = VersionState::Canary { share: 0.25 };

#[test]
fn a_change_of_state_keeps_comments_and_layout() {
    let mut all = String::new();
    for version in ["1.0", "1.1", "1.2", "1.3", "1.4"] {
        for state in [
            CANARY,
            VersionState::Serving,
            VersionState::Draining,
            VersionState::Withdrawn,
        ] {
            let name = format!("mini/{version}");
            let text = set_state(TEXT, &name, state).expect("it can be changed");
            let cfg = from_str(&text).expect("sound");
            assert_eq!(cfg.versions[cfg.version(&name).unwrap()].state, state);
            all.push_str(&unified(TEXT, &text, ("old", &format!("{name} {state}"))));
        }
    }
    let mut settings = insta::Settings::clone_current();
    settings.set_omit_expression(true);
    settings.bind(|| insta::assert_snapshot!("edits", all));
}

#[test]
fn windows_line_ends_stay() {
    let text = TEXT.replace('\n', "\r\n");
    let edited = set_state(&text, "mini/1.0", CANARY).expect("it can be changed");
    assert!(edited.contains("state: canary   # since spring\r\n        share: 25%\r\n"));
    assert_eq!(edited.matches('\n').count(), edited.matches("\r\n").count());
    let back = set_state(&edited, "mini/1.0", VersionState::Serving).expect("and back");
    assert_eq!(back, text);
}

#[test]
fn a_state_that_holds_already_changes_nothing() {
    let text = set_state(TEXT, "mini/1.0", VersionState::Serving).expect("no change");
    assert_eq!(text, TEXT);
}

// The state of two versions is written once and named by an alias. Changing the one word would
// change both, so an operator who withdraws one version would withdraw the other too.
#[test]
fn a_state_shared_by_an_alias_is_not_spoilt() {
    let text = TEXT
        .replace("state: serving   # since", "state: &s serving   # since")
        .replace("1.4: { share: 10%, state: canary,", "1.4: { state: *s,");
    from_str(&text).expect("sound");
    let refused = set_state(&text, "mini/1.0", VersionState::Draining).unwrap_err();
    assert!(matches!(refused, EditError::Layout { .. }), "{refused}");
}

#[test]
fn unknown_versions_and_forbidden_states_are_refused() {
    let unknown = set_state(TEXT, "mini/1.11", VersionState::Serving).unwrap_err();
    insta::assert_snapshot!(unknown, @"there is no version `mini/1.11`; did you mean `mini/1.1`?");
    let too_much = VersionState::Canary { share: 0.9 };
    let over = set_state(TEXT, "mini/1.3", too_much).unwrap_err();
    assert!(matches!(over, EditError::After { .. }), "{over}");
    assert!(
        over.to_string().contains("take 105% of its new sessions"),
        "{over}"
    );
    let text = set_state(TEXT, "mini/1.3", VersionState::Canary { share: 0.01 });
    let only_canaries = set_state(&text.expect("1.0 still serves"), "mini/1.0", too_little());
    assert!(matches!(
        only_canaries.unwrap_err(),
        EditError::After { .. }
    ));
}

fn too_little() -> VersionState {
    VersionState::Canary { share: 0.01 }
}

// The only version left does harm, and the operator withdraws it in a hurry. A check that held this
// up to spare callers a refusal would let the bad version go on answering them.
#[test]
fn the_last_version_can_be_withdrawn_and_who_loses_by_it_is_told() {
    let text = set_state(TEXT, "mini/1.0", VersionState::Draining).expect("1.3 still serves");
    assert!(unserved(&from_str(&text).expect("sound")).is_empty());
    let text = set_state(&text, "mini/1.3", VersionState::Withdrawn).expect("nothing holds it up");
    let cfg = from_str(&text).expect("sound");
    let lost = unserved(&cfg);
    assert_eq!(lost.len(), 1);
    assert_eq!(cfg.customers[lost[0].0].name, "c");
    assert_eq!(cfg.services[lost[0].1].name, "s");
}

#[test]
fn differences_in_meaning() {
    let new = TEXT
        .replace("state: serving   #", "state: draining   #")
        .replace("share: 5% ", "share: 20% ")
        .replace(
            "      1.4: { share: 10%, state: canary, price: { input: 1, output: 2 } }\n",
            "",
        )
        .replace("10.0.0.1:80", "10.0.0.2:80")
        .replace("quality: 0.9", "quality: 95%")
        .replace("concurrent: 2", "concurrent: 4")
        .replace(
            "endpoints: { e:",
            "endpoints: { f: { address: 10.0.0.9:80, failure-domain: a }, e:",
        );
    let (old, new) = (
        from_str(TEXT).expect("sound"),
        from_str(&new).expect("sound"),
    );
    let lines: Vec<String> = changes(&old, &new)
        .iter()
        .map(ToString::to_string)
        .collect();
    insta::assert_snapshot!(lines.join("\n"), @r"
    version mini/1.0: state: serving -> draining
    version mini/1.1: state: canary 5% -> canary 20%
    version mini/1.4: removed
    endpoint f: added (pool p, address 10.0.0.9:80, failure-domain a, concurrency 1)
    endpoint e: address: 10.0.0.1:80 -> 10.0.0.2:80
    endpoint e: versions: without mini/1.4
    service s: quality: 0.9 -> 0.95
    customer c: concurrent: 2 -> 4
    customer c: versions: without mini/1.4
    ");
    assert!(changes(&old, &old).is_empty());
}
