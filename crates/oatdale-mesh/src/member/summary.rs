//! Summaries of failure domains: sent by a few reporters and relayed within the receiving domain.

use super::Member;
use crate::rank;
use crate::types::{Event, HostId, PeerState};
use crate::wire::{FLAG_SUSPECT, FLAG_WANTED, Heartbeat, Message, Report, ReportMember};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Number of nodes in a failure domain that report to another domain. With more than one, the loss
/// of a reporter only delays reports.
pub(super) const REPORTERS_PER_DOMAIN: usize = 2;
/// Upper bound on the summaries that a node receives per second. With many failure domains each one
/// reports less often.
const MAX_REPORTS_PER_SECOND: u32 = 4;
/// Number of report intervals without a new summary after which the last one is stale.
pub(super) const STALE_INTERVALS: u32 = 3;
/// Interval at which other hosts of a silent failure domain are tried.
const SILENT_DOMAIN_RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// The last summaries of other failure domains.
#[derive(Debug, Default)]
pub(crate) struct Summaries {
    latest_reports: BTreeMap<u32, ReceivedReport>,
    /// Counter sums already sent to each reporter of another failure domain.
    sent_counts: BTreeMap<HostId, BTreeMap<u32, Vec<u64>>>,
}

#[derive(Debug)]
struct ReceivedReport {
    received_at: Duration,
    /// When another node of this failure domain last relayed a summary.
    relayed_at: Option<Duration>,
    report: Report,
}

impl Summaries {
    /// Number of hosts that a failure domain's last summary reports alive; `None` without a
    /// summary.
    pub(crate) fn alive_count(&self, domain: u32) -> Option<usize> {
        let members = &self.latest_reports.get(&domain)?.report.members;
        Some(
            members
                .iter()
                .filter(|m| m.flags & FLAG_SUSPECT == 0)
                .count(),
        )
    }

    pub(crate) fn remove_peer(&mut self, host: HostId) {
        self.sent_counts.remove(&host);
    }

    pub(crate) fn shift(&mut self, pause: Duration) {
        for received in self.latest_reports.values_mut() {
            received.received_at += pause;
        }
    }
}

impl Member {
    /// Other failure domains that have hosts.
    pub(super) fn other_domains(&self) -> BTreeSet<u32> {
        let own_domain = self.domain;
        self.roster
            .present()
            .map(|(_, p)| p.domain)
            .filter(|d| *d != own_domain)
            .collect()
    }

    /// Interval at which a failure domain reports.
    pub(super) fn report_interval(&self) -> Duration {
        let domains = self.other_domains().len() as u32 + 1;
        self.timers
            .report_interval
            .max(Duration::from_secs(1) / MAX_REPORTS_PER_SECOND * domains)
    }

    /// The reporters of the failure domain `of` to the domain `to`.
    ///
    /// After a network partition all hosts of the other side are suspected. If only unsuspected
    /// hosts were chosen, no node would contact the other side again, and each side would miss the
    /// other's nodes until a restart. Therefore suspected hosts are chosen in that case, different
    /// ones each time.
    pub(super) fn reporters(&self, of: u32, to: u32) -> Vec<HostId> {
        let local_host = (of == self.domain && self.leaving_since.is_none()).then_some(self.id);
        let domain_peers = || self.roster.present().filter(|(_, p)| p.domain == of);
        let usable = domain_peers()
            .filter(|(_, p)| p.usable())
            .map(|(host, _)| host);
        let usable: Vec<HostId> = usable.chain(local_host).collect();
        if !usable.is_empty() {
            let mut others = self.other_domains();
            others.insert(self.domain);
            others.remove(&of);
            return rank::reporters(&usable, &others, of, to);
        }
        let rotation = self.now.as_secs() / SILENT_DOMAIN_RETRY_INTERVAL.as_secs();
        let salt = rank::reporter_salt(of, to) ^ rank::mix64(rotation);
        rank::top_ranked(
            domain_peers().map(|(host, _)| host),
            salt,
            REPORTERS_PER_DOMAIN,
        )
    }

    /// Hosts of another failure domain that this node sends its domain's summary to.
    fn report_recipients(&self, domain: u32) -> Vec<HostId> {
        match self.is_stale(domain) {
            // Every node with a link reports until the chosen reporters are connected.
            true => {
                let hosts = self.links.keys().copied();
                hosts
                    .filter(|h| self.roster.domain_of(*h) == Some(domain))
                    .collect()
            }
            false => self.counterpart(domain).into_iter().collect(),
        }
    }

    /// Reporter of another failure domain that this node reports to, if it is a reporter itself:
    /// the first reports to the first and the second to the second, or to another while that one
    /// has no link.
    fn counterpart(&self, domain: u32) -> Option<HostId> {
        let local_reporters = self.reporters(self.domain, domain);
        let own_index = local_reporters.iter().position(|h| *h == self.id)?;
        let mut remote_reporters = self.reporters(domain, self.domain);
        let count = remote_reporters.len().max(1);
        remote_reporters.rotate_left(own_index % count);
        remote_reporters
            .into_iter()
            .find(|h| self.links.contains_key(h))
    }

    pub(super) fn is_stale(&self, domain: u32) -> bool {
        let stale_after = self.report_interval() * STALE_INTERVALS;
        self.summaries
            .latest_reports
            .get(&domain)
            .is_none_or(|h| h.received_at + stale_after <= self.now)
    }

    /// Sends this failure domain's summary to the domains that this node reports to.
    pub(super) fn send_reports(&mut self) {
        let mut report = None;
        for domain in self.other_domains() {
            for host in self.report_recipients(domain) {
                let base = report.get_or_insert_with(|| self.build_report()).clone();
                let sent_counts = self.summaries.sent_counts.entry(host).or_default();
                let counts = self.counters.take_domain_changes(sent_counts);
                self.send(host, Message::Report(Report { counts, ..base }));
            }
        }
    }

