//! What a member does with connections and messages.

use super::roster::Learned;
use super::{Conn, Link, MAX_STOPS, Member, Output};
use crate::rank;
use crate::types::{Event, HostId, Stop};
use crate::wire::{Beat, CARDS, Card, FLAG_SUSPECT, FLAG_WANTED, Frame, Message};
use std::net::SocketAddr;

impl Member {
    pub(super) fn connected(&mut self, conn: Conn, card: Card, dialed: Option<SocketAddr>) {
        if let Some(address) = dialed {
            self.dialer.connected(address);
        }
        let host = card.id();
        let learned = self
            .roster
            .learn(&card, true, self.suspect_after(), self.now);
        let by_smaller = dialed.is_some() == (self.id < host);
        match self.links.get(&host) {
            _ if learned == Learned::Stale => return self.refuse(conn, card),
            // Both dialed at once: both sides keep the connection of the smaller id.
            Some(old) if learned == Learned::Known && old.by_smaller && !by_smaller => {
                return self.out.push(Output::Close(conn));
            }
            Some(old) => {
                let old = old.conn;
                self.drop_conn(old);
            }
            None => {}
        }
        self.learned(host, learned);
        self.dialer.connected(card.address);
        self.conns.insert(conn, host);
        let link = Link {
            conn,
            wanted_there: true,
            wanted_here: true,
            unwanted_since: None,
            by_smaller,
        };
        self.links.insert(host, link);
        self.roster.heard(host, self.now + self.suspect_after());
        self.greet(host, learned);
    }

    /// The process at the other end is an older one of its host, or runs under this host's name.
    fn refuse(&mut self, conn: Conn, card: Card) {
        log::warn!(
            "mesh: refused a process of {} that is known to be gone",
            card.host
        );
        let incarnation = self
            .roster
            .last_incarnation(card.id())
            .max(card.incarnation);
        let frame = Frame(vec![Message::Cards(vec![Card {
            incarnation,
            ..card
        }])]);
        self.out.push(Output::Send { conn, frame });
        self.out.push(Output::Close(conn));
    }

    /// What a new link begins with.
    fn greet(&mut self, host: HostId, learned: Learned) {
        let newest = self.spread.newest();
        self.send(host, Message::Newest(newest));
        self.send_beat(host);
        if learned != Learned::Known {
            self.roster.take_changed();
            self.changed();
        }
        if !self.stops.is_empty() {
            let stops = self.stops.values().cloned().collect();
            self.send(host, Message::Stops(stops));
        }
        self.holds_greet(host);
        self.domain_greet(host);
    }

    pub(super) fn disconnected(&mut self, conn: Conn) {
        self.unlink(conn);
    }

    fn unlink(&mut self, conn: Conn) {
        let Some(host) = self.conns.remove(&conn) else {
            return;
        };
        if self.links.get(&host).is_some_and(|l| l.conn == conn) {
            self.links.remove(&host);
            self.outbox.remove(&host);
            self.spread.lost(host);
            self.summaries.lost(host);
            self.dialer.failed(self.address_of(host), false, self.now);
        }
    }

    pub(super) fn drop_conn(&mut self, conn: Conn) {
        self.unlink(conn);
        self.out.push(Output::Close(conn));
    }

    fn address_of(&self, host: HostId) -> SocketAddr {
        self.roster
            .get(host)
            .map_or(self.me.address, |p| p.card.address)
    }

    pub(super) fn received(&mut self, conn: Conn, frame: Frame) {
        let Some(host) = self.conns.get(&conn).copied() else {
            return;
        };
        self.roster.heard(host, self.now + self.suspect_after());
        for message in frame.0 {
            self.message(host, message);
        }
    }

    fn message(&mut self, from: HostId, message: Message) {
        match message {
            Message::Beat(beat) => self.beat(from, &beat),
            Message::Cards(cards) => self.cards(from, &cards),
            Message::AskCards => self.send_cards(from),
            Message::Leave => self.peer_left(from),
            Message::Newest(offer) => self.newest(from, offer),
            Message::Fetch(fetch) => self.asked(from, fetch),
            Message::Steps(steps) => self.steps(from, &steps),
            Message::Chunk(chunk) => self.chunk(from, &chunk),
            Message::Hold(records) => self.keep(from, records),
            Message::Held(ids) => self.held(from, &ids),
            Message::Release(ids) => self.released(&ids),
            Message::Demand(demand) => self.shares.heard(from, &demand),
            Message::Evidence(list) => self.counters.merge(&list, self.now),
            Message::Report(report) => self.report(from, report),
            Message::Stops(stops) => self.stops(Some(from), stops),
            Message::Forward(payload) => {
                let Some(peer) = self.roster.get(from) else {
                    return;
                };
                let event = Event::Forwarded {
                    from: peer.card.host.clone(),
                    payload,
                };
                self.emit(event);
            }
        }
    }

