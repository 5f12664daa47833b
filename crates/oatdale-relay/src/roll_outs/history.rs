//! Outcomes of a service's earlier rollouts, which stay in force under later orders.
//!
//! The next order may follow a tenth of a second after the end of the last one, and nodes learn of
//! both at different times, of the order possibly first. Each node therefore keeps the latest
//! outcome of each version by revision, independently of the order in which they arrive.

use crate::revision::Revision;
use crate::update::RollOutEnd;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Maximum number of versions kept per service. Endpoints of earlier versions have stopped.
const MAX_VERSIONS: usize = 8;

/// How the last rollout of a version ended; of two outcomes at one revision the greater applies.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
pub enum Outcome {
    /// Another order replaced it before it was decided. Only sessions on the version still use it.
    Replaced,
    /// All traffic was on the version.
    Completed,
    /// The version was found bad.
    RolledBack,
}

/// The outcome of a version's rollout.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct VersionOutcome {
    /// The version.
    pub version: String,
    /// The outcome.
    pub outcome: Outcome,
    /// Revision of the order, or of the record of its end.
    pub revision: Revision,
}

/// The latest outcome of each version of a service.
#[derive(Debug, Default)]
pub(super) struct VersionHistory {
    by_version: BTreeMap<String, (Revision, Outcome)>,
}

impl VersionHistory {
    /// Records an outcome unless it or a later one of the same version is known, and returns
    /// whether it was recorded.
    ///
    /// The replacement of an undecided order says nothing about a version that was completed
    /// before: it stays completed.
    pub(super) fn record(&mut self, latest: &VersionOutcome) -> bool {
        let new = (latest.revision, latest.outcome);
        let is_known = match self.by_version.get(&latest.version) {
            Some((_, Outcome::Completed)) if latest.outcome == Outcome::Replaced => true,
            Some((_, Outcome::Replaced)) if latest.outcome == Outcome::Completed => false,
            Some(known) => *known >= new,
            None => false,
        };
        if is_known {
            return false;
        }
        self.by_version.insert(latest.version.clone(), new);
        self.evict();
        self.by_version.contains_key(&latest.version)
    }

    fn evict(&mut self) {
        if self.by_version.len() > MAX_VERSIONS {
            // The version in use stays however many others have failed since.
            let in_use = self.in_use();
            let others = self.by_version.iter();
            let others = others.filter(|(version, _)| Some(version.as_str()) != in_use);
            let oldest = others.min_by_key(|(_, known)| **known);
            if let Some(oldest) = oldest.map(|(version, _)| version.clone()) {
                self.by_version.remove(&oldest);
            }
        }
    }

    /// Returns the version in use, that of the last completed rollout.
    pub(super) fn in_use(&self) -> Option<&str> {
        self.last_completed(None)
    }

    /// Returns the version of the last completed rollout, other than `except`.
    pub(super) fn last_completed(&self, except: Option<&str>) -> Option<&str> {
        let completed = self.by_version.iter().filter(|(version, (_, outcome))| {
            *outcome == Outcome::Completed && Some(version.as_str()) != except
        });
        let last = completed.max_by_key(|(_, (revision, _))| *revision);
        last.map(|(version, _)| version.as_str())
    }

    pub(super) fn outcome(&self, version: &str) -> Option<Outcome> {
        let (_, outcome) = self.by_version.get(version)?;
        Some(*outcome)
    }

    /// Returns the versions without a completed rollout, those that were not found bad first.
    pub(super) fn excluded(&self) -> impl Iterator<Item = &str> {
        let with_outcome = |wanted: Outcome| {
            let all = self.by_version.iter();
            all.filter(move |(_, (_, outcome))| *outcome == wanted)
        };
        let excluded = with_outcome(Outcome::Replaced).chain(with_outcome(Outcome::RolledBack));
        excluded.map(|(version, _)| version.as_str())
    }

    /// Returns at most `max` outcomes: that of the version in use, then the latest ones.
    pub(super) fn latest(&self, max: usize) -> Vec<VersionOutcome> {
        let in_use = self.in_use();
        let mut all: Vec<_> = self.by_version.iter().collect();
        all.sort_by_key(|(version, known)| (Some(version.as_str()) != in_use, Reverse(**known)));
        let latest = all.into_iter().take(max);
        latest
            .map(|(version, &(revision, outcome))| VersionOutcome {
                version: version.clone(),
                outcome,
                revision,
            })
            .collect()
    }
}

impl From<RollOutEnd> for Outcome {
    fn from(end: RollOutEnd) -> Self {
        match end {
            RollOutEnd::Completed => Outcome::Completed,
            RollOutEnd::RolledBack => Outcome::RolledBack,
        }
    }
}
