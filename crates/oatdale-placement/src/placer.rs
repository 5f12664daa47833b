//! The duty that places one pool: it takes the lease, reads engines back and orders what differs.

use crate::PauseClock;
use crate::lease::{Lease, Taken};
use crate::orders::Orders;
use crate::plan::{Step, Wanted, Why, plan, wanted};
use futures::future::join_all;
use log::{info, warn};
use oatdale_config::{Config, Revision};
use oatdale_platform::wire::{Held, Order, Ordered};
use oatdale_platform::{Kv, KvError, ModRevision};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// The configuration in force on this node.
pub type Live = (Revision, Arc<Config>);

/// How a pool is placed.
#[derive(Clone, PartialEq, Debug)]
pub struct Settings {
    /// The pool's name in the text.
    pub pool: String,
    /// This node's name, for whoever reads the key.
    pub node: String,
    /// Tells this incarnation of the node from every other; draw it at random.
    pub incarnation: u64,
    /// How long the lease lasts without renewal.
    pub lease: Duration,
    /// An order is sent only while this much of the lease is left; more than `call`, so that an
    /// order whose answer is awaited falls within the lease.
    pub margin: Duration,
    /// How long one call may take.
    pub call: Duration,
    /// How often engines are read back and the lease is renewed.
    pub interval: Duration,
    /// How many engines may load at once.
    pub loads: usize,
}

impl Settings {
    /// The usual settings.
    pub fn new(pool: &str, node: &str, incarnation: u64) -> Self {
        Settings {
            pool: pool.to_owned(),
            node: node.to_owned(),
            incarnation,
            lease: Duration::from_secs(15),
            margin: Duration::from_secs(4),
            call: Duration::from_secs(2),
            interval: Duration::from_secs(3),
            loads: 2,
        }
    }
}

/// What [`run`] needs.
pub struct Placer<K, O> {
    /// The key-value service.
    pub kv: K,
    /// The way to the engines.
    pub orders: O,
    /// How the pool is placed.
    pub settings: Settings,
    /// A clock that goes on while the process is paused.
    pub clock: PauseClock,
    /// The configuration in force on this node.
    pub live: watch::Receiver<Live>,
    /// Whether this node should try to hold the lease; a few nodes for each pool suffice.
    pub candidate: watch::Receiver<bool>,
}

/// Why a holder stops.
enum End {
    /// The lease is over, or too little of it is left.
    Lapsed,
    /// An engine has seen a newer holder.
    Overtaken,
    /// The node is no candidate any more, or it stops.
    Resigned,
}

/// Places a pool until the sender of `candidate` goes.
pub async fn run<K: Kv, O: Orders>(mut placer: Placer<K, O>) {
    let mut attempt = 0_u64;
    loop {
        if !placer.stands().await {
            return;
        }
        attempt += 1;
        match placer.take(attempt).await {
            Ok(Taken::Held(lease)) => placer.hold(lease).await,
            Ok(Taken::Other(revision)) => placer.wait_for_lapse(revision).await,
            Err(error) => {
                warn!("placement {}: no lease: {error}", placer.settings.pool);
                sleep(placer.settings.interval).await;
            }
        }
    }
}

impl<K: Kv, O: Orders> Placer<K, O> {
    /// Waits until this node is a candidate; false if it never will be.
    async fn stands(&mut self) -> bool {
        let stands = self.candidate.wait_for(|stands| *stands).await.is_ok();
        stands && self.candidate.has_changed().is_ok()
    }

    fn key(&self) -> String {
        format!("placer/{}", self.settings.pool)
    }

    async fn take(&self, attempt: u64) -> oatdale_platform::Result<Taken> {
        let Settings {
            node, incarnation, ..
        } = &self.settings;
        let token = format!("{node}/{incarnation:016x}/{attempt}");
        let key = self.key();
        let take = Lease::take(&self.kv, &key, &token, self.settings.lease, &self.clock);
        bounded(self.settings.call * 3, take).await
    }

    /// Waits for a part of the lease, or until another holder's key is there. That the key goes
    /// wakes nobody, so a new holder comes this much after the lapse at the latest.
    async fn wait_for_lapse(&self, revision: ModRevision) {
        let wait = self.settings.lease / 3;
        if self.kv.watch(&self.key(), revision, wait).await.is_err() {
            sleep(self.settings.interval).await;
        }
    }

