//! Token bucket for a customer's request rate.

use std::time::Duration;

/// Time for which unused rate accumulates; bounds the size of a burst.
const BURST_WINDOW: Duration = Duration::from_secs(2);

/// Token bucket whose refill rate may change at any time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(crate) fn new(now: Duration, rate: f64) -> Self {
        TokenBucket {
            tokens: capacity(rate),
            refilled_at: now,
        }
    }

    /// Returns the time until a token is available; zero if one is available now.
    pub(crate) fn wait(&mut self, now: Duration, rate: f64) -> Duration {
        self.refill(now, rate);
        match 1.0 - self.tokens {
            missing if missing <= 0.0 => Duration::ZERO,
            missing => Duration::from_secs_f64((missing / rate.max(1e-3)).min(3600.0)),
        }
    }

    /// Takes one token, which [`TokenBucket::wait`] found to be available.
    pub(crate) fn take(&mut self) {
        self.tokens -= 1.0;
    }

    fn refill(&mut self, now: Duration, rate: f64) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate).min(capacity(rate));
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// Returns the largest number of tokens: at least one, or a rate below one request per
/// [`BURST_WINDOW`] would never admit any.
fn capacity(rate: f64) -> f64 {
    (rate * BURST_WINDOW.as_secs_f64()).max(1.0)
}
