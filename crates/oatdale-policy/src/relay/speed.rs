//! Speeds of endpoints, learned from responses and shared by all hosts.
//!
//! The load that this answers: a quarter of the endpoints work at half the speed of the others, so
//! that equal counts of requests wait six times as long there. A host sees an endpoint once in
//! 10 to 20 s, which is too rare to learn its speed alone; all hosts together see it several times a
//! second. Hosts therefore pass on estimates, and each adds its own samples to the latest one.
//!
//! An estimate is the logarithm of a factor: the time of a unit of work at the endpoint relative to
//! the usual one of the host that observes it. The receiver keeps the later estimate and never adds
//! two up, so that no sample counts twice; of samples that several hosts take at the same time, only
//! those of the latest estimate remain.

mod gaps;
mod table;

pub use gaps::GapSampler;
pub use table::{MergeOutcome, SlownessChange, SpeedOrigin, SpeedTable};

use std::time::Duration;

/// Smallest factor: a smaller one is due to an error in the measurement.
pub const MIN_SPEED_FACTOR: f64 = 0.25;
/// Largest factor: an endpoint that is slower than this gets hardly any requests anyway.
pub const MAX_SPEED_FACTOR: f64 = 8.0;

/// Largest weight of an estimate, in samples.
pub const MAX_SPEED_WEIGHT: f64 = 10.0;

/// Deviation of a sample from the logarithm of the estimate that shows a change if the next one is
/// on the same side: a factor of two.
const TREND_LOG: f64 = std::f64::consts::LN_2;

/// Largest weight that remains of an estimate, in samples, once two samples in a row show a change.
/// A full weight would delay the notice of an endpoint that has become several times slower.
const CHANGE_WEIGHT: f64 = 2.0;

/// Time in which the weight of an estimate halves.
const HALF_LIFE: Duration = Duration::from_millis(3_000);

/// Weight, in samples, of the assumption that an endpoint is as fast as usual.
const PRIOR_WEIGHT: f64 = 0.5;

/// Weight below which an estimate is dropped: its factor is within a fifth of 1 by then.
const MIN_WEIGHT: f64 = 0.05;

/// Age up to which estimates are sent: the wire has no larger one, and little weight is left.
const MAX_SENT_AGE: Duration = Duration::from_millis(12_500);

/// Samples over which the usual time is averaged: enough that a few slow endpoints do not move it,
/// few enough to follow a change of load within seconds.
const USUAL_SAMPLES: f64 = 64.0;

/// Samples that are required before the usual time is known.
const MIN_USUAL_SAMPLES: f64 = 8.0;

/// Logarithm of the time of a unit of work relative to the usual one.
#[derive(Clone, Copy, PartialEq, PartialOrd, Debug)]
pub struct SpeedSample(f64);

/// Usual time of a unit of work of one kind, as one host observes it.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct UsualTime {
    log_mean: f64,
    samples: f64,
}

/// Estimate of an endpoint's speed.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct SpeedEstimate {
    /// Logarithm of the factor.
    log_factor: f64,
    /// Weight in samples when it was last updated.
    weight: f64,
    /// When it was last updated, in seconds: negative if that was before this host started.
    updated_at_s: f64,
    trend: Trend,
}

/// Whether the last sample was far from the estimate, and on which side.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Trend {
    /// It was near.
    #[default]
    None,
    /// It was much slower.
    Slower,
    /// It was much faster.
    Faster,
}

impl Trend {
    fn of(deviation: f64) -> Self {
        match deviation {
            d if d > TREND_LOG => Trend::Slower,
            d if d < -TREND_LOG => Trend::Faster,
            _ => Trend::None,
        }
    }
}

/// Estimate as hosts state it to each other.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct StatedEstimate {
    /// Number of the endpoint, the same on all hosts.
    pub endpoint: u32,
    /// The factor.
    pub factor: f64,
    /// Weight in samples, when it was last updated.
    pub weight: f64,
    /// Time since it was last updated.
    pub age: Duration,
    /// The trend of its last sample.
    pub trend: Trend,
}

/// Why the estimate of another host is dropped.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum EstimateFault {
    /// The factor is not finite, or outside the range of factors.
    Factor,
    /// The weight is not finite, not positive, or larger than any host's.
    Weight,
}

