//! The nodes, the platform and the endpoints of the demo.

use crate::command::demo::caller::Caller;
use crate::command::demo::data::{self, Example, TEXT};
use crate::command::demo::report::Report;
use crate::command::demo::{expect, fail};
use crate::cx::other;
use crate::error::Result;
use futures::future::join_all;
use oatdale_config::{
    ChangeId, Config, PoolKind, Revision, VersionState, node_settings_from_str, set_state,
};
use oatdale_fakes::{
    CacheConfig, EngineConfig, EngineVersion, MemKv, RatingConfig, Speed, StandIns, StandInsConfig,
    WeightStore,
};
use oatdale_node::{Dropped, Node};
use oatdale_platform::wire::Weights;
use oatdale_platform::{Applied, ConfigStore, Proposal};
use rand::Rng;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::{Instant, sleep};

/// The failure domains of the example configuration, with a node in each.
pub(super) const DOMAINS: [&str; 3] = ["hcm-a", "hcm-b", "hcm-c"];

/// Endpoints of the example configuration.
const ENGINES: usize = 9;
const DESKS: usize = 3;

/// The share of prompts that each version answers well.
const VERSIONS: [(&str, f64); 4] = [
    ("orbit-mini/2026-09", 0.90),
    ("orbit-mini/2026-11", 0.93),
    ("orbit-pro/2026-06", 0.97),
    ("orbit-pro/2026-10", 0.99),
];

/// Size of each version in the weight store, and what the store sends in a second.
const WEIGHT_BYTES: u64 = 500_000_000;
const STORE_RATE: u64 = 1_000_000_000;

/// By how much load reports, cache events and the host list lag.
const LAG: Duration = Duration::from_millis(100);

/// How long anything may take that is to happen by itself.
pub(super) const LIMIT: Duration = Duration::from_secs(20);

/// Between two looks whether it has.
const POLL: Duration = Duration::from_millis(10);

/// The name that stands in the history.
const OPERATOR: &str = "demo";

/// A session as a node opened it.
#[derive(Deserialize)]
pub(super) struct Session {
    pub(super) version: String,
    pub(super) token: String,
}

/// Everything that runs, and a caller.
pub(super) struct Site {
    pub(super) stand_ins: StandIns,
    pub(super) caller: Caller,
    nodes: Vec<Node>,
    store: ConfigStore<MemKv>,
    text: String,
    revision: Revision,
}

impl Site {
    /// Starts the endpoints, puts the text in force and starts the nodes.
    pub(super) async fn start(report: &mut Report) -> Result<Self> {
        report.section("Three nodes, nine engines, three booking desks, one text")?;
        let stand_ins = StandIns::start(stand_ins()).await.map_err(|e| other(&e))?;
        let mut site = Site {
            store: ConfigStore::new(stand_ins.kv().clone()),
            text: local_text(&stand_ins)?,
            caller: Caller::default(),
            nodes: Vec::new(),
            revision: Revision(0),
            stand_ins,
        };
        site.apply(site.text.clone()).await?;
        let start = Instant::now();
        for index in 0..DOMAINS.len() {
            site.add_node(index).await?;
        }
        site.until("the nodes know one another", |status| {
            let peers = status["peers"].as_array();
            let serving = |peer: &&Value| peer["state"] == "serving";
            peers.is_some_and(|p| p.iter().filter(serving).count() == DOMAINS.len() - 1)
        })
        .await?;
        for (index, domain) in DOMAINS.iter().enumerate() {
            let bound = site.nodes[index].addresses();
            report.line(&format!(
                "entry-{} in {domain}: callers {}, admin {}",
                index + 1,
                bound.callers,
                bound.admin
            ))?;
        }
        report.line(&format!(
            "examples/skyward.yaml is in force as revision 1, {} ms after the first node began",
            start.elapsed().as_millis()
        ))?;
        Ok(site)
    }

    /// Where callers reach a node.
    pub(super) fn callers(&self, node: usize) -> SocketAddr {
        self.nodes[node % self.nodes.len()].addresses().callers
    }

    /// Puts one version into another state and waits until every node has it.
    pub(super) async fn set_state(
        &mut self,
        version: &str,
        state: VersionState,
        report: &mut Report,
    ) -> Result<()> {
        let start = Instant::now();
        let text = set_state(&self.text, version, state)?;
        self.apply(text).await?;
        let revision = self.revision.0;
        self.until("the change is in force on every node", |status| {
            status["revision"].as_u64() == Some(revision)
        })
        .await?;
        let took = start.elapsed().as_millis();
        let slowest = &mut report.facts().slowest_change_ms;
        *slowest = took.max(*slowest);
        report.line(&format!(
            "revision {revision}, {version} {}: in force on all three nodes after {took} ms",
            describe(state)
        ))
    }

