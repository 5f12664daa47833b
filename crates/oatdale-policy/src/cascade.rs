//! Learns which versions to try, one after the other, to meet the quality target at the lowest
//! cost.
//!
//! For each class of requests, the learner tracks how often each version's answers are accepted, by
//! itself and after another version's answer was rejected. A price of quality, in currency per
//! additional accepted answer, turns the target into a choice for each request: the sequence of
//! versions whose expected quality is worth most above its expected cost. The price rises while
//! answers fall short of the target and falls while they exceed it.

mod sequence;

use self::sequence::{
    SequenceForecast, VersionForecast, Weights, best_sequence, fallback_plans, forecast, max_of,
    optimistic_share, pareto_front,
};
use crate::average::Mean;
use crate::choice::{Plan, Plans, Versions};
use crate::estimate::AcceptanceEstimate;
use crate::request::{RequestInfo, Session, VersionReason};
use oatdale_config::{Config, Key, ServiceKey, ServiceKind, VersionKey};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use smallvec::SmallVec;
use std::collections::BTreeMap;

/// Step size with which the price of quality follows the shortfall.
const PRICE_STEP: f64 = 0.01;

/// Margin by which the price control aims above the target, as a share of answers.
const TARGET_MARGIN_SHARE: f64 = 0.001;

/// Bounds of the price of quality, as multiples of the most expensive version's cost.
const PRICE_RANGE: (f64, f64) = (1e-3, 100.0);

/// Shortfall, in accepted answers, that raises the setpoint by one percentage point.
const CATCH_UP_ANSWERS: f64 = 10.0;

/// Bounds of the offset by which an excess lowers the setpoint and a shortfall raises it, as a
/// share of answers.
const SETPOINT_OFFSET_RANGE: (f64, f64) = (-0.01, 0.03);

/// Maximum excess of accepted answers over the target that is credited against later rejected ones.
/// A larger credit would allow more bad answers to later callers, who do not benefit from it.
const MAX_EXCESS_ANSWERS: f64 = 2.0;

/// Requests over which a shortfall decays.
const SHORTFALL_MEMORY_REQUESTS: f64 = 4_000.0;

/// Unbuffered answers over which the share of late ratings is averaged.
const LATE_RATING_MEMORY_ANSWERS: f64 = 1_000.0;

/// Unbuffered answers, all of them rated, that are assumed at the start. Without them, the first
/// rating would count for all answers before it.
const LATE_RATING_PRIOR_ANSWERS: f64 = 50.0;

/// Latency weight above which a service's latency has priority over its cost. A buffered answer
/// reaches its caller only once it is complete and rated, so streams of such a service are never
/// buffered.
const LATENCY_FIRST: f64 = 0.5;

/// Share of requests that try a version to learn its quality.
const EXPLORE_SHARE: f64 = 0.01;

/// Answers that are needed to know the usual time to the first byte.
const MIN_TIMED_ANSWERS: f64 = 10.0;

/// Ratings below which a version is tried more often.
const MIN_KNOWN_RATINGS: f64 = 30.0;

/// Share of requests that try a version with few ratings.
const EXPLORE_UNKNOWN_SHARE: f64 = 0.2;

/// Assumed shares of accepted answers of the cheapest and the most expensive version before the
/// first rating.
const PRIOR_ACCEPTANCE: (f64, f64) = (0.6, 0.9);

/// Requests over which costs and times are averaged to normalize them.
const SCALE_MEMORY_REQUESTS: f64 = 300.0;

/// Learned state of a service.
#[derive(Clone, Debug)]
pub(crate) struct Learner {
    classes: BTreeMap<u8, ClassStats>,
    /// Value of one more accepted answer, as a multiple of the most expensive version's cost.
    quality_price: f64,
    /// Mean cost of a request at the most expensive version, in currency.
    mean_max_cost: Mean,
    /// Mean time to the first byte at the slowest version, in seconds.
    mean_max_seconds: Mean,
    /// Accepted answers that are lacking to reach the target, by the ratings; negative for an
    /// excess.
    shortfall: f64,
    /// Recent answers that were not buffered.
    unbuffered: f64,
    /// Those of them that were rated after delivery.
    late_rated: f64,
}

/// Statistics of one class of requests, by version.
#[derive(Clone, Debug, Default)]
struct ClassStats {
    versions: Vec<VersionStats>,
}

/// Statistics of one version in one class.
#[derive(Clone, Copy, Debug)]
struct VersionStats {
    direct_acceptance: AcceptanceEstimate,
    escalated_acceptance: AcceptanceEstimate,
    output: Mean,
    first_byte: Mean,
    total: Mean,
}

