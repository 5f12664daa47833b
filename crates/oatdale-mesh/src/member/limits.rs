//! Splits customers' limits over the hosts in the roster.

use super::Member;
use super::shares::{Claimant, Liveness};
use super::summary::STALE_INTERVALS;
use crate::types::{Event, PeerState};
use std::time::Duration;

/// Time for which a newly started node uses little of the limits while there are hosts that it has
/// not heard from, because it can't know what those use.
const DISCOVERY_GRACE: Duration = Duration::from_secs(60);

impl Member {
    /// Computes this node's shares of the limits and passes them to the node.
    pub(super) fn split_limits(&mut self) {
        if !self.config_replica.joined() {
            return;
        }
        let (claims, uncontacted) = self.claimants();
        let known_hosts = self.roster.len() + 1;
        let unknown_listed = self.unknown_host_count();
        let unknown_hosts = (unknown_listed + uncontacted, unknown_listed + known_hosts);
        let min_age = match uncontacted {
            0 => Duration::ZERO,
            _ => DISCOVERY_GRACE,
        };
        let rise_delay = self.propagation_delay();
        let shares =
            self.shares
                .compute_shares(&claims, unknown_hosts, rise_delay, min_age, self.now);
        if !shares.is_empty() {
            self.emit(Event::Demand(shares));
        }
    }

    /// Time until every node has received a change, or has detected that it can't receive it.
    fn propagation_delay(&self) -> Duration {
        let stale_after = self.report_interval() * STALE_INTERVALS;
        stale_after.max(self.suspect_timeout()) + self.heartbeat_interval() * 2
    }

    /// All claimants of shares, and the number of hosts that were never heard from.
    ///
    /// A node may be partitioned from a host before it ever hears from it. What that host uses is
    /// then unknown; counting it as idle would give its share to others.
    fn claimants(&self) -> (Vec<(Claimant, Liveness)>, usize) {
        let mut claims = Vec::new();
        let mut uncontacted = 0;
        for (host, peer) in self
            .roster
            .present()
            .filter(|(_, p)| p.domain == self.domain)
        {
            match peer.state() {
                _ if !peer.contacted => uncontacted += 1,
                PeerState::Alive => claims.push((Claimant::Host(host), Liveness::Live(1))),
                _ => claims.push((Claimant::Host(host), Liveness::Frozen(1))),
            }
        }
        for domain in self.other_domains() {
            let present = self.roster.present();
            let hosts = present.filter(|(_, p)| p.domain == domain).count();
            let claim = Claimant::Domain(domain);
            match self.summaries.alive_count(domain) {
                Some(_) if self.is_stale(domain) => claims.push((claim, Liveness::Frozen(hosts))),
                Some(alive) => claims.push((claim, Liveness::Live(alive))),
                None => uncontacted += hosts,
            }
        }
        (claims, uncontacted)
    }

    /// Number of hosts that are listed but not in the roster.
    fn unknown_host_count(&self) -> usize {
        let is_known = |a| self.roster.iter().any(|(_, p)| p.card.address == a);
        match self.roster.unknown_listed_count(self.local_card.address) {
            Some(count) => count,
            None => {
                self.dialer
                    .unknown_candidate_count(is_known, self.timers.remove_after, self.now)
            }
        }
    }
}
