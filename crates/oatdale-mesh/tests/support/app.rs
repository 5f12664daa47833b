//! Simulates the rest of a node and the platform's services, as far as members depend on them.
#![allow(dead_code)]

use super::fleet::{Fleet, ms};
use bytes::Bytes;
use oatdale_mesh::{Event, HoldAck, Input, ListedHost, LocalState, PeerState, PeerView};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What a node's member has reported since its start.
#[derive(Default)]
pub(crate) struct AppState {
    /// Revisions in the order in which they came into force.
    pub(crate) revisions: Vec<u64>,
    pub(crate) document: Bytes,
    /// Revision of the last `Event::Document`.
    pub(crate) last_document_revision: u64,
    pub(crate) joined: bool,
    /// Whether the node watches the configuration's key.
    pub(crate) watches_key: bool,
    pub(crate) peers: Vec<PeerView>,
    pub(crate) shares: BTreeMap<u32, f32>,
    pub(crate) acks: BTreeMap<u128, HoldAck>,
    pub(crate) evidence: BTreeMap<u32, Vec<u64>>,
    pub(crate) stops: BTreeSet<String>,
    /// Whether the member has left or was superseded.
    pub(crate) ended: bool,
    /// The state that the node reports to its member.
    pub(crate) local: LocalState,
}

/// The key-value service with the configuration and the journal.
#[derive(Default)]
pub(crate) struct Platform {
    pub(crate) revision: u64,
    pub(crate) stored_document: Bytes,
    /// Nodes that can't reach the service.
    pub(crate) unreachable_from: BTreeSet<usize>,
    /// The first record appended for each id; later ones are ignored.
    pub(crate) journal: BTreeMap<u128, Bytes>,
    /// Violations of invariants, in the order in which they were detected.
    pub(crate) violations: Vec<String>,
}

impl Fleet {
    /// Writes the next revision as an operator does. Nodes that watch the key get it after a short
    /// delay.
    pub(crate) fn write_config(&mut self, text: impl Into<Bytes>) -> u64 {
        self.platform.revision += 1;
        self.platform.stored_document = text.into();
        for i in self.live_nodes() {
            if self.nodes[i].app.watches_key {
                self.read_config(i);
            }
        }
        self.platform.revision
    }

    /// Reads the configuration's key on behalf of a node, as at its start or when its watch fires,
    /// and reports a change of the service's reachability to the member.
    pub(crate) fn read_config(&mut self, i: usize) {
        let (revision, document) = (
            self.platform.revision,
            self.platform.stored_document.clone(),
        );
        let can_reach = !self.platform.unreachable_from.contains(&i);
        let before = self.nodes[i].app.local.service_up;
        if can_reach && revision > 0 {
            let after = ms(3 + self.random_below(10));
            self.schedule_input(
                i,
                after,
                Input::ConfigInForce {
                    revision,
                    document: document.clone(),
                },
            );
            self.put_in_force(i, revision, &document);
        }
        if before != Some(can_reach) {
            self.nodes[i].app.local.service_up = Some(can_reach);
            self.send_local_state(i);
        }
    }

    pub(crate) fn send_local_state(&mut self, i: usize) {
        let mut local = self.nodes[i].app.local.clone();
        local.accepting = true;
        self.schedule_input(i, ms(1), Input::Local(local));
    }

    /// Makes the key-value service reachable by exactly the nodes for which `reachable` holds.
    pub(crate) fn set_service_reachable(&mut self, reachable: impl Fn(usize) -> bool) {
        self.stats.outages += 1;
        self.platform.unreachable_from = (0..self.nodes.len()).filter(|i| !reachable(*i)).collect();
        for i in self.live_nodes() {
            if self.nodes[i].app.watches_key {
                self.read_config(i);
            }
        }
    }

    /// Gives every live node the platform's current list of hosts.
    pub(crate) fn publish_host_list(&mut self) {
        let listed = self.live_nodes().into_iter().map(|i| self.nodes[i].address);
        let list: Vec<ListedHost> = listed
            .map(|address| ListedHost {
                address,
                leaving: false,
            })
            .collect();
        for i in self.live_nodes() {
            self.deliver_input(i, Input::Hosts(list.clone()));
        }
    }

    /// Records that a revision is in force, unless one at least as new is already.
    fn put_in_force(&mut self, i: usize, revision: u64, document: &Bytes) {
        let app = &mut self.nodes[i].app;
        if app.revisions.last().is_none_or(|last| *last < revision) {
            app.revisions.push(revision);
            app.document = document.clone();
        }
    }

