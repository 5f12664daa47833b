//! Response counts for a new software version, and whether they show that the version is bad.
//!
//! Responses are counted by route and endpoint. A version may be bad on one route only, which a sum
//! over all routes hides; and a single endpoint may be slow or failing by itself, which is no fault
//! of the version that it runs.

use crate::relay::slowdown::{Slowdowns, tail_probability};
use crate::trial::log_evidence;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Natural logarithm of the evidence (a mean of likelihood ratios) above which a version is bad:
/// one false rollback in 100 rollouts of good versions. After a false rollback, the rollout has to
/// be ordered again; completing a bad version affects every caller of the service, and the old
/// endpoints are gone by then.
const LOG_EVIDENCE_BOUND: f64 = 4.6;

/// The same when the version is to be completed: odds of ten to one. Until then more responses can
/// settle what is not certain; afterwards nothing can, and the choice is between a rollout that has to
/// be ordered again and a version that is probably bad for all callers.
const COMPLETION_LOG_BOUND: f64 = 2.3;

/// Probability below which the responses of a version that is to be completed are slow by more than chance: one
/// false rollback in 200 rollouts of good versions. Completion is judged once, so that this needs no margin for
/// being judged after each response.
const SLOWDOWN_PROBABILITY: f64 = 0.005;

/// Probability that must remain when the endpoint that contributes most to the evidence is left out: one in four.
const LEAVE_ONE_OUT_PROBABILITY: f64 = 0.25;

/// Natural logarithm of the evidence that must remain when the endpoint that contributes most to it
/// is left out: a likelihood ratio of four for a bad version at the other endpoints.
const LEAVE_ONE_OUT_LOG_BOUND: f64 = 1.4;

/// Number of bad responses required for a rollback if only one endpoint of the version has
/// responded. A second endpoint cannot be required, since a pool may have no other one of the
/// version.
const MIN_BAD_SINGLE_ENDPOINT: u64 = 12;

/// Difference by which a good version's share of bad responses may exceed that of the old version:
/// old and new endpoints never have quite the same load.
const SHARE_TOLERANCE: f64 = 0.02;

/// Routes and endpoints that a node counts separately; further ones are counted together. The
/// counts that a node sends to other nodes must fit into a datagram.
const MAX_ROUTES: usize = 6;
const MAX_ENDPOINTS: usize = 4;

/// Response counts.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Counts {
    /// Responses of any kind.
    pub answers: u64,
    /// Failed responses.
    pub failed: u64,
    /// Responses whose time was measured.
    pub timed: u64,
    /// Timed responses that took several times as long as usual.
    pub slow: u64,
}

/// Where responses came from; 0 stands for several routes or endpoints together.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct Origin {
    /// Hash of the route, the same on every node.
    pub route: u32,
    /// Hash of the endpoint, the same on every node.
    pub endpoint: u32,
}

/// Response counts by origin.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct CountsByOrigin {
    by_origin: BTreeMap<Origin, Counts>,
    /// Slowdowns by endpoint, over all routes: each is relative to its route's usual time.
    slowdowns: BTreeMap<u32, Slowdowns>,
}

/// Response counts of both versions since the rollout order.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct VersionCounts {
    /// The new version.
    pub new: CountsByOrigin,
    /// The versions before it.
    pub old: CountsByOrigin,
}

/// Result of comparing the new version with the old one.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Verdict {
    /// No significant evidence against the version. The rollout proceeds even if there are only a
    /// few responses, as at a service with few requests.
    Sound,
    /// The version must be rolled back.
    Bad,
}

/// Number of bad cases among all cases.
#[derive(Clone, Copy, Default)]
struct Cases {
    bad: u64,
    samples: u64,
}

/// Ways in which a response can be bad.
#[derive(Clone, Copy)]
enum Fault {
    Failed,
    Slow,
}

impl Counts {
    /// Returns the sum of both counts.
    pub fn plus(self, other: Counts) -> Counts {
        Counts {
            answers: self.answers + other.answers,
            failed: self.failed + other.failed,
            timed: self.timed + other.timed,
            slow: self.slow + other.slow,
        }
    }
}

