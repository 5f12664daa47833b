//! A deterministic simulation of a fleet of members in one process.
//!
//! Time is simulated, so the same seed gives the same run. Nodes can be killed or paused and the
//! network can be partitioned. A partition delays what is sent on a connection until it heals, as
//! TCP does; a silent kill closes no connection, as when a host loses power.
#![allow(dead_code)]

use super::app::{AppState, Platform};
use super::faults::RunStats;
use super::network::Connection;
use oatdale_mesh::{
    Card, ConnId, Event, HostId, Input, Intervals, LocalState, Member, MemberConfig, Output,
};
use rand_pcg::Pcg64;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Interval between two `Input::Tick` of a node.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(50);

pub(crate) const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A host of the fleet and the process that runs on it, if any.
pub(crate) struct SimNode {
    pub(crate) name: String,
    pub(crate) domain: usize,
    pub(crate) address: SocketAddr,
    /// `None` while the host is down.
    pub(crate) member: Option<Member>,
    pub(crate) app: AppState,
    pub(crate) paused: bool,
    started: Duration,
    /// Number of starts; events scheduled for an earlier process are dropped.
    pub(super) generation: u64,
    /// Raised by each start and each resume, so that ticks scheduled before it are dropped.
    pub(super) tick_epoch: u64,
    /// Inputs that arrived while the node was paused.
    pub(super) deferred_inputs: Vec<Input>,
    pub(crate) sent_bytes: usize,
    pub(crate) sent_frames: usize,
    pub(crate) received_bytes: usize,
    /// Real time spent in the member's code and in encoding and decoding frames.
    pub(crate) processing_time: Duration,
}

/// An event of the simulation; nodes are given by index.
#[derive(Debug)]
pub(super) enum ScheduledEvent {
    Dial {
        from: usize,
        generation: u64,
        to: SocketAddr,
    },
    /// The handshake is complete at one end of a connection.
    LinkUp {
        conn: u64,
        /// 0 for the dialer, 1 for the acceptor.
        end: usize,
        dialed: Option<SocketAddr>,
        card: Card,
    },
    DialFailed {
        node: usize,
        generation: u64,
        address: SocketAddr,
        is_self: bool,
    },
    Frame {
        conn: u64,
        /// The receiving end, 0 or 1.
        to: usize,
        bytes: Vec<u8>,
    },
    Closed {
        conn: u64,
        /// The end that learns of the close, 0 or 1.
        to: usize,
    },
    Tick {
        node: usize,
        tick_epoch: u64,
    },
    /// An input from the rest of the node.
    AppInput {
        node: usize,
        generation: u64,
        input: Input,
    },
}

/// The simulated fleet with its network and the platform's services.
pub(crate) struct Fleet {
    /// The simulated time.
    pub(crate) now: Duration,
    pub(crate) nodes: Vec<SimNode>,
    pub(crate) platform: Platform,
    pub(crate) stats: RunStats,
    pub(crate) intervals: Intervals,
    /// Whether to measure the processing time of each node, which slows a run down but does not
    /// change it.
    pub(crate) measure_processing: bool,
    rng: Pcg64,
    /// Pairs of nodes that can't reach each other, lower index first.
    pub(super) partitioned_pairs: BTreeSet<(usize, usize)>,
    pub(super) connections: BTreeMap<u64, Connection>,
    /// Frames and closes that were due while their link was partitioned.
    pub(super) blocked_events: Vec<ScheduledEvent>,
    /// Events by due time and, for equal times, in the order in which they were scheduled.
    pub(super) queue: BTreeMap<(Duration, u64), ScheduledEvent>,
    /// The last sequence number given to an event or a connection.
    pub(super) counter: u64,
    /// How far the wall clocks of hosts that start now are behind.
    pub(crate) clock_lag: Duration,
}

impl Fleet {
    /// Creates `domains` failure domains of `hosts_per_domain` hosts each, none of them started.
    pub(crate) fn new(seed: u64, domains: usize, hosts_per_domain: usize) -> Self {
        Self::with_hosts(seed, domains, domains * hosts_per_domain)
    }

