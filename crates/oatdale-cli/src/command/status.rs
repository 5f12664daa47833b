//! `oatdale status`, and waiting until every node has a revision.

use crate::cx::Cx;
use crate::error::{CliError, NotEverywhereSnafu, Result};
use bytes::Bytes;
use futures::future::join_all;
use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use oatdale_config::Revision;
use oatdale_platform::{Pool, PoolConfig, Reuse};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

const PATH: &str = "/v1/status";
const MAX_ANSWER: usize = 4 << 20;
/// Time for one node's answer; a node that is down must not hold up the others.
const ANSWER_TIME: Duration = Duration::from_secs(2);
const POLL: Duration = Duration::from_millis(200);
/// Nodes of an answer that are named one by one.
const NAMED: usize = 5;
/// The state of a node that said goodbye, so nobody waits for it.
const LEFT: &str = "left";

/// A node's word on itself and on others.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct NodeStatus {
    host: String,
    domain: String,
    incarnation: u64,
    revision: Revision,
    revision_age_ms: u64,
    state: String,
    /// Versions that were stopped for what they did, without an operator.
    #[serde(default)]
    stops: Vec<StopStatus>,
    #[serde(default)]
    peers: Vec<PeerStatus>,
}

/// A version that takes no new session, whatever the text says.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct StopStatus {
    version: String,
    /// The revision whose word the stop overrules; a newer one on this version ends it.
    revision: Revision,
    reason: String,
}

/// What a node knows of another one.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct PeerStatus {
    host: String,
    /// The revision that it was last heard to have.
    #[serde(default)]
    revision: Revision,
    #[serde(default)]
    state: String,
    /// Where to ask it, if it said so.
    #[serde(default)]
    admin: Option<SocketAddr>,
}

/// One node and what is known of it.
struct Line {
    host: String,
    word: Word,
}

/// How something is known of a node.
enum Word {
    /// It said so itself.
    Own(NodeStatus),
    /// Another node said so.
    Heard { peer: PeerStatus, from: String },
    /// It was asked and gave no answer.
    Silent(String),
}

pub(crate) async fn run(cx: &Cx) -> Result<()> {
    let lines = ask_all(cx.nodes()?).await;
    let mut text = String::new();
    for line in &lines {
        text.push_str(&describe(line));
    }
    text.push_str(&describe_stops(&lines));
    let reports: Vec<serde_json::Value> = lines.iter().map(line_report).collect();
    cx.print(&text, &reports)?;
    match lines.iter().any(|line| matches!(line.word, Word::Own(_))) {
        true => Ok(()),
        false => Err(CliError::NoNode),
    }
}

/// Waits until every node that is known has the revision, and shows progress on standard error.
pub(crate) async fn wait_for(cx: &Cx, revision: Revision) -> Result<()> {
    let deadline = cx.deadline();
    let start = Instant::now();
    let mut shown = String::new();
    loop {
        let lines = ask_all(cx.nodes()?).await;
        let missing = missing(&lines, revision);
        let have = lines.len() - missing.len();
        let progress = format!("revision {revision}: on {have} of {} nodes", lines.len());
        if missing.is_empty() && !lines.is_empty() {
            eprintln!("{progress}, after {:.1?}", start.elapsed());
            return Ok(());
        }
        let missing = name(&missing);
        let line = format!("{progress}, not yet on {missing}");
        if line != shown {
            eprintln!("{line}");
            shown = line;
        }
        if Instant::now() + POLL >= deadline {
            return NotEverywhereSnafu { revision, missing }.fail();
        }
        sleep(POLL).await;
    }
}

fn missing(lines: &[Line], revision: Revision) -> Vec<String> {
    let lacking = lines.iter().filter_map(|line| match line.word.revision() {
        Some(has) if has >= revision => None,
        Some(has) => Some(format!("{} ({has})", line.host)),
        None => Some(format!("{} (no answer)", line.host)),
    });
    lacking.collect()
}

fn name(missing: &[String]) -> String {
    let named = missing[..missing.len().min(NAMED)].join(", ");
    match missing.len().checked_sub(NAMED) {
        Some(more) if more > 0 => format!("{named} and {more} more"),
        _ => named,
    }
}

