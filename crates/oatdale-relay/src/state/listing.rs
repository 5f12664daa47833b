//! Whether the other nodes have this one in their node lists.

use crate::state::State;
use std::time::Duration;

/// How long a node can be without the key-value service and still be in the other nodes' node
/// lists.
const NODE_RECORD_LIFETIME: Duration = Duration::from_secs(2);

/// Time after its start in which a node issues no permits.
const PERMIT_SETTLE_TIME: Duration = Duration::from_secs(3);

impl State {
    /// Records that the key-value service answers this node again.
    pub(crate) fn mark_store_available(&mut self, now: Duration) {
        self.first_answer_at.get_or_insert(now);
        let unavailable_since = self.store_unavailable_since.take();
        if unavailable_since.is_some_and(|since| now >= since + NODE_RECORD_LIFETIME) {
            self.listed_since = now;
        }
    }

    /// Whether this node is in the other nodes' node lists, unless they lag.
    pub(crate) fn is_listed(&self, now: Duration) -> bool {
        self.store_unavailable_since
            .is_none_or(|since| now < since + NODE_RECORD_LIFETIME)
    }

    /// Returns since when this node has been in the other nodes' node lists, if it was not for a
    /// while before.
    pub(crate) fn listed_since(&self) -> Duration {
        self.listed_since
    }

    /// Whether this node may issue permits: it is not stopping, and the other nodes have had the
    /// time to learn of it, and it of them.
    pub(crate) fn may_issue_permits(&self, now: Duration) -> bool {
        let is_settled = |at: Duration| now >= at + PERMIT_SETTLE_TIME;
        self.stopping.is_none() && self.first_answer_at.is_some_and(is_settled)
    }
}
