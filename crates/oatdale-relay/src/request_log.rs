//! Logs and counts how each request ended.

use crate::conn_tracker::ConnTracker;
use crate::cx::Cx;
use std::sync::Arc;
use tokio::time::Instant;

/// Reports the end of a request when dropped: writes its log line, counts it and updates the
/// connection's state.
pub(crate) struct RequestLog<W> {
    cx: Arc<Cx<W>>,
    tracker: ConnTracker,
    arrival: Instant,
    id: String,
    /// Log fields such as route, service and endpoint, as far as they are known.
    pub(crate) fields: String,
    outcome: Option<String>,
}

impl<W> RequestLog<W> {
    pub(crate) fn new(
        cx: Arc<Cx<W>>,
        tracker: ConnTracker,
        arrival: Instant,
        id: Option<&str>,
    ) -> Self {
        RequestLog {
            cx,
            tracker,
            arrival,
            id: id.unwrap_or("-").to_owned(),
            fields: String::new(),
            outcome: None,
        }
    }

    /// Sets how the request ended.
    pub(crate) fn set_outcome(&mut self, outcome: &str) {
        self.outcome = Some(outcome.to_owned());
    }
}

impl<W> Drop for RequestLog<W> {
    fn drop(&mut self) {
        // If no outcome was set, the caller closed the connection first.
        let outcome = self.outcome.as_deref().unwrap_or("caller-left");
        log::info!(
            target: "request",
            "event=request id={} {}end={outcome:?} took_ms={}",
            self.id, self.fields, self.arrival.elapsed().as_millis()
        );
        self.cx
            .metrics
            .requests
            .with_label_values(&[label(outcome)])
            .inc();
        self.tracker.response_ended();
    }
}

/// Returns the request counter's label for an outcome; the log lines have the details.
fn label(outcome: &str) -> &str {
    match outcome {
        "complete" | "caller-left" => outcome,
        outcome if outcome.starts_with("refused") => "refused",
        _ => "failed",
    }
}
