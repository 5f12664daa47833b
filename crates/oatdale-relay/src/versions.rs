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
const MISSING_RETENTION: Duration = Duration::from_millis(1_900);

/// How long a superseded leased record is ignored that the restored service shows again. A record
/// that is still there afterwards is accepted, since its lease is being renewed.
const SUPERSEDED_RETENTION: Duration = Duration::from_secs(10);

/// How long a superseded version is remembered. Backups are some seconds old when they are
/// restored.
const VERSION_RETENTION: Duration = Duration::from_secs(60);

/// Interval between evictions while only changes are read, which may be for days.
const EVICTION_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum number of superseded versions remembered per key.
const MAX_VERSIONS: usize = 64;

/// How long the version of a key that was read takes precedence over that of a restored service.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RetentionPolicy {
    /// Not at all: the nodes write the record again themselves.
    Never,
    /// For as long as its lease may take to expire and its owner to write the record again.
    WhileLeased,
    /// Until the record is written again.
    UntilWritten,
}

/// The versions of the records of one topic.
#[derive(Debug)]
pub struct VersionTracker {
    policy: fn(&str) -> RetentionPolicy,
    era: Option<u64>,
    /// When the last restore was detected.
    restored_at: Option<Duration>,
    keys: BTreeMap<String, KeyVersions>,
    /// Keys with superseded versions or with a record that is kept. Most keys have neither: the
    /// records of thousands of endpoints are written once.
    changed_keys: BTreeSet<String>,
    /// When expired versions were last evicted.
    evicted_at: Duration,
    /// Superseded versions of keys that were not read yet, as reported by another node.
    peer_versions: BTreeMap<String, VecDeque<(Version, Duration)>>,
}

/// The versions of one key.
#[derive(Debug)]
struct KeyVersions {
    newest: Record,
    /// When the newest version was read.
    read_at: Duration,
    /// The superseded versions, oldest first, each with the time when it was superseded.
    superseded: VecDeque<(Version, Duration)>,
    keep_reason: Option<KeepReason>,
}

/// One version of a record.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct Version {
    revision: Revision,
    hash: u64,
}

/// Why a record is kept that differs from the service's.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum KeepReason {
    /// The service lacks the record.
    Missing,
    /// The service shows this superseded version of the record.
    Superseded(Version),
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

impl VersionTracker {
    /// Creates an empty tracker; `policy` returns the retention policy of a key.
    pub fn new(policy: fn(&str) -> RetentionPolicy) -> Self {
        VersionTracker {
            policy,
            era: None,
            restored_at: None,
            keys: BTreeMap::new(),
            changed_keys: BTreeSet::new(),
            evicted_at: Duration::ZERO,
            peer_versions: BTreeMap::new(),
        }
    }

    /// Applies all records as read at a revision, and returns those that are valid.
    pub fn apply_snapshot(
        &mut self,
        now: Duration,
        revision: Revision,
        all: Vec<Record>,
    ) -> Vec<Record> {
        self.observe_era(now, revision.era);
        let present: BTreeSet<String> = all.iter().map(|r| r.key.clone()).collect();
        let mut valid: Vec<Record> = all
            .into_iter()
            .filter_map(|r| self.resolve(now, r))
            .collect();
        valid.extend(self.retain_missing(now, revision, &present));
        self.evict_expired(now);
        valid
    }

    /// Applies changes up to a revision. All of them are valid, since they were written after the
    /// backup was made.
    pub fn apply_changes(&mut self, now: Duration, revision: Revision, changes: &[Record]) {
        self.observe_era(now, revision.era);
        if now >= self.evicted_at + EVICTION_INTERVAL {
            self.evict_expired(now);
        }
        for record in changes {
            match self.keys.get_mut(&record.key) {
                Some(entry) if entry.newest == *record => entry.keep_reason = None,
                Some(entry) => {
                    entry.replace_newest(now, record.clone());
                    self.changed_keys.insert(record.key.clone());
                }
                None => self.insert(now, record.clone()),
            }
        }
    }

