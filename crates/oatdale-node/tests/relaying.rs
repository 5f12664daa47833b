//! `oatdaled` as a relay, in a process of its own.

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use oatdale_adapter_fakes::{
    Behaviour, CONFIGURATION_KEY, Endpoint, EndpointOptions, NODE_KEY_PREFIX, READINESS_PATH,
    Store, StoreFault,
};
use oatdale_platform::{Pool, Reuse};
use serde_json::json;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Far longer than anything takes that a test waits for.
const LONG: Duration = Duration::from_secs(20);

/// A relay, ended with the test.
struct Process {
    child: Child,
    settings: PathBuf,
    ip: String,
}

impl Process {
    fn start(number: u8, key_value: SocketAddr) -> Process {
        let process = std::process::id();
        let ip = format!("127.{}.{}.{number}", process / 250 % 250 + 1, process % 250);
        let settings = std::env::temp_dir().join(format!("oatdale-relay-{process}-{number}.yaml"));
        std::fs::write(&settings, text(&ip, key_value)).expect("the folder takes a file");
        let child = Command::new(env!("CARGO_BIN_EXE_oatdaled"))
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::null())
            .spawn()
            .expect("the program starts");
        Process {
            child,
            settings,
            ip,
        }
    }

    fn at(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip).parse().expect("an address")
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("a process id fits");
        kill(Pid::from_raw(pid), signal).expect("the process is there");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

fn text(ip: &str, key_value: SocketAddr) -> String {
    format!(
        "platform: registry\nhost: n{ip}\nfailure-domain: a\nlisten:\n  callers: {ip}:24001\n  \
         readiness: {ip}:24002\n  addresses: {ip}:24003\n  nodes: {ip}:24004\n  metrics: \
         {ip}:24005\n  state: {ip}:24006\nkey-value: {key_value}\nbounds:\n  stop-s: 2\n  addresses-s: 5\n  \
         repeat-ratio: 0.9\n  repeat-slack: 50\n  exposure-share: 0.15\n  exposure-slack: 30\n  \
         session-s: 5\n"
    )
}

async fn site() -> (Store, Endpoint) {
    let store = Store::start().await.expect("a port is free");
    let options = EndpointOptions {
        id: "desk-1".to_owned(),
        service: "desk".to_owned(),
        version: "v1".to_owned(),
        domain: "a".to_owned(),
        default_behaviour: Behaviour::Answer(200),
    };
    let desk = Endpoint::start(options).await.expect("a port is free");
    store.put(&desk.key(), &desk.record("ready"));
    store.put(
        CONFIGURATION_KEY,
        &json!({"version": 1, "routes": [{"name": "look", "host": "desk.example",
            "prefix": "/look/", "kind": "safe", "service": "desk", "max_attempts": 2}]}),
    );
    (store, desk)
}

async fn status(addr: SocketAddr, path: &str) -> Option<u16> {
    Some(get(addr, path).await?.0)
}

/// An answer's status and body.
async fn get(addr: SocketAddr, path: &str) -> Option<(u16, Bytes)> {
    let req = Request::get(path)
        .header("host", "desk.example")
        .header("request-id", "r1")
        .body(Full::<Bytes>::default())
        .expect("a request");
    let end = Instant::now() + Duration::from_secs(2);
    let sent = Pool::default().send(addr, req, Reuse::Never, end).await;
    let (head, body) = sent.ok()?.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    Some((head.status.as_u16(), body))
}

async fn until(what: &str, mut test: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + LONG;
    while !test().await {
        assert!(Instant::now() < end, "in vain: {what}");
        sleep(Duration::from_millis(30)).await;
    }
}

#[tokio::test]
async fn two_processes_serve_tell_of_each_other_and_stop_in_order() {
    let (store, desk) = site().await;
    let mut relays = [1, 2].map(|n| Process::start(n, store.addr()));
    for relay in &relays {
        let ready = relay.at(24002);
        until("it is ready", async || {
            status(ready, READINESS_PATH).await == Some(200)
        })
        .await;
        assert_eq!(status(relay.at(24001), "/look/1").await, Some(200));
    }
    assert_eq!(desk.executed_requests().len(), 2);
    until("both are registered", async || {
        store.keys(NODE_KEY_PREFIX).len() == 2
    })
    .await;
    relays[0].signal(Signal::SIGTERM);
    let ready = relays[0].at(24002);
    until("it is not ready", async || {
        status(ready, READINESS_PATH).await != Some(200)
    })
    .await;
    assert_eq!(status(relays[0].at(24001), "/look/1").await, Some(200));
    until("its record is gone", async || {
        store.keys(NODE_KEY_PREFIX).len() == 1
    })
    .await;
    let end = Instant::now() + LONG;
    let code = loop {
        match relays[0].child.try_wait().expect("it is our child") {
            Some(code) => break code,
            None => sleep(Duration::from_millis(50)).await,
        }
        assert!(Instant::now() < end, "it does not end");
    };
    assert!(code.success(), "{code}");
    assert_eq!(status(relays[1].at(24001), "/look/1").await, Some(200));
}

