//! Starts the project's relays as separate processes, with the command and the template of the deploy
//! file.

use crate::http::{Conn, encode};
use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, arg2: u64, arg3: u64, arg4: u64, arg5: u64) -> i32;
}

const SIGKILL: u64 = 9;
const SIGTERM: i32 = 15;

/// Has the kernel end a process with its parent.
const PR_SET_PDEATHSIG: i32 = 1;

/// Addresses of one host.
#[derive(Clone, Copy, Debug)]
pub struct Addrs {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub addresses: SocketAddr,
    pub nodes: SocketAddr,
    pub metrics: SocketAddr,
    pub state: SocketAddr,
}

/// A relay on one host, which may be started again.
pub struct Relay {
    pub host: String,
    pub addrs: Addrs,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Bounds and limits of the site, as its sheet has them.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub repeat_slack: u32,
}

/// Finds so many ports of the loopback address that are free for TCP and UDP.
pub fn free_ports(count: usize) -> io::Result<Vec<SocketAddr>> {
    let mut held = Vec::new();
    while held.len() < count {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        if let Ok(socket) = UdpSocket::bind(addr) {
            held.push((addr, listener, socket));
        }
    }
    Ok(held.iter().map(|(addr, ..)| *addr).collect())
}

/// Prepares relays in these zones, one for each, with settings below `dir`.
pub fn prepare(
    dir: &Path,
    zones: &[&str],
    key_value: SocketAddr,
    bounds: Bounds,
) -> io::Result<Vec<Relay>> {
    let ports = free_ports(zones.len() * 6)?;
    let template = fs::read_to_string("deploy/settings.yaml")?;
    let addrs: Vec<Addrs> = ports
        .chunks(6)
        .map(|p| Addrs {
            callers: p[0],
            readiness: p[1],
            addresses: p[2],
            nodes: p[3],
            metrics: p[4],
            state: p[5],
        })
        .collect();
    let seeds = addrs.iter().take(3).map(|a| format!("\"{}\"", a.state));
    let seeds = format!("[{}]", seeds.collect::<Vec<_>>().join(","));
    let mut relays = Vec::new();
    for (number, (zone, addrs)) in zones.iter().zip(&addrs).enumerate() {
        let host = format!("front-{zone}-{}", number + 1);
        let fields = [
            ("node", host.clone()),
            ("zone", (*zone).to_owned()),
            ("listen.front", addrs.callers.to_string()),
            ("listen.ready", addrs.readiness.to_string()),
            ("listen.directory", addrs.addresses.to_string()),
            ("listen.control", addrs.state.to_string()),
            ("seeds|json", seeds.clone()),
            ("platform.address", key_value.to_string()),
            ("limits.link_mbps", "1000.0".to_owned()),
            ("bootstrap", "true".to_owned()),
            ("bounds.grace_s", "8".to_owned()),
            ("bounds.ttl_max_s", "5".to_owned()),
            ("bounds.retry_budget_ratio", "0.9".to_owned()),
            ("bounds.budget_slack", bounds.repeat_slack.to_string()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("bounds.exposure_share", "0.15".to_owned()),
            ("bounds.exposure_slack", "30".to_owned()),
            ("bounds.session_s", "5".to_owned()),
            ("bounds.drain_ms", "2000".to_owned()),
            ("bounds.cold_overshoot", String::new()),
            ("bounds.cold_slack", String::new()),
        ];
        let mut text = template.clone();
        // The addresses between nodes are made of the host's address and a port.
        text = text.replace("{{ip}}:{{internal_ports.0}}", &addrs.nodes.to_string());
        text = text.replace("{{ip}}:{{internal_ports.1}}", &addrs.metrics.to_string());
        for (name, value) in &fields {
            text = text.replace(&format!("{{{{{name}}}}}"), value);
        }
        if let Some(at) = text.find("{{") {
            let rest: String = text[at..].chars().take(40).collect();
            return Err(io::Error::other(format!("placeholder not filled: {rest}")));
        }
        let settings = dir.join(format!("{host}.yaml"));
        fs::write(&settings, text)?;
        relays.push(Relay {
            log: dir.join(format!("{host}.log")),
            addrs: *addrs,
            child: None,
            settings,
            host,
        });
    }
    Ok(relays)
}

impl Relay {
    /// Starts the process.
    pub fn start(&mut self) -> io::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let mut command = Command::new("target/release/oatdaled");
        command.arg("--settings").arg(&self.settings);
        command
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // The relays end with this program, however it ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Waits until the relay says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> io::Result<()> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other(format!("{} is not ready", self.host)))
    }

    /// Whether the relay says that it is ready.
    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut conn = Conn::connect(self.addrs.readiness)?;
            conn.set_read_timeout(Some(Duration::from_secs(1)))?;
            conn.write(&encode(
                "GET /readiness HTTP/1.1",
                &[("Host", "ready")],
                b"",
            ))?;
            Ok(conn.read()?.map_or(0, |res| res.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }

    /// Asks the process to end.
    pub fn terminate(&self) {
        if let Some(child) = &self.child {
            unsafe { kill(child.id() as i32, SIGTERM) };
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let status = self.child.as_mut().map(Child::try_wait);
        !matches!(status, Some(Ok(None)))
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.kill();
    }
}
