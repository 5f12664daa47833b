//! A node's view of one endpoint.

use crate::request::LoadReport;
use oatdale_config::VersionKey;
use std::collections::VecDeque;
use std::time::Duration;

/// Changes of this node's own load that are kept to correct lagging reports.
const MAX_HISTORY_ENTRIES: usize = 64;

/// Consecutive failures up to which an endpoint still gets requests; further ones cause a back-off.
const MAX_TOLERATED_FAILURES: u32 = 2;

/// First back-off time; each further failure doubles it.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Longest back-off time.
const MAX_BACKOFF: Duration = Duration::from_secs(16);

/// Weight of a new answer in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Load, health and latency of one endpoint, as observed by this node.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointState {
    /// Whether the endpoint is leaving and accepts no new requests.
    pub(crate) leaving: bool,
    /// Versions that it reports as loaded; `None` stands for those of the configuration.
    pub(crate) loaded_versions: Option<Vec<VersionKey>>,
    /// In-flight requests of this node.
    pub(crate) running: u32,
    /// In-flight requests of other nodes, derived from the last report.
    others_load: f64,
    /// Whether requests were queued there at the last report.
    pub(crate) queued: bool,
    /// In-flight requests of this node when the last report was made.
    own_at_report: Option<u32>,
    /// Random number from 0 to 1, new with each report, by which this node's share of the free
    /// capacity is rounded up or down.
    dither: f64,
    /// Changes of `running`, oldest first.
    running_history: VecDeque<(Duration, u32)>,
    consecutive_failures: u32,
    backoff_until: Duration,
    failure_share: f64,
    /// Moving average of the time to the first byte, relative to the usual one.
    relative_latency: Option<f64>,
}

impl EndpointState {
    /// Returns the in-flight requests of other nodes by the last report.
    pub(crate) fn others_load(&self) -> f64 {
        self.others_load
    }

    /// Whether the endpoint can take one more request now.
    pub(crate) fn has_room(&self, now: Duration, concurrency: u32) -> bool {
        self.is_available(now) && self.load() + 1.0 <= f64::from(concurrency)
    }

    /// Whether a request that must leave room for other services can go there.
    ///
    /// `share` is this node's share of all the load on the pool. Every node sees the same free
    /// capacity in a report; if each filled it, the excess requests would multiply by the number of
    /// nodes. So a node reuses the slots that its own requests free and takes its share of the
    /// rest.
    pub(crate) fn has_room_for_surge(&self, now: Duration, capacity: u32, share: f64) -> bool {
        let Some(own_at_report) = self.own_at_report else {
            return self.has_room(now, capacity);
        };
        let reported = self.others_load + f64::from(own_at_report);
        let room_share = (f64::from(capacity) - reported) * share + self.dither;
        let allowed = f64::from(own_at_report) + room_share.floor();
        self.has_room(now, capacity) && f64::from(self.running + 1) <= allowed
    }

    /// Whether the endpoint is available at all; after a back-off, a single request probes it.
    pub(crate) fn is_available(&self, now: Duration) -> bool {
        !self.leaving
            && match self.consecutive_failures {
                consecutive_failures if consecutive_failures <= MAX_TOLERATED_FAILURES => true,
                _ => now >= self.backoff_until && self.running == 0,
            }
    }

    /// Returns the end of the back-off after failures, if the endpoint is in one.
    pub(crate) fn backoff_end(&self, now: Duration) -> Option<Duration> {
        let is_backing_off = !self.leaving
            && self.consecutive_failures > MAX_TOLERATED_FAILURES
            && now < self.backoff_until;
        is_backing_off.then_some(self.backoff_until)
    }

    /// Returns the in-flight requests, by the last report and this node's changes since.
    pub(crate) fn load(&self) -> f64 {
        self.others_load + f64::from(self.running)
    }

    /// Returns the expected time to the first byte of one more request, on an arbitrary scale.
    ///
    /// `default_latency` stands in for an endpoint that has not answered yet.
    pub(crate) fn score(&self, concurrency: u32, default_latency: f64) -> f64 {
        let load_factor = 1.0 + self.load() / f64::from(concurrency.max(1));
        let relative_latency = self.relative_latency.unwrap_or(default_latency);
        let failure_factor = 1.0 + 10.0 * self.failure_share;
        relative_latency * load_factor * failure_factor
    }

    /// Records that this node sent it a request.
    pub(crate) fn record_sent(&mut self, now: Duration) {
        self.running += 1;
        self.record_running(now);
    }

    /// Records that a request of this node ended.
    pub(crate) fn record_end(&mut self, now: Duration) {
        self.running = self.running.saturating_sub(1);
        self.record_running(now);
    }

    /// Records an answer and its time to the first byte, relative to the usual one.
    pub(crate) fn record_answer(&mut self, first_byte_ratio: Option<f64>) {
        self.consecutive_failures = 0;
        self.failure_share *= 1.0 - SAMPLE_WEIGHT;
        if let Some(first_byte_ratio) = first_byte_ratio {
            let old = self.relative_latency.unwrap_or(first_byte_ratio);
            self.relative_latency = Some(old + SAMPLE_WEIGHT * (first_byte_ratio - old));
        }
    }

    /// Records a failure.
    pub(crate) fn record_failure(&mut self, now: Duration) {
        self.consecutive_failures += 1;
        self.failure_share += SAMPLE_WEIGHT * (1.0 - self.failure_share);
        let doublings = self
            .consecutive_failures
            .saturating_sub(MAX_TOLERATED_FAILURES + 1)
            .min(8);
        self.backoff_until = now + (INITIAL_BACKOFF * (1 << doublings)).min(MAX_BACKOFF);
    }

    /// Records a load report, less the requests that this node had there when it was made.
    ///
    /// Otherwise this node's requests would count twice, or still count after their end, and the
    /// load would oscillate: all nodes would avoid the endpoint and return to it in step with the
    /// reports.
    pub(crate) fn record_report(&mut self, now: Duration, report: LoadReport, dither: f64) {
        let reported_at = now.saturating_sub(report.age);
        let own = self.running_at(reported_at);
        let total = f64::from(report.running + report.waiting);
        self.others_load = (total - f64::from(own)).max(0.0);
        self.queued = report.waiting > 0;
        self.own_at_report = Some(own);
        self.dither = dither;
    }

    /// Returns this node's in-flight requests at an earlier time.
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
