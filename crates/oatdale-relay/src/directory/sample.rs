//! Random samples of endpoints, for estimates whose cost must not grow with the site.

use crate::directory::{Directory, EndpointKey, Entry};
use rand::RngExt;
use std::time::Duration;

impl Directory {
    /// Returns the endpoints of a service that may get new requests, or those among `max` ones
    /// drawn at random if the service has more. Each endpoint is equally likely.
    pub fn sample_usable(&self, now: Duration, service: &str, max: usize) -> Vec<&Entry> {
        let Some(keys) = self.by_service.get(service) else {
            return Vec::new();
        };
        let is_usable = |e: &&Entry| self.is_eligible(now, e) && e.accepts_request(now);
        let entry = |key: &EndpointKey| {
            self.count_visit();
            self.entries.get(key).filter(is_usable)
        };
        if keys.len() <= max {
            return keys.iter().filter_map(entry).collect();
        }
        // Evenly spaced positions from a random one: keys drawn from their range would favour those
        // after a gap.
        let spacing = keys.len() as f64 / max.max(1) as f64;
        let offset = rand::rng().random_range(0.0..spacing);
        let mut keys = keys.iter();
        let mut next = 0;
        let drawn = (0..max).filter_map(|i| {
            let position = (offset + i as f64 * spacing) as usize;
            let key = keys.nth(position.checked_sub(next)?);
            next = position + 1;
            key
        });
        drawn.filter_map(entry).collect()
    }

    /// Returns this node's load at the endpoints of a service that are to be used.
    pub(crate) fn own_load(&self, now: Duration, service: &str) -> f64 {
        let busy = self.busy_entries();
        let busy = busy.filter(|e| e.endpoint.service == service && self.is_eligible(now, e));
        busy.map(|e| e.load).sum()
    }
}