impl Default for VersionStats {
    fn default() -> Self {
        VersionStats {
            direct_acceptance: AcceptanceEstimate::default(),
            escalated_acceptance: AcceptanceEstimate::default(),
            output: Mean::new(200.0),
            first_byte: Mean::new(50.0),
            total: Mean::new(50.0),
        }
    }
}

/// Whether an answer may be buffered until it is rated, before its caller receives any of it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Buffering {
    Allowed,
    Never,
}

impl Learner {
    pub(crate) fn new() -> Self {
        Learner {
            classes: BTreeMap::new(),
            quality_price: 4.0,
            mean_max_cost: Mean::new(SCALE_MEMORY_REQUESTS),
            mean_max_seconds: Mean::new(SCALE_MEMORY_REQUESTS),
            shortfall: 0.0,
            unbuffered: LATE_RATING_PRIOR_ANSWERS,
            late_rated: LATE_RATING_PRIOR_ANSWERS,
        }
    }

    /// Returns plans for a request, the preferred one first, and the expected quality without
    /// exploration.
    ///
    /// All `versions` may serve the request; there is at least one.
    pub(crate) fn plans(
        &mut self,
        cfg: &Config,
        info: &RequestInfo,
        versions: &[VersionKey],
        rng: &mut Pcg64Mcg,
    ) -> (Plans, f64) {
        let forecasts = self.forecasts(cfg, info, versions);
        self.mean_max_cost.add(max_of(&forecasts, |v| v.cost));
        self.mean_max_seconds
            .add(max_of(&forecasts, |v| v.first_byte));
        let weights = self.weights(cfg, info.service, &forecasts);
        let front = pareto_front(&forecasts);
        let is_standalone = info.idempotent && info.session == Session::None;
        let buffering = match info.stream && weights.latency > LATENCY_FIRST {
            true => Buffering::Never,
            false => Buffering::Allowed,
        };
        let mut plans = Plans::new();
        let (steps, forecast) = best_sequence(
            &front,
            weights,
            is_standalone && buffering == Buffering::Allowed,
        );
        let exploration = match is_standalone {
            true => self.explore(
                info,
                &forecasts,
                (&steps, forecast),
                weights,
                buffering,
                rng,
            ),
            false => None,
        };
        let reason = self.choice_reason(&steps, &front, weights);
        plans.extend(exploration);
        plans.push(Plan { steps, reason });
        plans.extend(fallback_plans(&plans, &front, weights));
        (plans, forecast.quality)
    }

    /// Returns the expected quality of one version for a request that can use no other.
    pub(crate) fn quality(&self, cfg: &Config, info: &RequestInfo, version: VersionKey) -> f64 {
        self.forecasts(cfg, info, &[version])[0].direct_acceptance
    }

    /// Adjusts the price of quality after a request got a plan of this expected quality.
    pub(crate) fn adjust_price(&mut self, target: f64, quality: f64) {
        let catch_up = 0.01 * self.shortfall * self.late_rating_share() / CATCH_UP_ANSWERS;
        let setpoint = target
            + TARGET_MARGIN_SHARE
            + catch_up.clamp(SETPOINT_OFFSET_RANGE.0, SETPOINT_OFFSET_RANGE.1);
        let step = PRICE_STEP * (setpoint - quality) / (1.0 - target).max(0.05);
        self.quality_price = (self.quality_price * step.exp()).clamp(PRICE_RANGE.0, PRICE_RANGE.1);
    }

    /// Records that an answer was sent to the caller, with its rating if it was buffered for one.
    ///
    /// The estimates alone are biased in favour of the chosen sequences: a sequence is chosen
    /// because its estimate is high, partly by chance. The answers that were actually accepted
    /// correct this.
    pub(crate) fn record_delivery(
        &mut self,
        target: f64,
        class: u8,
        version: VersionKey,
        is_escalation: bool,
        rating: Option<f64>,
    ) {
        let accepted =
            rating.unwrap_or_else(|| self.estimated_acceptance(class, version, is_escalation));
        self.shortfall *= 1.0 - 1.0 / SHORTFALL_MEMORY_REQUESTS;
        self.shortfall = (self.shortfall + target - accepted).max(-MAX_EXCESS_ANSWERS);
        if rating.is_none() {
            let retained = 1.0 - 1.0 / LATE_RATING_MEMORY_ANSWERS;
            self.unbuffered = self.unbuffered * retained + 1.0;
            self.late_rated *= retained;
        }
    }

