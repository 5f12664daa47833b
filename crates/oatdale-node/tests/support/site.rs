//! A site for tests: stand-ins for the platform and endpoints, and nodes in this process.

// Each test file uses a part of it.
#![allow(dead_code)]

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use oatdale_config::{ChangeId, Document, Revision, node_settings_from_str};
use oatdale_fakes::{
    EngineConfig, EngineVersion, RatingConfig, Speed, StandIns, StandInsConfig, WeightStore,
};
use oatdale_journal::{Closing, Exporter};
use oatdale_mesh::Intervals;
use oatdale_node::{Dropped, Node};
use oatdale_platform::{Condition, Kv, Pool, Reuse};
use serde_json::Value;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The failure domains of every test site.
pub(crate) const DOMAINS: [&str; 3] = ["north", "middle", "south"];

/// The customers' keys.
pub(crate) const KEY: &str = "key-of-alpha";
/// The key of a customer that may use nothing but the desk.
pub(crate) const DESK_KEY: &str = "key-of-beta";

/// Long enough for anything that is to happen, on a busy machine too.
pub(crate) const LONG: Duration = Duration::from_secs(20);

/// States of the versions in the text, by name.
pub(crate) type States = BTreeMap<&'static str, &'static str>;

/// Stand-ins, nodes and the revision of the text.
pub(crate) struct Site {
    pub(crate) stand_ins: StandIns,
    pub(crate) nodes: Vec<Node>,
    pub(crate) pool: Pool,
    pub(crate) revision: u64,
}

/// A whole answer.
#[derive(Debug)]
pub(crate) struct Got {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// What came of it.
    pub(crate) body: Bytes,
    /// Whether the message had its proper end.
    pub(crate) whole: bool,
}

impl Got {
    /// The body as JSON; `null` if it is none.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// The id that the node gave the request; `None` if it was refused before it had one.
    pub(crate) fn request(&self) -> Option<String> {
        let named = self.headers.get("x-request-id");
        let named = named.and_then(|value| Some(value.to_str().ok()?.to_owned()));
        named.or_else(|| Some(self.json()["request"].as_str()?.to_owned()))
    }

    /// What a problem says about the request; empty if the answer is no problem.
    pub(crate) fn run(&self) -> String {
        self.json()["run"].as_str().unwrap_or_default().to_owned()
    }

    /// The body as text.
    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// The states of a site's beginning: an older and a newer version, both serving.
pub(crate) fn usual_states() -> States {
    BTreeMap::from([
        ("small/1", "{ state: serving"),
        ("large/1", "{ state: serving"),
        ("large/2", "{ state: withdrawn"),
    ])
}

impl Site {
    /// Starts stand-ins and `nodes` nodes and waits until all have the configuration.
    pub(crate) async fn start(nodes: usize) -> Site {
        Site::with(nodes, &usual_states(), 0.5).await
    }

    /// Starts a site whose service asks for `quality`.
    pub(crate) async fn with(nodes: usize, states: &States, quality: f64) -> Site {
        let stand_ins = StandIns::start(stand_ins()).await.expect("ports are free");
        let mut site = Site {
            stand_ins,
            nodes: Vec::new(),
            pool: Pool::default(),
            revision: 0,
        };
        site.apply(states, quality).await;
        for index in 0..nodes {
            site.add_node(index).await;
        }
        site
    }

    /// Starts one more node, which knows the first of the others.
    pub(crate) async fn add_node(&mut self, index: usize) {
        self.add_node_with(index, Intervals::default()).await;
    }

    /// The same with other timers of the mesh.
    pub(crate) async fn add_node_with(&mut self, index: usize, intervals: Intervals) {
        let seed = self.nodes.first().map(|node| node.addresses().nodes);
        let settings = settings(index, seed, &self.stand_ins);
        let settings = node_settings_from_str(&settings).expect("the settings are right");
        let node = Node::start_with(settings, Dropped::default(), intervals);
        let node = node.expect("a node starts");
        assert!(node.ready(LONG).await, "the node got no configuration");
        self.nodes.push(node);
    }

    /// Stores the next revision of the text.
    pub(crate) async fn apply(&mut self, states: &States, quality: f64) {
        let text = text(&self.stand_ins, states, quality);
        self.apply_text(text).await;
    }

    /// Stores a text as the next revision.
    pub(crate) async fn apply_text(&mut self, text: String) {
        self.revision += 1;
        oatdale_config::from_str(&text).expect("the test's text is right");
        let revision = Revision(self.revision);
        let change = ChangeId(self.revision);
        let kv = self.stand_ins.kv();
        let stored = kv.get("config/current").await.expect("it is up");
        let before = stored.as_ref().map(|entry| Document::decode(&entry.value));
        let before = before.transpose().expect("a document");
        let document = Document::new(revision, change, "test", 0, text)
            .after(before.as_ref())
            .encode();
        let cond = stored.map_or(Condition::Absent, |entry| Condition::Is(entry.revision));
        kv.put("config/current", Bytes::from(document), cond, None)
            .await
            .expect("it is up");
    }

