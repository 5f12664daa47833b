//! Replicates bill records to other nodes until the journal has them.
//!
//! The owner of a record is the node that serves its request; a holder keeps a replica of it in
//! memory.

use super::{Member, Output};
use crate::rank;
use crate::types::{HoldAck, HostId};
use crate::wire::{HeldId, MAX_RECORD_BYTES, Message, Record};
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Limit on the memory for replicas of other nodes' records; beyond it a record is not
/// acknowledged.
const MAX_REPLICA_BYTES: usize = 16 * 1024 * 1024;
/// Maximum number of this node's records awaiting the journal; beyond it a hold ends at once
/// without copies.
const MAX_OWNED_RECORDS: usize = 65_536;
/// Memory per replica besides the record's bytes.
const RECORD_OVERHEAD_BYTES: usize = 128;

/// This node's records and the replicas that it holds for other nodes.
#[derive(Debug, Default)]
pub(crate) struct RecordStore {
    pub(super) owned: BTreeMap<u128, OwnedRecord>,
    last_seq: u64,
    /// Nodes that hold this node's records.
    holders: Vec<HostId>,
    hold_deadlines: VecDeque<(Duration, u128)>,
    pub(super) replicas: BTreeMap<u128, Replica>,
    replica_bytes: usize,
    /// Records that this node, while leaving, has handed over and that are not yet acknowledged.
    pub(super) pending_handover: BTreeSet<u128>,
}

/// A record of a request that this node serves.
#[derive(Debug)]
pub(super) struct OwnedRecord {
    record: Bytes,
    seq: u64,
    /// Holders that have acknowledged this `seq` of the record.
    pub(super) acks: BTreeSet<HostId>,
    /// Nodes that may hold this or an earlier record of the same id.
    sent_to: BTreeSet<HostId>,
    reply_sent: bool,
}

/// A replica of another node's record.
#[derive(Debug)]
pub(super) struct Replica {
    pub(super) record: Record,
    pub(super) stored_at: Duration,
    pub(super) orphaned_at: Option<Duration>,
    pub(super) reported_at: Option<Duration>,
}

impl RecordStore {
    pub(crate) fn replica_bytes(&self) -> usize {
        self.replica_bytes
    }

    pub(crate) fn holders(&self) -> &[HostId] {
        &self.holders
    }

    /// Owners of the replicas held here. A release may have been lost with a link that the owner no
    /// longer needs, so the holder makes sure that there is a link to the owner.
    pub(crate) fn owners(&self) -> impl Iterator<Item = HostId> {
        self.replicas.values().map(|k| k.record.owner)
    }

    /// Discards the acknowledgements of a restarted host, which has lost its replicas.
    pub(crate) fn clear_acks(&mut self, host: HostId) {
        for owned in self.owned.values_mut() {
            owned.acks.remove(&host);
            owned.sent_to.remove(&host);
        }
    }

    /// Stores a replica unless a later one of the same id is held; `false` if there is no room.
    fn insert_replica(&mut self, record: Record, now: Duration) -> bool {
        let version = |r: &Record| (r.incarnation, r.seq);
        let old = self
            .replicas
            .get(&record.id)
            .map(|k| (version(&k.record), memory_size(&k.record)));
        if old.is_some_and(|(old, _)| old >= version(&record)) {
            return true;
        }
        let total_bytes =
            self.replica_bytes - old.map_or(0, |(_, size)| size) + memory_size(&record);
        if total_bytes > MAX_REPLICA_BYTES || record.record.len() > MAX_RECORD_BYTES {
            return false;
        }
        self.replica_bytes = total_bytes;
        let replica = Replica {
            stored_at: now,
            orphaned_at: None,
            reported_at: None,
            record,
        };
        self.replicas.insert(replica.record.id, replica);
        true
    }

    fn remove_replica(&mut self, id: u128) -> Option<Record> {
        let replica = self.replicas.remove(&id)?;
        self.replica_bytes -= memory_size(&replica.record);
        self.pending_handover.remove(&id);
        Some(replica.record)
    }
}

fn memory_size(record: &Record) -> usize {
    record.record.len() + RECORD_OVERHEAD_BYTES
}

