//! An in-process key-value service with failure switches, on the runtime's clock.
//!
//! A [`MemKv`] is one client's handle; [`MemKv::client`] gives another client of the same service,
//! which can be cut off or paused by its name.

mod fault;
mod store;

pub use crate::kv::fault::{Counters, Fault, Faults, Limits};

use crate::kv::fault::Plan;
use crate::kv::store::Store;
use bytes::Bytes;
use oatdale_platform::{Condition, Entry, Kv, KvError, LeaseId, ModRevision, Put, Result};
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout_at};

/// The largest value that the service takes, in bytes.
pub const MAX_VALUE: usize = 1_000_000;

struct Shared {
    state: Mutex<State>,
    /// Wakes watches and paused calls whenever keys or switches change.
    changed: Notify,
}

struct State {
    store: Store,
    plan: Plan,
}

/// What a call does to the store.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Kind {
    Read,
    Watch,
    Write,
    Lease,
}

/// One client's handle of an in-process key-value service; cheap to clone.
#[derive(Clone)]
pub struct MemKv {
    shared: Arc<Shared>,
    client: Arc<str>,
}

impl MemKv {
    /// Makes an empty service whose faults are drawn from `seed`; without rate limits or faults.
    pub fn new(seed: u64) -> Self {
        let state = State {
            store: Store::default(),
            plan: Plan::new(seed),
        };
        MemKv {
            shared: Arc::new(Shared {
                state: Mutex::new(state),
                changed: Notify::new(),
            }),
            client: Arc::from("client"),
        }
    }

    /// Another client of the same service.
    pub fn client(&self, name: &str) -> Self {
        MemKv {
            shared: Arc::clone(&self.shared),
            client: Arc::from(name),
        }
    }

    /// Sets the calls a second that the service takes.
    pub fn set_limits(&self, limits: Limits) {
        self.state().plan.set_limits(limits, Instant::now());
    }

    /// Sets the faults that any call may meet from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.state().plan.faults = faults;
        self.shared.changed.notify_waiters();
    }

    /// Gives the next writes of the client `name` these faults, one each, before any drawn ones.
    pub fn script(&self, name: &str, faults: impl IntoIterator<Item = Fault>) {
        self.state().plan.script(name, faults);
    }

    /// Cuts the client `name` off: what it sends is lost, and answers under way are too.
    pub fn cut(&self, name: &str) {
        self.state().plan.cut.insert(name.to_owned());
        self.shared.changed.notify_waiters();
    }

    /// Ends [`cut`](MemKv::cut).
    pub fn mend(&self, name: &str) {
        self.state().plan.cut.remove(name);
    }

    /// Holds every call of the client `name`, before its effect and before its answer.
    pub fn pause(&self, name: &str) {
        self.state().plan.paused.insert(name.to_owned());
    }

    /// Ends [`pause`](MemKv::pause); calls that were held go on and may still take effect.
    pub fn resume(&self, name: &str) {
        self.state().plan.paused.remove(name);
        self.shared.changed.notify_waiters();
    }

    /// Calls and faults so far.
    pub fn counters(&self) -> Counters {
        self.state().plan.counters
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs one call with whatever faults it meets on its way there and back.
    async fn call<T: Send + 'static>(
        &self,
        kind: Kind,
        effect: impl FnOnce(&mut Store, Instant) -> Result<T> + Send + 'static,
    ) -> Result<T> {
        let fate = self
            .state()
            .plan
            .admit(&self.client, kind, Instant::now())?;
        self.while_paused().await;
        let result = match fate.before.is_zero() {
            true => self.take_effect(kind, effect)?,
            false => self.take_effect_later(kind, fate.before, effect).await?,
        };
        sleep(fate.after).await;
        self.while_paused().await;
        self.state()
            .plan
            .answer(&self.client, kind, fate.lost_answer)?;
        result
    }

    /// Lets the call travel by itself, so that it arrives even when its sender is gone by then.
    async fn take_effect_later<T: Send + 'static>(
        &self,
        kind: Kind,
        before: Duration,
        effect: impl FnOnce(&mut Store, Instant) -> Result<T> + Send + 'static,
    ) -> Result<Result<T>> {
        let kv = self.clone();
        let travel = tokio::spawn(async move {
            sleep(before).await;
            kv.take_effect(kind, effect)
        });
        let lost = |_| no_answer(kind, "the runtime stops");
        travel.await.map_err(lost)?
    }

    /// Applies a call's effect unless an outage or a cut began while it was on its way.
    fn take_effect<T>(
        &self,
        kind: Kind,
        effect: impl FnOnce(&mut Store, Instant) -> Result<T>,
    ) -> Result<Result<T>> {
        let mut state = self.state();
        let state = &mut *state;
        state.plan.arrive(&self.client, kind)?;
        let result = effect(&mut state.store, Instant::now());
        state.plan.counters.lapsed = state.store.lapsed;
        self.shared.changed.notify_waiters();
        Ok(result)
    }

    async fn while_paused(&self) {
        loop {
            let changed = self.shared.changed.notified();
            if !self.state().plan.paused.contains(&*self.client) {
                return;
            }
            changed.await;
        }
    }

    /// Looks for a newer value; an outage or a cut ends the wait, since nobody would answer it.
    fn look(&self, key: &str, seen: ModRevision) -> Result<(Option<Entry>, Option<Instant>)> {
        let mut state = self.state();
        let state = &mut *state;
        state.plan.arrive(&self.client, Kind::Watch)?;
        let entry = state.store.get(key, Instant::now());
        state.plan.counters.lapsed = state.store.lapsed;
        let newer = entry.filter(|e| e.revision > seen);
        Ok((newer, state.store.next_lapse()))
    }
}

