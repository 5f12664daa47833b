//! Summaries of failure domains: made by a few reporters, passed on within the others.

use super::Member;
use crate::rank;
use crate::types::{Event, HostId, PeerState};
use crate::wire::{Beat, FLAG_SUSPECT, FLAG_WANTED, Message, Report, ReportMember};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Nodes of a failure domain that talk to another one. Several, so that the loss of one harms
/// speed only.
pub(super) const REPORTERS: usize = 2;
/// With many failure domains each reports more rarely, so that a node hears at most this many
/// summaries in a second.
const REPORTS_PER_SECOND: u32 = 4;
/// A summary is stale after so many intervals without a new one.
pub(super) const STALE: u32 = 3;
/// While a failure domain is silent, other hosts of it are tried this often.
const RETRY_OTHERS: Duration = Duration::from_secs(5);

/// What is known of other failure domains.
#[derive(Debug, Default)]
pub(crate) struct Summaries {
    heard: BTreeMap<u32, Heard>,
    /// Sums that each reporter at the other end was sent.
    sent: BTreeMap<HostId, BTreeMap<u32, Vec<u64>>>,
}

#[derive(Debug)]
struct Heard {
    at: Duration,
    /// When another node of this failure domain passed a summary on.
    relayed_at: Option<Duration>,
    report: Report,
}

impl Summaries {
    /// Hosts of a failure domain that its last summary calls alive; `None` if there was none.
    pub(crate) fn alive(&self, domain: u32) -> Option<usize> {
        let members = &self.heard.get(&domain)?.report.members;
        Some(
            members
                .iter()
                .filter(|m| m.flags & FLAG_SUSPECT == 0)
                .count(),
        )
    }

    pub(crate) fn lost(&mut self, host: HostId) {
        self.sent.remove(&host);
    }

    pub(crate) fn shift(&mut self, gap: Duration) {
        for heard in self.heard.values_mut() {
            heard.at += gap;
        }
    }
}

impl Member {
    /// Other failure domains that have hosts.
    pub(super) fn other_domains(&self) -> BTreeSet<u32> {
        let mine = self.domain;
        self.roster
            .present()
            .map(|(_, p)| p.domain)
            .filter(|d| *d != mine)
            .collect()
    }

    /// How often a failure domain reports.
    pub(super) fn report_interval(&self) -> Duration {
        let domains = self.other_domains().len() as u32 + 1;
        self.timers
            .report
            .max(Duration::from_secs(1) / REPORTS_PER_SECOND * domains)
    }

    /// The nodes of the failure domain `of` that talk to `to`.
    ///
    /// After a cut all hosts of the other side are suspected. Were only hosts in good standing
    /// chosen, nobody would ever talk to the other side again and each would go without the
    /// other's nodes until restarted. So suspected ones are tried then, others each time.
    pub(super) fn reporters(&self, of: u32, to: u32) -> Vec<HostId> {
        let here = (of == self.domain && self.leaving.is_none()).then_some(self.id);
        let there = || self.roster.present().filter(|(_, p)| p.domain == of);
        let usable = there().filter(|(_, p)| p.usable()).map(|(host, _)| host);
        let usable: Vec<HostId> = usable.chain(here).collect();
        if !usable.is_empty() {
            let mut others = self.other_domains();
            others.insert(self.domain);
            others.remove(&of);
            return rank::reporters(&usable, &others, of, to);
        }
        let turn = self.now.as_secs() / RETRY_OTHERS.as_secs();
        let salt = rank::report_salt(of, to) ^ rank::mix(turn);
        rank::first(there().map(|(host, _)| host), salt, REPORTERS)
    }

    /// Hosts of another failure domain that get this one's summary from this node.
    fn report_to(&self, domain: u32) -> Vec<HostId> {
        match self.is_stale(domain) {
            // Whoever has a link tells, until proper reporters have found each other.
            true => {
                let hosts = self.links.keys().copied();
                hosts
                    .filter(|h| self.roster.domain_of(*h) == Some(domain))
                    .collect()
            }
            false => self.opposite(domain).into_iter().collect(),
        }
    }

    /// The reporter of another failure domain that this node talks to, if it is one itself: the
    /// first to the first and the second to the second, or to another while that one has no link.
    fn opposite(&self, domain: u32) -> Option<HostId> {
        let mine = self.reporters(self.domain, domain);
        let place = mine.iter().position(|h| *h == self.id)?;
        let mut theirs = self.reporters(domain, self.domain);
        let count = theirs.len().max(1);
        theirs.rotate_left(place % count);
        theirs.into_iter().find(|h| self.links.contains_key(h))
    }

    pub(super) fn is_stale(&self, domain: u32) -> bool {
        let stale = self.report_interval() * STALE;
        self.summaries
            .heard
            .get(&domain)
            .is_none_or(|h| h.at + stale <= self.now)
    }

    /// Sends this failure domain's summary to those others that this node reports to.
    pub(super) fn send_reports(&mut self) {
        let mut report = None;
        for domain in self.other_domains() {
            for host in self.report_to(domain) {
                let base = report.get_or_insert_with(|| self.own_report()).clone();
                let sent = self.summaries.sent.entry(host).or_default();
                let counts = self.counters.domain_news(sent);
                self.send(host, Message::Report(Report { counts, ..base }));
            }
        }
    }