    /// Records a rating of a version's answer.
    pub(crate) fn record_rating(
        &mut self,
        class: u8,
        version: VersionKey,
        is_escalation: bool,
        rating: f64,
    ) {
        let stats = self.stats_mut(class, version);
        match is_escalation {
            true => stats.escalated_acceptance.add(rating),
            false => stats.direct_acceptance.add(rating),
        }
    }

    /// Records a rating that arrived after the answer was sent to the caller; it also represents
    /// the answers that are not rated.
    pub(crate) fn record_late_rating(
        &mut self,
        class: u8,
        version: VersionKey,
        is_escalation: bool,
        rating: f64,
    ) {
        let estimated = self.estimated_acceptance(class, version, is_escalation);
        self.late_rated += 1.0;
        self.shortfall -= (rating - estimated) / self.late_rating_share();
        self.record_rating(class, version, is_escalation, rating);
    }

    /// Returns the share of unbuffered answers that are rated later.
    fn late_rating_share(&self) -> f64 {
        (self.late_rated / self.unbuffered).clamp(0.02, 1.0)
    }

    /// Records the size and times of a complete answer, in tokens and seconds.
    pub(crate) fn record_answer(
        &mut self,
        class: u8,
        version: VersionKey,
        tokens: u32,
        first_byte: Option<f64>,
        total: f64,
    ) {
        let stats = self.stats_mut(class, version);
        stats.output.add(f64::from(tokens));
        stats.total.add(total);
        stats.first_byte.add(first_byte.unwrap_or(total));
    }

    /// Returns the usual time to the first byte in a class, in seconds, once there are enough
    /// answers.
    pub(crate) fn usual_first_byte(&self, class: u8, version: VersionKey) -> Option<f64> {
        let stats = self.stats(class, version);
        (stats.first_byte.samples() >= MIN_TIMED_ANSWERS).then(|| stats.first_byte.get_or(0.0))
    }

    /// Moves the learned state to the keys of a new configuration.
    pub(crate) fn rekey(&mut self, map: impl Fn(VersionKey) -> Option<VersionKey>) {
        for class in self.classes.values_mut() {
            let old = std::mem::take(&mut class.versions);
            for (index, stats) in old.into_iter().enumerate() {
                if let Some(new) = map(VersionKey::from_index(index)) {
                    *class.version_mut(new) = stats;
                }
            }
        }
    }

    fn stats_mut(&mut self, class: u8, version: VersionKey) -> &mut VersionStats {
        self.classes.entry(class).or_default().version_mut(version)
    }

    fn stats(&self, class: u8, version: VersionKey) -> VersionStats {
        let class = self.classes.get(&class);
        let stats = class.and_then(|c| c.versions.get(version.index()));
        stats.copied().unwrap_or_default()
    }

    fn estimated_acceptance(&self, class: u8, version: VersionKey, is_escalation: bool) -> f64 {
        let stats = self.stats(class, version);
        let direct_acceptance = stats.direct_acceptance.get(PRIOR_ACCEPTANCE.0);
        match is_escalation {
            true => stats.escalated_acceptance.get(direct_acceptance),
            false => direct_acceptance,
        }
    }

    fn forecasts(
        &self,
        cfg: &Config,
        info: &RequestInfo,
        versions: &[VersionKey],
    ) -> SmallVec<[VersionForecast; 64]> {
        let last_rank = versions.len().saturating_sub(1).max(1) as f64;
        let class = self.classes.get(&info.class);
        let default_stats = VersionStats::default();
        versions
            .iter()
            .enumerate()
            .map(|(rank, &version)| {
                let stats = class.and_then(|c| c.versions.get(version.index()));
                let stats = stats.unwrap_or(&default_stats);
                let prior = PRIOR_ACCEPTANCE.0
                    + (PRIOR_ACCEPTANCE.1 - PRIOR_ACCEPTANCE.0) * rank as f64 / last_rank;
                let direct_acceptance = stats.direct_acceptance.get(prior);
                let price = cfg.versions[version].price;
                let output = stats.output.get_or(f64::from(info.output_tokens));
                let cost = price.input * f64::from(info.input_tokens) + price.output * output;
                let total = stats.total.get_or(0.0);
                VersionForecast {
                    version,
                    direct_acceptance,
                    escalated_acceptance: stats.escalated_acceptance.get(direct_acceptance),
                    cost: cost / 1e6,
                    first_byte: match info.stream {
                        true => stats.first_byte.get_or(0.0),
                        false => total,
                    },
                    total,
                }
            })
            .collect()
    }

