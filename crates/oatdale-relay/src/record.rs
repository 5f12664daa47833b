//! How each request ended, for the log and the counters.

use crate::cx::Cx;
use crate::guard::ConnWatch;
use std::sync::Arc;
use tokio::time::Instant;

/// Notes how a request ends: a log line, counters, and the connection's state.
pub(crate) struct Record<W> {
    cx: Arc<Cx<W>>,
    watch: ConnWatch,
    arrival: Instant,
    id: String,
    /// Route, service, endpoint and so on, as far as they are known.
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

    /// Says how the request ended.
    pub(crate) fn end(&mut self, end: &str) {
        self.end = Some(end.to_owned());
    }
}

impl<W> Drop for Record<W> {
    fn drop(&mut self) {
        // Nobody said how it ended: its connection closed first.
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

/// The ends that are counted; the log lines have the details.
fn label(end: &str) -> &str {
    match end {
        "complete" | "caller-left" => end,
        end if end.starts_with("refused") => "refused",
        _ => "failed",
    }
}
