//! An in-memory replica of the platform's records that serves other nodes in place of the key-value
//! service.
//!
//! Records are opaque keys and bytes; the platform adapter interprets them. A node that serves its
//! replica is a reader, a node that fetches from it is a follower. A follower continues from the
//! last service revision that it has read, at whichever reader it asks, because all readers use the
//! revisions of the same service. Its requests also show that it is running, so that it needs no
//! record of its own.

mod client;
mod compression;
mod encoded;
mod members;
mod request;
mod serve;

pub use crate::replica::client::{FetchError, ReplicaClient};
pub use crate::replica::encoded::EncodedUpdate;
pub use crate::replica::members::Members;
pub use crate::replica::request::FetchRequest;
pub(crate) use crate::replica::request::{RECORDS_PATH, REGISTERED_PATH, VERSIONS_PATH};
pub(crate) use crate::replica::serve::{handle_fetch, handle_registered, handle_versions};

use crate::replica::encoded::EncodedResponses;
use crate::revision::Revision;
use crate::update::Node;
use crate::versions::KnownVersions;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, timeout, timeout_at};

/// Number of changes kept per topic. A follower that is behind all of them gets a snapshot.
const MAX_CHANGES: usize = 4_096;

/// Length from which on a value is passed on as a patch of its last version, in bytes. Shorter ones
/// take less than a packet.
const MIN_PATCHED_BYTES: usize = 1_024;

/// Maximum number of earlier versions of a long value that are kept to make patches from, and their
/// maximum total length in bytes. A follower is rarely behind more than one of them.
const MAX_BASES: usize = 4;
const MAX_BASE_BYTES: usize = 1 << 20;

/// How long a request is held that arrives before this node has loaded the records. Loading takes
/// some tens of milliseconds, and a starting node that gets no answer reads from the service next.
const LOAD_TIMEOUT: Duration = Duration::from_millis(80);

/// The same if this node is about to load them on behalf of others. All nodes start at once after a
/// power cut, and each request that is refused is made again.
const READER_LOAD_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a node that starts in a later era waits for this node to read all records in that era.
const ERA_READ_TIMEOUT: Duration = Duration::from_millis(200);

/// How long after an outage of the service followers are told of it.
const RECOVERY_REPORT_TIME: Duration = Duration::from_secs(10);

/// Number of full re-reads that are remembered. A follower that is behind all of them gets a
/// snapshot.
const MAX_GAPS: usize = 64;

/// A group of records that are followed together.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
pub enum Topic {
    /// Records written by operators, up to a megabyte per write.
    Operators,
    /// Records written by endpoints and nodes: short, and urgent when an endpoint leaves.
    Endpoints,
}

/// A record as stored in the key-value service.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct Record {
    /// The key.
    pub key: String,
    /// The value; `None` if the key was deleted.
    pub value: Option<Bytes>,
    /// The service's revision of this change.
    pub revision: Revision,
}

/// The response to a [`FetchRequest`]: a snapshot of a topic or its changes.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ReplicaUpdate {
    /// The service's revision up to which the update is complete.
    pub revision: Revision,
    /// Whether the update holds all records of the topic, not only the changed ones.
    pub is_snapshot: bool,
    /// The records; in the order of their revisions unless this is a snapshot.
    pub records: Vec<RecordUpdate>,
    /// Time since the responding node reached the service again, if it had lost it.
    #[serde(rename = "back")]
    pub reachable_for: Option<Duration>,
}

/// The state of one record in a [`ReplicaUpdate`].
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct RecordUpdate {
    /// The key.
    pub key: String,
    /// The service's revision of its last change.
    pub revision: Revision,
    /// The record's content.
    pub content: Content,
}

/// The content of a record.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum Content {
    /// The record's value.
    Value(Bytes),
    /// The key was deleted.
    Deleted,
    /// The value is too long to be passed on and has to be read from the service.
    TooLong,
    /// A patch of the version that the follower has.
    Patch {
        /// The revision of that version.
        base: Revision,
        /// The patch.
        patch: Bytes,
    },
}

