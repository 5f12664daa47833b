//! Weighs sequences of versions against one another.

use crate::choice::{Plan, Plans, Versions};
use crate::request::VersionReason;
use oatdale_config::VersionKey;
use smallvec::SmallVec;

/// Versions that are combined into sequences.
const COMBINED: usize = 6;

/// A version may always have become better by this much since it was last rated.
const LEAST_HOPE: f64 = 0.1;

/// What one version is expected to do for one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Expected {
    pub(super) version: VersionKey,
    /// The share of accepted answers.
    pub(super) first: f64,
    /// The same after another version's answer was rejected.
    pub(super) after: f64,
    /// Currency.
    pub(super) cost: f64,
    /// Seconds to the first byte the caller sees, if the answer is not kept back.
    pub(super) first_byte: f64,
    /// Seconds to the end.
    pub(super) total: f64,
}

/// What a sequence is expected to do.
#[derive(Clone, Copy, Debug)]
pub(super) struct Value {
    pub(super) quality: f64,
    pub(super) cost: f64,
    pub(super) seconds: f64,
}

/// Everything a plan is weighed by.
#[derive(Clone, Copy, Debug)]
pub(super) struct Weights {
    /// What an accepted answer is worth, over the dearest version's cost.
    pub(super) price: f64,
    pub(super) latency: f64,
    pub(super) cost_scale: f64,
    pub(super) seconds_scale: f64,
}

impl Weights {
    pub(super) fn worth(&self, value: Value) -> f64 {
        let cost = value.cost / self.cost_scale;
        let seconds = value.seconds / self.seconds_scale;
        self.price * value.quality - (1.0 - self.latency) * cost - self.latency * seconds
    }
}

pub(super) fn most(expected: &[Expected], f: impl Fn(&Expected) -> f64) -> f64 {
    expected.iter().map(f).fold(0.0, f64::max)
}

/// Versions of which none is dearer and worse than another, cheapest first.
pub(super) fn undominated(expected: &[Expected]) -> SmallVec<[Expected; 8]> {
    let mut sorted: SmallVec<[Expected; 64]> = SmallVec::from_slice(expected);
    sorted.sort_unstable_by(|a, b| {
        let by_cost = a.cost.total_cmp(&b.cost);
        by_cost
            .then(b.first.total_cmp(&a.first))
            .then(a.version.cmp(&b.version))
    });
    let mut few: SmallVec<[Expected; 8]> = SmallVec::new();
    for e in sorted {
        let useful = few.last().is_none_or(|last| {
            e.first > last.first || e.after > last.after || e.first_byte < last.first_byte
        });
        if useful {
            few.push(e);
        }
    }
    while few.len() > COMBINED {
        let least = (1..few.len() - 1)
            .min_by(|&i, &j| gain(&few, i).total_cmp(&gain(&few, j)))
            .unwrap_or(0);
        few.remove(least);
    }
    few
}

/// What a version adds to the quality of the next cheaper one.
pub(super) fn gain(few: &[Expected], at: usize) -> f64 {
    few[at].first - few[at - 1].first
}

/// The sequence of greatest worth; a single version unless `may_cascade`.
pub(super) fn best(few: &[Expected], weights: Weights, may_cascade: bool) -> (Versions, Value) {
    let mut best: Option<(f64, SmallVec<[usize; 3]>, Value)> = None;
    let mut consider = |steps: &[usize]| {
        let value = value(few, steps);
        let worth = weights.worth(value);
        if best.as_ref().is_none_or(|(most, ..)| worth > *most) {
            best = Some((worth, SmallVec::from_slice(steps), value));
        }
    };
    for a in 0..few.len() {
        consider(&[a]);
        if !may_cascade {
            continue;
        }
        for b in a + 1..few.len() {
            consider(&[a, b]);
            for c in b + 1..few.len() {
                consider(&[a, b, c]);
            }
        }
    }
    let (_, steps, value) = best.expect("at least one version may serve the request");
    (steps.iter().map(|&i| few[i].version).collect(), value)
}

/// As good a share as ratings leave possible.
pub(super) fn hope(share: f64, weight: f64) -> f64 {
    let variance = (share * (1.0 - share)).max(0.02);
    let chance = 2.0 * (variance / (weight + 1.0)).sqrt();
    (share + chance.max(LEAST_HOPE)).min(1.0)
}

/// What a sequence is expected to do.
pub(super) fn value(few: &[Expected], steps: &[usize]) -> Value {
    let mut value = Value {
        quality: 0.0,
        cost: 0.0,
        seconds: 0.0,
    };
    let mut reached = 1.0;
    for (place, &i) in steps.iter().enumerate() {
        let e = &few[i];
        let accepted = if place == 0 { e.first } else { e.after };
        let is_last = place + 1 == steps.len();
        value.quality += reached * accepted;
        value.cost += reached * e.cost;
        value.seconds += reached * if is_last { e.first_byte } else { e.total };
        reached *= 1.0 - accepted;
    }
    value
}

/// Single versions to fall back on when the preferred plan's endpoints are full.
pub(super) fn others(plans: &[Plan], few: &[Expected], weights: Weights) -> Plans {
    let preferred = plans.last().map(|p| p.steps[0]);
    let mut rest: SmallVec<[(f64, VersionKey); 8]> = (0..few.len())
        .filter(|&i| Some(few[i].version) != preferred)
        .map(|i| (weights.worth(value(few, &[i])), few[i].version))
        .collect();
    rest.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    rest.iter()
        .map(|&(_, version)| Plan::single(version, VersionReason::Cheapest))
        .collect()
}
