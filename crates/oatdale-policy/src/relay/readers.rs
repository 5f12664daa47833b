//! Which nodes read the key-value service for the others of their failure domain, and where a node reads.
//!
//! The load pattern: hundreds of nodes that each watch the same records. The service then answers in
//! proportion to the nodes, each call has its price, and each change is answered to all of them at the same
//! moment. With two readers in each failure domain calls grow with the domains.

use std::collections::BTreeMap;
use std::time::Duration;

/// Readers of a failure domain: while one is gone and the others do not know it yet, the other one goes on.
pub const READERS: usize = 2;

/// Nodes in a failure domain from which on some read for the others. With fewer, nearly all would be readers,
/// and each call that is left would come a step later.
const LEAST_NODES: usize = 4;

/// The part of a second for which a change may fill a reader's link.
const LINK_TIME: f64 = 1.0;

/// Bytes of a record that are passed on over any link: endpoints, nodes, usual configurations.
const SHORT: usize = 64 << 10;

/// How long a reader that did not answer is left alone: the first time, doubled each time up to the last.
const FIRST_REST: Duration = Duration::from_secs(1);
const LAST_REST: Duration = Duration::from_secs(8);

/// A node of the own failure domain.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ReaderCandidate {
    /// The speed of its link in Mbit/s; 0 if it is not known. What a reader learns it sends to many.
    pub link_mbps: u32,
    /// A hash of its name, the same on every node.
    pub hash: u64,
}

/// The nodes that read for a failure domain, as positions, the best first; none if each reads for itself.
pub fn readers(nodes: &[ReaderCandidate]) -> Vec<usize> {
    if nodes.len() < LEAST_NODES {
        return Vec::new();
    }
    let mut ranked: Vec<usize> = (0..nodes.len()).collect();
    ranked.sort_by_key(|&i| std::cmp::Reverse((nodes[i].link_mbps, nodes[i].hash)));
    ranked.truncate(READERS);
    ranked
}

/// Bytes up to which a reader passes a record on to so many followers; those of longer ones read it themselves.
///
/// A configuration of some thousand routes is a megabyte. Sent to thirty followers over a slow link it would
/// come to the last one after many seconds, and all other news would wait behind it.
pub fn longest_passed_on(link_mbps: u32, followers: usize) -> usize {
    let link = f64::from(link_mbps) * 125_000.0 * LINK_TIME;
    let each = link / followers.max(1) as f64;
    SHORT.max(each as usize)
}

/// Where a node that has readers reads: at one that answers, at the service while none does.
///
/// A reader that hangs is noticed late. Were another one asked next, and to hang too, the node would go on with
/// what it last heard for longer than an endpoint has to leave. So the service is asked in between.
#[derive(Clone, Debug)]
pub struct Sources<K> {
    failed: BTreeMap<K, Failed>,
    /// Whether the last one that was asked failed.
    is_behind: bool,
}

#[derive(Clone, Copy, Debug)]
struct Failed {
    until: Duration,
    rest: Duration,
}

impl<K> Default for Sources<K> {
    fn default() -> Self {
        Sources {
            failed: BTreeMap::new(),
            is_behind: false,
        }
    }
}

impl<K: Copy + Ord> Sources<K> {
    /// The first of these readers that may be asked; `None` if the service has to be.
    pub fn pick(&mut self, now: Duration, readers: &[K]) -> Option<K> {
        if std::mem::take(&mut self.is_behind) {
            return None;
        }
        self.failed.retain(|reader, _| readers.contains(reader));
        let rests = |reader: &K| self.failed.get(reader).is_some_and(|f| now < f.until);
        readers.iter().copied().find(|reader| !rests(reader))
    }

    /// Notes that a reader answered.
    pub fn answered(&mut self, reader: K) {
        self.failed.remove(&reader);
    }

    /// Notes that a reader did not answer, or does not read by itself.
    pub fn failed(&mut self, now: Duration, reader: K) {
        let before = self.failed.get(&reader).map(|f| f.rest);
        let rest = before.map_or(FIRST_REST, |rest| (rest * 2).min(LAST_REST));
        let until = now + rest;
        self.failed.insert(reader, Failed { until, rest });
        self.is_behind = true;
    }
}
