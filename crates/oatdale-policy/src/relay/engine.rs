//! State that an inference engine reports, and whether a request was lost there.

/// Work in progress as an engine reported it, some hundred milliseconds late.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct EngineReport {
    /// Queued requests.
    pub waiting: usize,
    /// Requests that are executed: in prefill (reading the prompt) or generating.
    pub active: usize,
    /// Ids of the requests that generate.
    pub generating: Vec<String>,
}

impl EngineReport {
    /// Whether a request that was sent well before the report, and has no response, is lost: no
    /// request is queued, no prompt is being read, and the request is not generating.
    ///
    /// An engine may accept a request and never answer it while it answers other requests and
    /// probes. A busy engine answers late, and another engine would queue the request again from
    /// the start. Only the engine can tell these cases apart before the caller gives up.
    pub fn has_lost(&self, id: &str) -> bool {
        let is_prefill_idle = self.active <= self.generating.len();
        self.waiting == 0 && is_prefill_idle && !self.generating.iter().any(|g| g == id)
    }
}
