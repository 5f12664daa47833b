//! Timer-driven work of a member: heartbeats, links, failure detection and peer views.

use super::{Member, Output};
use crate::reach::FULL_MESH_LIMIT;
use crate::types::{Event, HostId, ListedHost, LocalState, PeerState};
use crate::wire::{
    FLAG_ACCEPTING, FLAG_LEAVING, FLAG_SERVICE_DOWN, FLAG_WANTED, Heartbeat, MAX_RECORD_BYTES,
    Message,
};
use bytes::Bytes;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval of the periodic review of peers, links and orphans.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which addresses to dial are chosen.
const DIAL_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a link that neither side wants is closed.
const UNWANTED_LINK_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that the larger of two ids waits for the smaller one to dial.
const LARGER_ID_DIAL_DELAY: Duration = Duration::from_secs(1);

/// Back-off for requests of the cards of hosts that this node may lack. Views that keep differing,
/// as between two partitioned parts of the fleet, must not cost a complete list at every heartbeat.
#[derive(Debug)]
pub(crate) struct RosterSync {
    next_request: Duration,
    interval: Duration,
}

impl RosterSync {
    const MIN_INTERVAL: Duration = Duration::from_secs(1);
    const MAX_INTERVAL: Duration = Duration::from_secs(60);

    pub(crate) fn new(now: Duration) -> Self {
        RosterSync {
            next_request: now,
            interval: Self::MIN_INTERVAL,
        }
    }

    fn poll_due(&mut self, now: Duration) -> bool {
        if now < self.next_request {
            return false;
        }
        self.next_request = now + self.interval;
        self.interval = (self.interval * 2).min(Self::MAX_INTERVAL);
        true
    }

    pub(crate) fn reset_backoff(&mut self) {
        self.interval = Self::MIN_INTERVAL;
    }
}

