//! How much of what a cold endpoint bears this node may send it.

use crate::directory::{EndpointKey, Entry, Shortage};
use crate::nodes::Nodes;
use crate::site::ServiceFacts;
use crate::state::{State, Wanted, hash};
use oatdale_policy::relay::warm_up_share;
use std::time::Duration;

/// How long a node may be without the key-value service and stay on the lists of the others.
const RECORD_LIFE: Duration = Duration::from_secs(2);

/// How long a node's share of what a cold endpoint bears is used before it is found out again: the nodes change.
const SHARE_LIFE: Duration = Duration::from_millis(500);

impl State {
    /// Notes that the key-value service answers this node again.
    pub(crate) fn store_back(&mut self, now: Duration) {
        let lost = self.store_lost.take();
        if lost.is_some_and(|since| now >= since + RECORD_LIFE) {
            self.known_since = now;
        }
    }

    /// What is configured of a service whose endpoints bear fewer requests while they are cold.
    fn cold_facts(&self, service: &str) -> Option<&ServiceFacts> {
        let facts = self.site.as_ref()?.services.get(service)?;
        (facts.cold_rate > 0.0).then_some(facts)
    }

    /// Whether endpoints of a service bear fewer requests while they are cold.
    pub(crate) fn has_cold_rate(&self, service: &str) -> bool {
        self.cold_facts(service).is_some()
    }

    /// How long an endpoint of a service is cold after its start, if it bears fewer requests then.
    pub(super) fn cold_time(&self, service: &str) -> Option<Duration> {
        Some(self.cold_facts(service)?.cold_time)
    }

    /// Finds out this node's share of what each cold endpoint of a service bears.
    pub(crate) fn share_cold(&mut self, now: Duration, service: &str, own: &str) {
        let Some(facts) = self.cold_facts(service) else {
            return;
        };
        let (time, rate) = (facts.cold_time, self.bounds.cold_rate(facts.cold_rate));
        let nodes = &self.nodes;
        let known_for = now.saturating_sub(self.known_since);
        // Others take the place of a node that leaves, or hears of none of them any more.
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
                    "event=cold_share id={} share={share} place={rank} of={count}", entry.endpoint.id
                );
            }
            entry.warm_up_share = Some((now, share));
        }
    }

    /// Notes that a request is sent to an endpoint, if it is cold.
    pub(crate) fn note_warm_up(&mut self, now: Duration, key: EndpointKey) {
        let entry = self.directory.get(key);
        let time = entry.and_then(|e| self.cold_time(&e.endpoint.service));
        match (time, self.directory.get_mut(key)) {
            (Some(time), Some(entry)) if entry.is_cold(now, time) => entry.warm_up.note(now),
            _ => {}
        }
    }

    /// Why no endpoint may take a request.
    pub(crate) fn shortage(&self, now: Duration, wanted: &Wanted<'_>) -> Shortage {
        let time = self.cold_time(wanted.service);
        let has_room = |e: &Entry| time.is_none_or(|time| has_room(now, e, time));
        self.directory
            .shortage(now, wanted.service, wanted.tried, has_room)
    }

    /// How long until this node may send to the first cold endpoint of a service. `None` if there is a warm one, or
    /// none to which it may send.
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

/// How many nodes there are, and a node's place among them for an endpoint.
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

/// Whether an endpoint of a service whose endpoints are cold for `time` is warm, or this node has a share of what it
/// bears left.
pub(super) fn has_room(now: Duration, entry: &Entry, time: Duration) -> bool {
    !entry.is_cold(now, time) || next_to_cold(entry).is_some_and(|next| next <= now)
}

/// When this node may send the next request to a cold endpoint, if it may at all.
fn next_to_cold(entry: &Entry) -> Option<Duration> {
    let (_, share) = entry.warm_up_share?;
    entry.warm_up.next(share)
}
