//! What a member does as time passes: heartbeats, links, suspicion, views.

use super::{Member, Output};
use crate::reach::FULL_MESH;
use crate::types::{Event, HostId, ListedHost, LocalState, PeerState};
use crate::wire::{
    Beat, FLAG_ACCEPTING, FLAG_LEAVING, FLAG_SERVICE_DOWN, FLAG_WANTED, MAX_RECORD, Message,
};
use bytes::Bytes;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Nodes are looked over this often.
const VIEW: Duration = Duration::from_secs(1);
/// Addresses to dial are looked for this often.
const DIAL: Duration = Duration::from_millis(200);
/// A link that neither side wants is closed after this.
const UNWANTED: Duration = Duration::from_secs(5);
/// The larger id of two waits this long for the smaller one to dial.
const DIAL_PATIENCE: Duration = Duration::from_secs(1);

/// When to ask for the cards of hosts that this node may lack. Views that keep differing, as
/// between two halves of the fleet, must not cost a whole list at every heartbeat.
#[derive(Debug)]
pub(crate) struct RosterSync {
    next: Duration,
    wait: Duration,
}

impl RosterSync {
    const FIRST: Duration = Duration::from_secs(1);
    const LAST: Duration = Duration::from_secs(60);

    pub(crate) fn new(now: Duration) -> Self {
        RosterSync {
            next: now,
            wait: Self::FIRST,
        }
    }

    fn due(&mut self, now: Duration) -> bool {
        if now < self.next {
            return false;
        }
        self.next = now + self.wait;
        self.wait = (self.wait * 2).min(Self::LAST);
        true
    }

    pub(crate) fn helped(&mut self) {
        self.wait = Self::FIRST;
    }
}

impl Member {
    pub(super) fn tick(&mut self) {
        let now = self.now;
        self.check_joined();
        self.fetch();
        self.time_out_holds();
        self.end_leave();
        self.close_silent();
        let forgotten = self
            .roster
            .expire(self.timers.unlisted, self.timers.forget, now);
        for gone in &forgotten {
            self.shares.forget(gone.host);
        }
        if self.roster.take_changed() {
            self.changed();
        }
        if now >= self.next_beat {
            self.next_beat = now + self.beat_interval();
            self.beat_all();
        }
        if now >= self.next_report {
            self.next_report = now + self.report_interval();
            self.send_demand();
            self.send_evidence();
            self.send_reports();
        }
        if now >= self.next_view {
            self.next_view = now + VIEW;
            self.look_over();
        }
        if now >= self.next_dial {
            self.next_dial = now + DIAL;
            self.dial();
        }
    }

    fn beat_all(&mut self) {
        let hosts: Vec<HostId> = self.links.keys().copied().collect();
        for host in hosts {
            self.send_beat(host);
        }
        self.split_limits();
    }

    fn is_small(&self) -> bool {
        self.roster.present().count() < FULL_MESH
    }

    /// In a larger fleet heartbeats are half as frequent, and silence is borne for longer.
    pub(super) fn beat_interval(&self) -> Duration {
        match self.is_small() {
            true => self.timers.beat,
            false => self.timers.beat * 2,
        }
    }

    pub(super) fn suspect_after(&self) -> Duration {
        match self.is_small() {
            true => self.timers.suspect,
            false => self.timers.suspect * 3 / 2,
        }
    }

    fn look_over(&mut self) {
        self.tell_evidence();
        self.find_orphans();
        self.update_wanted();
        self.prune_links();
        self.choose_watchers();
        let views = self.roster.views(self.now);
        self.emit(Event::Peers(views));
    }

    /// What follows from a change of who is there.
    pub(super) fn changed(&mut self) {
        self.choose_holders();
        self.choose_watchers();
        self.update_wanted();
        let views = self.roster.views(self.now);
        self.emit(Event::Peers(views));
    }

    pub(super) fn own_beat(&self) -> Beat {
        let flag = |on: bool, flag: u8| if on { flag } else { 0 };
        let down = self.watching == Some(true) && self.local.service_up == Some(false);
        Beat {
            flags: flag(
                self.local.accepting && self.leaving.is_none(),
                FLAG_ACCEPTING,
            ) | flag(self.leaving.is_some(), FLAG_LEAVING)
                | flag(down, FLAG_SERVICE_DOWN),
            load: (self.local.load.clamp(0.0, 1.0) * 255.0) as u8,
            in_force: self.spread.in_force(),
            roster: self.roster_hash,
        }
    }

    pub(super) fn send_beat(&mut self, host: HostId) {
        self.roster_hash = self.roster.hash(&self.me);
        let mut beat = self.own_beat();
        if self.links.get(&host).is_some_and(|l| l.wanted_here) {
            beat.flags |= FLAG_WANTED;
        }
        self.send(host, Message::Beat(beat));
    }

