//! One member of the mesh as a state machine without I/O and without a clock.
//!
//! Whatever happens is an [`Input`] at a time counted from the member's start; what it leads to is
//! a list of [`Output`]s. The same code runs over sockets and over a test's in-memory links.

mod config;
mod counters;
mod dialer;
mod holds;
mod inbox;
mod limits;
mod orphans;
mod roster;
mod shares;
mod spread;
mod summary;
mod upkeep;

pub use self::spread::{newer, settled};

use self::counters::Counters;
use self::dialer::Dialer;
use self::holds::RecordStore;
use self::roster::Roster;
use self::shares::Shares;
use self::spread::ConfigReplica;
use self::summary::Summaries;
use self::upkeep::RosterSync;
use crate::cfg::Intervals;
use crate::types::{Event, HoldAck, HostId, ListedHost, LocalState, Stop};
use crate::wire::{Card, Frame, Message};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Names one connection; the transport counts them.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct Conn(pub u64);

/// Stops that are kept; the operators' text has far fewer versions.
const MAX_STOPS: usize = 1024;

/// What a member is made of.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    /// This node's card.
    pub card: Card,
    /// Nodes to ask first.
    pub seeds: Vec<SocketAddr>,
    /// Nodes that keep each record.
    pub holders: u8,
    /// Timers.
    pub intervals: Intervals,
}

/// Something that happened.
#[derive(Clone, PartialEq, Debug)]
pub enum Input {
    /// A connection passed the handshake.
    Connected {
        /// Its name.
        conn: Conn,
        /// Who is at the other end.
        card: Card,
        /// The address that was dialed, if this node dialed.
        dialed: Option<SocketAddr>,
    },
    /// A connection ended.
    Disconnected(Conn),
    /// A dial failed.
    DialFailed {
        /// The address.
        address: SocketAddr,
        /// Whether this node itself answered.
        myself: bool,
    },
    /// A frame arrived.
    Received {
        /// On this connection.
        conn: Conn,
        /// What it says.
        frame: Frame,
    },
    /// See [`Command::Adopted`](crate::Command::Adopted).
    Adopted {
        /// Its revision.
        revision: u64,
        /// The whole text.
        document: Bytes,
    },
    /// See [`Command::Local`](crate::Command::Local).
    Local(LocalState),
    /// See [`Command::Hosts`](crate::Command::Hosts).
    Hosts(Vec<ListedHost>),
    /// See [`Command::Hold`](crate::Command::Hold).
    Hold {
        /// The request.
        id: u128,
        /// What to keep.
        record: Bytes,
    },
    /// See [`Command::Release`](crate::Command::Release).
    Release(Vec<u128>),
    /// See [`Command::Forward`](crate::Command::Forward).
    Forward {
        /// The host's name.
        to: String,
        /// The payload.
        payload: Bytes,
    },
    /// See [`Command::Leave`](crate::Command::Leave).
    Leave,
    /// Time passed.
    Tick,
}

/// Something to do.
#[derive(Clone, PartialEq, Debug)]
pub enum Output {
    /// Send a frame.
    Send {
        /// On this connection.
        conn: Conn,
        /// What to send.
        frame: Frame,
    },
    /// Connect to an address.
    Dial(SocketAddr),
    /// Close a connection once what was sent before is written.
    Close(Conn),
    /// Tell the node.
    Event(Event),
    /// Answer a `Hold`.
    HoldDone {
        /// The request.
        id: u128,
        /// How it ended.
        ack: HoldAck,
    },
    /// Answer a `Forward`.
    Forwarded(bool),
}

/// One member.
#[derive(Debug)]
pub struct Member {
    local_card: Card,
    id: HostId,
    domain: u32,
    holders: u8,
    timers: Intervals,
    now: Duration,
    next_heartbeat: Duration,
    next_report: Duration,
    next_maintenance: Duration,
    next_dial: Duration,
    links: BTreeMap<HostId, Link>,
    conns: BTreeMap<Conn, HostId>,
    roster: Roster,
    dialer: Dialer,
    config_replica: ConfigReplica,
    record_store: RecordStore,
    counters: Counters,
    shares: Shares,
    summaries: Summaries,
    local: LocalState,
    stops: BTreeMap<String, Stop>,
    watching: Option<bool>,
    leaving_since: Option<Duration>,
    ended: bool,
    sync: RosterSync,
    roster_hash: u32,
    /// Hosts to have a link to, and since when.
    wanted_links: BTreeMap<HostId, Duration>,
    outbox: BTreeMap<HostId, Vec<Message>>,
    outputs: Vec<Output>,
}

/// A connection that passed the handshake.
#[derive(Debug)]
struct Link {
    conn: Conn,
    /// Whether the other side wants to keep it.
    wanted_by_peer: bool,
    /// Whether this side does.
    wanted_locally: bool,
    /// Since when neither does.
    unwanted_since: Option<Duration>,
    /// Whether the smaller id of the two dialed it, which decides between two connections.
    dialed_by_smaller_id: bool,
}

