//! How `oatdaled` starts, and what it says when it can't.

use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Output};

/// Starts that must all end.
const STARTS: usize = 20;

fn run(name: &str, settings: &str, more: &[&str]) -> Output {
    let file = format!("oatdale-start-{}-{name}.yaml", std::process::id());
    let path: PathBuf = std::env::temp_dir().join(file);
    std::fs::write(&path, settings).expect("the temporary folder takes a file");
    let output = Command::new(env!("CARGO_BIN_EXE_oatdaled"))
        .arg("--settings")
        .arg(&path)
        .args(more)
        .output()
        .expect("the program starts");
    std::fs::remove_file(&path).expect("it was written");
    output
}

fn settings(admin: &str) -> String {
    format!(
        "host: entry-1
failure-domain: north
region: home
listen: {{ callers: \"127.0.0.1:0\", nodes: \"127.0.0.1:0\", admin: \"{admin}\" }}
platform: {{ key-value: \"127.0.0.1:9\" }}
mesh-key: {}
",
        "5a".repeat(32)
    )
}

// A second node is started on a host where one runs already, so a port is taken. The operator must
// see at once which one; a program that just sits there looks as if it served.
#[test]
fn a_taken_port_ends_the_program_with_the_address() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = taken.local_addr().unwrap().to_string();
    // Which thread reaches standard error first is a matter of luck.
    for _ in 0..STARTS {
        let output = run("taken", &settings(&addr), &[]);
        let said = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(1), "{said}");
        assert!(said.contains(&format!("can't listen on {addr}")), "{said}");
    }
}

#[test]
fn checking_settings_starts_nothing() {
    let output = run("check", &settings("127.0.0.1:0"), &["--check"]);
    assert_eq!(output.status.code(), Some(0));
    let said = String::from_utf8_lossy(&output.stdout);
    assert!(said.contains("the settings are right"), "{said}");
}

#[test]
fn wrong_settings_are_told_with_their_place() {
    let wrong = settings("127.0.0.1:0").replace("region: home", "regoin: home");
    let output = run("wrong", &wrong, &[]);
    assert_eq!(output.status.code(), Some(2));
    let said = String::from_utf8_lossy(&output.stderr);
    assert!(said.contains("region"), "{said}");
    assert!(said.contains(":3:") || said.contains("line 3"), "{said}");
}