    /// Applies the versions that another node knows, before anything is read.
    pub fn import(&mut self, now: Duration, known: Vec<KnownVersions>) {
        for known in known {
            let superseded = known.overtaken.into_iter();
            let superseded = superseded.map(|(revision, hash)| (Version { revision, hash }, now));
            let Some(kept) = known.kept else {
                self.peer_versions.insert(known.key, superseded.collect());
                continue;
            };
            self.restored_at = Some(now);
            let newest = Record {
                key: known.key.clone(),
                value: kept.value,
                revision: kept.revision,
            };
            let entry = KeyVersions::new(now, newest, superseded.collect());
            self.changed_keys.insert(known.key.clone());
            self.keys.insert(known.key, entry);
        }
    }

    /// Returns the newest known version of a key, whether it is still there or deleted.
    pub fn newest(&self, key: &str) -> Option<&Record> {
        Some(&self.keys.get(key)?.newest)
    }

    /// Returns the versions of keys that were superseded recently or whose kept record differs from
    /// the service's.
    pub fn export(&self, now: Duration) -> Vec<KnownVersions> {
        let changed = self.changed_keys.iter();
        let known = changed.filter_map(|key| Some((key, self.keys.get(key)?)));
        let known = known.map(|(key, versions)| {
            let is_kept = |reason: &KeepReason| self.takes_precedence(now, key, reason.retention());
            let kept = versions.keep_reason.filter(is_kept).map(|_| KeptVersion {
                value: versions.newest.value.clone(),
                revision: versions.newest.revision,
            });
            let superseded = versions.superseded.iter();
            KnownVersions {
                key: key.clone(),
                overtaken: superseded.map(|(v, _)| (v.revision, v.hash)).collect(),
                kept,
            }
        });
        let known = known.filter(|known| known.kept.is_some() || !known.overtaken.is_empty());
        known.collect()
    }

    /// Returns the number of keys that an export looks at.
    pub fn changed_keys(&self) -> usize {
        self.changed_keys.len()
    }

    /// Returns when all records have to be read again because the retention of a kept record ends.
    pub fn recheck_at(&self) -> Option<Duration> {
        let restored_at = self.restored_at?;
        let changed = self.changed_keys.iter();
        let kept = changed.filter_map(|key| Some((key, self.keys.get(key)?.keep_reason?)));
        let leased = kept.filter(|(key, _)| (self.policy)(key) == RetentionPolicy::WhileLeased);
        let times = leased.map(|(_, reason)| reason.retention());
        times.min().map(|retention| restored_at + retention)
    }

    fn observe_era(&mut self, now: Duration, era: u64) {
        if self.era.is_some_and(|known| known < era) {
            self.restored_at = Some(now);
        }
        self.era = self.era.max(Some(era));
    }

    /// Whether a key's known record takes precedence over the service's, which for a leased key
    /// holds for `retention` after a restore.
    fn takes_precedence(&self, now: Duration, key: &str, retention: Duration) -> bool {
        match ((self.policy)(key), self.restored_at) {
            (RetentionPolicy::Never, _) | (_, None) => false,
            (RetentionPolicy::WhileLeased, Some(restored_at)) => now < restored_at + retention,
            (RetentionPolicy::UntilWritten, Some(_)) => true,
        }
    }

