//! Measures what a node adds: time to the first piece of a stream and to each further one, beside
//! the same calls made directly; requests a second and memory at saturation; memory of idle
//! connections; what a node costs while nobody calls.
//!
//! `cargo run --release -p oatdale-node --example overhead`
//!
//! Three nodes run as processes of their own; the endpoint and the load run in this one, so that
//! both read the same clock. Direct and routed rounds alternate. Figures of time depend on the
//! machine and on what else it does; compare the two rows of one run only.

use bytes::Bytes;
use futures::future::join_all;
use futures::stream;
use hdrhistogram::Histogram;
use http::{Request, Response};
use http_body_util::{BodyExt, Collected, Full, StreamBody};
use hyper::body::Frame;
use oatdale_config::{ChangeId, Digest, Document, Revision, node_settings_from_str};
use oatdale_fakes::{Body, KvServer, MemKv, Server};
use oatdale_node::{Node, start_logging};
use oatdale_platform::{Condition, Kv, Pool, PoolConfig, Reuse};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::OnceLock;
use std::time::{Duration, Instant};
use tokio::runtime::{Builder, Runtime};

const NODES: usize = 3;
const DOMAINS: [&str; NODES] = ["north", "middle", "south"];
const KEY: &str = "bench";
const STREAMS: [usize; 3] = [1, 64, 512];
const PIECES: usize = 16;
const PIECE_GAP: Duration = Duration::from_millis(20);
const ROUNDS: usize = 12;
/// Long enough for the clock of processor time, which counts hundredths of a second.
const QUIET: Duration = Duration::from_secs(20);
const SATURATION: Duration = Duration::from_secs(5);
const SATURATION_CALLERS: usize = 128;
const ANSWERED: &str = "answered";
const IDLE: usize = 10_000;
const LIMIT: Duration = Duration::from_secs(30);

fn main() {
    if let Some(settings) = std::env::args().nth(1) {
        return node(&settings);
    }
    let endpoint = Endpoint::start();
    let nodes: Vec<Process> = (0..NODES).fold(Vec::new(), |mut nodes, index| {
        let seed = nodes.first().map(|n: &Process| n.nodes);
        nodes.push(Process::start(index, seed, endpoint.kv));
        nodes
    });
    runtime().block_on(async {
        tokio::time::sleep(Duration::from_secs(3)).await;
        quiet(&nodes[0]).await;
        println!("microseconds     first piece      each piece");
        println!("streams  via       p50    p99      p50    p99");
        for streams in STREAMS {
            compare(streams, endpoint.addr, nodes[0].callers).await;
        }
        saturate(&nodes[0]).await;
        idle(&nodes[0]).await;
    });
}

/// One node, as a process of its own.
fn node(settings: &str) {
    let settings = node_settings_from_str(settings).expect("right settings");
    let dropped = start_logging(log::LevelFilter::Info).expect("first logging");
    let node = Node::start(settings, dropped).expect("free ports");
    let bound = node.addresses();
    println!("{} {}", bound.callers, bound.nodes);
    loop {
        std::thread::park();
    }
}

struct Process {
    child: Child,
    callers: SocketAddr,
    nodes: SocketAddr,
}

