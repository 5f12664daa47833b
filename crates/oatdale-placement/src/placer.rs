//! The duty that places one pool: it takes the lease, reads engines back and orders what differs.

use crate::PauseClock;
use crate::lease::{Acquisition, Lease};
use crate::orders::EngineControl;
use crate::plan::{DesiredState, OrderReason, Step, desired_states, plan};
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
    pub lease_ttl: Duration,
    /// An order is sent only while this much of the lease is left; more than `call`, so that an
    /// order whose answer is awaited falls within the lease.
    pub send_margin: Duration,
    /// How long one call may take.
    pub call_timeout: Duration,
    /// How often engines are read back and the lease is renewed.
    pub poll_interval: Duration,
    /// How many engines may load at once.
    pub max_loading: usize,
}

impl Settings {
    /// The usual settings.
    pub fn new(pool: &str, node: &str, incarnation: u64) -> Self {
        Settings {
            pool: pool.to_owned(),
            node: node.to_owned(),
            incarnation,
            lease_ttl: Duration::from_secs(15),
            send_margin: Duration::from_secs(4),
            call_timeout: Duration::from_secs(2),
            poll_interval: Duration::from_secs(3),
            max_loading: 2,
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
enum StopReason {
    /// The lease is over, or too little of it is left.
    LeaseExpired,
    /// An engine has seen a newer holder.
    Superseded,
    /// The node is no candidate any more, or it stops.
    NotCandidate,
}

/// Places a pool until the sender of `candidate` goes.
pub async fn run<K: Kv, O: EngineControl>(mut placer: Placer<K, O>) {
    let mut attempt = 0_u64;
    loop {
        if !placer.wait_until_candidate().await {
            return;
        }
        attempt += 1;
        match placer.acquire(attempt).await {
            Ok(Acquisition::Acquired(lease)) => placer.run_as_holder(lease).await,
            Ok(Acquisition::HeldByOther(revision)) => placer.wait_for_expiry(revision).await,
            Err(error) => {
                warn!("placement {}: no lease: {error}", placer.settings.pool);
                sleep(placer.settings.poll_interval).await;
            }
        }
    }
}

impl<K: Kv, O: EngineControl> Placer<K, O> {
    /// Waits until this node is a candidate; false if it never will be.
    async fn wait_until_candidate(&mut self) -> bool {
        let is_candidate = self
            .candidate
            .wait_for(|is_candidate| *is_candidate)
            .await
            .is_ok();
        is_candidate && self.candidate.has_changed().is_ok()
    }

    fn key(&self) -> String {
        format!("placer/{}", self.settings.pool)
    }

    async fn acquire(&self, attempt: u64) -> oatdale_platform::Result<Acquisition> {
        let Settings {
            node, incarnation, ..
        } = &self.settings;
        let token = format!("{node}/{incarnation:016x}/{attempt}");
        let key = self.key();
        let acquire = Lease::acquire(&self.kv, &key, &token, self.settings.lease_ttl, &self.clock);
        with_timeout(self.settings.call_timeout * 3, acquire).await
    }

    /// Waits for a part of the lease, or until another holder's key is there. That the key goes
    /// wakes nobody, so a new holder comes this much after the lapse at the latest.
    async fn wait_for_expiry(&self, revision: ModRevision) {
        let wait = self.settings.lease_ttl / 3;
        if self.kv.watch(&self.key(), revision, wait).await.is_err() {
            sleep(self.settings.poll_interval).await;
        }
    }

    /// Places the pool until the lease ends.
    async fn run_as_holder(&mut self, mut lease: Lease) {
        let pool = &self.settings.pool;
        info!(
            "placement {pool}: holds the lease, fencing {}",
            lease.fencing
        );
        let stop_reason = loop {
            if !*self.candidate.borrow() || self.candidate.has_changed().is_err() {
                break StopReason::NotCandidate;
            }
            match self.reconcile(&lease).await {
                Ok(()) => {}
                Err(stop_reason) => break stop_reason,
            }
            sleep(self.settings.poll_interval).await;
            if !self.renew(&mut lease).await {
                break StopReason::LeaseExpired;
            }
        };
        let pool = &self.settings.pool;
        match stop_reason {
            StopReason::LeaseExpired => info!("placement {pool}: the lease is over"),
            StopReason::Superseded => warn!("placement {pool}: an engine follows a newer holder"),
            StopReason::NotCandidate => info!("placement {pool}: gives the lease back"),
        }
        // If this fails the lease lapses by itself.
        let _ = with_timeout(self.settings.call_timeout, lease.release(&self.kv)).await;
    }

    /// Renews the lease; while the service is away the holder goes on with what is left.
    async fn renew(&self, lease: &mut Lease) -> bool {
        let renewed = with_timeout(
            self.settings.call_timeout,
            lease.renew(&self.kv, &self.clock),
        )
        .await;
        match renewed {
            Ok(()) => true,
            Err(KvError::Rejected { .. }) => false,
            Err(_) => self.may_send(lease),
        }
    }

    /// Reads all engines back and sends what differs.
    async fn reconcile(&mut self, lease: &Lease) -> Result<(), StopReason> {
        let (revision, cfg) = self.live.borrow_and_update().clone();
        let Some(pool) = cfg.pools.find(|pool| pool.name == self.settings.pool) else {
            return Ok(());
        };
        let reads = desired_states(&cfg, pool)
            .into_iter()
            .map(|w| self.read_state(w));
        let engines: Vec<(DesiredState, Held)> =
            join_all(reads).await.into_iter().flatten().collect();
        let steps = plan(&engines, lease.fencing, revision, self.settings.max_loading);
        for ((desired, held), step) in engines.iter().zip(steps) {
            match step {
                Step::Send(order, reason) => {
                    self.send(lease, desired, held, &order, reason, engines.len())
                        .await?;
                }
                Step::NewerLease(_) => return Err(StopReason::Superseded),
                Step::NewerRevision(newer) => info!(
                    "placement {}: {} follows revision {newer}, this node has {}",
                    self.settings.pool, desired.name, revision.0
                ),
                Step::UpToDate | Step::WaitForLoadSlot => {}
            }
        }
        Ok(())
    }

    async fn read_state(&self, desired: DesiredState) -> Option<(DesiredState, Held)> {
        let held = self
            .orders
            .held(desired.address, self.settings.call_timeout)
            .await;
        match held {
            Ok(held) => Some((desired, held)),
            Err(error) => {
                warn!(
                    "placement {}: {} can't be read back: {error}",
                    self.settings.pool, desired.name
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
        desired: &DesiredState,
        held: &Held,
        order: &Order,
        reason: OrderReason,
        engines: usize,
    ) -> Result<(), StopReason> {
        info!(
            "placement {}: {} of {engines} engines, {reason:?}: hold [{}], held [{}], revision {}, \
             fencing {}, {} ms of the lease left",
            self.settings.pool,
            desired.name,
            order.versions.join(", "),
            held.versions.join(", "),
            order.revision,
            order.fencing,
            lease.remaining(&self.clock).as_millis()
        );
        if !self.may_send(lease) {
            return Err(StopReason::LeaseExpired);
        }
        match self
            .orders
            .order(desired.address, order, self.settings.call_timeout)
            .await
        {
            Ok(Ordered::Accepted(_)) => Ok(()),
            Ok(Ordered::Stale { .. }) => Err(StopReason::Superseded),
            Err(error) => {
                // Whether it took effect shows when the engine is read back.
                warn!(
                    "placement {}: {}: {error}",
                    self.settings.pool, desired.name
                );
                Ok(())
            }
        }
    }

    fn may_send(&self, lease: &Lease) -> bool {
        lease.remaining(&self.clock) >= self.settings.send_margin
    }
}

async fn with_timeout<T>(
    limit: Duration,
    call: impl Future<Output = oatdale_platform::Result<T>>,
) -> oatdale_platform::Result<T> {
    let timed_out = |_| KvError::Unknown {
        message: format!("no answer within {} ms", limit.as_millis()),
    };
    timeout(limit, call).await.map_err(timed_out)?
}