impl Content {
    /// Returns the value that a patch makes of a follower's version of the record.
    ///
    /// # Errors
    ///
    /// The patch is damaged or was made for another value.
    pub fn apply_patch(base: &[u8], patch: &[u8]) -> std::io::Result<Bytes> {
        compression::apply_patch(base, patch).map(Bytes::from)
    }
}

/// A reader's copy of the records of both topics.
#[derive(Debug)]
pub struct Replica {
    created_at: Instant,
    state: Mutex<State>,
    /// Counter that increases with each change, to wake waiting requests.
    changed: watch::Sender<u64>,
    /// Notified when a request arrives before the records are loaded.
    load_requested: Notify,
    members: Mutex<Members>,
    /// The known superseded versions by topic, with the era in which they were determined.
    versions: watch::Sender<BTreeMap<Topic, (u64, Vec<KnownVersions>)>>,
    /// The latest era reported by a starting node.
    reported_era: watch::Sender<u64>,
    /// The other nodes that are registered, from which a starting node can fetch records.
    registered: Mutex<Vec<Node>>,
}

/// An in-flight fetch of a member; ends the member's request when dropped.
struct PendingFetch<'a> {
    replica: &'a Replica,
    host: String,
}

/// Whether a follower's request can be answered at the current state.
enum Readiness {
    /// The follower does not have all records in their current versions.
    Changed,
    /// There is nothing new for the follower.
    Unchanged,
    /// The records are not loaded yet.
    NotLoaded,
    /// The service does not answer this node; the follower has to ask elsewhere.
    Unavailable,
}

#[derive(Debug, Default)]
struct State {
    service: ServiceStatus,
    /// Whether this node reads, or is about to read, on behalf of others.
    is_reader: bool,
    /// When the service became reachable again, if it was unreachable.
    reachable_since: Option<Instant>,
    /// Length of the longest value that is passed on, in bytes.
    max_bytes: usize,
    operators: Option<Records>,
    endpoints: Option<Records>,
    /// Responses that were encoded lately.
    responses: EncodedResponses,
}

/// Whether the key-value service answers this node, that is, whether the replica is current.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
enum ServiceStatus {
    /// Nothing has been read from the service yet.
    #[default]
    Unread,
    Reachable,
    Unreachable,
}

/// The records of a topic.
#[derive(Clone, Debug)]
struct Records {
    all: BTreeMap<String, (Revision, Bytes)>,
    /// Earlier versions of long values, oldest first.
    bases: BTreeMap<String, VecDeque<(Revision, Bytes)>>,
    /// The most recent changes as revision and key, oldest first.
    changes: VecDeque<(Revision, String)>,
    /// `changes` holds all changes after this revision.
    changes_since: Revision,
    /// The revision up to which the records are complete.
    revision: Revision,
    /// Revision ranges (start exclusive, end inclusive) that were covered by a full re-read.
    /// Records that were written and deleted again within a range are unknown to this node.
    gaps: VecDeque<(Revision, Revision)>,
}

impl Replica {
    /// Replaces the records of a topic by a complete set.
    pub fn replace(&self, topic: Topic, revision: Revision, snapshot: &[Record]) {
        let mut state = self.lock();
        state.responses.clear();
        match state.records_of(topic) {
            Some(records) => records.replace(revision, snapshot),
            slot => *slot = Some(Records::new(revision, snapshot)),
        }
        state.record_service_answer(topic);
        self.notify_waiting(state);
    }

    /// Applies the changes of a topic up to a revision. Ignored unless the topic is loaded, as
    /// changes alone are not a complete set.
    pub fn apply_changes(&self, topic: Topic, revision: Revision, changes: &[Record]) {
        let mut state = self.lock();
        state.responses.clear();
        if let Some(records) = state.records_of(topic) {
            records.apply_changes(revision, changes);
        }
        state.record_service_answer(topic);
        self.notify_waiting(state);
    }