    fn own_report(&self) -> Report {
        let mine = self.own_beat();
        let mut beats = vec![(self.id, mine)];
        let (mut live, mut frozen, mut unmet) = (Vec::new(), Vec::new(), 0);
        for (host, peer) in self
            .roster
            .present()
            .filter(|(_, p)| p.domain == self.domain)
        {
            let suspect = match peer.state() {
                PeerState::Suspect => FLAG_SUSPECT,
                _ => 0,
            };
            match suspect {
                _ if !peer.met => unmet += 1,
                0 => live.push(host),
                _ => frozen.push(host),
            }
            let flags = (peer.flags & !FLAG_WANTED) | suspect;
            let beat = Beat {
                flags,
                load: peer.load,
                in_force: peer.revision,
                roster: 0,
            };
            beats.push((host, beat));
        }
        let revision = beats.iter().map(|(_, b)| b.in_force).max().unwrap_or(0);
        let member = |(host, beat): &(HostId, Beat)| ReportMember {
            short: host.short(),
            flags: beat.flags & !FLAG_WANTED,
            load: beat.load,
            behind: revision - beat.in_force,
        };
        Report {
            domain: self.domain,
            revision,
            members: beats.iter().map(member).collect(),
            demand: self
                .shares
                .summary(&live, &frozen, unmet, self.roster.len() + 1),
            counts: Vec::new(),
        }
    }

    /// Takes a summary and passes it on if this is the node that does.
    pub(super) fn report(&mut self, from: HostId, report: Report) {
        if report.domain == self.domain {
            return;
        }
        let inside = self.roster.domain_of(from) == Some(self.domain);
        self.counters.merge_domain(report.domain, &report.counts);
        self.shares.heard_domain(report.domain, &report.demand);
        self.take_states(&report);
        let relay = !inside && self.passes_on(report.domain);
        let relayed_at = match inside {
            true => Some(self.now),
            false => self
                .summaries
                .heard
                .get(&report.domain)
                .and_then(|h| h.relayed_at),
        };
        let message = relay.then(|| Message::Report(report.clone()));
        let heard = Heard {
            at: self.now,
            relayed_at,
            report,
        };
        self.summaries.heard.insert(heard.report.domain, heard);
        if let Some(message) = message {
            for host in self.domain_links() {
                self.send(host, message.clone());
            }
        }
    }

    /// The first reporter passes summaries on; another one does when the first falls silent.
    fn passes_on(&self, domain: u32) -> bool {
        let first = self.reporters(self.domain, domain).first() == Some(&self.id);
        let heard = self.summaries.heard.get(&domain).and_then(|h| h.relayed_at);
        first || heard.is_none_or(|at| at + self.report_interval() * 2 < self.now)
    }

    /// States of hosts that this node has no link to.
    fn take_states(&mut self, report: &Report) {
        let until = self.now + self.report_interval() * STALE;
        let known: BTreeMap<u32, HostId> = self
            .roster
            .iter()
            .filter(|(host, p)| p.domain == report.domain && !self.links.contains_key(host))
            .map(|(host, _)| (host.short(), host))
            .collect();
        for member in &report.members {
            let Some(host) = known.get(&member.short) else {
                continue;
            };
            let in_force = report.revision.saturating_sub(member.behind);
            let (flags, load) = (member.flags, member.load);
            let beat = Beat {
                flags,
                load,
                in_force,
                roster: 0,
            };
            self.roster.reported(*host, &beat, until, self.now);
        }
    }

    /// What a new link within the failure domain begins with.
    pub(super) fn domain_greet(&mut self, host: HostId) {
        if self.roster.domain_of(host) != Some(self.domain) {
            return;
        }
        let told = self.shares.told();
        if !told.is_empty() {
            self.send(host, Message::Demand(told));
        }
        let all = self.counters.all();
        if !all.is_empty() {
            self.send(host, Message::Evidence(all));
        }
        let fresh = self.report_interval();
        let reports: Vec<Report> = self
            .summaries
            .heard
            .values()
            .filter(|h| h.at + fresh >= self.now)
            .map(|h| Report {
                counts: self.counters.of_domain(h.report.domain),
                ..h.report.clone()
            })
            .collect();
        for report in reports {
            self.send(host, Message::Report(report));
        }
    }

    /// Tells peers in this failure domain what changed here.
    pub(super) fn send_demand(&mut self) {
        let news = self.shares.own_news(self.roster.len() + 1);
        if !news.is_empty() {
            for host in self.domain_links() {
                self.send(host, Message::Demand(news.clone()));
            }
        }
    }

    pub(super) fn send_evidence(&mut self) {
        if let Some(news) = self.counters.own_news((self.id, self.me.incarnation)) {
            for host in self.domain_links() {
                self.send(host, Message::Evidence(vec![news.clone()]));
            }
        }
    }

    /// Tells the node what all others counted, if that changed.
    pub(super) fn tell_evidence(&mut self) {
        if let Some(totals) = self.counters.totals((self.id, self.me.incarnation)) {
            self.emit(Event::Evidence(totals));
        }
    }
}
