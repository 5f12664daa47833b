//! Many members in one process, with links that can be cut, and nodes that can be killed or paused.
//!
//! Time is counted, not measured; the same seed gives the same run. A cut keeps what is sent on a
//! connection until it heals, as TCP does; a silent kill tells nobody, as a host without power.
#![allow(dead_code)]

use super::app::{App, Platform};
use oatdale_mesh::{
    Card, Conn, Event, Frame, HostId, Input, Intervals, LocalState, Member, MemberConfig, Output,
};
use rand_pcg::Pcg64;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

pub(crate) const TICK: Duration = Duration::from_millis(50);
/// A dial to a host that does not answer fails after this.
const DIAL: Duration = Duration::from_secs(3);
/// WebSocket header, mask and our tag, added to each frame's bytes.
pub(crate) const FRAMING: usize = 8 + 6;

pub(crate) const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

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

pub(crate) struct Slot {
    pub(crate) name: String,
    pub(crate) domain: usize,
    pub(crate) address: SocketAddr,
    pub(crate) member: Option<Member>,
    pub(crate) app: App,
    pub(crate) paused: bool,
    started: Duration,
    life: u64,
    chain: u64,
    inbox: Vec<Input>,
    pub(crate) sent_bytes: usize,
    pub(crate) sent_frames: usize,
    pub(crate) received_bytes: usize,
    /// Time spent in the member's code and in coding frames.
    pub(crate) busy: Duration,
}

/// Both ends of a connection.
#[derive(Clone, Copy)]
struct Wire {
    ends: [usize; 2],
    lives: [u64; 2],
    open: [bool; 2],
    /// When the last frame in each direction arrives; the next one comes later.
    last: [Duration; 2],
}

#[derive(Debug)]
enum Delivery {
    Dial {
        from: usize,
        life: u64,
        to: SocketAddr,
    },
    Up {
        conn: u64,
        end: usize,
        dialed: Option<SocketAddr>,
        card: Card,
    },
    DialFailed {
        at: usize,
        life: u64,
        address: SocketAddr,
        myself: bool,
    },
    Frame {
        conn: u64,
        to: usize,
        bytes: Vec<u8>,
    },
    Closed {
        conn: u64,
        to: usize,
    },
    Tick {
        at: usize,
        chain: u64,
    },
    App {
        at: usize,
        life: u64,
        input: Input,
    },
}

pub(crate) struct Fleet {
    pub(crate) now: Duration,
    pub(crate) nodes: Vec<Slot>,
    pub(crate) platform: Platform,
    pub(crate) tally: Tally,
    pub(crate) intervals: Intervals,
    /// Measure the time spent in each member, which makes a run slower but not different.
    pub(crate) clocked: bool,
    rng: Pcg64,
    cuts: BTreeSet<(usize, usize)>,
    wires: BTreeMap<u64, Wire>,
    held: Vec<Delivery>,
    queue: BTreeMap<(Duration, u64), Delivery>,
    counter: u64,
    /// How far wall clocks of hosts that start are behind.
    pub(crate) clock_back: Duration,
}

impl Fleet {
    /// `domains` failure domains of `each` hosts, none started.
    pub(crate) fn new(seed: u64, domains: usize, each: usize) -> Self {
        Self::of(seed, domains, domains * each)
    }

    /// So many hosts spread over so many failure domains, none started.
    pub(crate) fn of(seed: u64, domains: usize, hosts: usize) -> Self {
        let nodes = (0..hosts).map(|i| Slot::new(i, i % domains)).collect();
        Fleet {
            now: Duration::from_secs(1),
            nodes,
            platform: Platform::default(),
            tally: Tally::default(),
            intervals: Intervals {
                orphan: Duration::from_secs(5),
                ..Intervals::default()
            },
            clocked: false,
            rng: Pcg64::seed_from_u64(seed),
            cuts: BTreeSet::new(),
            wires: BTreeMap::new(),
            held: Vec::new(),
            queue: BTreeMap::new(),
            counter: 0,
            clock_back: Duration::ZERO,
        }
    }

    pub(crate) fn random(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    pub(crate) fn start_all(&mut self) {
        for i in 0..self.nodes.len() {
            self.start(i);
        }
    }

    pub(crate) fn seeds(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|n| n.address).collect()
    }

    pub(crate) fn start(&mut self, i: usize) {
        let seeds = self.seeds();
        self.start_with(i, seeds);
    }

    pub(crate) fn start_with(&mut self, i: usize, seeds: Vec<SocketAddr>) {
        let jitter = ms(self.random(50));
        let (now, intervals, clock_back) = (self.now, self.intervals, self.clock_back);
        let slot = &mut self.nodes[i];
        slot.life += 1;
        let card = Card {
            host: slot.name.clone(),
            domain: format!("hall-{}", slot.domain),
            region: format!("region-{}", slot.domain % 5),
            incarnation: (now - clock_back).as_millis() as u64,
            address: slot.address,
            caller: slot.address,
        };
        let cfg = MemberConfig {
            card,
            seeds,
            holders: 2,
            intervals,
        };
        slot.member = Some(Member::new(cfg, Duration::ZERO));
        slot.app = App::default();
        slot.paused = false;
        slot.started = now;
        slot.inbox.clear();
        slot.chain += 1;
        let chain = slot.chain;
        self.schedule(now + jitter, Delivery::Tick { at: i, chain });
        let local = LocalState {
            accepting: true,
            ..LocalState::default()
        };
        self.input(i, Input::Local(local));
        self.read_service(i);
    }

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

    pub(crate) fn is_up(&self, i: usize) -> bool {
        self.nodes[i].member.is_some()
    }

