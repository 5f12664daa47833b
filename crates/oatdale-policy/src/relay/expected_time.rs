//! Expected time from sending a request to an endpoint until the response head.
//!
//! Answers bursts in which the load of an engine passes through its whole range within two seconds.
//! Requests hardly wait up to some load, and above it the time rises steeply, which no straight line
//! fits. So the times are means at evenly spaced loads, with forgetting, made monotone in the load,
//! and multiplied by the endpoint's speed factor.
//!
//! Nodes know loads late and many send to an endpoint that looks idle. If such a response counted
//! towards the load known when its request was sent, idle endpoints would seem slow. So it counts
//! towards the load known when it arrives, if that is higher, and the ratio of observed to expected
//! times is kept apart.

use std::time::Duration;

/// Time that an engine takes to read a prompt, per unit of weight: 3,000 tokens of the largest
/// model at 15 to 20 tokens per millisecond.
pub const READ_TIME_PER_WEIGHT: Duration = Duration::from_millis(200);

/// Number of loads at which times are kept, and the load between two of them.
const POINTS: usize = 17;
const POINT_SPACING: f64 = 2.0;

/// Time at an idle endpoint before any response: a model of usual size answers a short prompt in
/// about this time.
const PRIOR_TIME_S: f64 = 0.1;

/// Load up to which no wait is expected before responses show it: engines work on more requests
/// than this at once.
const PRIOR_KNEE_LOAD: f64 = 6.0;

/// Weight of the prior at each load, in responses: few responses suffice to replace it.
const PRIOR_SAMPLES: f64 = 0.5;

/// Maximum weight of the mean at one load, in responses. Under load, most of a node's responses are
/// at similar loads, so that a mean follows a change within about a second.
const MAX_SAMPLES: f64 = 6.0;

/// Weight below which a mean counts as unknown, in responses.
const MIN_SAMPLES: f64 = 0.05;

/// Number of responses over which the mean weight of requests is averaged.
const WEIGHT_MEAN_SAMPLES: f64 = 50.0;

/// Factor by which the regression of time on the request's own weight forgets with each response.
const REGRESSION_RETENTION: f64 = 0.98;

/// Sum of squared weights that the prior of that regression counts as.
const REGRESSION_PRIOR: f64 = 4.0;

/// Multiple of the time at an idle endpoint at which requests count as waiting.
const KNEE_TIME_FACTOR: f64 = 2.0;

/// Smallest increase in time, in seconds, that counts as waiting: less is jitter of the network.
const MIN_KNEE_WAIT_S: f64 = 0.02;

/// Fraction of the time at a load that a request of any weight takes at least.
const MIN_TIME_FRACTION: f64 = 0.25;

/// Half-life of the ratio of observed to expected times, and the weight of the prior ratio of 1, in
/// seconds of expected time.
const LAG_HALF_LIFE: Duration = Duration::from_secs(1);
const LAG_PRIOR_S: f64 = 0.1;

/// Maximum ratio of observed to expected times.
const MAX_LAG_FACTOR: f64 = 8.0;

/// Longest time that is recorded, in seconds.
const MAX_TIME_S: f64 = 60.0;

/// A request at an endpoint, as far as its time depends on it.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct LoadAhead {
    /// Load at the endpoint before the request, in units of weight.
    pub load: f64,
    /// The request's own weight.
    pub weight: f64,
    /// Time that a unit of work takes at the endpoint relative to the usual one.
    pub speed_factor: f64,
}

/// Mean of the times observed at one load.
#[derive(Clone, Copy, Debug, Default)]
struct Point {
    mean_s: f64,
    /// Number of responses in the mean, after forgetting.
    samples: f64,
    updated_at: Duration,
}

/// Observed times of a service's responses by load.
#[derive(Clone, Debug)]
pub struct ResponseTimes {
    points: [Point; POINTS],
    half_life: Duration,
    mean_weight: f64,
    weight_samples: f64,
    /// Sums of squared weights, and of weight times seconds, both as differences from what is
    /// expected at the load for a request of mean weight.
    weight_squares: f64,
    weight_times: f64,
    lag: Lag,
}

/// Sums of observed and of expected seconds of recent responses.
#[derive(Clone, Copy, Debug, Default)]
struct Lag {
    observed_s: f64,
    expected_s: f64,
    updated_at: Duration,
}

/// Expected time as a function of the load.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct TimeCurve {
    /// Time in seconds of a request of mean weight at each point, at an endpoint of usual speed;
    /// never decreases.
    times_s: [f64; POINTS],
    mean_weight: f64,
    /// Additional seconds per unit of the request's own weight.
    per_weight_s: f64,
    /// Ratio of observed to expected times, due to loads that are known late.
    lag_factor: f64,
}

impl ResponseTimes {
    /// Creates times without responses; recorded ones lose half of their weight in `half_life`.
    pub fn new(half_life: Duration) -> Self {
        ResponseTimes {
            points: [Point::default(); POINTS],
            half_life,
            mean_weight: 1.0,
            weight_samples: 0.0,
            weight_squares: 0.0,
            weight_times: 0.0,
            lag: Lag::default(),
        }
    }

