//! Sequential test that detects bad versions from counts alone.
//!
//! For each version and fault, the test compares the share of bad cases since the version's trial
//! began with that of its model's other versions. The statistic is a mean of likelihood ratios,
//! which a healthy version raises above a bound of `1 / p` with probability at most `p`, however
//! often it is evaluated (Ville's inequality). It needs only sums, so every node that has the same
//! counts reaches the same decision.

use crate::choice::VersionCatalogue;
use crate::evidence::{Evidence, VersionCounters};
use crate::key_map::KeyMap;
use oatdale_config::{Config, Key, VersionKey, VersionState};

/// Natural logarithm of the evidence above which a version is stopped: one false stop in 1,000
/// trials of healthy versions, shared by three faults.
const LOG_EVIDENCE_BOUND: f64 = 8.006_367_567_650_246;

/// Odds of a bad case, relative to the baseline, that the test looks for.
const ODDS_RATIOS: [f64; 6] = [1.5, 2.0, 3.0, 5.0, 10.0, 30.0];

/// Samples that are needed to derive a baseline from their share of bad cases.
const MIN_REFERENCE_SAMPLES: u64 = 100;

/// Standard errors by which the reference's share of bad cases may be underestimated.
const REFERENCE_STD_ERRORS: f64 = 1.0;

/// Requests after which a trial restarts, so that a long good history does not hide a change.
const MAX_TRIAL_REQUESTS: u64 = 4_000;

/// Way in which a version is bad.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Fault {
    /// It fails more often than the model's other versions.
    Errors,
    /// Its answers are rated too low more often.
    LowRatings,
    /// Its answers start late more often.
    Slow,
}

impl Fault {
    const ALL: [Fault; 3] = [Fault::Errors, Fault::LowRatings, Fault::Slow];

    /// Returns the bad cases and all cases.
    fn cases(self, c: &VersionCounters) -> (u64, u64) {
        match self {
            Fault::Errors => (c.errors, c.requests),
            Fault::LowRatings => (c.low, c.rated),
            Fault::Slow => (c.slow, c.requests - c.errors.min(c.requests)),
        }
    }

    /// Returns the difference by which the share of bad cases of a healthy version may exceed that
    /// of the others.
    fn tolerance(self) -> f64 {
        match self {
            Fault::Errors => 0.003,
            Fault::LowRatings | Fault::Slow => 0.01,
        }
    }

    /// Returns the accepted share of bad cases while there are too few samples to compare with.
    fn default_share(self) -> f64 {
        match self {
            Fault::Errors => 0.05,
            Fault::LowRatings => 0.5,
            Fault::Slow => 0.2,
        }
    }
}

/// A version that the test found to be bad.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct StopDecision {
    /// The version.
    pub version: VersionKey,
    /// The fault that was detected.
    pub fault: Fault,
    /// Bad cases since the start of the trial.
    pub bad: u64,
    /// All cases since the start of the trial.
    pub samples: u64,
    /// The share of bad cases up to which the version would not have been stopped.
    pub baseline_share: f64,
}

/// The trials of all versions.
pub(crate) struct Trials {
    trials: Vec<Trial>,
}

/// Counters at the start of a trial.
#[derive(Clone, Copy, Debug)]
struct Trial {
    own: VersionCounters,
    reference_total: VersionCounters,
}

impl Trials {
    /// Creates trials that begin with the first request.
    pub(crate) fn new(cfg: &Config) -> Self {
        let zero = |version| Trial {
            own: VersionCounters::zero(version),
            reference_total: VersionCounters::zero(version),
        };
        Trials {
            trials: cfg.versions.keys().map(zero).collect(),
        }
    }

    /// Restarts a version's trial.
    pub(crate) fn restart(&mut self, version: VersionKey, cfg: &Config, evidence: &Evidence) {
        self.trials[version.index()] = Trial {
            own: evidence.total(version),
            reference_total: reference_total(version, cfg, evidence),
        };
    }

    /// Continues the trials of an earlier configuration.
    ///
    /// A trial restarts, with the version's counts so far as its history, unless the version's
    /// state and the versions that it is compared with are the same as before: earlier counts can't
    /// be compared with those of other versions.
    pub(crate) fn migrate(
        &mut self,
        old: Trials,
        cfg: &Config,
        old_cfg: &Config,
        key_map: &KeyMap,
        evidence: &Evidence,
    ) {
        for version in cfg.versions.keys() {
            self.restart(version, cfg, evidence);
        }
        for trial in old.trials {
            let Some(version) = key_map.version(trial.own.version) else {
                continue;
            };
            let is_unchanged =
                has_same_references(trial.own.version, version, old_cfg, cfg, key_map);
            if is_unchanged {
                let with_version = |c| VersionCounters { version, ..c };
                self.trials[version.index()] = Trial {
                    own: with_version(trial.own),
                    reference_total: with_version(trial.reference_total),
                };
            }
        }
    }

