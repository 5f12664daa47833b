//! The membership duty: carries news between the mesh and the node's other duties.

use crate::append::{AppendHandle, Appenders};
use crate::bill::{BillHandle, closing_of};
use crate::cx::wall_clock;
use crate::front::Phase;
use crate::latest::Latest;
use crate::live::Live;
use crate::metrics::Metrics;
use crate::prefer::{appenders, preferred_shards};
use crate::route::{Report, RouteHandle};
use crate::stops::{Informed, StopList};
use bytes::Bytes;
use log::{error, info, warn};
use oatdale_journal::{BillRecord, JournalHandle, Preferred};
use oatdale_mesh::{
    Command, Event, LocalState, PeerState, PeerView, Share, VersionCounters, name_hash, reachable,
};
use oatdale_policy::VersionCounters as Counters;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, interval};

/// How often the mesh is told what this node does.
const TELL_INTERVAL: Duration = Duration::from_millis(500);

/// The name under which the sums over all other nodes enter the router's evidence.
const OTHER_NODES: u64 = 0;

/// What the membership duty reads and writes.
pub(crate) struct Duty {
    pub(crate) host: String,
    pub(crate) domain: String,
    pub(crate) events: mpsc::Receiver<Event>,
    pub(crate) commands: mpsc::Sender<Command>,
    pub(crate) documents: mpsc::Sender<Bytes>,
    pub(crate) live: Latest<Live>,
    pub(crate) heard: watch::Sender<Instant>,
    pub(crate) service_up: watch::Receiver<Option<bool>>,
    pub(crate) watches: watch::Sender<bool>,
    pub(crate) peers: watch::Sender<Arc<Vec<PeerView>>>,
    pub(crate) preferred: watch::Sender<Preferred>,
    pub(crate) appenders: watch::Sender<Appenders>,
    pub(crate) reports: watch::Receiver<Report>,
    pub(crate) stops: StopList,
    pub(crate) informed: watch::Sender<Informed>,
    pub(crate) phase: watch::Receiver<Phase>,
    pub(crate) listening: watch::Receiver<usize>,
    pub(crate) superseded: watch::Sender<bool>,
    pub(crate) route: RouteHandle,
    pub(crate) journal: JournalHandle,
    pub(crate) bills: BillHandle,
    pub(crate) append: AppendHandle,
    pub(crate) metrics: Metrics,
}

/// Runs the duty until the mesh ends.
pub(crate) async fn run(mut duty: Duty) {
    let mut tell = interval(TELL_INTERVAL);
    loop {
        tokio::select! {
            event = duty.events.recv() => match event {
                Some(Event::LeaveDone) | None => return,
                Some(event) => duty.event(event).await,
            },
            Ok(()) = duty.live.changed() => duty.adopted().await,
            _ = tell.tick() => duty.tell().await,
        }
    }
}

impl Duty {
    async fn event(&mut self, event: Event) {
        match event {
            Event::Joined { answers } => self.joined(answers),
            Event::Document { document, .. } => drop(self.documents.send(document).await),
            Event::Peers(peers) => self.peers(peers),
            Event::Demand(shares) => self.shares(&shares).await,
            Event::Evidence(counters) => self.evidence(counters).await,
            Event::Stops(stops) => self.stops.heard(stops),
            Event::Orphans(records) => self.orphans(records),
            Event::WatchKey(watches) => {
                self.watches.send_replace(watches);
            }
            Event::Superseded { by } => {
                error!(target: "member", "event=superseded by={by}");
                self.superseded.send_replace(true);
            }
            Event::Forwarded { from, payload } => self.append.heard(from, payload),
            Event::LeaveDone => {}
        }
    }

    /// Peers that answered a joiner have told it their stops on the same link.
    fn joined(&self, answers: usize) {
        info!(target: "member", "event=joined peers_asked={answers}");
        if answers > 0 {
            self.informed.send_if_modified(|known| {
                let first = *known == Informed::No;
                *known = (*known).max(Informed::Told);
                first
            });
        }
    }