    /// Where callers reach a node of this process.
    pub(crate) fn callers(&self, node: usize) -> SocketAddr {
        self.nodes[node].addresses().callers
    }

    /// Waits until every node says that the newest revision is in force.
    pub(crate) async fn in_force(&self) {
        for node in &self.nodes {
            let admin = node.addresses().admin;
            until("the newest revision is in force", async || {
                let status = self.get(admin, "/v1/status", &[]).await.json();
                status["revision"].as_u64() == Some(self.revision)
            })
            .await;
        }
    }

    /// Sends a request and reads the whole answer.
    pub(crate) async fn send(
        &self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Got {
        let got = self.try_send(addr, method, path, headers, body).await;
        got.expect("the node answers")
    }

    /// Sends a request to a node that may be gone; `None` when no answer began.
    pub(crate) async fn try_send(
        &self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Option<Got> {
        let mut req = Request::builder().method(method).uri(path);
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(body.into())).expect("a right request");
        let deadline = Instant::now() + LONG;
        let res = self.pool.send(addr, req, Reuse::Never, deadline).await;
        let (head, mut body) = res.ok()?.into_parts();
        let mut came = BytesMut::new();
        let whole = loop {
            match timeout_at(deadline, body.frame()).await {
                Ok(Some(Ok(frame))) => came.extend(frame.into_data()),
                Ok(None) => break true,
                Ok(Some(Err(_))) | Err(_) => break false,
            }
        };
        Some(Got {
            status: head.status,
            headers: head.headers,
            body: came.freeze(),
            whole,
        })
    }

    /// Sends a `GET`.
    pub(crate) async fn get(&self, addr: SocketAddr, path: &str, headers: &[(&str, &str)]) -> Got {
        self.send(addr, "GET", path, headers, Bytes::new()).await
    }

    /// Asks a node for a chat completion.
    pub(crate) async fn chat(&self, node: usize, prompt: &str, more: &[(&str, &str)]) -> Got {
        self.chat_at(self.callers(node), prompt, false, more).await
    }

    /// Asks a node for a streamed chat completion.
    pub(crate) async fn chat_stream(&self, node: usize, prompt: &str) -> Got {
        self.chat_at(self.callers(node), prompt, true, &[]).await
    }

    /// Asks for a chat completion at an address.
    pub(crate) async fn chat_at(
        &self,
        addr: SocketAddr,
        prompt: &str,
        stream: bool,
        more: &[(&str, &str)],
    ) -> Got {
        let auth = bearer(KEY);
        let mut headers = vec![("authorization", auth.as_str())];
        headers.extend_from_slice(more);
        let body = chat_json(prompt, stream);
        self.send(addr, "POST", "/v1/chat/completions", &headers, body)
            .await
    }

    /// Calls the plain service.
    pub(crate) async fn desk(
        &self,
        node: usize,
        method: &str,
        path: &str,
        more: &[(&str, &str)],
    ) -> Got {
        let auth = bearer(KEY);
        let mut headers = vec![("authorization", auth.as_str())];
        headers.extend_from_slice(more);
        self.desk_at(self.callers(node), method, path, more).await
    }

    /// Calls the plain service at an address.
    pub(crate) async fn desk_at(
        &self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        more: &[(&str, &str)],
    ) -> Got {
        let auth = bearer(KEY);
        let mut headers = vec![("authorization", auth.as_str())];
        headers.extend_from_slice(more);
        let path = format!("/services/desk{path}");
        self.send(addr, method, &path, &headers, "{}").await
    }

    /// All bills that the journal has.
    pub(crate) async fn bills(&self) -> Vec<Closing> {
        let exporter = Exporter::new(self.stand_ins.kv().clone(), 99)
            .await
            .expect("the service is up");
        let mut bills = Vec::new();
        for shard in exporter.shards() {
            let ledger = exporter
                .read_oldest(shard)
                .await
                .expect("the service is up");
            bills.extend(ledger.bills);
        }
        bills
    }
}

/// The revision that a node says is in force.
pub(crate) async fn revision_at(pool: &Pool, admin: SocketAddr) -> u64 {
    let req = Request::get("/v1/status").body(Full::new(Bytes::new()));
    let deadline = Instant::now() + LONG;
    let res = pool
        .send(admin, req.expect("a right request"), Reuse::Never, deadline)
        .await
        .expect("the node answers");
    let body = res.into_body().collect().await.expect("a whole answer");
    let status: Value = serde_json::from_slice(&body.to_bytes()).expect("a JSON document");
    status["revision"].as_u64().expect("it has a revision")
}

/// The value of an `Authorization` header.
pub(crate) fn bearer(key: &str) -> String {
    format!("Bearer {key}")
}

/// Waits until `test` holds, or fails.
pub(crate) async fn until(what: &str, mut test: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + LONG;
    while !test().await {
        assert!(Instant::now() < end, "in vain: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

pub(crate) fn chat_json(prompt: &str, stream: bool) -> String {
    serde_json::json!({
        "model": "drafts",
        "stream": stream,
        "max_tokens": 8,
        "messages": [{ "role": "user", "content": prompt }],
    })
    .to_string()
}

fn stand_ins() -> StandInsConfig {
    let versions = [("small/1", 0.6), ("large/1", 1.0), ("large/2", 1.0)];
    StandInsConfig {
        first_port: 0,
        domains: DOMAINS.map(str::to_owned).to_vec(),
        engines: 3,
        engine: EngineConfig {
            versions: versions
                .map(|(name, quality)| EngineVersion::held(name, quality))
                .to_vec(),
            speed: Speed {
                step: Duration::from_millis(2),
                ..Speed::default()
            },
            ..EngineConfig::default()
        },
        plain: 3,
        host_lag: Duration::from_millis(50),
        rating: RatingConfig::default(),
        weights: WeightStore::new(Vec::new(), 1 << 30),
        seed: 1,
    }
}

pub(crate) fn text(stand_ins: &StandIns, states: &States, quality: f64) -> String {
    let mut text = "failure-domains:\n".to_owned();
    for domain in DOMAINS {
        writeln!(text, "  {domain}: {{ region: home }}").unwrap();
    }
    text.push_str("models:\n");
    for (model, output) in [("small", 2), ("large", 20)] {
        writeln!(text, "  {model}:\n    versions:").unwrap();
        for (name, state) in states.iter().filter(|(name, _)| name.starts_with(model)) {
            let version = name.rsplit('/').next().unwrap();
            writeln!(
                text,
                "      \"{version}\": {state}, price: {{ input: 1, output: {output} }} }}"
            )
            .unwrap();
        }
    }
    text.push_str("pools:\n");
    let kinds = [
        (
            "engines",
            "engine-",
            "kind: engines\n    fencing: true\n    versions: [small/*, large/*]",
        ),
        ("desks", "plain-", "kind: plain"),
    ];
    for (pool, prefix, kind) in kinds {
        writeln!(
            text,
            "  {pool}:\n    {kind}\n    concurrency: 16\n    endpoints:"
        )
        .unwrap();
        for listening in stand_ins.listening() {
            if let (true, Some(domain)) = (listening.name.starts_with(prefix), &listening.domain) {
                let (name, address) = (&listening.name, listening.address);
                writeln!(
                    text,
                    "      {name}: {{ address: \"{address}\", failure-domain: {domain} }}"
                )
                .unwrap();
            }
        }
    }
    let (key, desk_key) = (digest(KEY), digest(DESK_KEY));
    write!(
        text,
        "services:
  drafts: {{ kind: model, pool: engines, models: [small, large], quality: {quality}, latency-weight: 0, deadline: 10s }}
  desk: {{ kind: plain, pool: desks, deadline: 10s, non-idempotent: [\"POST /slots/*/confirm\"] }}
customers:
  alpha:
    keys: [\"{key}\"]
    services: [drafts, desk]
    versions: [small/*, large/*]
    limits: {{ requests-per-second: 10000, concurrent: 5000 }}
  beta:
    keys: [\"{desk_key}\"]
    services: [desk]
    limits: {{ requests-per-second: 10000, concurrent: 5000 }}
"
    )
    .unwrap();
    text
}

pub(crate) fn digest(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("sha256:{hex}")
}

/// The text of a node's settings.
pub(crate) fn settings(index: usize, seed: Option<SocketAddr>, stand_ins: &StandIns) -> String {
    let address = |name: &str| {
        let found = stand_ins.listening().iter().find(|l| l.name == name);
        found.expect("it was started").address
    };
    let peers = seed.map_or(String::new(), |seed| format!("\"{seed}\""));
    format!(
        "host: node-{index}
failure-domain: {domain}
region: home
listen: {{ callers: \"127.0.0.1:0\", nodes: \"127.0.0.1:0\", admin: \"127.0.0.1:0\" }}
platform: {{ key-value: \"{kv}\", host-list: \"{hosts}\", ratings: \"{ratings}\" }}
peers: [{peers}]
mesh-key: {mesh_key}
address-lifetime: 1s
",
        // Sites run side by side and take over each other's ports; their nodes must not meet.
        mesh_key = &digest(&address("kv").to_string())["sha256:".len()..],
        domain = DOMAINS[index % DOMAINS.len()],
        kv = address("kv"),
        hosts = address("hosts"),
        ratings = address("ratings"),
    )
}