impl Process {
    fn start(index: usize, seed: Option<SocketAddr>, kv: SocketAddr) -> Process {
        let peers = seed.map_or(String::new(), |seed| format!("\"{seed}\""));
        let settings = format!(
            "host: node-{index}
failure-domain: {}
region: home
listen: {{ callers: \"127.0.0.1:0\", nodes: \"127.0.0.1:0\", admin: \"127.0.0.1:0\" }}
platform: {{ key-value: \"{kv}\" }}
peers: [{peers}]
mesh-key: {}
limits: {{ connections: 20000 }}
",
            DOMAINS[index],
            "ab".repeat(32)
        );
        let mut child = Command::new(std::env::current_exe().expect("a path"))
            .arg(settings)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("this program starts");
        let mut line = String::new();
        BufReader::new(child.stdout.take().expect("piped"))
            .read_line(&mut line)
            .expect("a line");
        let mut words = line.split_whitespace();
        let mut next = || words.next().expect("two addresses").parse().expect("one");
        Process {
            callers: next(),
            nodes: next(),
            child,
        }
    }

    /// Resident memory in KiB.
    fn memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(path).expect("the process runs");
        let line = text.lines().find(|l| l.starts_with("VmRSS:"));
        let word = line.and_then(|l| l.split_whitespace().nth(1));
        word.and_then(|w| w.parse().ok()).expect("a number")
    }

    /// Processor time in seconds.
    fn cpu(&self) -> f64 {
        const TICKS: f64 = 100.0;
        let path = format!("/proc/{}/stat", self.child.id());
        let text = std::fs::read_to_string(path).expect("the process runs");
        let (_, rest) = text.rsplit_once(')').expect("a name in brackets");
        let words: Vec<&str> = rest.split_whitespace().collect();
        let ticks = |i: usize| words[i].parse::<f64>().expect("a number");
        (ticks(11) + ticks(12)) / TICKS
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The stand-ins, on a thread of their own.
struct Endpoint {
    addr: SocketAddr,
    kv: SocketAddr,
}

impl Endpoint {
    fn start() -> Endpoint {
        let (tx, rx) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            runtime().block_on(async move {
                let any: SocketAddr = ([127, 0, 0, 1], 0).into();
                let engine = Server::start(any, |req| async move {
                    let body = req.into_body().collect().await.map(Collected::to_bytes);
                    let body = body.unwrap_or_default();
                    Ok(match body.windows(13).any(|w| w == b"\"stream\":true") {
                        true => stream_reply(),
                        false => whole_reply(),
                    })
                });
                let engine = engine.await.expect("a free port");
                let kv = MemKv::new(1);
                let text = text(engine.addr());
                oatdale_config::from_str(&text).expect("a right text");
                let document = Document::new(Revision(1), ChangeId(1), "bench", 0, text).encode();
                let put = kv.put("config/current", document.into(), Condition::Absent, None);
                put.await.expect("it is up");
                let server = KvServer::start(any, kv).await.expect("a free port");
                tx.send((engine.addr(), server.addr())).expect("main waits");
                std::future::pending::<()>().await;
            });
        });
        let (addr, kv) = rx.recv().expect("it starts");
        Endpoint { addr, kv }
    }
}

fn runtime() -> Runtime {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime")
}

/// Nanoseconds since the program began, the same clock for both sides.
fn now() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    let since = START.get_or_init(Instant::now).elapsed();
    u64::try_from(since.as_nanos()).expect("a short run")
}

fn piece(content: &str, usage: &str) -> String {
    format!(
        "data: {{\"id\":\"c\",\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":\"m/1\",\
         \"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{content}\"}},\
         \"finish_reason\":null}}]{usage}}}\n\n"
    )
}

fn stream_reply() -> Response<Body> {
    let pieces = stream::unfold(0, |n| async move {
        if n > 0 && n < PIECES {
            tokio::time::sleep(PIECE_GAP).await;
        }
        let bytes = match n {
            n if n < PIECES => piece(&format!("@{}@", now()), ""),
            n if n == PIECES => {
                let usage = "{\"prompt_tokens\":9,\"completion_tokens\":16,\"total_tokens\":25}";
                piece("", &format!(",\"usage\":{usage}")) + "data: [DONE]\n\n"
            }
            _ => return None,
        };
        Some((Ok(Frame::data(Bytes::from(bytes))), n + 1))
    });
    let mut reply = Response::new(StreamBody::new(pieces).boxed_unsync());
    let value = http::HeaderValue::from_static("text/event-stream");
    reply.headers_mut().insert("content-type", value);
    reply
}

fn whole_reply() -> Response<Body> {
    let body = r#"{"id":"c","object":"chat.completion","created":1,"model":"m/1","choices":[{"index":0,"message":{"role":"assistant","content":"ok"},"finish_reason":"stop"}],"usage":{"prompt_tokens":9,"completion_tokens":1,"total_tokens":10}}"#;
    let body = Full::new(Bytes::from_static(body.as_bytes()));
    Response::new(body.map_err(|never| match never {}).boxed_unsync())
}

fn text(engine: SocketAddr) -> String {
    let domains = DOMAINS
        .map(|d| format!("{d}: {{ region: home }}"))
        .join(", ");
    format!(
        "failure-domains: {{ {domains} }}
models: {{ m: {{ versions: {{ \"1\": {{ state: serving, price: {{ input: 1, output: 1 }} }} }} }} }}
pools:
  p:
    kind: engines
    fencing: false
    concurrency: 10000
    versions: [m/*]
    endpoints: {{ e: {{ address: \"{engine}\", failure-domain: north }} }}
services:
  s: {{ kind: model, pool: p, models: [m], quality: 0.5, latency-weight: 1, deadline: 60s }}
customers:
  c:
    keys: [\"{}\"]
    services: [s]
    versions: [m/*]
    limits: {{ requests-per-second: 1000000, concurrent: 100000 }}
",
        Digest::of(KEY)
    )
}

fn request(model: &str, stream: bool) -> Request<Full<Bytes>> {
    let body = format!(
        "{{\"model\":\"{model}\",\"stream\":{stream},\"messages\":[{{\"role\":\"user\",\
         \"content\":\"tag this mail please\"}}]}}"
    );
    Request::post("/v1/chat/completions")
        .header("authorization", format!("Bearer {KEY}"))
        .body(Full::new(body.into()))
        .expect("a right request")
}

/// Microseconds.
struct Times {
    first: Histogram<u64>,
    each: Histogram<u64>,
    failed: usize,
}

impl Times {
    fn new() -> Times {
        let histogram = || Histogram::new(3).expect("three digits");
        Times {
            first: histogram(),
            each: histogram(),
            failed: 0,
        }
    }

    fn add(&mut self, one: Option<Vec<u64>>) {
        let Some(list) = one else {
            self.failed += 1;
            return;
        };
        self.first.record(list[0]).expect("in range");
        for each in &list[1..] {
            self.each.record(*each).expect("in range");
        }
    }
}

/// What a node costs while nobody calls.
async fn quiet(node: &Process) {
    let cpu = node.cpu();
    tokio::time::sleep(QUIET).await;
    println!(
        "quiet: {:.2}% of a core, memory {} KiB",
        (node.cpu() - cpu) / QUIET.as_secs_f64() * 100.0,
        node.memory()
    );
}

async fn compare(streams: usize, direct: SocketAddr, node: SocketAddr) {
    let pool = Pool::new(PoolConfig {
        max_idle: 2 * STREAMS[2],
        ..PoolConfig::default()
    });
    let mut all = [Times::new(), Times::new()];
    let ways = [(direct, "m/1"), (node, "s")];
    for round in 0..=ROUNDS {
        for (times, (addr, model)) in all.iter_mut().zip(ways) {
            let calls = (0..streams).map(|n| one(&pool, addr, model, n, streams));
            let results = join_all(calls).await;
            // The first round opens connections.
            if round > 0 {
                results.into_iter().for_each(|result| times.add(result));
            }
        }
    }
    for (times, via) in all.iter().zip(["direct", "node"]) {
        let q = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q);
        println!(
            "{streams:7}  {via:6} {:6} {:6}   {:6} {:6}   n={} failed={}",
            q(&times.first, 0.5),
            q(&times.first, 0.99),
            q(&times.each, 0.5),
            q(&times.each, 0.99),
            times.first.len(),
            times.failed
        );
    }
}

/// Microseconds to the first piece, then from each further piece's writing to its reading.
async fn one(
    pool: &Pool,
    addr: SocketAddr,
    model: &str,
    n: usize,
    streams: usize,
) -> Option<Vec<u64>> {
    // As many streams begin at any moment as end.
    let length = PIECE_GAP * (PIECES as u32);
    tokio::time::sleep(length.mul_f64(n as f64 / streams as f64)).await;
    let began = now();
    let deadline = tokio::time::Instant::now() + LIMIT;
    let sent = pool.send(addr, request(model, true), Reuse::Allowed, deadline);
    let mut body = sent.await.ok()?.into_body();
    let mut list = Vec::with_capacity(PIECES);
    let mut done = false;
    while let Some(frame) = body.frame().await {
        let at = now();
        let data = frame.ok()?.into_data().ok()?;
        let text = std::str::from_utf8(&data).ok()?;
        done |= text.contains("[DONE]");
        if let Some(written) = text.split('@').nth(1).and_then(|w| w.parse::<u64>().ok()) {
            let since = if list.is_empty() { began } else { written };
            list.push((at - since) / 1000);
        }
    }
    (done && list.len() > PIECES / 2).then_some(list)
}

async fn saturate(node: &Process) {
    let pool = Pool::default();
    let (memory, cpu) = (node.memory(), node.cpu());
    let end = Instant::now() + SATURATION;
    let callers = (0..SATURATION_CALLERS).map(|_| async {
        let mut ends = BTreeMap::new();
        while Instant::now() < end {
            *ends
                .entry(whole(&pool, node.callers).await)
                .or_insert(0_u64) += 1;
        }
        ends
    });
    let mut ends: BTreeMap<String, u64> = BTreeMap::new();
    for (end, count) in join_all(callers).await.into_iter().flatten() {
        *ends.entry(end).or_default() += count;
    }
    let done = ends.remove(ANSWERED).unwrap_or(0);
    println!(
        "saturation: {:.0} answers/s to {SATURATION_CALLERS} callers, other ends {ends:?}, \
         {:.2} cores, memory {memory} -> {} KiB",
        done as f64 / SATURATION.as_secs_f64(),
        (node.cpu() - cpu) / SATURATION.as_secs_f64(),
        node.memory()
    );
}

/// How a request ended: a whole answer, or the kind of problem.
async fn whole(pool: &Pool, addr: SocketAddr) -> String {
    let deadline = tokio::time::Instant::now() + LIMIT;
    let sent = pool.send(addr, request("s", false), Reuse::Allowed, deadline);
    let answer = match sent.await {
        Ok(answer) => answer,
        Err(err) => return err.to_string(),
    };
    let status = answer.status();
    match answer.into_body().collect().await {
        Ok(_) if status.is_success() => ANSWERED.to_owned(),
        Ok(body) => {
            let problem: serde_json::Value =
                serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
            format!("{status} {}", problem["type"])
        }
        Err(err) => err.to_string(),
    }
}

async fn idle(node: &Process) {
    let before = node.memory();
    let mut open = Vec::with_capacity(IDLE);
    for _ in 0..IDLE {
        match tokio::net::TcpStream::connect(node.callers).await {
            Ok(stream) => open.push(stream),
            Err(err) => {
                println!("idle connections stop at {}: {err}", open.len());
                break;
            }
        }
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let more = node.memory().saturating_sub(before);
    println!(
        "idle: {} connections take {more} KiB, {:.1} KiB each",
        open.len(),
        more as f64 / open.len().max(1) as f64
    );
}