    /// Records that this node reads on behalf of others, so that their requests are held until it has
    /// loaded the records.
    pub fn begin_reading(&self) {
        self.lock().is_reader = true;
    }

    /// Marks the key-value service as unreachable, so that followers are sent elsewhere at once.
    pub fn suspend(&self) {
        let mut state = self.lock();
        if state.service == ServiceStatus::Reachable || state.is_reader {
            state.service = ServiceStatus::Unreachable;
        }
        self.notify_waiting(state);
    }

    /// Drops all records because this node no longer reads for others.
    pub fn clear(&self) {
        let max_bytes = self.lock().max_bytes;
        *self.lock() = State {
            max_bytes,
            ..State::default()
        };
        self.notify_waiting(self.lock());
    }

    /// Sets the length of the longest value that is passed on, in bytes.
    pub fn set_max_value_bytes(&self, max_bytes: usize) {
        self.lock().max_bytes = max_bytes;
    }

    /// Whether the records of a topic are loaded.
    pub fn is_loaded(&self, topic: Topic) -> bool {
        self.lock().records_of(topic).is_some()
    }

    /// Returns the changes of a topic after a revision, or a snapshot if the revision is unset or
    /// too old. Waits for changes if there are none. `None` if this node does not read for others
    /// or the service does not answer it.
    pub async fn fetch(&self, req: FetchRequest) -> Option<ReplicaUpdate> {
        let (topic, after, accepts_patches) = (req.topic, req.after, req.accepts_patches);
        self.when_ready(req, |state| state.update(topic, after, accepts_patches))
            .await
    }

    /// Waits for changes that a follower's request asks for, and returns what `respond` makes of
    /// the state then.
    async fn when_ready<T>(
        &self,
        req: FetchRequest,
        respond: impl Fn(&mut State) -> Option<T>,
    ) -> Option<T> {
        let start = Instant::now();
        let end = start + req.wait();
        let _pending = req.node.map(|node| self.begin_fetch(node));
        let mut changed = self.changed.subscribe();
        loop {
            changed.mark_unchanged();
            let now = Instant::now();
            let wake_at = {
                let mut state = self.lock();
                let load_deadline = start + state.load_timeout();
                match state.readiness(req.topic, req.after) {
                    Readiness::Unavailable => return None,
                    Readiness::NotLoaded if now >= load_deadline => return None,
                    Readiness::NotLoaded => {
                        self.load_requested.notify_one();
                        load_deadline
                    }
                    Readiness::Changed => return respond(&mut state),
                    Readiness::Unchanged if now >= end => return respond(&mut state),
                    Readiness::Unchanged => end,
                }
            };
            // Change or timeout: either way the next iteration evaluates the current state.
            let _ = timeout_at(wake_at, changed.changed()).await;
        }
    }

    /// Sets the known versions of a topic in an era.
    pub fn set_known_versions(&self, topic: Topic, era: u64, versions: Vec<KnownVersions>) {
        self.versions.send_modify(|all| {
            all.insert(topic, (era, versions));
        });
    }

    /// Returns the known versions of both topics, for a node that starts in this era. `None` if
    /// this node does not read the records in that era within [`ERA_READ_TIMEOUT`].
    pub(crate) async fn versions_in_era(&self, era: u64) -> Option<Vec<KnownVersions>> {
        self.reported_era.send_if_modified(|reported| {
            let is_later = era > *reported;
            *reported = era.max(*reported);
            is_later
        });
        let mut versions = self.versions.subscribe();
        let in_era = versions.wait_for(|all| {
            let topics = [Topic::Operators, Topic::Endpoints];
            topics
                .iter()
                .all(|t| all.get(t).is_some_and(|(at, _)| *at >= era))
        });
        let all = timeout(ERA_READ_TIMEOUT, in_era).await.ok()?.ok()?;
        Some(all.values().flat_map(|(_, known)| known).cloned().collect())
    }

