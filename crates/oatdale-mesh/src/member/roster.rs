//! Membership as this member sees it.

use crate::rank;
use crate::types::{HostId, PeerState, PeerView, name_hash};
use crate::wire::{Card, FLAG_ACCEPTING, FLAG_LEAVING, FLAG_SERVICE_DOWN, FLAG_SUSPECT, Heartbeat};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of hosts remembered: ten times the size of the fleet expected in two years.
const MAX_PEERS: usize = 4096;
/// Time for which a host that has left stays visible to operators.
const LEFT_RETENTION: Duration = Duration::from_secs(30);
/// Time for which the incarnation of a removed host is remembered. A late card of a dead process
/// must not add it again; operators would see a node that does not exist.
const DEPARTED_RETENTION: Duration = Duration::from_secs(1200);

/// The hosts known to this member, without itself.
#[derive(Debug)]
pub(crate) struct Roster {
    own_id: HostId,
    peers: BTreeMap<HostId, Peer>,
    departed: BTreeMap<HostId, (u64, Duration)>,
    listed: Option<BTreeMap<SocketAddr, bool>>,
    /// Whether the set of hosts or a state changed since the last
    /// [`take_changed`](Self::take_changed).
    changed: bool,
}

/// A known host.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) card: Card,
    pub(crate) domain: u32,
    pub(crate) flags: u8,
    pub(crate) load: u8,
    pub(crate) revision: u64,
    revision_at: Duration,
    /// Time until which the host counts as alive without further contact.
    alive_until: Duration,
    pub(crate) suspect_since: Option<Duration>,
    left_at: Option<Duration>,
    listed_leaving: bool,
    /// Whether a message was ever received from this process itself.
    pub(crate) contacted: bool,
    /// Whether the platform has listed the address since this process became known.
    was_listed: bool,
}

/// The effect of a card on the roster.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum CardUpdate {
    /// The host was not known.
    New,
    /// The host has restarted with a higher incarnation.
    Restarted,
    /// The process was known already.
    Unchanged,
    /// The card is rejected: its process is known to be gone, it carries this host's own name, or
    /// the roster is full.
    Stale,
}

/// A host that was removed from the roster.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct RemovedPeer {
    pub(crate) host: HostId,
}

impl Peer {
    pub(crate) fn state(&self) -> PeerState {
        match self {
            p if p.left_at.is_some() => PeerState::Left,
            p if p.suspect_since.is_some() => PeerState::Suspect,
            _ => PeerState::Alive,
        }
    }

    /// Whether the host may be given new work.
    pub(crate) fn usable(&self) -> bool {
        self.state() == PeerState::Alive && !self.is_leaving()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.listed_leaving || self.flags & FLAG_LEAVING != 0
    }

    pub(crate) fn reports_service_down(&self) -> bool {
        self.flags & FLAG_SERVICE_DOWN != 0
    }
}

impl Roster {
    pub(crate) fn new(own_id: HostId) -> Self {
        Roster {
            own_id,
            peers: BTreeMap::new(),
            departed: BTreeMap::new(),
            listed: None,
            changed: true,
        }
    }

