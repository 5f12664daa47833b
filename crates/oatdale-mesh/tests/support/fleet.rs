//! Many members in one process, with links that can be cut, and nodes that can be killed or paused.
//!
//! Time is counted, not measured; the same seed gives the same run. A cut keeps what is sent on a
//! connection until it heals, as TCP does; a silent kill tells nobody, as a host without power.
#![allow(dead_code)]

use super::app::{App, Platform};
use super::faults::Tally;
use super::network::Wire;
use oatdale_mesh::{
    Card, Conn, Event, HostId, Input, Intervals, LocalState, Member, MemberConfig, Output,
};
use rand_pcg::Pcg64;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

pub(crate) const TICK: Duration = Duration::from_millis(50);
pub(crate) const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub(crate) struct Slot {
    pub(crate) name: String,
    pub(crate) domain: usize,
    pub(crate) address: SocketAddr,
    pub(crate) member: Option<Member>,
    pub(crate) app: App,
    pub(crate) paused: bool,
    started: Duration,
    pub(super) life: u64,
    pub(super) chain: u64,
    pub(super) inbox: Vec<Input>,
    pub(crate) sent_bytes: usize,
    pub(crate) sent_frames: usize,
    pub(crate) received_bytes: usize,
    /// Time spent in the member's code and in coding frames.
    pub(crate) busy: Duration,
}

#[derive(Debug)]
pub(super) enum Delivery {
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
    pub(super) cuts: BTreeSet<(usize, usize)>,
    pub(super) wires: BTreeMap<u64, Wire>,
    pub(super) held: Vec<Delivery>,
    pub(super) queue: BTreeMap<(Duration, u64), Delivery>,
    pub(super) counter: u64,
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

    pub(crate) fn is_up(&self, i: usize) -> bool {
        self.nodes[i].member.is_some()
    }

    pub(crate) fn up(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|i| self.is_up(*i)).collect()
    }

    pub(super) fn apart(&self, a: usize, b: usize) -> bool {
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

    pub(super) fn schedule(&mut self, at: Duration, delivery: Delivery) {
        self.counter += 1;
        self.queue.insert((at, self.counter), delivery);
    }

    /// An input from the node's other duties, a little later.
    pub(crate) fn later(&mut self, i: usize, after: Duration, input: Input) {
        let life = self.nodes[i].life;
        self.schedule(self.now + after, Delivery::App { at: i, life, input });
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
