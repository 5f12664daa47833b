//! Metrics of one relay.

use crate::traffic::Traffic;
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

/// Upper bounds of the latency histogram buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 5.0, 15.0,
];

/// All of a relay's metrics.
pub(crate) struct Metrics {
    registry: Registry,
    /// Requests by result.
    pub(crate) requests: IntCounterVec,
    /// Attempts beyond the first of each request.
    pub(crate) retries: IntCounter,
    /// Responses discarded in favor of a larger model's.
    pub(crate) escalations: IntCounter,
    /// Decisions by spare capacity about answers with a low confidence, by outcome.
    pub(crate) escalation_decisions: IntCounterVec,
    /// Streams that another endpoint resumed.
    pub(crate) resumed: IntCounter,
    /// Endpoints that crashed while this node had requests in flight there.
    pub(crate) crashes: IntCounter,
    /// Requests in quarantine because they crash endpoints.
    pub(crate) quarantined: IntGauge,
    /// Failure domains that operators have evacuated.
    pub(crate) evacuated: IntGauge,
    /// Restores of the key-value service from an older copy.
    pub(crate) restores: IntCounter,
    /// Requests sent to endpoints that had stated a limit on their requests, by purpose.
    pub(crate) limited: IntCounterVec,
    /// Requests for permits to send to limited endpoints, by outcome.
    pub(crate) permits: IntCounterVec,
    /// Rejections by endpoints that must not reject many, by whether a permit was needed.
    pub(crate) rejections: IntCounterVec,
    /// Responses that reject a request or belong to another one, by the id in them.
    pub(crate) rejected_responses: IntCounterVec,
    /// Checks whether this node reaches a service, by what they could connect to.
    pub(crate) reach_checks: IntCounterVec,
    /// Services of which this node reaches no endpoint.
    pub(crate) unreachable_services: IntGauge,
    /// Requests forwarded to other nodes, by outcome.
    pub(crate) forwarded: IntCounterVec,
    /// Requests that other nodes forwarded to this one.
    pub(crate) forwarded_here: IntCounter,
    /// Requests that wait until an endpoint has capacity, by service and urgency.
    pub(crate) waiting: IntGaugeVec,
    /// Time for which requests waited for capacity, by service and urgency.
    pub(crate) waited: HistogramVec,
    /// Requests refused for lack of capacity, by reason, service and urgency.
    pub(crate) overloaded: IntCounterVec,
    /// Announcements of endpoints that this version does not know.
    pub(crate) unknown_announcements: IntCounter,
    /// Endpoints with an estimate of their speed.
    pub(crate) endpoint_speeds: IntGauge,
    /// Endpoints that are considered slow.
    pub(crate) slow_endpoints: IntGauge,
    /// Samples of the speeds of endpoints.
    pub(crate) speed_samples: IntCounter,
    /// Estimates received from other nodes, by what became of them.
    pub(crate) speed_estimates: IntCounterVec,
    /// Time to the head of the forwarded response, in seconds.
    pub(crate) first_byte: Histogram,
    /// Version of the active configuration.
    pub(crate) version: IntGauge,
    /// Known endpoints.
    pub(crate) endpoints: IntGauge,
    /// Open connections of callers.
    pub(crate) connections: IntGauge,
    /// In-flight requests.
    pub(crate) in_flight: IntGauge,
    /// 1 if the key-value service responds, otherwise 0.
    pub(crate) store: IntGauge,
    /// Messages to and from other nodes and the key-value service.
    pub(crate) traffic: Traffic,
}

