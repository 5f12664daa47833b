//! What the rest of a node would do, and the platform's services, as far as members need them.
#![allow(dead_code)]

use super::fleet::{Fleet, ms};
use bytes::Bytes;
use oatdale_mesh::{Event, HoldAck, Input, ListedHost, LocalState, PeerState, PeerView};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What a node saw since its start.
#[derive(Default)]
pub(crate) struct App {
    /// Revisions in the order in which they came into force.
    pub(crate) revisions: Vec<u64>,
    pub(crate) document: Bytes,
    /// The last revision that the mesh told.
    pub(crate) told: u64,
    pub(crate) joined: bool,
    pub(crate) watches: bool,
    pub(crate) peers: Vec<PeerView>,
    pub(crate) shares: BTreeMap<u32, f32>,
    pub(crate) acks: BTreeMap<u128, HoldAck>,
    pub(crate) evidence: BTreeMap<u32, Vec<u64>>,
    pub(crate) stops: BTreeSet<String>,
    pub(crate) ended: bool,
    pub(crate) local: LocalState,
}

/// The key-value service and the journal in it.
#[derive(Default)]
pub(crate) struct Platform {
    pub(crate) revision: u64,
    pub(crate) text: Bytes,
    /// Nodes that can't reach it.
    pub(crate) out_of_reach: BTreeSet<usize>,
    /// The first record of each id stays.
    pub(crate) journal: BTreeMap<u128, Bytes>,
    /// Broken promises, as they are noticed.
    pub(crate) broken: Vec<String>,
}

impl Fleet {
    /// An operator writes the next revision; nodes that watch learn of it a little later.
    pub(crate) fn write(&mut self, text: impl Into<Bytes>) -> u64 {
        self.platform.revision += 1;
        self.platform.text = text.into();
        for i in self.up() {
            if self.nodes[i].app.watches {
                self.read_service(i);
            }
        }
        self.platform.revision
    }

    /// A read of the key, or a watch that fires.
    pub(crate) fn read_service(&mut self, i: usize) {
        let (revision, document) = (self.platform.revision, self.platform.text.clone());
        let reached = !self.platform.out_of_reach.contains(&i);
        let before = self.nodes[i].app.local.service_up;
        if reached && revision > 0 {
            let after = ms(3 + self.random(10));
            self.later(
                i,
                after,
                Input::Adopted {
                    revision,
                    document: document.clone(),
                },
            );
            self.force(i, revision, &document);
        }
        if before != Some(reached) {
            self.nodes[i].app.local.service_up = Some(reached);
            self.tell_local(i);
        }
    }

    pub(crate) fn tell_local(&mut self, i: usize) {
        let mut local = self.nodes[i].app.local.clone();
        local.accepting = true;
        self.later(i, ms(1), Input::Local(local));
    }

    /// The service can be reached by these nodes only.
    pub(crate) fn service_for(&mut self, reach: impl Fn(usize) -> bool) {
        self.tally.outages += 1;
        self.platform.out_of_reach = (0..self.nodes.len()).filter(|i| !reach(*i)).collect();
        for i in self.up() {
            if self.nodes[i].app.watches {
                self.read_service(i);
            }
        }
    }

    /// The platform's list of hosts, as it is now.
    pub(crate) fn list_hosts(&mut self) {
        let listed = self.up().into_iter().map(|i| self.nodes[i].address);
        let list: Vec<ListedHost> = listed
            .map(|address| ListedHost {
                address,
                leaving: false,
            })
            .collect();
        for i in self.up() {
            self.input(i, Input::Hosts(list.clone()));
        }
    }

