//! Records that go to the journal through another node, and nodes that fail in between.

#[path = "support/process.rs"]
mod process;
#[path = "support/site.rs"]
mod site;

use bytes::Bytes;
use futures::future::join_all;
use http::StatusCode;
use nix::sys::signal::Signal;
use oatdale_fakes::Plain;
use oatdale_mesh::{Command, Event, Intervals, Listen, MeshConfig};
use process::Process;
use site::{Got, Site, bearer, until};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use tokio::sync::{mpsc, oneshot};

const NODES: usize = 3;

/// Enough that each node is preferred for some of them.
const KEYS: usize = 24;

async fn start(site: &Site) -> Vec<Process> {
    let mut nodes: Vec<Process> = Vec::new();
    for index in 0..NODES {
        let seed = nodes.first().map(|node| node.nodes);
        let settings = site::settings(index, seed, &site.stand_ins);
        nodes.push(Process::start(&format!("append-{index}"), &settings));
    }
    for node in &nodes {
        until("the node serves and knows the others", async || {
            let status = site.get(node.admin, "/v1/status", &[]).await.json();
            let known = status["peers"].as_array().map_or(0, |all| {
                all.iter().filter(|p| p["state"] == "serving").count()
            });
            status["state"] == "serving" && known == NODES - 1
        })
        .await;
    }
    nodes
}

/// Calls of a node to others, by what came of them.
async fn forwards(site: &Site, node: &Process, result: &str) -> u64 {
    let text = site.get(node.admin, "/metrics", &[]).await.text();
    let name = format!("oatdale_journal_forwards_total{{result=\"{result}\"}} ");
    let line = text.lines().find_map(|line| line.strip_prefix(&name));
    line.map_or(0, |count| count.parse().expect("a count"))
}

fn slot(round: &str, n: usize) -> String {
    format!("/slots/{round}-{n}/confirm")
}

/// Confirms with a key of its own; `None` when the node is gone.
async fn confirm(site: &Site, node: &Process, round: &str, n: usize) -> Option<Got> {
    let (auth, key) = (bearer(site::KEY), format!("{round}-{n}"));
    let headers = [("authorization", auth.as_str()), ("idempotency-key", &key)];
    let path = format!("/services/desk{}", slot(round, n));
    site.try_send(node.callers, "POST", &path, &headers, "{}")
        .await
}

/// Confirms each key through each of the nodes at once; who succeeded, by key.
async fn confirm_all(site: &Site, nodes: &[&Process], round: &str) -> BTreeMap<usize, usize> {
    let all = (0..KEYS).flat_map(|n| nodes.iter().map(move |node| (n, *node)));
    let calls = all.map(|(n, node)| async move { (n, confirm(site, node, round, n).await) });
    let mut done = BTreeMap::new();
    for (n, got) in join_all(calls).await {
        let ok = got.is_some_and(|got| got.status.is_success());
        *done.entry(n).or_default() += usize::from(ok);
    }
    done
}

fn runs(site: &Site) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for call in site.stand_ins.plain().iter().flat_map(Plain::calls) {
        *runs.entry(call.path).or_default() += 1;
    }
    runs
}

fn assert_once(site: &Site) {
    for (path, count) in runs(site) {
        assert_eq!(count, 1, "{path} ran {count} times");
    }
}

/// Waits until every key of a round was served, by asking again as callers do.
async fn served(site: &Site, node: &Process, round: &str) {
    for n in 0..KEYS {
        until("the key is used up", async || {
            let got = confirm(site, node, round, n).await.expect("it lives");
            let ran = runs(site).contains_key(&slot(round, n));
            let not_run = got.run() == "not-run";
            assert!(ran || not_run, "{}", got.text());
            ran && got.status == StatusCode::CONFLICT
        })
        .await;
    }
}

async fn billed(site: &Site) {
    let ran = runs(site).len();
    until("each that ran has its bill", async || {
        site.bills().await.len() >= ran
    })
    .await;
    let bills = site.bills().await;
    let requests: BTreeSet<_> = bills.iter().map(|bill| bill.request).collect();
    assert_eq!((bills.len(), requests.len()), (ran, ran));
}

// While all is well the records go through the others. A node that claims for another must answer
// for that one's request: would it answer for its own, two nodes might both believe to have won.
#[tokio::test]
async fn of_one_key_at_three_nodes_one_runs() {
    let site = Site::start(0).await;
    let nodes = start(&site).await;
    let all: Vec<&Process> = nodes.iter().collect();
    let done = confirm_all(&site, &all, "well").await;
    assert!(done.values().all(|count| *count == 1), "{done:?}");
    assert_once(&site);
    assert_eq!(runs(&site).len(), KEYS);
    billed(&site).await;
    for node in &nodes {
        assert!(forwards(&site, node, "answered").await > 0);
    }
}

