//! Held records whose owner is gone, and what a leaving node does with what it holds.

use super::Member;
use crate::rank;
use crate::types::{Event, HostId};
use crate::wire::{Message, Record};
use std::collections::BTreeMap;
use std::time::Duration;

/// After an owner is gone its holders first tell each other what they have: one may hold the
/// closing record of a request where the other has only the opening one, and a caller would be
/// billed as interrupted for a whole answer.
const ORPHAN_GRACE: Duration = Duration::from_secs(1);
/// The second holder waits longer, so that usually only one appends to the journal.
const ORPHAN_SECOND: Duration = Duration::from_secs(5);
/// Orphans that were not released are told again.
const ORPHAN_RETRY: Duration = Duration::from_secs(30);
/// Orphans in one event.
const ORPHANS_AT_ONCE: usize = 512;
/// How long a leaving node waits for those who take over what it holds.
const HAND_OVER: Duration = Duration::from_secs(2);

impl Member {
    /// Looks for records whose owner is gone.
    pub(super) fn find_orphans(&mut self) {
        let mut share: BTreeMap<HostId, Vec<Record>> = BTreeMap::new();
        let mut tell = Vec::new();
        let (now, orphan) = (self.now, self.timers.orphan);
        for kept in self.holds.kept.values_mut() {
            let (owner, incarnation) = (kept.record.owner, kept.record.incarnation);
            let unknown = self.roster.get(owner).is_none();
            let gone = match self.roster.gone_for(owner, incarnation, now) {
                Some(gone) => gone >= orphan,
                None => unknown && now.saturating_sub(kept.since) >= orphan,
            };
            if !gone {
                kept.orphaned_at = None;
                continue;
            }
            let other = HostId(kept.record.other);
            if kept.orphaned_at.is_none() {
                kept.orphaned_at = Some(now);
                share.entry(other).or_default().push(kept.record.clone());
            }
            let second = self.links.contains_key(&other)
                && rank::score(other, owner.0) < rank::score(self.id, owner.0);
            let wait = match second {
                true => ORPHAN_GRACE + ORPHAN_SECOND,
                false => ORPHAN_GRACE,
            };
            let due = kept.orphaned_at.is_some_and(|at| at + wait <= now);
            let again = kept.told_at.is_none_or(|at| at + ORPHAN_RETRY <= now);
            if due && again && tell.len() < ORPHANS_AT_ONCE {
                kept.told_at = Some(now);
                tell.push((kept.record.id, kept.record.record.clone()));
            }
        }
        for (host, records) in share {
            self.send_records(host, records);
        }
        if !tell.is_empty() {
            log::warn!("mesh: {} held records whose owner is gone", tell.len());
            self.emit(Event::Orphans(tell));
        }
    }

    fn send_records(&mut self, host: HostId, records: Vec<Record>) {
        for record in records {
            self.send(host, Message::Hold(vec![record]));
        }
    }

    /// A leaving node gives records whose owner is gone to somebody else. Those whose owner is
    /// there are sent by the owner itself, which hears that this node leaves.
    pub(super) fn hand_over(&mut self) {
        let orphans: Vec<Record> = self
            .holds
            .kept
            .values()
            .filter(|k| !self.roster.is_usable(k.record.owner))
            .map(|k| k.record.clone())
            .collect();
        for record in orphans {
            let to = self
                .links
                .keys()
                .copied()
                .filter(|h| self.roster.is_usable(*h) && h.0 != record.other)
                .min_by_key(|h| rank::score(*h, record.owner.0));
            if let Some(host) = to {
                self.holds.handing.insert(record.id);
                self.send(host, Message::Hold(vec![record]));
            }
        }
    }

    /// Whether a leaving node may end.
    pub(super) fn handed_over(&self, since: Duration) -> bool {
        let own_safe = self.holds.own.values().all(|o| !o.acks.is_empty());
        (self.holds.handing.is_empty() && own_safe) || self.now >= since + HAND_OVER
    }
}
