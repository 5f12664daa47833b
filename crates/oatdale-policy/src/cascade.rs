//! Learns which versions to ask, one after the other, to meet the quality target at least cost.
//!
//! For each class of requests the learner keeps how often each version's answers are accepted,
//! by itself and after another version's answer was rejected. A price of quality, in currency for
//! one more accepted answer, turns the target into a choice for each request: the sequence of
//! versions whose expected quality is worth most above its expected cost. The price rises while
//! answers fall short of the target and falls while they exceed it.

mod sequence;

use self::sequence::{Expected, Value, Weights, best, hope, most, others, undominated, value};
use crate::average::Mean;
use crate::choice::{Plan, Plans, Versions};
use crate::estimate::Estimate;
use crate::request::{Ask, Session, VersionReason};
use oatdale_config::{Config, Key, ServiceKey, ServiceKind, VersionKey};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use smallvec::SmallVec;
use std::collections::BTreeMap;

/// How fast the price of quality follows the shortfall.
const STEP: f64 = 0.01;

/// How far above the target the price aims, as a share of answers.
const MARGIN: f64 = 0.001;

/// The price of quality stays within these multiples of the dearest version's cost.
const PRICE_RANGE: (f64, f64) = (1e-3, 100.0);

/// A shortfall of this many accepted answers raises the aim by one point in a hundred.
const CATCH_UP: f64 = 10.0;

/// How far a shortfall may raise the aim, and an excess lower it, as a share of answers.
const AIM_RANGE: (f64, f64) = (-0.01, 0.03);

/// Accepted answers above the target that may be made up for by worse ones later; callers who
/// come later have no use for more.
const CREDIT: f64 = 2.0;

/// Requests after which a shortfall is forgotten.
const SHORTFALL_MEMORY: f64 = 4_000.0;

/// Answers over which the share of late ratings is averaged.
const SAMPLING_MEMORY: f64 = 1_000.0;

/// Answers, all rated, that are taken for granted at the start, or the first rating would count
/// for all answers before it.
const SAMPLING_PRIOR: f64 = 50.0;

/// The latency weight above which a service's callers read along first of all. An answer that is
/// kept back for a rating begins when it ends, so their streams are never kept back.
const LATENCY_FIRST: f64 = 0.5;

/// The share of requests that try a version to learn its quality.
const EXPLORE: f64 = 0.01;

/// Answers from which the usual time to the first byte can be told.
const TIMED: f64 = 10.0;

/// Ratings below which a version is tried more often.
const UNKNOWN: f64 = 30.0;

/// The share of requests that try a version of which little is known.
const EXPLORE_UNKNOWN: f64 = 0.2;

/// The accepted shares believed of the cheapest and the dearest version before anyone rated them.
const UNRATED: (f64, f64) = (0.6, 0.9);

/// Requests over which costs and times are averaged to bring them to one scale.
const SCALE_MEMORY: f64 = 300.0;

/// What a service has learned.
#[derive(Clone, Debug)]
pub(crate) struct Learner {
    classes: BTreeMap<u8, Class>,
    /// Currency that one more accepted answer is worth, over the dearest version's cost.
    price: f64,
    /// What a request costs at the dearest version, in currency.
    dearest: Mean,
    /// What a request takes at the slowest version, in seconds.
    slowest: Mean,
    /// Accepted answers that are missing to the target, as far as ratings tell.
    shortfall: f64,
    /// Answers lately that were not kept back, and how many of them were rated later.
    unheld: f64,
    late: f64,
}

/// What is known of one class of requests, by version.
#[derive(Clone, Debug, Default)]
struct Class {
    versions: Vec<Known>,
}

/// What is known of one version in one class.
#[derive(Clone, Copy, Debug)]
struct Known {
    first: Estimate,
    after: Estimate,
    output: Mean,
    first_byte: Mean,
    total: Mean,
}

impl Default for Known {
    fn default() -> Self {
        Known {
            first: Estimate::default(),
            after: Estimate::default(),
            output: Mean::new(200.0),
            first_byte: Mean::new(50.0),
            total: Mean::new(50.0),
        }
    }
}

/// Whether an answer may be kept back to be rated before its caller sees any of it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Hold {
    Allowed,
    Never,
}

impl Learner {
    pub(crate) fn new() -> Self {
        Learner {
            classes: BTreeMap::new(),
            price: 4.0,
            dearest: Mean::new(SCALE_MEMORY),
            slowest: Mean::new(SCALE_MEMORY),
            shortfall: 0.0,
            unheld: SAMPLING_PRIOR,
            late: SAMPLING_PRIOR,
        }
    }