    /// Waits until what every node says of itself passes `test`.
    pub(super) async fn until(&self, what: &str, test: impl Fn(&Value) -> bool) -> Result<()> {
        let end = Instant::now() + LIMIT;
        while !self.statuses().await?.iter().all(&test) {
            expect(Instant::now() < end, || format!("in vain: {what}"))?;
            sleep(POLL).await;
        }
        Ok(())
    }

    /// What each node says of itself.
    pub(super) async fn statuses(&self) -> Result<Vec<Value>> {
        let ask = |node| {
            let target = ("GET", "/v1/status");
            self.caller
                .send(admin(node), "", target, &[], String::new())
        };
        let answers = join_all(self.nodes.iter().map(ask)).await;
        answers
            .into_iter()
            .map(|answer| Ok(answer?.json()))
            .collect()
    }

    /// Stops the first node while a draft streams from it, then the others.
    pub(super) async fn stop(mut self, report: &mut Report) -> Result<()> {
        report.section("A planned stop cuts off no request")?;
        let draft = data::requests("draft-schedule")?.remove(0);
        let leaving = self.nodes.remove(0);
        let callers = leaving.addresses().callers;
        let (streamed, ()) = futures::join!(
            self.caller.stream(callers, &draft, &[], |_| Ok(())),
            leaving.stop()
        );
        let streamed = streamed?;
        report.answered.insert(streamed.id);
        report.line(&format!(
            "entry-1 was told to stop while it streamed a draft; all {} pieces came, with the end",
            streamed.pieces
        ))?;
        let start = Instant::now();
        join_all(self.nodes.drain(..).map(Node::stop)).await;
        report.line(&format!(
            "the other two stopped within {} ms, bills handed over",
            start.elapsed().as_millis()
        ))?;
        super::ledger::check(&self.stand_ins, report).await
    }

    /// Prints addresses and commands that work while the demo goes on.
    pub(super) fn tell_how_to_try(&self, report: &Report) -> Result<()> {
        let kv = address(&self.stand_ins, "kv")?;
        let admins: Vec<String> = self.nodes.iter().map(|n| admin(n).to_string()).collect();
        let caller = self.callers(0);
        report.section("All of it goes on until Ctrl-C; to try in another terminal")?;
        report.print(&format!(
            "
export OATDALE_KEY_VALUE={kv} OATDALE_NODES={admins} OATDALE_OPERATOR=me
cargo run --release -p oatdale-cli -- status
cargo run --release -p oatdale-cli -- show

curl -N http://{caller}/v1/chat/completions -H 'authorization: Bearer {flood}' \\
  -d '{{\"model\": \"draft-schedule\", \"stream\": true, \"max_tokens\": 40,
       \"messages\": [{{\"role\": \"user\", \"content\": \"Draft a schedule.\"}}]}}'
curl http://{caller}/services/booking/slots/41/confirm -H 'authorization: Bearer {flood}' \\
  -H 'idempotency-key: slot-41' -d '{{}}'
curl http://{caller}/v1/addresses -H 'authorization: Bearer {mail}'
curl http://{admin}/metrics

The key of each customer is `dev-` and its name.
",
            admins = admins.join(","),
            flood = data::key("mekong-flood-watch"),
            mail = data::key("mail-desk"),
            admin = admin(&self.nodes[0]),
        ))
    }

    /// Opens a session of an example's customer for its service.
    ///
    /// # Errors
    ///
    /// It was refused.
    pub(super) async fn open_session(&self, example: &Example) -> Result<Session> {
        let body = serde_json::json!({ "model": example.service }).to_string();
        let target = ("POST", "/v1/sessions");
        let sent = self
            .caller
            .send(self.callers(0), &example.customer, target, &[], body);
        let answer = sent.await?;
        serde_json::from_value(answer.json()).or_else(|_| {
            fail(&format!(
                "a session was answered {}: {}",
                answer.status,
                answer.json()
            ))
        })
    }

    async fn add_node(&mut self, index: usize) -> Result<()> {
        let seed = self.nodes.first().map(|node| node.addresses().nodes);
        let settings = settings(index, seed, &self.stand_ins)?;
        let settings = node_settings_from_str(&settings).map_err(|e| other(&e))?;
        let node = Node::start(settings, Dropped::default()).map_err(|e| other(&e))?;
        expect(node.ready(LIMIT).await, || {
            "a node got no configuration".to_owned()
        })?;
        self.nodes.push(node);
        Ok(())
    }

