//! Handles connections and incoming messages.

use super::roster::CardUpdate;
use super::{ConnId, Link, MAX_STOPS, Member, Output};
use crate::rank;
use crate::types::{Event, HostId, Stop};
use crate::wire::{
    Card, FLAG_SUSPECT, FLAG_WANTED, Frame, Heartbeat, MAX_CARDS_PER_MESSAGE, Message,
};
use std::net::SocketAddr;

impl Member {
    pub(super) fn on_connected(&mut self, conn: ConnId, card: Card, dialed: Option<SocketAddr>) {
        if let Some(address) = dialed {
            self.dialer.on_success(address);
        }
        let host = card.id();
        let update = self
            .roster
            .apply_card(&card, true, self.suspect_timeout(), self.now);
        let dialed_by_smaller_id = dialed.is_some() == (self.id < host);
        match self.links.get(&host) {
            _ if update == CardUpdate::Stale => return self.refuse_stale(conn, card),
            // Both nodes dialed at once: both keep the connection dialed by the smaller id.
            Some(old)
                if update == CardUpdate::Unchanged
                    && old.dialed_by_smaller_id
                    && !dialed_by_smaller_id =>
            {
                return self.outputs.push(Output::Close(conn));
            }
            Some(old) => {
                let old = old.conn;
                self.close_conn(old);
            }
            None => {}
        }
        self.on_card_update(host, update);
        self.dialer.on_success(card.address);
        self.conns.insert(conn, host);
        let link = Link {
            conn,
            wanted_by_peer: true,
            wanted_locally: true,
            unwanted_since: None,
            dialed_by_smaller_id,
        };
        self.links.insert(host, link);
        self.roster
            .record_contact(host, self.now + self.suspect_timeout());
        self.sync_new_link(host, update);
    }

