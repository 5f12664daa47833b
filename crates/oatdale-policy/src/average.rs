//! Moving averages over time and over samples.

use std::time::Duration;

/// Events a second, averaged over a time constant.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    value: f64,
    updated_at: Duration,
    tau: f64,
}

impl Rate {
    /// A rate that forgets with the time constant `tau`.
    pub fn new(now: Duration, tau: Duration) -> Self {
        Rate {
            value: 0.0,
            updated_at: now,
            tau: tau.as_secs_f64(),
        }
    }

    /// Notes an event.
    pub fn add(&mut self, now: Duration) {
        self.value = self.get(now) + 1.0 / self.tau;
        self.updated_at = self.updated_at.max(now);
    }

    /// Events a second.
    pub fn get(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.value * (-elapsed / self.tau).exp()
    }
}

/// A mean over samples that forgets old ones; the first samples count in full.
#[derive(Clone, Copy, Debug)]
pub struct Mean {
    value: f64,
    samples: f64,
    max_samples: f64,
}

impl Mean {
    /// A mean that remembers about `memory` samples.
    pub fn new(max_samples: f64) -> Self {
        Mean {
            value: 0.0,
            samples: 0.0,
            max_samples,
        }
    }

    /// Notes a sample.
    pub fn add(&mut self, sample: f64) {
        self.samples = (self.samples + 1.0).min(self.max_samples);
        self.value += (sample - self.value) / self.samples;
    }

    /// The mean, or `default` before the first sample.
    pub fn get_or(&self, default: f64) -> f64 {
        match self.samples > 0.0 {
            true => self.value,
            false => default,
        }
    }

    /// How many samples it rests on.
    pub fn samples(&self) -> f64 {
        self.samples
    }
}
