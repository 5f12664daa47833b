//! The task that places one pool: acquires the lease, reads the state of the engines and sends
//! orders where it differs from the configuration.

use crate::PauseClock;
use crate::engine_control::EngineControl;
use crate::lease::{Acquisition, Lease};
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

/// The configuration in force on this node and its revision.
pub type LiveConfig = (Revision, Arc<Config>);

/// Settings of the placement of a pool.
#[derive(Clone, PartialEq, Debug)]
pub struct Settings {
    /// Name of the pool in the configuration.
    pub pool: String,
    /// Name of this node, written into the lease key for operators.
    pub node: String,
    /// Distinguishes this incarnation of the node from all others; should be random.
    pub incarnation: u64,
    /// How long the lease is valid without renewal.
    pub lease_ttl: Duration,
    /// An order is sent only while at least this much of the lease remains. Longer than
    /// `call_timeout`, so that the wait for the response ends before the lease expires.
    pub send_margin: Duration,
    /// Timeout of a single call.
    pub call_timeout: Duration,
    /// Pause between two reads of the engines, after which the lease is renewed.
    pub poll_interval: Duration,
    /// Maximum number of engines that load at once.
    pub max_loading: usize,
}

impl Settings {
    /// Returns the default settings.
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

/// Parameters of [`run`].
pub struct Placer<K, O> {
    /// Client of the key-value service.
    pub kv: K,
    /// Client of the engines.
    pub engines: O,
    /// Settings.
    pub settings: Settings,
    /// Clock that keeps running while the process is paused.
    pub clock: PauseClock,
    /// Configuration in force on this node.
    pub config: watch::Receiver<LiveConfig>,
    /// Whether this node should try to acquire the lease; a few candidates per pool are enough.
    pub candidate: watch::Receiver<bool>,
}

/// The reason why a holder stops.
enum StopReason {
    /// The lease has expired, or too little of it remains to send an order.
    LeaseExpired,
    /// An engine has received an order with a newer fencing number.
    Superseded,
    /// The node is no longer a candidate, or it is stopping.
    NotCandidate,
}

/// Places a pool until the sender of `candidate` is dropped.
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
                warn!(
                    "placement {}: cannot acquire the lease: {error}",
                    placer.settings.pool
                );
                sleep(placer.settings.poll_interval).await;
            }
        }
    }
}

impl<K: Kv, O: EngineControl> Placer<K, O> {
    /// Waits until this node is a candidate; false if the sender of `candidate` was dropped.
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

    /// Waits for a third of the TTL, or until another holder writes the key. The deletion of the
    /// key does not end the wait, so a new holder may follow up to this long after the expiry.
    async fn wait_for_expiry(&self, revision: ModRevision) {
        let wait = self.settings.lease_ttl / 3;
        if self.kv.watch(&self.key(), revision, wait).await.is_err() {
            sleep(self.settings.poll_interval).await;
        }
    }

    /// Places the pool until the lease expires or the node must give it up.
    async fn run_as_holder(&mut self, mut lease: Lease) {
        let pool = &self.settings.pool;
        info!(
            "placement {pool}: acquired the lease, fencing {}",
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
            StopReason::LeaseExpired => info!("placement {pool}: lease expired or about to expire"),
            StopReason::Superseded => warn!("placement {pool}: engine has newer fencing number"),
            StopReason::NotCandidate => info!("placement {pool}: not a candidate, releasing lease"),
        }
        // If this fails the lease expires by itself.
        let _ = with_timeout(self.settings.call_timeout, lease.release(&self.kv)).await;
    }

    /// Renews the lease. While the service is unavailable the holder continues until too little of
    /// the lease remains.
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

    /// Reads the state of all engines and sends an order to each that differs from the desired one.
    async fn reconcile(&mut self, lease: &Lease) -> Result<(), StopReason> {
        let (revision, cfg) = self.config.borrow_and_update().clone();
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
                    "placement {}: {} has newer revision {newer}, this node has {}",
                    self.settings.pool, desired.name, revision.0
                ),
                Step::UpToDate | Step::WaitForLoadSlot => {}
            }
        }
        Ok(())
    }

    async fn read_state(&self, desired: DesiredState) -> Option<(DesiredState, Held)> {
        let held = self
            .engines
            .held(desired.address, self.settings.call_timeout)
            .await;
        match held {
            Ok(held) => Some((desired, held)),
            Err(error) => {
                warn!(
                    "placement {}: cannot read the state of {}: {error}",
                    self.settings.pool, desired.name
                );
                None
            }
        }
    }

    /// Sends an order, unless too little of the lease remains. A process may be paused between any
    /// two statements, so the lease is checked right before each send. A pause within the send
    /// itself can only be detected by an engine that checks the fencing number.
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
            "placement {}: order to {}, 1 of {engines} engines, reason {reason:?}: versions [{}], \
             currently [{}], revision {}, fencing {}, {} ms of the lease remaining",
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
            .engines
            .order(desired.address, order, self.settings.call_timeout)
            .await
        {
            Ok(Ordered::Accepted(_)) => Ok(()),
            Ok(Ordered::Stale { .. }) => Err(StopReason::Superseded),
            Err(error) => {
                // The next read of the engine shows whether the order took effect.
                warn!(
                    "placement {}: order to {} not confirmed: {error}",
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
        message: format!("no response within {} ms", limit.as_millis()),
    };
    timeout(limit, call).await.map_err(timed_out)?
}