    /// Records the time of a response. `later_load` is the load without this request as known when
    /// the response arrives. Loads that are not finite are ignored.
    pub fn record(&mut self, now: Duration, ahead: LoadAhead, later_load: f64, time: Duration) {
        let is_valid = ahead.load.is_finite() && ahead.weight.is_finite();
        if !(is_valid && ahead.speed_factor.is_normal() && ahead.speed_factor > 0.0) {
            return;
        }
        let time_s = (time.as_secs_f64() / ahead.speed_factor).min(MAX_TIME_S);
        let expected_s = self.curve(now).time_s(ahead) / ahead.speed_factor;
        self.lag.record(now, time_s, expected_s);
        let ahead = LoadAhead {
            load: ahead.load.max(later_load),
            ..ahead
        };
        self.record_weight(now, ahead, time_s);
        let own_s = self.per_weight_s() * (ahead.weight - self.mean_weight);
        let mean_weight_s = (time_s - own_s).max(0.0);
        let (index, fraction) = position(ahead.load);
        let parts = [(index, 1.0 - fraction), (index + 1, fraction)];
        for (index, part) in parts {
            if let Some(point) = self.points.get_mut(index).filter(|_| part > 0.0) {
                point.record(now, self.half_life, mean_weight_s, part);
            }
        }
    }

    /// Records that a response had not arrived after a time. This counts only if the response was
    /// expected before: otherwise it says nothing.
    pub fn record_missing(
        &mut self,
        now: Duration,
        ahead: LoadAhead,
        later_load: f64,
        time: Duration,
    ) {
        if self.curve(now).expected(ahead) < time {
            self.record(now, ahead, later_load, time);
        }
    }

    fn record_weight(&mut self, now: Duration, ahead: LoadAhead, time_s: f64) {
        let weight = ahead.weight - self.mean_weight;
        let surplus_s = time_s - self.curve(now).mean_weight_time_s(ahead.load);
        self.weight_squares = self.weight_squares * REGRESSION_RETENTION + weight * weight;
        self.weight_times = self.weight_times * REGRESSION_RETENTION + weight * surplus_s;
        self.weight_samples = (self.weight_samples + 1.0).min(WEIGHT_MEAN_SAMPLES);
        self.mean_weight += weight / self.weight_samples;
    }

    fn per_weight_s(&self) -> f64 {
        let prior_s = READ_TIME_PER_WEIGHT.as_secs_f64();
        let learned_s = (self.weight_times + REGRESSION_PRIOR * prior_s)
            / (self.weight_squares + REGRESSION_PRIOR);
        learned_s.clamp(0.0, 2.0 * prior_s)
    }

    /// Returns the expected time as a function of the load.
    pub fn curve(&self, now: Duration) -> TimeCurve {
        let weights = self.points.map(|p| p.remaining(now, self.half_life));
        let means = self.monotone_means(&weights);
        let mut times_s = [0.0; POINTS];
        // The nearest known mean at this load or a higher one bounds what is extrapolated.
        let mut bound_s = f64::INFINITY;
        let mut bounds_s = [f64::INFINITY; POINTS];
        for i in (0..POINTS).rev() {
            bound_s = means[i].unwrap_or(bound_s);
            bounds_s[i] = bound_s;
        }
        let mut below_s = 0.0;
        for i in 0..POINTS {
            let prior_s = match i {
                0 => PRIOR_TIME_S,
                _ => below_s + prior_rise_s(i),
            };
            let prior_s = prior_s.min(bounds_s[i]);
            let time_s = means[i].map_or(prior_s, |mean_s| {
                (mean_s * weights[i] + prior_s * PRIOR_SAMPLES) / (weights[i] + PRIOR_SAMPLES)
            });
            below_s = time_s.max(below_s);
            times_s[i] = below_s;
        }
        TimeCurve {
            times_s,
            mean_weight: self.mean_weight,
            per_weight_s: self.per_weight_s(),
            lag_factor: self.lag.factor(now),
        }
    }

    /// Returns the means at the points that are known, as the monotone sequence with the least
    /// weighted squared difference from them (pool adjacent violators).
    fn monotone_means(&self, weights: &[f64; POINTS]) -> [Option<f64>; POINTS] {
        // Sum of times, weight and first point of each pool.
        let mut pools = [(0.0, 0.0, 0); POINTS];
        let mut count = 0;
        for i in (0..POINTS).filter(|&i| weights[i] >= MIN_SAMPLES) {
            let mut pool = (self.points[i].mean_s * weights[i], weights[i], i);
            while count > 0 && pools[count - 1].0 * pool.1 > pool.0 * pools[count - 1].1 {
                let last = pools[count - 1];
                pool = (last.0 + pool.0, last.1 + pool.1, last.2);
                count -= 1;
            }
            pools[count] = pool;
            count += 1;
        }
        let mut means = [None; POINTS];
        for i in (0..POINTS).filter(|&i| weights[i] >= MIN_SAMPLES) {
            let pool = pools[..count].iter().rev().find(|pool| pool.2 <= i);
            means[i] = pool.map(|pool| pool.0 / pool.1);
        }
        means
    }
}