    async fn apply(&mut self, text: String) -> Result<()> {
        let proposal = Proposal {
            seen: self.revision,
            change: ChangeId(rand::rng().next_u64()),
            operator: OPERATOR.to_owned(),
            time: now(),
            text: text.clone(),
        };
        match self.store.apply(proposal, Instant::now() + LIMIT).await? {
            Applied::Accepted(document) => {
                self.revision = document.head.revision;
                self.text = text;
                Ok(())
            }
            other => fail(&format!("an apply ended with {other:?}")),
        }
    }
}

fn admin(node: &Node) -> SocketAddr {
    node.addresses().admin
}

fn describe(state: VersionState) -> String {
    match state {
        VersionState::Canary { share } => format!("canary with {:.0}%", share * 100.0),
        VersionState::Serving => "serving".to_owned(),
        VersionState::Draining => "draining".to_owned(),
        VersionState::Withdrawn => "withdrawn".to_owned(),
    }
}

fn stand_ins() -> StandInsConfig {
    let weights = VERSIONS.map(|(name, _)| Weights {
        version: name.to_owned(),
        bytes: WEIGHT_BYTES,
    });
    StandInsConfig {
        first_port: 0,
        domains: DOMAINS.map(str::to_owned).to_vec(),
        engines: ENGINES,
        engine: EngineConfig {
            versions: VERSIONS
                .map(|(name, quality)| EngineVersion::held(name, quality))
                .to_vec(),
            speed: Speed::default(),
            load_lag: LAG,
            cache: CacheConfig {
                event_lag: LAG,
                ..CacheConfig::default()
            },
            ..EngineConfig::default()
        },
        plain: DESKS,
        host_lag: LAG,
        rating: RatingConfig::default(),
        weights: WeightStore::new(weights.to_vec(), STORE_RATE),
        seed: 1,
    }
}

/// The example text with the addresses of the stand-ins in place of its endpoints'.
fn local_text(stand_ins: &StandIns) -> Result<String> {
    let cfg = oatdale_config::from_str(TEXT).map_err(|e| other(&e))?;
    let mut left = stand_ins.listening().to_vec();
    let mut text = TEXT.to_owned();
    for (_, endpoint) in cfg.endpoints.iter() {
        let kind = kind(&cfg, endpoint.pool);
        let domain = &cfg.domains[endpoint.domain].name;
        let place = left
            .iter()
            .position(|l| l.name.starts_with(kind) && l.domain.as_ref() == Some(domain));
        let Some(place) = place else {
            return fail(&format!("there is no stand-in for {}", endpoint.name));
        };
        let local = left.swap_remove(place).address.to_string();
        text = text.replace(&endpoint.address.to_string(), &local);
    }
    Ok(text)
}

/// What the names of a pool's stand-ins begin with.
fn kind(cfg: &Config, pool: oatdale_config::PoolKey) -> &'static str {
    match cfg.pools[pool].kind {
        PoolKind::Engines { .. } => "engine-",
        PoolKind::Plain => "plain-",
    }
}

fn address(stand_ins: &StandIns, name: &str) -> Result<SocketAddr> {
    match stand_ins.listening().iter().find(|l| l.name == name) {
        Some(listening) => Ok(listening.address),
        None => fail(&format!("there is no stand-in {name}")),
    }
}

fn settings(index: usize, seed: Option<SocketAddr>, stand_ins: &StandIns) -> Result<String> {
    let mut key = [0; 32];
    // All nodes of a run have the same key, which follows from the key-value service's port.
    let port = address(stand_ins, "kv")?.port();
    key[..2].copy_from_slice(&port.to_be_bytes());
    Ok(format!(
        "host: entry-{number}
failure-domain: {domain}
region: ho-chi-minh-city
listen: {{ callers: \"127.0.0.1:0\", nodes: \"127.0.0.1:0\", admin: \"127.0.0.1:0\" }}
platform: {{ key-value: \"{kv}\", host-list: \"{hosts}\", ratings: \"{ratings}\" }}
peers: [{peers}]
mesh-key: {key}
address-lifetime: 1s
",
        number = index + 1,
        domain = DOMAINS[index],
        kv = address(stand_ins, "kv")?,
        hosts = address(stand_ins, "hosts")?,
        ratings = address(stand_ins, "ratings")?,
        peers = seed.map_or(String::new(), |seed| format!("\"{seed}\"")),
        key = hex::encode(key),
    ))
}

fn now() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_secs()
}