impl Member {
    /// A member that starts at `now`.
    pub fn new(cfg: MemberConfig, now: Duration) -> Self {
        let id = cfg.card.id();
        let domain = crate::types::name_hash(&cfg.card.domain);
        Member {
            id,
            domain,
            holders: cfg.holders,
            timers: cfg.intervals,
            now,
            next_heartbeat: now,
            next_report: now + cfg.intervals.report,
            next_maintenance: now,
            next_dial: now,
            links: BTreeMap::new(),
            conns: BTreeMap::new(),
            roster: Roster::new(id),
            dialer: Dialer::new(&cfg.seeds, cfg.card.address, now),
            config_replica: ConfigReplica::new(now),
            record_store: RecordStore::default(),
            counters: Counters::default(),
            shares: Shares::new(now),
            summaries: Summaries::default(),
            local: LocalState::default(),
            stops: BTreeMap::new(),
            watching: None,
            leaving_since: None,
            ended: false,
            sync: RosterSync::new(now),
            roster_hash: 0,
            wanted_links: BTreeMap::new(),
            outbox: BTreeMap::new(),
            outputs: Vec::new(),
            local_card: cfg.card,
        }
    }

    /// Takes one input at a time that never goes back, and returns what it leads to.
    pub fn handle(&mut self, input: Input, now: Duration) -> Vec<Output> {
        self.compensate_pause(now);
        match input {
            _ if self.ended => {}
            Input::Connected { conn, card, dialed } => self.on_connected(conn, card, dialed),
            Input::Disconnected(conn) => self.on_disconnected(conn),
            Input::DialFailed { address, myself } => self.dialer.dial_failed(address, myself, now),
            Input::Received { conn, frame } => self.on_frame(conn, frame),
            Input::Adopted { revision, document } => self.on_adopted(revision, document),
            Input::Local(state) => self.set_local_state(state),
            Input::Hosts(list) => self.on_host_list(&list),
            Input::Hold { id, record } => self.on_hold(id, record),
            Input::Release(ids) => self.on_release(&ids),
            Input::Forward { to, payload } => self.on_forward(&to, payload),
            Input::Leave => self.on_leave(),
            Input::Tick => self.on_tick(),
        }
        self.flush()
    }

    /// This node's incarnation, which a joiner raises when its wall clock has gone back.
    pub fn incarnation(&self) -> u64 {
        self.local_card.incarnation
    }

    /// The revision that this member holds, 0 for none.
    pub fn revision(&self) -> u64 {
        self.config_replica.revision()
    }

    /// Hosts that this member has a link to.
    pub fn linked(&self) -> impl Iterator<Item = HostId> {
        self.links.keys().copied()
    }

    /// Bytes of records that are kept for other nodes.
    pub fn held_bytes(&self) -> usize {
        self.record_store.held_bytes()
    }

    /// A process that was paused notices it here: everyone it hears of gets as much more time as
    /// the pause took. Without this it would suspect the whole fleet at its return and journal
    /// the records of owners that are alive.
    fn compensate_pause(&mut self, now: Duration) {
        let pause = now.saturating_sub(self.now);
        if pause > self.timers.suspect / 2 {
            log::warn!("mesh: paused for {pause:?}; peers get as much more time");
            self.roster.shift(pause);
            self.summaries.shift(pause);
            self.shares.shift(pause);
        }
        self.now = self.now.max(now);
    }

    fn send(&mut self, to: HostId, message: Message) {
        self.outbox.entry(to).or_default().push(message);
    }

    fn broadcast(&mut self, except: Option<HostId>, message: &Message) {
        let recipients: Vec<HostId> = self.links.keys().copied().collect();
        for host in recipients.into_iter().filter(|h| Some(*h) != except) {
            self.send(host, message.clone());
        }
    }

    fn emit(&mut self, event: Event) {
        self.outputs.push(Output::Event(event));
    }

    /// Links within this node's failure domain.
    fn domain_links(&self) -> Vec<HostId> {
        self.links
            .keys()
            .copied()
            .filter(|h| self.roster.domain_of(*h) == Some(self.domain))
            .collect()
    }

    fn flush(&mut self) -> Vec<Output> {
        let mut out = Vec::new();
        for (host, messages) in std::mem::take(&mut self.outbox) {
            let Some(link) = self.links.get(&host) else {
                continue;
            };
            let conn = link.conn;
            out.extend(
                Frame::pack(messages)
                    .into_iter()
                    .map(|frame| Output::Send { conn, frame }),
            );
        }
        // A close comes after what is still to be said on that connection.
        out.append(&mut self.outputs);
        out
    }
}