    fn weights(&self, cfg: &Config, service: ServiceKey, forecasts: &[VersionForecast]) -> Weights {
        let latency = match cfg.services[service].kind {
            ServiceKind::Model { latency_weight, .. } => latency_weight,
            ServiceKind::Plain => 0.0,
        };
        Weights {
            quality_price: self.quality_price,
            latency,
            cost_scale: self
                .mean_max_cost
                .get_or(max_of(forecasts, |v| v.cost))
                .max(1e-12),
            seconds_scale: self
                .mean_max_seconds
                .get_or(max_of(forecasts, |v| v.first_byte))
                .max(1e-12),
        }
    }

    /// Returns a plan that tries a version outside the preferred sequence, for a few requests.
    ///
    /// The last step of the preferred sequence follows if the answer is rejected, so that
    /// exploration costs money and time but not quality. If the answer may not be buffered, the
    /// version is tried alone. A version that would not be chosen even at its optimistic share of
    /// accepted answers is not tried: exploring the most expensive version on the longest requests
    /// costs more than its ratings are worth.
    fn explore(
        &self,
        info: &RequestInfo,
        forecasts: &[VersionForecast],
        preferred: (&Versions, SequenceForecast),
        weights: Weights,
        buffering: Buffering,
        rng: &mut Pcg64Mcg,
    ) -> Option<Plan> {
        let draw = (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
        if draw >= EXPLORE_UNKNOWN_SHARE {
            return None;
        }
        let random = rng.next_u64();
        let candidate = forecasts[(random % forecasts.len() as u64) as usize];
        let is_second_step = preferred.0.len() > 1 && random >> 63 == 1;
        let stats = self.stats(info.class, candidate.version);
        let ratings = match is_second_step {
            true => stats.escalated_acceptance.ratings(),
            false => stats.direct_acceptance.ratings(),
        };
        let is_due = draw < EXPLORE_SHARE
            || (ratings < MIN_KNOWN_RATINGS && buffering == Buffering::Allowed);
        let last = *preferred.0.last()?;
        if !is_due || preferred.0.contains(&candidate.version) {
            return None;
        }
        let optimistic = VersionForecast {
            direct_acceptance: optimistic_share(candidate.direct_acceptance, ratings),
            escalated_acceptance: optimistic_share(candidate.escalated_acceptance, ratings),
            ..candidate
        };
        let forecast_of = |version| forecasts.iter().copied().find(|v| v.version == version);
        let steps: SmallVec<[VersionForecast; 3]> = match (buffering, is_second_step) {
            (Buffering::Never, _) => SmallVec::from_slice(&[optimistic]),
            (Buffering::Allowed, true) => SmallVec::from_slice(&[
                forecast_of(preferred.0[0])?,
                optimistic,
                forecast_of(last)?,
            ]),
            (Buffering::Allowed, false) => SmallVec::from_slice(&[optimistic, forecast_of(last)?]),
        };
        let utility = |indices: &[usize]| weights.utility(forecast(&steps, indices));
        let all: SmallVec<[usize; 3]> = (0..steps.len()).collect();
        let utility_without_last = match steps.len() {
            1 => f64::NEG_INFINITY,
            len => utility(&all[..len - 1]),
        };
        let optimistic_utility = utility(&all).max(utility_without_last);
        (optimistic_utility > weights.utility(preferred.1)).then(|| Plan {
            steps: steps.iter().map(|v| v.version).collect(),
            reason: VersionReason::Explore,
        })
    }

    fn choice_reason(
        &self,
        steps: &Versions,
        front: &[VersionForecast],
        weights: Weights,
    ) -> VersionReason {
        let best = front
            .iter()
            .max_by(|a, b| a.direct_acceptance.total_cmp(&b.direct_acceptance));
        let is_best = steps.len() == 1 && best.is_some_and(|b| b.version == steps[0]);
        match () {
            () if is_best && self.quality_price >= PRICE_RANGE.1 => VersionReason::Best,
            () if steps.len() == 1 && weights.latency > LATENCY_FIRST => VersionReason::Fastest,
            () => VersionReason::Cheapest,
        }
    }
}

impl ClassStats {
    fn version_mut(&mut self, version: VersionKey) -> &mut VersionStats {
        let index = version.index();
        if self.versions.len() <= index {
            self.versions.resize_with(index + 1, VersionStats::default);
        }
        &mut self.versions[index]
    }
}
