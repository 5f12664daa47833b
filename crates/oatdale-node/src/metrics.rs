//! Prometheus metrics of one node.

use oatdale_config::Config;
use oatdale_policy::{RefusalReason, Snapshot};
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};
use std::time::Duration;

/// Upper bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.99, 2.5, 5.0, 15.0, 60.0,
];

/// A handle to the node's metrics.
#[derive(Clone)]
pub(crate) struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    refusals: IntCounterVec,
    attempts: IntCounter,
    retries: IntCounter,
    escalations: IntCounter,
    first_byte: Histogram,
    running: IntGaugeVec,
    waiting: IntGaugeVec,
    /// Revision in force.
    pub(crate) revision: IntGauge,
    /// Open connections of callers.
    pub(crate) connections: IntGauge,
    /// Requests under way.
    pub(crate) under_way: IntGauge,
    /// Bills that are not in the journal yet.
    pub(crate) bills_open: IntGauge,
    /// Answers that ended while fewer nodes than wanted held their bill.
    pub(crate) bills_unprotected: IntCounter,
    /// Other nodes that are alive.
    pub(crate) peers: IntGauge,
    /// Calls to the key-value service that failed.
    pub(crate) kv_errors: IntCounter,
    forwards: IntCounterVec,
    /// Reads of the platform's host list that failed.
    pub(crate) host_list_errors: IntCounter,
    /// Ratings that were asked for and did not come.
    pub(crate) rating_errors: IntCounter,
    /// Log lines that were dropped.
    pub(crate) log_dropped: IntGauge,
}

impl Metrics {
    /// Makes and registers all metrics.
    pub(crate) fn new() -> Metrics {
        let registry = Registry::new_custom(Some("oatdale".to_owned()), None)
            .expect("the prefix is a valid name");
        let make = Maker {
            registry: &registry,
        };
        Metrics {
            requests: make.counters(
                "requests_total",
                "Finished requests.",
                &["service", "status"],
            ),
            refusals: make.counters("refusals_total", "Refused requests.", &["reason"]),
            attempts: make.counter("attempts_total", "Attempts sent to endpoints."),
            retries: make.counter("retries_total", "Attempts after a request's first."),
            escalations: make.counter("escalations_total", "Cascade steps after the first."),
            first_byte: make.histogram("first_byte_seconds", "Time to an answer's first byte."),
            running: make.gauges("service_running", "Requests at endpoints.", &["service"]),
            waiting: make.gauges("service_waiting", "Requests that wait.", &["service"]),
            revision: make.gauge("config_revision", "Revision in force."),
            connections: make.gauge("connections", "Open connections of callers."),
            under_way: make.gauge("requests_under_way", "Requests under way."),
            bills_open: make.gauge("bills_open", "Bills that are not in the journal yet."),
            bills_unprotected: make.counter(
                "bills_unprotected_total",
                "Answers that ended while fewer nodes than wanted held their bill.",
            ),
            peers: make.gauge("peers_alive", "Other nodes that are alive."),
            kv_errors: make.counter("kv_errors_total", "Failed calls to the key-value service."),
            forwards: make.counters(
                "journal_forwards_total",
                "Calls to the nodes that append to the journal for all.",
                &["result"],
            ),
            host_list_errors: make.counter(
                "host_list_errors_total",
                "Reads of the platform's host list that failed.",
            ),
            rating_errors: make.counter(
                "rating_errors_total",
                "Ratings that were asked for and did not come.",
            ),
            log_dropped: make.gauge("log_lines_dropped", "Log lines that were dropped."),
            registry,
        }
    }

    /// Counts a finished request.
    pub(crate) fn finished(&self, service: &str, status: u16) {
        let status = status.to_string();
        self.requests
            .with_label_values(&[service, status.as_str()])
            .inc();
    }

    /// Counts a refusal.
    pub(crate) fn refused(&self, reason: RefusalReason) {
        let reason = format!("{reason:?}");
        self.refusals.with_label_values(&[reason.as_str()]).inc();
    }

    /// Counts a call to a node that appends for this one.
    pub(crate) fn forwarded(&self, result: &str) {
        self.forwards.with_label_values(&[result]).inc();
    }

    /// Counts an attempt.
    pub(crate) fn dispatched(&self, escalated: bool, attempt: u16) {
        self.attempts.inc();
        match (escalated, attempt) {
            (true, _) => self.escalations.inc(),
            (false, 2..) => self.retries.inc(),
            (false, _) => {}
        }
    }

    /// Records the time to an answer's first byte.
    pub(crate) fn first_byte(&self, after: Duration) {
        self.first_byte.observe(after.as_secs_f64());
    }

    /// Copies the router's gauges.
    pub(crate) fn router(&self, cfg: &Config, snapshot: &Snapshot) {
        for gauge in &snapshot.services {
            let name = cfg.services[gauge.service].name.as_str();
            self.running
                .with_label_values(&[name])
                .set(i64::from(gauge.running));
            self.waiting
                .with_label_values(&[name])
                .set(i64::try_from(gauge.waiting).unwrap_or(i64::MAX));
        }
    }

    /// All metrics in the text format.
    pub(crate) fn text(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut buf)
            .expect("a Vec takes every byte");
        buf
    }
}

/// Makes metrics in one registry; names and labels are constants, so failures are programming
/// errors that the first test shows.
struct Maker<'a> {
    registry: &'a Registry,
}

impl Maker<'_> {
    fn counter(&self, name: &str, help: &str) -> IntCounter {
        let metric = IntCounter::new(name, help).expect("a valid name");
        self.registry
            .register(Box::new(metric.clone()))
            .expect("a name used once");
        metric
    }

    fn counters(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        let metric = IntCounterVec::new(Opts::new(name, help), labels).expect("valid names");
        self.registry
            .register(Box::new(metric.clone()))
            .expect("a name used once");
        metric
    }

    fn gauge(&self, name: &str, help: &str) -> IntGauge {
        let metric = IntGauge::new(name, help).expect("a valid name");
        self.registry
            .register(Box::new(metric.clone()))
            .expect("a name used once");
        metric
    }

    fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
        let metric = IntGaugeVec::new(Opts::new(name, help), labels).expect("valid names");
        self.registry
            .register(Box::new(metric.clone()))
            .expect("a name used once");
        metric
    }

    fn histogram(&self, name: &str, help: &str) -> Histogram {
        let opts = HistogramOpts::new(name, help).buckets(LATENCY_BOUNDS.to_vec());
        let metric = Histogram::with_opts(opts).expect("ascending bounds");
        self.registry
            .register(Box::new(metric.clone()))
            .expect("a name used once");
        metric
    }
}
