//! How many requests a node may send to an endpoint that is cold.
//!
//! The load pattern: an endpoint has just started and has nothing to do, so it seems the best one to all nodes at
//! once, and what they send together crashes it. So the requests that it bears in a second are dealt out among the
//! nodes by a hash of both, which needs no message. Nodes whose lists of nodes differ claim a few more.

use std::collections::VecDeque;
use std::time::Duration;

/// Over which a node counts what it sent: more than the second that endpoints count over, since requests are sent a
/// little later than they are placed.
const COUNT_WINDOW: Duration = Duration::from_millis(1_100);

/// Time for which a node sends nothing to cold endpoints after its start, or after it was forgotten: until the nodes
/// know each other their shares would be too large.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// A node's share of the requests that a cold endpoint bears in a second; `known_for` is the time for which the
/// other nodes have known this one.
///
/// `rank` is the node's place among all nodes, by a hash of node and endpoint: with fewer requests than nodes those
/// with the first ranks may send one each.
pub fn warm_up_share(known_for: Duration, rate: f64, nodes: usize, rank: usize) -> u32 {
    if known_for < SETTLE_TIME {
        return 0;
    }
    let per_second = (rate as u32).max(1);
    let nodes = u32::try_from(nodes.max(1)).unwrap_or(u32::MAX);
    let has_remainder = u32::try_from(rank).is_ok_and(|rank| rank < per_second % nodes);
    per_second / nodes + u32::from(has_remainder)
}

/// What a node sent to an endpoint lately.
#[derive(Clone, Debug, Default)]
pub struct WarmUp {
    /// The oldest first.
    sent_at: VecDeque<Duration>,
}

impl WarmUp {
    /// When the next request may be sent with this share of a second's requests; `None` without a share.
    pub fn next(&self, share: u32) -> Option<Duration> {
        let share = usize::try_from(share).ok().filter(|share| *share > 0)?;
        let oldest = self.sent_at.len().checked_sub(share);
        Some(oldest.map_or(Duration::ZERO, |oldest| self.sent_at[oldest] + COUNT_WINDOW))
    }

    /// Notes that a request is sent.
    pub fn note(&mut self, now: Duration) {
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
