//! What nodes that read the platform's records tell the others.
//!
//! Each call to the key-value service has its price, and endpoints renew their records many times a
//! second: with each node reading all of them, calls and parsing grow with the square of the site. So a
//! few nodes read, and tell the others by datagram what has changed. Each reading says between which
//! revisions it is complete, so a node notices when it has missed something, and then reads by itself; it
//! does so too when it has heard of no reading for a while.

use crate::cx::Cx;
use crate::gossip::Message;
use crate::state::State;
use crate::update::{Change, Command, Content, Reading};
use crate::wire::Wire;
use oatdale_policy::relay::{Reader, reads_for_others};
use std::collections::VecDeque;

/// How often a reading is told, counting the node that it was heard from: a datagram that is lost is made
/// up for by the next one of each node that reads. More takes the links of small hosts away from callers:
/// told with each reading for 2.5 s, they lost a hundredth of what they were served on days of change.
const TOLD_TIMES: u32 = 2;

/// Readings that are kept at the most, also by a node that tells nobody: it may have to some time.
const MOST_KEPT: usize = 16;

/// Bytes of keys and values in one datagram; with names and numbers it stays below what every network
/// passes whole.
const MOST_BYTES: usize = 900;

/// Bytes of a change beside its key and value.
const CHANGE_BYTES: usize = 60;

/// This node's part in reading.
#[derive(Debug)]
pub(crate) struct Spread {
    /// The last readings with changes, own ones and those heard of, oldest first.
    last: VecDeque<Noted>,
    /// Whether this node reads for others.
    reads: bool,
}

#[derive(Debug)]
struct Noted {
    reading: Reading,
    /// How often it was told.
    told: u32,
}

impl Default for Spread {
    /// Until it knows of other nodes, a node reads as if there were none.
    fn default() -> Self {
        Spread {
            last: VecDeque::new(),
            reads: true,
        }
    }
}

impl Spread {
    /// Notes what this node has heard of.
    pub(crate) fn heard(&mut self, reading: Reading) {
        self.note(reading, 1);
    }

    fn note(&mut self, reading: Reading, told: u32) {
        // A reading that does not follow the one before leaves a gap.
        if self
            .last
            .back()
            .is_some_and(|l| l.reading.upto != reading.from)
        {
            self.last.clear();
        }
        if reading.upto > reading.from {
            self.last.push_back(Noted { reading, told });
        }
        while self.last.len() > MOST_KEPT || self.last.front().is_some_and(|l| l.told >= TOLD_TIMES)
        {
            self.last.pop_front();
        }
    }

    /// What to tell others now, up to a revision.
    fn tell(&mut self, upto: u64) -> Vec<Reading> {
        for noted in &mut self.last {
            noted.told += 1;
        }
        parts(self.last.iter().map(|l| &l.reading), upto)
    }
}

/// Notes what this node has read, and returns what it tells the others if that is its part.
///
/// That nothing has changed is told too: the others read by themselves when they hear nothing.
pub(crate) fn to_tell(state: &mut State, reading: Reading) -> Vec<Message> {
    let upto = reading.upto;
    state.spread.note(reading, 0);
    let parts = match state.spread.reads {
        true => state.spread.tell(upto),
        false => Vec::new(),
    };
    parts.into_iter().map(Message::Read).collect()
}

/// Whether this node's part has changed, and how.
pub(crate) fn change_part<W: Wire>(cx: &Cx<W>) -> Option<Command> {
    let now = cx.now();
    let mut state = cx.state();
    let own = Reader {
        host: &cx.settings.host,
        domain: &cx.settings.failure_domain,
    };
    let nodes = state.nodes.iter(now).map(|n| Reader {
        host: &n.host,
        domain: &n.domain,
    });
    let reads = reads_for_others(own, nodes) && state.stopping.is_none();
    if std::mem::replace(&mut state.spread.reads, reads) == reads {
        return None;
    }
    log::info!(target: "spread", "event=part reads_for_others={reads}");
    Some(Command::ReadForOthers(reads))
}

/// The readings up to a revision as one, cut into parts that fit into datagrams; each is complete between
/// its revisions.
fn parts<'a>(readings: impl Iterator<Item = &'a Reading> + Clone, upto: u64) -> Vec<Reading> {
    let mut parts = Vec::new();
    let mut part = Reading {
        from: readings.clone().next().map_or(upto, |first| first.from),
        upto,
        whole: true,
        changes: Vec::new(),
    };
    let mut bytes = 0;
    for change in readings.flat_map(|r| &r.changes) {
        let change = shortened(change);
        let more = change_bytes(&change);
        let before = part.changes.last().map_or(part.from, |c| c.revision);
        // Changes of one revision stay together, or a part would not be complete up to it.
        if bytes + more > MOST_BYTES && before > part.from && before < change.revision {
            let rest = Reading {
                from: before,
                upto,
                whole: true,
                changes: Vec::new(),
            };
            let mut full = std::mem::replace(&mut part, rest);
            full.upto = before;
            full.whole = false;
            parts.push(full);
            bytes = 0;
        }
        bytes += more;
        part.changes.push(change);
    }
    parts.push(part);
    parts
}

fn shortened(change: &Change) -> Change {
    let content = match &change.content {
        Content::Value(value) if value.len() + change.key.len() > MOST_BYTES => Content::TooLong,
        content => content.clone(),
    };
    Change {
        content,
        ..change.clone()
    }
}

fn change_bytes(change: &Change) -> usize {
    let value = match &change.content {
        Content::Value(value) => value.len(),
        Content::Gone | Content::TooLong => 0,
    };
    change.key.len() + value + CHANGE_BYTES
}
