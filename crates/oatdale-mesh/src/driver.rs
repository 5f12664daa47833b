//! The task that drives a [`Member`] over WebSockets.

use crate::cfg::{Listen, MeshConfig};
use crate::error::{ListenSnafu, Result};
use crate::link::{self, LinkContext, LinkEvent};
use crate::member::{ConnId, Input, Member, MemberConfig, Output};
use crate::types::{Command, Event, HoldAck};
use crate::wire::{Card, Frame};
use snafu::ResultExt;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

/// How often the member checks its timers.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of connections and dials in progress, including unauthenticated ones.
const MAX_CONNECTIONS: usize = 1024;
/// Capacity of the queue of link events that the member has not processed yet.
const LINK_EVENT_QUEUE: usize = 1024;
/// Maximum number of events that the node has not received yet.
const MAX_QUEUED_EVENTS: usize = 256;
/// How long links may take to write their queued frames on shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs one node's part of the mesh until the node leaves or drops `rx`.
///
/// # Errors
///
/// Returns an error at the start if the settings are invalid or the address can't be bound.
/// Failures of single peers are logged, and the peers are dialed again.
pub async fn run(
    cfg: MeshConfig,
    rx: mpsc::Receiver<Command>,
    tx: mpsc::Sender<Event>,
) -> Result<()> {
    cfg.check()?;
    let card = card(&cfg);
    let listener = bind(cfg.listen).await?;
    let (link_events_tx, link_events_rx) = mpsc::channel(LINK_EVENT_QUEUE);
    let member = MemberConfig {
        card: card.clone(),
        seeds: cfg.seeds,
        holder_count: cfg.holder_count,
        intervals: cfg.intervals,
    };
    let driver = Driver {
        member: Member::new(member, Duration::ZERO),
        card,
        key: cfg.key.into(),
        start: Instant::now(),
        links: HashMap::new(),
        next_conn: 0,
        tasks: JoinSet::new(),
        link_events_tx,
        hold_replies: HashMap::new(),
        forward_reply: None,
        events: VecDeque::new(),
        finished: false,
    };
    driver.run(listener, rx, link_events_rx, tx).await;
    Ok(())
}

struct Driver {
    member: Member,
    card: Card,
    key: Arc<[u8]>,
    start: Instant,
    links: HashMap<ConnId, mpsc::Sender<Frame>>,
    next_conn: u64,
    tasks: JoinSet<()>,
    link_events_tx: mpsc::Sender<LinkEvent>,
    hold_replies: HashMap<u128, oneshot::Sender<HoldAck>>,
    forward_reply: Option<oneshot::Sender<bool>>,
    events: VecDeque<Event>,
    finished: bool,
}

