//! The record versions that a node has read, to distinguish stale records of a restored service
//! from new writes.
//!
//! A key-value service that is restored from an older backup shows records in an earlier state and
//! lacks some. Their owners write them again after a while. Until then the versions that the node
//! has read take precedence: endpoints that ended or are leaving stay so, revoked keys are not
//! accepted, and a superseded order is not followed again.

use crate::replica::Record;
use crate::revision::Revision;
use crate::state::hash;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// How long a leased record is kept that the restored service lacks. A running owner has written it
/// again by then.
const MISSING_TIME: Duration = Duration::from_millis(1_900);

/// How long a superseded leased record is ignored that the restored service shows again. A record
/// that is still there afterwards is accepted, since its lease is being renewed.
const OVERTAKEN_TIME: Duration = Duration::from_secs(10);

/// How long a superseded version is remembered. Backups are some seconds old when they are
/// restored.
const VERSION_TIME: Duration = Duration::from_secs(60);

/// Maximum number of superseded versions remembered per key.
const MAX_VERSIONS: usize = 64;

/// How long the version of a key that was read takes precedence over that of a restored service.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Keep {
    /// Not at all: the nodes write the record again themselves.
    Never,
    /// For as long as its lease may take to expire and its owner to write the record again.
    WhileLeased,
    /// Until the record is written again.
    UntilWritten,
}

/// The versions of the records of one topic.
#[derive(Debug)]
pub struct Versions {
    keep: fn(&str) -> Keep,
    era: Option<u64>,
    /// When the last restore was detected.
    restored: Option<Duration>,
    keys: BTreeMap<String, KeyVersions>,
    /// Superseded versions of keys that were not read yet, as reported by another node.
    learned: BTreeMap<String, VecDeque<(Version, Duration)>>,
}

/// The versions of one key.
#[derive(Debug)]
struct KeyVersions {
    newest: Record,
    /// When the newest version was read.
    read: Duration,
    /// The superseded versions, oldest first, each with the time when it was superseded.
    older: VecDeque<(Version, Duration)>,
    kept: Option<Kept>,
}

/// One version of a record.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct Version {
    revision: Revision,
    hash: u64,
}

/// Why a record is kept that differs from the service's.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Kept {
    /// The service lacks the record.
    Missing,
    /// The service shows this superseded version of the record.
    Overtaken(Version),
}

/// The versions of a key that a node knows, for a starting node.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct KnownVersions {
    /// The key.
    pub key: String,
    /// The revisions and hashes of the most recent superseded versions.
    pub overtaken: Vec<(Revision, u64)>,
    /// The version that takes precedence, if it differs from the service's.
    pub kept: Option<KeptVersion>,
}

/// A version that takes precedence over the one that the service shows.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct KeptVersion {
    /// The value; `None` if the key was deleted.
    pub value: Option<Bytes>,
    /// The revision at which it was written.
    pub revision: Revision,
}

impl Versions {
    /// Creates an empty set of versions, where `keep` gives the policy for a key.
    pub fn new(keep: fn(&str) -> Keep) -> Self {
        Versions {
            keep,
            era: None,
            restored: None,
            keys: BTreeMap::new(),
            learned: BTreeMap::new(),
        }
    }

    /// Applies all records as read at a revision, and returns those that are valid.
    pub fn take_all(&mut self, now: Duration, revision: Revision, all: Vec<Record>) -> Vec<Record> {
        self.note_era(now, revision.era);
        let there: BTreeSet<String> = all.iter().map(|r| r.key.clone()).collect();
        let mut count: Vec<Record> = all.into_iter().filter_map(|r| self.admit(now, r)).collect();
        count.extend(self.keep_missing(now, revision, &there));
        self.forget(now);
        count
    }

    /// Applies changes up to a revision. All of them are valid, since they were written after the
    /// backup was made.
    pub fn take_changes(&mut self, now: Duration, revision: Revision, changes: &[Record]) {
        self.note_era(now, revision.era);
        for record in changes {
            match self.keys.get_mut(&record.key) {
                Some(key) if key.newest == *record => key.kept = None,
                Some(key) => key.push(now, record.clone()),
                None => self.insert(now, record.clone()),
            }
        }
    }

    /// Applies the versions that another node knows, before anything is read.
    pub fn learn(&mut self, now: Duration, known: Vec<KnownVersions>) {
        for known in known {
            let older = known.overtaken.into_iter();
            let older = older.map(|(revision, hash)| (Version { revision, hash }, now));
            let Some(kept) = known.kept else {
                self.learned.insert(known.key, older.collect());
                continue;
            };
            self.restored = Some(now);
            let newest = Record {
                key: known.key.clone(),
                value: kept.value,
                revision: kept.revision,
            };
            let key = KeyVersions::new(now, newest, older.collect());
            self.keys.insert(known.key, key);
        }
    }

    /// Returns the versions of keys that were superseded recently or whose kept record differs from
    /// the service's.
    pub fn known(&self, now: Duration) -> Vec<KnownVersions> {
        let known = self.keys.iter().map(|(key, versions)| {
            let keeps = |kept: &Kept| self.keeps(now, key, kept.time());
            let kept = versions.kept.filter(keeps).map(|_| KeptVersion {
                value: versions.newest.value.clone(),
                revision: versions.newest.revision,
            });
            let older = versions.older.iter();
            KnownVersions {
                key: key.clone(),
                overtaken: older.map(|(v, _)| (v.revision, v.hash)).collect(),
                kept,
            }
        });
        let known = known.filter(|known| known.kept.is_some() || !known.overtaken.is_empty());
        known.collect()
    }

