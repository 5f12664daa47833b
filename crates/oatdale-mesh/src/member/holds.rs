//! Bill records that nodes keep for one another until the journal has them.

use super::{Member, Output};
use crate::rank;
use crate::types::{HoldAck, HostId};
use crate::wire::{HeldId, MAX_RECORD, Message, Record};
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Bytes kept for other nodes at most; beyond it a record is not confirmed.
const MAX_HELD_BYTES: usize = 16 * 1024 * 1024;
/// Own records that wait for the journal at most; beyond it a hold ends at once without copies.
const MAX_OWN: usize = 65_536;
/// Memory of a kept record besides its bytes.
const RECORD_OVERHEAD: usize = 128;
/// What is kept here and what others keep for this node.
#[derive(Debug, Default)]
pub(crate) struct Holds {
    pub(super) own: BTreeMap<u128, Own>,
    seq: u64,
    /// Nodes that keep this node's records.
    holders: Vec<HostId>,
    waiting: VecDeque<(Duration, u128)>,
    pub(super) kept: BTreeMap<u128, Kept>,
    bytes: usize,
    /// Records that a leaving node still wants to be confirmed by others.
    pub(super) handing: BTreeSet<u128>,
}

/// A record of this node's.
#[derive(Debug)]
pub(super) struct Own {
    record: Bytes,
    seq: u64,
    /// Who has confirmed this record.
    pub(super) acks: BTreeSet<HostId>,
    /// Who may have this or an earlier record of the id.
    sent: BTreeSet<HostId>,
    answered: bool,
}

/// A record kept for another node.
#[derive(Debug)]
pub(super) struct Kept {
    pub(super) record: Record,
    pub(super) since: Duration,
    pub(super) orphaned_at: Option<Duration>,
    pub(super) told_at: Option<Duration>,
}

impl Holds {
    pub(crate) fn held_bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) fn holders(&self) -> &[HostId] {
        &self.holders
    }

    /// Whose records are kept here. A release may have been lost with a link that the owner no
    /// longer needs, so the holder sees to it that there is one.
    pub(crate) fn owners(&self) -> impl Iterator<Item = HostId> {
        self.kept.values().map(|k| k.record.owner)
    }

    /// A host has lost what it kept.
    pub(crate) fn restarted(&mut self, host: HostId) {
        for own in self.own.values_mut() {
            own.acks.remove(&host);
            own.sent.remove(&host);
        }
    }

    /// Keeps a record unless a later one of its id is kept; `false` if there is no room.
    fn put(&mut self, record: Record, now: Duration) -> bool {
        let rank = |r: &Record| (r.incarnation, r.seq);
        let old = self
            .kept
            .get(&record.id)
            .map(|k| (rank(&k.record), size(&k.record)));
        if old.is_some_and(|(old, _)| old >= rank(&record)) {
            return true;
        }
        let bytes = self.bytes - old.map_or(0, |(_, size)| size) + size(&record);
        if bytes > MAX_HELD_BYTES || record.record.len() > MAX_RECORD {
            return false;
        }
        self.bytes = bytes;
        let kept = Kept {
            since: now,
            orphaned_at: None,
            told_at: None,
            record,
        };
        self.kept.insert(kept.record.id, kept);
        true
    }

    fn drop_kept(&mut self, id: u128) -> Option<Record> {
        let kept = self.kept.remove(&id)?;
        self.bytes -= size(&kept.record);
        self.handing.remove(&id);
        Some(kept.record)
    }
}

fn size(record: &Record) -> usize {
    record.record.len() + RECORD_OVERHEAD
}

impl Member {
    pub(super) fn hold(&mut self, id: u128, record: Bytes) {
        let full = self.holds.own.len() >= MAX_OWN && !self.holds.own.contains_key(&id);
        if full || record.len() > MAX_RECORD {
            log::warn!(
                "mesh: record {id:032x} of {} bytes can't be held",
                record.len()
            );
            return self.hold_done(id, 0);
        }
        self.holds.seq += 1;
        let seq = self.holds.seq;
        let sent = self
            .holds
            .own
            .remove(&id)
            .map(|o| o.sent)
            .unwrap_or_default();
        let own = Own {
            record,
            seq,
            acks: BTreeSet::new(),
            sent,
            answered: false,
        };
        self.holds.own.insert(id, own);
        for host in self.holds.holders.clone() {
            self.send_own(host, &[id]);
        }
        match self.holds.holders.is_empty() {
            true => self.answer_hold(id),
            false => self
                .holds
                .waiting
                .push_back((self.now + self.timers.hold, id)),
        }
    }

    fn send_own(&mut self, host: HostId, ids: &[u128]) {
        if !self.links.contains_key(&host) {
            return;
        }
        let other = self
            .holds
            .holders
            .iter()
            .find(|h| **h != host)
            .map_or(0, |h| h.0);
        let mut records = Vec::new();
        for id in ids {
            let Some(own) = self.holds.own.get_mut(id) else {
                continue;
            };
            own.sent.insert(host);
            records.push(Record {
                id: *id,
                owner: self.id,
                incarnation: self.me.incarnation,
                seq: own.seq,
                other,
                record: own.record.clone(),
            });
        }
        for record in records {
            self.send(host, Message::Hold(vec![record]));
        }
    }

    fn hold_done(&mut self, id: u128, copies: usize) {
        let ack = HoldAck {
            copies: copies as u8,
            wanted: self.holders,
        };
        self.out.push(Output::HoldDone { id, ack });
    }

