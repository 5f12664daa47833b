//! An in-memory replica of the platform's records that serves other nodes in place of the key-value
//! service.
//!
//! Records are opaque keys and bytes; the platform adapter interprets them. A node that serves its
//! replica is a reader, a node that fetches from it is a follower. A follower continues from the
//! last service revision that it has read, at whichever reader it asks, because all readers use the
//! revisions of the same service. Its requests also show that it is running, so that it needs no
//! record of its own.

mod ask;
mod members;
mod request;
mod serve;

pub use crate::replica::ask::{AskError, RecordsClient};
pub use crate::replica::members::Members;
pub use crate::replica::request::FetchRequest;
pub(crate) use crate::replica::request::{KNOWN_PATH, PATH};
pub(crate) use crate::replica::serve::{answer, answer_known};

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
const MOST_CHANGES: usize = 4_096;

/// How long a request is held that arrives before this node has loaded the records. Loading takes
/// some tens of milliseconds, and a starting node that gets no answer reads from the service next.
const FIRST_READ: Duration = Duration::from_millis(80);

/// How long a node that starts in a later era waits for this node to read all records in that era.
const KNOWN_WAIT: Duration = Duration::from_millis(200);

/// Number of full re-reads that are remembered. A follower that is behind all of them gets a
/// snapshot.
const MOST_GAPS: usize = 64;

/// A group of records that are followed together.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
pub enum Topic {
    /// Records written by operators, up to a megabyte each.
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
    pub back: Option<Duration>,
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
}

/// A reader's copy of the records of both topics.
#[derive(Debug)]
pub struct Replica {
    began: Instant,
    state: Mutex<State>,
    /// Counter that increases with each change, to wake waiting requests.
    changed: watch::Sender<u64>,
    /// Notified when a request arrives before the records are loaded.
    wanted: Notify,
    members: Mutex<Members>,
    /// The known superseded versions by topic, with the era in which they were determined.
    versions: watch::Sender<BTreeMap<Topic, (u64, Vec<KnownVersions>)>>,
    /// The latest era reported by a starting node.
    reported_era: watch::Sender<u64>,
}

/// An in-flight fetch of a member; ends the member's request when dropped.
struct PendingFetch<'a> {
    replica: &'a Replica,
    host: String,
}

/// The outcome of a fetch at the current state.
enum Answer {
    ReplicaUpdate(ReplicaUpdate),
    /// The records are not loaded yet.
    NotYet,
    /// The service does not answer this node; the follower has to ask elsewhere.
    Elsewhere,
}

#[derive(Debug, Default)]
struct State {
    service: Service,
    /// When the service became reachable again, if it was unreachable.
    back: Option<Instant>,
    /// Length of the longest value that is passed on, in bytes.
    longest: usize,
    operators: Option<Records>,
    endpoints: Option<Records>,
}

/// Whether the key-value service answers this node, that is, whether the replica is current.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
enum Service {
    /// Nothing has been read from the service yet.
    #[default]
    Unread,
    Answers,
    Away,
}

/// The records of a topic.
#[derive(Clone, Debug)]
struct Records {
    all: BTreeMap<String, (Revision, Bytes)>,
    /// The most recent changes as revision and key, oldest first.
    changes: VecDeque<(Revision, String)>,
    /// `changes` holds all changes after this revision.
    since: Revision,
    /// The revision up to which the records are complete.
    revision: Revision,
    /// Revision ranges (start exclusive, end inclusive) that were covered by a full re-read.
    /// Records that were written and deleted again within a range are unknown to this node.
    gaps: VecDeque<(Revision, Revision)>,
}

impl Replica {
    /// Replaces the records of a topic by a complete set.
    pub fn replace(&self, topic: Topic, revision: Revision, all: &[Record]) {
        let mut state = self.lock();
        match state.topic(topic) {
            Some(records) => records.replace(revision, all),
            none => *none = Some(Records::new(revision, all)),
        }
        state.note_answer(topic);
        self.wake(state);
    }

    /// Applies the changes of a topic up to a revision. Ignored unless the topic is loaded, as
    /// changes alone are not a complete set.
    pub fn change(&self, topic: Topic, revision: Revision, changes: &[Record]) {
        let mut state = self.lock();
        if let Some(records) = state.topic(topic) {
            records.change(revision, changes);
        }
        state.note_answer(topic);
        self.wake(state);
    }

    /// Marks the key-value service as unreachable, so that followers are sent elsewhere at once.
    pub fn suspend(&self) {
        let mut state = self.lock();
        if state.service == Service::Answers {
            state.service = Service::Away;
        }
        self.wake(state);
    }

    /// Drops all records because this node no longer reads for others.
    pub fn clear(&self) {
        let longest = self.lock().longest;
        *self.lock() = State {
            longest,
            ..State::default()
        };
        self.wake(self.lock());
    }