    /// Returns the record that is valid for one that was read; `None` if its key was deleted.
    fn resolve(&mut self, now: Duration, record: Record) -> Option<Record> {
        let takes_precedence = self.takes_precedence(now, &record.key, SUPERSEDED_RETENTION);
        let Some(entry) = self.keys.get_mut(&record.key) else {
            self.insert(now, record.clone());
            return Some(record);
        };
        if entry.newest != record {
            self.changed_keys.insert(record.key.clone());
        }
        let version = Version::of(&record);
        let superseded = entry.superseded.iter().map(|(version, _)| *version);
        let superseded = superseded.rev().find(|v| v.is_same_write(version));
        match superseded {
            _ if entry.version().is_same_write(version) => {
                entry.keep_reason = None;
                Some(entry.newest.clone())
            }
            // The record comes from a reader that had read less than this node.
            _ if record.revision < entry.newest.revision => {
                entry.newest.value.is_some().then(|| entry.newest.clone())
            }
            Some(superseded) if takes_precedence => {
                entry.keep_reason = Some(KeepReason::Superseded(superseded));
                entry.newest.value.is_some().then(|| entry.newest.clone())
            }
            _ => {
                entry.replace_newest(now, record.clone());
                Some(record)
            }
        }
    }

    /// Returns the records that the service lacks but that are still valid, and marks the other
    /// missing ones as deleted.
    fn retain_missing(
        &mut self,
        now: Duration,
        revision: Revision,
        present: &BTreeSet<String>,
    ) -> Vec<Record> {
        let known = self
            .keys
            .iter()
            .filter(|(_, entry)| entry.newest.value.is_some());
        let missing = known.filter(|(key, _)| !present.contains(*key));
        let missing: Vec<_> = missing.map(|(key, _)| key.clone()).collect();
        let mut retained = Vec::new();
        for missing_key in missing {
            let takes_precedence = self.takes_precedence(now, &missing_key, MISSING_RETENTION);
            let Some(entry) = self.keys.get_mut(&missing_key) else {
                continue;
            };
            self.changed_keys.insert(missing_key.clone());
            if takes_precedence {
                entry.keep_reason = Some(KeepReason::Missing);
                retained.push(entry.newest.clone());
                continue;
            }
            let deletion = Record {
                key: missing_key,
                value: None,
                revision,
            };
            entry.replace_newest(now, deletion);
        }
        retained
    }

    fn insert(&mut self, now: Duration, record: Record) {
        let key = record.key.clone();
        let superseded = self.peer_versions.remove(&key).unwrap_or_default();
        if !superseded.is_empty() {
            self.changed_keys.insert(key.clone());
        }
        self.keys
            .insert(key, KeyVersions::new(now, record, superseded));
    }

    fn evict_expired(&mut self, now: Duration) {
        self.evicted_at = now;
        let is_expired = |at: Duration| now > at + VERSION_RETENTION;
        let last_superseded =
            |superseded: &VecDeque<(Version, Duration)>| superseded.back().map(|(_, at)| *at);
        self.peer_versions
            .retain(|_, superseded| last_superseded(superseded).is_some_and(|at| !is_expired(at)));
        self.keys.retain(|_, entry| {
            let has_keep_reason = entry.keep_reason.is_some();
            entry
                .superseded
                .retain(|(_, at)| has_keep_reason || !is_expired(*at));
            entry.newest.value.is_some() || has_keep_reason || !is_expired(entry.read_at)
        });
        let keys = &self.keys;
        self.changed_keys.retain(|key| {
            let entry = keys.get(key);
            entry.is_some_and(|e| e.keep_reason.is_some() || !e.superseded.is_empty())
        });
    }
}

impl KeyVersions {
    fn new(now: Duration, newest: Record, superseded: VecDeque<(Version, Duration)>) -> Self {
        KeyVersions {
            newest,
            read_at: now,
            superseded,
            keep_reason: None,
        }
    }

    fn version(&self) -> Version {
        Version::of(&self.newest)
    }

    fn replace_newest(&mut self, now: Duration, record: Record) {
        self.superseded.push_back((self.version(), now));
        if self.superseded.len() > MAX_VERSIONS {
            self.superseded.pop_front();
        }
        self.newest = record;
        self.read_at = now;
        self.keep_reason = None;
    }
}

impl KeepReason {
    /// How long a leased record is kept for this reason.
    fn retention(self) -> Duration {
        match self {
            KeepReason::Missing => MISSING_RETENTION,
            KeepReason::Superseded(_) => SUPERSEDED_RETENTION,
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
