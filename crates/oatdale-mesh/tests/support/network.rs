//! Connections between the nodes of a fleet.
#![allow(dead_code)]

use super::fleet::{Delivery, Fleet, ms};
use oatdale_mesh::{Card, Conn, Frame, Input};
use std::net::SocketAddr;
use std::time::Duration;

/// A dial to a host that does not answer fails after this.
const DIAL: Duration = Duration::from_secs(3);
/// WebSocket header, mask and our tag, added to each frame's bytes.
pub(crate) const FRAMING: usize = 8 + 6;

/// Both ends of a connection.
#[derive(Clone, Copy)]
pub(super) struct Wire {
    pub(super) ends: [usize; 2],
    pub(super) lives: [u64; 2],
    pub(super) open: [bool; 2],
    /// When the last frame in each direction arrives; the next one comes later.
    pub(super) last: [Duration; 2],
}

impl Fleet {
    fn delay(&mut self, a: usize, b: usize) -> Duration {
        let near = self.nodes[a].domain == self.nodes[b].domain;
        let base = if near { 100 } else { 500 };
        let spread = if self.random(50) == 0 { 20_000 } else { 1000 };
        Duration::from_micros(base + self.random(spread))
    }

    pub(super) fn dialed(&mut self, from: usize, life: u64, address: SocketAddr) {
        let to = self
            .nodes
            .iter()
            .position(|n| n.address == address)
            .expect("a known address");
        let silent = self.apart(from, to) || self.nodes[to].paused;
        if from == to || silent || !self.is_up(to) || !self.is_up(from) {
            let after = if silent { DIAL } else { ms(1) };
            let failed = Delivery::DialFailed {
                at: from,
                life,
                address,
                myself: from == to,
            };
            return self.schedule(self.now + after, failed);
        }
        self.counter += 1;
        let conn = self.counter;
        let lives = [self.nodes[from].life, self.nodes[to].life];
        let wire = Wire {
            ends: [from, to],
            lives,
            open: [true; 2],
            last: [self.now; 2],
        };
        self.wires.insert(conn, wire);
        let cards = [self.card(from), self.card(to)];
        let there = self.now + self.delay(from, to);
        let here = there + self.delay(from, to);
        let [mine, theirs] = cards;
        self.schedule(
            here,
            Delivery::Up {
                conn,
                end: 0,
                dialed: Some(address),
                card: theirs,
            },
        );
        self.schedule(
            there,
            Delivery::Up {
                conn,
                end: 1,
                dialed: None,
                card: mine,
            },
        );
        let wire = self.wires.get_mut(&conn).expect("it was just made");
        wire.last = [there + ms(1), here + ms(1)];
    }

    fn card(&self, i: usize) -> Card {
        let slot = &self.nodes[i];
        let member = slot.member.as_ref().expect("the node is up");
        Card {
            host: slot.name.clone(),
            domain: format!("hall-{}", slot.domain),
            region: format!("region-{}", slot.domain % 5),
            incarnation: member.incarnation(),
            address: slot.address,
            caller: slot.address,
        }
    }

    pub(super) fn frame(&mut self, conn: u64, to: usize, bytes: Vec<u8>) {
        let Some(wire) = self.wires.get(&conn).copied() else {
            return;
        };
        if self.apart(wire.ends[0], wire.ends[1]) {
            return self.held.push(Delivery::Frame { conn, to, bytes });
        }
        if wire.open[to] && self.nodes[wire.ends[to]].life == wire.lives[to] {
            self.nodes[wire.ends[to]].received_bytes += bytes.len() + FRAMING;
            let start = self.clocked.then(std::time::Instant::now);
            let frame = Frame::decode(&bytes).expect("what was encoded");
            self.nodes[wire.ends[to]].busy += start.map_or(Duration::ZERO, |s| s.elapsed());
            let conn = Conn(conn * 2 + to as u64);
            self.input(wire.ends[to], Input::Received { conn, frame });
        }
    }

    pub(super) fn closed(&mut self, conn: u64, to: usize) {
        let Some(wire) = self.wires.get(&conn).copied() else {
            return;
        };
        if self.apart(wire.ends[0], wire.ends[1]) {
            return self.held.push(Delivery::Closed { conn, to });
        }
        self.wires.remove(&conn);
        if wire.open[to] && self.nodes[wire.ends[to]].life == wire.lives[to] {
            self.input(
                wire.ends[to],
                Input::Disconnected(Conn(conn * 2 + to as u64)),
            );
        }
    }

    pub(super) fn close(&mut self, conn: u64, by: usize, silent: bool) {
        let Some(wire) = self.wires.get_mut(&conn) else {
            return;
        };
        let end = usize::from(wire.ends[1] == by);
        wire.open[end] = false;
        let at = wire.last[end].max(self.now) + ms(1);
        if !silent {
            self.schedule(at, Delivery::Closed { conn, to: 1 - end });
        }
    }

    pub(super) fn send(&mut self, i: usize, conn: Conn, frame: &Frame) {
        let (conn, end) = (conn.0 / 2, (conn.0 % 2) as usize);
        let Some(wire) = self.wires.get(&conn).copied() else {
            return;
        };
        if !wire.open[end] {
            return;
        }
        let start = self.clocked.then(std::time::Instant::now);
        let bytes = frame.encode();
        self.nodes[i].busy += start.map_or(Duration::ZERO, |s| s.elapsed());
        self.nodes[i].sent_bytes += bytes.len() + FRAMING;
        self.nodes[i].sent_frames += 1;
        self.tally.frames += 1;
        self.tally.bytes += bytes.len() + FRAMING;
        let at = (self.now + self.delay(wire.ends[0], wire.ends[1])).max(wire.last[end]);
        self.wires.get_mut(&conn).expect("it was just seen").last[end] = at;
        self.schedule(
            at,
            Delivery::Frame {
                conn,
                to: 1 - end,
                bytes,
            },
        );
    }
}
