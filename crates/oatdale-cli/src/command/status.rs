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

/// A node's word on itself and on others.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct NodeStatus {
    host: String,
    domain: String,
    incarnation: u64,
    revision: Revision,
    revision_age_ms: u64,
    state: String,
    #[serde(default)]
    peers: Vec<PeerStatus>,
}

/// What a node knows of another one.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct PeerStatus {
    host: String,
    /// Where to ask it, if it said so.
    #[serde(default)]
    admin: Option<SocketAddr>,
}

/// One node that was asked.
struct Line {
    address: SocketAddr,
    host: String,
    answer: Result<NodeStatus, String>,
}

pub(crate) async fn run(cx: &Cx) -> Result<()> {
    let lines = ask_all(cx.nodes()?).await;
    let mut text = String::new();
    for line in &lines {
        text.push_str(&describe(line));
    }
    let reports: Vec<serde_json::Value> = lines.iter().map(line_report).collect();
    cx.print(&text, &reports)?;
    match lines.iter().any(|line| line.answer.is_ok()) {
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
    let lacks = |line: &&Line| match &line.answer {
        Ok(status) => status.revision < revision,
        Err(_) => true,
    };
    lines
        .iter()
        .filter(lacks)
        .map(|line| match &line.answer {
            Ok(status) => format!("{} ({})", line.host, status.revision),
            Err(_) => format!("{} (no answer)", line.host),
        })
        .collect()
}

fn name(missing: &[String]) -> String {
    let named = missing[..missing.len().min(NAMED)].join(", ");
    match missing.len().checked_sub(NAMED) {
        Some(more) if more > 0 => format!("{named} and {more} more"),
        _ => named,
    }
}

/// Asks the given nodes, then all that they tell of.
async fn ask_all(given: &[SocketAddr]) -> Vec<Line> {
    let pool = Pool::new(PoolConfig::default());
    let mut asked: BTreeSet<SocketAddr> = BTreeSet::new();
    let mut names: BTreeMap<SocketAddr, String> = BTreeMap::new();
    let mut lines: BTreeMap<String, Line> = BTreeMap::new();
    let mut next: Vec<SocketAddr> = given.to_vec();
    while !next.is_empty() {
        next.retain(|addr| asked.insert(*addr));
        let answers = join_all(next.iter().map(|addr| ask(&pool, *addr))).await;
        let mut heard = Vec::new();
        for (addr, answer) in next.iter().zip(answers) {
            let line = line(*addr, names.get(addr), answer);
            for peer in line.answer.iter().flat_map(|s| &s.peers) {
                names.extend(peer.admin.map(|admin| (admin, peer.host.clone())));
                heard.extend(peer.admin);
            }
            // Two addresses may lead to one node; one that answered counts.
            let better = line.answer.is_ok() || !lines.contains_key(&line.host);
            if better {
                lines.insert(line.host.clone(), line);
            }
        }
        next = heard;
    }
    lines.into_values().collect()
}

fn line(address: SocketAddr, name: Option<&String>, answer: Result<NodeStatus, String>) -> Line {
    let host = match (&answer, name) {
        (Ok(status), _) => status.host.clone(),
        (Err(_), Some(name)) => name.clone(),
        (Err(_), None) => address.to_string(),
    };
    Line {
        address,
        host,
        answer,
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
    let status = match &line.answer {
        Ok(status) => status,
        Err(e) => return format!("{:<20} no answer: {e}\n", line.host),
    };
    let age = humantime::format_duration(Duration::from_millis(status.revision_age_ms));
    format!(
        "{:<20} {:<12} {:<10} revision {:<8} {:>8} old, {} peers\n",
        status.host,
        status.domain,
        status.state,
        status.revision.0,
        age.to_string(),
        status.peers.len()
    )
}

fn line_report(line: &Line) -> serde_json::Value {
    let address = line.address;
    match &line.answer {
        Ok(status) => serde_json::json!({ "address": address, "status": status }),
        Err(error) => {
            serde_json::json!({ "address": address, "host": line.host, "error": error })
        }
    }
}
