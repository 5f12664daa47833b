//! Who is there, as this member sees it.

use crate::rank;
use crate::types::{HostId, PeerState, PeerView, name_hash};
use crate::wire::{Beat, Card, FLAG_ACCEPTING, FLAG_LEAVING, FLAG_SERVICE_DOWN, FLAG_SUSPECT};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Hosts that are remembered at most, ten times the fleet in two years.
const MAX_PEERS: usize = 4096;
/// How long a host that left stays visible to operators.
const SHOW_LEFT: Duration = Duration::from_secs(30);
/// How long the incarnation of a host that is gone is remembered. A late card of a dead process
/// must not bring it back to life; operators would see a ghost among the nodes.
const REMEMBER_GONE: Duration = Duration::from_secs(1200);

/// The hosts that this member knows, without itself.
#[derive(Debug)]
pub(crate) struct Roster {
    me: HostId,
    peers: BTreeMap<HostId, Peer>,
    gone: BTreeMap<HostId, (u64, Duration)>,
    listed: Option<BTreeMap<SocketAddr, bool>>,
    /// Whether the set of hosts or a state changed since it was last asked.
    changed: bool,
}

/// One host.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) card: Card,
    pub(crate) domain: u32,
    pub(crate) flags: u8,
    pub(crate) load: u8,
    pub(crate) revision: u64,
    revision_at: Duration,
    /// The host counts as alive until then unless it is heard of again.
    fresh_until: Duration,
    pub(crate) suspect_since: Option<Duration>,
    left_at: Option<Duration>,
    listed_leaving: bool,
    /// Whether this process was ever heard itself.
    pub(crate) met: bool,
    /// Whether the platform listed the address since this process was first heard of.
    was_listed: bool,
}

/// What a card changed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Learned {
    /// The host was not known.
    New,
    /// The host has restarted.
    Restarted,
    /// Nothing new.
    Known,
    /// The card is of a process that is known to be gone.
    Stale,
}

/// Why a host was forgotten.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct Forgotten {
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

    /// Whether new duties may be given to the host.
    pub(crate) fn usable(&self) -> bool {
        self.state() == PeerState::Alive && !self.leaving()
    }

    pub(crate) fn leaving(&self) -> bool {
        self.listed_leaving || self.flags & FLAG_LEAVING != 0
    }

    pub(crate) fn service_down(&self) -> bool {
        self.flags & FLAG_SERVICE_DOWN != 0
    }
}

