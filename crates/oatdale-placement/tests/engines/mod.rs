//! In-process engines, with or without checks of fencing numbers.

use oatdale_placement::EngineControl;
use oatdale_platform::CallError;
use oatdale_platform::wire::{Held, Order, Ordered};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::sleep;

pub(crate) const SECOND: Duration = Duration::from_secs(1);

/// State of an engine and the orders it received.
#[derive(Clone, Default)]
pub(crate) struct Engine {
    held: Held,
    /// Received orders, each with whether it was accepted.
    received: Vec<(Order, bool)>,
}

/// A client of all engines of a pool, which can delay its orders in transit.
#[derive(Clone)]
pub(crate) struct Engines {
    engines: Arc<Mutex<BTreeMap<SocketAddr, Engine>>>,
    fencing: bool,
    /// Transit time of this client's orders, even if the client stops waiting for the response.
    pub(crate) order_delay: Arc<Mutex<Duration>>,
    /// How long loading a version takes.
    pub(crate) load_duration: Duration,
    /// Highest number of engines that were loading at once.
    pub(crate) max_loading: Arc<Mutex<usize>>,
    pub(crate) drops_responses: bool,
    /// How long reading an engine takes; simulates a pause of the process at that point.
    pub(crate) read_delay: Arc<Mutex<Duration>>,
}

impl Engines {
    pub(crate) fn new(fencing: bool) -> Self {
        Engines {
            engines: Arc::default(),
            fencing,
            order_delay: Arc::default(),
            load_duration: SECOND,
            max_loading: Arc::default(),
            drops_responses: false,
            read_delay: Arc::default(),
        }
    }

    /// Returns another client of the same engines, with delays of its own.
    pub(crate) fn separate_client(&self) -> Self {
        Engines {
            order_delay: Arc::default(),
            read_delay: Arc::default(),
            ..self.clone()
        }
    }

    pub(crate) fn state_of(&self, index: u16) -> Held {
        let engines = self.engines.lock().unwrap();
        engines
            .get(&address(index))
            .cloned()
            .unwrap_or_default()
            .held
    }

    pub(crate) fn orders_at(&self, index: u16) -> Vec<(Order, bool)> {
        let engines = self.engines.lock().unwrap();
        engines
            .get(&address(index))
            .cloned()
            .unwrap_or_default()
            .received
    }

    fn deliver(&self, to: SocketAddr, order: &Order) -> Ordered {
        let mut engines = self.engines.lock().unwrap();
        let engine = engines.entry(to).or_default();
        let stale = self.fencing && order.fencing < engine.held.fencing;
        engine.received.push((order.clone(), !stale));
        if stale {
            let newest = engine.held.fencing;
            return Ordered::Stale { newest };
        }
        let is_held = |v: &String| engine.held.versions.contains(v);
        let (kept, loading) = order.versions.iter().cloned().partition(is_held);
        engine.held = Held {
            fencing: order.fencing,
            revision: order.revision,
            versions: kept,
            loading,
            role: order.role,
        };
        let held = engine.held.clone();
        let loads = engines.values().filter(|e| !e.held.loading.is_empty());
        let mut max_loading = self.max_loading.lock().unwrap();
        *max_loading = (*max_loading).max(loads.count());
        Ordered::Accepted(held)
    }

    fn finish_loading(&self, at: SocketAddr) {
        let mut engines = self.engines.lock().unwrap();
        let engine = engines.entry(at).or_default();
        let loading = std::mem::take(&mut engine.held.loading);
        engine.held.versions.extend(loading);
        engine.held.versions.sort();
    }
}

impl EngineControl for Engines {
    async fn held(&self, address: SocketAddr, _limit: Duration) -> Result<Held, CallError> {
        let read_delay = *self.read_delay.lock().unwrap();
        sleep(read_delay).await;
        let mut engines = self.engines.lock().unwrap();
        Ok(engines.entry(address).or_default().held.clone())
    }

    async fn order(
        &self,
        address: SocketAddr,
        order: &Order,
        limit: Duration,
    ) -> Result<Ordered, CallError> {
        let order_delay = *self.order_delay.lock().unwrap();
        let (engines, order, load_duration) = (self.clone(), order.clone(), self.load_duration);
        let delivery = tokio::spawn(async move {
            sleep(order_delay).await;
            let ordered = engines.deliver(address, &order);
            tokio::spawn(async move {
                sleep(load_duration).await;
                engines.finish_loading(address);
            });
            ordered
        });
        match tokio::time::timeout(limit, delivery).await {
            Ok(ordered) if !self.drops_responses => Ok(ordered.unwrap()),
            Ok(_) | Err(_) => Err(CallError::TimedOut),
        }
    }
}

pub(crate) fn address(index: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + index))
}