    /// Tests every version that admits new work and restarts complete trials.
    pub(crate) fn test_versions(
        &mut self,
        cfg: &Config,
        catalogue: &VersionCatalogue,
        evidence: &Evidence,
    ) -> Vec<StopDecision> {
        let mut stops: Vec<StopDecision> = Vec::new();
        for version in cfg.versions.keys() {
            if !is_tested(cfg, version) || catalogue.is_stopped(version) {
                continue;
            }
            let decision = Fault::ALL
                .iter()
                .find_map(|&fault| self.test_fault(version, fault, cfg, evidence));
            match decision {
                Some(stop) if catalogue.can_stop(cfg, version) => stops.push(stop),
                Some(_) => {}
                None if self.is_complete(version, evidence) => self.restart(version, cfg, evidence),
                None => {}
            }
        }
        stops
    }

    /// Whether a version's trial has reached its maximum length.
    fn is_complete(&self, version: VersionKey, evidence: &Evidence) -> bool {
        let start = &self.trials[version.index()].own;
        evidence.total(version).since(start).requests >= MAX_TRIAL_REQUESTS
    }

    fn test_fault(
        &self,
        version: VersionKey,
        fault: Fault,
        cfg: &Config,
        evidence: &Evidence,
    ) -> Option<StopDecision> {
        let trial = &self.trials[version.index()];
        let (bad, samples) = fault.cases(&evidence.total(version).since(&trial.own));
        let reference_total = reference_total(version, cfg, evidence).since(&trial.reference_total);
        let baseline_share = baseline_share(fault, &reference_total, &trial.own);
        let is_bad = log_evidence(bad, samples, baseline_share) > LOG_EVIDENCE_BOUND;
        is_bad.then_some(StopDecision {
            version,
            fault,
            bad,
            samples,
            baseline_share,
        })
    }
}

/// Whether the test covers a version: only one that admits new work can be stopped.
fn is_tested(cfg: &Config, version: VersionKey) -> bool {
    match cfg.versions[version].state {
        VersionState::Canary { .. } | VersionState::Serving => true,
        VersionState::Draining | VersionState::Withdrawn => false,
    }
}

/// Returns the summed counters of the model's other serving versions.
fn reference_total(version: VersionKey, cfg: &Config, evidence: &Evidence) -> VersionCounters {
    references(version, cfg)
        .map(|other| evidence.total(other))
        .fold(VersionCounters::zero(version), |sum, c| sum.plus(&c))
}

/// Returns the versions that a version is compared with: the model's other serving ones.
pub(crate) fn references(
    version: VersionKey,
    cfg: &Config,
) -> impl Iterator<Item = VersionKey> + '_ {
    let model = &cfg.models[cfg.versions[version].model];
    model
        .versions
        .iter()
        .copied()
        .filter(move |&v| v != version && cfg.versions[v].state == VersionState::Serving)
}

/// Whether a version has the same state and is compared with the same versions as before.
fn has_same_references(
    old: VersionKey,
    new: VersionKey,
    old_cfg: &Config,
    cfg: &Config,
    key_map: &KeyMap,
) -> bool {
    let mut before: Vec<_> = references(old, old_cfg)
        .map(|v| key_map.version(v))
        .collect();
    let mut after: Vec<_> = references(new, cfg).map(Some).collect();
    before.sort_unstable();
    after.sort_unstable();
    let kind = |s: VersionState| std::mem::discriminant(&s);
    let same_state = kind(old_cfg.versions[old].state) == kind(cfg.versions[new].state);
    same_state && before == after
}

/// Returns the accepted share of bad cases, with a margin: that of the other versions since the
/// trial began, else the version's own before the trial, else [`Fault::default_share`].
fn baseline_share(
    fault: Fault,
    reference_total: &VersionCounters,
    previous: &VersionCounters,
) -> f64 {
    let reference_cases = [reference_total, previous]
        .into_iter()
        .map(|c| fault.cases(c))
        .find(|&(_, samples)| samples >= MIN_REFERENCE_SAMPLES);
    let Some((bad, samples)) = reference_cases else {
        return fault.default_share();
    };
    let (bad, samples) = (bad as f64 + 1.0, samples as f64 + 2.0);
    let share = bad / samples;
    let std_error = (share * (1.0 - share) / samples).sqrt();
    (share + REFERENCE_STD_ERRORS * std_error + fault.tolerance()).min(0.99)
}

/// Returns the logarithm of the mean likelihood ratio of higher shares of bad cases against the
/// baseline.
pub(crate) fn log_evidence(bad: u64, samples: u64, baseline_share: f64) -> f64 {
    let (bad, good) = (bad as f64, samples.saturating_sub(bad) as f64);
    let odds = baseline_share / (1.0 - baseline_share);
    let log_ratios = ODDS_RATIOS.map(|odds_ratio| {
        let alternative = odds * odds_ratio / (1.0 + odds * odds_ratio);
        bad * (alternative / baseline_share).ln()
            + good * ((1.0 - alternative) / (1.0 - baseline_share)).ln()
    });
    let largest = log_ratios.into_iter().fold(f64::MIN, f64::max);
    let sum: f64 = log_ratios.iter().map(|r| (r - largest).exp()).sum();
    largest + (sum / ODDS_RATIOS.len() as f64).ln()
}