impl Roster {
    pub(crate) fn new(me: HostId) -> Self {
        Roster {
            me,
            peers: BTreeMap::new(),
            gone: BTreeMap::new(),
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

    /// Takes in a card; `first_hand` if the process itself showed it just now.
    pub(crate) fn learn(
        &mut self,
        card: &Card,
        first_hand: bool,
        fresh: Duration,
        now: Duration,
    ) -> Learned {
        let id = card.id();
        let buried = self
            .gone
            .get(&id)
            .map_or(0, |(incarnation, _)| *incarnation);
        let known = self.peers.get(&id).map_or(0, |p| p.card.incarnation);
        let dead = card.incarnation < buried || (card.incarnation == buried && !first_hand);
        match () {
            () if id == self.me || dead || card.incarnation < known => Learned::Stale,
            () if card.incarnation == known => Learned::Known,
            () if known == 0 && self.peers.len() >= MAX_PEERS => Learned::Stale,
            () => {
                self.gone.remove(&id);
                self.peers.insert(id, self.enter(card, now + fresh, now));
                self.changed = true;
                match known {
                    0 => Learned::New,
                    _ => Learned::Restarted,
                }
            }
        }
    }

    fn enter(&self, card: &Card, fresh_until: Duration, now: Duration) -> Peer {
        Peer {
            domain: name_hash(&card.domain),
            flags: 0,
            load: 0,
            revision: 0,
            revision_at: now,
            fresh_until,
            suspect_since: None,
            left_at: None,
            listed_leaving: self.says_leaving(card.address),
            was_listed: false,
            met: false,
            card: card.clone(),
        }
    }

    /// A message came from the host itself.
    pub(crate) fn heard(&mut self, host: HostId, until: Duration) {
        if let Some(peer) = self.peers.get_mut(&host) {
            peer.met = true;
        }
        self.refresh(host, until);
    }

    fn refresh(&mut self, host: HostId, until: Duration) {
        let Some(peer) = self.peers.get_mut(&host) else {
            return;
        };
        peer.fresh_until = peer.fresh_until.max(until);
        self.changed |= peer.suspect_since.take().is_some();
    }

    pub(crate) fn beat(&mut self, host: HostId, beat: &Beat, now: Duration) {
        let Some(peer) = self.peers.get_mut(&host) else {
            return;
        };
        self.changed |= (peer.flags ^ beat.flags) & FLAG_ACCEPTING != 0;
        peer.flags = beat.flags;
        peer.load = beat.load;
        peer.revision = peer.revision.max(beat.in_force);
        peer.revision_at = now;
    }

    /// A summary speaks of a host that this member has no link to.
    pub(crate) fn reported(&mut self, host: HostId, beat: &Beat, until: Duration, now: Duration) {
        self.beat(host, beat, now);
        match beat.flags & FLAG_SUSPECT {
            0 => self.refresh(host, until),
            _ => self.suspect(host, now),
        }
    }

    fn suspect(&mut self, host: HostId, now: Duration) {
        let Some(peer) = self.peers.get_mut(&host) else {
            return;
        };
        if peer.suspect_since.is_none() {
            peer.suspect_since = Some(now);
            self.changed = true;
        }
    }

    pub(crate) fn left(&mut self, host: HostId, now: Duration) {
        let Some(peer) = self.peers.get_mut(&host) else {
            return;
        };
        if peer.left_at.is_none() {
            peer.left_at = Some(now);
            self.changed = true;
        }
    }

    /// The platform's list, late as it is: a hint for leaving and for who is gone.
    pub(crate) fn list(&mut self, hosts: impl Iterator<Item = (SocketAddr, bool)>) {
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

    fn says_leaving(&self, address: SocketAddr) -> bool {
        self.listed.as_ref().and_then(|l| l.get(&address)) == Some(&true)
    }

    /// Listed hosts that are not leaving and that no card speaks of.
    pub(crate) fn listed_unknown(&self, mine: SocketAddr) -> Option<usize> {
        let listed = self.listed.as_ref()?;
        let known =
            |a: &SocketAddr| *a == mine || self.peers.values().any(|p| p.card.address == *a);
        Some(
            listed
                .iter()
                .filter(|(a, leaving)| !**leaving && !known(a))
                .count(),
        )
    }

    /// Suspects who was not heard of and forgets who is gone for good.
    pub(crate) fn expire(
        &mut self,
        unlisted: Duration,
        forget: Duration,
        now: Duration,
    ) -> Vec<Forgotten> {
        let late: Vec<HostId> = self.late(now);
        for host in late {
            self.suspect(host, now);
        }
        let over: Vec<HostId> = self
            .iter()
            .filter(|(_, p)| self.is_over(p, unlisted, forget, now))
            .map(|(host, _)| host)
            .collect();
        for host in &over {
            self.bury(*host, now);
        }
        self.gone
            .retain(|_, (_, at)| now.saturating_sub(*at) < REMEMBER_GONE);
        over.into_iter().map(|host| Forgotten { host }).collect()
    }

    fn late(&self, now: Duration) -> Vec<HostId> {
        self.iter()
            .filter(|(_, p)| p.suspect_since.is_none() && p.fresh_until <= now)
            .map(|(host, _)| host)
            .collect()
    }

    /// A host that the platform still lists may be cut off rather than dead: its share of the
    /// limits stays reserved until the list drops it or `forget` is over. A list that is older
    /// than the process says nothing of it; were it believed, a host that was restarted and then
    /// cut off would be forgotten within seconds and its share used twice.
    fn is_over(&self, peer: &Peer, unlisted: Duration, forget: Duration, now: Duration) -> bool {
        let listed = self.listed.as_ref();
        let gone = peer.was_listed && listed.is_some_and(|l| !l.contains_key(&peer.card.address));
        match (peer.left_at, peer.suspect_since) {
            (Some(at), _) => now.saturating_sub(at) >= SHOW_LEFT,
            (None, Some(at)) if gone => now.saturating_sub(at) >= unlisted,
            (None, Some(at)) => now.saturating_sub(at) >= forget,
            (None, None) => false,
        }
    }

    fn bury(&mut self, host: HostId, now: Duration) {
        if let Some(peer) = self.peers.remove(&host) {
            self.gone.insert(host, (peer.card.incarnation, now));
            self.changed = true;
        }
    }

    /// How long a process has been gone; `None` while it may be alive.
    pub(crate) fn gone_for(
        &self,
        host: HostId,
        incarnation: u64,
        now: Duration,
    ) -> Option<Duration> {
        let long = Duration::MAX;
        match (self.peers.get(&host), self.gone.get(&host)) {
            (Some(p), _) if p.card.incarnation > incarnation => Some(long),
            (Some(p), _) if p.left_at.is_some() => Some(long),
            (Some(p), _) => p.suspect_since.map(|at| now.saturating_sub(at)),
            (None, Some((buried, _))) if *buried >= incarnation => Some(long),
            (None, _) => None,
        }
    }

    /// The latest incarnation of a host that was heard of, 0 for none.
    pub(crate) fn last_incarnation(&self, host: HostId) -> u64 {
        let buried = self
            .gone
            .get(&host)
            .map_or(0, |(incarnation, _)| *incarnation);
        self.peers
            .get(&host)
            .map_or(0, |p| p.card.incarnation)
            .max(buried)
    }

    /// Gives everyone more time after this process was paused.
    pub(crate) fn shift(&mut self, gap: Duration) {
        for peer in self.peers.values_mut() {
            peer.fresh_until += gap;
            peer.suspect_since = peer.suspect_since.map(|at| at + gap);
        }
    }

    /// A hash over the hosts that are known, itself included.
    pub(crate) fn hash(&self, me: &Card) -> u32 {
        let one = |id: HostId, incarnation: u64| rank::mix(id.0 ^ rank::mix(incarnation));
        let mine = one(self.me, me.incarnation);
        let all = self
            .present()
            .fold(mine, |sum, (id, p)| sum ^ one(id, p.card.incarnation));
        (all >> 32) as u32
    }

    /// Whether anything changed since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    pub(crate) fn views(&self, now: Duration) -> Vec<PeerView> {
        self.peers.values().map(|peer| view(peer, now)).collect()
    }
}

fn view(peer: &Peer, now: Duration) -> PeerView {
    PeerView {
        host: peer.card.host.clone(),
        domain: peer.card.domain.clone(),
        region: peer.card.region.clone(),
        incarnation: peer.card.incarnation,
        caller: peer.card.caller,
        accepting: peer.flags & FLAG_ACCEPTING != 0,
        load: f32::from(peer.load) / 255.0,
        revision: peer.revision,
        revision_age: now.saturating_sub(peer.revision_at),
        state: match peer.state() {
            PeerState::Alive if peer.leaving() => PeerState::Left,
            state => state,
        },
    }
}
