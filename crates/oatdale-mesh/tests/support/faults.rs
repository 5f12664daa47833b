//! Faults of nodes and links: kills, pauses and network partitions.
#![allow(dead_code)]

use super::fleet::{Fleet, ScheduledEvent, SimNode, ms};

/// Counts of the faults and the traffic of a run.
#[derive(Clone, Copy, Default, Debug)]
pub(crate) struct RunStats {
    pub(crate) kills: usize,
    pub(crate) pauses: usize,
    pub(crate) partitions: usize,
    pub(crate) outages: usize,
    pub(crate) restarts: usize,
    /// Frames that were in flight when a node was killed or paused or the network partitioned.
    pub(crate) in_flight_frames: usize,
    pub(crate) frames: usize,
    pub(crate) bytes: usize,
}

impl RunStats {
    pub(crate) fn add(&mut self, other: &RunStats) {
        self.kills += other.kills;
        self.pauses += other.pauses;
        self.partitions += other.partitions;
        self.outages += other.outages;
        self.restarts += other.restarts;
        self.in_flight_frames += other.in_flight_frames;
        self.frames += other.frames;
        self.bytes += other.bytes;
    }
}

impl Fleet {
    pub(crate) fn restart(&mut self, i: usize) {
        self.stats.restarts += 1;
        self.start(i);
    }

    /// Ends a node's process at once. A silent kill closes no connection, so its peers notice only
    /// by timeout.
    pub(crate) fn kill(&mut self, i: usize, silent: bool) {
        self.stats.kills += 1;
        self.count_in_flight_frames();
        self.nodes[i].member = None;
        self.nodes[i].paused = false;
        let conns: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, w)| w.ends.contains(&i))
            .map(|(c, _)| *c)
            .collect();
        for conn in conns {
            self.close(conn, i, silent);
        }
    }

    pub(crate) fn pause(&mut self, i: usize) {
        self.stats.pauses += 1;
        self.count_in_flight_frames();
        self.nodes[i].paused = true;
    }

    /// Ends a pause and delivers the inputs that arrived during it.
    pub(crate) fn resume(&mut self, i: usize) {
        self.nodes[i].paused = false;
        self.nodes[i].tick_epoch += 1;
        let tick_epoch = self.nodes[i].tick_epoch;
        self.schedule(
            self.now,
            ScheduledEvent::Tick {
                node: i,
                tick_epoch,
            },
        );
        for input in std::mem::take(&mut self.nodes[i].deferred_inputs) {
            self.deliver_input(i, input);
        }
    }

    /// Partitions every pair of nodes for which `separates` holds in either order, in addition to
    /// those that are partitioned already.
    pub(crate) fn partition(&mut self, separates: impl Fn(&SimNode, &SimNode) -> bool) {
        self.stats.partitions += 1;
        self.count_in_flight_frames();
        let pairs = (0..self.nodes.len()).flat_map(|a| (0..a).map(move |b| (b, a)));
        for (a, b) in pairs {
            if separates(&self.nodes[a], &self.nodes[b])
                || separates(&self.nodes[b], &self.nodes[a])
            {
                self.partitioned_pairs.insert((a, b));
            }
        }
    }

    /// Ends all partitions and delivers what they have blocked.
    pub(crate) fn heal(&mut self) {
        self.partitioned_pairs.clear();
        for scheduled in std::mem::take(&mut self.blocked_events) {
            self.schedule(self.now + ms(1), scheduled);
        }
    }

    fn count_in_flight_frames(&mut self) {
        let frame = |d: &&ScheduledEvent| matches!(d, ScheduledEvent::Frame { .. });
        self.stats.in_flight_frames += self.queue.values().filter(frame).count();
    }
}
