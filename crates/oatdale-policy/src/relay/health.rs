//! What answers tell of one endpoint's health.

use std::time::Duration;

/// Samples that the share of failures remembers: enough to tell one failure in three from chance,
/// few enough to notice a recovery within some ten answers.
const AVERAGED_SAMPLES: f64 = 8.0;

/// An endpoint that failed this share of its last answers is tried rarely; a service whose calls fail one
/// time in seven by themselves stays below it.
const FAILING_SHARE: f64 = 0.3;

/// How long an endpoint is left out after a failure that says that it may be unreachable; doubled
/// by each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);

/// The longest ejection: a crashed endpoint is back within seconds.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// An endpoint's recent failures.
///
/// An endpoint may pass its health check and still fail requests, or stop without closing its
/// connections. Shared by all requests, so that one failure is enough to eject the endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    /// Moving share of failed answers, from 0 to 1.
    failure_share: f64,
    /// Failures to reach it in a row.
    consecutive_unreachable: u32,
    /// Left out until then, as time since the process began.
    ejected_until: Duration,
}

impl Default for Health {
    fn default() -> Self {
        Health {
            failure_share: 0.0,
            consecutive_unreachable: 0,
            ejected_until: Duration::ZERO,
        }
    }
}

impl Health {
    /// Notes an answer that came, good or failed.
    pub fn answered(&mut self, good: bool) {
        let sample = if good { 0.0 } else { 1.0 };
        self.failure_share += (sample - self.failure_share) / AVERAGED_SAMPLES;
        self.consecutive_unreachable = 0;
    }

    /// Notes that no answer came: no connection, a broken one, or silence.
    pub fn silent(&mut self, now: Duration) {
        self.failure_share += (1.0 - self.failure_share) / AVERAGED_SAMPLES;
        let backoff = INITIAL_BACKOFF * 2_u32.saturating_pow(self.consecutive_unreachable.min(4));
        self.consecutive_unreachable += 1;
        self.ejected_until = now + backoff.min(MAX_BACKOFF);
    }

    /// Whether it should get no request now while others can take it.
    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    /// Notes that an answer is late, which may never come: for requests that are sent once only, the
    /// timeout would tell so a second later.
    pub fn late(&mut self) {
        self.failure_share += (1.0 - self.failure_share) / AVERAGED_SAMPLES;
    }

    /// Whether it fails much of what it gets.
    pub fn is_failing(&self) -> bool {
        self.failure_share > FAILING_SHARE
    }

    /// How many times its load counts when endpoints are compared: a failing one is used less, and
    /// still often enough to notice that it recovered.
    pub fn load_factor(&self) -> f64 {
        match self.is_failing() {
            true => 1.0 + 10.0 * self.failure_share,
            false => 1.0,
        }
    }
}
