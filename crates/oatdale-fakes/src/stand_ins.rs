//! A whole set of stand-ins: the platform's services, engines and plain services.

use crate::command::{
    Command, EngineCommand, HostCommand, KvCommand, PlainCommand, RatingCommand, Switch,
};
use crate::engine::{Engine, EngineConfig, EngineHandle};
use crate::hosts::Hosts;
use crate::kv::{Faults, Limits, MemKv};
use crate::kv_server::KvServer;
use crate::plain::Plain;
use crate::rating::{RatingConfig, Ratings};
use crate::server::Server;
use crate::weights::WeightStore;
use oatdale_platform::wire::{Host, HostRole, HostState};
use serde::Serialize;
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Ports after the first one at which each kind begins.
const HOSTS_PORT: u16 = 1;
const RATINGS_PORT: u16 = 2;
const WEIGHTS_PORT: u16 = 3;
const ENGINES_PORT: u16 = 10;
const PLAIN_PORT: u16 = 60;

/// What to start.
#[derive(Clone, Debug)]
pub struct StandInsConfig {
    /// The first port, from which the others count; 0 takes free ones.
    pub first_port: u16,
    /// Failure domains, which endpoints are dealt to in turn.
    pub domains: Vec<String>,
    /// How many engines.
    pub engines: usize,
    /// How each engine is set up; its address is set here.
    pub engine: EngineConfig,
    /// How many plain services.
    pub plain: usize,
    /// How long a change takes to show in the host list.
    pub host_lag: Duration,
    /// How the rating service behaves.
    pub rating: RatingConfig,
    /// What the weight store holds.
    pub weights: WeightStore,
    /// Decides which calls to the key-value service meet faults.
    pub seed: u64,
}

/// Where one stand-in listens.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct Listening {
    /// Its name, such as `kv` or `engine-2`.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain, for an endpoint.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub domain: Option<String>,
}

/// What an engine or plain service did.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize)]
pub struct CallCounts {
    /// Requests that run now.
    pub running: u32,
    /// Requests that wait now.
    pub waiting: u32,
    /// How often each request id was begun.
    pub begun: BTreeMap<String, u32>,
}

/// A running set of stand-ins; dropping it kills them.
#[derive(Clone)]
pub struct StandIns {
    parts: Arc<Parts>,
}

struct Parts {
    kv: MemKv,
    kv_faults: Mutex<Faults>,
    kv_server: Server,
    hosts: Hosts,
    ratings: Ratings,
    weights_server: Server,
    engines: Vec<EngineHandle>,
    plain: Vec<Plain>,
    listening: Vec<Listening>,
}

impl StandIns {
    /// Starts all of them and fills the host list.
    ///
    /// # Errors
    ///
    /// An address can't be bound.
    pub async fn start(cfg: StandInsConfig) -> io::Result<Self> {
        let at = |offset: u16| address(cfg.first_port, offset);
        let kv = MemKv::new(cfg.seed);
        let kv_server = KvServer::start(at(0), kv.clone()).await?;
        let hosts = Hosts::start(at(HOSTS_PORT), cfg.host_lag).await?;
        let ratings = Ratings::start(at(RATINGS_PORT), cfg.rating).await?;
        let weights_server = cfg.weights.serve(at(WEIGHTS_PORT)).await?;
        let mut listening = vec![
            service("kv", kv_server.addr()),
            service("hosts", hosts.addr()),
            service("ratings", ratings.addr()),
            service("weights", weights_server.addr()),
        ];
        let mut engines = Vec::new();
        for (i, offset) in (0..cfg.engines).zip(ENGINES_PORT..) {
            let engine = EngineConfig {
                addr: at(offset),
                weights: Some(cfg.weights.clone()),
                ..cfg.engine.clone()
            };
            let engine = Engine::start(engine).await?;
            listening.push(endpoint("engine", i, engine.addr(), &cfg.domains));
            engines.push(engine);
        }
        let mut plain = Vec::new();
        for (i, offset) in (0..cfg.plain).zip(PLAIN_PORT..) {
            let service = Plain::start(at(offset)).await?;
            listening.push(endpoint("plain", i, service.addr(), &cfg.domains));
            plain.push(service);
        }
        listening
            .iter()
            .filter_map(host_of)
            .for_each(|h| hosts.set(h));
        let parts = Parts {
            kv,
            kv_faults: Mutex::default(),
            kv_server,
            hosts,
            ratings,
            weights_server,
            engines,
            plain,
            listening,
        };
        Ok(StandIns {
            parts: Arc::new(parts),
        })
    }

