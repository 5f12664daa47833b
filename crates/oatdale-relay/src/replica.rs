//! The platform's records in memory, for other nodes that read them here instead of at the key-value service.
//!
//! Records are keys and bytes; what they mean is the adapter's business. Each follower goes on from the
//! service's revision up to which it has read, at whichever node it asks: the revisions of one service are the
//! same at all of them. By its questions it is also known to run, so that it needs no record of its own.

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

/// Changes that are remembered; who has read none of the later ones gets everything.
const MOST_CHANGES: usize = 4_096;

/// How long a question is held that comes before this node reads for others. It reads everything within some
/// hundredths of a second; what a node that starts asks next is the service.
const FIRST_READ: Duration = Duration::from_millis(80);

/// How long a node that starts in a later era waits for this one to read everything in it.
const KNOWN_WAIT: Duration = Duration::from_millis(200);

/// Times of reading anew that are remembered; who is behind all of them gets everything.
const MOST_GAPS: usize = 64;

/// Records that are followed together.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
pub enum Topic {
    /// What operators write, up to a megabyte at once.
    Operators,
    /// What endpoints and nodes write: short, and urgent when an endpoint leaves.
    Endpoints,
}

/// A record as the key-value service has it.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct Record {
    /// The key.
    pub key: String,
    /// The value; `None` if the key was deleted.
    pub value: Option<Bytes>,
    /// The service's revision of this change.
    pub revision: Revision,
}

/// What one node tells another of a topic.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ReplicaUpdate {
    /// The service's revision up to which this is all.
    pub revision: Revision,
    /// Whether these are all records, and not only those that changed.
    pub is_snapshot: bool,
    /// The records, in the order of their revisions unless they are all.
    pub records: Vec<RecordUpdate>,
    /// How long ago the service came back to the node that tells this, if it was away.
    pub back: Option<Duration>,
}

/// A record that one node tells another.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct RecordUpdate {
    /// The key.
    pub key: String,
    /// The service's revision of its last change.
    pub revision: Revision,
    /// What became of it.
    pub content: Content,
}

/// What a record holds.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum Content {
    /// This value.
    Value(Bytes),
    /// Nothing: the key was deleted.
    Deleted,
    /// A value too long to be passed on: it has to be read at the service.
    TooLong,
}

/// The records of both topics as a reader has them.
#[derive(Debug)]
pub struct Replica {
    began: Instant,
    state: Mutex<State>,
    /// Rises with each change, for those who wait.
    changed: watch::Sender<u64>,
    /// Someone asked though nothing was read for others yet.
    wanted: Notify,
    members: Mutex<Members>,
    /// What is known of overtaken versions, by topic, and in which era.
    versions: watch::Sender<BTreeMap<Topic, (u64, Vec<KnownVersions>)>>,
    /// The latest era that a starting node reported.
    reported_era: watch::Sender<u64>,
}

/// A question that waits for its answer.
struct PendingFetch<'a> {
    replica: &'a Replica,
    host: String,
}

/// What becomes of a question.
enum Answer {
    ReplicaUpdate(ReplicaUpdate),
    /// Nothing is read for others yet.
    NotYet,
    /// The service does not answer this node.
    Elsewhere,
}

#[derive(Debug, Default)]
struct State {
    service: Service,
    /// When the service came back, if it was away.
    back: Option<Instant>,
    /// Bytes of the longest value that is passed on.
    longest: usize,
    operators: Option<Records>,
    endpoints: Option<Records>,
}

/// Whether the key-value service answers this node, so that what it says is of now.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
enum Service {
    /// It has not been read yet.
    #[default]
    Unread,
    Answers,
    Away,
}

/// The records of a topic.
#[derive(Clone, Debug)]
struct Records {
    all: BTreeMap<String, (Revision, Bytes)>,
    /// The last changes, oldest first: revision and key.
    changes: VecDeque<(Revision, String)>,
    /// All changes after this revision are among them.
    since: Revision,
    /// The revision up to which all is known.
    revision: Revision,
    /// After the first and up to the second of these revisions this node read everything anew, and knows nothing of
    /// records that were written and deleted again meanwhile.
    gaps: VecDeque<(Revision, Revision)>,
}

impl Replica {
    /// Takes in all records of a topic.
    pub fn replace(&self, topic: Topic, revision: Revision, all: &[Record]) {
        let mut state = self.lock();
        match state.topic(topic) {
            Some(records) => records.replace(revision, all),
            none => *none = Some(Records::new(revision, all)),
        }
        state.note_answer(topic);
        self.wake(state);
    }

    /// Takes in the changes of a topic up to a revision; without all records before them they are worth nothing.
    pub fn change(&self, topic: Topic, revision: Revision, changes: &[Record]) {
        let mut state = self.lock();
        if let Some(records) = state.topic(topic) {
            records.change(revision, changes);
        }
        state.note_answer(topic);
        self.wake(state);
    }

    /// The key-value service does not answer any more: followers are sent elsewhere at once.
    pub fn suspend(&self) {
        let mut state = self.lock();
        if state.service == Service::Answers {
            state.service = Service::Away;
        }
        self.wake(state);
    }

    /// This node reads for nobody any more.
    pub fn clear(&self) {
        let longest = self.lock().longest;
        *self.lock() = State {
            longest,
            ..State::default()
        };
        self.wake(self.lock());
    }

    /// Sets the length from which on values are not passed on, in bytes.
    pub fn set_longest(&self, longest: usize) {
        self.lock().longest = longest;
    }

    /// Whether all records of a topic are there.
    pub fn has(&self, topic: Topic) -> bool {
        self.lock().topic(topic).is_some()
    }

    /// What is new of a topic after a revision, or everything if the revision is unset or too long ago; waits for
    /// it. `None` if this node does not read for others, or the service does not answer it.
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
            // Either way what is there then is told.
            let _ = timeout_at(until, changed.changed()).await;
        }
    }

    /// Sets what this node knows in an era of a topic's versions.
    pub fn set_known(&self, topic: Topic, era: u64, versions: Vec<KnownVersions>) {
        self.versions.send_modify(|all| {
            all.insert(topic, (era, versions));
        });
    }

    /// Those of both topics, for a node that starts in this era. `None` if this node has not read them in it, and does
    /// not within [`KNOWN_WAIT`].
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
            // The sender lives as long as this.
            Err(_) => std::future::pending().await,
        }
    }

    /// Forgets an era that the service did not confirm.
    pub fn reject_era(&self, era: u64) {
        self.reported_era.send_if_modified(|told| {
            let is_it = *told == era;
            if is_it {
                *told = 0;
            }
            is_it
        });
    }

    /// Ends when someone asked though nothing was read for others yet.
    pub async fn wanted(&self) {
        self.wanted.notified().await;
    }

    /// The nodes that read at this one, by name.
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

    /// The service answered. Only the watch of the endpoints shows within a bound when it does not.
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

    /// Takes in all records as changes, so that followers need not read all of them again.
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

    /// Whether the changes tell a follower at this revision all that it lacks. One that was ahead of this node in a
    /// gap may hold a record of which this node has never heard.
    fn covers(&self, after: Revision) -> bool {
        let in_gap = |(from, upto): &(Revision, Revision)| *from < after && after < *upto;
        after >= self.since && !self.gaps.iter().any(in_gap)
    }

    fn change(&mut self, revision: Revision, changes: &[Record]) {
        for record in changes {
            self.put(record);
            // Pages that were read after the first one may hold later changes.
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

    /// Takes in a record, unless a later one was read before it.
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

    /// What changed after a revision, each key once as it is now.
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

    /// A record as it is; one that is gone with the revision at which that was read.
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
