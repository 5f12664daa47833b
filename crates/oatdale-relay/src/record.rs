//! Logs and counts how each request ended.

use crate::cx::Cx;
use crate::guard::ConnWatch;
use std::sync::Arc;
use tokio::time::Instant;

/// Reports the end of a request when dropped: writes its log line, counts it and updates the
/// connection's state.
pub(crate) struct Record<W> {
    cx: Arc<Cx<W>>,
    watch: ConnWatch,
    arrival: Instant,
    id: String,
    /// Log fields such as route, service and endpoint, as far as they are known.
    pub(crate) about: String,
    end: Option<String>,
}

impl<W> Record<W> {
    pub(crate) fn new(
        cx: Arc<Cx<W>>,
        watch: ConnWatch,
        arrival: Instant,
        id: Option<&str>,
    ) -> Self {
        cx.metrics.under_way.inc();
        Record {
            cx,
            watch,
            arrival,
            id: id.unwrap_or("-").to_owned(),
            about: String::new(),
            end: None,
        }
    }

    /// Sets how the request ended.
    pub(crate) fn end(&mut self, end: &str) {
        self.end = Some(end.to_owned());
    }
}

impl<W> Drop for Record<W> {
    fn drop(&mut self) {
        // If no end was set, the caller's connection closed first.
        let end = self.end.as_deref().unwrap_or("caller-left");
        log::info!(
            target: "request",
            "event=request id={} {}end={end:?} took_ms={}",
            self.id, self.about, self.arrival.elapsed().as_millis()
        );
        self.cx
            .metrics
            .requests
            .with_label_values(&[label(end)])
            .inc();
        self.cx.metrics.under_way.dec();
        self.watch.answered();
    }
}

/// Label of the request counter for an end; the log lines have the details.
fn label(end: &str) -> &str {
    match end {
        "complete" | "caller-left" => end,
        end if end.starts_with("refused") => "refused",
        _ => "failed",
    }
}