    /// Sets the length of the longest value that is passed on, in bytes.
    pub fn set_longest(&self, longest: usize) {
        self.lock().longest = longest;
    }

    /// Whether the records of a topic are loaded.
    pub fn has(&self, topic: Topic) -> bool {
        self.lock().topic(topic).is_some()
    }

    /// Returns the changes of a topic after a revision, or a snapshot if the revision is unset or
    /// too old. Waits for changes if there are none. `None` if this node does not read for others
    /// or the service does not answer it.
    pub async fn tell(&self, question: FetchRequest) -> Option<ReplicaUpdate> {
        let began = Instant::now();
        let end = began + question.wait();
        let read_by = began + FIRST_READ;
        let _asking = question.node.map(|node| self.asks(node));
        let mut changed = self.changed.subscribe();
        loop {
            changed.mark_unchanged();
            let answer = self.lock().answer(question.topic, question.after);
            let now = Instant::now();
            let until = match answer {
                Answer::Elsewhere => return None,
                Answer::NotYet if now >= read_by => return None,
                Answer::NotYet => {
                    self.wanted.notify_one();
                    read_by
                }
                Answer::ReplicaUpdate(told) if now >= end || told.is_news() => return Some(told),
                Answer::ReplicaUpdate(_) => end,
            };
            // Change or timeout: either way the next iteration evaluates the current state.
            let _ = timeout_at(until, changed.changed()).await;
        }
    }

    /// Sets the known versions of a topic in an era.
    pub fn set_known(&self, topic: Topic, era: u64, versions: Vec<KnownVersions>) {
        self.versions.send_modify(|all| {
            all.insert(topic, (era, versions));
        });
    }

    /// Returns the known versions of both topics, for a node that starts in this era. `None` if
    /// this node does not read the records in that era within [`KNOWN_WAIT`].
    pub(crate) async fn versions(&self, era: u64) -> Option<Vec<KnownVersions>> {
        self.reported_era.send_if_modified(|told| {
            let is_later = era > *told;
            *told = era.max(*told);
            is_later
        });
        let mut versions = self.versions.subscribe();
        let in_era = versions.wait_for(|all| {
            let topics = [Topic::Operators, Topic::Endpoints];
            topics
                .iter()
                .all(|t| all.get(t).is_some_and(|(at, _)| *at >= era))
        });
        let all = timeout(KNOWN_WAIT, in_era).await.ok()?.ok()?;
        Some(all.values().flat_map(|(_, known)| known).cloned().collect())
    }

    /// Resolves when a starting node reports an era after this one, with that era.
    pub async fn era_after(&self, era: u64) -> u64 {
        let mut told = self.reported_era.subscribe();
        let later = told.wait_for(|told| *told > era).await.map(|told| *told);
        match later {
            Ok(later) => later,
            // Unreachable: the sender lives as long as `self`.
            Err(_) => std::future::pending().await,
        }
    }

    /// Discards a reported era that the service did not confirm.
    pub fn reject_era(&self, era: u64) {
        self.reported_era.send_if_modified(|told| {
            let is_it = *told == era;
            if is_it {
                *told = 0;
            }
            is_it
        });
    }

    /// Resolves when a request arrives before the records are loaded.
    pub async fn wanted(&self) {
        self.wanted.notified().await;
    }

    /// Returns the running nodes that fetch from this one, sorted by host name.
    pub fn members(&self) -> Vec<Node> {
        let now = self.began.elapsed();
        self.lock_members().running(now)
    }

    fn asks(&self, node: Node) -> PendingFetch<'_> {
        let host = node.host.clone();
        let now = self.began.elapsed();
        self.lock_members().asks(now, node);
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

    fn wake(&self, state: MutexGuard<'_, State>) {
        drop(state);
        self.changed.send_modify(|n| *n += 1);
    }
}

impl Default for Replica {
    fn default() -> Self {
        Replica {
            began: Instant::now(),
            state: Mutex::default(),
            changed: watch::Sender::default(),
            wanted: Notify::new(),
            members: Mutex::default(),
            versions: watch::Sender::default(),
            reported_era: watch::Sender::default(),
        }
    }
}

impl Drop for PendingFetch<'_> {
    fn drop(&mut self) {
        let now = self.replica.began.elapsed();
        self.replica.lock_members().answered(now, &self.host);
    }
}

impl ReplicaUpdate {
    fn is_news(&self) -> bool {
        self.is_snapshot || !self.records.is_empty()
    }
}

impl State {
    fn topic(&mut self, topic: Topic) -> &mut Option<Records> {
        match topic {
            Topic::Operators => &mut self.operators,
            Topic::Endpoints => &mut self.endpoints,
        }
    }

    /// Records that the service answered. Only the endpoints topic counts: its watch alone detects
    /// an outage within a bounded time.
    fn note_answer(&mut self, topic: Topic) {
        if topic == Topic::Operators {
            return;
        }
        if std::mem::replace(&mut self.service, Service::Answers) == Service::Away {
            self.back = Some(Instant::now());
        }
    }

