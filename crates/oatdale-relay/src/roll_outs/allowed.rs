//! The software versions that a request may use, in order of preference.

use super::RollOuts;
use super::active::RollOutState;
use super::history::{Outcome, VersionHistory};
use crate::state;
use crate::update::{RollOut, RollOutEnd};
use oatdale_policy::relay::{Phase, Verdict, uses_new_version};
use std::time::Duration;

/// The software versions that a request may use.
///
/// A request goes to endpoints of the first preferred version that has any, otherwise to those of
/// any version that is not excluded. Excluded versions are used only if no other has an endpoint: a
/// version that fails some requests still serves the rest, while a refusal serves none.
#[derive(Clone, PartialEq, Default, Debug)]
pub struct AllowedVersions {
    /// The trial that the request takes part in. Its endpoints come first.
    pub trial: Option<Trial>,
    /// Preferred versions, best first.
    pub preferred: Vec<String>,
    /// Excluded versions, the one to use first if there is no other version first.
    pub excluded: Vec<String>,
    /// Whether a version that is neither preferred nor excluded may serve the request while no
    /// preferred one accepts it. Unset once an order has moved all requests to its target.
    pub may_use_unlisted: bool,
}

/// A subset of a version's endpoints, the same on all nodes.
///
/// A version may be faulty only under load, and the few requests of a trial would not load a whole
/// pool. Concentrated on a fraction of the endpoints equal to their share of the traffic, they are a
/// normal load for each.
#[derive(Clone, PartialEq, Debug)]
pub struct Trial {
    /// The version.
    pub version: String,
    /// Seed that selects the endpoints.
    pub seed: u64,
    /// The share of requests in the trial, and the fraction of endpoints that serve them.
    pub share: f64,
}

impl AllowedVersions {
    /// Whether a request may use a version although a better one has endpoints that accept nothing.
    pub(crate) fn includes_as_substitute(&self, version: &str) -> bool {
        self.may_use_unlisted && self.rank(version) <= self.preferred.len()
    }

    /// Returns a version's rank outside a trial. A request uses the versions with the lowest rank
    /// among those that have endpoints.
    pub fn rank(&self, version: &str) -> usize {
        let position = |versions: &[String]| versions.iter().position(|v| v == version);
        let unlisted = self.preferred.len();
        match (position(&self.preferred), position(&self.excluded)) {
            (Some(rank), _) => rank,
            (None, Some(rank)) => unlisted + 1 + rank,
            (None, None) => unlisted,
        }
    }
}

/// How requests use the target version of an order.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum TargetUse {
    /// By preference.
    Preferred,
    /// In the trial.
    Trial,
    /// Not at all.
    Excluded,
}

impl RollOuts {
    /// Returns the versions that a request may use. `hash` is the hash of the request, used if it
    /// has no session.
    pub fn allowed(
        &self,
        now: Duration,
        service: &str,
        session: Option<u64>,
        hash: u64,
    ) -> AllowedVersions {
        let Some(active) = self.by_service.get(service) else {
            return self.other_versions(service, session, None);
        };
        let target = &active.roll_out.target;
        let mut allowed = self.other_versions(service, session, Some(active));
        match self.target_use(now, active, session, hash) {
            TargetUse::Excluded => {}
            TargetUse::Preferred => {
                allowed.preferred = vec![target.clone()];
                allowed.may_use_unlisted = false;
                allowed.excluded.retain(|version| version != target);
            }
            TargetUse::Trial => {
                allowed.trial = Some(Trial {
                    version: target.clone(),
                    seed: state::hash(&(service, target)),
                    share: active.share.unwrap_or(0.0),
                });
            }
        }
        allowed
    }

    fn target_use(
        &self,
        now: Duration,
        active: &RollOutState,
        session: Option<u64>,
        hash: u64,
    ) -> TargetUse {
        let RollOut {
            service, target, ..
        } = &active.roll_out;
        let history = self.histories.get(service);
        let in_use = history.and_then(|history| history.in_use());
        let phase = active.phase(now);
        let share = active.share.unwrap_or(0.0);
        let is_old = || session.is_some_and(|s| self.sessions.is_on_old(service, s, target));
        match (active.roll_out.end, active.verdict) {
            (Some(RollOutEnd::Completed), _) => TargetUse::Preferred,
            (Some(RollOutEnd::RolledBack), _) | (None, Verdict::Bad) => TargetUse::Excluded,
            // The order names the version that is in use.
            _ if in_use == Some(target) => TargetUse::Preferred,
            _ if !uses_new_version(phase, share, session.unwrap_or(hash)) => TargetUse::Excluded,
            _ if phase != Phase::Trial => TargetUse::Preferred,
            _ if is_old() => TargetUse::Excluded,
            _ => TargetUse::Trial,
        }
    }

    /// Returns the versions that a request may use beside the target of the current order: that of
    /// its session, then that of the last completed order, then those of which nothing is known.
    fn other_versions(
        &self,
        service: &str,
        session: Option<u64>,
        active: Option<&RollOutState>,
    ) -> AllowedVersions {
        let target = active.map(|active| active.roll_out.target.as_str());
        let history = self.histories.get(service);
        // Without orders, endpoints are replaced one by one: sessions that kept to their version
        // would crowd onto the last endpoints of the old one.
        if active.is_none() && history.is_none() {
            return AllowedVersions::default();
        }
        let mut excluded: Vec<String> = history
            .into_iter()
            .flat_map(VersionHistory::excluded)
            .filter(|version| Some(*version) != target)
            .map(str::to_owned)
            .collect();
        if let Some(active) = active {
            // A version that was not tried yet is better than one that was found bad, but not than
            // one of an earlier order that was replaced.
            let is_replaced = |version: &&String| {
                history.and_then(|history| history.outcome(version)) == Some(Outcome::Replaced)
            };
            let position = match active.is_withdrawn() {
                true => excluded.len(),
                false => excluded.iter().take_while(is_replaced).count(),
            };
            excluded.insert(position, active.roll_out.target.clone());
        }
        let pinned = session.and_then(|session| self.sessions.version(service, session));
        let pinned = pinned.filter(|version| self.keeps_sessions(service, version));
        let completed = history.and_then(|history| history.last_completed(target));
        AllowedVersions {
            trial: None,
            preferred: pinned
                .into_iter()
                .chain(completed)
                .map(str::to_owned)
                .collect(),
            excluded,
            may_use_unlisted: true,
        }
    }

    /// Whether sessions that are on a version stay on it.
    fn keeps_sessions(&self, service: &str, version: &str) -> bool {
        let history = self.histories.get(service);
        let outcome = history.and_then(|history| history.outcome(version));
        match self.by_service.get(service) {
            Some(active) if active.roll_out.target == version => {
                !active.is_withdrawn() && outcome == Some(Outcome::Replaced)
            }
            _ => outcome != Some(Outcome::RolledBack),
        }
    }
}