impl UsualTime {
    /// Adds the time of a unit of work and returns it relative to the usual one; `None` as long as
    /// that is not known, and for a time of zero.
    pub fn record(&mut self, time: Duration) -> Option<SpeedSample> {
        let log_time = Some(time.as_secs_f64().ln()).filter(|log| log.is_finite())?;
        let is_known = self.samples >= MIN_USUAL_SAMPLES;
        // One call that took very long must not change what is usual.
        let deviation = match is_known {
            true => clamp_log(log_time - self.log_mean),
            false => log_time - self.log_mean,
        };
        self.samples = (self.samples + 1.0).min(USUAL_SAMPLES);
        self.log_mean += deviation / self.samples;
        is_known.then_some(SpeedSample(deviation))
    }
}

impl SpeedEstimate {
    /// Creates the estimate of an endpoint of which nothing is known.
    fn unknown(now: Duration) -> Self {
        SpeedEstimate {
            log_factor: 0.0,
            weight: 0.0,
            updated_at_s: now.as_secs_f64(),
            trend: Trend::None,
        }
    }

    /// Adds a sample: a moving average over as many samples as the weight states.
    fn add(&mut self, now: Duration, sample: SpeedSample) {
        let deviation = clamp_log(sample.0) - self.log_factor;
        let trend = Trend::of(deviation);
        let known = match trend {
            Trend::Slower | Trend::Faster if trend == self.trend => {
                // The larger the deviation, the less can be due to what is intermittent.
                let change_weight = CHANGE_WEIGHT * (TREND_LOG / deviation).powi(2);
                self.weight(now).min(change_weight)
            }
            _ => self.weight(now),
        };
        self.trend = trend;
        self.weight = (known + 1.0).min(MAX_SPEED_WEIGHT);
        self.log_factor += deviation / self.weight;
        self.updated_at_s = now.as_secs_f64();
    }

    /// Returns the weight, in samples, after its decay.
    pub fn weight(&self, now: Duration) -> f64 {
        let half_lives = self.age_s(now) / HALF_LIFE.as_secs_f64();
        self.weight * (-half_lives).exp2()
    }

    /// Returns the factor, closer to 1 the less weight the estimate has.
    pub fn factor(&self, now: Duration) -> f64 {
        let weight = self.weight(now);
        let factor = (self.log_factor * weight / (weight + PRIOR_WEIGHT)).exp();
        factor.clamp(MIN_SPEED_FACTOR, MAX_SPEED_FACTOR)
    }

    /// Returns the time since the last update.
    pub fn age(&self, now: Duration) -> Duration {
        Duration::try_from_secs_f64(self.age_s(now)).unwrap_or(Duration::MAX)
    }

    fn age_s(&self, now: Duration) -> f64 {
        (now.as_secs_f64() - self.updated_at_s).max(0.0)
    }

    /// Returns the estimate as it is sent to other hosts.
    pub fn to_stated(&self, now: Duration, endpoint: u32) -> StatedEstimate {
        StatedEstimate {
            endpoint,
            factor: self.log_factor.exp(),
            weight: self.weight,
            age: self.age(now),
            trend: self.trend,
        }
    }
}

impl StatedEstimate {
    /// Returns the estimate as of this host's time. A value out of range shows a fault of the sender,
    /// so that nothing is known of the true one.
    fn check(&self, now: Duration) -> Result<SpeedEstimate, EstimateFault> {
        if !(MIN_SPEED_FACTOR..=MAX_SPEED_FACTOR).contains(&self.factor) {
            return Err(EstimateFault::Factor);
        }
        if !(self.weight > 0.0 && self.weight <= MAX_SPEED_WEIGHT) {
            return Err(EstimateFault::Weight);
        }
        Ok(SpeedEstimate {
            log_factor: self.factor.ln(),
            weight: self.weight,
            updated_at_s: now.as_secs_f64() - self.age.as_secs_f64(),
            trend: self.trend,
        })
    }
}

fn clamp_log(log_factor: f64) -> f64 {
    log_factor.clamp(MIN_SPEED_FACTOR.ln(), MAX_SPEED_FACTOR.ln())
}
