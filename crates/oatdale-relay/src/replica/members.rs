//! Nodes that read at this one, which are known to run by the questions that they ask.

use crate::update::Node;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a node that asks nothing counts as running: a follower asks again at once, or after a look at the
/// service if this node did not answer it.
const LAPSE: Duration = Duration::from_millis(1_800);

/// The most nodes that are listed: a record of them stays well below the longest value that the service takes.
const MOST: usize = 1_024;

/// The nodes that read at this one.
#[derive(Clone, Debug, Default)]
pub struct Members {
    seen: BTreeMap<String, Seen>,
}

#[derive(Clone, Debug)]
struct Seen {
    node: Node,
    /// Questions that wait here for an answer.
    asking: usize,
    /// When a question last came or was answered.
    last: Duration,
}

impl Members {
    /// Notes that a question of a node came.
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

    /// Notes that a question of a node was answered, or that its connection broke.
    pub fn answered(&mut self, now: Duration, host: &str) {
        if let Some(seen) = self.seen.get_mut(host) {
            seen.asking = seen.asking.saturating_sub(1);
            seen.last = now;
        }
    }

    /// Those that run, by name. Forgets the others.
    pub fn running(&mut self, now: Duration) -> Vec<Node> {
        self.seen
            .retain(|_, seen| seen.asking > 0 || now < seen.last + LAPSE);
        self.seen.values().map(|seen| seen.node.clone()).collect()
    }
}
