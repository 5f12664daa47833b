//! The host duty: learns from the platform's list and from engines themselves which endpoints are
//! leaving, what they hold and how loaded they are.

use crate::latest::Latest;
use crate::live::Live;
use crate::metrics::Metrics;
use crate::route::RouteHandle;
use futures::future::join_all;
use log::debug;
use oatdale_config::{EndpointKey, PoolKind};
use oatdale_mesh::{Command, ListedHost};
use oatdale_platform::wire::{Host, HostRole, HostState};
use oatdale_platform::{EngineClient, HostListClient};
use oatdale_policy::LoadReport;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior, interval};

/// How often the list is read and some engines are asked.
const INTERVAL: Duration = Duration::from_secs(1);

/// How long either may take.
const LIMIT: Duration = Duration::from_millis(800);

/// Engines asked each time. Answers to requests bring the load too; this is for engines that get
/// none. At 2,100 workers it costs a node about 2 KB a second and takes minutes to go round.
const ENGINES_AT_ONCE: usize = 9;

/// What the host duty reads and writes.
pub(crate) struct Duty {
    pub(crate) list: Option<HostListClient>,
    pub(crate) engines: EngineClient,
    pub(crate) live: Latest<Live>,
    pub(crate) route: RouteHandle,
    pub(crate) mesh: mpsc::Sender<Command>,
    pub(crate) metrics: Metrics,
    pub(crate) stop: watch::Receiver<bool>,
}

/// Runs the duty until `stop`.
pub(crate) async fn run(mut duty: Duty) {
    let mut tick = interval(INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut next = 0;
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            _ = duty.stop.wait_for(|stop| *stop) => return,
        }
        let live = duty.live.get();
        duty.read_list(&live).await;
        next = duty.ask_engines(&live, next).await;
    }
}

impl Duty {
    async fn read_list(&self, live: &Live) {
        let Some(list) = &self.list else { return };
        match list.hosts(Instant::now() + LIMIT).await {
            Ok(hosts) => {
                self.route.leaving(leaving(live, &hosts)).await;
                let listed = entry_hosts(&hosts);
                let _ = self.mesh.send(Command::Hosts(listed)).await;
            }
            // The list that was read before stays the best there is.
            Err(err) => {
                self.metrics.host_list_errors.inc();
                debug!(target: "hosts", "event=list_failed error={:?}", err.to_string());
            }
        }
    }

    /// Asks the next few engines and returns where to go on.
    async fn ask_engines(&self, live: &Live, next: usize) -> usize {
        let engines: Vec<EndpointKey> = live
            .cfg
            .endpoints
            .iter()
            .filter(|(_, e)| matches!(live.cfg.pools[e.pool].kind, PoolKind::Engines { .. }))
            .map(|(key, _)| key)
            .collect();
        if engines.is_empty() {
            return 0;
        }
        let some = engines
            .iter()
            .cycle()
            .skip(next % engines.len())
            .take(ENGINES_AT_ONCE.min(engines.len()));
        join_all(some.map(|key| self.ask(live, *key))).await;
        (next + ENGINES_AT_ONCE) % engines.len()
    }

    async fn ask(&self, live: &Live, key: EndpointKey) {
        let endpoint = &live.cfg.endpoints[key];
        let deadline = Instant::now() + LIMIT;
        match self.engines.load(endpoint.address, deadline).await {
            Ok(load) => {
                let report = LoadReport {
                    running: load.running,
                    waiting: load.waiting,
                    age: load.age(),
                };
                self.route.load(live.revision, key, report, load.leaving);
                self.route
                    .holds(endpoint.name.clone(), Some(load.versions))
                    .await;
            }
            Err(err) => {
                debug!(target: "hosts", "event=load_failed endpoint={:?} error={:?}", endpoint.name, err.to_string());
            }
        }
    }
}

/// Endpoints that the list says are leaving, by address, since hosts may have names of their own.
fn leaving(live: &Live, hosts: &[Host]) -> Vec<String> {
    let going = |host: &&Host| host.state == HostState::Leaving && host.role != HostRole::Entry;
    live.cfg
        .endpoints
        .iter()
        .filter(|(_, e)| hosts.iter().filter(going).any(|h| h.address == e.address))
        .map(|(_, e)| e.name.clone())
        .collect()
}

fn entry_hosts(hosts: &[Host]) -> Vec<ListedHost> {
    hosts
        .iter()
        .filter(|host| host.role == HostRole::Entry)
        .map(|host| ListedHost {
            address: host.address,
            leaving: host.state == HostState::Leaving,
        })
        .collect()
}