impl Kv for MemKv {
    async fn get(&self, key: &str) -> Result<Option<Entry>> {
        let key = key.to_owned();
        self.call(Kind::Read, move |store, now| Ok(store.get(&key, now)))
            .await
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        cond: Condition,
        lease: Option<LeaseId>,
    ) -> Result<Put> {
        let key = key.to_owned();
        self.state().plan.counters.bytes += value.len() as u64;
        self.call(Kind::Write, move |store, now| {
            store.put(&key, value, cond, lease, now)
        })
        .await
    }

    async fn delete(&self, key: &str, revision: ModRevision) -> Result<Put> {
        let key = key.to_owned();
        self.call(Kind::Write, move |store, now| {
            Ok(store.delete(&key, revision, now))
        })
        .await
    }

    async fn list(&self, prefix: &str, after: Option<&str>, limit: usize) -> Result<Vec<Entry>> {
        let prefix = prefix.to_owned();
        let after = after.map(str::to_owned);
        self.call(Kind::Read, move |store, now| {
            Ok(store.list(&prefix, after.as_deref(), limit, now))
        })
        .await
    }

    async fn watch(&self, key: &str, seen: ModRevision, wait: Duration) -> Result<Option<Entry>> {
        let fate = self
            .state()
            .plan
            .admit(&self.client, Kind::Watch, Instant::now())?;
        let end = Instant::now() + wait;
        sleep(fate.before).await;
        loop {
            self.while_paused().await;
            let changed = self.shared.changed.notified();
            let (newer, lapse) = self.look(key, seen)?;
            let now = Instant::now();
            if newer.is_some() || now >= end {
                sleep(fate.after).await;
                return Ok(newer);
            }
            let until = lapse.map_or(end, |at| at.min(end));
            // Either a change or the time limit wakes it; both lead to another look.
            let _ = timeout_at(until, changed).await;
        }
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId> {
        self.call(Kind::Lease, move |store, now| Ok(store.grant(ttl, now)))
            .await
    }

    async fn renew(&self, lease: LeaseId) -> Result<()> {
        self.call(Kind::Lease, move |store, now| store.renew(lease, now))
            .await
    }

    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<()>> + Send {
        self.call(Kind::Lease, move |store, now| {
            store.revoke(lease, now);
            Ok(())
        })
    }
}

/// The error of a call that ended between its effect and its answer.
pub(crate) fn no_answer(kind: Kind, message: &str) -> KvError {
    let message = message.to_owned();
    match kind {
        Kind::Write | Kind::Lease => KvError::Unknown { message },
        Kind::Read | Kind::Watch => KvError::Unavailable { message },
    }
}
