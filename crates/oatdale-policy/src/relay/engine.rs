//! What an engine says of its work, and what follows for a request that waits there.

/// What an engine said of its work, some hundred milliseconds late.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct EngineReport {
    /// Requests that wait for their turn.
    pub waiting: usize,
    /// Requests that have their turn: their prompts are read, or they generate.
    pub active: usize,
    /// Ids of those that generate.
    pub generating: Vec<String>,
}

impl EngineReport {
    /// Whether a request that was sent long before the report, and has no answer, is lost there: none
    /// waits, no prompt is being read, and it does not generate.
    ///
    /// An engine may take a request and never answer it, while it answers others and questions about
    /// itself. A busy one answers late; another one would let the request wait from the beginning. Only
    /// the engine can tell these apart before the caller has left.
    pub fn has_lost(&self, id: &str) -> bool {
        let is_prefill_idle = self.active <= self.generating.len();
        self.waiting == 0 && is_prefill_idle && !self.generating.iter().any(|g| g == id)
    }
}