    pub(crate) fn get(&self, host: HostId) -> Option<&Peer> {
        self.peers.get(&host)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (HostId, &Peer)> {
        self.peers.iter().map(|(host, peer)| (*host, peer))
    }

    /// Hosts that have not left.
    pub(crate) fn present(&self) -> impl Iterator<Item = (HostId, &Peer)> {
        self.iter().filter(|(_, p)| p.left_at.is_none())
    }

    pub(crate) fn domain_of(&self, host: HostId) -> Option<u32> {
        self.peers.get(&host).map(|p| p.domain)
    }

    pub(crate) fn is_usable(&self, host: HostId) -> bool {
        self.peers.get(&host).is_some_and(Peer::usable)
    }

    pub(crate) fn len(&self) -> usize {
        self.peers.len()
    }

    /// Applies a card; `from_process` if the process itself has just sent it.
    pub(crate) fn apply_card(
        &mut self,
        card: &Card,
        from_process: bool,
        alive_for: Duration,
        now: Duration,
    ) -> CardUpdate {
        let id = card.id();
        let last_departed = self
            .departed
            .get(&id)
            .map_or(0, |(incarnation, _)| *incarnation);
        let current = self.peers.get(&id).map_or(0, |p| p.card.incarnation);
        let is_old = card.incarnation < last_departed
            || (card.incarnation == last_departed && !from_process);
        match () {
            () if id == self.own_id || is_old || card.incarnation < current => CardUpdate::Stale,
            () if card.incarnation == current => CardUpdate::Unchanged,
            () if current == 0 && self.peers.len() >= MAX_PEERS => CardUpdate::Stale,
            () => {
                self.departed.remove(&id);
                self.peers
                    .insert(id, self.new_peer(card, now + alive_for, now));
                self.changed = true;
                match current {
                    0 => CardUpdate::New,
                    _ => CardUpdate::Restarted,
                }
            }
        }
    }

    fn new_peer(&self, card: &Card, alive_until: Duration, now: Duration) -> Peer {
        Peer {
            domain: name_hash(&card.domain),
            flags: 0,
            load: 0,
            revision: 0,
            revision_at: now,
            alive_until,
            suspect_since: None,
            left_at: None,
            listed_leaving: self.is_listed_leaving(card.address),
            was_listed: false,
            contacted: false,
            card: card.clone(),
        }
    }

    /// Records a message from the host itself.
    pub(crate) fn record_contact(&mut self, host: HostId, until: Duration) {
        if let Some(peer) = self.peers.get_mut(&host) {
            peer.contacted = true;
        }
        self.extend_alive(host, until);
    }

    fn extend_alive(&mut self, host: HostId, until: Duration) {
        let Some(peer) = self.peers.get_mut(&host) else {
            return;
        };
        peer.alive_until = peer.alive_until.max(until);
        self.changed |= peer.suspect_since.take().is_some();
    }

    pub(crate) fn apply_heartbeat(&mut self, host: HostId, heartbeat: &Heartbeat, now: Duration) {
        let Some(peer) = self.peers.get_mut(&host) else {
            return;
        };
        self.changed |= (peer.flags ^ heartbeat.flags) & FLAG_ACCEPTING != 0;
        peer.flags = heartbeat.flags;
        peer.load = heartbeat.load;
        peer.revision = peer.revision.max(heartbeat.in_force);
        peer.revision_at = now;
    }

    /// Applies the state in a summary for a host that this member has no link to.
    pub(crate) fn apply_reported_state(
        &mut self,
        host: HostId,
        heartbeat: &Heartbeat,
        until: Duration,
        now: Duration,
    ) {
        self.apply_heartbeat(host, heartbeat, now);
        match heartbeat.flags & FLAG_SUSPECT {
            0 => self.extend_alive(host, until),
            _ => self.mark_suspect(host, now),
        }
    }

    fn mark_suspect(&mut self, host: HostId, now: Duration) {
        let Some(peer) = self.peers.get_mut(&host) else {
            return;
        };
        if peer.suspect_since.is_none() {
            peer.suspect_since = Some(now);
            self.changed = true;
        }
    }

    pub(crate) fn mark_left(&mut self, host: HostId, now: Duration) {
        let Some(peer) = self.peers.get_mut(&host) else {
            return;
        };
        if peer.left_at.is_none() {
            peer.left_at = Some(now);
            self.changed = true;
        }
    }

    /// Applies the platform's host list. As the list lags, it is only a hint on which hosts are
    /// leaving or gone.
    pub(crate) fn set_listed_hosts(&mut self, hosts: impl Iterator<Item = (SocketAddr, bool)>) {
        self.listed = Some(hosts.collect());
        let listed = self.listed.as_ref();
        for peer in self.peers.values_mut() {
            let entry = listed.and_then(|l| l.get(&peer.card.address));
            peer.was_listed |= entry.is_some();
            let leaving = entry == Some(&true);
            self.changed |= leaving != peer.listed_leaving;
            peer.listed_leaving = leaving;
        }
    }

    fn is_listed_leaving(&self, address: SocketAddr) -> bool {
        self.listed.as_ref().and_then(|l| l.get(&address)) == Some(&true)
    }

    /// Number of listed hosts that are not leaving and have no card here.
    pub(crate) fn unknown_listed_count(&self, own_address: SocketAddr) -> Option<usize> {
        let listed = self.listed.as_ref()?;
        let is_known =
            |a: &SocketAddr| *a == own_address || self.peers.values().any(|p| p.card.address == *a);
        Some(
            listed
                .iter()
                .filter(|(a, leaving)| !**leaving && !is_known(a))
                .count(),
        )
    }

    /// Suspects hosts that have fallen silent and removes those whose timeout has passed.
    pub(crate) fn expire(
        &mut self,
        remove_unlisted_after: Duration,
        remove_after: Duration,
        now: Duration,
    ) -> Vec<RemovedPeer> {
        let overdue: Vec<HostId> = self.overdue(now);
        for host in overdue {
            self.mark_suspect(host, now);
        }
        let expired: Vec<HostId> = self
            .iter()
            .filter(|(_, p)| self.is_expired(p, remove_unlisted_after, remove_after, now))
            .map(|(host, _)| host)
            .collect();
        for host in &expired {
            self.retire_peer(*host, now);
        }
        self.departed
            .retain(|_, (_, at)| now.saturating_sub(*at) < DEPARTED_RETENTION);
        expired
            .into_iter()
            .map(|host| RemovedPeer { host })
            .collect()
    }

    fn overdue(&self, now: Duration) -> Vec<HostId> {
        self.iter()
            .filter(|(_, p)| p.suspect_since.is_none() && p.alive_until <= now)
            .map(|(host, _)| host)
            .collect()
    }

    /// Whether to remove a host. One that the platform still lists may be partitioned rather than
    /// dead: its share of the limits stays reserved until the list drops it or `remove_after` has
    /// passed. A list older than the process says nothing about it; if it were trusted, a host that
    /// restarts and is then cut off would be removed within seconds and its share used twice.
    fn is_expired(
        &self,
        peer: &Peer,
        remove_unlisted_after: Duration,
        remove_after: Duration,
        now: Duration,
    ) -> bool {
        let listed = self.listed.as_ref();
        let dropped_from_list =
            peer.was_listed && listed.is_some_and(|l| !l.contains_key(&peer.card.address));
        match (peer.left_at, peer.suspect_since) {
            (Some(at), _) => now.saturating_sub(at) >= LEFT_RETENTION,
            (None, Some(at)) if dropped_from_list => {
                now.saturating_sub(at) >= remove_unlisted_after
            }
            (None, Some(at)) => now.saturating_sub(at) >= remove_after,
            (None, None) => false,
        }
    }

    fn retire_peer(&mut self, host: HostId, now: Duration) {
        if let Some(peer) = self.peers.remove(&host) {
            self.departed.insert(host, (peer.card.incarnation, now));
            self.changed = true;
        }
    }

    /// Returns how long a process has been gone; `None` while it may be alive.
    pub(crate) fn gone_duration(
        &self,
        host: HostId,
        incarnation: u64,
        now: Duration,
    ) -> Option<Duration> {
        let forever = Duration::MAX;
        match (self.peers.get(&host), self.departed.get(&host)) {
            (Some(p), _) if p.card.incarnation > incarnation => Some(forever),
            (Some(p), _) if p.left_at.is_some() => Some(forever),
            (Some(p), _) => p.suspect_since.map(|at| now.saturating_sub(at)),
            (None, Some((last_departed, _))) if *last_departed >= incarnation => Some(forever),
            (None, _) => None,
        }
    }

    /// Latest known incarnation of a host, 0 for none.
    pub(crate) fn last_incarnation(&self, host: HostId) -> u64 {
        let last_departed = self
            .departed
            .get(&host)
            .map_or(0, |(incarnation, _)| *incarnation);
        self.peers
            .get(&host)
            .map_or(0, |p| p.card.incarnation)
            .max(last_departed)
    }

    /// Extends all deadlines after this process was paused.
    pub(crate) fn shift(&mut self, pause: Duration) {
        for peer in self.peers.values_mut() {
            peer.alive_until += pause;
            peer.suspect_since = peer.suspect_since.map(|at| at + pause);
        }
    }

    /// Hash over all known hosts, this one included.
    pub(crate) fn view_hash(&self, local_card: &Card) -> u32 {
        let host_hash = |id: HostId, incarnation: u64| rank::mix64(id.0 ^ rank::mix64(incarnation));
        let init = host_hash(self.own_id, local_card.incarnation);
        let combined = self
            .present()
            .fold(init, |sum, (id, p)| sum ^ host_hash(id, p.card.incarnation));
        (combined >> 32) as u32
    }

    /// Whether anything changed since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    pub(crate) fn peer_views(&self, now: Duration) -> Vec<PeerView> {
        self.peers
            .values()
            .map(|peer| peer_view(peer, now))
            .collect()
    }
}

fn peer_view(peer: &Peer, now: Duration) -> PeerView {
    PeerView {
        host: peer.card.host.clone(),
        domain: peer.card.domain.clone(),
        region: peer.card.region.clone(),
        incarnation: peer.card.incarnation,
        caller_address: peer.card.caller_address,
        accepting: peer.flags & FLAG_ACCEPTING != 0,
        load: f32::from(peer.load) / 255.0,
        revision: peer.revision,
        revision_age: now.saturating_sub(peer.revision_at),
        state: match peer.state() {
            PeerState::Alive if peer.is_leaving() => PeerState::Left,
            state => state,
        },
    }
}