    fn force(&mut self, i: usize, revision: u64, document: &Bytes) {
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
                let last = self.nodes[i].app.told;
                if revision <= last {
                    self.platform
                        .broken
                        .push(format!("{i}: told {revision} after {last}"));
                }
                self.nodes[i].app.told = revision;
                self.force(i, revision, &document);
                self.later(i, ms(1), Input::Adopted { revision, document });
            }
            Event::Peers(peers) => self.nodes[i].app.peers = peers,
            Event::Demand(list) => {
                let shares = list.iter().map(|s| (s.customer, s.share)).collect();
                self.nodes[i].app.shares = shares;
            }
            Event::Evidence(list) => self.evidence(i, &list),
            Event::Stops(list) => {
                self.nodes[i].app.stops = list.into_iter().map(|s| s.version).collect();
            }
            Event::Orphans(list) => {
                let ids: Vec<u128> = list.iter().map(|(id, _)| *id).collect();
                for (id, record) in list {
                    self.platform.journal.entry(id).or_insert(record);
                }
                self.later(i, ms(20), Input::Release(ids));
            }
            Event::WatchKey(watch) => {
                self.nodes[i].app.watches = watch;
                if watch {
                    self.read_service(i);
                }
            }
            Event::Superseded { .. } | Event::LeaveDone => self.nodes[i].app.ended = true,
            Event::Forwarded { .. } => {}
        }
    }

    fn evidence(&mut self, i: usize, list: &[oatdale_mesh::VersionCounters]) {
        for version in list {
            let old = self.nodes[i]
                .app
                .evidence
                .insert(version.version, version.counts.clone());
            let fell = old
                .iter()
                .flatten()
                .zip(&version.counts)
                .any(|(a, b)| a > b);
            if fell {
                self.platform.broken.push(format!("{i}: a counter fell"));
            }
        }
    }

    pub(crate) fn held(&mut self, i: usize, id: u128, ack: HoldAck) {
        self.nodes[i].app.acks.insert(id, ack);
    }

    /// The node itself appends its record to the journal and releases it.
    pub(crate) fn journal(&mut self, i: usize, id: u128, record: &Bytes) {
        self.platform
            .journal
            .entry(id)
            .or_insert_with(|| record.clone());
        self.later(i, ms(5), Input::Release(vec![id]));
    }

    /// Every node that is up holds the newest revision.
    pub(crate) fn all_hold(&self, revision: u64) -> bool {
        self.up()
            .into_iter()
            .all(|i| self.nodes[i].revision() >= revision)
    }

    /// Every node sees every other one alive and no other.
    pub(crate) fn views_agree(&self) -> bool {
        let up = self.up();
        up.iter().all(|i| {
            let alive = |p: &&PeerView| p.state == PeerState::Alive;
            self.nodes[*i].app.peers.iter().filter(alive).count() == up.len() - 1
        })
    }

    /// Who does not see whom alive, or lacks the newest revision.
    pub(crate) fn disagreement(&self) -> String {
        let mut text = String::from("no agreement:");
        for i in self.up() {
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
            let links = node.member.as_ref().map_or(0, |m| m.linked().count());
            text += &format!(
                "\n{} holds {}, has {links} links, ended {}, lacks {missing:?}",
                node.name,
                node.revision(),
                node.app.ended
            );
        }
        text
    }

    /// The sum of a customer's shares over nodes that run.
    pub(crate) fn share_sum(&self, customer: u32) -> f32 {
        let running = self.up().into_iter().filter(|i| !self.nodes[*i].paused);
        running
            .filter_map(|i| self.nodes[i].app.shares.get(&customer))
            .sum()
    }

    /// Lets time pass and returns the greatest sum of a customer's shares meanwhile.
    pub(crate) fn greatest_sum(&mut self, span: Duration, customer: u32) -> f32 {
        let end = self.now + span;
        let mut greatest = 0.0f32;
        while self.now < end {
            self.run(ms(50));
            greatest = greatest.max(self.share_sum(customer));
        }
        greatest
    }

    pub(crate) fn set_demand(&mut self, i: usize, demand: Vec<(u32, f32)>) {
        self.nodes[i].app.local.demand = demand;
        self.tell_local(i);
    }
}