    fn build_report(&self) -> Report {
        let own_heartbeat = self.local_heartbeat();
        let mut heartbeats = vec![(self.id, own_heartbeat)];
        let (mut live, mut frozen, mut uncontacted) = (Vec::new(), Vec::new(), 0);
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
                _ if !peer.contacted => uncontacted += 1,
                0 => live.push(host),
                _ => frozen.push(host),
            }
            let flags = (peer.flags & !FLAG_WANTED) | suspect;
            let heartbeat = Heartbeat {
                flags,
                load: peer.load,
                in_force: peer.revision,
                roster: 0,
            };
            heartbeats.push((host, heartbeat));
        }
        let revision = heartbeats
            .iter()
            .map(|(_, b)| b.in_force)
            .max()
            .unwrap_or(0);
        let member = |(host, heartbeat): &(HostId, Heartbeat)| ReportMember {
            short_id: host.short_id(),
            flags: heartbeat.flags & !FLAG_WANTED,
            load: heartbeat.load,
            behind: revision - heartbeat.in_force,
        };
        Report {
            domain: self.domain,
            revision,
            members: heartbeats.iter().map(member).collect(),
            demand: self
                .shares
                .domain_summary(&live, &frozen, uncontacted, self.roster.len() + 1),
            counts: Vec::new(),
        }
    }

    /// Applies a summary and relays it within this failure domain if that is this node's task.
    pub(super) fn on_report(&mut self, from: HostId, report: Report) {
        if report.domain == self.domain {
            return;
        }
        let from_own_domain = self.roster.domain_of(from) == Some(self.domain);
        self.counters.merge_domain(report.domain, &report.counts);
        self.shares
            .apply_domain_demand(report.domain, &report.demand);
        self.apply_reported_states(&report);
        let relay = !from_own_domain && self.is_relay(report.domain);
        let relayed_at = match from_own_domain {
            true => Some(self.now),
            false => self
                .summaries
                .latest_reports
                .get(&report.domain)
                .and_then(|h| h.relayed_at),
        };
        let message = relay.then(|| Message::Report(report.clone()));
        let received = ReceivedReport {
            received_at: self.now,
            relayed_at,
            report,
        };
        self.summaries
            .latest_reports
            .insert(received.report.domain, received);
        if let Some(message) = message {
            for host in self.domain_links() {
                self.send(host, message.clone());
            }
        }
    }

    /// Whether this node relays summaries: the first reporter does, and another one if the first
    /// falls silent.
    fn is_relay(&self, domain: u32) -> bool {
        let first = self.reporters(self.domain, domain).first() == Some(&self.id);
        let last_relay = self
            .summaries
            .latest_reports
            .get(&domain)
            .and_then(|h| h.relayed_at);
        first || last_relay.is_none_or(|at| at + self.report_interval() * 2 < self.now)
    }

    /// Applies reported states of hosts that this node has no link to.
    fn apply_reported_states(&mut self, report: &Report) {
        let until = self.now + self.report_interval() * STALE_INTERVALS;
        let known: BTreeMap<u32, HostId> = self
            .roster
            .iter()
            .filter(|(host, p)| p.domain == report.domain && !self.links.contains_key(host))
            .map(|(host, _)| (host.short_id(), host))
            .collect();
        for member in &report.members {
            let Some(host) = known.get(&member.short_id) else {
                continue;
            };
            let in_force = report.revision.saturating_sub(member.behind);
            let (flags, load) = (member.flags, member.load);
            let heartbeat = Heartbeat {
                flags,
                load,
                in_force,
                roster: 0,
            };
            self.roster
                .apply_reported_state(*host, &heartbeat, until, self.now);
        }
    }

    /// Sends the initial messages on a new link within the failure domain.
    pub(super) fn sync_domain_state(&mut self, host: HostId) {
        if self.roster.domain_of(host) != Some(self.domain) {
            return;
        }
        let announced = self.shares.announced_demand();
        if !announced.is_empty() {
            self.send(host, Message::Demand(announced));
        }
        let all_counters = self.counters.process_counters();
        if !all_counters.is_empty() {
            self.send(host, Message::Evidence(all_counters));
        }
        let max_age = self.report_interval();
        let reports: Vec<Report> = self
            .summaries
            .latest_reports
            .values()
            .filter(|h| h.received_at + max_age >= self.now)
            .map(|h| Report {
                counts: self.counters.domain_counts(h.report.domain),
                ..h.report.clone()
            })
            .collect();
        for report in reports {
            self.send(host, Message::Report(report));
        }
    }

    /// Announces changes of own demand to peers in this failure domain.
    pub(super) fn send_demand(&mut self) {
        let changes = self.shares.take_own_changes(self.roster.len() + 1);
        if !changes.is_empty() {
            for host in self.domain_links() {
                self.send(host, Message::Demand(changes.clone()));
            }
        }
    }

    pub(super) fn send_evidence(&mut self) {
        if let Some(changes) = self
            .counters
            .take_local_changes((self.id, self.local_card.incarnation))
        {
            for host in self.domain_links() {
                self.send(host, Message::Evidence(vec![changes.clone()]));
            }
        }
    }

    /// Passes the counters of all other processes to the node if they changed.
    pub(super) fn emit_evidence(&mut self) {
        if let Some(totals) = self
            .counters
            .take_totals((self.id, self.local_card.incarnation))
        {
            self.emit(Event::Evidence(totals));
        }
    }
}
