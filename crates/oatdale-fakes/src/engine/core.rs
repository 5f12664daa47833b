//! The state of one engine, which its handlers, its steps and its switches share.

use crate::engine::batch::{Batch, Job};
use crate::engine::orders::{Holdings, Refused};
use crate::engine::prefix::PrefixCache;
use crate::engine::{EngineCall, EngineConfig, EngineVersion, Fault};
use crate::reply;
use crate::server::Body;
use http::{Response, StatusCode};
use oatdale_platform::wire::{CacheEvent, Load, Order};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// The state of one engine; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Core {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    versions: Vec<EngineVersion>,
    load_lag: Duration,
    state: Mutex<State>,
    /// Wakes the steps.
    work: Arc<Notify>,
    /// Wakes readers of cache events.
    events: Notify,
}

#[derive(Debug)]
pub(crate) struct State {
    pub(crate) batch: Batch,
    pub(crate) holdings: Holdings,
    pub(crate) cache: PrefixCache,
    pub(crate) version_faults: BTreeMap<String, Fault>,
    pub(crate) fault: Option<Fault>,
    pub(crate) leaving: bool,
    pub(crate) calls: Vec<EngineCall>,
}

impl Core {
    pub(crate) fn new(cfg: EngineConfig) -> Self {
        let held = cfg.versions.iter().filter(|v| v.held);
        let held = held.map(|v| v.name.clone()).collect();
        let state = State {
            batch: Batch::new(cfg.speed),
            holdings: Holdings::new(held, cfg.checks_fencing, cfg.weights),
            cache: PrefixCache::new(cfg.cache),
            version_faults: BTreeMap::new(),
            fault: None,
            leaving: false,
            calls: Vec::new(),
        };
        Core {
            shared: Arc::new(Shared {
                versions: cfg.versions,
                load_lag: cfg.load_lag,
                state: Mutex::new(state),
                work: Arc::default(),
                events: Notify::new(),
            }),
        }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.shared)
    }

    /// Takes step after step until the last handle is dropped.
    pub(crate) fn start_steps(&self) {
        let work = self.shared.work.clone();
        tokio::spawn(steps(Arc::downgrade(&self.shared), work));
    }

    /// Why a request for this version is not begun, if so.
    pub(crate) fn refusal(&self, version: &str) -> Option<Response<Body>> {
        let mut state = self.state();
        let (status, message) = match state.holdings.holds(version) {
            _ if state.leaving => (
                StatusCode::SERVICE_UNAVAILABLE,
                "the engine is leaving".to_owned(),
            ),
            false => (
                StatusCode::NOT_FOUND,
                format!("the engine does not hold {version}"),
            ),
            true => return None,
        };
        Some(reply::not_started(status, &message, None))
    }

    pub(crate) fn note_call(&self, request: &str, version: &str) {
        self.state().calls.push(EngineCall {
            request: request.to_owned(),
            version: version.to_owned(),
        });
    }

    pub(crate) fn fault(&self, version: &str) -> Option<Fault> {
        let state = self.state();
        state.version_faults.get(version).copied().or(state.fault)
    }

    pub(crate) fn quality(&self, version: &str) -> f64 {
        let known = self.shared.versions.iter().find(|v| v.name == version);
        known.map_or(1.0, |v| v.quality)
    }

    /// Reads a prompt into the prefix cache; returns how many of its tokens were there.
    pub(crate) fn read_prompt(&self, version: &str, prompt: &str) -> u32 {
        let cached = self.state().cache.read(version, prompt);
        self.shared.events.notify_waiters();
        cached
    }

    pub(crate) fn submit(&self, job: Job) -> Result<(), Job> {
        self.state().batch.push(job)?;
        self.shared.work.notify_one();
        Ok(())
    }

    pub(crate) fn cancel(&self, request: &str) -> Response<Body> {
        match self.state().batch.cancel(request) {
            true => reply::with(StatusCode::NO_CONTENT, ""),
            false => reply::error(StatusCode::NOT_FOUND, "no such request"),
        }
    }

    pub(crate) fn order(&self, order: Order) -> Response<Body> {
        match self.state().holdings.order(order) {
            Ok(held) => reply::json(StatusCode::ACCEPTED, &held),
            Err(Refused::Stale(stale)) => reply::json(StatusCode::CONFLICT, &stale),
            Err(Refused::UnknownVersion(version)) => reply::error(
                StatusCode::UNPROCESSABLE_ENTITY,
                &format!("the weight store has no {version}"),
            ),
        }
    }

    pub(crate) fn load(&self) -> Load {
        let mut state = self.state();
        let sample = state.batch.load(self.shared.load_lag);
        Load {
            running: count(sample.running),
            waiting: count(sample.waiting),
            tokens: sample.tokens as u64,
            age_ms: u64::try_from(sample.at.elapsed().as_millis()).unwrap_or(u64::MAX),
            leaving: state.leaving,
            versions: state.holdings.report().versions,
        }
    }

    /// Waits for the next cache event after number `after`.
    pub(crate) async fn next_event(&self, after: u64) -> CacheEvent {
        loop {
            let changed = self.shared.events.notified();
            let found = self.state().cache.event_after(after);
            match found {
                Ok(event) => return event,
                Err(Some(at)) => sleep_until(at).await,
                Err(None) => changed.await,
            }
        }
    }
}

impl State {
    /// Requests that run and that wait, without lag.
    pub(crate) fn under_way(&mut self) -> (u32, u32) {
        let now = self.batch.load_now();
        (count(now.running), count(now.waiting))
    }
}

impl Drop for Shared {
    fn drop(&mut self) {
        self.work.notify_one();
    }
}

async fn steps(shared: Weak<Shared>, work: Arc<Notify>) {
    loop {
        let begun = Instant::now();
        let Some(step) = shared.upgrade().map(|s| lock(&s).batch.begin_step()) else {
            return;
        };
        match step {
            Some(Duration::ZERO) => tokio::task::yield_now().await,
            Some(step) => sleep_until(begun + step).await,
            None => {
                work.notified().await;
                continue;
            }
        }
        if let Some(shared) = shared.upgrade() {
            lock(&shared).batch.end_step();
        }
    }
}

fn lock(shared: &Shared) -> MutexGuard<'_, State> {
    shared.state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