impl Member {
    pub(super) fn on_hold(&mut self, id: u128, record: Bytes) {
        let full = self.record_store.owned.len() >= MAX_OWNED_RECORDS
            && !self.record_store.owned.contains_key(&id);
        if full || record.len() > MAX_RECORD_BYTES {
            log::warn!(
                "mesh: cannot replicate record {id:032x} of {} bytes: the limits are \
                 {MAX_RECORD_BYTES} bytes per record and {MAX_OWNED_RECORDS} records awaiting \
                 the journal",
                record.len()
            );
            return self.emit_hold_done(id, 0);
        }
        self.record_store.last_seq += 1;
        let seq = self.record_store.last_seq;
        let sent_to = self
            .record_store
            .owned
            .remove(&id)
            .map(|o| o.sent_to)
            .unwrap_or_default();
        let owned = OwnedRecord {
            record,
            seq,
            acks: BTreeSet::new(),
            sent_to,
            reply_sent: false,
        };
        self.record_store.owned.insert(id, owned);
        for host in self.record_store.holders.clone() {
            self.send_owned(host, &[id]);
        }
        match self.record_store.holders.is_empty() {
            true => self.reply_to_hold(id),
            false => self
                .record_store
                .hold_deadlines
                .push_back((self.now + self.timers.hold_timeout, id)),
        }
    }

    fn send_owned(&mut self, host: HostId, ids: &[u128]) {
        if !self.links.contains_key(&host) {
            return;
        }
        let other_holder = self
            .record_store
            .holders
            .iter()
            .find(|h| **h != host)
            .map_or(0, |h| h.0);
        let mut records = Vec::new();
        for id in ids {
            let Some(owned) = self.record_store.owned.get_mut(id) else {
                continue;
            };
            owned.sent_to.insert(host);
            records.push(Record {
                id: *id,
                owner: self.id,
                incarnation: self.local_card.incarnation,
                seq: owned.seq,
                other_holder,
                record: owned.record.clone(),
            });
        }
        for record in records {
            self.send(host, Message::Hold(vec![record]));
        }
    }

    fn emit_hold_done(&mut self, id: u128, copies: usize) {
        let ack = HoldAck {
            copies: copies as u8,
            requested: self.holder_count,
        };
        self.outputs.push(Output::HoldDone { id, ack });
    }

    fn reply_to_hold(&mut self, id: u128) {
        let Some(owned) = self
            .record_store
            .owned
            .get_mut(&id)
            .filter(|o| !o.reply_sent)
        else {
            return;
        };
        owned.reply_sent = true;
        let copies = owned.acks.len();
        self.emit_hold_done(id, copies);
    }

    /// Handles acknowledgements of this node's records, or of those it hands over while leaving.
    pub(super) fn on_hold_confirmed(&mut self, from: HostId, ids: &[HeldId]) {
        let required = self
            .record_store
            .holders
            .len()
            .min(usize::from(self.holder_count));
        let mut to_release = Vec::new();
        let mut outdated = Vec::new();
        for held_id in ids {
            if held_id.owner != self.id {
                self.record_store.pending_handover.remove(&held_id.id);
                continue;
            }
            // A record of an earlier incarnation is not this process's to release: its holders may
            // have the only copies of a bill.
            if held_id.incarnation != self.local_card.incarnation {
                continue;
            }
            match self.record_store.owned.get_mut(&held_id.id) {
                None => to_release.push(held_id.id),
                Some(owned) if owned.seq > held_id.seq => outdated.push(held_id.id),
                Some(owned) => {
                    owned.acks.insert(from);
                    owned.sent_to.insert(from);
                    if owned.acks.len() >= required {
                        self.reply_to_hold(held_id.id);
                    }
                }
            }
        }
        if !to_release.is_empty() {
            self.send(from, Message::Release(to_release));
        }
        self.send_owned(from, &outdated);
    }

    /// Stores replicas for a peer and acknowledges them.
    pub(super) fn store_replicas(&mut self, from: HostId, records: Vec<Record>) {
        let mut stored = Vec::new();
        for record in records {
            let id = HeldId::of(&record);
            match record.owner == self.id {
                true => {}
                false if self.record_store.insert_replica(record, self.now) => stored.push(id),
                false => log::warn!(
                    "mesh: no room for a replica of record {:032x}: the limits are \
                     {MAX_RECORD_BYTES} bytes per record and {MAX_REPLICA_BYTES} bytes in total",
                    id.id
                ),
            }
        }
        if !stored.is_empty() {
            self.send(from, Message::HoldConfirmed(stored));
        }
    }

