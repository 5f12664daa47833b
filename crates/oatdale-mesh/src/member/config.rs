//! How a member tells and asks others about the configuration.

use super::spread::{Answer, Progress};
use super::{Member, settled};
use crate::rank;
use crate::types::{Event, HostId};
use crate::wire::{Chunk, Fetch, Message, Newest, Step};
use bytes::Bytes;

/// Nodes of a failure domain that watch the configuration's key.
const WATCHERS: usize = 2;

impl Member {
    /// The node has a configuration in force.
    pub(super) fn adopted(&mut self, revision: u64, document: Bytes) {
        let first = !self.spread.joined();
        self.set_joined();
        if self.spread.adopt(revision, document) {
            self.announce(None);
        }
        self.spread
            .set_in_force(revision.min(self.spread.revision()));
        if first {
            let asked = self.spread.answers();
            self.emit(Event::Joined { asked });
        }
        self.fetch();
    }

    pub(super) fn newest(&mut self, from: HostId, offer: Newest) {
        self.spread.offered(from, offer);
        self.check_joined();
        self.fetch();
    }

    pub(super) fn asked(&mut self, from: HostId, fetch: Fetch) {
        match self.spread.answer(&fetch, self.now) {
            Answer::Steps(steps) => self.send(from, Message::Steps(steps)),
            Answer::Chunk(chunk) => self.send(from, Message::Chunk(chunk)),
            Answer::Nothing => {}
        }
    }

    pub(super) fn steps(&mut self, from: HostId, steps: &[Step]) {
        let progress = self.spread.steps(steps);
        self.progress(from, &progress);
    }

    pub(super) fn chunk(&mut self, from: HostId, chunk: &Chunk) {
        let progress = self.spread.chunk(from, chunk, self.now);
        self.progress(from, &progress);
    }

    fn progress(&mut self, from: HostId, progress: &Progress) {
        match progress {
            Progress::Adopted => {
                self.announce(Some(from));
                self.tell_document();
                self.fetch();
            }
            Progress::Ask(fetch) => self.send(from, Message::Fetch(*fetch)),
            Progress::Nothing => {}
        }
    }

    fn tell_document(&mut self) {
        if let Some((revision, document)) = self.spread.document() {
            self.emit(Event::Document { revision, document });
        }
    }

    fn announce(&mut self, but: Option<HostId>) {
        let newest = self.spread.newest();
        self.send_all(but, &Message::Newest(newest));
    }

    /// Asks a peer if there is something newer to have.
    pub(super) fn fetch(&mut self) {
        if let Some((host, fetch)) = self.spread.next_fetch(self.now) {
            self.send(host, Message::Fetch(fetch));
        }
    }

    /// A joiner takes nothing before it has asked enough peers.
    pub(super) fn check_joined(&mut self) {
        if self.spread.joined() {
            return;
        }
        let asked = self.spread.answers();
        let known = self.roster.len().max(self.dialer.hints());
        let waited = self.spread.waited(self.now) >= self.timers.join;
        if settled(asked, known, waited) {
            self.set_joined();
            self.emit(Event::Joined { asked });
            self.fetch();
        }
    }

    fn set_joined(&mut self) {
        if !self.spread.joined() {
            self.spread.set_joined();
            self.shares.start(self.now);
        }
    }

    /// Decides whether this node watches the configuration's key.
    ///
    /// The first few in the domain's order always do. Those that get no answer from the service
    /// stay on and more are added behind them, so that a node which alone reaches the service is
    /// found.
    pub(super) fn choose_watchers(&mut self) {
        let salt = rank::watch_salt(self.domain);
        let mine = self.local.service_up == Some(false);
        let domain = self.domain;
        let peers: Vec<(HostId, bool)> = self
            .roster
            .iter()
            .filter(|(_, p)| p.domain == domain && p.usable())
            .map(|(host, p)| (host, p.service_down()))
            .chain((self.leaving.is_none()).then_some((self.id, mine)))
            .collect();
        let by_order = rank::first(peers.iter().map(|(h, _)| *h), salt, WATCHERS);
        let up = peers.iter().filter(|(_, down)| !down).map(|(h, _)| *h);
        let by_answer = rank::first(up, salt, WATCHERS);
        let watch = by_order.contains(&self.id) || by_answer.contains(&self.id);
        if self.watching != Some(watch) {
            self.watching = Some(watch);
            self.emit(Event::WatchKey(watch));
        }
    }
}