    /// Resolves when a starting node reports an era after this one, with that era.
    pub async fn era_after(&self, era: u64) -> u64 {
        let mut reported = self.reported_era.subscribe();
        let later = reported
            .wait_for(|reported| *reported > era)
            .await
            .map(|reported| *reported);
        match later {
            Ok(later) => later,
            // Cannot happen: the sender lives as long as `self`.
            Err(_) => std::future::pending().await,
        }
    }

    /// Discards a reported era that the service did not confirm.
    pub fn reject_era(&self, era: u64) {
        self.reported_era.send_if_modified(|reported| {
            let is_reported = *reported == era;
            if is_reported {
                *reported = 0;
            }
            is_reported
        });
    }

    /// Resolves when a request arrives before the records are loaded.
    pub async fn load_requested(&self) {
        self.load_requested.notified().await;
    }

    /// Sets the other nodes that are registered.
    pub fn set_registered(&self, nodes: Vec<Node>) {
        *self.lock_registered() = nodes;
    }

    /// Returns the other nodes that are registered, as far as this node knows.
    pub fn registered(&self) -> Vec<Node> {
        self.lock_registered().clone()
    }

    fn lock_registered(&self) -> MutexGuard<'_, Vec<Node>> {
        self.registered
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the running nodes that fetch from this one, sorted by host name.
    pub fn members(&self) -> Vec<Node> {
        let now = self.created_at.elapsed();
        self.lock_members().running(now)
    }

    fn begin_fetch(&self, node: Node) -> PendingFetch<'_> {
        let host = node.host.clone();
        let now = self.created_at.elapsed();
        self.lock_members().begin_request(now, node);
        PendingFetch {
            replica: self,
            host,
        }
    }

    fn lock_members(&self) -> MutexGuard<'_, Members> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify_waiting(&self, state: MutexGuard<'_, State>) {
        drop(state);
        self.changed.send_modify(|n| *n += 1);
    }
}

impl Default for Replica {
    fn default() -> Self {
        Replica {
            created_at: Instant::now(),
            state: Mutex::default(),
            changed: watch::Sender::default(),
            load_requested: Notify::new(),
            members: Mutex::default(),
            versions: watch::Sender::default(),
            reported_era: watch::Sender::default(),
            registered: Mutex::default(),
        }
    }
}

impl Drop for PendingFetch<'_> {
    fn drop(&mut self) {
        let now = self.replica.created_at.elapsed();
        self.replica.lock_members().end_request(now, &self.host);
    }
}

impl State {
    fn records_of(&mut self, topic: Topic) -> &mut Option<Records> {
        match topic {
            Topic::Operators => &mut self.operators,
            Topic::Endpoints => &mut self.endpoints,
        }
    }

    /// Marks the service as reachable after an answer. Only answers for the endpoints topic count:
    /// their watch alone detects an outage within a bounded time.
    fn record_service_answer(&mut self, topic: Topic) {
        if topic == Topic::Operators {
            return;
        }
        if std::mem::replace(&mut self.service, ServiceStatus::Reachable)
            == ServiceStatus::Unreachable
        {
            self.reachable_since = Some(Instant::now());
        }
    }

    /// How long a request is held that arrives before the records are loaded.
    fn load_timeout(&self) -> Duration {
        match self.is_reader {
            true => READER_LOAD_TIMEOUT,
            false => LOAD_TIMEOUT,
        }
    }

    fn readiness(&mut self, topic: Topic, after: Option<Revision>) -> Readiness {
        let service = self.service;
        match (self.records_of(topic), after) {
            _ if service == ServiceStatus::Unreachable => Readiness::Unavailable,
            (Some(records), Some(after)) if service == ServiceStatus::Reachable => {
                match records.covers(after) && !records.has_changes_after(after) {
                    true => Readiness::Unchanged,
                    false => Readiness::Changed,
                }
            }
            (Some(_), None) if service == ServiceStatus::Reachable => Readiness::Changed,
            _ => Readiness::NotLoaded,
        }
    }