    fn beat(&mut self, from: HostId, beat: &Beat) {
        // Only a summary's reporter suspects somebody in a beat.
        let flags = beat.flags & !FLAG_SUSPECT;
        self.roster.beat(from, &Beat { flags, ..*beat }, self.now);
        if let Some(link) = self.links.get_mut(&from) {
            link.wanted_there = beat.flags & FLAG_WANTED != 0;
        }
        if beat.roster != self.roster.hash(&self.me) {
            self.roster_differs(from);
        }
    }

    /// Cards of third parties. Those that are new here go on to all other links, so that a joiner
    /// is known everywhere after a few hops.
    fn cards(&mut self, from: HostId, cards: &[Card]) {
        let mut fresh = Vec::new();
        for card in cards {
            let learned = self
                .roster
                .learn(card, false, self.suspect_after(), self.now);
            match learned {
                Learned::New | Learned::Restarted => {
                    self.learned(card.id(), learned);
                    fresh.push(card.clone());
                }
                Learned::Stale if card.id() == self.id => self.own_card(card),
                Learned::Known | Learned::Stale => {}
            }
        }
        if !fresh.is_empty() {
            self.sync.helped();
            self.send_all(Some(from), &Message::Cards(fresh));
        }
    }

    fn learned(&mut self, host: HostId, learned: Learned) {
        if matches!(learned, Learned::New | Learned::Restarted)
            && let Some(peer) = self.roster.get(host)
        {
            log::info!(
                "mesh: {learned:?} {} in {}",
                peer.card.host,
                peer.card.domain
            );
        }
        if learned == Learned::Restarted {
            self.shares.forget(host);
            self.holds.restarted(host);
            // A link to the former process is of no use; the transport notices late.
            if let Some(conn) = self.links.get(&host).map(|l| l.conn) {
                self.drop_conn(conn);
            }
        }
    }

    /// Somebody knows a later process of this very host. A joiner whose wall clock went back takes
    /// a higher incarnation; a process that was paused while its successor started must stop, or
    /// two would serve under one name.
    fn own_card(&mut self, card: &Card) {
        match card.incarnation {
            other if other <= self.me.incarnation => {}
            other if !self.spread.joined() => {
                self.me.incarnation = other + 1 + rank::mix(other) % 1024;
                let card = self.me.clone();
                self.send_all(None, &Message::Cards(vec![card]));
                self.hold_again();
            }
            other => {
                log::error!(
                    "mesh: a later process runs as {}; this one stops",
                    self.me.host
                );
                self.ended = true;
                self.emit(Event::Superseded { by: other });
                let conns: Vec<Conn> = self.links.values().map(|l| l.conn).collect();
                self.out.extend(conns.into_iter().map(Output::Close));
            }
        }
    }

    fn send_cards(&mut self, to: HostId) {
        let mine = std::iter::once(self.me.clone());
        let all: Vec<Card> = mine
            .chain(self.roster.present().map(|(_, p)| p.card.clone()))
            .collect();
        for part in all.chunks(CARDS) {
            self.send(to, Message::Cards(part.to_vec()));
        }
    }

    fn peer_left(&mut self, host: HostId) {
        self.roster.left(host, self.now);
        self.shares.forget(host);
        self.changed();
    }

    /// Stops spread to everyone at once; the one of the highest revision stays.
    pub(super) fn stops(&mut self, from: Option<HostId>, stops: Vec<Stop>) {
        let mut fresh = Vec::new();
        for stop in stops {
            let known = self.stops.get(&stop.version);
            let newer = known.is_none_or(|k| k.revision < stop.revision);
            if newer && (known.is_some() || self.stops.len() < MAX_STOPS) {
                self.stops.insert(stop.version.clone(), stop.clone());
                fresh.push(stop);
            }
        }
        if fresh.is_empty() {
            return;
        }
        self.send_all(from, &Message::Stops(fresh));
        if from.is_some() {
            let all = self.stops.values().cloned().collect();
            self.emit(Event::Stops(all));
        }
    }
}
