//! Hosts and endpoints that stop, die, freeze and return during a run.

use crate::endpoint::Endpoint;
use crate::faults::Dose;
use crate::processes::Hosts;
use crate::record::Record;
use nix::sys::signal::Signal;
use oatdale_adapter_fakes::Store;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// How disruptions follow each other.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Order {
    /// Each begins after the one before has ended.
    Series,
    Overlapping,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Act {
    /// A host is told to stop, and started again.
    Terminate,
    /// A host's process dies and is started again.
    Kill,
    /// A host's process is stopped for a while.
    Freeze,
    /// An endpoint does nothing for a while.
    FreezeEndpoint,
    /// An endpoint dies and returns under its id and address.
    RestartEndpoint,
    /// An endpoint dies, and another one starts at its address.
    ReplaceEndpoint,
}

const ALL: [Act; 6] = [
    Act::Terminate,
    Act::Kill,
    Act::Freeze,
    Act::FreezeEndpoint,
    Act::RestartEndpoint,
    Act::ReplaceEndpoint,
];

/// Hosts and endpoints that are down at most, so that some are left.
const MAX_HOSTS_DOWN: usize = 2;
const MAX_ENDPOINTS_DOWN: usize = 2;

/// Time within which a host that is told to stop ends, with a margin.
const STOP_TIME_MS: u64 = 3_500;

/// The hosts and endpoints of a run.
pub(crate) struct Site {
    pub(crate) store: Store,
    pub(crate) record: Record,
    pub(crate) hosts: Hosts,
    /// None while one is down.
    pub(crate) endpoints: Vec<Option<Endpoint>>,
    /// Faults of the first endpoints.
    pub(crate) doses: Vec<Dose>,
    pub(crate) at_fault: usize,
    pub(crate) seed: u64,
}

/// A disruption that has not ended.
struct Current {
    act: Act,
    /// Number of the host or endpoint.
    n: usize,
    ends: Instant,
    addr: Option<std::net::SocketAddr>,
    id: String,
}

impl Site {
    /// Starts an endpoint and writes its record.
    pub(crate) async fn start_endpoint(&mut self, n: usize, id: &str, addr: std::net::SocketAddr) {
        self.seed = self.seed.wrapping_add(1);
        let endpoint = Endpoint::start(id, addr, self.seed, self.record.clone()).await;
        let endpoint = endpoint.expect("the address is free");
        if n < self.at_fault {
            endpoint.set_doses(&self.doses);
        }
        endpoint.register(&self.store, self.seed);
        self.endpoints[n] = Some(endpoint);
    }

    /// Disrupts hosts and endpoints until `until`; all are up again when it returns.
    pub(crate) async fn disturb(&mut self, order: Order, seed: u64, until: Instant) {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut current: Vec<Current> = Vec::new();
        let mut next = Instant::now();
        loop {
            let first_end = current.iter().map(|c| c.ends).min();
            let is_free = current.is_empty() || order == Order::Overlapping;
            let begins = (is_free && next < until).then_some(next);
            let Some(at) = begins.into_iter().chain(first_end).min() else {
                return;
            };
            sleep_until(at).await;
            let now = Instant::now();
            let (ended, rest) = current.into_iter().partition(|c: &Current| c.ends <= now);
            current = rest;
            for c in ended {
                self.end(c).await;
            }
            if begins.is_some_and(|at| at <= now) {
                current.extend(self.begin(&current, &mut rng).await);
                next = now + Duration::from_millis(rng.random_range(100..700));
            }
        }
    }

    /// Begins a disruption, unless enough is down.
    async fn begin(&mut self, current: &[Current], rng: &mut Pcg64) -> Option<Current> {
        let act = ALL[rng.random_range(0..ALL.len())];
        let is_host = |act| matches!(act, Act::Terminate | Act::Kill | Act::Freeze);
        let of_kind = || current.iter().filter(|c| is_host(c.act) == is_host(act));
        let (number, max) = match is_host(act) {
            true => (self.hosts.callers().len(), MAX_HOSTS_DOWN),
            false => (self.endpoints.len(), MAX_ENDPOINTS_DOWN),
        };
        let n = rng.random_range(0..number);
        let ms = match act {
            Act::Terminate => STOP_TIME_MS,
            Act::Kill => rng.random_range(0..1_500),
            Act::Freeze | Act::FreezeEndpoint => rng.random_range(100..3_000),
            Act::RestartEndpoint | Act::ReplaceEndpoint => rng.random_range(0..1_500),
        };
        if of_kind().count() >= max || of_kind().any(|c| c.n == n) {
            return None;
        }
        println!(
            "{:.3} {act:?} {n} for {ms} ms",
            self.record.now().as_secs_f64()
        );
        let (mut addr, mut id) = (None, String::new());
        match act {
            Act::Terminate => self.hosts.signal(n, Signal::SIGTERM),
            Act::Kill => self.hosts.signal(n, Signal::SIGKILL),
            Act::Freeze => self.hosts.signal(n, Signal::SIGSTOP),
            Act::FreezeEndpoint => self.endpoints[n]
                .as_ref()?
                .freeze(Duration::from_millis(ms)),
            Act::RestartEndpoint | Act::ReplaceEndpoint => {
                let endpoint = self.endpoints[n].take()?;
                addr = Some(endpoint.addr);
                id = endpoint.id.clone();
                endpoint.kill().await;
            }
        }
        let ends = Instant::now() + Duration::from_millis(ms);
        Some(Current {
            act,
            n,
            ends,
            addr,
            id,
        })
    }

    async fn end(&mut self, c: Current) {
        match (c.act, c.addr) {
            (Act::Terminate | Act::Kill, _) => self.hosts.start_host(c.n),
            (Act::Freeze, _) => self.hosts.signal(c.n, Signal::SIGCONT),
            (Act::RestartEndpoint, Some(addr)) => self.start_endpoint(c.n, &c.id, addr).await,
            (Act::ReplaceEndpoint, Some(addr)) => {
                self.store.delete(&format!("servers/{}", c.id));
                self.start_endpoint(c.n, &format!("{}x", c.id), addr).await;
            }
            _ => {}
        }
    }
}
