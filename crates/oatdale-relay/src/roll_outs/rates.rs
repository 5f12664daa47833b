//! Request rates of a node by service.

use oatdale_policy::relay::Rate;
use std::collections::HashMap;
use std::time::Duration;

/// Averaging time of the request rate; long because client traffic comes in waves.
const MEMORY: Duration = Duration::from_secs(5);

/// Averaging time of the recent rate; short enough to show the start of a burst.
const SHORT_MEMORY: Duration = Duration::from_millis(1_200);

/// Requests per second by service.
#[derive(Debug, Default)]
pub(super) struct Rates {
    by_service: HashMap<String, Requests>,
}

#[derive(Clone, Copy, Debug)]
struct Requests {
    rate: Rate,
    recent: Rate,
    since: Duration,
}

impl Rates {
    pub(super) fn add(&mut self, now: Duration, service: &str) {
        let new = || Requests {
            rate: Rate::new(now, MEMORY),
            recent: Rate::new(now, SHORT_MEMORY),
            since: now,
        };
        let requests = self.by_service.entry(service.to_owned());
        let requests = requests.or_insert_with(new);
        requests.rate.add(now);
        requests.recent.add(now);
    }

    pub(super) fn get(&self, now: Duration, service: &str) -> f64 {
        let requests = self.by_service.get(service);
        requests.map_or(0.0, |r| r.a_second(now))
    }

    /// Returns the requests per second within about the last second.
    pub(super) fn recent(&self, now: Duration, service: &str) -> f64 {
        let requests = self.by_service.get(service);
        requests.map_or(0.0, |r| r.recent.get(now))
    }
}

impl Requests {
    /// Returns the average rate, corrected for the time before the first request. Without the
    /// correction, a node that has just started would underestimate the load of its service.
    fn a_second(&self, now: Duration) -> f64 {
        let known = now.saturating_sub(self.since).as_secs_f64() / MEMORY.as_secs_f64();
        self.rate.get(now) / (1.0 - (-known.max(0.05)).exp())
    }
}