    /// Returns the revision of the response to a follower at a revision.
    fn response_revision(&mut self, topic: Topic, after: Option<Revision>) -> Option<Revision> {
        let records = self.records_of(topic).as_ref()?;
        Some(records.revision.max(after.unwrap_or_default()))
    }

    /// Returns how long ago the service became reachable again, if that was lately.
    fn reachable_for(&self) -> Option<Duration> {
        let elapsed = self.reachable_since?.elapsed();
        (elapsed < RECOVERY_REPORT_TIME).then_some(elapsed)
    }

    /// Returns the response to a follower at a revision.
    fn update(
        &mut self,
        topic: Topic,
        after: Option<Revision>,
        accepts_patches: bool,
    ) -> Option<ReplicaUpdate> {
        let revision = self.response_revision(topic, after)?;
        let (max_bytes, reachable_for) = (self.max_bytes, self.reachable_for());
        let records = self.records_of(topic).as_ref()?;
        // A follower that is not covered may have versions that this node never read.
        let covered = after.filter(|after| records.covers(*after));
        let base = |key: &str| records.base(key, covered.filter(|_| accepts_patches)?);
        let (is_snapshot, selected) = match covered {
            Some(after) => (false, records.changes_after(after)),
            None => (true, records.all_records()),
        };
        let updates = selected.into_iter().map(|r| r.into_update(max_bytes, base));
        Some(ReplicaUpdate {
            revision,
            is_snapshot,
            records: updates.collect(),
            reachable_for,
        })
    }
}

impl Records {
    fn new(revision: Revision, snapshot: &[Record]) -> Self {
        let mut records = Records {
            all: BTreeMap::new(),
            bases: BTreeMap::new(),
            changes: VecDeque::new(),
            changes_since: revision,
            revision,
            gaps: VecDeque::new(),
        };
        for record in snapshot {
            records.put(record);
        }
        records
    }

    /// Applies a complete set of records as changes, so that followers need not fetch a snapshot.
    fn replace(&mut self, revision: Revision, snapshot: &[Record]) {
        let present: BTreeSet<&str> = snapshot.iter().map(|r| r.key.as_str()).collect();
        let deleted = self
            .all
            .keys()
            .filter(|key| !present.contains(key.as_str()));
        let deleted: Vec<_> = deleted.cloned().collect();
        let is_newer = |r: &&Record| self.all.get(&r.key).is_none_or(|(at, _)| *at < r.revision);
        let mut changes: Vec<_> = snapshot.iter().filter(is_newer).cloned().collect();
        changes.extend(deleted.into_iter().map(|key| Record {
            key,
            value: None,
            revision,
        }));
        self.gaps.push_back((self.revision, revision));
        if self.gaps.len() > MAX_GAPS {
            self.gaps.pop_front();
            self.changes_since = self.changes_since.max(self.gaps[0].0);
        }
        self.apply_changes(revision, &changes);
    }

    /// Whether the kept changes are sufficient for a follower at this revision. A follower whose
    /// revision lies inside a gap may hold a record that this node never read, and so could not
    /// report as deleted.
    fn covers(&self, after: Revision) -> bool {
        let in_gap = |(from, to): &(Revision, Revision)| *from < after && after < *to;
        after >= self.changes_since && !self.gaps.iter().any(in_gap)
    }

    fn apply_changes(&mut self, revision: Revision, changes: &[Record]) {
        for record in changes {
            self.put(record);
            // Pages of a snapshot that were read after the first one may hold later changes.
            let at = record.revision.max(self.revision.next());
            self.changes.push_back((at, record.key.clone()));
        }
        while self.changes.len() > MAX_CHANGES {
            if let Some((at, _)) = self.changes.pop_front() {
                self.changes_since = at;
            }
        }
        self.revision = self.revision.max(revision);
    }