// The host writes a broken settings file and tells the process of it. It has to go on with the
// settings that it has.
#[tokio::test]
async fn a_broken_settings_file_changes_nothing() {
    let (store, _desk) = site().await;
    let relay = Process::start(3, store.addr());
    let ready = relay.at(24002);
    until("it is ready", async || {
        status(ready, READINESS_PATH).await == Some(200)
    })
    .await;
    std::fs::write(&relay.settings, "platform: [").expect("the file can be written");
    relay.signal(Signal::SIGHUP);
    sleep(Duration::from_millis(300)).await;
    assert_eq!(status(relay.at(24001), "/look/1").await, Some(200));
    assert_eq!(status(ready, READINESS_PATH).await, Some(200));
}

// The host changes the settings file and tells nobody. Callers would be told for ever to keep addresses for
// longer than the site promises by now.
#[tokio::test]
async fn a_settings_file_that_changes_without_a_signal_is_taken_in() {
    let (store, _desk) = site().await;
    let relay = Process::start(5, store.addr());
    let told = async || {
        let answer = get(relay.at(24003), "/resolve?name=desk.example").await;
        let (_, body) = answer.unwrap_or_default();
        let body: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        body["ttl_s"].as_f64()
    };
    until("it tells addresses", async || told().await == Some(1.5)).await;
    let text = std::fs::read_to_string(&relay.settings).expect("it is there");
    let changed = text.replace("addresses-s: 5", "addresses-s: 0.5");
    std::fs::write(&relay.settings, changed).expect("the file can be written");
    until("the change is in force", async || told().await == Some(0.5)).await;
}

// All nodes lose their power at once, while the key-value service is away. They have to serve again
// as soon as it is back, from what lies there alone.
#[tokio::test]
async fn processes_that_died_together_serve_again_from_the_key_value_service() {
    let (store, _desk) = site().await;
    let before = Process::start(4, store.addr());
    let ready = before.at(24002);
    until("it is ready", async || {
        status(ready, READINESS_PATH).await == Some(200)
    })
    .await;
    before.signal(Signal::SIGKILL);
    drop(before);
    store.set_fault(StoreFault::Unavailable);
    let after = Process::start(4, store.addr());
    until("it refuses for now", async || {
        status(after.at(24001), "/look/1").await == Some(503)
    })
    .await;
    store.set_fault(StoreFault::None);
    let began = Instant::now();
    until("it serves", async || {
        status(after.at(24001), "/look/1").await == Some(200)
    })
    .await;
    assert!(
        began.elapsed() < Duration::from_secs(3),
        "{:?}",
        began.elapsed()
    );
}

#[test]
fn settings_that_can_not_be_used_end_the_process_with_a_clear_line() {
    let whole = text("127.0.0.1", "127.0.0.1:1".parse().expect("an address"));
    let cases = [
        (None, "can't read"),
        (Some(whole.replace("key-value", "kv")), "key-value"),
        (Some(whole.replace("stop-s: 2", "stop-s: soon")), "stop-s"),
        (
            Some(whole.replace("127.0.0.1:24001", "here")),
            "socket address",
        ),
    ];
    for (n, (text, expected)) in cases.into_iter().enumerate() {
        let file = format!("oatdale-bad-{}-{n}.yaml", std::process::id());
        let path = std::env::temp_dir().join(file);
        if let Some(text) = text {
            std::fs::write(&path, text).expect("the folder takes a file");
        }
        let out = Command::new(env!("CARGO_BIN_EXE_oatdaled"))
            .arg("--settings")
            .arg(&path)
            .output()
            .expect("the program starts");
        let _ = std::fs::remove_file(&path);
        let said = String::from_utf8_lossy(&out.stderr);
        assert_eq!(out.status.code(), Some(2), "{said}");
        assert!(said.contains(expected), "{expected} in: {said}");
    }
}
