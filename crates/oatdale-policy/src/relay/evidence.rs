//! What was seen of a new software version, and whether it speaks against it.
//!
//! Answers are counted by route and endpoint. A version may be bad on one route only, which a sum
//! over all routes hides; and one endpoint may be slow or failing by itself, which is no fault of the
//! version that it happens to run.

use crate::trial::log_evidence;
use std::collections::{BTreeMap, BTreeSet};

/// The logarithm of the evidence that a bad version has to leave: one false end in 100 roll-outs of
/// good ones. Undoing a good version costs another order; completing a bad one costs every caller
/// of the service, and the old endpoints are gone then.
const LOG_EVIDENCE_BOUND: f64 = 4.6;

/// The logarithm of the evidence that has to be left without the endpoint that speaks most against
/// the version: it is four times as likely there too that it is bad.
const LEAVE_ONE_OUT_LOG_BOUND: f64 = 1.4;

/// Bad answers of a single endpoint that count in full if no other one has answered: a pool may have
/// only one endpoint of the version.
const MIN_BAD_SINGLE_ENDPOINT: u64 = 12;

/// The share of bad answers by which a version may exceed the old one and still be good: old and
/// new endpoints never have quite the same load.
const SHARE_TOLERANCE: f64 = 0.02;

/// Routes and endpoints that one node counts apart; further ones are counted together. What a
/// node tells others of them has to fit into a datagram.
const MAX_ROUTES: usize = 6;
const MAX_ENDPOINTS: usize = 4;

/// Counts of answers.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Counts {
    /// Answers of any kind.
    pub answers: u64,
    /// Answers that are failures.
    pub failed: u64,
    /// Answers whose time was measured.
    pub timed: u64,
    /// Those of them that took several times as long as usual.
    pub slow: u64,
}

/// Where answers came from. 0 stands for several routes or endpoints together.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct Origin {
    /// Hash of the route, the same on every node.
    pub route: u32,
    /// Hash of the endpoint, the same on every node.
    pub endpoint: u32,
}

/// Counts by origin.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Cells {
    by_origin: BTreeMap<Origin, Counts>,
}

/// What is known of both versions since the order.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Tally {
    /// The new version.
    pub new: Cells,
    /// The versions before it.
    pub old: Cells,
}

/// What the counts say.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Verdict {
    /// Nothing speaks against it. A service with few requests may never see more of it than a few
    /// answers, and moves on all the same.
    Sound,
    /// It has to go.
    Bad,
}

/// Bad cases and all cases.
#[derive(Clone, Copy, Default)]
struct Cases {
    bad: u64,
    samples: u64,
}

/// What can be bad about answers.
#[derive(Clone, Copy)]
enum Fault {
    Failed,
    Slow,
}

impl Counts {
    /// Adds other counts.
    pub fn plus(self, other: Counts) -> Counts {
        Counts {
            answers: self.answers + other.answers,
            failed: self.failed + other.failed,
            timed: self.timed + other.timed,
            slow: self.slow + other.slow,
        }
    }
}

impl Cells {
    /// The counts of an origin, to add to them. With many routes or endpoints it is one that stands
    /// for several.
    pub fn at(&mut self, origin: Origin) -> &mut Counts {
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

    /// Adds what another node counted.
    pub fn add(&mut self, other: &Cells) {
        for (origin, counts) in other.iter() {
            let sum = self.by_origin.entry(origin).or_default();
            *sum = sum.plus(counts);
        }
    }

    /// All counts.
    pub fn iter(&self) -> impl Iterator<Item = (Origin, Counts)> + '_ {
        self.by_origin.iter().map(|(o, c)| (*o, *c))
    }

    /// The sum of all counts.
    pub fn total(&self) -> Counts {
        let counts = self.by_origin.values();
        counts.fold(Counts::default(), |sum, c| sum.plus(*c))
    }

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

impl FromIterator<(Origin, Counts)> for Cells {
    fn from_iter<T: IntoIterator<Item = (Origin, Counts)>>(iter: T) -> Self {
        let mut cells = Cells::default();
        for (origin, counts) in iter {
            let sum = cells.by_origin.entry(origin).or_default();
            *sum = sum.plus(counts);
        }
        cells
    }
}

impl Tally {
    /// Adds what another node counted.
    pub fn add(&mut self, other: &Tally) {
        self.new.add(&other.new);
        self.old.add(&other.old);
    }
}

/// Judges the new version by the answers so far.
///
/// Failures and slow answers are each compared with those of the old version, so that neither hides
/// the other, and trouble that hits all endpoints alike is not blamed on the new version.
pub fn verdict(tally: &Tally) -> Verdict {
    match is_worse(tally, Fault::Failed) || is_worse(tally, Fault::Slow) {
        true => Verdict::Bad,
        false => Verdict::Sound,
    }
}

fn is_worse(tally: &Tally, fault: Fault) -> bool {
    if log_mean(&log_evidence_terms(tally, fault, |_| true)) <= LOG_EVIDENCE_BOUND {
        return false;
    }
    let endpoints: BTreeSet<u32> = tally.new.by_origin.keys().map(|o| o.endpoint).collect();
    if endpoints.len() == 1 {
        return tally.new.cases(fault, |_| true).bad >= MIN_BAD_SINGLE_ENDPOINT;
    }
    // An endpoint that is failing or slow by itself looks like a bad version while it has a part of
    // the trial; a bad version is bad at the others too.
    endpoints.iter().all(|&endpoint| {
        let others = log_evidence_terms(tally, fault, |o| o.endpoint != endpoint);
        others.into_iter().fold(f64::MIN, f64::max) > LEAVE_ONE_OUT_LOG_BOUND
    })
}

/// The logarithms of the evidence that the version is bad on all routes, and on each of them; the
/// first has the weight of all others together.
fn log_evidence_terms(tally: &Tally, fault: Fault, includes: impl Fn(&Origin) -> bool) -> Vec<f64> {
    let log_evidence_on = |route: Option<u32>| {
        let is_on_route = |o: &Origin| route.is_none_or(|r| o.route == r);
        let new = tally.new.cases(fault, |o| is_on_route(o) && includes(o));
        let old = tally.old.cases(fault, is_on_route);
        log_evidence(new.bad, new.samples, baseline_share(old))
    };
    let routes: BTreeSet<u32> = tally.new.by_origin.keys().map(|o| o.route).collect();
    let by_route = routes.into_iter().map(|route| log_evidence_on(Some(route)));
    std::iter::once(log_evidence_on(None))
        .chain(by_route)
        .collect()
}

/// The logarithm of the mean of evidence for exclusive faults: like each part of it, a good version
/// raises it above a bound of `1 / p` with probability at most `p`.
fn log_mean(evidence: &[f64]) -> f64 {
    let (overall, by_route) = (evidence[0], &evidence[1..]);
    let largest = evidence.iter().copied().fold(f64::MIN, f64::max);
    let sum: f64 = by_route.iter().map(|e| (e - largest).exp()).sum();
    let mean = sum / by_route.len().max(1) as f64;
    largest + (0.5 * (overall - largest).exp() + 0.5 * mean).ln()
}

/// The share of bad answers that says nothing against a version, from those of the old one.
fn baseline_share(old: Cases) -> f64 {
    let samples = old.samples as f64 + 4.0;
    let share = (old.bad as f64 + 0.2) / samples;
    let std_error = (share * (1.0 - share) / samples).sqrt();
    (share + std_error + SHARE_TOLERANCE).min(0.95)
}
