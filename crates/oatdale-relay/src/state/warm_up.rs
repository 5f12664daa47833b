//! This node's share of the request rate that a cold endpoint can take.

use crate::directory::{EndpointKey, Entry, Shortage};
use crate::nodes::Nodes;
use crate::site::ServiceFacts;
use crate::state::{State, Wanted, hash};
use oatdale_policy::relay::warm_up_share;
use std::time::Duration;

/// How long a node can be without the key-value service and still be in the other nodes' node
/// lists.
const RECORD_LIFE: Duration = Duration::from_secs(2);

/// How long a computed share is used; it is recomputed since the set of nodes changes.
const SHARE_LIFE: Duration = Duration::from_millis(500);

impl State {
    /// Records that the key-value service answers this node again.
    pub(crate) fn store_back(&mut self, now: Duration) {
        let lost = self.store_lost.take();
        if lost.is_some_and(|since| now >= since + RECORD_LIFE) {
            self.known_since = now;
        }
    }

    /// Returns the configuration of a service whose endpoints take a limited request rate while
    /// cold.
    fn cold_facts(&self, service: &str) -> Option<&ServiceFacts> {
        let facts = self.site.as_ref()?.services.get(service)?;
        (facts.cold_rate > 0.0).then_some(facts)
    }

    /// Whether endpoints of a service take a limited request rate while cold.
    pub(crate) fn has_cold_rate(&self, service: &str) -> bool {
        self.cold_facts(service).is_some()
    }

    /// Returns how long an endpoint of a service is cold after its start, if its request rate is
    /// limited then.
    pub(super) fn cold_time(&self, service: &str) -> Option<Duration> {
        Some(self.cold_facts(service)?.cold_time)
    }

    /// Recomputes this node's share of the request rate of each cold endpoint of a service.
    pub(crate) fn share_cold(&mut self, now: Duration, service: &str, own: &str) {
        let Some(facts) = self.cold_facts(service) else {
            return;
        };
        let (time, rate) = (facts.cold_time, self.bounds.cold_rate(facts.cold_rate));
        let nodes = &self.nodes;
        let known_for = now.saturating_sub(self.known_since);
        // The other nodes take over the share of a node that is stopping or cut off from them.
        let is_replaced = self.store_lost.is_some() || self.stopping.is_some();
        for entry in self.directory.cold_mut(now, service, time) {
            let known = entry.warm_up_share;
            if known.is_some_and(|(at, _)| now < at + SHARE_LIFE) {
                continue;
            }
            let (count, rank) = place_for(nodes, now, entry.number, own);
            let share = match is_replaced {
                true => 0,
                false => warm_up_share(known_for, rate, count, rank),
            };
            if known.is_none_or(|(_, known)| known != share) {
                log::info!(
                    target: "directory",
                    "event=cold_share id={} share={share} rank={rank} nodes={count}",
                    entry.endpoint.id
                );
            }
            entry.warm_up_share = Some((now, share));
        }
    }

    /// Counts a request sent to an endpoint that is cold.
    pub(crate) fn note_warm_up(&mut self, now: Duration, key: EndpointKey) {
        let entry = self.directory.get(key);
        let time = entry.and_then(|e| self.cold_time(&e.endpoint.service));
        match (time, self.directory.get_mut(key)) {
            (Some(time), Some(entry)) if entry.is_cold(now, time) => entry.warm_up.note(now),
            _ => {}
        }
    }

    /// Counts why no endpoint can take a request.
    pub(crate) fn shortage(&self, now: Duration, wanted: &Wanted<'_>) -> Shortage {
        let time = self.cold_time(wanted.service);
        let has_room = |e: &Entry| time.is_none_or(|time| has_room(now, e, time));
        self.directory
            .shortage(now, wanted.service, wanted.tried, has_room)
    }

    /// Returns the time until this node may send to the first cold endpoint of a service. `None` if
    /// there is a warm one, or none that it may send to.
    pub(crate) fn warm_up_left(&self, now: Duration, service: &str) -> Option<Duration> {
        let time = self.cold_time(service)?;
        let mut first = None;
        for (_, entry) in self.directory.usable(now, service) {
            if !entry.is_cold(now, time) {
                return None;
            }
            first = [first, next_to_cold(entry)].into_iter().flatten().min();
        }
        Some(first?.saturating_sub(now))
    }
}

/// Returns the number of nodes and a node's rank among them for an endpoint.
fn place_for(nodes: &Nodes, now: Duration, endpoint: u32, own: &str) -> (usize, usize) {
    let place = |host: &str| hash(&(endpoint, host));
    let own_place = place(own);
    let others = nodes.iter(now).filter(|n| n.host != own);
    let (mut count, mut rank) = (1, 0);
    for other in others {
        count += 1;
        rank += usize::from(place(&other.host) < own_place);
    }
    (count, rank)
}

/// Whether an endpoint is warm or this node's share of its request rate is not used up; `time` is
/// how long endpoints of its service are cold.
pub(super) fn has_room(now: Duration, entry: &Entry, time: Duration) -> bool {
    !entry.is_cold(now, time) || next_to_cold(entry).is_some_and(|next| next <= now)
}

/// Returns when this node may send the next request to a cold endpoint, or `None` if it has no
/// share.
fn next_to_cold(entry: &Entry) -> Option<Duration> {
    let (_, share) = entry.warm_up_share?;
    entry.warm_up.next(share)
}