impl Metrics {
    pub(crate) fn new(traffic: Traffic) -> prometheus::Result<Self> {
        let registry = Registry::new_custom(Some("oatdale_relay".to_owned()), None)?;
        let opts = Opts::new("requests_total", "Requests by how they ended");
        let limited = Opts::new(
            "limited_requests_total",
            "Requests sent to endpoints that state a limit",
        );
        let escalation_decisions = Opts::new(
            "escalation_decisions_total",
            "Answers with a low confidence, by whether a larger model makes them again",
        );
        let rejections = Opts::new(
            "brittle_rejections_total",
            "Rejections by endpoints that fail if they reject many",
        );
        let rejected_responses = Opts::new(
            "rejected_responses_total",
            "Responses that reject a request or belong to another one, by the id in them",
        );
        let permits = Opts::new("permits_total", "Requests for permits by outcome");
        let reach_checks = Opts::new(
            "reach_checks_total",
            "Checks whether a service can be reached, by what was reached",
        );
        let forwarded = Opts::new(
            "forwarded_total",
            "Requests forwarded to other nodes, by outcome",
        );
        let speed_estimates = Opts::new(
            "speed_estimates_total",
            "Estimates of endpoint speeds from other nodes, by outcome",
        );
        let histogram = HistogramOpts::new("first_byte_seconds", "Time to an answer's head")
            .buckets(LATENCY_BUCKETS_S.to_vec());
        let waiting = Opts::new("waiting_requests", "Requests that wait for capacity");
        let waited = HistogramOpts::new("waited_seconds", "Time for which requests waited")
            .buckets(LATENCY_BUCKETS_S.to_vec());
        let overloaded = Opts::new(
            "overload_refusals_total",
            "Requests refused for lack of capacity, by reason",
        );
        let metrics = Metrics {
            waiting: IntGaugeVec::new(waiting, &["service", "urgency"])?,
            waited: HistogramVec::new(waited, &["service", "urgency"])?,
            overloaded: IntCounterVec::new(overloaded, &["reason", "service", "urgency"])?,
            requests: IntCounterVec::new(opts, &["end"])?,
            retries: IntCounter::new("repeats_total", "Attempts beyond the first")?,
            escalations: IntCounter::new("escalations_total", "Answers made again larger")?,
            escalation_decisions: IntCounterVec::new(escalation_decisions, &["outcome"])?,
            resumed: IntCounter::new(
                "resumed_total",
                "Streams that another endpoint went on with",
            )?,
            crashes: IntCounter::new(
                "endpoint_crashes_total",
                "Endpoints that crashed under requests",
            )?,
            quarantined: IntGauge::new(
                "quarantined_requests",
                "Requests refused for crashing endpoints",
            )?,
            evacuated: IntGauge::new("evacuated_domains", "Failure domains evacuated")?,
            restores: IntCounter::new("store_restores_total", "Restores of the key-value service")?,
            limited: IntCounterVec::new(limited, &["purpose"])?,
            permits: IntCounterVec::new(permits, &["outcome"])?,
            rejections: IntCounterVec::new(rejections, &["permit"])?,
            rejected_responses: IntCounterVec::new(rejected_responses, &["response_id"])?,
            reach_checks: IntCounterVec::new(reach_checks, &["reached"])?,
            unreachable_services: IntGauge::new(
                "unreachable_services",
                "Services of which no endpoint can be reached",
            )?,
            forwarded: IntCounterVec::new(forwarded, &["outcome"])?,
            forwarded_here: IntCounter::new(
                "received_from_nodes_total",
                "Requests that other nodes forwarded to this one",
            )?,
            unknown_announcements: IntCounter::new(
                "unknown_announcements_total",
                "Announcements of endpoints that are not known",
            )?,
            endpoint_speeds: IntGauge::new(
                "endpoint_speeds",
                "Endpoints with an estimate of their speed",
            )?,
            slow_endpoints: IntGauge::new("slow_endpoints", "Endpoints considered slow")?,
            speed_samples: IntCounter::new(
                "speed_samples_total",
                "Samples of the speeds of endpoints",
            )?,
            speed_estimates: IntCounterVec::new(speed_estimates, &["outcome"])?,
            first_byte: Histogram::with_opts(histogram)?,
            version: IntGauge::new("configuration_version", "Configuration in force")?,
            endpoints: IntGauge::new("endpoints", "Endpoints known")?,
            connections: IntGauge::new("connections", "Open connections of callers")?,
            in_flight: IntGauge::new("requests_under_way", "Requests under way")?,
            store: IntGauge::new("store_up", "Whether the key-value service answers")?,
            traffic,
            registry,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> prometheus::Result<()> {
        let collectors: [Box<dyn prometheus::core::Collector>; 31] = [
            Box::new(self.requests.clone()),
            Box::new(self.retries.clone()),
            Box::new(self.escalations.clone()),
            Box::new(self.escalation_decisions.clone()),
            Box::new(self.resumed.clone()),
            Box::new(self.crashes.clone()),
            Box::new(self.quarantined.clone()),
            Box::new(self.evacuated.clone()),
            Box::new(self.restores.clone()),
            Box::new(self.limited.clone()),
            Box::new(self.permits.clone()),
            Box::new(self.rejections.clone()),
            Box::new(self.rejected_responses.clone()),
            Box::new(self.reach_checks.clone()),
            Box::new(self.unreachable_services.clone()),
            Box::new(self.forwarded.clone()),
            Box::new(self.forwarded_here.clone()),
            Box::new(self.unknown_announcements.clone()),
            Box::new(self.endpoint_speeds.clone()),
            Box::new(self.slow_endpoints.clone()),
            Box::new(self.speed_samples.clone()),
            Box::new(self.speed_estimates.clone()),
            Box::new(self.first_byte.clone()),
            Box::new(self.version.clone()),
            Box::new(self.endpoints.clone()),
            Box::new(self.connections.clone()),
            Box::new(self.in_flight.clone()),
            Box::new(self.store.clone()),
            Box::new(self.waiting.clone()),
            Box::new(self.waited.clone()),
            Box::new(self.overloaded.clone()),
        ];
        collectors
            .into_iter()
            .chain(self.traffic.collectors())
            .try_for_each(|c| self.registry.register(c))
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut text = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => text,
            Err(err) => {
                log::warn!(target: "metrics", "event=encode_failed err={err}");
                Vec::new()
            }
        }
    }
}
