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
use self::holds::Holds;
use self::roster::Roster;
use self::shares::Shares;
use self::spread::Spread;
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
    me: Card,
    id: HostId,
    domain: u32,
    holders: u8,
    timers: Intervals,
    now: Duration,
    next_beat: Duration,
    next_report: Duration,
    next_view: Duration,
    next_dial: Duration,
    links: BTreeMap<HostId, Link>,
    conns: BTreeMap<Conn, HostId>,
    roster: Roster,
    dialer: Dialer,
    spread: Spread,
    holds: Holds,
    counters: Counters,
    shares: Shares,
    summaries: Summaries,
    local: LocalState,
    stops: BTreeMap<String, Stop>,
    watching: Option<bool>,
    leaving: Option<Duration>,
    ended: bool,
    sync: RosterSync,
    roster_hash: u32,
    /// Hosts to have a link to, and since when.
    wanted: BTreeMap<HostId, Duration>,
    outbox: BTreeMap<HostId, Vec<Message>>,
    out: Vec<Output>,
}

/// A connection that passed the handshake.
#[derive(Debug)]
struct Link {
    conn: Conn,
    /// Whether the other side wants to keep it.
    wanted_there: bool,
    /// Whether this side does.
    wanted_here: bool,
    /// Since when neither does.
    unwanted_since: Option<Duration>,
    /// Whether the smaller id of the two dialed it, which decides between two connections.
    by_smaller: bool,
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
            next_beat: now,
            next_report: now + cfg.intervals.report,
            next_view: now,
            next_dial: now,
            links: BTreeMap::new(),
            conns: BTreeMap::new(),
            roster: Roster::new(id),
            dialer: Dialer::new(&cfg.seeds, cfg.card.address, now),
            spread: Spread::new(now),
            holds: Holds::default(),
            counters: Counters::default(),
            shares: Shares::new(now),
            summaries: Summaries::default(),
            local: LocalState::default(),
            stops: BTreeMap::new(),
            watching: None,
            leaving: None,
            ended: false,
            sync: RosterSync::new(now),
            roster_hash: 0,
            wanted: BTreeMap::new(),
            outbox: BTreeMap::new(),
            out: Vec::new(),
            me: cfg.card,
        }
    }

    /// Takes one input at a time that never goes back, and returns what it leads to.
    pub fn handle(&mut self, input: Input, now: Duration) -> Vec<Output> {
        self.wake(now);
        match input {
            _ if self.ended => {}
            Input::Connected { conn, card, dialed } => self.connected(conn, card, dialed),
            Input::Disconnected(conn) => self.disconnected(conn),
            Input::DialFailed { address, myself } => self.dialer.failed(address, myself, now),
            Input::Received { conn, frame } => self.received(conn, frame),
            Input::Adopted { revision, document } => self.adopted(revision, document),
            Input::Local(state) => self.set_local(state),
            Input::Hosts(list) => self.hosts(&list),
            Input::Hold { id, record } => self.hold(id, record),
            Input::Release(ids) => self.release(&ids),
            Input::Forward { to, payload } => self.forward(&to, payload),
            Input::Leave => self.leave(),
            Input::Tick => self.tick(),
        }
        self.flush()
    }

    /// This node's incarnation, which a joiner raises when its wall clock has gone back.
    pub fn incarnation(&self) -> u64 {
        self.me.incarnation
    }

    /// The revision that this member holds, 0 for none.
    pub fn revision(&self) -> u64 {
        self.spread.revision()
    }

    /// Hosts that this member has a link to.
    pub fn linked(&self) -> impl Iterator<Item = HostId> {
        self.links.keys().copied()
    }

    /// Bytes of records that are kept for other nodes.
    pub fn held_bytes(&self) -> usize {
        self.holds.held_bytes()
    }

    /// A process that was paused notices it here: everyone it hears of gets as much more time as
    /// the pause took. Without this it would suspect the whole fleet at its return and journal
    /// the records of owners that are alive.
    fn wake(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.now);
        if gap > self.timers.suspect / 2 {
            log::warn!("mesh: paused for {gap:?}; peers get as much more time");
            self.roster.shift(gap);
            self.summaries.shift(gap);
            self.shares.shift(gap);
        }
        self.now = self.now.max(now);
    }

    fn send(&mut self, to: HostId, message: Message) {
        self.outbox.entry(to).or_default().push(message);
    }

    fn send_all(&mut self, but: Option<HostId>, message: &Message) {
        let to: Vec<HostId> = self.links.keys().copied().collect();
        for host in to.into_iter().filter(|h| Some(*h) != but) {
            self.send(host, message.clone());
        }
    }

    fn emit(&mut self, event: Event) {
        self.out.push(Output::Event(event));
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
        out.append(&mut self.out);
        out
    }
}
