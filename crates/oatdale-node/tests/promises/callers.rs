//! Callers that keep connections to hosts and retry as the platform's callers do.

use crate::http::{Conn, message};
use crate::processes::HOST;
use crate::record::{Attempt, End, Record};
use oatdale_adapter_fakes::{DEADLINE_MS, REQUEST_ID};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// How long a caller waits for its request, over all attempts.
const DEADLINE: Duration = Duration::from_millis(2_500);

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

const MAX_ATTEMPTS: u64 = 4;

/// Attempts that a caller makes in a row without a connection, so that it comes to a host that is up.
const MAX_HOSTS: usize = 5;

/// What the callers send, and how often.
#[derive(Clone)]
pub(crate) struct Plan {
    pub(crate) hosts: Vec<SocketAddr>,
    pub(crate) per_second: f64,
    pub(crate) until: Instant,
    pub(crate) seed: u64,
    /// Paths and shares of the requests; those under `/look/` are safe.
    pub(crate) paths: Vec<(&'static str, f64)>,
}

struct Caller {
    plan: Plan,
    record: Record,
    rng: Pcg64,
    next: Arc<AtomicU64>,
    /// Host and connection that it keeps.
    kept: Option<(usize, Conn)>,
}

/// Sends requests until the plan's end, and waits for the responses.
pub(crate) async fn send_all(plan: &Plan, record: &Record) {
    let callers = plan.hosts.len() * 2;
    let next = Arc::<AtomicU64>::default();
    let mut tasks = JoinSet::new();
    for number in 0..callers {
        let seed = plan.seed.wrapping_mul(1_000).wrapping_add(number as u64);
        let caller = Caller {
            plan: plan.clone(),
            record: record.clone(),
            rng: Pcg64::seed_from_u64(seed),
            next: next.clone(),
            kept: None,
        };
        tasks.spawn(caller.run(callers));
    }
    while let Some(ended) = tasks.join_next().await {
        ended.expect("no caller panics");
    }
}

impl Caller {
    async fn run(mut self, callers: usize) {
        let pause = Duration::from_secs_f64(callers as f64 / self.plan.per_second);
        let mut at = Instant::now() + pause.mul_f64(self.rng.random_range(0.0..1.0));
        while at < self.plan.until {
            sleep_until(at).await;
            self.request().await;
            at += pause.mul_f64(self.rng.random_range(0.5..1.5));
        }
    }

    /// Sends one request, again if that is allowed.
    async fn request(&mut self) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let path = self.draw_path();
        let is_unsafe = path != "/look/";
        let deadline = Instant::now() + DEADLINE;
        for attempt in 0..MAX_ATTEMPTS {
            let id = format!("r{number}-{attempt}");
            if attempt > 0 {
                self.kept = None;
            }
            let (at, began) = (self.record.now(), Instant::now());
            let (host, end, retry_after) = self.attempt(path, &id, deadline).await;
            self.record.add_attempt(Attempt {
                at,
                took: began.elapsed(),
                request: number,
                id,
                host,
                is_unsafe,
                end: end.clone(),
            });
            let may_retry = match end {
                End::Answered { status, .. } => matches!(status, 408 | 421 | 429 | 503),
                End::NoAnswer => !is_unsafe,
                End::NotConnected => true,
            };
            let left = deadline.saturating_duration_since(Instant::now());
            if !may_retry || left.is_zero() {
                return;
            }
            sleep(retry_after.min(left / 3)).await;
        }
    }

    fn draw_path(&mut self) -> &'static str {
        let mut drawn = self.rng.random_range(0.0..1.0);
        for (path, share) in &self.plan.paths {
            if drawn < *share {
                return path;
            }
            drawn -= share;
        }
        self.plan.paths[0].0
    }

    async fn attempt(&mut self, path: &str, id: &str, deadline: Instant) -> (usize, End, Duration) {
        let Some((host, mut conn)) = self.connect().await else {
            return (0, End::NotConnected, Duration::from_millis(100));
        };
        let left = deadline.saturating_duration_since(Instant::now());
        let left = left.as_millis().to_string();
        let (method, body) = match path {
            "/look/" => ("GET", String::new()),
            _ => ("POST", self.body()),
        };
        let headers = [("host", HOST), (REQUEST_ID, id), (DEADLINE_MS, &left)];
        let req = message(&format!("{method} {path}1 HTTP/1.1"), &headers, &body);
        match timeout_at(deadline, exchange(&mut conn, &req)).await {
            Ok(Ok(res)) => {
                if !res.closes {
                    self.kept = Some((host, conn));
                }
                let end = End::Answered {
                    status: res.status,
                    names: res.names,
                };
                (host, end, res.retry_after)
            }
            _ => (host, End::NoAnswer, Duration::ZERO),
        }
    }

    /// Returns the kept connection, or a new one to a host drawn at random.
    async fn connect(&mut self) -> Option<(usize, Conn)> {
        if let Some(kept) = self.kept.take()
            && !is_closed(&kept.1)
        {
            return Some(kept);
        }
        for _ in 0..MAX_HOSTS {
            let host = self.rng.random_range(0..self.plan.hosts.len());
            let connecting = TcpStream::connect(self.plan.hosts[host]);
            if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, connecting).await {
                return Some((host, Conn::new(stream)));
            }
        }
        None
    }

    /// A body of a few hundred bytes.
    fn body(&mut self) -> String {
        let bytes = self.rng.random_range(200..600);
        let lines = "{\"rate\": 4.25, \"days\": 30}\n".chars().cycle();
        lines.take(bytes).collect()
    }
}

struct Received {
    status: u16,
    names: Option<String>,
    closes: bool,
    retry_after: Duration,
}

async fn exchange(conn: &mut Conn, req: &str) -> std::io::Result<Received> {
    conn.write(req).await?;
    let head = conn.read_head().await?;
    let head = head.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let body = conn.read_body(head.content_length()).await?;
    let body: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let retry_after = head.header("retry-after").and_then(|v| v.parse().ok());
    Ok(Received {
        status: head.status().unwrap_or(0),
        names: body["id"].as_str().map(str::to_owned),
        closes: head.header("connection") == Some("close"),
        retry_after: Duration::from_secs_f64(retry_after.unwrap_or(0.0)),
    })
}

/// Whether the other side has closed an idle connection, as far as is known.
fn is_closed(conn: &Conn) -> bool {
    match conn.stream.try_read(&mut [0]) {
        Err(err) => err.kind() != std::io::ErrorKind::WouldBlock,
        Ok(_) => true,
    }
}
