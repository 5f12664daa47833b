//! Handles replicas whose owner is gone, and hands over replicas when this node leaves.

use super::Member;
use crate::rank;
use crate::types::{Event, HostId};
use crate::wire::{Message, Record};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which the holders of a gone owner first exchange their records. One may have the
/// closing record of a request where the other has only the opening one, and the caller would be
/// billed as interrupted for a complete answer.
const ORPHAN_EXCHANGE_DELAY: Duration = Duration::from_secs(1);
/// Additional delay of the second holder, so that usually only one appends to the journal.
const SECOND_HOLDER_DELAY: Duration = Duration::from_secs(5);
/// Interval at which orphans that were not released are reported again.
const ORPHAN_REPORT_INTERVAL: Duration = Duration::from_secs(30);
/// Maximum number of orphans in one event.
const MAX_ORPHANS_PER_EVENT: usize = 512;
/// Time that a leaving node waits for its replicas to be taken over.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);

impl Member {
    /// Finds replicas whose owner is gone and reports them to the node.
    pub(super) fn find_orphans(&mut self) {
        let mut to_exchange: BTreeMap<HostId, Vec<Record>> = BTreeMap::new();
        let mut to_report = Vec::new();
        let (now, orphan_after) = (self.now, self.timers.orphan_after);
        for replica in self.record_store.replicas.values_mut() {
            let (owner, incarnation) = (replica.record.owner, replica.record.incarnation);
            let owner_unknown = self.roster.get(owner).is_none();
            let is_gone = match self.roster.gone_duration(owner, incarnation, now) {
                Some(elapsed) => elapsed >= orphan_after,
                None => owner_unknown && now.saturating_sub(replica.stored_at) >= orphan_after,
            };
            if !is_gone {
                replica.orphaned_at = None;
                continue;
            }
            let other_holder = HostId(replica.record.other_holder);
            if replica.orphaned_at.is_none() {
                replica.orphaned_at = Some(now);
                to_exchange
                    .entry(other_holder)
                    .or_default()
                    .push(replica.record.clone());
            }
            let is_second_holder = self.links.contains_key(&other_holder)
                && rank::score(other_holder, owner.0) < rank::score(self.id, owner.0);
            let delay = match is_second_holder {
                true => ORPHAN_EXCHANGE_DELAY + SECOND_HOLDER_DELAY,
                false => ORPHAN_EXCHANGE_DELAY,
            };
            let due = replica.orphaned_at.is_some_and(|at| at + delay <= now);
            let report_due = replica
                .reported_at
                .is_none_or(|at| at + ORPHAN_REPORT_INTERVAL <= now);
            if due && report_due && to_report.len() < MAX_ORPHANS_PER_EVENT {
                replica.reported_at = Some(now);
                to_report.push((replica.record.id, replica.record.record.clone()));
            }
        }
        for (host, records) in to_exchange {
            self.send_records(host, records);
        }
        if !to_report.is_empty() {
            log::warn!(
                "mesh: reporting {} replicas of records whose owner is gone",
                to_report.len()
            );
            self.emit(Event::Orphans(to_report));
        }
    }

    fn send_records(&mut self, host: HostId, records: Vec<Record>) {
        for record in records {
            self.send(host, Message::Hold(vec![record]));
        }
    }

    /// Sends replicas whose owner is gone to another node. Owners that are alive learn that this
    /// node leaves and send their records to a new holder themselves.
    pub(super) fn hand_over_orphans(&mut self) {
        let orphans: Vec<Record> = self
            .record_store
            .replicas
            .values()
            .filter(|k| !self.roster.is_usable(k.record.owner))
            .map(|k| k.record.clone())
            .collect();
        for record in orphans {
            let recipient = self
                .links
                .keys()
                .copied()
                .filter(|h| self.roster.is_usable(*h) && h.0 != record.other_holder)
                .min_by_key(|h| rank::score(*h, record.owner.0));
            if let Some(host) = recipient {
                self.record_store.pending_handover.insert(record.id);
                self.send(host, Message::Hold(vec![record]));
            }
        }
    }

    /// Whether a leaving node may end.
    pub(super) fn is_handover_complete(&self, since: Duration) -> bool {
        let owned_replicated = self.record_store.owned.values().all(|o| !o.acks.is_empty());
        (self.record_store.pending_handover.is_empty() && owned_replicated)
            || self.now >= since + HANDOVER_TIMEOUT
    }
}