    pub(super) fn set_local(&mut self, state: LocalState) {
        let before = self.own_beat().flags;
        let stops = state.stops.clone();
        self.shares.set_own(&state.demand);
        let me = (self.id, self.me.incarnation);
        self.counters.set_own(me, &state.evidence, self.now);
        self.local = state;
        self.stops(None, stops);
        // Callers must not be sent to a node that has stopped accepting: tell at once.
        if self.own_beat().flags != before {
            let hosts: Vec<HostId> = self.links.keys().copied().collect();
            for host in hosts {
                self.send_beat(host);
            }
            self.choose_watchers();
        }
    }

    pub(super) fn hosts(&mut self, list: &[ListedHost]) {
        // A list without hosts is a fault of the platform; believing it would leave nobody to ask.
        if list.is_empty() {
            return;
        }
        self.dialer
            .hint(list.iter().filter(|h| !h.leaving).map(|h| h.address));
        self.roster
            .list(list.iter().map(|h| (h.address, h.leaving)));
        if self.roster.take_changed() {
            self.changed();
        }
    }

    pub(super) fn forward(&mut self, to: &str, payload: Bytes) {
        let host = HostId::of(to);
        let linked = self.links.contains_key(&host) && payload.len() <= MAX_RECORD;
        if linked {
            self.send(host, Message::Forward(payload));
        }
        self.out.push(Output::Forwarded(linked));
    }

    pub(super) fn leave(&mut self) {
        if self.leaving.is_some() {
            return;
        }
        self.leaving = Some(self.now);
        self.hand_over();
        self.send_all(None, &Message::Leave);
    }

    fn end_leave(&mut self) {
        let Some(since) = self.leaving else { return };
        if !self.ended && self.handed_over(since) {
            self.ended = true;
            self.emit(Event::LeaveDone);
        }
    }

    pub(super) fn roster_differs(&mut self, from: HostId) {
        if self.sync.due(self.now) {
            self.send(from, Message::AskCards);
        }
    }

    /// Which links this node wants: the whole fleet while it is small; else its failure domain,
    /// its opposite reporters, the nodes that keep its records and those whose records it keeps.
    pub(super) fn update_wanted(&mut self) {
        let small = self.is_small();
        let mine = self.domain;
        let near = |domain: u32| small || domain == mine;
        let mut wanted: BTreeSet<HostId> = self
            .roster
            .present()
            .filter(|(_, p)| near(p.domain))
            .map(|(h, _)| h)
            .collect();
        wanted.extend(self.holds.holders());
        let owners = self.holds.owners();
        wanted.extend(owners.filter(|h| self.roster.get(*h).is_some()));
        if !small {
            let domains: BTreeSet<u32> = self.roster.present().map(|(_, p)| p.domain).collect();
            for domain in domains.into_iter().filter(|d| *d != mine) {
                let here = self.reporters(mine, domain).contains(&self.id);
                wanted.extend(
                    here.then(|| self.reporters(domain, mine))
                        .into_iter()
                        .flatten(),
                );
            }
        }
        for (host, link) in &mut self.links {
            link.wanted_here = wanted.contains(host);
        }
        let now = self.now;
        self.wanted.retain(|host, _| wanted.contains(host));
        for host in wanted {
            self.wanted.entry(host).or_insert(now);
        }
    }

    fn prune_links(&mut self) {
        let now = self.now;
        let mut over = Vec::new();
        for link in self.links.values_mut() {
            match link.wanted_here || link.wanted_there {
                true => link.unwanted_since = None,
                false => {
                    let since = *link.unwanted_since.get_or_insert(now);
                    over.extend((now.saturating_sub(since) >= UNWANTED).then_some(link.conn));
                }
            }
        }
        for conn in over {
            self.drop_conn(conn);
        }
    }

    /// A link whose other end has fallen silent may be half open: the host is gone but no packet
    /// says so. It is closed, and dialed again.
    fn close_silent(&mut self) {
        let silent: Vec<super::Conn> = self
            .links
            .iter()
            .filter(|(host, _)| {
                self.roster
                    .get(**host)
                    .is_none_or(|p| p.state() != PeerState::Alive)
            })
            .map(|(_, link)| link.conn)
            .collect();
        for conn in silent {
            self.drop_conn(conn);
        }
    }

    fn dial(&mut self) {
        let now = self.now;
        let patient =
            |host: HostId, since: Duration| self.id < host || now >= since + DIAL_PATIENCE;
        let wanted: Vec<SocketAddr> = self
            .wanted
            .iter()
            .filter(|(host, since)| !self.links.contains_key(host) && patient(**host, **since))
            .filter_map(|(host, _)| self.roster.get(*host).map(|p| p.card.address))
            .collect();
        let known: BTreeSet<SocketAddr> = self.roster.iter().map(|(_, p)| p.card.address).collect();
        let mut dials = self.dialer.known(wanted.into_iter(), now);
        let links = self.links.len();
        dials.extend(self.dialer.unknown(|a| known.contains(&a), links, now));
        if self.leaving.is_none() {
            self.out.extend(dials.into_iter().map(Output::Dial));
        }
    }
}
