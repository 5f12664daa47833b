//! What happens to nodes and links of a fleet.
#![allow(dead_code)]

use super::fleet::{Delivery, Fleet, Slot, ms};

/// What happened in a run.
#[derive(Clone, Copy, Default, Debug)]
pub(crate) struct Tally {
    pub(crate) kills: usize,
    pub(crate) pauses: usize,
    pub(crate) cuts: usize,
    pub(crate) outages: usize,
    pub(crate) restarts: usize,
    /// Frames that were under way when a fault happened.
    pub(crate) under_way: usize,
    pub(crate) frames: usize,
    pub(crate) bytes: usize,
}

impl Tally {
    pub(crate) fn add(&mut self, other: &Tally) {
        self.kills += other.kills;
        self.pauses += other.pauses;
        self.cuts += other.cuts;
        self.outages += other.outages;
        self.restarts += other.restarts;
        self.under_way += other.under_way;
        self.frames += other.frames;
        self.bytes += other.bytes;
    }
}

impl Fleet {
    pub(crate) fn restart(&mut self, i: usize) {
        self.tally.restarts += 1;
        self.start(i);
    }

    /// Ends a node at once. A silent kill leaves its peers waiting.
    pub(crate) fn kill(&mut self, i: usize, silent: bool) {
        self.tally.kills += 1;
        self.note_under_way();
        self.nodes[i].member = None;
        self.nodes[i].paused = false;
        let conns: Vec<u64> = self
            .wires
            .iter()
            .filter(|(_, w)| w.ends.contains(&i))
            .map(|(c, _)| *c)
            .collect();
        for conn in conns {
            self.close(conn, i, silent);
        }
    }

    pub(crate) fn pause(&mut self, i: usize) {
        self.tally.pauses += 1;
        self.note_under_way();
        self.nodes[i].paused = true;
    }

    pub(crate) fn resume(&mut self, i: usize) {
        self.nodes[i].paused = false;
        self.nodes[i].chain += 1;
        let chain = self.nodes[i].chain;
        self.schedule(self.now, Delivery::Tick { at: i, chain });
        for input in std::mem::take(&mut self.nodes[i].inbox) {
            self.input(i, input);
        }
    }

    /// Cuts every pair for which `apart` says so.
    pub(crate) fn cut(&mut self, apart: impl Fn(&Slot, &Slot) -> bool) {
        self.tally.cuts += 1;
        self.note_under_way();
        let pairs = (0..self.nodes.len()).flat_map(|a| (0..a).map(move |b| (b, a)));
        for (a, b) in pairs {
            if apart(&self.nodes[a], &self.nodes[b]) || apart(&self.nodes[b], &self.nodes[a]) {
                self.cuts.insert((a, b));
            }
        }
    }

    pub(crate) fn heal(&mut self) {
        self.cuts.clear();
        for delivery in std::mem::take(&mut self.held) {
            self.schedule(self.now + ms(1), delivery);
        }
    }

    fn note_under_way(&mut self) {
        let frame = |d: &&Delivery| matches!(d, Delivery::Frame { .. });
        self.tally.under_way += self.queue.values().filter(frame).count();
    }
}
