//! The tour that the README tells newcomers to begin with.

use std::process::Command;

/// One line of each part of the tour, in its order.
const LINES: [&str; 9] = [
    "examples/skyward.yaml is in force as revision 1",
    "orbit-pro/2026-10 answered: 120 pieces",
    "shift-notes/2026-11-29-night.txt: 60 words",
    "the desks' own logs: it ran once",
    "the session asked each node: still orbit-mini/2026-09",
    "the next 12 requests, over all nodes: all by orbit-mini/2026-09",
    "the old session is refused by each node: 410, session-version-withdrawn, not-run",
    "all 120 pieces came, with the end",
    "All of it came out as it should",
];

#[test]
fn the_tour_comes_out_as_it_tells() {
    let output = Command::new(env!("CARGO_BIN_EXE_oatdale"))
        .arg("demo")
        .output()
        .expect("the program starts");
    let out = String::from_utf8_lossy(&output.stdout);
    let err = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(0), "{out}\n{err}");
    let mut rest = out.as_ref();
    for line in LINES {
        let at = rest.find(line);
        let at = at.unwrap_or_else(|| panic!("no {line:?} where it should be in\n{out}"));
        rest = &rest[at + line.len()..];
    }
    assert_eq!(err, "", "the nodes' log lines are for `--verbose`");
}

#[test]
fn a_script_gets_one_json_value() {
    let output = Command::new(env!("CARGO_BIN_EXE_oatdale"))
        .args(["demo", "--json"])
        .output()
        .expect("the program starts");
    assert!(output.status.success());
    let facts: serde_json::Value =
        serde_json::from_slice(&output.stdout).expect("one JSON value and nothing else");
    assert_eq!(facts["answered"], facts["bills"]);
    assert!(facts["answered"].as_u64() > Some(20), "{facts}");
    assert!(facts["price_micros"].as_u64() > Some(0), "{facts}");
}

/// The README's small site is checked as a newcomer would do it.
#[test]
fn the_small_site_of_the_readme_is_sound() {
    let examples = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/local");
    let nodes = [1, 2, 3].map(|n| format!("{examples}/node-{n}.yaml"));
    let site = format!("{examples}/site.yaml");
    let [one, two, three] = nodes.each_ref().map(String::as_str);
    for args in [
        &["check", &site][..],
        &["check", "--settings", one, two, three],
    ] {
        let output = Command::new(env!("CARGO_BIN_EXE_oatdale"))
            .args(args)
            .output()
            .expect("the program starts");
        let err = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{args:?}: {err}");
    }
}
