//! Versions that were stopped as bad: kept beside the operators' text, spread by the mesh, and
//! recorded in the key-value service so that they outlast every node.

use crate::latest::Latest;
use crate::live::Live;
use crate::route::{RouteHandle, StopNotice};
use bytes::Bytes;
use log::{info, warn};
use oatdale_config::Revision;
use oatdale_mesh::Stop;
use oatdale_platform::{Condition, HttpKv, Kv, KvError, Put};
use oatdale_policy::stop_holds;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::sleep;

/// What precedes a version's name in the key of its stop.
const PREFIX: &str = "stops/";

/// Stops read at the start; there are as many as versions at most.
const MAX_STOPS: usize = 1000;

/// Pause after the service failed.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Attempts to record a stop; the mesh spreads it in any case.
const MAX_ATTEMPTS: u32 = 30;

/// The stops that this node knows of; clones share them.
#[derive(Clone, Default)]
pub(crate) struct StopList {
    stops: Arc<Mutex<BTreeMap<String, Stop>>>,
    changed: Arc<Notify>,
}

impl StopList {
    /// Takes in stops that others decided.
    pub(crate) fn heard(&self, stops: Vec<Stop>) {
        let mut known = self.lock();
        let mut changed = false;
        for stop in stops {
            let newer = known
                .get(&stop.version)
                .is_none_or(|held| held.revision < stop.revision);
            if newer {
                known.insert(stop.version.clone(), stop);
                changed = true;
            }
        }
        if changed {
            self.changed.notify_one();
        }
    }

    /// All stops, for other nodes.
    pub(crate) fn to_tell(&self) -> Vec<Stop> {
        self.lock().values().cloned().collect()
    }

    /// Stops that hold under `live`.
    ///
    /// A stop ends only by a newer revision that speaks of the version. A node that still has the
    /// older text keeps the stop, and one that heard of the stop late can't end it, so no stale
    /// node starts a bad version again.
    pub(crate) fn holding(&self, live: &Live) -> Vec<Stop> {
        self.lock()
            .values()
            .filter(|stop| {
                let spoken = live.spoken_at(&stop.version);
                stop_holds(Revision(stop.revision), spoken)
            })
            .cloned()
            .collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, Stop>> {
        self.stops.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What the stop duty reads and writes.
pub(crate) struct Duty {
    pub(crate) kv: HttpKv,
    pub(crate) notices: mpsc::Receiver<StopNotice>,
    pub(crate) list: StopList,
    pub(crate) live: Latest<Live>,
    pub(crate) route: RouteHandle,
    /// How much is known of the stops.
    pub(crate) informed: watch::Sender<Informed>,
    pub(crate) stop: watch::Receiver<bool>,
}

/// How much this node knows of the stops.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) enum Informed {
    /// Nothing yet.
    No,
    /// Peers have told theirs.
    Told,
    /// The router follows those that are recorded, or those of the peers.
    Applied,
}

/// Runs the duty until `stop`.
pub(crate) async fn run(mut duty: Duty) {
    let mut stop = duty.stop.clone();
    let mut told = duty.informed.subscribe();
    let mut recorded = false;
    loop {
        let live = duty.live.take();
        let known = recorded || *told.borrow_and_update() >= Informed::Told;
        let holding = duty.list.holding(&live);
        let names = holding.into_iter().map(|stop| stop.version).collect();
        duty.route.stopped(names).await;
        if known {
            duty.informed.send_replace(Informed::Applied);
            told.mark_unchanged();
        }
        tokio::select! {
            Some(notice) = duty.notices.recv() => duty.record(notice).await,
            () = duty.list.changed.notified() => {}
            Ok(()) = duty.live.changed() => {}
            Ok(()) = told.changed() => {}
            () = read_recorded(&duty.kv, &duty.list), if !recorded => recorded = true,
            _ = stop.wait_for(|stop| *stop) => return,
        }
    }
}

impl Duty {
    /// Spreads a stop at once and records it as soon as the service takes it.
    async fn record(&self, notice: StopNotice) {
        let stop = Stop {
            version: notice.version,
            revision: notice.revision.0,
            reason: notice.reason,
        };
        info!(
            target: "stops",
            "event=stopped version={:?} revision={} reason={:?}",
            stop.version, stop.revision, stop.reason
        );
        self.list.heard(vec![stop.clone()]);
        let kv = self.kv.clone();
        tokio::spawn(async move { write(&kv, &stop).await });
    }
}

/// Reads what was recorded before this node started.
async fn read_recorded(kv: &HttpKv, list: &StopList) {
    loop {
        match kv.list(PREFIX, None, MAX_STOPS).await {
            Ok(entries) => {
                let stops = entries.iter().filter_map(|e| decode(&e.value)).collect();
                return list.heard(stops);
            }
            Err(err) => {
                warn!(target: "stops", "event=service_failed error={:?}", err.to_string());
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Writes a stop unless one of the same or a newer revision is recorded.
async fn write(kv: &HttpKv, stop: &Stop) {
    let key = format!("{PREFIX}{}", stop.version);
    for _ in 0..MAX_ATTEMPTS {
        match write_once(kv, &key, stop).await {
            Ok(true) => return,
            Ok(false) => {}
            Err(err) => {
                warn!(target: "stops", "event=not_recorded version={:?} error={:?}", stop.version, err.to_string());
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// `false` if another writer came first, so that the key must be read again.
async fn write_once(kv: &HttpKv, key: &str, stop: &Stop) -> Result<bool, KvError> {
    let cond = match kv.get(key).await? {
        None => Condition::Absent,
        Some(entry) => match decode(&entry.value) {
            Some(held) if held.revision >= stop.revision => return Ok(true),
            _ => Condition::Is(entry.revision),
        },
    };
    let value = serde_json::to_vec(stop).expect("a stop is strings and a number");
    match kv.put(key, Bytes::from(value), cond, None).await? {
        Put::Stored(_) => Ok(true),
        Put::Conflict(_) => Ok(false),
    }
}

fn decode(value: &[u8]) -> Option<Stop> {
    serde_json::from_slice(value).ok()
}