    /// Creates `hosts` hosts spread evenly over `domains` failure domains, none of them started.
    pub(crate) fn with_hosts(seed: u64, domains: usize, hosts: usize) -> Self {
        let nodes = (0..hosts).map(|i| SimNode::new(i, i % domains)).collect();
        Fleet {
            now: Duration::from_secs(1),
            nodes,
            platform: Platform::default(),
            stats: RunStats::default(),
            intervals: Intervals {
                orphan_after: Duration::from_secs(5),
                ..Intervals::default()
            },
            measure_processing: false,
            rng: Pcg64::seed_from_u64(seed),
            partitioned_pairs: BTreeSet::new(),
            connections: BTreeMap::new(),
            blocked_events: Vec::new(),
            queue: BTreeMap::new(),
            counter: 0,
            clock_lag: Duration::ZERO,
        }
    }

    /// Returns a random number below `limit`, or 0 if `limit` is 0.
    pub(crate) fn random_below(&mut self, limit: u64) -> u64 {
        self.rng.next_u64() % limit.max(1)
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
        self.start_with_seeds(i, seeds);
    }

    pub(crate) fn start_with_seeds(&mut self, i: usize, seeds: Vec<SocketAddr>) {
        let jitter = ms(self.random_below(50));
        let (now, intervals, clock_lag) = (self.now, self.intervals, self.clock_lag);
        let sim_node = &mut self.nodes[i];
        sim_node.generation += 1;
        let card = Card {
            host: sim_node.name.clone(),
            domain: format!("hall-{}", sim_node.domain),
            region: format!("region-{}", sim_node.domain % 5),
            incarnation: (now - clock_lag).as_millis() as u64,
            address: sim_node.address,
            caller_address: sim_node.address,
        };
        let cfg = MemberConfig {
            card,
            seeds,
            holder_count: 2,
            intervals,
        };
        sim_node.member = Some(Member::new(cfg, Duration::ZERO));
        sim_node.app = AppState::default();
        sim_node.paused = false;
        sim_node.started = now;
        sim_node.deferred_inputs.clear();
        sim_node.tick_epoch += 1;
        let tick_epoch = sim_node.tick_epoch;
        self.schedule(
            now + jitter,
            ScheduledEvent::Tick {
                node: i,
                tick_epoch,
            },
        );
        let local = LocalState {
            accepting: true,
            ..LocalState::default()
        };
        self.deliver_input(i, Input::Local(local));
        self.read_config(i);
    }

    pub(crate) fn is_live(&self, i: usize) -> bool {
        self.nodes[i].member.is_some()
    }