// A host loses power while others wait for it to append their claims. Some of these are in the
// journal and some are not, and nobody can tell which. A node that took a missing answer for "not
// won" and sent the request under a new claim would book a slot twice; one that took it for "won"
// would do so together with another node.
#[tokio::test]
async fn a_killed_appender_makes_nothing_run_twice() {
    let site = Site::start(0).await;
    let mut nodes = start(&site).await;
    confirm_all(&site, &[&nodes[1], &nodes[2]], "before").await;
    let victim = nodes.remove(0);
    let live: Vec<&Process> = nodes.iter().collect();
    let (_, ()) = futures::join!(confirm_all(&site, &live, "during"), async {
        until("the first have run", async || {
            runs(&site).keys().any(|path| path.contains("during"))
        })
        .await;
        victim.signal(Signal::SIGKILL);
    });
    confirm_all(&site, &live, "after").await;
    for round in ["before", "during", "after"] {
        served(&site, &nodes[0], round).await;
        served(&site, &nodes[1], round).await;
    }
    assert_once(&site);
    assert_eq!(runs(&site).len(), 3 * KEYS);
    billed(&site).await;
}

// A host stands still for a while: it gets the others' records and answers none, and when it goes
// on it appends them all, long after their nodes did so themselves. Callers would notice a request
// that runs twice, a bill that stands twice, or a key that is taken by nobody.
#[tokio::test]
async fn answers_that_never_come_make_nothing_run_twice() {
    let site = Site::start(0).await;
    let nodes = start(&site).await;
    let (paused, live) = (&nodes[0], [&nodes[1], &nodes[2]]);
    confirm_all(&site, &live, "before").await;
    paused.signal(Signal::SIGSTOP);
    let done = confirm_all(&site, &live, "during").await;
    paused.signal(Signal::SIGCONT);
    assert!(done.values().all(|count| *count <= 1), "{done:?}");
    let mut unanswered = 0;
    for node in live {
        unanswered += forwards(&site, node, "unanswered").await;
    }
    assert!(unanswered > 0, "every call was answered");
    for round in ["before", "during"] {
        for node in &nodes {
            served(&site, node, round).await;
        }
    }
    assert_once(&site);
    assert_eq!(runs(&site).len(), 2 * KEYS);
    billed(&site).await;
}

/// A host in the mesh that is no node of this release: it answers every message with one that
/// can't be read, or that nobody asked for.
async fn babbler(site: &Site, seed: SocketAddr) {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let kv = site.stand_ins.listening().iter().find(|l| l.name == "kv");
    let key = site::digest(&kv.expect("it was started").address.to_string());
    let address = socket.local_addr().expect("it is bound");
    let cfg = MeshConfig {
        host: "node-9".to_owned(),
        domain: site::DOMAINS[0].to_owned(),
        region: "home".to_owned(),
        incarnation: oatdale_mesh::new_incarnation(),
        listen: Listen::Bound(socket),
        advertise: address,
        caller_address: address,
        seeds: vec![seed],
        key: hex::decode(&key["sha256:".len()..]).expect("hexadecimal digits"),
        holder_count: 2,
        intervals: Intervals::default(),
    };
    let (tx, commands) = mpsc::channel(64);
    let (events, rx) = mpsc::channel(64);
    tokio::spawn(oatdale_mesh::run(cfg, commands, events));
    tokio::spawn(babble(tx, rx));
}

async fn babble(tx: mpsc::Sender<Command>, mut rx: mpsc::Receiver<Event>) {
    // Empty, another version, no CBOR, and "won" for a call that nobody made.
    let answers = [&b""[..], b"\x07", b"\x01\xff\xff", b"\x01\x82\x01aW"];
    while let Some(event) = rx.recv().await {
        let Event::Forwarded { from, .. } = event else {
            continue;
        };
        for payload in answers {
            let (reply, _) = oneshot::channel();
            let to = from.clone();
            let payload = Bytes::from_static(payload);
            let _ = tx.send(Command::Forward { to, payload, reply }).await;
        }
    }
}

// A host runs another release whose messages this one can't read, and it is preferred for some
// shards. A node that took its answers for its own calls' would dispatch without a claim; one that
// failed over them would refuse keyed requests for as long as the two releases run together.
#[tokio::test]
async fn a_peer_that_babbles_is_passed_over() {
    let site = Site::start(0).await;
    let nodes = start(&site).await;
    babbler(&site, nodes[0].nodes).await;
    for node in &nodes {
        until("the node sees the other host", async || {
            let status = site.get(node.admin, "/v1/status", &[]).await;
            status.text().contains("node-9")
        })
        .await;
    }
    let all: Vec<&Process> = nodes.iter().collect();
    let done = confirm_all(&site, &all, "babble").await;
    assert!(done.values().all(|count| *count == 1), "{done:?}");
    let mut unanswered = 0;
    for node in &nodes {
        unanswered += forwards(&site, node, "unanswered").await;
    }
    assert!(unanswered > 0, "the other host was never asked");
    assert_once(&site);
    assert_eq!(runs(&site).len(), KEYS);
    billed(&site).await;
}
