//! The nodes that fetch from this one; their requests show that they are running.

use crate::update::Node;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a node without requests counts as running. A follower sends its next request at once,
/// or after a read from the service if this node did not answer it.
const LAPSE: Duration = Duration::from_millis(1_800);

/// Maximum number of listed nodes, so that a record of them stays well below the longest value that
/// the service accepts.
const MOST: usize = 1_024;

/// The nodes that fetch from this one, by host name.
#[derive(Clone, Debug, Default)]
pub struct Members {
    seen: BTreeMap<String, Seen>,
}

#[derive(Clone, Debug)]
struct Seen {
    node: Node,
    /// Number of in-flight requests.
    asking: usize,
    /// When a request last arrived or ended.
    last: Duration,
}

impl Members {
    /// Records that a request of a node arrived.
    pub fn asks(&mut self, now: Duration, node: Node) {
        let known = self.seen.get(&node.host).map(|seen| seen.asking);
        if known.is_none() && self.seen.len() >= MOST {
            log::warn!(target: "replica", "event=too_many_nodes host={}", node.host);
            return;
        }
        let asking = known.unwrap_or(0);
        let host = node.host.clone();
        let seen = Seen {
            node,
            asking: asking + 1,
            last: now,
        };
        self.seen.insert(host, seen);
    }

    /// Records that a request of a node was answered or that its connection broke.
    pub fn answered(&mut self, now: Duration, host: &str) {
        if let Some(seen) = self.seen.get_mut(host) {
            seen.asking = seen.asking.saturating_sub(1);
            seen.last = now;
        }
    }

    /// Returns the running nodes, sorted by host name, and removes the others.
    pub fn running(&mut self, now: Duration) -> Vec<Node> {
        self.seen
            .retain(|_, seen| seen.asking > 0 || now < seen.last + LAPSE);
        self.seen.values().map(|seen| seen.node.clone()).collect()
    }
}