    /// Applies a record unless a later version of it is already known.
    fn put(&mut self, record: &Record) {
        let existing = self.all.get(&record.key);
        if existing.is_some_and(|(revision, _)| *revision > record.revision) {
            return;
        }
        match &record.value {
            Some(value) => {
                let value = (record.revision, value.clone());
                let previous = self.all.insert(record.key.clone(), value);
                self.keep_base(&record.key, previous);
            }
            None => {
                self.all.remove(&record.key);
                self.bases.remove(&record.key);
            }
        }
    }

    /// Keeps the previous version of a long value to make patches from. A short one is kept after a
    /// long one: otherwise a follower that has it would get a patch of the long one.
    fn keep_base(&mut self, key: &str, previous: Option<(Revision, Bytes)>) {
        let has_bases = self.bases.contains_key(key);
        let is_kept = |value: &Bytes| has_bases || value.len() >= MIN_PATCHED_BYTES;
        let Some(previous) = previous.filter(|(_, value)| is_kept(value)) else {
            return;
        };
        let bases = self.bases.entry(key.to_owned()).or_default();
        bases.push_back(previous);
        let length = |bases: &VecDeque<(Revision, Bytes)>| -> usize {
            bases.iter().map(|(_, value)| value.len()).sum()
        };
        while bases.len() > MAX_BASES || length(bases) > MAX_BASE_BYTES {
            bases.pop_front();
        }
    }

    /// Returns the version of a record that a follower at this revision has, if it is kept.
    fn base(&self, key: &str, after: Revision) -> Option<(Revision, Bytes)> {
        let bases = self.bases.get(key)?;
        let base = bases.iter().rev().find(|(revision, _)| *revision <= after);
        base.cloned()
    }

    fn all_records(&self) -> Vec<Record> {
        self.all
            .keys()
            .map(|key| self.get(key, Revision::default()))
            .collect()
    }

    fn has_changes_after(&self, after: Revision) -> bool {
        self.changes.iter().rev().any(|(at, _)| *at > after)
    }

    /// Returns the records that changed after a revision, each key once with its current value.
    fn changes_after(&self, after: Revision) -> Vec<Record> {
        let mut last_change: BTreeMap<&str, Revision> = BTreeMap::new();
        let later = self.changes.iter().filter(|(at, _)| *at > after);
        last_change.extend(later.map(|(at, key)| (key.as_str(), *at)));
        let mut changed: Vec<_> = last_change
            .into_iter()
            .map(|(key, at)| self.get(key, at))
            .collect();
        changed.sort_by_key(|record| record.revision);
        changed
    }

    /// Returns the current record of a key. A deleted one carries the given revision, at which the
    /// deletion was read.
    fn get(&self, key: &str, deleted_at: Revision) -> Record {
        let current = self.all.get(key);
        Record {
            key: key.to_owned(),
            value: current.map(|(_, value)| value.clone()),
            revision: current.map_or(deleted_at, |(revision, _)| *revision),
        }
    }
}

impl Record {
    /// Returns the record as passed on to a follower; `base` returns the version that it has.
    fn into_update(
        self,
        max_bytes: usize,
        base: impl Fn(&str) -> Option<(Revision, Bytes)>,
    ) -> RecordUpdate {
        let patch = self.value.as_deref().and_then(|value| {
            let (base, known) = base(&self.key)?;
            let patch = compression::make_patch(&known, value).ok()?;
            (patch.len() < value.len()).then(|| (base, Bytes::from(patch)))
        });
        let content = match (patch, self.value) {
            (Some((base, patch)), _) => Content::Patch { base, patch },
            (None, Some(value)) if value.len() > max_bytes => Content::TooLong,
            (None, Some(value)) => Content::Value(value),
            (None, None) => Content::Deleted,
        };
        RecordUpdate {
            key: self.key,
            revision: self.revision,
            content,
        }
    }
}
