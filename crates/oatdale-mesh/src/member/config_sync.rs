//! Exchanges the configuration with peers.

use super::config_replica::{FetchReply, Progress};
use super::{Member, enough_answers};
use crate::rank;
use crate::types::{Event, HostId};
use crate::wire::{Chunk, DeltaStep, Fetch, Message, RevisionOffer};
use bytes::Bytes;

/// Number of nodes per failure domain that watch the configuration's key.
const WATCHERS_PER_DOMAIN: usize = 2;

impl Member {
    /// Records the configuration that the node has put into force.
    pub(super) fn on_local_config(&mut self, revision: u64, document: Bytes) {
        let first_adoption = !self.config_replica.joined();
        self.set_joined();
        if self.config_replica.adopt(revision, document) {
            self.announce_revision(None);
        }
        self.config_replica
            .set_in_force(revision.min(self.config_replica.revision()));
        if first_adoption {
            let answers = self.config_replica.offer_count();
            self.emit(Event::Joined { answers });
        }
        self.start_fetch();
    }

    pub(super) fn on_revision_offer(&mut self, from: HostId, offer: RevisionOffer) {
        self.config_replica.record_offer(from, offer);
        self.check_joined();
        self.start_fetch();
    }

    pub(super) fn on_fetch(&mut self, from: HostId, fetch: Fetch) {
        match self.config_replica.reply_to(&fetch, self.now) {
            FetchReply::Steps(steps) => self.send(from, Message::Steps(steps)),
            FetchReply::Chunk(chunk) => self.send(from, Message::Chunk(chunk)),
            FetchReply::NoReply => {}
        }
    }

    pub(super) fn on_steps(&mut self, from: HostId, steps: &[DeltaStep]) {
        let progress = self.config_replica.apply_steps(steps);
        self.apply_progress(from, &progress);
    }

    pub(super) fn on_chunk(&mut self, from: HostId, chunk: &Chunk) {
        let progress = self.config_replica.apply_chunk(from, chunk, self.now);
        self.apply_progress(from, &progress);
    }

    fn apply_progress(&mut self, from: HostId, progress: &Progress) {
        match progress {
            Progress::Adopted => {
                self.announce_revision(Some(from));
                self.emit_document();
                self.start_fetch();
            }
            Progress::FetchMore(fetch) => self.send(from, Message::Fetch(*fetch)),
            Progress::Unchanged => {}
        }
    }

    fn emit_document(&mut self) {
        if let Some((revision, document)) = self.config_replica.document() {
            self.emit(Event::Document { revision, document });
        }
    }

    fn announce_revision(&mut self, except: Option<HostId>) {
        let offer = self.config_replica.local_offer();
        self.broadcast(except, &Message::RevisionOffer(offer));
    }

    /// Requests a newer configuration from a peer if one offers it.
    pub(super) fn start_fetch(&mut self) {
        if let Some((host, fetch)) = self.config_replica.next_fetch(self.now) {
            self.send(host, Message::Fetch(fetch));
        }
    }

    /// Completes the join once enough peers have answered or the join timeout has passed; until
    /// then no configuration is fetched.
    pub(super) fn check_joined(&mut self) {
        if self.config_replica.joined() {
            return;
        }
        let answers = self.config_replica.offer_count();
        let known = self.roster.len().max(self.dialer.candidate_count());
        let waited_long_enough =
            self.config_replica.time_since_start(self.now) >= self.timers.join_timeout;
        if enough_answers(answers, known, waited_long_enough) {
            self.set_joined();
            self.emit(Event::Joined { answers });
            self.start_fetch();
        }
    }

    fn set_joined(&mut self) {
        if !self.config_replica.joined() {
            self.config_replica.set_joined();
            self.shares.set_start(self.now);
        }
    }

    /// Decides whether this node watches the configuration's key.
    ///
    /// The first few nodes in the failure domain's order always watch it. Those that get no answer
    /// from the key-value service keep watching and further nodes are added after them, so that a
    /// node which alone reaches the service is found.
    pub(super) fn choose_watchers(&mut self) {
        let salt = rank::watcher_salt(self.domain);
        let own_service_down = self.local.service_up == Some(false);
        let domain = self.domain;
        let peers: Vec<(HostId, bool)> = self
            .roster
            .iter()
            .filter(|(_, p)| p.domain == domain && p.usable())
            .map(|(host, p)| (host, p.reports_service_down()))
            .chain((self.leaving_since.is_none()).then_some((self.id, own_service_down)))
            .collect();
        let first_ranked =
            rank::top_ranked(peers.iter().map(|(h, _)| *h), salt, WATCHERS_PER_DOMAIN);
        let answering = peers.iter().filter(|(_, down)| !down).map(|(h, _)| *h);
        let first_answering = rank::top_ranked(answering, salt, WATCHERS_PER_DOMAIN);
        let watch = first_ranked.contains(&self.id) || first_answering.contains(&self.id);
        if self.watching != Some(watch) {
            self.watching = Some(watch);
            self.emit(Event::WatchKey(watch));
        }
    }
}