impl CountsByOrigin {
    /// Returns the counts of an origin for update. Beyond the limits on routes and endpoints, these
    /// are counts that several origins share.
    pub fn entry(&mut self, origin: Origin) -> &mut Counts {
        let bounded_key = |key: u32, key_of: fn(&Origin) -> u32, max_keys: usize| {
            let known_keys: BTreeSet<u32> = self
                .by_origin
                .keys()
                .map(key_of)
                .filter(|k| *k != 0)
                .collect();
            let fits = known_keys.contains(&key) || known_keys.len() < max_keys;
            if fits { key } else { 0 }
        };
        let origin = Origin {
            route: bounded_key(origin.route, |o| o.route, MAX_ROUTES),
            endpoint: bounded_key(origin.endpoint, |o| o.endpoint, MAX_ENDPOINTS),
        };
        self.by_origin.entry(origin).or_default()
    }

    /// Adds the counts of another node.
    pub fn add(&mut self, other: &CountsByOrigin) {
        for (origin, counts) in other.iter() {
            let sum = self.by_origin.entry(origin).or_default();
            *sum = sum.plus(counts);
        }
        for (endpoint, slowdowns) in other.slowdowns() {
            self.add_slowdowns(endpoint, slowdowns);
        }
    }

    /// Counts how many times as long as usual a response took.
    pub fn record_slowdown(&mut self, endpoint: u32, usual: Duration, time: Duration) {
        let is_known = self.slowdowns.contains_key(&endpoint);
        let is_own = |key: &&u32| **key != 0;
        let fits = is_known || self.slowdowns.keys().filter(is_own).count() < MAX_ENDPOINTS;
        let endpoint = if fits { endpoint } else { 0 };
        let slowdowns = self.slowdowns.entry(endpoint).or_default();
        slowdowns.record(usual, time);
    }

    /// Adds slowdowns at an endpoint.
    pub fn add_slowdowns(&mut self, endpoint: u32, slowdowns: Slowdowns) {
        let sum = self.slowdowns.entry(endpoint).or_default();
        *sum = sum.plus(slowdowns);
    }

    /// Iterates over the slowdowns by endpoint.
    pub fn slowdowns(&self) -> impl Iterator<Item = (u32, Slowdowns)> + '_ {
        self.slowdowns.iter().map(|(e, s)| (*e, *s))
    }

    /// Returns the sum of the slowdowns at all endpoints but one.
    fn slowdowns_without(&self, left_out: Option<u32>) -> Slowdowns {
        let included = self.slowdowns().filter(|(e, _)| Some(*e) != left_out);
        included.fold(Slowdowns::default(), |sum, (_, s)| sum.plus(s))
    }

    /// Iterates over all origins and their counts.
    pub fn iter(&self) -> impl Iterator<Item = (Origin, Counts)> + '_ {
        self.by_origin.iter().map(|(o, c)| (*o, *c))
    }

    /// Returns the sum over all origins.
    pub fn total(&self) -> Counts {
        let counts = self.by_origin.values();
        counts.fold(Counts::default(), |sum, c| sum.plus(*c))
    }

    /// Counts one kind of fault over the origins that `is_included` accepts.
    fn cases(&self, fault: Fault, is_included: impl Fn(&Origin) -> bool) -> Cases {
        let included = self.by_origin.iter().filter(|(o, _)| is_included(o));
        included.fold(Cases::default(), |sum, (_, counts)| {
            let (bad, samples) = match fault {
                Fault::Failed => (counts.failed, counts.answers),
                Fault::Slow => (counts.slow, counts.timed),
            };
            Cases {
                bad: sum.bad + bad,
                samples: sum.samples + samples,
            }
        })
    }
}

impl FromIterator<(Origin, Counts)> for CountsByOrigin {
    fn from_iter<T: IntoIterator<Item = (Origin, Counts)>>(iter: T) -> Self {
        let mut counts_by_origin = CountsByOrigin::default();
        for (origin, counts) in iter {
            let sum = counts_by_origin.by_origin.entry(origin).or_default();
            *sum = sum.plus(counts);
        }
        counts_by_origin
    }
}

impl VersionCounts {
    /// Adds the counts of another node.
    pub fn add(&mut self, other: &VersionCounts) {
        self.new.add(&other.new);
        self.old.add(&other.old);
    }
}

/// Judges the new version by the responses so far.
///
/// Failures and slow responses are each compared with those of the old version, so that neither
/// hides the other, and a fault that affects all endpoints alike is not attributed to the new
/// version.
pub fn verdict(version_counts: &VersionCounts) -> Verdict {
    verdict_above(version_counts, LOG_EVIDENCE_BOUND)
}

