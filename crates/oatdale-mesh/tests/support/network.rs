//! Connections between the nodes of a fleet.
#![allow(dead_code)]

use super::fleet::{Fleet, ScheduledEvent, ms};
use oatdale_mesh::{Card, ConnId, Frame, Input};
use std::net::SocketAddr;
use std::time::Duration;

/// Time after which a dial to a host that does not answer fails.
const DIAL_TIMEOUT: Duration = Duration::from_secs(3);
/// Bytes that the authentication tag (8) and the WebSocket header and mask (6) add to each frame.
pub(crate) const FRAMING_BYTES: usize = 8 + 6;

/// A connection between two nodes; the dialer is end 0, the acceptor end 1. The `ConnId` of an end
/// is twice the connection's id plus the end.
#[derive(Clone, Copy)]
pub(super) struct Connection {
    /// The node at each end.
    pub(super) ends: [usize; 2],
    /// The generation of each node when the connection was made.
    pub(super) generations: [u64; 2],
    pub(super) open: [bool; 2],
    /// Arrival time of the last frame sent by each end; a later frame does not overtake it.
    pub(super) last_arrival: [Duration; 2],
}

impl Fleet {
    /// Draws the one-way delay of a frame: at least 100 µs within a failure domain and 500 µs
    /// between domains, plus up to 1 ms, or up to 20 ms for one frame in 50.
    fn link_delay(&mut self, a: usize, b: usize) -> Duration {
        let same_domain = self.nodes[a].domain == self.nodes[b].domain;
        let base_us = if same_domain { 100 } else { 500 };
        let jitter_us = if self.random_below(50) == 0 {
            20_000
        } else {
            1000
        };
        Duration::from_micros(base_us + self.random_below(jitter_us))
    }

    /// Decides the outcome of a dial. A node that is partitioned off or paused does not answer; one
    /// that is down refuses the connection.
    pub(super) fn complete_dial(&mut self, from: usize, generation: u64, address: SocketAddr) {
        let to = self
            .nodes
            .iter()
            .position(|n| n.address == address)
            .expect("the dialed address belongs to a node");
        let silent = self.is_partitioned(from, to) || self.nodes[to].paused;
        if from == to || silent || !self.is_live(to) || !self.is_live(from) {
            let after = if silent { DIAL_TIMEOUT } else { ms(1) };
            let failed = ScheduledEvent::DialFailed {
                node: from,
                generation,
                address,
                is_self: from == to,
            };
            return self.schedule(self.now + after, failed);
        }
        self.counter += 1;
        let conn = self.counter;
        let generations = [self.nodes[from].generation, self.nodes[to].generation];
        let connection = Connection {
            ends: [from, to],
            generations,
            open: [true; 2],
            last_arrival: [self.now; 2],
        };
        self.connections.insert(conn, connection);
        let cards = [self.card(from), self.card(to)];
        let acceptor_up_at = self.now + self.link_delay(from, to);
        let dialer_up_at = acceptor_up_at + self.link_delay(from, to);
        let [dialer_card, acceptor_card] = cards;
        self.schedule(
            dialer_up_at,
            ScheduledEvent::LinkUp {
                conn,
                end: 0,
                dialed: Some(address),
                card: acceptor_card,
            },
        );
        self.schedule(
            acceptor_up_at,
            ScheduledEvent::LinkUp {
                conn,
                end: 1,
                dialed: None,
                card: dialer_card,
            },
        );
        let connection = self
            .connections
            .get_mut(&conn)
            .expect("the connection was just inserted");
        connection.last_arrival = [acceptor_up_at + ms(1), dialer_up_at + ms(1)];
    }

    fn card(&self, i: usize) -> Card {
        let sim_node = &self.nodes[i];
        let member = sim_node.member.as_ref().expect("the node is live");
        Card {
            host: sim_node.name.clone(),
            domain: format!("hall-{}", sim_node.domain),
            region: format!("region-{}", sim_node.domain % 5),
            incarnation: member.incarnation(),
            address: sim_node.address,
            caller_address: sim_node.address,
        }
    }

    pub(super) fn deliver_frame(&mut self, conn: u64, to: usize, bytes: Vec<u8>) {
        let Some(connection) = self.connections.get(&conn).copied() else {
            return;
        };
        if self.is_partitioned(connection.ends[0], connection.ends[1]) {
            return self
                .blocked_events
                .push(ScheduledEvent::Frame { conn, to, bytes });
        }
        if connection.open[to]
            && self.nodes[connection.ends[to]].generation == connection.generations[to]
        {
            self.nodes[connection.ends[to]].received_bytes += bytes.len() + FRAMING_BYTES;
            let start = self.measure_processing.then(std::time::Instant::now);
            let frame = Frame::decode(&bytes).expect("an encoded frame decodes");
            self.nodes[connection.ends[to]].processing_time +=
                start.map_or(Duration::ZERO, |s| s.elapsed());
            let conn = ConnId(conn * 2 + to as u64);
            self.deliver_input(connection.ends[to], Input::Received { conn, frame });
        }
    }

    pub(super) fn deliver_close(&mut self, conn: u64, to: usize) {
        let Some(connection) = self.connections.get(&conn).copied() else {
            return;
        };
        if self.is_partitioned(connection.ends[0], connection.ends[1]) {
            return self
                .blocked_events
                .push(ScheduledEvent::Closed { conn, to });
        }
        self.connections.remove(&conn);
        if connection.open[to]
            && self.nodes[connection.ends[to]].generation == connection.generations[to]
        {
            self.deliver_input(
                connection.ends[to],
                Input::Disconnected(ConnId(conn * 2 + to as u64)),
            );
        }
    }

    /// Closes `by`'s end of a connection; a silent close does not notify the other end.
    pub(super) fn close(&mut self, conn: u64, by: usize, silent: bool) {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        let end = usize::from(connection.ends[1] == by);
        connection.open[end] = false;
        let at = connection.last_arrival[end].max(self.now) + ms(1);
        if !silent {
            self.schedule(at, ScheduledEvent::Closed { conn, to: 1 - end });
        }
    }

    pub(super) fn send(&mut self, i: usize, conn: ConnId, frame: &Frame) {
        let (conn, end) = (conn.0 / 2, (conn.0 % 2) as usize);
        let Some(connection) = self.connections.get(&conn).copied() else {
            return;
        };
        if !connection.open[end] {
            return;
        }
        let start = self.measure_processing.then(std::time::Instant::now);
        let bytes = frame.encode();
        self.nodes[i].processing_time += start.map_or(Duration::ZERO, |s| s.elapsed());
        self.nodes[i].sent_bytes += bytes.len() + FRAMING_BYTES;
        self.nodes[i].sent_frames += 1;
        self.stats.frames += 1;
        self.stats.bytes += bytes.len() + FRAMING_BYTES;
        let at = (self.now + self.link_delay(connection.ends[0], connection.ends[1]))
            .max(connection.last_arrival[end]);
        self.connections
            .get_mut(&conn)
            .expect("the connection was just looked up")
            .last_arrival[end] = at;
        self.schedule(
            at,
            ScheduledEvent::Frame {
                conn,
                to: 1 - end,
                bytes,
            },
        );
    }
}
