//! Which nodes read the key-value service for the others of their failure domain, which have a record there, and
//! where a node reads.
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

/// Nodes of a failure domain that keep a record of their own in the service: the readers, and one that takes a
/// reader's place when it dies. The others are told of by the readers at which they read, since leases of all of
/// them are renewed again and again.
pub const REGISTERED: usize = 3;

/// Time between two nodes that take the place of registered ones which are gone: the first is known to the others
/// by then.
const NEXT: Duration = Duration::from_millis(700);

/// The longest wait of a node that starts with all others.
const FIRST_WAIT: Duration = Duration::from_millis(2_400);

/// Link speed in Mbit/s of a node that waits for half of that.
const USUAL_LINK: f64 = 20.0;

/// The part of a second for which a change may fill a reader's link.
const LINK_TIME: f64 = 1.0;

/// Bytes of a record that are passed on over any link: endpoints, nodes, usual configurations.
const SHORT: usize = 64 << 10;

/// How long a reader that did not answer is left alone: the first time, doubled each time up to the last.
const FIRST_REST: Duration = Duration::from_secs(1);
const REFUSED_REST: Duration = Duration::from_millis(250);
const LAST_REST: Duration = Duration::from_secs(2);

/// A node of the own failure domain.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ReaderCandidate {
    /// The speed of its link in Mbit/s; 0 if it is not known. What a reader learns it sends to many.
    pub link_mbps: u32,
    /// A hash of its name, the same on every node.
    pub hash: u64,
}

/// The nodes that read for a failure domain of so many nodes, as positions among the registered ones, the best
/// first; none if each reads for itself.
pub fn readers(registered: &[ReaderCandidate], nodes: usize) -> Vec<usize> {
    if nodes < LEAST_NODES {
        return Vec::new();
    }
    let mut ranked = ranked(registered);
    ranked.truncate(READERS);
    ranked
}

/// The order in which nodes become readers.
pub fn ranked(nodes: &[ReaderCandidate]) -> Vec<usize> {
    let mut ranked: Vec<usize> = (0..nodes.len()).collect();
    ranked.sort_by_key(|&i| std::cmp::Reverse((nodes[i].link_mbps, nodes[i].hash)));
    ranked
}

/// How long after too few other nodes are registered the one of this rank among the rest registers too; `None` if
/// there are enough.
pub fn registers_after(registered: usize, rank: usize) -> Option<Duration> {
    let missing = REGISTERED.checked_sub(registered).filter(|n| *n > 0)?;
    let turn = u32::try_from(rank / missing).unwrap_or(u32::MAX);
    Some(NEXT.saturating_mul(turn))
}

/// How long a node waits that starts when all others do: those with fast links are registered when the others look
/// who is there. `draw` is from 0 to 1; nodes with equal links would come all at once.
pub fn first_wait(link_mbps: u32, draw: f64) -> Duration {
    let slowness = USUAL_LINK / (USUAL_LINK + f64::from(link_mbps));
    FIRST_WAIT.mul_f64(slowness * (1.0 + draw) / 2.0)
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

    /// Notes that a reader says that it has nothing to tell: the service does not answer it.
    ///
    /// It can be asked again soon, since it answers at once.
    pub fn refused(&mut self, now: Duration, reader: K) {
        let failed = Failed {
            until: now + REFUSED_REST,
            rest: REFUSED_REST,
        };
        self.failed.insert(reader, failed);
        self.is_behind = true;
    }

    /// Notes that a reader did not answer.
    pub fn failed(&mut self, now: Duration, reader: K) {
        let before = self.failed.get(&reader).map(|f| f.rest);
        let rest = before.map_or(FIRST_REST, |rest| (rest * 2).min(LAST_REST));
        let until = now + rest;
        self.failed.insert(reader, Failed { until, rest });
        self.is_behind = true;
    }
}