    /// Plans for a request, the preferred one first, and the preferred one's expected quality.
    ///
    /// `versions` may all serve the request and are not empty.
    pub(crate) fn plans(
        &mut self,
        cfg: &Config,
        ask: &Ask,
        versions: &[VersionKey],
        rng: &mut Pcg64Mcg,
    ) -> (Plans, f64) {
        let expected = self.expected(cfg, ask, versions);
        self.dearest.add(most(&expected, |e| e.cost));
        self.slowest.add(most(&expected, |e| e.first_byte));
        let weights = self.weights(cfg, ask.service, &expected);
        let few = undominated(&expected);
        let lone = ask.idempotent && ask.session == Session::None;
        let hold = match ask.stream && weights.latency > LATENCY_FIRST {
            true => Hold::Never,
            false => Hold::Allowed,
        };
        let mut plans = Plans::new();
        let (steps, value) = best(&few, weights, lone && hold == Hold::Allowed);
        let explored = match lone {
            true => self.explore(ask, &expected, (&steps, value), weights, hold, rng),
            false => None,
        };
        let why = self.why(&steps, &few, weights);
        plans.extend(explored);
        plans.push(Plan { steps, why });
        plans.extend(others(&plans, &few, weights));
        (plans, value.quality)
    }

    /// The expected quality of one version for a request that has no choice.
    pub(crate) fn quality(&self, cfg: &Config, ask: &Ask, version: VersionKey) -> f64 {
        self.expected(cfg, ask, &[version])[0].first
    }

    /// Moves the price of quality after a request was given a plan of this expected quality.
    pub(crate) fn planned(&mut self, target: f64, quality: f64) {
        let catch_up = 0.01 * self.shortfall * self.sampled() / CATCH_UP;
        let aim = target + MARGIN + catch_up.clamp(AIM_RANGE.0, AIM_RANGE.1);
        let step = STEP * (aim - quality) / (1.0 - target).max(0.05);
        self.price = (self.price * step.exp()).clamp(PRICE_RANGE.0, PRICE_RANGE.1);
    }

    /// Takes in that an answer went to the caller, with its rating if it was kept back for one.
    ///
    /// The estimates alone would flatter the sequences that are chosen: one is chosen because it
    /// seems good, by chance among other things. What was really accepted corrects this.
    pub(crate) fn delivered(
        &mut self,
        target: f64,
        class: u8,
        version: VersionKey,
        after: bool,
        rating: Option<f64>,
    ) {
        let accepted = rating.unwrap_or_else(|| self.belief(class, version, after));
        self.shortfall *= 1.0 - 1.0 / SHORTFALL_MEMORY;
        self.shortfall = (self.shortfall + target - accepted).max(-CREDIT);
        if rating.is_none() {
            let kept = 1.0 - 1.0 / SAMPLING_MEMORY;
            self.unheld = self.unheld * kept + 1.0;
            self.late *= kept;
        }
    }

    /// Takes in a rating of a version's answer.
    pub(crate) fn rated(&mut self, class: u8, version: VersionKey, after: bool, rating: f64) {
        let known = self.known_mut(class, version);
        match after {
            true => known.after.add(rating),
            false => known.first.add(rating),
        }
    }

    /// Takes in a rating that came after the answer had gone to the caller; it stands for the
    /// answers that are not rated too.
    pub(crate) fn rated_late(&mut self, class: u8, version: VersionKey, after: bool, rating: f64) {
        let believed = self.belief(class, version, after);
        self.late += 1.0;
        self.shortfall -= (rating - believed) / self.sampled();
        self.rated(class, version, after, rating);
    }

    /// The share of answers not kept back that is rated later.
    fn sampled(&self) -> f64 {
        (self.late / self.unheld).clamp(0.02, 1.0)
    }

    /// Takes in a whole answer's size and times, in tokens and seconds.
    pub(crate) fn answered(
        &mut self,
        class: u8,
        version: VersionKey,
        tokens: u32,
        first_byte: Option<f64>,
        total: f64,
    ) {
        let known = self.known_mut(class, version);
        known.output.add(f64::from(tokens));
        known.total.add(total);
        known.first_byte.add(first_byte.unwrap_or(total));
    }

    /// The usual time to the first byte in a class, in seconds, once enough answers came.
    pub(crate) fn usual_first_byte(&self, class: u8, version: VersionKey) -> Option<f64> {
        let known = self.known(class, version);
        (known.first_byte.samples() >= TIMED).then(|| known.first_byte.get_or(0.0))
    }

    /// Moves what was learned to a new configuration's keys.
    pub(crate) fn rekey(&mut self, map: impl Fn(VersionKey) -> Option<VersionKey>) {
        for class in self.classes.values_mut() {
            let old = std::mem::take(&mut class.versions);
            for (index, known) in old.into_iter().enumerate() {
                if let Some(new) = map(VersionKey::from_index(index)) {
                    *class.at(new) = known;
                }
            }
        }
    }

    fn known_mut(&mut self, class: u8, version: VersionKey) -> &mut Known {
        self.classes.entry(class).or_default().at(version)
    }

    fn known(&self, class: u8, version: VersionKey) -> Known {
        let class = self.classes.get(&class);
        let known = class.and_then(|c| c.versions.get(version.index()));
        known.copied().unwrap_or_default()
    }