    /// Places the pool until the lease ends.
    async fn hold(&mut self, mut lease: Lease) {
        let pool = &self.settings.pool;
        info!(
            "placement {pool}: holds the lease, fencing {}",
            lease.fencing
        );
        let end = loop {
            if !*self.candidate.borrow() || self.candidate.has_changed().is_err() {
                break End::Resigned;
            }
            match self.round(&lease).await {
                Ok(()) => {}
                Err(end) => break end,
            }
            sleep(self.settings.interval).await;
            if !self.renew(&mut lease).await {
                break End::Lapsed;
            }
        };
        let pool = &self.settings.pool;
        match end {
            End::Lapsed => info!("placement {pool}: the lease is over"),
            End::Overtaken => warn!("placement {pool}: an engine follows a newer holder"),
            End::Resigned => info!("placement {pool}: gives the lease back"),
        }
        // If this fails the lease lapses by itself.
        let _ = bounded(self.settings.call, lease.give_back(&self.kv)).await;
    }

    /// Renews the lease; while the service is away the holder goes on with what is left.
    async fn renew(&self, lease: &mut Lease) -> bool {
        let renewed = bounded(self.settings.call, lease.renew(&self.kv, &self.clock)).await;
        match renewed {
            Ok(()) => true,
            Err(KvError::Rejected { .. }) => false,
            Err(_) => self.may_send(lease),
        }
    }

    /// Reads all engines back and sends what differs.
    async fn round(&mut self, lease: &Lease) -> Result<(), End> {
        let (revision, cfg) = self.live.borrow_and_update().clone();
        let Some(pool) = cfg.pools.find(|pool| pool.name == self.settings.pool) else {
            return Ok(());
        };
        let reads = wanted(&cfg, pool).into_iter().map(|w| self.read_back(w));
        let engines: Vec<(Wanted, Held)> = join_all(reads).await.into_iter().flatten().collect();
        let steps = plan(&engines, lease.fencing, revision, self.settings.loads);
        for ((wanted, held), step) in engines.iter().zip(steps) {
            match step {
                Step::Send(order, why) => {
                    self.send(lease, wanted, held, &order, why, engines.len())
                        .await?;
                }
                Step::NewerLease(_) => return Err(End::Overtaken),
                Step::NewerRevision(newer) => info!(
                    "placement {}: {} follows revision {newer}, this node has {}",
                    self.settings.pool, wanted.name, revision.0
                ),
                Step::Settled | Step::WaitForRoom => {}
            }
        }
        Ok(())
    }

    async fn read_back(&self, wanted: Wanted) -> Option<(Wanted, Held)> {
        let held = self.orders.held(wanted.address, self.settings.call).await;
        match held {
            Ok(held) => Some((wanted, held)),
            Err(error) => {
                warn!(
                    "placement {}: {} can't be read back: {error}",
                    self.settings.pool, wanted.name
                );
                None
            }
        }
    }

    /// Sends one order, unless too little of the lease is left. A process may be paused between
    /// any two lines, so this is asked again right before each send; what remains is a pause
    /// within the send itself, which only an engine that checks the number can catch.
    async fn send(
        &self,
        lease: &Lease,
        wanted: &Wanted,
        held: &Held,
        order: &Order,
        why: Why,
        engines: usize,
    ) -> Result<(), End> {
        info!(
            "placement {}: {} of {engines} engines, {why:?}: hold [{}], held [{}], revision {}, \
             fencing {}, {} ms of the lease left",
            self.settings.pool,
            wanted.name,
            order.versions.join(", "),
            held.versions.join(", "),
            order.revision,
            order.fencing,
            lease.left(&self.clock).as_millis()
        );
        if !self.may_send(lease) {
            return Err(End::Lapsed);
        }
        match self
            .orders
            .order(wanted.address, order, self.settings.call)
            .await
        {
            Ok(Ordered::Accepted(_)) => Ok(()),
            Ok(Ordered::Stale { .. }) => Err(End::Overtaken),
            Err(error) => {
                // Whether it took effect shows when the engine is read back.
                warn!("placement {}: {}: {error}", self.settings.pool, wanted.name);
                Ok(())
            }
        }
    }

    fn may_send(&self, lease: &Lease) -> bool {
        lease.left(&self.clock) >= self.settings.margin
    }
}

async fn bounded<T>(
    limit: Duration,
    call: impl Future<Output = oatdale_platform::Result<T>>,
) -> oatdale_platform::Result<T> {
    let late = |_| KvError::Unknown {
        message: format!("no answer within {} ms", limit.as_millis()),
    };
    timeout(limit, call).await.map_err(late)?
}