    /// Where each of them listens.
    pub fn listening(&self) -> &[Listening] {
        &self.parts.listening
    }

    /// The key-value service, without HTTP before it.
    pub fn kv(&self) -> &MemKv {
        &self.parts.kv
    }

    /// The host list.
    pub fn hosts(&self) -> &Hosts {
        &self.parts.hosts
    }

    /// The rating service.
    pub fn ratings(&self) -> &Ratings {
        &self.parts.ratings
    }

    /// The engines, in order.
    pub fn engines(&self) -> &[EngineHandle] {
        &self.parts.engines
    }

    /// The plain services, in order.
    pub fn plain(&self) -> &[Plain] {
        &self.parts.plain
    }

    /// Follows a command; one that asks for calls gets their counts.
    ///
    /// # Errors
    ///
    /// There is no endpoint of that number, or no host of that name.
    pub fn run(&self, command: Command) -> Result<Option<CallCounts>, String> {
        match command {
            Command::Kv(command) => self.run_kv(command),
            Command::Ratings(command) => self.run_ratings(command),
            Command::Hosts(command) => self.run_hosts(command)?,
            Command::Engine(n, command) => return self.run_engine(n, command),
            Command::Plain(n, command) => return self.run_plain(n, command),
            Command::Stop => {}
        }
        Ok(None)
    }

    /// Finishes what is under way, unless something else holds the set.
    pub async fn stop(self) {
        let Some(parts) = Arc::into_inner(self.parts) else {
            return;
        };
        for engine in parts.engines {
            engine.stop().await;
        }
        for plain in parts.plain {
            plain.stop().await;
        }
        parts.weights_server.stop().await;
    }

    fn run_kv(&self, command: KvCommand) {
        match command {
            KvCommand::Outage(switch) => self.switch(switch, |parts, on| {
                parts.change_faults(|f| f.outage = on);
            }),
            KvCommand::Refuse(switch) => {
                self.switch(switch, |parts, on| parts.kv_server.refuse(on));
            }
            KvCommand::Slow(time) => self.parts.change_faults(|f| f.slow = time),
            KvCommand::LostAnswers(share) => {
                self.parts.change_faults(|f| f.lost_answers = share);
            }
            KvCommand::Limits(writes, reads) => {
                self.parts.kv.set_limits(Limits { writes, reads });
            }
        }
    }

    fn run_ratings(&self, command: RatingCommand) {
        match command {
            RatingCommand::Outage(switch) => self.switch(switch, |parts, outage| {
                let cfg = parts.ratings.get();
                parts.ratings.set(RatingConfig { outage, ..cfg });
            }),
            RatingCommand::Lag(lag) => {
                let cfg = self.parts.ratings.get();
                self.parts.ratings.set(RatingConfig { lag, ..cfg });
            }
        }
    }

    fn run_hosts(&self, command: HostCommand) -> Result<(), String> {
        match command {
            HostCommand::Outage(switch) => {
                self.switch(switch, |parts, on| parts.hosts.set_outage(on));
            }
            HostCommand::Remove(name) => self.parts.hosts.remove(&name),
            HostCommand::Leaving(name) => {
                let host = self.parts.listening.iter().find(|l| l.name == name);
                let host = host.and_then(host_of).ok_or(format!("no host {name}"))?;
                self.parts.hosts.set(Host {
                    state: HostState::Leaving,
                    ..host
                });
            }
        }
        Ok(())
    }