    /// Returns when all records have to be read again because the retention of a kept record ends.
    pub fn recheck_at(&self) -> Option<Duration> {
        let restored = self.restored?;
        let kept = self.keys.iter().filter_map(|(key, v)| Some((key, v.kept?)));
        let leased = kept.filter(|(key, _)| (self.keep)(key) == Keep::WhileLeased);
        let times = leased.map(|(_, kept)| kept.time());
        times.min().map(|time| restored + time)
    }

    fn note_era(&mut self, now: Duration, era: u64) {
        if self.era.is_some_and(|known| known < era) {
            self.restored = Some(now);
        }
        self.era = self.era.max(Some(era));
    }

    /// Whether a key's known record takes precedence over the service's, which for a leased key
    /// holds for `time` after a restore.
    fn keeps(&self, now: Duration, key: &str, time: Duration) -> bool {
        match ((self.keep)(key), self.restored) {
            (Keep::Never, _) | (_, None) => false,
            (Keep::WhileLeased, Some(restored)) => now < restored + time,
            (Keep::UntilWritten, Some(_)) => true,
        }
    }

    /// Returns the record that is valid for one that was read; `None` if its key was deleted.
    fn admit(&mut self, now: Duration, record: Record) -> Option<Record> {
        let keeps = self.keeps(now, &record.key, OVERTAKEN_TIME);
        let Some(key) = self.keys.get_mut(&record.key) else {
            self.insert(now, record.clone());
            return Some(record);
        };
        let version = Version::of(&record);
        let older = key.older.iter().map(|(version, _)| *version);
        let older = older.rev().find(|v| v.is_same_write(version));
        match older {
            _ if key.version().is_same_write(version) => {
                key.kept = None;
                Some(key.newest.clone())
            }
            // It comes from a reader that had read less than this node.
            _ if record.revision < key.newest.revision => {
                key.newest.value.is_some().then(|| key.newest.clone())
            }
            Some(older) if keeps => {
                key.kept = Some(Kept::Overtaken(older));
                key.newest.value.is_some().then(|| key.newest.clone())
            }
            _ => {
                key.push(now, record.clone());
                Some(record)
            }
        }
    }

    /// Returns the records that the service lacks but that are still valid.
    fn keep_missing(
        &mut self,
        now: Duration,
        revision: Revision,
        there: &BTreeSet<String>,
    ) -> Vec<Record> {
        let known = self
            .keys
            .iter()
            .filter(|(_, key)| key.newest.value.is_some());
        let missing = known.filter(|(name, _)| !there.contains(*name));
        let missing: Vec<_> = missing.map(|(name, _)| name.clone()).collect();
        let mut kept = Vec::new();
        for name in missing {
            let keeps = self.keeps(now, &name, MISSING_TIME);
            let Some(key) = self.keys.get_mut(&name) else {
                continue;
            };
            if keeps {
                key.kept = Some(Kept::Missing);
                kept.push(key.newest.clone());
                continue;
            }
            let gone = Record {
                key: name,
                value: None,
                revision,
            };
            key.push(now, gone);
        }
        kept
    }

    fn insert(&mut self, now: Duration, record: Record) {
        let key = record.key.clone();
        let older = self.learned.remove(&key).unwrap_or_default();
        self.keys.insert(key, KeyVersions::new(now, record, older));
    }

    fn forget(&mut self, now: Duration) {
        let is_old = |at: Duration| now > at + VERSION_TIME;
        let last = |older: &VecDeque<(Version, Duration)>| older.back().map(|(_, at)| *at);
        self.learned
            .retain(|_, older| last(older).is_some_and(|at| !is_old(at)));
        self.keys.retain(|_, key| {
            let is_kept = key.kept.is_some();
            key.older.retain(|(_, at)| is_kept || !is_old(*at));
            key.newest.value.is_some() || is_kept || !is_old(key.read)
        });
    }
}

impl KeyVersions {
    fn new(now: Duration, newest: Record, older: VecDeque<(Version, Duration)>) -> Self {
        KeyVersions {
            newest,
            read: now,
            older,
            kept: None,
        }
    }

    fn version(&self) -> Version {
        Version::of(&self.newest)
    }

    fn push(&mut self, now: Duration, record: Record) {
        self.older.push_back((self.version(), now));
        if self.older.len() > MAX_VERSIONS {
            self.older.pop_front();
        }
        self.newest = record;
        self.read = now;
        self.kept = None;
    }
}

impl Kept {
    /// How long a leased record is kept for this reason.
    fn time(self) -> Duration {
        match self {
            Kept::Missing => MISSING_TIME,
            Kept::Overtaken(_) => OVERTAKEN_TIME,
        }
    }
}

impl Version {
    fn of(record: &Record) -> Self {
        Version {
            revision: record.revision,
            hash: hash(&record.value),
        }
    }

    /// Whether both are the same write, which a restored service shows in a later era under the
    /// same number.
    fn is_same_write(self, other: Version) -> bool {
        self.revision.number == other.revision.number && self.hash == other.hash
    }
}
