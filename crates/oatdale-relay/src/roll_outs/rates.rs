//! Request rates of a node by service.

use oatdale_policy::relay::Rate;
use std::collections::HashMap;
use std::time::Duration;

/// Averaging time of the request rate; long because callers' traffic comes in waves.
const AVERAGING_TIME: Duration = Duration::from_secs(5);

/// Averaging time of the recent rate; short enough to show the start of a burst.
const RECENT_AVERAGING_TIME: Duration = Duration::from_millis(1_200);

/// Requests per second by service.
#[derive(Debug, Default)]
pub(super) struct Rates {
    by_service: HashMap<String, ServiceRates>,
}

#[derive(Clone, Copy, Debug)]
struct ServiceRates {
    rate: Rate,
    recent: Rate,
    first_request: Duration,
}

impl Rates {
    pub(super) fn add(&mut self, now: Duration, service: &str) {
        let new = || ServiceRates {
            rate: Rate::new(now, AVERAGING_TIME),
            recent: Rate::new(now, RECENT_AVERAGING_TIME),
            first_request: now,
        };
        let rates = self.by_service.entry(service.to_owned());
        let rates = rates.or_insert_with(new);
        rates.rate.add(now);
        rates.recent.add(now);
    }

    pub(super) fn get(&self, now: Duration, service: &str) -> f64 {
        let rates = self.by_service.get(service);
        rates.map_or(0.0, |r| r.per_second(now))
    }

    /// Returns the requests per second within about the last second.
    pub(super) fn recent(&self, now: Duration, service: &str) -> f64 {
        let rates = self.by_service.get(service);
        rates.map_or(0.0, |r| r.recent.get(now))
    }
}

impl ServiceRates {
    /// Returns the average rate, corrected for the time before the first request. Without the
    /// correction, a node that has just started would underestimate the load of its service.
    fn per_second(&self, now: Duration) -> f64 {
        let windows =
            now.saturating_sub(self.first_request).as_secs_f64() / AVERAGING_TIME.as_secs_f64();
        self.rate.get(now) / (1.0 - (-windows.max(0.05)).exp())
    }
}
