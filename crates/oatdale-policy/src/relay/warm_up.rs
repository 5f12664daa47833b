//! Limit on the requests that a node sends to a cold endpoint.
//!
//! An endpoint that has just started is idle, so all nodes prefer it at once, and what they send
//! together crashes it. So the requests that it can take in a second are divided among the nodes by
//! a hash of node and endpoint, which needs no messages. Nodes whose node lists differ claim a few
//! more in total.

use std::collections::VecDeque;
use std::time::Duration;

/// Window over which a node counts the requests that it sent: longer than the second over which
/// endpoints count, since requests are sent a little later than they are placed.
const COUNT_WINDOW: Duration = Duration::from_millis(1_100);

/// Time for which a node sends nothing to cold endpoints after its start, or after the other nodes
/// dropped it: until the nodes know each other, their shares would be too large.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Returns a node's share of the requests that a cold endpoint can take in a second; `known_for` is
/// the time for which the other nodes have known this one.
///
/// `rank` is the node's position among all nodes, by a hash of node and endpoint: with fewer
/// requests than nodes, those with the first ranks may send one each.
pub fn warm_up_share(known_for: Duration, rate: f64, nodes: usize, rank: usize) -> u32 {
    if known_for < SETTLE_TIME {
        return 0;
    }
    let per_second = (rate as u32).max(1);
    let nodes = u32::try_from(nodes.max(1)).unwrap_or(u32::MAX);
    let gets_extra_request = u32::try_from(rank).is_ok_and(|rank| rank < per_second % nodes);
    per_second / nodes + u32::from(gets_extra_request)
}

/// Requests that a node sent to an endpoint recently.
#[derive(Clone, Debug, Default)]
pub struct WarmUp {
    /// Oldest first.
    sent_at: VecDeque<Duration>,
}

impl WarmUp {
    /// Returns when the next request may be sent with this share of a second's requests; `None`
    /// without a share.
    pub fn next_send_at(&self, share: u32) -> Option<Duration> {
        let share = usize::try_from(share).ok().filter(|share| *share > 0)?;
        let oldest = self.sent_at.len().checked_sub(share);
        Some(oldest.map_or(Duration::ZERO, |oldest| self.sent_at[oldest] + COUNT_WINDOW))
    }

    /// Records that a request is sent.
    pub fn record_send(&mut self, now: Duration) {
        while self
            .sent_at
            .front()
            .is_some_and(|at| *at + COUNT_WINDOW <= now)
        {
            self.sent_at.pop_front();
        }
        self.sent_at.push_back(now);
    }
}