    pub(crate) fn up(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|i| self.is_up(*i)).collect()
    }

    fn apart(&self, a: usize, b: usize) -> bool {
        self.cuts.contains(&(a.min(b), a.max(b)))
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(at) = self.step(end) {
            self.now = at;
        }
        self.now = end;
    }

    /// Runs until `done`, at most `span`, and returns how long it took.
    pub(crate) fn run_until(
        &mut self,
        span: Duration,
        done: impl Fn(&Fleet) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while !done(self) {
            self.now = self.step(start + span)?;
        }
        Some(self.now - start)
    }

    /// Does what comes next before `end` and returns when that is.
    fn step(&mut self, end: Duration) -> Option<Duration> {
        let key = self
            .queue
            .keys()
            .next()
            .copied()
            .filter(|(at, _)| *at <= end)?;
        self.now = key.0.max(self.now);
        let delivery = self.queue.remove(&key)?;
        self.deliver(delivery);
        Some(self.now)
    }

    /// Each start and each return from a pause begins a new chain of ticks.
    fn tick(&mut self, i: usize, chain: u64) {
        if self.nodes[i].chain == chain && self.is_up(i) && !self.nodes[i].paused {
            self.schedule(self.now + TICK, Delivery::Tick { at: i, chain });
            self.input(i, Input::Tick);
        }
    }

    fn schedule(&mut self, at: Duration, delivery: Delivery) {
        self.counter += 1;
        self.queue.insert((at, self.counter), delivery);
    }

    /// An input from the node's other duties, a little later.
    pub(crate) fn later(&mut self, i: usize, after: Duration, input: Input) {
        let life = self.nodes[i].life;
        self.schedule(self.now + after, Delivery::App { at: i, life, input });
    }

    fn delay(&mut self, a: usize, b: usize) -> Duration {
        let near = self.nodes[a].domain == self.nodes[b].domain;
        let base = if near { 100 } else { 500 };
        let spread = if self.random(50) == 0 { 20_000 } else { 1000 };
        Duration::from_micros(base + self.random(spread))
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Dial { from, life, to } => self.dialed(from, life, to),
            Delivery::Up {
                conn,
                end,
                dialed,
                card,
            } => {
                let Some(wire) = self.wires.get(&conn) else {
                    return;
                };
                if wire.open[end] {
                    let conn = Conn(conn * 2 + end as u64);
                    self.input(wire.ends[end], Input::Connected { conn, card, dialed });
                }
            }
            Delivery::DialFailed {
                at,
                life,
                address,
                myself,
            } if self.nodes[at].life == life => {
                self.input(at, Input::DialFailed { address, myself });
            }
            Delivery::DialFailed { .. } => {}
            Delivery::Tick { at, chain } => self.tick(at, chain),
            Delivery::Frame { conn, to, bytes } => self.frame(conn, to, bytes),
            Delivery::Closed { conn, to } => self.closed(conn, to),
            Delivery::App { at, life, input } if self.nodes[at].life == life => {
                self.input(at, input);
            }
            Delivery::App { .. } => {}
        }
    }

    fn dialed(&mut self, from: usize, life: u64, address: SocketAddr) {
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

    fn frame(&mut self, conn: u64, to: usize, bytes: Vec<u8>) {
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

    fn closed(&mut self, conn: u64, to: usize) {
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

    fn close(&mut self, conn: u64, by: usize, silent: bool) {
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

    /// Gives a node an input and carries out what it wants; a paused node gets it later.
    pub(crate) fn input(&mut self, i: usize, input: Input) {
        let slot = &mut self.nodes[i];
        if slot.paused {
            if !matches!(input, Input::Tick) {
                slot.inbox.push(input);
            }
            return;
        }
        let Some(member) = slot.member.as_mut() else {
            return;
        };
        let start = self.clocked.then(std::time::Instant::now);
        let before = member.revision();
        let outputs = member.handle(input, self.now - slot.started);
        if member.revision() < before {
            self.platform
                .broken
                .push(format!("{i}: fell from {before}"));
        }
        slot.busy += start.map_or(Duration::ZERO, |s| s.elapsed());
        for output in outputs {
            self.output(i, output);
        }
    }

    fn output(&mut self, i: usize, output: Output) {
        match output {
            Output::Send { conn, frame } => self.send(i, conn, &frame),
            Output::Dial(to) => {
                let life = self.nodes[i].life;
                self.schedule(self.now + ms(1), Delivery::Dial { from: i, life, to });
            }
            Output::Close(conn) => self.close(conn.0 / 2, i, false),
            Output::HoldDone { id, ack } => self.held(i, id, ack),
            Output::Forwarded(_) => {}
            Output::Event(event) => self.event(i, event),
        }
    }

    fn send(&mut self, i: usize, conn: Conn, frame: &Frame) {
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

    fn event(&mut self, i: usize, event: Event) {
        self.on_event(i, event);
    }
}

impl Slot {
    fn new(i: usize, domain: usize) -> Self {
        let address = SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 7000));
        Slot {
            name: format!("host-{i}"),
            domain,
            address,
            member: None,
            app: App::default(),
            paused: false,
            started: Duration::ZERO,
            life: 0,
            chain: 0,
            inbox: Vec::new(),
            sent_bytes: 0,
            sent_frames: 0,
            received_bytes: 0,
            busy: Duration::ZERO,
        }
    }

    pub(crate) fn id(&self) -> HostId {
        HostId::of(&self.name)
    }

    pub(crate) fn revision(&self) -> u64 {
        self.member.as_ref().map_or(0, Member::revision)
    }
}