    /// Nodes with a process, paused ones included.
    pub(crate) fn live_nodes(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|i| self.is_live(*i)).collect()
    }

    pub(super) fn is_partitioned(&self, a: usize, b: usize) -> bool {
        self.partitioned_pairs.contains(&(a.min(b), a.max(b)))
    }

    /// Advances the simulated time by `span`.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(at) = self.step(end) {
            self.now = at;
        }
        self.now = end;
    }

    /// Runs until `done` holds and returns how long that took, or `None` if it took more than
    /// `span`.
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

    /// Processes the next event that is due by `end` and returns its time.
    fn step(&mut self, end: Duration) -> Option<Duration> {
        let key = self
            .queue
            .keys()
            .next()
            .copied()
            .filter(|(at, _)| *at <= end)?;
        self.now = key.0.max(self.now);
        let scheduled = self.queue.remove(&key)?;
        self.dispatch(scheduled);
        Some(self.now)
    }

    /// Delivers a tick and schedules the next one, unless a later start or resume has begun a new
    /// series of ticks.
    fn tick(&mut self, i: usize, tick_epoch: u64) {
        if self.nodes[i].tick_epoch == tick_epoch && self.is_live(i) && !self.nodes[i].paused {
            self.schedule(
                self.now + TICK_INTERVAL,
                ScheduledEvent::Tick {
                    node: i,
                    tick_epoch,
                },
            );
            self.deliver_input(i, Input::Tick);
        }
    }

    pub(super) fn schedule(&mut self, at: Duration, scheduled: ScheduledEvent) {
        self.counter += 1;
        self.queue.insert((at, self.counter), scheduled);
    }

    /// Delivers an input from the rest of the node after a delay, unless the node is restarted
    /// before that.
    pub(crate) fn schedule_input(&mut self, i: usize, after: Duration, input: Input) {
        let generation = self.nodes[i].generation;
        self.schedule(
            self.now + after,
            ScheduledEvent::AppInput {
                node: i,
                generation,
                input,
            },
        );
    }

    fn dispatch(&mut self, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::Dial {
                from,
                generation,
                to,
            } => self.complete_dial(from, generation, to),
            ScheduledEvent::LinkUp {
                conn,
                end,
                dialed,
                card,
            } => {
                let Some(connection) = self.connections.get(&conn) else {
                    return;
                };
                if connection.open[end] {
                    let conn = ConnId(conn * 2 + end as u64);
                    self.deliver_input(
                        connection.ends[end],
                        Input::Connected { conn, card, dialed },
                    );
                }
            }
            ScheduledEvent::DialFailed {
                node,
                generation,
                address,
                is_self,
            } if self.nodes[node].generation == generation => {
                self.deliver_input(node, Input::DialFailed { address, is_self });
            }
            ScheduledEvent::DialFailed { .. } => {}
            ScheduledEvent::Tick { node, tick_epoch } => self.tick(node, tick_epoch),
            ScheduledEvent::Frame { conn, to, bytes } => self.deliver_frame(conn, to, bytes),
            ScheduledEvent::Closed { conn, to } => self.deliver_close(conn, to),
            ScheduledEvent::AppInput {
                node,
                generation,
                input,
            } if self.nodes[node].generation == generation => {
                self.deliver_input(node, input);
            }
            ScheduledEvent::AppInput { .. } => {}
        }
    }

    /// Delivers an input to a node and carries out the outputs. A paused node gets it on resume,
    /// but no ticks.
    pub(crate) fn deliver_input(&mut self, i: usize, input: Input) {
        let sim_node = &mut self.nodes[i];
        if sim_node.paused {
            if !matches!(input, Input::Tick) {
                sim_node.deferred_inputs.push(input);
            }
            return;
        }
        let Some(member) = sim_node.member.as_mut() else {
            return;
        };
        let start = self.measure_processing.then(std::time::Instant::now);
        let before = member.revision();
        let outputs = member.handle(input, self.now - sim_node.started);
        if member.revision() < before {
            self.platform
                .violations
                .push(format!("node {i}: revision fell below {before}"));
        }
        sim_node.processing_time += start.map_or(Duration::ZERO, |s| s.elapsed());
        for output in outputs {
            self.apply_output(i, output);
        }
    }

    fn apply_output(&mut self, i: usize, output: Output) {
        match output {
            Output::Send { conn, frame } => self.send(i, conn, &frame),
            Output::Dial(to) => {
                let generation = self.nodes[i].generation;
                self.schedule(
                    self.now + ms(1),
                    ScheduledEvent::Dial {
                        from: i,
                        generation,
                        to,
                    },
                );
            }
            Output::Close(conn) => self.close(conn.0 / 2, i, false),
            Output::HoldDone { id, ack } => self.on_hold_done(i, id, ack),
            Output::Forwarded(_) => {}
            Output::Event(event) => self.deliver_event(i, event),
        }
    }

    fn deliver_event(&mut self, i: usize, event: Event) {
        self.on_event(i, event);
    }
}

impl SimNode {
    fn new(i: usize, domain: usize) -> Self {
        let address = SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 7000));
        SimNode {
            name: format!("host-{i}"),
            domain,
            address,
            member: None,
            app: AppState::default(),
            paused: false,
            started: Duration::ZERO,
            generation: 0,
            tick_epoch: 0,
            deferred_inputs: Vec::new(),
            sent_bytes: 0,
            sent_frames: 0,
            received_bytes: 0,
            processing_time: Duration::ZERO,
        }
    }

    pub(crate) fn id(&self) -> HostId {
        HostId::of(&self.name)
    }

    pub(crate) fn revision(&self) -> u64 {
        self.member.as_ref().map_or(0, Member::revision)
    }
}
