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
const BOUND: f64 = 4.6;

/// The logarithm of the evidence that has to be left without the endpoint that speaks most against
/// the version: it is four times as likely there too that it is bad.
const SUPPORT: f64 = 1.4;

/// Bad answers of a single endpoint that count in full if no other one has answered: a pool may have
/// only one endpoint of the version.
const ENOUGH_OF_ONE: u64 = 12;

/// The share of bad answers by which a version may exceed the old one and still be good: old and
/// new endpoints never have quite the same load.
const TOLERANCE: f64 = 0.02;

/// Routes and endpoints that one node counts apart; further ones are counted together. What a
/// node tells others of them has to fit into a datagram.
const MOST_ROUTES: usize = 6;
const MOST_ENDPOINTS: usize = 4;

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
    of: u64,
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
        let known = |key: u32, of: fn(&Origin) -> u32, most: usize| {
            let all: BTreeSet<u32> = self.by_origin.keys().map(of).filter(|k| *k != 0).collect();
            let fits = all.contains(&key) || all.len() < most;
            if fits { key } else { 0 }
        };
        let origin = Origin {
            route: known(origin.route, |o| o.route, MOST_ROUTES),
            endpoint: known(origin.endpoint, |o| o.endpoint, MOST_ENDPOINTS),
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

    fn cases(&self, fault: Fault, wanted: impl Fn(&Origin) -> bool) -> Cases {
        let wanted = self.by_origin.iter().filter(|(o, _)| wanted(o));
        wanted.fold(Cases::default(), |sum, (_, counts)| {
            let (bad, of) = match fault {
                Fault::Failed => (counts.failed, counts.answers),
                Fault::Slow => (counts.slow, counts.timed),
            };
            Cases {
                bad: sum.bad + bad,
                of: sum.of + of,
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
    match speaks_against(tally, Fault::Failed) || speaks_against(tally, Fault::Slow) {
        true => Verdict::Bad,
        false => Verdict::Sound,
    }
}

fn speaks_against(tally: &Tally, fault: Fault) -> bool {
    if log_mean(&evidence(tally, fault, |_| true)) <= BOUND {
        return false;
    }
    let endpoints: BTreeSet<u32> = tally.new.by_origin.keys().map(|o| o.endpoint).collect();
    if endpoints.len() == 1 {
        return tally.new.cases(fault, |_| true).bad >= ENOUGH_OF_ONE;
    }
    // An endpoint that is failing or slow by itself looks like a bad version while it has a part of
    // the trial; a bad version is bad at the others too.
    endpoints.iter().all(|&endpoint| {
        let others = evidence(tally, fault, |o| o.endpoint != endpoint);
        others.into_iter().fold(f64::MIN, f64::max) > SUPPORT
    })
}

/// The logarithms of the evidence that the version is bad on all routes, and on each of them; the
/// first has the weight of all others together.
fn evidence(tally: &Tally, fault: Fault, counts: impl Fn(&Origin) -> bool) -> Vec<f64> {
    let against = |route: Option<u32>| {
        let on = |o: &Origin| route.is_none_or(|r| o.route == r);
        let new = tally.new.cases(fault, |o| on(o) && counts(o));
        let old = tally.old.cases(fault, on);
        log_evidence(new.bad, new.of, usual(old))
    };
    let routes: BTreeSet<u32> = tally.new.by_origin.keys().map(|o| o.route).collect();
    let each = routes.into_iter().map(|route| against(Some(route)));
    std::iter::once(against(None)).chain(each).collect()
}

/// The logarithm of the mean of evidence for exclusive faults: like each part of it, a good version
/// raises it above a bound of `1 / p` with probability at most `p`.
fn log_mean(evidence: &[f64]) -> f64 {
    let (all, each) = (evidence[0], &evidence[1..]);
    let most = evidence.iter().copied().fold(f64::MIN, f64::max);
    let sum: f64 = each.iter().map(|e| (e - most).exp()).sum();
    let mean = sum / each.len().max(1) as f64;
    most + (0.5 * (all - most).exp() + 0.5 * mean).ln()
}

/// The share of bad answers that says nothing against a version, from those of the old one.
fn usual(old: Cases) -> f64 {
    let of = old.of as f64 + 4.0;
    let share = (old.bad as f64 + 0.2) / of;
    let error = (share * (1.0 - share) / of).sqrt();
    (share + error + TOLERANCE).min(0.95)
}
