//! A mesh member as a state machine without I/O and without a clock.
//!
//! Every occurrence is an [`Input`] at a time counted from the member's start and yields a list of
//! [`Output`]s. The same code runs over sockets and over a test's in-memory links.

mod config_replica;
mod config_sync;
mod counters;
mod dialer;
mod handlers;
mod limits;
mod maintenance;
mod orphans;
mod record_store;
mod roster;
mod shares;
mod summary;

pub use self::config_replica::{enough_answers, supersedes};

use self::config_replica::ConfigReplica;
use self::counters::Counters;
use self::dialer::Dialer;
use self::maintenance::RosterSync;
use self::record_store::RecordStore;
use self::roster::Roster;
use self::shares::Shares;
use self::summary::Summaries;
use crate::cfg::Intervals;
use crate::types::{Event, HoldAck, HostId, ListedHost, LocalState, Stop};
use crate::wire::{Card, Frame, Message};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Identifies one connection; the transport numbers them.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct ConnId(pub u64);

/// Maximum number of stopped versions kept; the operators' configuration names far fewer.
const MAX_STOPS: usize = 1024;

/// The settings of a member.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    /// The card of this node, which describes it to peers.
    pub card: Card,
    /// Nodes to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Number of other nodes that hold a replica of each record.
    pub holder_count: u8,
    /// Timers.
    pub intervals: Intervals,
}

/// An occurrence that the member reacts to.
#[derive(Clone, PartialEq, Debug)]
pub enum Input {
    /// A connection passed the handshake.
    Connected {
        /// The connection.
        conn: ConnId,
        /// The card of the peer.
        card: Card,
        /// The address that was dialed, if this node dialed.
        dialed: Option<SocketAddr>,
    },
    /// A connection ended.
    Disconnected(ConnId),
    /// A dial failed.
    DialFailed {
        /// The address.
        address: SocketAddr,
        /// Whether the address turned out to be this node's own.
        is_self: bool,
    },
    /// A frame arrived.
    Received {
        /// The connection.
        conn: ConnId,
        /// The messages received.
        frame: Frame,
    },
    /// See [`Command::ConfigInForce`](crate::Command::ConfigInForce).
    ConfigInForce {
        /// Revision of the configuration.
        revision: u64,
        /// The complete document.
        document: Bytes,
    },
    /// See [`Command::Local`](crate::Command::Local).
    Local(LocalState),
    /// See [`Command::Hosts`](crate::Command::Hosts).
    Hosts(Vec<ListedHost>),
    /// See [`Command::Hold`](crate::Command::Hold).
    Hold {
        /// Id of the request.
        id: u128,
        /// The record to replicate.
        record: Bytes,
    },
    /// See [`Command::Release`](crate::Command::Release).
    Release(Vec<u128>),
    /// See [`Command::Forward`](crate::Command::Forward).
    Forward {
        /// Name of the destination host.
        to: String,
        /// The payload.
        payload: Bytes,
    },
    /// See [`Command::Leave`](crate::Command::Leave).
    Leave,
    /// Time has passed; timers that are due fire.
    Tick,
}

/// An action for the caller to take.
#[derive(Clone, PartialEq, Debug)]
pub enum Output {
    /// Send a frame.
    Send {
        /// The connection.
        conn: ConnId,
        /// The messages to send.
        frame: Frame,
    },
    /// Connect to an address.
    Dial(SocketAddr),
    /// Close a connection once all earlier frames on it are written.
    Close(ConnId),
    /// Pass an event to the node.
    Event(Event),
    /// Reply to a `Hold`.
    HoldDone {
        /// Id of the request.
        id: u128,
        /// The outcome.
        ack: HoldAck,
    },
    /// Reply to a `Forward`: whether the payload was handed to a link.
    Forwarded(bool),
}

/// A mesh member.
#[derive(Debug)]
pub struct Member {
    local_card: Card,
    id: HostId,
    domain: u32,
    holder_count: u8,
    timers: Intervals,
    now: Duration,
    next_heartbeat: Duration,
    next_report: Duration,
    next_maintenance: Duration,
    next_dial: Duration,
    links: BTreeMap<HostId, Link>,
    conns: BTreeMap<ConnId, HostId>,
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
    /// Hosts that this node needs a link to, and since when.
    wanted_links: BTreeMap<HostId, Duration>,
    outbox: BTreeMap<HostId, Vec<Message>>,
    outputs: Vec<Output>,
}

/// An authenticated connection to a peer.
#[derive(Debug)]
struct Link {
    conn: ConnId,
    /// Whether the peer wants to keep it.
    wanted_by_peer: bool,
    /// Whether this node wants to keep it.
    wanted_locally: bool,
    /// Since when neither side has wanted it.
    unwanted_since: Option<Duration>,
    /// Whether the node with the smaller id dialed it, which decides which of two connections is
    /// kept.
    dialed_by_smaller_id: bool,
}

impl Member {
    /// Creates a member that starts at `now`.
    pub fn new(cfg: MemberConfig, now: Duration) -> Self {
        let id = cfg.card.id();
        let domain = crate::types::name_hash(&cfg.card.domain);
        Member {
            id,
            domain,
            holder_count: cfg.holder_count,
            timers: cfg.intervals,
            now,
            next_heartbeat: now,
            next_report: now + cfg.intervals.report_interval,
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

    /// Applies one input and returns the resulting actions; `now` must not decrease.
    pub fn handle(&mut self, input: Input, now: Duration) -> Vec<Output> {
        self.compensate_pause(now);
        match input {
            _ if self.ended => {}
            Input::Connected { conn, card, dialed } => self.on_connected(conn, card, dialed),
            Input::Disconnected(conn) => self.on_disconnected(conn),
            Input::DialFailed { address, is_self } => self.dialer.on_failure(address, is_self, now),
            Input::Received { conn, frame } => self.on_frame(conn, frame),
            Input::ConfigInForce { revision, document } => self.on_local_config(revision, document),
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

    /// Incarnation of this process. A joining node raises it if its wall clock has gone back.
    pub fn incarnation(&self) -> u64 {
        self.local_card.incarnation
    }

    /// Revision of the configuration held, 0 for none.
    pub fn revision(&self) -> u64 {
        self.config_replica.revision()
    }

    /// Hosts that this node has a link to.
    pub fn linked_hosts(&self) -> impl Iterator<Item = HostId> {
        self.links.keys().copied()
    }

    /// Memory taken by records held for other nodes, in bytes.
    pub fn replica_bytes(&self) -> usize {
        self.record_store.replica_bytes()
    }

    /// Extends the deadlines of all peers by the time that this process was paused. Otherwise it
    /// would suspect the whole fleet when it resumes and journal the records of owners that are
    /// alive.
    fn compensate_pause(&mut self, now: Duration) {
        let pause = now.saturating_sub(self.now);
        if pause > self.timers.suspect_after / 2 {
            log::warn!(
                "mesh: process was paused for {pause:?}; peer deadlines are extended by this time"
            );
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

    /// Hosts of this node's failure domain that it has a link to.
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
        // Frames queued for a connection go out before its close.
        out.append(&mut self.outputs);
        out
    }
}
