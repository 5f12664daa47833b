//! This node's share of the request rate that a cold endpoint can take.

use crate::directory::{EndpointKey, Entry, IneligibleCounts};
use crate::nodes::Nodes;
use crate::site::ServiceFacts;
use crate::state::{PlacementRequest, State, hash};
use oatdale_policy::relay::warm_up_share;
use std::time::Duration;

/// How long a computed share is used; it is recomputed because the set of nodes changes.
const SHARE_VALIDITY: Duration = Duration::from_millis(500);

impl State {
    /// Returns the configuration of a service whose endpoints take a limited request rate while
    /// cold.
    fn cold_service_config(&self, service: &str) -> Option<&ServiceFacts> {
        let config = self.site.as_ref()?.services.get(service)?;
        (config.cold_rate > 0.0).then_some(config)
    }

    /// Whether endpoints of a service take a limited request rate while cold.
    pub(crate) fn has_cold_rate(&self, service: &str) -> bool {
        self.cold_service_config(service).is_some()
    }

    /// Returns how long an endpoint of a service is cold after its start, if its request rate is
    /// limited then.
    pub(crate) fn cold_time(&self, service: &str) -> Option<Duration> {
        Some(self.cold_service_config(service)?.cold_time)
    }

    /// Recomputes this node's share of the request rate of each cold endpoint of a service.
    pub(crate) fn update_warm_up_shares(&mut self, now: Duration, service: &str, own_host: &str) {
        let Some(config) = self.cold_service_config(service) else {
            return;
        };
        let (cold_time, rate) = (config.cold_time, self.bounds.cold_rate(config.cold_rate));
        let nodes = &self.nodes;
        let listed_for = now.saturating_sub(self.listed_since);
        // The other nodes take over the share of a node that is stopping or cut off from them.
        let is_taken_over = self.store_unavailable_since.is_some() || self.stopping.is_some();
        for entry in self.directory.cold_endpoints_mut(now, service, cold_time) {
            let known = entry.warm_up_share;
            if known.is_some_and(|(at, _)| now < at + SHARE_VALIDITY) {
                continue;
            }
            let (count, rank) = count_and_rank(nodes, now, entry.number, own_host);
            let share = match is_taken_over {
                true => 0,
                false => warm_up_share(listed_for, rate, count, rank),
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
    pub(crate) fn count_warm_up_request(&mut self, now: Duration, key: EndpointKey) {
        let entry = self.directory.get(key);
        let time = entry.and_then(|e| self.cold_time(&e.endpoint.service));
        match (time, self.directory.get_mut(key)) {
            (Some(time), Some(entry)) if entry.is_cold(now, time) => entry.warm_up.record_send(now),
            _ => {}
        }
    }

    /// Counts why no endpoint can take a request.
    pub(crate) fn count_ineligible(
        &self,
        now: Duration,
        request: &PlacementRequest<'_>,
    ) -> IneligibleCounts {
        let cold_time = self.cold_time(request.service);
        let has_capacity =
            |e: &Entry| cold_time.is_none_or(|cold_time| has_capacity(now, e, cold_time));
        self.directory.count_ineligible(
            now,
            request.service,
            request.excluded,
            request.limited,
            has_capacity,
        )
    }

    /// Returns the time until this node may send to the first cold endpoint of a service. `None` if
    /// there is a warm one, or none that it may send to.
    pub(crate) fn time_to_warm_up_slot(&self, now: Duration, service: &str) -> Option<Duration> {
        let cold_time = self.cold_time(service)?;
        let mut earliest = None;
        for (_, entry) in self.directory.usable(now, service) {
            if !entry.is_cold(now, cold_time) {
                return None;
            }
            earliest = [earliest, next_warm_up_request(entry)]
                .into_iter()
                .flatten()
                .min();
        }
        Some(earliest?.saturating_sub(now))
    }
}

/// Returns the number of nodes and the rank of the node `own_host` among them, in an order that is
/// the same on every node and differs by endpoint.
fn count_and_rank(nodes: &Nodes, now: Duration, endpoint: u32, own_host: &str) -> (usize, usize) {
    let rank_key = |host: &str| hash(&(endpoint, host));
    let own_key = rank_key(own_host);
    let others = nodes.iter(now).filter(|n| n.host != own_host);
    let (mut count, mut rank) = (1, 0);
    for other in others {
        count += 1;
        rank += usize::from(rank_key(&other.host) < own_key);
    }
    (count, rank)
}

/// Whether an endpoint is warm or this node's share of its request rate is not used up; `cold_time`
/// is how long endpoints of its service are cold.
pub(super) fn has_capacity(now: Duration, entry: &Entry, cold_time: Duration) -> bool {
    !entry.is_cold(now, cold_time) || next_warm_up_request(entry).is_some_and(|next| next <= now)
}

/// Returns when this node may send the next request to a cold endpoint, or `None` if it has no
/// share.
fn next_warm_up_request(entry: &Entry) -> Option<Duration> {
    let (_, share) = entry.warm_up_share?;
    entry.warm_up.next_send_at(share)
}
