//! Health of an endpoint, derived from its responses.

use std::time::Duration;

/// Samples that the failure share averages: enough to tell a failure rate of one in three from
/// chance, few enough to notice a recovery within about ten responses.
const AVERAGED_SAMPLES: f64 = 8.0;

/// Failure share above which an endpoint counts as failing and gets few requests. A service of
/// which one call in seven fails in normal operation stays below it.
const FAILING_SHARE: f64 = 0.3;

/// Ejection time after a failure that suggests that the endpoint is unreachable; doubled by each
/// further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);

/// Longest ejection time: a crashed endpoint is back within seconds.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// Recent failures of an endpoint.
///
/// An endpoint may pass its health check and still fail requests, or hang without closing its
/// connections. The state is shared by all requests, so that a single failure suffices to eject the
/// endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    /// Moving average of failed responses, from 0 to 1.
    failure_share: f64,
    /// Consecutive failures to reach the endpoint.
    consecutive_unreachable: u32,
    /// End of the ejection, as time since the start of the process.
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
    /// Records a response, successful or failed.
    pub fn record_response(&mut self, is_success: bool) {
        let sample = if is_success { 0.0 } else { 1.0 };
        self.failure_share += (sample - self.failure_share) / AVERAGED_SAMPLES;
        self.consecutive_unreachable = 0;
    }

    /// Records that no response came: the connection failed, broke or stayed silent.
    pub fn record_no_response(&mut self, now: Duration) {
        self.failure_share += (1.0 - self.failure_share) / AVERAGED_SAMPLES;
        let backoff = INITIAL_BACKOFF * 2_u32.saturating_pow(self.consecutive_unreachable.min(4));
        self.consecutive_unreachable += 1;
        self.ejected_until = now + backoff.min(MAX_BACKOFF);
    }

    /// Whether the endpoint should get no request now while others can take it.
    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    /// Records that a response is late and may never come. For requests that may be sent only once,
    /// the timeout would reveal this only a second later.
    pub fn record_late_response(&mut self) {
        self.failure_share += (1.0 - self.failure_share) / AVERAGED_SAMPLES;
    }

    /// Whether the endpoint fails a large share of its requests.
    pub fn is_failing(&self) -> bool {
        self.failure_share > FAILING_SHARE
    }

    /// Returns the factor by which the endpoint's load is multiplied when endpoints are compared: a
    /// failing endpoint is used less, but often enough to notice its recovery.
    pub fn load_factor(&self) -> f64 {
        match self.is_failing() {
            true => 1.0 + 10.0 * self.failure_share,
            false => 1.0,
        }
    }
}
