//! The placement duty: stands for the leases of pools of engines, with a few other nodes each.

use crate::latest::Latest;
use crate::live::Live;
use crate::prefer::is_among_first;
use log::info;
use oatdale_config::PoolKind;
use oatdale_mesh::{PeerState, PeerView};
use oatdale_placement::{Placer, Settings};
use oatdale_platform::{EngineClient, HttpKv};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::watch;

/// Nodes that stand for each pool's lease. More would only add calls to the key-value service;
/// with fewer the loss of one node would leave a pool unplaced until others notice.
const CANDIDATES: usize = 3;

/// What the placement duty reads and writes.
pub(crate) struct Duty {
    pub(crate) host: String,
    pub(crate) incarnation: u64,
    pub(crate) kv: HttpKv,
    pub(crate) engines: EngineClient,
    pub(crate) live: Latest<Live>,
    pub(crate) peers: watch::Receiver<Arc<Vec<PeerView>>>,
    pub(crate) stop: watch::Receiver<bool>,
}

/// Runs the duty until `stop`; dropping what it holds gives the leases back.
pub(crate) async fn run(mut duty: Duty) {
    let orders = watch::Sender::new(duty.current());
    let mut pools: BTreeMap<String, watch::Sender<bool>> = BTreeMap::new();
    loop {
        let current = duty.current();
        orders.send_if_modified(|held| {
            let newer = held.0 != current.0;
            *held = current;
            newer
        });
        duty.stand(&mut pools, &orders);
        tokio::select! {
            Ok(()) = duty.live.changed() => {}
            Ok(()) = duty.peers.changed() => {}
            _ = duty.stop.wait_for(|stop| *stop) => return,
        }
    }
}

impl Duty {
    fn current(&mut self) -> oatdale_placement::LiveConfig {
        let live = self.live.take();
        (live.revision, live.cfg.clone())
    }

    /// Starts a placer for each new pool of engines, ends those of pools that are gone, and tells
    /// each whether this node stands for its lease.
    fn stand(
        &mut self,
        pools: &mut BTreeMap<String, watch::Sender<bool>>,
        orders: &watch::Sender<oatdale_placement::LiveConfig>,
    ) {
        let live = self.live.get();
        let wanted: Vec<&str> = live
            .cfg
            .pools
            .iter()
            .filter(|(_, pool)| matches!(pool.kind, PoolKind::Engines { .. }))
            .map(|(_, pool)| pool.name.as_str())
            .collect();
        pools.retain(|name, _| wanted.contains(&name.as_str()));
        let peers = self.peers.borrow_and_update().clone();
        let hosts: Vec<&str> = peers
            .iter()
            .filter(|peer| peer.state == PeerState::Alive)
            .map(|peer| peer.host.as_str())
            .collect();
        for name in wanted {
            let stands = is_among_first(&hosts, &self.host, name.as_bytes(), CANDIDATES);
            let candidate = pools
                .entry(name.to_owned())
                .or_insert_with(|| self.start(name, orders));
            let changed = candidate.send_replace(stands) != stands;
            if changed {
                info!(target: "place", "event=candidate pool={name:?} stands={stands}");
            }
        }
    }

    fn start(
        &self,
        pool: &str,
        orders: &watch::Sender<oatdale_placement::LiveConfig>,
    ) -> watch::Sender<bool> {
        let candidate = watch::Sender::new(false);
        let start = Instant::now();
        let placer = Placer {
            kv: self.kv.clone(),
            engines: self.engines.clone(),
            settings: Settings::new(pool, &self.host, self.incarnation),
            // The system's clock goes on while this process is paused; the runtime's may be
            // paused by tests.
            clock: Arc::new(move || start.elapsed()),
            config: orders.subscribe(),
            candidate: candidate.subscribe(),
        };
        tokio::spawn(oatdale_placement::run(placer));
        candidate
    }
}