impl Driver {
    async fn run(
        mut self,
        listener: TcpListener,
        mut rx: mpsc::Receiver<Command>,
        mut link_events_rx: mpsc::Receiver<LinkEvent>,
        tx: mpsc::Sender<Event>,
    ) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while !(self.finished && self.events.is_empty()) {
            tokio::select! {
                permit = tx.reserve(), if !self.events.is_empty() => match permit {
                    Ok(permit) => {
                        if let Some(event) = self.events.pop_front() {
                            permit.send(event);
                        }
                    }
                    Err(_) => break,
                },
                command = rx.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => break,
                },
                Some(event) = link_events_rx.recv() => self.handle_link_event(event),
                Ok((stream, _)) = listener.accept() => self.accept(stream),
                Some(_) = self.tasks.join_next() => {}
                _ = ticks.tick() => self.handle_input(Input::Tick),
            }
        }
        self.shut_down(link_events_rx).await;
    }

    /// Closes all links after they have written their queued frames or the timeout has passed.
    async fn shut_down(mut self, mut link_events_rx: mpsc::Receiver<LinkEvent>) {
        self.links.clear();
        let drain_links = async {
            loop {
                tokio::select! {
                    Some(_) = link_events_rx.recv() => {}
                    task = self.tasks.join_next() => if task.is_none() { break },
                }
            }
        };
        let _ = timeout(SHUTDOWN_TIMEOUT, drain_links).await;
    }

    fn handle_command(&mut self, command: Command) {
        let input = match command {
            Command::ConfigInForce { revision, document } => {
                Input::ConfigInForce { revision, document }
            }
            Command::Local(state) => Input::Local(state),
            Command::Hosts(list) => Input::Hosts(list),
            Command::Hold { id, record, reply } => {
                self.hold_replies.insert(id, reply);
                Input::Hold { id, record }
            }
            Command::Release(ids) => Input::Release(ids),
            Command::Forward { to, payload, reply } => {
                self.forward_reply = Some(reply);
                Input::Forward { to, payload }
            }
            Command::Leave => Input::Leave,
        };
        self.handle_input(input);
    }

    fn handle_link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up {
                conn,
                card,
                dialed,
                tx,
            } => {
                self.links.insert(conn, tx);
                self.handle_input(Input::Connected { conn, card, dialed });
            }
            LinkEvent::Frame { conn, frame } => self.handle_input(Input::Received { conn, frame }),
            LinkEvent::Down { conn } => {
                self.links.remove(&conn);
                self.handle_input(Input::Disconnected(conn));
            }
            LinkEvent::DialFailed { address, is_self } => {
                self.handle_input(Input::DialFailed { address, is_self });
            }
        }
    }

    fn handle_input(&mut self, input: Input) {
        let mut stalled = Vec::new();
        for output in self.member.handle(input, self.start.elapsed()) {
            match output {
                Output::Send { conn, frame } => {
                    let sent = self.links.get(&conn).map(|tx| tx.try_send(frame));
                    stalled.extend(matches!(sent, Some(Err(_))).then_some(conn));
                }
                Output::Dial(address) => self.dial(address),
                // The link writes all queued frames before it sees that its sender was dropped.
                Output::Close(conn) => drop(self.links.remove(&conn)),
                Output::Event(event) => self.queue_event(event),
                Output::HoldDone { id, ack } => {
                    if let Some(reply) = self.hold_replies.remove(&id) {
                        let _ = reply.send(ack);
                    }
                }
                Output::Forwarded(sent) => {
                    if let Some(reply) = self.forward_reply.take() {
                        let _ = reply.send(sent);
                    }
                }
            }
        }
        // Queueing for a peer that does not read would use unbounded memory.
        for conn in stalled {
            log::warn!("mesh: link write queue is full, the peer does not read; closing the link");
            self.links.remove(&conn);
            self.handle_input(Input::Disconnected(conn));
        }
        self.card.incarnation = self.member.incarnation();
    }

    fn link_context(&mut self) -> LinkContext {
        self.next_conn += 1;
        LinkContext {
            conn: ConnId(self.next_conn),
            card: self.card.clone(),
            key: self.key.clone(),
            tx: self.link_events_tx.clone(),
        }
    }

    fn dial(&mut self, address: SocketAddr) {
        if self.tasks.len() < MAX_CONNECTIONS {
            let cx = self.link_context();
            self.tasks.spawn(link::dial(cx, address));
        }
    }

    fn accept(&mut self, stream: TcpStream) {
        if self.tasks.len() < MAX_CONNECTIONS {
            let cx = self.link_context();
            self.tasks.spawn(link::accept(cx, stream));
        }
    }

    /// Queues an event. It replaces a queued event of its kind if it makes that one obsolete.
    fn queue_event(&mut self, event: Event) {
        self.finished |= matches!(event, Event::LeaveDone | Event::Superseded { .. });
        let kind = std::mem::discriminant(&event);
        if is_replaceable(&event) {
            self.events.retain(|e| std::mem::discriminant(e) != kind);
        }
        self.events.push_back(event);
        if self.events.len() > MAX_QUEUED_EVENTS {
            // Orphans are reported again, and forwarded payloads are delivered at most once.
            let may_drop = |e: &Event| matches!(e, Event::Orphans(_) | Event::Forwarded { .. });
            let oldest = self.events.iter().position(may_drop);
            self.events.remove(oldest.unwrap_or(0));
        }
    }
}

fn is_replaceable(event: &Event) -> bool {
    match event {
        Event::Document { .. }
        | Event::Peers(_)
        | Event::Demand(_)
        | Event::Evidence(_)
        | Event::Stops(_)
        | Event::WatchKey(_) => true,
        Event::Joined { .. }
        | Event::Orphans(_)
        | Event::Forwarded { .. }
        | Event::Superseded { .. }
        | Event::LeaveDone => false,
    }
}

fn card(cfg: &MeshConfig) -> Card {
    Card {
        host: cfg.host.clone(),
        domain: cfg.domain.clone(),
        region: cfg.region.clone(),
        incarnation: cfg.incarnation,
        address: cfg.advertise,
        caller_address: cfg.caller_address,
    }
}

async fn bind(listen: Listen) -> Result<TcpListener> {
    match listen {
        Listen::Address(address) => TcpListener::bind(address).await.context(ListenSnafu {
            address: address.to_string(),
        }),
        Listen::Bound(socket) => {
            let address = || ListenSnafu {
                address: "the provided socket",
            };
            socket.set_nonblocking(true).with_context(|_| address())?;
            TcpListener::from_std(socket).with_context(|_| address())
        }
    }
}