    /// Handles this node's notice that the journal has these records.
    pub(super) fn on_release(&mut self, ids: &[u128]) {
        let mut release_to: BTreeMap<HostId, Vec<u128>> = BTreeMap::new();
        for id in ids {
            // The request may still wait for a slow holder; once the record is removed, nothing
            // else would answer its hold.
            self.reply_to_hold(*id);
            let recipients = self
                .record_store
                .owned
                .remove(id)
                .map(|o| o.sent_to)
                .unwrap_or_default();
            let other_holder = self
                .record_store
                .remove_replica(*id)
                .map(|r| HostId(r.other_holder));
            for host in recipients.into_iter().chain(other_holder) {
                release_to.entry(host).or_default().push(*id);
            }
        }
        for (host, ids) in release_to {
            self.send(host, Message::Release(ids));
        }
    }

    /// Handles a peer's notice that the journal has these records.
    pub(super) fn on_peer_release(&mut self, ids: &[u128]) {
        for id in ids {
            self.record_store.remove_replica(*id);
        }
    }

    /// Sends the initial messages about records on a new link: this node's records if the peer is a
    /// holder, and the ids of the replicas held for the peer, which releases those that have reached
    /// the journal in the meantime.
    pub(super) fn sync_records(&mut self, host: HostId) {
        self.send_unacked(host);
        let Some(peer) = self.roster.get(host) else {
            return;
        };
        let incarnation = peer.card.incarnation;
        let peer_replicas: Vec<HeldId> = self
            .record_store
            .replicas
            .values()
            .map(|k| HeldId::of(&k.record))
            .filter(|h| h.owner == host && h.incarnation == incarnation)
            .collect();
        for batch in peer_replicas.chunks(1024) {
            self.send(host, Message::HoldConfirmed(batch.to_vec()));
        }
    }

    /// Sends a holder every record that it has not acknowledged.
    fn send_unacked(&mut self, host: HostId) {
        if !self.record_store.holders.contains(&host) {
            return;
        }
        let unacked: Vec<u128> = self
            .record_store
            .owned
            .iter()
            .filter(|(_, owned)| !owned.acks.contains(&host))
            .map(|(id, _)| *id)
            .collect();
        self.send_owned(host, &unacked);
    }

    /// Sends all records again under a new incarnation.
    pub(super) fn resend_owned(&mut self) {
        for owned in self.record_store.owned.values_mut() {
            owned.acks.clear();
        }
        for host in self.record_store.holders.clone() {
            self.send_unacked(host);
        }
    }

    /// Chooses the holders of this node's records: in failure domains other than its own and each
    /// other's as far as possible, first in this node's rendezvous order. That order alone keeps
    /// the choice stable. Preferring earlier holders would concentrate the records of the whole
    /// fleet on the few nodes that started first.
    pub(super) fn choose_holders(&mut self) {
        let mut chosen: Vec<HostId> = Vec::new();
        for _ in 0..self.holder_count {
            let best = self
                .roster
                .iter()
                .filter(|(host, p)| p.usable() && !chosen.contains(host))
                .min_by_key(|(host, p)| {
                    let domain_taken = chosen
                        .iter()
                        .any(|c| self.roster.domain_of(*c) == Some(p.domain));
                    let preference = match p.domain == self.domain {
                        true => 2,
                        false => u8::from(domain_taken),
                    };
                    (preference, rank::score(*host, self.id.0))
                });
            let Some((host, _)) = best else { break };
            chosen.push(host);
        }
        let added: Vec<HostId> = chosen
            .iter()
            .copied()
            .filter(|h| !self.record_store.holders.contains(h))
            .collect();
        self.record_store.holders = chosen;
        for host in added {
            self.send_unacked(host);
        }
    }

    /// Replies to holds whose timeout has passed.
    pub(super) fn expire_holds(&mut self) {
        while let Some((at, id)) = self.record_store.hold_deadlines.front().copied()
            && at <= self.now
        {
            self.record_store.hold_deadlines.pop_front();
            self.reply_to_hold(id);
        }
    }
}
