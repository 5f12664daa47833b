//! From who is there to parts of the customers' limits.

use super::Member;
use super::shares::{Standing, Unit};
use super::summary::STALE;
use crate::types::{Event, PeerState};
use std::time::Duration;

/// How long a node that has just come uses little rather than guess what hosts use that it has
/// not met.
const MEET: Duration = Duration::from_secs(60);

impl Member {
    /// Computes this node's parts of the limits and tells them.
    pub(super) fn split_limits(&mut self) {
        if !self.spread.joined() {
            return;
        }
        let (units, unmet) = self.units();
        let known = self.roster.len() + 1;
        let unlisted = self.listed_unknown();
        let unknown = (unlisted + unmet, unlisted + known);
        let wait = match unmet {
            0 => Duration::ZERO,
            _ => MEET,
        };
        let raise = self.propagation();
        let shares = self.shares.compute(&units, unknown, raise, wait, self.now);
        if !shares.is_empty() {
            self.emit(Event::Demand(shares));
        }
    }

    /// How long it takes until everyone has heard of a change, or has noticed that it can't hear.
    fn propagation(&self) -> Duration {
        let stale = self.report_interval() * STALE;
        stale.max(self.suspect_after()) + self.beat_interval() * 2
    }

    /// Everyone who has a part, and how many hosts there are of which nothing was heard.
    ///
    /// A node may be cut off from a host before it ever heard it. What that host uses is not
    /// known then; to count it as idle would hand its part to others.
    fn units(&self) -> (Vec<(Unit, Standing)>, usize) {
        let mut units = Vec::new();
        let mut unmet = 0;
        for (host, peer) in self
            .roster
            .present()
            .filter(|(_, p)| p.domain == self.domain)
        {
            match peer.state() {
                _ if !peer.met => unmet += 1,
                PeerState::Alive => units.push((Unit::Host(host), Standing::Live(1))),
                _ => units.push((Unit::Host(host), Standing::Frozen(1))),
            }
        }
        for domain in self.other_domains() {
            let present = self.roster.present();
            let hosts = present.filter(|(_, p)| p.domain == domain).count();
            let unit = Unit::Domain(domain);
            match self.summaries.alive(domain) {
                Some(_) if self.is_stale(domain) => units.push((unit, Standing::Frozen(hosts))),
                Some(alive) => units.push((unit, Standing::Live(alive))),
                None => unmet += hosts,
            }
        }
        (units, unmet)
    }

    /// How many hosts are listed but not known.
    fn listed_unknown(&self) -> usize {
        let known = |a| self.roster.iter().any(|(_, p)| p.card.address == a);
        match self.roster.listed_unknown(self.me.address) {
            Some(count) => count,
            None => self
                .dialer
                .unknown_seeds(known, self.timers.forget, self.now),
        }
    }
}