    fn run_engine(&self, n: usize, command: EngineCommand) -> Result<Option<CallCounts>, String> {
        let index = number(n, self.parts.engines.len(), "engine")?;
        let engine = &self.parts.engines[index];
        match command {
            EngineCommand::Fault(fault, None) => engine.set_fault(fault),
            EngineCommand::Fault(fault, Some(version)) => engine.set_version_fault(&version, fault),
            EngineCommand::Slow(factor) => engine.set_slow(factor),
            EngineCommand::Leaving(switch) => self.switch(switch, move |parts, on| {
                parts.engines[index].set_leaving(on);
            }),
            EngineCommand::Refuse(switch) => self.switch(switch, move |parts, on| {
                parts.engines[index].refuse(on);
            }),
            EngineCommand::Calls => {
                let (running, waiting) = engine.under_way();
                return Ok(Some(CallCounts {
                    running,
                    waiting,
                    begun: counted(engine.calls().into_iter().map(|c| c.request)),
                }));
            }
        }
        Ok(None)
    }

    fn run_plain(&self, n: usize, command: PlainCommand) -> Result<Option<CallCounts>, String> {
        let index = number(n, self.parts.plain.len(), "plain service")?;
        let plain = &self.parts.plain[index];
        match command {
            PlainCommand::Fault(fault) => plain.set_fault(fault),
            PlainCommand::Slow(time) => plain.set_delay(time),
            PlainCommand::Refuse(switch) => self.switch(switch, move |parts, on| {
                parts.plain[index].refuse(on);
            }),
            PlainCommand::Calls => {
                let begun = counted(plain.calls().into_iter().map(|c| c.request));
                return Ok(Some(CallCounts {
                    begun,
                    ..CallCounts::default()
                }));
            }
        }
        Ok(None)
    }

    /// Switches now and, after a limited time, back.
    fn switch(&self, switch: Switch, set: impl Fn(&Parts, bool) + Send + 'static) {
        set(&self.parts, switch != Switch::Off);
        if let Switch::For(time) = switch {
            let parts = Arc::downgrade(&self.parts);
            tokio::spawn(async move {
                tokio::time::sleep(time).await;
                if let Some(parts) = parts.upgrade() {
                    set(&parts, false);
                }
            });
        }
    }
}

impl Parts {
    fn change_faults(&self, change: impl FnOnce(&mut Faults)) {
        let mut faults = self
            .kv_faults
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        change(&mut faults);
        self.kv.set_faults(*faults);
    }
}

fn address(first: u16, offset: u16) -> SocketAddr {
    let port = match first {
        0 => 0,
        first => first + offset,
    };
    (Ipv4Addr::LOCALHOST, port).into()
}

fn service(name: &str, address: SocketAddr) -> Listening {
    Listening {
        name: name.to_owned(),
        address,
        domain: None,
    }
}

fn endpoint(kind: &str, index: usize, address: SocketAddr, domains: &[String]) -> Listening {
    Listening {
        name: format!("{kind}-{}", index + 1),
        address,
        domain: domains.get(index % domains.len().max(1)).cloned(),
    }
}

/// The line of the host list for an endpoint; `None` for the platform's services.
fn host_of(listening: &Listening) -> Option<Host> {
    let role = match listening.name.split_once('-')?.0 {
        "engine" => HostRole::Engine,
        _ => HostRole::Plain,
    };
    Some(Host {
        host: listening.name.clone(),
        address: listening.address,
        domain: listening.domain.clone().unwrap_or_default(),
        role,
        state: HostState::Live,
    })
}

fn number(n: usize, len: usize, what: &str) -> Result<usize, String> {
    match n {
        1.. if n <= len => Ok(n - 1),
        _ => Err(format!("no {what} {n}; there are {len}, counted from 1")),
    }
}

fn counted(ids: impl Iterator<Item = String>) -> BTreeMap<String, u32> {
    let mut counts = BTreeMap::new();
    for id in ids {
        *counts.entry(id).or_default() += 1;
    }
    counts
}
