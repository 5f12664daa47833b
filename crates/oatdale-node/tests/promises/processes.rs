//! Hosts as processes.

use crate::http::{Conn, message};
use crate::record::{Attempt, End, Record};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use oatdale_adapter_fakes::READINESS_PATH;
use std::fs::{self, File, OpenOptions};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Value of the `host` header of callers' requests.
pub(crate) const HOST: &str = "desk.example";

/// Names another binary than that of this workspace.
const BINARY: &str = "OATDALED";

/// Names a folder in which logs are kept.
const LOGS: &str = "PROMISES_LOGS";

const READY_TIMEOUT: Duration = Duration::from_secs(40);

/// Runs of this process so far; those side by side need addresses of their own.
static RUNS: AtomicU32 = AtomicU32::new(0);

/// The processes of a run; dropping them kills them.
pub(crate) struct Hosts {
    all: Vec<Host>,
    folder: PathBuf,
}

struct Host {
    ip: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Hosts {
    /// Writes the settings of so many hosts.
    pub(crate) fn new(number: usize, key_value: SocketAddr) -> Hosts {
        let process = std::process::id();
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let name = format!("oatdale-promises-{process}-{run}");
        let folder = match std::env::var_os(LOGS) {
            Some(folder) => PathBuf::from(folder),
            None => std::env::temp_dir(),
        };
        let folder = folder.join(name);
        fs::create_dir_all(&folder).expect("the folder takes another");
        let host = |n| {
            let third = (process + run) % 250;
            let ip = format!("127.{}.{third}.{n}", (process / 250 + run) % 250 + 1);
            let settings = folder.join(format!("{n}.yaml"));
            fs::write(&settings, text(&ip, n, key_value)).expect("the folder takes a file");
            Host {
                ip,
                settings,
                log: folder.join(format!("{n}.log")),
                child: None,
            }
        };
        Hosts {
            all: (1..=number).map(host).collect(),
            folder: folder.clone(),
        }
    }

    /// Starts all processes and waits until they are ready.
    pub(crate) async fn start(&mut self) {
        for n in 0..self.all.len() {
            self.start_host(n);
        }
        for n in 0..self.all.len() {
            self.wait_ready(n).await;
        }
    }

    pub(crate) fn callers(&self) -> Vec<SocketAddr> {
        self.all.iter().map(|host| host.at(24001)).collect()
    }

    /// Starts the process of a host that has none; its log goes on.
    pub(crate) fn start_host(&mut self, n: usize) {
        let host = &mut self.all[n];
        host.end();
        let binary = std::env::var_os(BINARY);
        let binary = binary.unwrap_or_else(|| env!("CARGO_BIN_EXE_oatdaled").into());
        let log = OpenOptions::new().create(true).append(true).open(&host.log);
        let log: File = log.expect("the folder takes a file");
        let child = Command::new(binary)
            .arg("--settings")
            .arg(&host.settings)
            .stdout(Stdio::from(log))
            .spawn()
            .expect("the program starts");
        host.child = Some(child);
    }

    async fn wait_ready(&self, n: usize) {
        let end = Instant::now() + READY_TIMEOUT;
        while self.all[n].readiness().await != Some(200) {
            assert!(Instant::now() < end, "host {n} is not ready");
            sleep(Duration::from_millis(50)).await;
        }
    }

    pub(crate) fn signal(&self, n: usize, signal: Signal) {
        let pid = self.all[n].child.as_ref().map(Child::id);
        let pid = pid.and_then(|pid| i32::try_from(pid).ok());
        if let Some(pid) = pid {
            // It may have ended by itself.
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }

    /// Lines of all logs that name one of these requests, with their hosts' numbers.
    pub(crate) fn lines_of(&self, ids: &[&str]) -> Vec<String> {
        let mut lines = Vec::new();
        for (n, host) in self.all.iter().enumerate() {
            let text = fs::read_to_string(&host.log).unwrap_or_default();
            let naming = text.lines().filter(|line| {
                let id = line.split_once(" id=").map_or("", |(_, rest)| rest);
                ids.contains(&id.split(' ').next().unwrap_or_default())
            });
            lines.extend(naming.map(|line| format!("host {n}: {line}")));
        }
        lines
    }

    /// Writes what happened beside the hosts' logs, if these are kept.
    pub(crate) fn keep(&self, record: &Record) {
        if std::env::var_os(LOGS).is_none() {
            return;
        }
        let steps = record.steps();
        let steps = steps.iter().map(|s| {
            let (at, what) = (s.at.as_secs_f64(), s.what);
            format!("{at:.3} {} {} {} {what:?}\n", s.id, s.endpoint, s.conn)
        });
        let steps: String = steps.collect();
        fs::write(self.folder.join("steps"), steps).expect("the folder takes a file");
        let attempts = record.attempts();
        let attempts: String = attempts.iter().map(line).collect();
        fs::write(self.folder.join("attempts"), attempts).expect("the folder takes a file");
    }
}

impl Drop for Hosts {
    fn drop(&mut self) {
        for host in &mut self.all {
            host.end();
        }
        if std::env::var_os(LOGS).is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Host {
    fn at(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip).parse().expect("an address")
    }

    fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    async fn readiness(&self) -> Option<u16> {
        let check = async {
            let stream = TcpStream::connect(self.at(24002)).await.ok()?;
            let mut conn = Conn::new(stream);
            let first_line = format!("GET {READINESS_PATH} HTTP/1.1");
            let req = message(&first_line, &[("host", HOST)], "");
            conn.write(&req).await.ok()?;
            conn.read_head().await.ok()??.status()
        };
        timeout(Duration::from_secs(2), check).await.ok()?
    }
}

fn line(attempt: &Attempt) -> String {
    let end = match &attempt.end {
        End::Answered { status, .. } => status.to_string(),
        end => format!("{end:?}"),
    };
    let (at, took) = (attempt.at.as_secs_f64(), attempt.took.as_millis());
    format!(
        "{at:.3} {} host={} {end} {took} ms\n",
        attempt.id, attempt.host
    )
}

fn text(ip: &str, number: usize, key_value: SocketAddr) -> String {
    let domain = ["a", "b", "c"][number % 3];
    format!(
        "platform: registry\nhost: n{ip}\nfailure-domain: {domain}\nlisten:\n  callers: {ip}:24001\n  \
         readiness: {ip}:24002\n  addresses: {ip}:24003\n  nodes: {ip}:24004\n  metrics: \
         {ip}:24005\n  state: {ip}:24006\nkey-value: {key_value}\nbounds:\n  stop-s: 3\n  \
         addresses-s: 5\n  repeat-ratio: 0.9\n  repeat-slack: 50\n  repeat-window-s: 10\n  \
         exposure-share: 0.15\n  exposure-slack: 30\n  session-s: 5\n  leave-ms: 2000\n\
         load-control:\n  endpoint-speeds: true\n  expected-time: true\n  \
         escalation-by-room: true\n  admission: true\n"
    )
}