/// Judges the new version once more when it is to be completed: one that is probably bad must not be.
pub fn completion_verdict(version_counts: &VersionCounts) -> Verdict {
    match verdict_above(version_counts, COMPLETION_LOG_BOUND) {
        Verdict::Sound if is_slower(version_counts) => Verdict::Bad,
        verdict => verdict,
    }
}

/// Whether the new version's responses take longer than the old one's by more than chance, and not only because
/// of one endpoint.
fn is_slower(version_counts: &VersionCounts) -> bool {
    let VersionCounts { new, old } = version_counts;
    let old = old.slowdowns_without(None);
    let is_below = |left_out: Option<u32>, bound: f64| {
        let probability = tail_probability(new.slowdowns_without(left_out), old);
        probability.is_some_and(|p| p <= bound)
    };
    let mut endpoints = new.slowdowns.keys();
    is_below(None, SLOWDOWN_PROBABILITY)
        && endpoints.all(|endpoint| is_below(Some(*endpoint), LEAVE_ONE_OUT_PROBABILITY))
}

fn verdict_above(version_counts: &VersionCounts, bound: f64) -> Verdict {
    let is_worse = |fault| is_worse(version_counts, fault, bound);
    match is_worse(Fault::Failed) || is_worse(Fault::Slow) {
        true => Verdict::Bad,
        false => Verdict::Sound,
    }
}

/// Whether the new version has significantly more responses with this fault than the old one: the
/// logarithm of the evidence is above `bound`.
fn is_worse(version_counts: &VersionCounts, fault: Fault, bound: f64) -> bool {
    if log_mean(&log_evidence_terms(version_counts, fault, |_| true)) <= bound {
        return false;
    }
    let endpoints: BTreeSet<u32> = version_counts
        .new
        .by_origin
        .keys()
        .map(|o| o.endpoint)
        .collect();
    if endpoints.len() == 1 {
        return version_counts.new.cases(fault, |_| true).bad >= MIN_BAD_SINGLE_ENDPOINT;
    }
    // An endpoint that fails or is slow by itself looks like a bad version while it serves a part
    // of the trial; a bad version is bad at the other endpoints too.
    endpoints.iter().all(|&endpoint| {
        let others = log_evidence_terms(version_counts, fault, |o| o.endpoint != endpoint);
        others.into_iter().fold(f64::MIN, f64::max) > LEAVE_ONE_OUT_LOG_BOUND
    })
}

/// Returns the logarithms of the evidence that the version is bad: first over all routes, then on
/// each of them. In [`log_mean`], the first term has the weight of all others together.
fn log_evidence_terms(
    version_counts: &VersionCounts,
    fault: Fault,
    is_included: impl Fn(&Origin) -> bool,
) -> Vec<f64> {
    let log_evidence_on = |route: Option<u32>| {
        let is_on_route = |o: &Origin| route.is_none_or(|r| o.route == r);
        let new = version_counts
            .new
            .cases(fault, |o| is_on_route(o) && is_included(o));
        let old = version_counts.old.cases(fault, is_on_route);
        log_evidence(new.bad, new.samples, baseline_share(old))
    };
    let routes: BTreeSet<u32> = version_counts
        .new
        .by_origin
        .keys()
        .map(|o| o.route)
        .collect();
    let by_route = routes.into_iter().map(|route| log_evidence_on(Some(route)));
    std::iter::once(log_evidence_on(None))
        .chain(by_route)
        .collect()
}

/// Returns the logarithm of the weighted mean of the evidence for mutually exclusive hypotheses:
/// the version is bad on all routes, or on one of them. As with each term, a good version raises
/// the mean above a bound of `1 / p` with probability at most `p`.
fn log_mean(log_terms: &[f64]) -> f64 {
    let (overall, by_route) = (log_terms[0], &log_terms[1..]);
    let largest = log_terms.iter().copied().fold(f64::MIN, f64::max);
    let sum: f64 = by_route.iter().map(|e| (e - largest).exp()).sum();
    let mean = sum / by_route.len().max(1) as f64;
    largest + (0.5 * (overall - largest).exp() + 0.5 * mean).ln()
}

/// Returns the share of bad responses up to which they are no evidence against a version, derived
/// from the old version's responses.
fn baseline_share(old: Cases) -> f64 {
    let samples = old.samples as f64 + 4.0;
    let share = (old.bad as f64 + 0.2) / samples;
    let std_error = (share * (1.0 - share) / samples).sqrt();
    (share + std_error + SHARE_TOLERANCE).min(0.95)
}