    fn answer(&mut self, topic: Topic, after: Option<Revision>) -> Answer {
        let (longest, back) = (self.longest, self.back.map(|at| at.elapsed()));
        let service = self.service;
        let records = match self.topic(topic) {
            _ if service == Service::Away => return Answer::Elsewhere,
            Some(records) if service == Service::Answers => records,
            _ => return Answer::NotYet,
        };
        let (is_snapshot, known) = match after {
            Some(after) if records.covers(after) => (false, records.after(after)),
            _ => (true, records.whole()),
        };
        Answer::ReplicaUpdate(ReplicaUpdate {
            revision: records.revision.max(after.unwrap_or_default()),
            is_snapshot,
            records: known.into_iter().map(|r| r.told(longest)).collect(),
            back,
        })
    }
}

impl Records {
    fn new(revision: Revision, all: &[Record]) -> Self {
        let mut records = Records {
            all: BTreeMap::new(),
            changes: VecDeque::new(),
            since: revision,
            revision,
            gaps: VecDeque::new(),
        };
        for record in all {
            records.put(record);
        }
        records
    }

    /// Applies a complete set of records as changes, so that followers need not fetch a snapshot.
    fn replace(&mut self, revision: Revision, all: &[Record]) {
        let there: BTreeSet<&str> = all.iter().map(|r| r.key.as_str()).collect();
        let gone = self.all.keys().filter(|key| !there.contains(key.as_str()));
        let gone: Vec<_> = gone.cloned().collect();
        let differs = |r: &&Record| self.all.get(&r.key).is_none_or(|(at, _)| *at < r.revision);
        let mut changes: Vec<_> = all.iter().filter(differs).cloned().collect();
        changes.extend(gone.into_iter().map(|key| Record {
            key,
            value: None,
            revision,
        }));
        self.gaps.push_back((self.revision, revision));
        if self.gaps.len() > MOST_GAPS {
            self.gaps.pop_front();
            self.since = self.since.max(self.gaps[0].0);
        }
        self.change(revision, &changes);
    }

    /// Whether the kept changes are sufficient for a follower at this revision. A follower whose
    /// revision lies inside a gap may hold a record that this node never read, and so could not
    /// report as deleted.
    fn covers(&self, after: Revision) -> bool {
        let in_gap = |(from, upto): &(Revision, Revision)| *from < after && after < *upto;
        after >= self.since && !self.gaps.iter().any(in_gap)
    }

    fn change(&mut self, revision: Revision, changes: &[Record]) {
        for record in changes {
            self.put(record);
            // Pages of a snapshot that were read after the first one may hold later changes.
            let at = record.revision.max(self.revision.next());
            self.changes.push_back((at, record.key.clone()));
        }
        while self.changes.len() > MOST_CHANGES {
            if let Some((at, _)) = self.changes.pop_front() {
                self.since = at;
            }
        }
        self.revision = self.revision.max(revision);
    }

    /// Applies a record unless a later version of it is already known.
    fn put(&mut self, record: &Record) {
        let known = self.all.get(&record.key);
        if known.is_some_and(|(revision, _)| *revision > record.revision) {
            return;
        }
        match &record.value {
            Some(value) => {
                let value = (record.revision, value.clone());
                self.all.insert(record.key.clone(), value);
            }
            None => {
                self.all.remove(&record.key);
            }
        }
    }

    fn whole(&self) -> Vec<Record> {
        self.all
            .keys()
            .map(|key| self.get(key, Revision::default()))
            .collect()
    }

    /// Returns the records that changed after a revision, each key once with its current value.
    fn after(&self, after: Revision) -> Vec<Record> {
        let mut last: BTreeMap<&str, Revision> = BTreeMap::new();
        let later = self.changes.iter().filter(|(at, _)| *at > after);
        last.extend(later.map(|(at, key)| (key.as_str(), *at)));
        let mut changed: Vec<_> = last
            .into_iter()
            .map(|(key, at)| self.get(key, at))
            .collect();
        changed.sort_by_key(|record| record.revision);
        changed
    }

    /// Returns the current record of a key. A deleted one carries the given revision, at which the
    /// deletion was read.
    fn get(&self, key: &str, gone: Revision) -> Record {
        let known = self.all.get(key);
        Record {
            key: key.to_owned(),
            value: known.map(|(_, value)| value.clone()),
            revision: known.map_or(gone, |(revision, _)| *revision),
        }
    }
}

impl Record {
    fn told(self, longest: usize) -> RecordUpdate {
        let content = match self.value {
            Some(value) if value.len() > longest => Content::TooLong,
            Some(value) => Content::Value(value),
            None => Content::Deleted,
        };
        RecordUpdate {
            key: self.key,
            revision: self.revision,
            content,
        }
    }
}
