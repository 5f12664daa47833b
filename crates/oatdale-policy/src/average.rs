//! Moving averages over time and over samples.

use std::time::Duration;

/// Exponential moving average of events per second.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    value: f64,
    updated_at: Duration,
    tau: f64,
}

impl Rate {
    /// Creates a rate that decays with the time constant `tau`.
    pub fn new(now: Duration, tau: Duration) -> Self {
        Rate {
            value: 0.0,
            updated_at: now,
            tau: tau.as_secs_f64(),
        }
    }

    /// Records an event.
    pub fn add(&mut self, now: Duration) {
        self.value = self.get(now) + 1.0 / self.tau;
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the events per second.
    pub fn get(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.value * (-elapsed / self.tau).exp()
    }
}

/// Moving mean over samples: the plain mean of the first ones, then an exponential moving average.
#[derive(Clone, Copy, Debug)]
pub struct Mean {
    value: f64,
    samples: f64,
    max_samples: f64,
}

impl Mean {
    /// Creates a mean over about the last `max_samples` samples.
    pub fn new(max_samples: f64) -> Self {
        Mean {
            value: 0.0,
            samples: 0.0,
            max_samples,
        }
    }

    /// Records a sample.
    pub fn add(&mut self, sample: f64) {
        self.samples = (self.samples + 1.0).min(self.max_samples);
        self.value += (sample - self.value) / self.samples;
    }

    /// Returns the mean, or `default` before the first sample.
    pub fn get_or(&self, default: f64) -> f64 {
        match self.samples > 0.0 {
            true => self.value,
            false => default,
        }
    }

    /// Returns the number of samples in the mean, at most `max_samples`.
    pub fn samples(&self) -> f64 {
        self.samples
    }
}
