//! What this node knows of one endpoint.

use crate::request::LoadReport;
use oatdale_config::VersionKey;
use std::collections::VecDeque;
use std::time::Duration;

/// How many changes of the own load are kept to correct lagging reports.
const MAX_HISTORY_ENTRIES: usize = 64;

/// Failures in a row after which an endpoint is left alone for a while.
const MAX_TOLERATED_FAILURES: u32 = 2;

/// The first pause after failures; each further failure doubles it.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// The longest pause after failures.
const MAX_BACKOFF: Duration = Duration::from_secs(16);

/// The weight of a new answer in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Load, health and pace of one endpoint, as far as this node has seen.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointState {
    /// Takes nothing new.
    pub(crate) leaving: bool,
    /// Versions it reports as loaded; `None` trusts the configuration.
    pub(crate) holds: Option<Vec<VersionKey>>,
    /// Requests of this node that run there.
    pub(crate) running: u32,
    /// Requests of other nodes, worked out from the last report.
    others_load: f64,
    /// Whether the last report told of requests waiting there.
    pub(crate) queued: bool,
    /// Requests of this node that ran there when the last report was made.
    own_at_report: Option<u32>,
    /// Rounds this node's part of free room up or down, anew with each report; from 0 to 1.
    dither: f64,
    running_history: VecDeque<(Duration, u32)>,
    consecutive_failures: u32,
    backoff_until: Duration,
    failure_share: f64,
    relative_latency: Option<f64>,
}

impl EndpointState {
    /// Requests of other nodes there, by the last report.
    pub(crate) fn others_load(&self) -> f64 {
        self.others_load
    }

    /// Whether it may get one more request now.
    pub(crate) fn has_room(&self, now: Duration, concurrency: u32) -> bool {
        self.is_live(now) && self.load() + 1.0 <= f64::from(concurrency)
    }

    /// Whether a request that must leave room for others may go there.
    ///
    /// `share` is this node's part of all the load on the pool. Every node sees the same free
    /// room in a report; if each filled it, the endpoint would get as many requests too many as
    /// there are nodes. So a node refills what it frees itself and takes its part of the rest.
    pub(crate) fn has_room_for_surge(&self, now: Duration, capacity: u32, share: f64) -> bool {
        let Some(own_at_report) = self.own_at_report else {
            return self.has_room(now, capacity);
        };
        let reported = self.others_load + f64::from(own_at_report);
        let room_share = (f64::from(capacity) - reported) * share + self.dither;
        let allowed = f64::from(own_at_report) + room_share.floor();
        self.has_room(now, capacity) && f64::from(self.running + 1) <= allowed
    }

    /// Whether it is worth asking at all; after a pause a single request tries it.
    pub(crate) fn is_live(&self, now: Duration) -> bool {
        !self.leaving
            && match self.consecutive_failures {
                consecutive_failures if consecutive_failures <= MAX_TOLERATED_FAILURES => true,
                _ => now >= self.backoff_until && self.running == 0,
            }
    }

    /// When its pause after failures ends, if it is in one.
    pub(crate) fn backoff_end(&self, now: Duration) -> Option<Duration> {
        let is_backing_off = !self.leaving
            && self.consecutive_failures > MAX_TOLERATED_FAILURES
            && now < self.backoff_until;
        is_backing_off.then_some(self.backoff_until)
    }

    /// Requests that it runs, by its last report and what this node did since.
    pub(crate) fn load(&self) -> f64 {
        self.others_load + f64::from(self.running)
    }

    /// The expected time to the first byte of one more request, in seconds of no fixed scale.
    ///
    /// `usual` stands in for an endpoint that has not answered yet.
    pub(crate) fn score(&self, concurrency: u32, default_latency: f64) -> f64 {
        let load_factor = 1.0 + self.load() / f64::from(concurrency.max(1));
        let relative_latency = self.relative_latency.unwrap_or(default_latency);
        let failure_factor = 1.0 + 10.0 * self.failure_share;
        relative_latency * load_factor * failure_factor
    }

    /// Notes that this node sent it a request.
    pub(crate) fn sent(&mut self, now: Duration) {
        self.running += 1;
        self.record_running(now);
    }

    /// Notes that one of this node's requests is over there.
    pub(crate) fn over(&mut self, now: Duration) {
        self.running = self.running.saturating_sub(1);
        self.record_running(now);
    }

    /// Notes an answer and how its time to the first byte compares to the usual one.
    pub(crate) fn answered(&mut self, relative: Option<f64>) {
        self.consecutive_failures = 0;
        self.failure_share *= 1.0 - SAMPLE_WEIGHT;
        if let Some(relative) = relative {
            let old = self.relative_latency.unwrap_or(relative);
            self.relative_latency = Some(old + SAMPLE_WEIGHT * (relative - old));
        }
    }

    /// Notes a failure.
    pub(crate) fn failed(&mut self, now: Duration) {
        self.consecutive_failures += 1;
        self.failure_share += SAMPLE_WEIGHT * (1.0 - self.failure_share);
        let doublings = self
            .consecutive_failures
            .saturating_sub(MAX_TOLERATED_FAILURES + 1)
            .min(8);
        self.backoff_until = now + (INITIAL_BACKOFF * (1 << doublings)).min(MAX_BACKOFF);
    }

    /// Takes in a report, less what this node itself had there when the report was made.
    ///
    /// A report that counted this node's own requests twice, or requests that have ended since,
    /// would make each node flee and return to an endpoint in step with the reports.
    pub(crate) fn report(&mut self, now: Duration, report: LoadReport, dither: f64) {
        let reported_at = now.saturating_sub(report.age);
        let own = self.running_at(reported_at);
        let total = f64::from(report.running + report.waiting);
        self.others_load = (total - f64::from(own)).max(0.0);
        self.queued = report.waiting > 0;
        self.own_at_report = Some(own);
        self.dither = dither;
    }

    fn running_at(&self, time: Duration) -> u32 {
        let previous = self
            .running_history
            .iter()
            .rev()
            .find(|(at, _)| *at <= time);
        match (previous, self.running_history.front()) {
            (Some(&(_, running)), _) => running,
            (None, Some(_)) => 0,
            (None, None) => self.running,
        }
    }

    fn record_running(&mut self, now: Duration) {
        if self.running_history.len() == MAX_HISTORY_ENTRIES {
            self.running_history.pop_front();
        }
        self.running_history.push_back((now, self.running));
    }
}