    async fn adopted(&mut self) {
        let live = self.live.take();
        let command = Command::ConfigInForce {
            revision: live.revision.0,
            document: live.document.clone(),
        };
        // The mesh ends before this duty only at the node's stop.
        let _ = self.commands.send(command).await;
    }

    async fn tell(&self) {
        let report = self.reports.borrow().clone();
        let local = LocalState {
            accepting: *self.phase.borrow() == Phase::Serving && *self.listening.borrow() > 0,
            load: report.load,
            service_up: *self.service_up.borrow(),
            demand: report
                .demand
                .iter()
                .map(|(name, rate)| (name_hash(name), *rate as f32))
                .collect(),
            evidence: report
                .evidence
                .iter()
                .map(|(name, counters)| to_wire(name, counters))
                .collect(),
            stops: self.stops.to_tell(),
        };
        let _ = self.commands.send(Command::Local(local)).await;
    }

    fn peers(&self, peers: Vec<PeerView>) {
        let alive = || peers.iter().filter(|p| p.state == PeerState::Alive);
        self.metrics
            .peers
            .set(i64::try_from(alive().count()).unwrap_or(i64::MAX));
        if alive().next().is_some() {
            self.heard.send_replace(Instant::now());
        }
        if let Some(meta) = self.journal.meta() {
            let near = reachable(&peers, &self.domain);
            let hosts: Vec<&str> = near.iter().map(|p| p.host.as_str()).collect();
            let all = appenders(&hosts, &self.host, meta.shards);
            let mine = preferred_shards(&all);
            self.appenders.send_replace(Arc::new(all));
            self.preferred.send_if_modified(|held| {
                let changed = *held != mine;
                *held = mine;
                changed
            });
        }
        self.peers.send_replace(Arc::new(peers));
    }

    async fn shares(&self, shares: &[Share]) {
        let live = self.live.get();
        let named = live
            .cfg
            .customers
            .iter()
            .filter_map(|(_, customer)| {
                let hash = name_hash(&customer.name);
                let share = shares.iter().find(|share| share.customer == hash)?;
                Some((customer.name.clone(), f64::from(share.share)))
            })
            .collect();
        self.route.shares(named).await;
    }

    async fn evidence(&self, counters: Vec<VersionCounters>) {
        let live = self.live.get();
        let named = live
            .cfg
            .versions
            .iter()
            .filter_map(|(key, _)| {
                let name = live.cfg.version_name(key);
                let hash = name_hash(&name);
                let wire = counters.iter().find(|c| c.version == hash)?;
                Some((name, from_wire(Counters::zero(key), wire)?))
            })
            .collect();
        self.route.evidence(OTHER_NODES, named).await;
    }

    fn orphans(&self, records: Vec<(u128, Bytes)>) {
        let now = wall_clock();
        let closings = records.into_iter().filter_map(|(id, bytes)| {
            match BillRecord::from_slice(&bytes) {
                Ok(record) => Some(closing_of(record, now)),
                Err(err) => {
                    warn!(target: "member", "event=bad_orphan request={id:032x} error={:?}", err.to_string());
                    None
                }
            }
        });
        self.bills.orphans(closings);
    }
}

/// The order of the counters on the wire.
fn to_wire(name: &str, counters: &Counters) -> VersionCounters {
    VersionCounters {
        version: name_hash(name),
        counts: vec![
            counters.requests,
            counters.errors,
            counters.rated,
            counters.low,
            counters.slow,
        ],
    }
}

/// `None` if another release counts other things.
fn from_wire(zero: Counters, wire: &VersionCounters) -> Option<Counters> {
    let [requests, errors, rated, low, slow] = *wire.counts.first_chunk()?;
    Some(Counters {
        requests,
        errors,
        rated,
        low,
        slow,
        ..zero
    })
}
