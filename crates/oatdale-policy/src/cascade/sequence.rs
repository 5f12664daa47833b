//! Forecasts of sequences of versions and the choice between them.

use crate::choice::{Plan, Plans, Versions};
use crate::request::VersionReason;
use oatdale_config::VersionKey;
use smallvec::SmallVec;

/// Maximum number of versions that are combined into sequences.
const MAX_COMBINED_VERSIONS: usize = 6;

/// Minimum margin of an optimistic share: a version may have improved by this much since it was
/// last rated.
const MIN_MARGIN_SHARE: f64 = 0.1;

/// Forecast for one version and one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct VersionForecast {
    pub(super) version: VersionKey,
    /// Share of accepted answers if no answer came before.
    pub(super) direct_acceptance: f64,
    /// Share of accepted answers after another version's answer was rejected.
    pub(super) escalated_acceptance: f64,
    /// Cost in currency.
    pub(super) cost: f64,
    /// Seconds until the caller receives the first byte, if the answer is not buffered.
    pub(super) first_byte: f64,
    /// Seconds until the answer is complete.
    pub(super) total: f64,
}

/// Forecast for a sequence of versions.
#[derive(Clone, Copy, Debug)]
pub(super) struct SequenceForecast {
    pub(super) quality: f64,
    pub(super) cost: f64,
    pub(super) seconds: f64,
}

/// Weights of quality, cost and latency in the choice of a plan.
#[derive(Clone, Copy, Debug)]
pub(super) struct Weights {
    /// Value of an accepted answer, as a multiple of the most expensive version's cost.
    pub(super) quality_price: f64,
    /// Weight of latency against cost, from 0 to 1.
    pub(super) latency: f64,
    /// Divisor that normalizes costs.
    pub(super) cost_scale: f64,
    /// Divisor that normalizes times.
    pub(super) seconds_scale: f64,
}

impl Weights {
    /// Returns the value of a sequence less its normalized cost and time.
    pub(super) fn utility(&self, forecast: SequenceForecast) -> f64 {
        let cost = forecast.cost / self.cost_scale;
        let seconds = forecast.seconds / self.seconds_scale;
        self.quality_price * forecast.quality - (1.0 - self.latency) * cost - self.latency * seconds
    }
}

pub(super) fn max_of(forecasts: &[VersionForecast], f: impl Fn(&VersionForecast) -> f64) -> f64 {
    forecasts.iter().map(f).fold(0.0, f64::max)
}

/// Returns the versions that have a higher acceptance or a shorter time to the first byte than the
/// next cheaper one, cheapest first, at most [`MAX_COMBINED_VERSIONS`].
pub(super) fn pareto_front(forecasts: &[VersionForecast]) -> SmallVec<[VersionForecast; 8]> {
    let mut sorted: SmallVec<[VersionForecast; 64]> = SmallVec::from_slice(forecasts);
    sorted.sort_unstable_by(|a, b| {
        let by_cost = a.cost.total_cmp(&b.cost);
        by_cost
            .then(b.direct_acceptance.total_cmp(&a.direct_acceptance))
            .then(a.version.cmp(&b.version))
    });
    let mut front: SmallVec<[VersionForecast; 8]> = SmallVec::new();
    for v in sorted {
        let is_useful = front.last().is_none_or(|last| {
            v.direct_acceptance > last.direct_acceptance
                || v.escalated_acceptance > last.escalated_acceptance
                || v.first_byte < last.first_byte
        });
        if is_useful {
            front.push(v);
        }
    }
    while front.len() > MAX_COMBINED_VERSIONS {
        let least_useful = (1..front.len() - 1)
            .min_by(|&i, &j| quality_gain(&front, i).total_cmp(&quality_gain(&front, j)))
            .unwrap_or(0);
        front.remove(least_useful);
    }
    front
}

/// Returns the quality that a version adds to that of the next cheaper one.
pub(super) fn quality_gain(front: &[VersionForecast], index: usize) -> f64 {
    front[index].direct_acceptance - front[index - 1].direct_acceptance
}

/// Returns the sequence with the highest utility; a single version unless `may_cascade`.
pub(super) fn best_sequence(
    front: &[VersionForecast],
    weights: Weights,
    may_cascade: bool,
) -> (Versions, SequenceForecast) {
    let mut best: Option<(f64, SmallVec<[usize; 3]>, SequenceForecast)> = None;
    let mut consider = |steps: &[usize]| {
        let forecast = forecast(front, steps);
        let utility = weights.utility(forecast);
        if best
            .as_ref()
            .is_none_or(|(best_utility, ..)| utility > *best_utility)
        {
            best = Some((utility, SmallVec::from_slice(steps), forecast));
        }
    };
    for a in 0..front.len() {
        consider(&[a]);
        if !may_cascade {
            continue;
        }
        for b in a + 1..front.len() {
            consider(&[a, b]);
            for c in b + 1..front.len() {
                consider(&[a, b, c]);
            }
        }
    }
    let (_, steps, forecast) = best.expect("at least one version may serve the request");
    (steps.iter().map(|&i| front[i].version).collect(), forecast)
}

/// Returns the highest share of accepted answers that is plausible given this number of ratings.
pub(super) fn optimistic_share(share: f64, ratings: f64) -> f64 {
    let variance = (share * (1.0 - share)).max(0.02);
    let margin = 2.0 * (variance / (ratings + 1.0)).sqrt();
    (share + margin.max(MIN_MARGIN_SHARE)).min(1.0)
}

/// Returns the forecast for a sequence.
pub(super) fn forecast(front: &[VersionForecast], steps: &[usize]) -> SequenceForecast {
    let mut forecast = SequenceForecast {
        quality: 0.0,
        cost: 0.0,
        seconds: 0.0,
    };
    let mut reach_probability = 1.0;
    for (position, &i) in steps.iter().enumerate() {
        let v = &front[i];
        let accepted = if position == 0 {
            v.direct_acceptance
        } else {
            v.escalated_acceptance
        };
        let is_last = position + 1 == steps.len();
        forecast.quality += reach_probability * accepted;
        forecast.cost += reach_probability * v.cost;
        forecast.seconds += reach_probability * if is_last { v.first_byte } else { v.total };
        reach_probability *= 1.0 - accepted;
    }
    forecast
}

/// Returns plans of single versions for the case that the endpoints of the preferred plan are full.
pub(super) fn fallback_plans(plans: &[Plan], front: &[VersionForecast], weights: Weights) -> Plans {
    let preferred = plans.last().map(|p| p.steps[0]);
    let mut ranked: SmallVec<[(f64, VersionKey); 8]> = (0..front.len())
        .filter(|&i| Some(front[i].version) != preferred)
        .map(|i| (weights.utility(forecast(front, &[i])), front[i].version))
        .collect();
    ranked.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    ranked
        .iter()
        .map(|&(_, version)| Plan::single(version, VersionReason::Cheapest))
        .collect()
}