impl Member {
    pub(super) fn on_tick(&mut self) {
        let now = self.now;
        self.check_joined();
        self.start_fetch();
        self.expire_holds();
        self.finish_leave();
        self.close_silent_links();
        let removed = self.roster.expire(
            self.timers.remove_unlisted_after,
            self.timers.remove_after,
            now,
        );
        for peer in &removed {
            self.shares.remove_host(peer.host);
        }
        if self.roster.take_changed() {
            self.on_membership_change();
        }
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + self.heartbeat_interval();
            self.send_heartbeats();
        }
        if now >= self.next_report {
            self.next_report = now + self.report_interval();
            self.send_demand();
            self.send_evidence();
            self.send_reports();
        }
        if now >= self.next_maintenance {
            self.next_maintenance = now + MAINTENANCE_INTERVAL;
            self.run_maintenance();
        }
        if now >= self.next_dial {
            self.next_dial = now + DIAL_INTERVAL;
            self.dial();
        }
    }

    fn send_heartbeats(&mut self) {
        let hosts: Vec<HostId> = self.links.keys().copied().collect();
        for host in hosts {
            self.send_heartbeat(host);
        }
        self.split_limits();
    }

    fn is_small_fleet(&self) -> bool {
        self.roster.present().count() < FULL_MESH_LIMIT
    }

    /// Interval between heartbeats: doubled in a larger fleet, where the suspect timeout is longer
    /// too.
    pub(super) fn heartbeat_interval(&self) -> Duration {
        match self.is_small_fleet() {
            true => self.timers.heartbeat,
            false => self.timers.heartbeat * 2,
        }
    }

    pub(super) fn suspect_timeout(&self) -> Duration {
        match self.is_small_fleet() {
            true => self.timers.suspect_after,
            false => self.timers.suspect_after * 3 / 2,
        }
    }

    fn run_maintenance(&mut self) {
        self.emit_evidence();
        self.find_orphans();
        self.update_wanted_links();
        self.prune_links();
        self.choose_watchers();
        let views = self.roster.peer_views(self.now);
        self.emit(Event::Peers(views));
    }

    /// Reacts to a change of the membership.
    pub(super) fn on_membership_change(&mut self) {
        self.choose_holders();
        self.choose_watchers();
        self.update_wanted_links();
        let views = self.roster.peer_views(self.now);
        self.emit(Event::Peers(views));
    }

    pub(super) fn local_heartbeat(&self) -> Heartbeat {
        let flag = |on: bool, flag: u8| if on { flag } else { 0 };
        let service_down = self.watching == Some(true) && self.local.service_up == Some(false);
        Heartbeat {
            flags: flag(
                self.local.accepting && self.leaving_since.is_none(),
                FLAG_ACCEPTING,
            ) | flag(self.leaving_since.is_some(), FLAG_LEAVING)
                | flag(service_down, FLAG_SERVICE_DOWN),
            load: (self.local.load.clamp(0.0, 1.0) * 255.0) as u8,
            in_force: self.config_replica.in_force(),
            roster: self.roster_hash,
        }
    }

    pub(super) fn send_heartbeat(&mut self, host: HostId) {
        self.roster_hash = self.roster.view_hash(&self.local_card);
        let mut heartbeat = self.local_heartbeat();
        if self.links.get(&host).is_some_and(|l| l.wanted_locally) {
            heartbeat.flags |= FLAG_WANTED;
        }
        self.send(host, Message::Heartbeat(heartbeat));
    }

    pub(super) fn set_local_state(&mut self, state: LocalState) {
        let flags_before = self.local_heartbeat().flags;
        let stops = state.stops.clone();
        self.shares.set_own_demand(&state.demand);
        let process = (self.id, self.local_card.incarnation);
        self.counters
            .set_local_counters(process, &state.evidence, self.now);
        self.local = state;
        self.merge_stops(None, stops);
        // Callers must not be sent to a node that has stopped accepting, so its peers are notified
        // at once.
        if self.local_heartbeat().flags != flags_before {
            let hosts: Vec<HostId> = self.links.keys().copied().collect();
            for host in hosts {
                self.send_heartbeat(host);
            }
            self.choose_watchers();
        }
    }

    pub(super) fn on_host_list(&mut self, list: &[ListedHost]) {
        // A list without hosts is a fault of the platform; trusting it would leave no node to
        // contact.
        if list.is_empty() {
            return;
        }
        self.dialer
            .set_candidates(list.iter().filter(|h| !h.leaving).map(|h| h.address));
        self.roster
            .set_listed_hosts(list.iter().map(|h| (h.address, h.leaving)));
        if self.roster.take_changed() {
            self.on_membership_change();
        }
    }

    pub(super) fn on_forward(&mut self, to: &str, payload: Bytes) {
        let host = HostId::of(to);
        let linked = self.links.contains_key(&host) && payload.len() <= MAX_RECORD_BYTES;
        if linked {
            self.send(host, Message::Forward(payload));
        }
        self.outputs.push(Output::Forwarded(linked));
    }

    pub(super) fn on_leave(&mut self) {
        if self.leaving_since.is_some() {
            return;
        }
        self.leaving_since = Some(self.now);
        self.hand_over_orphans();
        self.broadcast(None, &Message::Leave);
    }

    fn finish_leave(&mut self) {
        let Some(at) = self.leaving_since else { return };
        if !self.ended && self.is_handover_complete(at) {
            self.ended = true;
            self.emit(Event::LeaveDone);
        }
    }

    pub(super) fn request_cards(&mut self, from: HostId) {
        if self.sync.poll_due(self.now) {
            self.send(from, Message::RequestCards);
        }
    }

    /// Updates which links this node wants: to the whole fleet while it is small; otherwise to its
    /// failure domain, its counterparts among other domains' reporters, the holders of its records
    /// and the owners of its replicas.
    pub(super) fn update_wanted_links(&mut self) {
        let small = self.is_small_fleet();
        let own_domain = self.domain;
        let linked_by_default = |domain: u32| small || domain == own_domain;
        let mut wanted: BTreeSet<HostId> = self
            .roster
            .present()
            .filter(|(_, p)| linked_by_default(p.domain))
            .map(|(h, _)| h)
            .collect();
        wanted.extend(self.record_store.holders());
        let owners = self.record_store.owners();
        wanted.extend(owners.filter(|h| self.roster.get(*h).is_some()));
        if !small {
            let domains: BTreeSet<u32> = self.roster.present().map(|(_, p)| p.domain).collect();
            for domain in domains.into_iter().filter(|d| *d != own_domain) {
                let is_reporter = self.reporters(own_domain, domain).contains(&self.id);
                wanted.extend(
                    is_reporter
                        .then(|| self.reporters(domain, own_domain))
                        .into_iter()
                        .flatten(),
                );
            }
        }
        for (host, link) in &mut self.links {
            link.wanted_locally = wanted.contains(host);
        }
        let now = self.now;
        self.wanted_links.retain(|host, _| wanted.contains(host));
        for host in wanted {
            self.wanted_links.entry(host).or_insert(now);
        }
    }

    fn prune_links(&mut self) {
        let now = self.now;
        let mut expired_conns = Vec::new();
        for link in self.links.values_mut() {
            match link.wanted_locally || link.wanted_by_peer {
                true => link.unwanted_since = None,
                false => {
                    let since = *link.unwanted_since.get_or_insert(now);
                    expired_conns.extend(
                        (now.saturating_sub(since) >= UNWANTED_LINK_TIMEOUT).then_some(link.conn),
                    );
                }
            }
        }
        for conn in expired_conns {
            self.close_conn(conn);
        }
    }

    /// Closes links to silent hosts, which are then dialed again. Such a link may be half open: the
    /// host is gone but no packet says so.
    fn close_silent_links(&mut self) {
        let silent: Vec<super::ConnId> = self
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
            self.close_conn(conn);
        }
    }

    fn dial(&mut self) {
        let now = self.now;
        let may_dial =
            |host: HostId, since: Duration| self.id < host || now >= since + LARGER_ID_DIAL_DELAY;
        let wanted: Vec<SocketAddr> = self
            .wanted_links
            .iter()
            .filter(|(host, since)| !self.links.contains_key(host) && may_dial(**host, **since))
            .filter_map(|(host, _)| self.roster.get(*host).map(|p| p.card.address))
            .collect();
        let known_addresses: BTreeSet<SocketAddr> =
            self.roster.iter().map(|(_, p)| p.card.address).collect();
        let mut dials = self.dialer.known_hosts_to_dial(wanted.into_iter(), now);
        let links = self.links.len();
        dials.extend(self.dialer.unknown_hosts_to_dial(
            |a| known_addresses.contains(&a),
            links,
            now,
        ));
        if self.leaving_since.is_none() {
            self.outputs.extend(dials.into_iter().map(Output::Dial));
        }
    }
}