    /// Refuses a connection from an earlier process of a host, or from one that uses this host's
    /// name, and tells it the latest incarnation.
    fn refuse_stale(&mut self, conn: ConnId, card: Card) {
        log::warn!(
            "mesh: refused a process of host {}: its card is stale or has this host's name",
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
        self.outputs.push(Output::Send { conn, frame });
        self.outputs.push(Output::Close(conn));
    }

    /// Sends the initial messages on a new link.
    fn sync_new_link(&mut self, host: HostId, update: CardUpdate) {
        let offer = self.config_replica.local_offer();
        self.send(host, Message::RevisionOffer(offer));
        self.send_heartbeat(host);
        if update != CardUpdate::Unchanged {
            self.roster.take_changed();
            self.on_membership_change();
        }
        if !self.stops.is_empty() {
            let stops = self.stops.values().cloned().collect();
            self.send(host, Message::Stops(stops));
        }
        self.sync_records(host);
        self.sync_domain_state(host);
    }

    pub(super) fn on_disconnected(&mut self, conn: ConnId) {
        self.remove_link(conn);
    }

    fn remove_link(&mut self, conn: ConnId) {
        let Some(host) = self.conns.remove(&conn) else {
            return;
        };
        if self.links.get(&host).is_some_and(|l| l.conn == conn) {
            self.links.remove(&host);
            self.outbox.remove(&host);
            self.config_replica.remove_peer(host);
            self.summaries.remove_peer(host);
            self.dialer
                .on_failure(self.address_of(host), false, self.now);
        }
    }

    pub(super) fn close_conn(&mut self, conn: ConnId) {
        self.remove_link(conn);
        self.outputs.push(Output::Close(conn));
    }

    fn address_of(&self, host: HostId) -> SocketAddr {
        self.roster
            .get(host)
            .map_or(self.local_card.address, |p| p.card.address)
    }

    pub(super) fn on_frame(&mut self, conn: ConnId, frame: Frame) {
        let Some(host) = self.conns.get(&conn).copied() else {
            return;
        };
        self.roster
            .record_contact(host, self.now + self.suspect_timeout());
        for message in frame.0 {
            self.on_message(host, message);
        }
    }

    fn on_message(&mut self, from: HostId, message: Message) {
        match message {
            Message::Heartbeat(heartbeat) => self.on_heartbeat(from, &heartbeat),
            Message::Cards(cards) => self.on_cards(from, &cards),
            Message::RequestCards => self.send_cards(from),
            Message::Leave => self.on_peer_leave(from),
            Message::RevisionOffer(offer) => self.on_revision_offer(from, offer),
            Message::Fetch(fetch) => self.on_fetch(from, fetch),
            Message::Steps(steps) => self.on_steps(from, &steps),
            Message::Chunk(chunk) => self.on_chunk(from, &chunk),
            Message::Hold(records) => self.store_replicas(from, records),
            Message::HoldConfirmed(ids) => self.on_hold_confirmed(from, &ids),
            Message::Release(ids) => self.on_peer_release(&ids),
            Message::Demand(demand) => self.shares.apply_host_demand(from, &demand),
            Message::Evidence(list) => self.counters.merge(&list, self.now),
            Message::Report(report) => self.on_report(from, report),
            Message::Stops(stops) => self.merge_stops(Some(from), stops),
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

    fn on_heartbeat(&mut self, from: HostId, heartbeat: &Heartbeat) {
        // The suspect flag has a meaning only in a domain summary, where the reporter sets it.
        let flags = heartbeat.flags & !FLAG_SUSPECT;
        self.roster.apply_heartbeat(
            from,
            &Heartbeat {
                flags,
                ..*heartbeat
            },
            self.now,
        );
        if let Some(link) = self.links.get_mut(&from) {
            link.wanted_by_peer = heartbeat.flags & FLAG_WANTED != 0;
        }
        if heartbeat.roster != self.roster.view_hash(&self.local_card) {
            self.request_cards(from);
        }
    }

    /// Handles cards of third parties. New ones are forwarded on all other links, so that a joining
    /// node is known everywhere after a few hops.
    fn on_cards(&mut self, from: HostId, cards: &[Card]) {
        let mut new_cards = Vec::new();
        for card in cards {
            let update = self
                .roster
                .apply_card(card, false, self.suspect_timeout(), self.now);
            match update {
                CardUpdate::New | CardUpdate::Restarted => {
                    self.on_card_update(card.id(), update);
                    new_cards.push(card.clone());
                }
                CardUpdate::Stale if card.id() == self.id => self.on_own_card(card),
                CardUpdate::Unchanged | CardUpdate::Stale => {}
            }
        }
        if !new_cards.is_empty() {
            self.sync.reset_backoff();
            self.broadcast(Some(from), &Message::Cards(new_cards));
        }
    }

    fn on_card_update(&mut self, host: HostId, update: CardUpdate) {
        if matches!(update, CardUpdate::New | CardUpdate::Restarted)
            && let Some(peer) = self.roster.get(host)
        {
            log::info!(
                "mesh: {update:?} process of host {} in failure domain {}",
                peer.card.host,
                peer.card.domain
            );
        }
        if update == CardUpdate::Restarted {
            self.shares.remove_host(host);
            self.record_store.clear_acks(host);
            // A link to the previous process is useless, and the transport detects its loss late.
            if let Some(conn) = self.links.get(&host).map(|l| l.conn) {
                self.close_conn(conn);
            }
        }
    }

    /// Handles the card of a later process of this same host. A joining node whose wall clock has
    /// gone back takes a higher incarnation; a process that was paused while its successor started
    /// must stop, or two processes would serve under one name.
    fn on_own_card(&mut self, card: &Card) {
        match card.incarnation {
            seen_incarnation if seen_incarnation <= self.local_card.incarnation => {}
            seen_incarnation if !self.config_replica.joined() => {
                self.local_card.incarnation =
                    seen_incarnation + 1 + rank::mix64(seen_incarnation) % 1024;
                let card = self.local_card.clone();
                self.broadcast(None, &Message::Cards(vec![card]));
                self.resend_owned();
            }
            seen_incarnation => {
                log::error!(
                    "mesh: a later process runs under the host name {}; this process stops",
                    self.local_card.host
                );
                self.ended = true;
                self.emit(Event::Superseded {
                    by: seen_incarnation,
                });
                let conns: Vec<ConnId> = self.links.values().map(|l| l.conn).collect();
                self.outputs.extend(conns.into_iter().map(Output::Close));
            }
        }
    }

    fn send_cards(&mut self, to: HostId) {
        let local_entry = std::iter::once(self.local_card.clone());
        let all_cards: Vec<Card> = local_entry
            .chain(self.roster.present().map(|(_, p)| p.card.clone()))
            .collect();
        for batch in all_cards.chunks(MAX_CARDS_PER_MESSAGE) {
            self.send(to, Message::Cards(batch.to_vec()));
        }
    }

    fn on_peer_leave(&mut self, host: HostId) {
        self.roster.mark_left(host, self.now);
        self.shares.remove_host(host);
        self.on_membership_change();
    }

    /// Merges stopped versions, keeping the highest revision of each, and forwards new ones to all
    /// links at once.
    pub(super) fn merge_stops(&mut self, from: Option<HostId>, stops: Vec<Stop>) {
        let mut new_stops = Vec::new();
        for stop in stops {
            let known = self.stops.get(&stop.version);
            let newer = known.is_none_or(|k| k.revision < stop.revision);
            if newer && (known.is_some() || self.stops.len() < MAX_STOPS) {
                self.stops.insert(stop.version.clone(), stop.clone());
                new_stops.push(stop);
            }
        }
        if new_stops.is_empty() {
            return;
        }
        self.broadcast(from, &Message::Stops(new_stops));
        if from.is_some() {
            let all = self.stops.values().cloned().collect();
            self.emit(Event::Stops(all));
        }
    }
}