    fn belief(&self, class: u8, version: VersionKey, after: bool) -> f64 {
        let known = self.known(class, version);
        let first = known.first.get(UNRATED.0);
        match after {
            true => known.after.get(first),
            false => first,
        }
    }

    fn expected(
        &self,
        cfg: &Config,
        ask: &Ask,
        versions: &[VersionKey],
    ) -> SmallVec<[Expected; 64]> {
        let last = versions.len().saturating_sub(1).max(1) as f64;
        let class = self.classes.get(&ask.class);
        let unknown = Known::default();
        versions
            .iter()
            .enumerate()
            .map(|(rank, &version)| {
                let known = class.and_then(|c| c.versions.get(version.index()));
                let known = known.unwrap_or(&unknown);
                let unrated = UNRATED.0 + (UNRATED.1 - UNRATED.0) * rank as f64 / last;
                let first = known.first.get(unrated);
                let price = cfg.versions[version].price;
                let output = known.output.get_or(f64::from(ask.output_tokens));
                let cost = price.input * f64::from(ask.input_tokens) + price.output * output;
                let total = known.total.get_or(0.0);
                Expected {
                    version,
                    first,
                    after: known.after.get(first),
                    cost: cost / 1e6,
                    first_byte: match ask.stream {
                        true => known.first_byte.get_or(0.0),
                        false => total,
                    },
                    total,
                }
            })
            .collect()
    }

    fn weights(&self, cfg: &Config, service: ServiceKey, expected: &[Expected]) -> Weights {
        let latency = match cfg.services[service].kind {
            ServiceKind::Model { latency_weight, .. } => latency_weight,
            ServiceKind::Plain => 0.0,
        };
        Weights {
            price: self.price,
            latency,
            cost_scale: self.dearest.get_or(most(expected, |e| e.cost)).max(1e-12),
            seconds_scale: self
                .slowest
                .get_or(most(expected, |e| e.first_byte))
                .max(1e-12),
        }
    }

    /// A version to try before the usual steps, on a few requests.
    ///
    /// The usual last step follows if its answer is rejected, so that trying costs money and time
    /// but not quality. An answer that may not be held back is tried alone. A version that would not be chosen even if it were as good as can be hoped
    /// is not tried: trying the dearest one on the longest requests costs more than it teaches.
    fn explore(
        &self,
        ask: &Ask,
        expected: &[Expected],
        usual: (&Versions, Value),
        weights: Weights,
        hold: Hold,
        rng: &mut Pcg64Mcg,
    ) -> Option<Plan> {
        let draw = (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
        if draw >= EXPLORE_UNKNOWN {
            return None;
        }
        let pick = rng.next_u64();
        let tried = expected[(pick % expected.len() as u64) as usize];
        let second = usual.0.len() > 1 && pick >> 63 == 1;
        let known = self.known(ask.class, tried.version);
        let weight = match second {
            true => known.after.weight(),
            false => known.first.weight(),
        };
        let is_due = draw < EXPLORE || (weight < UNKNOWN && hold == Hold::Allowed);
        let last = *usual.0.last()?;
        if !is_due || usual.0.contains(&tried.version) {
            return None;
        }
        let hoped = Expected {
            first: hope(tried.first, weight),
            after: hope(tried.after, weight),
            ..tried
        };
        let of = |version| expected.iter().copied().find(|e| e.version == version);
        let steps: SmallVec<[Expected; 3]> = match (hold, second) {
            (Hold::Never, _) => SmallVec::from_slice(&[hoped]),
            (Hold::Allowed, true) => SmallVec::from_slice(&[of(usual.0[0])?, hoped, of(last)?]),
            (Hold::Allowed, false) => SmallVec::from_slice(&[hoped, of(last)?]),
        };
        let worth = |places: &[usize]| weights.worth(value(&steps, places));
        let all: SmallVec<[usize; 3]> = (0..steps.len()).collect();
        let without_last = match steps.len() {
            1 => f64::NEG_INFINITY,
            len => worth(&all[..len - 1]),
        };
        let hoped_worth = worth(&all).max(without_last);
        (hoped_worth > weights.worth(usual.1)).then(|| Plan {
            steps: steps.iter().map(|e| e.version).collect(),
            why: VersionReason::Explore,
        })
    }

    fn why(&self, steps: &Versions, few: &[Expected], weights: Weights) -> VersionReason {
        let best = few.iter().max_by(|a, b| a.first.total_cmp(&b.first));
        let is_best = steps.len() == 1 && best.is_some_and(|b| b.version == steps[0]);
        match () {
            () if is_best && self.price >= PRICE_RANGE.1 => VersionReason::Best,
            () if steps.len() == 1 && weights.latency > LATENCY_FIRST => VersionReason::Fastest,
            () => VersionReason::Cheapest,
        }
    }
}

impl Class {
    fn at(&mut self, version: VersionKey) -> &mut Known {
        let at = version.index();
        if self.versions.len() <= at {
            self.versions.resize_with(at + 1, Known::default);
        }
        &mut self.versions[at]
    }
}