/// Asks the given nodes, then those that they tell of; of nodes that can't be asked, what the
/// others heard counts.
async fn ask_all(given: &[SocketAddr]) -> Vec<Line> {
    let pool = Pool::new(PoolConfig::default());
    let mut asked: BTreeSet<SocketAddr> = BTreeSet::new();
    let mut words: BTreeMap<String, Word> = BTreeMap::new();
    let mut next: Vec<(String, SocketAddr)> =
        given.iter().map(|addr| (addr.to_string(), *addr)).collect();
    while !next.is_empty() {
        next.retain(|(_, addr)| asked.insert(*addr));
        let answers = join_all(next.iter().map(|(_, addr)| ask(&pool, *addr))).await;
        let mut heard_of = Vec::new();
        for ((name, _), answer) in next.into_iter().zip(answers) {
            match answer {
                Ok(status) => {
                    heard_of.extend(to_ask(&status));
                    hear(&mut words, &status);
                    words.insert(status.host.clone(), Word::Own(status));
                }
                Err(e) => learn(&mut words, name, Word::Silent(e)),
            }
        }
        next = heard_of;
    }
    let line = |(host, word)| Line { host, word };
    words.into_iter().map(line).collect()
}

fn to_ask(status: &NodeStatus) -> impl Iterator<Item = (String, SocketAddr)> {
    let present = status.peers.iter().filter(|peer| peer.state != LEFT);
    present.filter_map(|peer| Some((peer.host.clone(), peer.admin?)))
}

fn hear(words: &mut BTreeMap<String, Word>, status: &NodeStatus) {
    for peer in status.peers.iter().filter(|peer| peer.state != LEFT) {
        let word = Word::Heard {
            peer: peer.clone(),
            from: status.host.clone(),
        };
        learn(words, peer.host.clone(), word);
    }
}

/// Keeps the better of two words on a node: its own, then silence, as that was seen here and now,
/// then the highest revision heard of, since revisions only rise.
fn learn(words: &mut BTreeMap<String, Word>, host: String, word: Word) {
    let rank = |word: &Word| match word {
        Word::Own(_) => (2, Revision(0)),
        Word::Silent(_) => (1, Revision(0)),
        Word::Heard { peer, .. } => (0, peer.revision),
    };
    match words.get(&host) {
        Some(known) if rank(known) >= rank(&word) => {}
        _ => {
            words.insert(host, word);
        }
    }
}

async fn ask(pool: &Pool, addr: SocketAddr) -> Result<NodeStatus, String> {
    let deadline = Instant::now() + ANSWER_TIME;
    let req = Request::get(PATH)
        .body(Full::new(Bytes::new()))
        .map_err(|e| e.to_string())?;
    let res = pool.send(addr, req, Reuse::Allowed, deadline);
    let res = res.await.map_err(|e| e.to_string())?;
    if !res.status().is_success() {
        return Err(format!("answered {}", res.status()));
    }
    let body = Limited::new(res.into_body(), MAX_ANSWER).collect();
    match timeout_at(deadline, body).await {
        Ok(Ok(body)) => serde_json::from_slice(&body.to_bytes()).map_err(|e| e.to_string()),
        Ok(Err(e)) => Err(e.to_string()),
        Err(_) => Err("no answer in time".to_owned()),
    }
}

fn describe(line: &Line) -> String {
    match &line.word {
        Word::Own(status) => {
            let age = Duration::from_millis(status.revision_age_ms);
            format!(
                "{:<20} {:<12} {:<10} revision {:<8} {:>8} old, {} peers\n",
                status.host,
                status.domain,
                status.state,
                status.revision.0,
                humantime::format_duration(age).to_string(),
                status.peers.len()
            )
        }
        Word::Heard { peer, from } => format!(
            "{:<20} {:<12} {:<10} revision {:<8} as {from} heard\n",
            peer.host, "", peer.state, peer.revision.0
        ),
        Word::Silent(error) => format!("{:<20} no answer: {error}\n", line.host),
    }
}

/// Stops are the same on all nodes but for the time that the word takes to spread.
fn describe_stops(lines: &[Line]) -> String {
    let stops = lines.iter().flat_map(|line| match &line.word {
        Word::Own(status) => status.stops.as_slice(),
        Word::Heard { .. } | Word::Silent(_) => &[],
    });
    let texts = stops.map(|stop| {
        format!(
            "stopped: {} since revision {}: {}\n",
            stop.version, stop.revision, stop.reason
        )
    });
    texts.collect::<BTreeSet<_>>().into_iter().collect()
}

fn line_report(line: &Line) -> serde_json::Value {
    let host = &line.host;
    match &line.word {
        Word::Own(status) => serde_json::json!({ "host": host, "status": status }),
        Word::Heard { peer, from } => {
            serde_json::json!({ "host": host, "heard": peer, "from": from })
        }
        Word::Silent(error) => serde_json::json!({ "host": host, "error": error }),
    }
}

impl Word {
    /// The revision that the node has in force, if anything is known.
    fn revision(&self) -> Option<Revision> {
        match self {
            Word::Own(status) => Some(status.revision),
            Word::Heard { peer, .. } => Some(peer.revision),
            Word::Silent(_) => None,
        }
    }
}
