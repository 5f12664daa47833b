//! Recognizes callers that return after a refusal.

use crate::relay::fingerprint::Fingerprint;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Maximum number of refused requests that are remembered.
const MAX_REFUSED: usize = 1_024;

/// How long a refused request is remembered: callers return within a third of their time.
const MEMORY: Duration = Duration::from_secs(10);

/// Part of the usual time of a route below which a caller counts as returning: it has spent the rest
/// on its first attempt.
const RETURNING_TIME_SHARE: f64 = 0.9;

/// Number of requests over which a route's usual time is averaged. So many callers are counted before
/// the first one that one caller with another time hardly changes it.
const USUAL_TIME_REQUESTS: f64 = 200.0;
const FIRST_TIME_REQUESTS: f64 = 10.0;

/// What a host knows of the callers that it or other hosts have refused.
#[derive(Clone, Debug, Default)]
pub struct ReturningCallers {
    refused: HashMap<Fingerprint, Duration>,
    by_time: VecDeque<(Duration, Fingerprint)>,
    /// Usual time that callers of a route wait.
    usual_times: HashMap<String, UsualTime>,
}

/// Mean time that the callers of a route wait.
#[derive(Clone, Copy, Debug)]
struct UsualTime {
    mean_s: f64,
    requests: f64,
}

impl UsualTime {
    fn new(time_s: f64) -> Self {
        UsualTime {
            mean_s: time_s,
            requests: FIRST_TIME_REQUESTS,
        }
    }

    fn add(&mut self, time_s: f64) {
        self.requests = (self.requests + 1.0).min(USUAL_TIME_REQUESTS);
        self.mean_s += (time_s - self.mean_s) / self.requests;
    }
}

impl ReturningCallers {
    /// Records that a request was refused.
    pub fn record_refused(&mut self, now: Duration, request: Fingerprint) {
        self.refused.insert(request, now);
        self.by_time.push_back((now, request));
        while self.by_time.len() > MAX_REFUSED {
            self.forget_oldest();
        }
        self.expire(now);
    }

    /// Whether a refused request is remembered, so that fingerprints are worth computing.
    pub fn has_refused(&mut self, now: Duration) -> bool {
        self.expire(now);
        !self.by_time.is_empty()
    }

    /// Whether a request was refused before at this host.
    pub fn was_refused(&self, request: Fingerprint) -> bool {
        self.refused.contains_key(&request)
    }

    /// Records the time that the caller of a new request waits, which counts up to the longest that
    /// its route allows, and returns whether it is so much shorter than usual on the route that the
    /// caller has probably been refused elsewhere.
    pub fn record_time(&mut self, route: &str, time: Duration, max_time: Duration) -> bool {
        let time_s = time.min(max_time).as_secs_f64();
        let usual = match self.usual_times.get_mut(route) {
            Some(usual) => usual,
            None => self
                .usual_times
                .entry(route.to_owned())
                .or_insert(UsualTime::new(time_s)),
        };
        let is_returning = time_s < usual.mean_s * RETURNING_TIME_SHARE;
        usual.add(time_s);
        is_returning
    }

    /// Drops the usual times of routes that the configuration no longer has.
    pub fn retain_routes(&mut self, is_known: impl Fn(&str) -> bool) {
        self.usual_times.retain(|route, _| is_known(route));
    }

    fn expire(&mut self, now: Duration) {
        let is_expired = |at: Duration| now >= at + MEMORY;
        while self.by_time.front().is_some_and(|(at, _)| is_expired(*at)) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((at, request)) = self.by_time.pop_front()
            && self.refused.get(&request) == Some(&at)
        {
            self.refused.remove(&request);
        }
    }
}