impl Lag {
    /// Returns the part that is left of the sums.
    fn retention(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        (-age / LAG_HALF_LIFE.as_secs_f64()).exp2()
    }

    fn record(&mut self, now: Duration, observed_s: f64, expected_s: f64) {
        let retention = self.retention(now);
        // A request that was sent long ago says little about loads that are known now.
        let part = (-observed_s / LAG_HALF_LIFE.as_secs_f64()).exp2();
        self.observed_s = self.observed_s * retention + observed_s * part;
        self.expected_s = self.expected_s * retention + expected_s * part;
        self.updated_at = self.updated_at.max(now);
    }

    fn factor(&self, now: Duration) -> f64 {
        let retention = self.retention(now);
        let expected_s = self.expected_s * retention + LAG_PRIOR_S;
        ((self.observed_s * retention + LAG_PRIOR_S) / expected_s).clamp(1.0, MAX_LAG_FACTOR)
    }
}

impl Point {
    /// Returns the weight that the mean still has, in responses.
    fn remaining(&self, now: Duration, half_life: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.samples * (-age / half_life.as_secs_f64().max(0.001)).exp2()
    }

    /// Adds a part of a response.
    fn record(&mut self, now: Duration, half_life: Duration, time_s: f64, part: f64) {
        let known = self.remaining(now, half_life).min(MAX_SAMPLES - part);
        self.mean_s = (self.mean_s * known + time_s * part) / (known + part);
        self.samples = known + part;
        self.updated_at = self.updated_at.max(now);
    }
}

impl TimeCurve {
    /// Returns the expected time of a request, given that its load is known late; 60 s if its speed
    /// factor is not a number.
    pub fn expected(&self, ahead: LoadAhead) -> Duration {
        let time = Duration::try_from_secs_f64(self.time_s(ahead) * self.lag_factor);
        time.unwrap_or(Duration::from_secs_f64(MAX_TIME_S))
    }

    /// Returns the expected time of a request at the same endpoint without other load.
    pub fn idle(&self, ahead: LoadAhead) -> Duration {
        let time_s = self.time_s(LoadAhead { load: 0.0, ..ahead });
        Duration::try_from_secs_f64(time_s).unwrap_or(Duration::from_secs_f64(MAX_TIME_S))
    }

    /// Returns the time of a request in seconds if its load is as known; endpoints are compared by
    /// it.
    pub fn time_s(&self, ahead: LoadAhead) -> f64 {
        let time_s = self.mean_weight_time_s(ahead.load);
        let own_s = self.per_weight_s * (ahead.weight - self.mean_weight);
        (time_s + own_s).clamp(time_s * MIN_TIME_FRACTION, time_s + MAX_TIME_S) * ahead.speed_factor
    }

    fn mean_weight_time_s(&self, load: f64) -> f64 {
        let (index, fraction) = position(load);
        let last = POINTS - 1;
        match index {
            _ if index >= last => {
                let excess = (load - last as f64 * POINT_SPACING).clamp(0.0, 1e4);
                self.times_s[last] + excess * READ_TIME_PER_WEIGHT.as_secs_f64()
            }
            _ => {
                let (low_s, high_s) = (self.times_s[index], self.times_s[index + 1]);
                low_s + (high_s - low_s) * fraction
            }
        }
    }

    /// Returns the load up to which requests hardly wait at an endpoint of usual speed: there they
    /// take twice as long as at an idle one.
    pub fn knee_load(&self) -> f64 {
        let idle_s = self.times_s[0];
        let waiting_s = (idle_s * KNEE_TIME_FACTOR).max(idle_s + MIN_KNEE_WAIT_S);
        let above = self.times_s.iter().position(|time_s| *time_s >= waiting_s);
        let above = above.filter(|index| *index > 0);
        above.map_or((POINTS - 1) as f64 * POINT_SPACING, |index| {
            let (low_s, high_s) = (self.times_s[index - 1], self.times_s[index]);
            let fraction = (waiting_s - low_s) / (high_s - low_s);
            ((index - 1) as f64 + fraction) * POINT_SPACING
        })
    }
}

/// Returns the point at or below a load and the fraction of the way to the next one.
fn position(load: f64) -> (usize, f64) {
    // `max` also replaces a load that is not a number.
    let position = (load / POINT_SPACING).max(0.0).min((POINTS - 1) as f64);
    let index = position as usize;
    (index, position - index as f64)
}

/// Returns by how many seconds the time at a point exceeds that at the one below if no response
/// shows it.
fn prior_rise_s(index: usize) -> f64 {
    let load = index as f64 * POINT_SPACING;
    let rise = (load - PRIOR_KNEE_LOAD).clamp(0.0, POINT_SPACING);
    rise * READ_TIME_PER_WEIGHT.as_secs_f64()
}
