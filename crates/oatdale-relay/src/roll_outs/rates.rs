//! How many requests a node gets for each service.

use oatdale_policy::relay::Rate;
use std::collections::HashMap;
use std::time::Duration;

/// Time over which the rate of requests is averaged: callers come in waves.
const MEMORY: Duration = Duration::from_secs(5);

/// Time over which the rate is averaged that shows a burst while it begins.
const SHORT_MEMORY: Duration = Duration::from_millis(1_200);

/// Requests a second by service.
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

    /// Requests a second within the last second or so.
    pub(super) fn recent(&self, now: Duration, service: &str) -> f64 {
        let requests = self.by_service.get(service);
        requests.map_or(0.0, |r| r.recent.get(now))
    }
}

impl Requests {
    /// The average knows nothing of the time before the first request, which would make a node that
    /// has just started take its service for a quiet one.
    fn a_second(&self, now: Duration) -> f64 {
        let known = now.saturating_sub(self.since).as_secs_f64() / MEMORY.as_secs_f64();
        self.rate.get(now) / (1.0 - (-known.max(0.05)).exp())
    }
}