    pub(crate) fn on_event(&mut self, i: usize, event: Event) {
        match event {
            Event::Joined { .. } => self.nodes[i].app.joined = true,
            Event::Document { revision, document } => {
                let last = self.nodes[i].app.last_document_revision;
                if revision <= last {
                    self.platform.violations.push(format!(
                        "node {i}: mesh delivered revision {revision} after {last}"
                    ));
                }
                self.nodes[i].app.last_document_revision = revision;
                self.put_in_force(i, revision, &document);
                self.schedule_input(i, ms(1), Input::ConfigInForce { revision, document });
            }
            Event::Peers(peers) => self.nodes[i].app.peers = peers,
            Event::Demand(list) => {
                let shares = list.iter().map(|s| (s.customer, s.share)).collect();
                self.nodes[i].app.shares = shares;
            }
            Event::Evidence(list) => self.record_evidence(i, &list),
            Event::Stops(list) => {
                self.nodes[i].app.stops = list.into_iter().map(|s| s.version).collect();
            }
            Event::Orphans(list) => {
                let ids: Vec<u128> = list.iter().map(|(id, _)| *id).collect();
                for (id, record) in list {
                    self.platform.journal.entry(id).or_insert(record);
                }
                self.schedule_input(i, ms(20), Input::Release(ids));
            }
            Event::WatchKey(watch) => {
                self.nodes[i].app.watches_key = watch;
                if watch {
                    self.read_config(i);
                }
            }
            Event::Superseded { .. } | Event::LeaveDone => self.nodes[i].app.ended = true,
            Event::Forwarded { .. } => {}
        }
    }

    fn record_evidence(&mut self, i: usize, list: &[oatdale_mesh::VersionCounters]) {
        for version in list {
            let old = self.nodes[i]
                .app
                .evidence
                .insert(version.version, version.counts.clone());
            let decreased = old
                .iter()
                .flatten()
                .zip(&version.counts)
                .any(|(a, b)| a > b);
            if decreased {
                self.platform
                    .violations
                    .push(format!("node {i}: an evidence counter decreased"));
            }
        }
    }

    pub(crate) fn on_hold_done(&mut self, i: usize, id: u128, ack: HoldAck) {
        self.nodes[i].app.acks.insert(id, ack);
    }

    /// Appends a record to the journal on behalf of its owner, which then releases it.
    pub(crate) fn append_to_journal(&mut self, i: usize, id: u128, record: &Bytes) {
        self.platform
            .journal
            .entry(id)
            .or_insert_with(|| record.clone());
        self.schedule_input(i, ms(5), Input::Release(vec![id]));
    }

    /// Whether every live node holds `revision` or a newer one.
    pub(crate) fn all_at_revision(&self, revision: u64) -> bool {
        self.live_nodes()
            .into_iter()
            .all(|i| self.nodes[i].revision() >= revision)
    }

    /// Whether every live node sees as many peers alive as there are other live nodes.
    pub(crate) fn views_agree(&self) -> bool {
        let live_nodes = self.live_nodes();
        live_nodes.iter().all(|i| {
            let alive = |p: &&PeerView| p.state == PeerState::Alive;
            self.nodes[*i].app.peers.iter().filter(alive).count() == live_nodes.len() - 1
        })
    }

    /// Describes each live node's revision and the nodes that it does not see alive.
    pub(crate) fn disagreement(&self) -> String {
        let mut text = String::from("the fleet has not converged:");
        for i in self.live_nodes() {
            let node = &self.nodes[i];
            let alive = |p: &&PeerView| p.state == PeerState::Alive;
            let seen: BTreeSet<&str> = node
                .app
                .peers
                .iter()
                .filter(alive)
                .map(|p| p.host.as_str())
                .collect();
            let missing = self.nodes.iter().map(|n| n.name.as_str());
            let missing: Vec<&str> = missing
                .filter(|n| *n != node.name && !seen.contains(n))
                .collect();
            let links = node.member.as_ref().map_or(0, |m| m.linked_hosts().count());
            text += &format!(
                "\n{}: revision {}, {links} links, ended: {}, does not see {missing:?} alive",
                node.name,
                node.revision(),
                node.app.ended
            );
        }
        text
    }

    /// The sum of a customer's shares over live nodes that are not paused.
    pub(crate) fn share_sum(&self, customer: u32) -> f32 {
        let running = self
            .live_nodes()
            .into_iter()
            .filter(|i| !self.nodes[*i].paused);
        running
            .filter_map(|i| self.nodes[i].app.shares.get(&customer))
            .sum()
    }

    /// Advances the simulated time by `span` and returns the highest sum of a customer's shares
    /// during it, sampled every 50 ms.
    pub(crate) fn peak_share_sum(&mut self, span: Duration, customer: u32) -> f32 {
        let end = self.now + span;
        let mut peak_sum = 0.0f32;
        while self.now < end {
            self.run(ms(50));
            peak_sum = peak_sum.max(self.share_sum(customer));
        }
        peak_sum
    }

    pub(crate) fn set_demand(&mut self, i: usize, demand: Vec<(u32, f32)>) {
        self.nodes[i].app.local.demand = demand;
        self.send_local_state(i);
    }
}
