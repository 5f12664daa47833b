//! State that an inference engine reports, and whether a request was lost there.

/// Work in progress as reported by an engine, with a delay of some hundred milliseconds.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct EngineReport {
    /// Queued requests.
    pub waiting: usize,
    /// Running requests: in prefill (reading the prompt) or generating.
    pub active: usize,
    /// Ids of the requests that are generating output.
    pub generating: Vec<String>,
}

impl EngineReport {
    /// Whether a request that was sent well before the report, and has no response, is lost: no
    /// request is queued, no prompt is being read, and the request is not generating.
    ///
    /// An engine may accept a request and never answer it while it answers other requests and
    /// probes. A busy engine answers late too, but resending its requests would only move them to
    /// the end of another engine's queue. Only the engine's report tells the two cases apart before
    /// the caller gives up.
    pub fn has_lost(&self, id: &str) -> bool {
        let is_prefill_idle = self.active <= self.generating.len();
        self.waiting == 0 && is_prefill_idle && !self.generating.iter().any(|g| g == id)
    }
}