    fn answer_hold(&mut self, id: u128) {
        let Some(own) = self.holds.own.get_mut(&id).filter(|o| !o.answered) else {
            return;
        };
        own.answered = true;
        let copies = own.acks.len();
        self.hold_done(id, copies);
    }

    /// Others confirm records: this node's own, or those that it hands over while leaving.
    pub(super) fn held(&mut self, from: HostId, ids: &[HeldId]) {
        let wanted = self.holds.holders.len().min(usize::from(self.holders));
        let mut release = Vec::new();
        let mut again = Vec::new();
        for held in ids {
            if held.owner != self.id {
                self.holds.handing.remove(&held.id);
                continue;
            }
            // A record of a former incarnation is not this process's to judge: releasing it would
            // lose a bill that only its holders have.
            if held.incarnation != self.me.incarnation {
                continue;
            }
            match self.holds.own.get_mut(&held.id) {
                None => release.push(held.id),
                Some(own) if own.seq > held.seq => again.push(held.id),
                Some(own) => {
                    own.acks.insert(from);
                    own.sent.insert(from);
                    if own.acks.len() >= wanted {
                        self.answer_hold(held.id);
                    }
                }
            }
        }
        if !release.is_empty() {
            self.send(from, Message::Release(release));
        }
        self.send_own(from, &again);
    }

    /// Keeps what others ask to keep.
    pub(super) fn keep(&mut self, from: HostId, records: Vec<Record>) {
        let mut held = Vec::new();
        for record in records {
            let id = HeldId::of(&record);
            match record.owner == self.id {
                true => {}
                false if self.holds.put(record, self.now) => held.push(id),
                false => log::warn!("mesh: no room to hold {:032x}", id.id),
            }
        }
        if !held.is_empty() {
            self.send(from, Message::Held(held));
        }
    }

    /// The journal has these, says this node.
    pub(super) fn release(&mut self, ids: &[u128]) {
        let mut to: BTreeMap<HostId, Vec<u128>> = BTreeMap::new();
        for id in ids {
            // A request may wait for copies that a slow holder has not confirmed; once the record
            // is gone nothing else would ever answer it.
            self.answer_hold(*id);
            let own = self
                .holds
                .own
                .remove(id)
                .map(|o| o.sent)
                .unwrap_or_default();
            let other = self.holds.drop_kept(*id).map(|r| HostId(r.other));
            for host in own.into_iter().chain(other) {
                to.entry(host).or_default().push(*id);
            }
        }
        for (host, ids) in to {
            self.send(host, Message::Release(ids));
        }
    }

    /// The journal has these, says another node.
    pub(super) fn released(&mut self, ids: &[u128]) {
        for id in ids {
            self.holds.drop_kept(*id);
        }
    }

    /// What a new link begins with: this node's records for a holder, and the list of what is kept
    /// for the other side, which releases what the journal has got in the meantime.
    pub(super) fn holds_greet(&mut self, host: HostId) {
        self.fill(host);
        let Some(peer) = self.roster.get(host) else {
            return;
        };
        let incarnation = peer.card.incarnation;
        let mine: Vec<HeldId> = self
            .holds
            .kept
            .values()
            .map(|k| HeldId::of(&k.record))
            .filter(|h| h.owner == host && h.incarnation == incarnation)
            .collect();
        for part in mine.chunks(1024) {
            self.send(host, Message::Held(part.to_vec()));
        }
    }

    /// Sends a holder every record that it has not confirmed.
    fn fill(&mut self, host: HostId) {
        if !self.holds.holders.contains(&host) {
            return;
        }
        let missing: Vec<u128> = self
            .holds
            .own
            .iter()
            .filter(|(_, own)| !own.acks.contains(&host))
            .map(|(id, _)| *id)
            .collect();
        self.send_own(host, &missing);
    }

    /// Sends everything again, under a new incarnation.
    pub(super) fn hold_again(&mut self) {
        for own in self.holds.own.values_mut() {
            own.acks.clear();
        }
        for host in self.holds.holders.clone() {
            self.fill(host);
        }
    }

    /// Picks the nodes that keep this node's records: in failure domains other than its own and
    /// each other's as far as there are any, the first in this node's own order. The order alone
    /// keeps them the same for long. Preferring those chosen before would leave the bills of a
    /// whole fleet with the few nodes that were there first.
    pub(super) fn choose_holders(&mut self) {
        let mut chosen: Vec<HostId> = Vec::new();
        for _ in 0..self.holders {
            let best = self
                .roster
                .iter()
                .filter(|(host, p)| p.usable() && !chosen.contains(host))
                .min_by_key(|(host, p)| {
                    let shared = chosen
                        .iter()
                        .any(|c| self.roster.domain_of(*c) == Some(p.domain));
                    let class = match p.domain == self.domain {
                        true => 2,
                        false => u8::from(shared),
                    };
                    (class, rank::score(*host, self.id.0))
                });
            let Some((host, _)) = best else { break };
            chosen.push(host);
        }
        let added: Vec<HostId> = chosen
            .iter()
            .copied()
            .filter(|h| !self.holds.holders.contains(h))
            .collect();
        self.holds.holders = chosen;
        for host in added {
            self.fill(host);
        }
    }

    /// Answers holds that waited long enough.
    pub(super) fn time_out_holds(&mut self) {
        while let Some((at, id)) = self.holds.waiting.front().copied()
            && at <= self.now
        {
            self.holds.waiting.pop_front();
            self.answer_hold(id);
        }
    }
}
