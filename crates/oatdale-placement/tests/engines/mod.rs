//! In-process engines that check fencing numbers or don't.

use oatdale_placement::Orders;
use oatdale_platform::CallError;
use oatdale_platform::wire::{Held, Order, Ordered};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::sleep;

pub(crate) const SECOND: Duration = Duration::from_secs(1);

/// What one engine is and saw.
#[derive(Clone, Default)]
pub(crate) struct Engine {
    held: Held,
    /// Orders that arrived, with whether they were followed.
    seen: Vec<(Order, bool)>,
}

/// All engines of a pool as one client reaches them; an order may be held up on its way.
#[derive(Clone)]
pub(crate) struct Engines {
    engines: Arc<Mutex<BTreeMap<SocketAddr, Engine>>>,
    fencing: bool,
    /// How long this client's orders are under way, whether or not it waits for them.
    pub(crate) delay: Arc<Mutex<Duration>>,
    /// How long a load takes.
    pub(crate) load: Duration,
    /// The most engines that ever loaded at once.
    pub(crate) most: Arc<Mutex<usize>>,
    pub(crate) loses_answers: bool,
    /// How long reading an engine back takes; stands for a pause of the process there.
    pub(crate) pause: Arc<Mutex<Duration>>,
}

impl Engines {
    pub(crate) fn new(fencing: bool) -> Self {
        Engines {
            engines: Arc::default(),
            fencing,
            delay: Arc::default(),
            load: SECOND,
            most: Arc::default(),
            loses_answers: false,
            pause: Arc::default(),
        }
    }

    /// The same engines by a way of its own.
    pub(crate) fn other_way(&self) -> Self {
        Engines {
            delay: Arc::default(),
            pause: Arc::default(),
            ..self.clone()
        }
    }

    pub(crate) fn held_by(&self, index: u16) -> Held {
        let engines = self.engines.lock().unwrap();
        engines
            .get(&address(index))
            .cloned()
            .unwrap_or_default()
            .held
    }

    pub(crate) fn seen_by(&self, index: u16) -> Vec<(Order, bool)> {
        let engines = self.engines.lock().unwrap();
        engines
            .get(&address(index))
            .cloned()
            .unwrap_or_default()
            .seen
    }

    fn arrive(&self, to: SocketAddr, order: &Order) -> Ordered {
        let mut engines = self.engines.lock().unwrap();
        let engine = engines.entry(to).or_default();
        let stale = self.fencing && order.fencing < engine.held.fencing;
        engine.seen.push((order.clone(), !stale));
        if stale {
            let newest = engine.held.fencing;
            return Ordered::Stale { newest };
        }
        let have = |v: &String| engine.held.versions.contains(v);
        let (kept, loading) = order.versions.iter().cloned().partition(have);
        engine.held = Held {
            fencing: order.fencing,
            revision: order.revision,
            versions: kept,
            loading,
            role: order.role,
        };
        let held = engine.held.clone();
        let loads = engines.values().filter(|e| !e.held.loading.is_empty());
        let mut most = self.most.lock().unwrap();
        *most = (*most).max(loads.count());
        Ordered::Accepted(held)
    }

    fn loaded(&self, at: SocketAddr) {
        let mut engines = self.engines.lock().unwrap();
        let engine = engines.entry(at).or_default();
        let loading = std::mem::take(&mut engine.held.loading);
        engine.held.versions.extend(loading);
        engine.held.versions.sort();
    }
}

impl Orders for Engines {
    async fn held(&self, address: SocketAddr, _limit: Duration) -> Result<Held, CallError> {
        let pause = *self.pause.lock().unwrap();
        sleep(pause).await;
        let mut engines = self.engines.lock().unwrap();
        Ok(engines.entry(address).or_default().held.clone())
    }

    async fn order(
        &self,
        address: SocketAddr,
        order: &Order,
        limit: Duration,
    ) -> Result<Ordered, CallError> {
        let delay = *self.delay.lock().unwrap();
        let (engines, order, load) = (self.clone(), order.clone(), self.load);
        let travel = tokio::spawn(async move {
            sleep(delay).await;
            let ordered = engines.arrive(address, &order);
            tokio::spawn(async move {
                sleep(load).await;
                engines.loaded(address);
            });
            ordered
        });
        match tokio::time::timeout(limit, travel).await {
            Ok(ordered) if !self.loses_answers => Ok(ordered.unwrap()),
            Ok(_) | Err(_) => Err(CallError::TimedOut),
        }
    }
}

pub(crate) fn address(index: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + index))
}
