//! Rollouts of endpoint pools: which software version a request may use, the evidence that all
//! nodes have collected about the new version, and when to record the outcome.
//!
//! An operator starts a rollout by writing an order: a service, its target version and a duration.

mod active;
mod allowed;
mod baseline;
mod history;
mod rates;
mod report;
mod sessions;

use crate::update::{RollOut, RollOutEnd};
use active::{PeerReport, RollOutState};
use baseline::BaselineTimes;
use history::VersionHistory;
use oatdale_policy::relay::{Counts, CountsByOrigin, ExposureLimit, Origin};
use rates::Rates;
use report::millis;
use sessions::Sessions;
use std::collections::HashMap;
use std::time::Duration;

pub(crate) use active::COORDINATORS;
pub use allowed::{AllowedVersions, Trial};
pub use baseline::LatencyClass;
pub use history::{Outcome, VersionOutcome};
pub use report::{OldSessions, Report};

/// The origin of a response.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ResponseSource<'a> {
    /// The service.
    pub service: &'a str,
    /// The endpoint's software version.
    pub version: &'a str,
    /// The route and the endpoint.
    pub origin: Origin,
    /// Whether the endpoint has a high failure rate.
    pub is_failing: bool,
}

/// All rollouts that a node knows of.
#[derive(Debug, Default)]
pub struct RollOuts {
    by_service: HashMap<String, RollOutState>,
    /// Outcomes of earlier orders, by service.
    histories: HashMap<String, VersionHistory>,
    /// Baseline durations of versions that are not in a trial, including those from before an
    /// order.
    baselines: BaselineTimes,
    sessions: Sessions,
    /// Request rates of this node.
    rates: Rates,
    /// Whether a new order has been received that other nodes may not know.
    has_new_order: bool,
    /// When the full list of sessions on old versions was last sent to other nodes.
    sessions_sent_at: Option<Duration>,
}

/// Interval at which the full list of sessions on old versions is sent. Several transmissions fit
/// into a session's lifetime; with 90 nodes, each receives about 40 datagrams per second during a
/// trial.
const SESSION_LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum number of outcomes of a service's earlier orders in one message.
const MAX_SENT_OUTCOMES: usize = 3;

impl RollOuts {
    /// Applies a rollout record written by an operator or a node.
    pub fn update(&mut self, now: Duration, roll_out: RollOut) {
        let known = self.by_service.get_mut(&roll_out.service);
        match known {
            Some(active) if active.roll_out.is_same_order(&roll_out) => active.update(&roll_out),
            Some(active) if active.roll_out.order > roll_out.order => {
                self.record_earlier_roll_back(&roll_out);
            }
            known => {
                let replaced = known.map(|active| active.outcome(now));
                log::info!(
                    target: "roll-out",
                    "event=roll_out service={} target={} duration_ms={} order={} end={:?}",
                    roll_out.service, roll_out.target, roll_out.duration.as_millis(),
                    roll_out.order, roll_out.end
                );
                self.has_new_order = true;
                self.baselines.forget_stated();
                self.sessions_sent_at = None;
                let service = roll_out.service.clone();
                if let Some(replaced) = replaced {
                    self.record_outcome(&service, &replaced);
                }
                self.by_service
                    .insert(service, RollOutState::new(now, roll_out));
            }
        }
    }

    /// Records that an order before the current one was rolled back, if it was.
    fn record_earlier_roll_back(&mut self, roll_out: &RollOut) {
        if roll_out.end == Some(RollOutEnd::RolledBack) {
            let outcome = VersionOutcome {
                version: roll_out.target.clone(),
                outcome: Outcome::RolledBack,
                revision: roll_out.order,
            };
            self.record_outcome(&roll_out.service, &outcome);
        }
    }

    /// Records the outcome of a version's rollout, possibly of an order before the current one. It
    /// applies until a later order names the version as its target.
    pub fn record_outcome(&mut self, service: &str, outcome: &VersionOutcome) {
        let history = self.histories.entry(service.to_owned()).or_default();
        if history.record(outcome) {
            log::info!(
                target: "roll-out",
                "event=version_outcome service={service} version={:?} outcome={:?} revision={}",
                outcome.version, outcome.outcome, outcome.revision
            );
        }
    }

    /// Returns the latest outcomes of each service's earlier orders.
    pub fn outcomes(&self) -> Vec<(String, Vec<VersionOutcome>)> {
        let all = self.histories.iter();
        all.map(|(service, history)| (service.clone(), history.latest(MAX_SENT_OUTCOMES)))
            .collect()
    }

    /// Handles the loss of the record that holds the outcome of a service's last rollout.
    pub fn handle_lost_end(&mut self, now: Duration, service: &str) {
        if let Some(active) = self.by_service.get_mut(service) {
            active.reschedule_end(now);
        }
    }

    /// Counts a request for a service.
    pub fn count_request(&mut self, now: Duration, service: &str) {
        self.rates.add(now, service);
    }

    /// Sets the traffic share of each trial that has begun, and adjusts the schedules to the
    /// request rates. All nodes exchange their rates and therefore arrive at about the same shares
    /// and times.
    pub fn update_rates(&mut self, now: Duration, exposure_limit: ExposureLimit) {
        let services: Vec<String> = self.by_service.keys().cloned().collect();
        for service in services {
            let average = self.rates.get(now, &service);
            let recent = self.rates.recent(now, &service);
            if let Some(active) = self.by_service.get_mut(&service) {
                active.set_share(now, exposure_limit, average);
                active.adjust_schedule(now, recent);
            }
        }
    }

    /// Pins a session to the version that its request goes to. Returns a message to send to other
    /// nodes at once if the session is on an old version and they might route it to the new one.
    pub fn pin(
        &mut self,
        now: Duration,
        service: &str,
        session: u64,
        version: &str,
    ) -> Option<OldSessions> {
        self.sessions.pin(now, service, session, version);
        let active = self.by_service.get(service)?;
        let must_announce = active.is_undecided(now)
            && version != active.roll_out.target
            && (active.may_join(session) || self.is_superseded(service, version));
        must_announce
            .then(|| self.sessions.announce(now, service, session))
            .flatten()
    }

    /// Whether new requests outside the trial use another version than this one.
    fn is_superseded(&self, service: &str, version: &str) -> bool {
        let in_use = self.histories.get(service);
        let in_use = in_use.and_then(|history| history.in_use());
        in_use.is_some_and(|in_use| in_use != version)
    }

    /// Whether a session has had requests sent to endpoints, as far as this node knows.
    pub(crate) fn has_session(&self, service: &str, session: u64) -> bool {
        self.sessions.contains(service, session)
    }

    /// Removes expired sessions.
    pub fn expire_sessions(&mut self, now: Duration, ttl: Duration) {
        self.sessions.expire(now, ttl);
    }

    /// Records a response head, or that there was none before the deadline: whether the endpoint failed,
    /// and how long it took, where that time is meaningful.
    pub fn record_response(
        &mut self,
        source: &ResponseSource<'_>,
        failed: bool,
        time: Option<(LatencyClass, Duration)>,
    ) {
        if let Some((counts, _)) = self.counts(source) {
            counts.answers += 1;
            counts.failed += u64::from(failed);
        }
        if let Some((class, time)) = time {
            self.record_slowdown(source, class, time, failed);
        }
        match time {
            // Failures are often fast, which is not to count as a usual time; one that takes longer than
            // usual is due to the endpoint's slowness, such as one at the deadline.
            Some((class, time)) if failed => {
                let threshold = self.slow_threshold(class);
                if threshold.is_some_and(|threshold| time > threshold) {
                    self.record_slow(source, true);
                }
            }
            Some((class, time)) => self.record_duration(source, class, time),
            None => {}
        }
        if let Some(active) = self.by_service.get_mut(source.service) {
            active.update_verdict();
        }
    }

    /// Records that a response was given up after this time.
    pub fn record_abandoned(
        &mut self,
        source: &ResponseSource<'_>,
        class: LatencyClass,
        time: Duration,
    ) {
        self.record_slowdown(source, class, time, false);
        self.record_slow(source, true);
    }

    /// Records how many times as long as usual an endpoint took, if a usual duration is known. Of failures only
    /// those that take longer than usual count.
    fn record_slowdown(
        &mut self,
        source: &ResponseSource<'_>,
        class: LatencyClass,
        time: Duration,
        failed: bool,
    ) {
        let usual = self.baselines.usual(class);
        let Some(usual) = usual.filter(|usual| !failed || time > *usual * 2) else {
            return;
        };
        if let Some((counts, origin, _)) = self.counts_by_origin(source) {
            counts.record_slowdown(origin.endpoint, usual, time);
        }
    }

    /// Records how long an endpoint took; durations of one latency class are comparable.
    pub fn record_duration(
        &mut self,
        source: &ResponseSource<'_>,
        class: LatencyClass,
        time: Duration,
    ) {
        let threshold = self.slow_threshold(class);
        if let Some(threshold) = threshold {
            self.record_slow(source, time > threshold);
        }
        let is_new = self.counts(source).is_some_and(|(_, is_new)| is_new);
        if !is_new && !self.is_excluded(source.service, source.version) {
            self.baselines.record(source.service, class, time);
        }
    }

    /// Records whether an endpoint was slow when the duration is not known, for example because the
    /// response is still outstanding.
    pub fn record_slow(&mut self, source: &ResponseSource<'_>, slow: bool) {
        if let Some((counts, _)) = self.counts(source) {
            counts.timed += 1;
            counts.slow += u64::from(slow);
        }
        if let Some(active) = self.by_service.get_mut(source.service) {
            active.update_verdict();
        }
    }

    /// Returns the duration above which a sample of this class is slow, if a baseline exists.
    pub fn slow_threshold(&self, class: LatencyClass) -> Option<Duration> {
        self.baselines.slow_threshold(class)
    }

    /// Returns the counters for a response and whether it is from the new version, while a rollout
    /// is in progress.
    fn counts(&mut self, source: &ResponseSource<'_>) -> Option<(&mut Counts, bool)> {
        let (counts, origin, is_new) = self.counts_by_origin(source)?;
        Some((counts.entry(origin), is_new))
    }

    /// Returns the counters of the response's version, the origin under which it counts there, and whether it is
    /// from the new version.
    fn counts_by_origin(
        &mut self,
        source: &ResponseSource<'_>,
    ) -> Option<(&mut CountsByOrigin, Origin, bool)> {
        let is_excluded = self.is_excluded(source.service, source.version);
        let active = self.by_service.get_mut(source.service)?;
        let is_new = active.roll_out.target == source.version;
        // The endpoints of the old version are counted together: they form the baseline.
        let old = Origin {
            endpoint: 0,
            ..source.origin
        };
        match active.roll_out.end {
            Some(_) => None,
            None if is_new => Some((&mut active.own_counts.new, source.origin, true)),
            // A faulty endpoint of the old version is excluded from the baseline. Otherwise a new
            // version that fails a third of its requests looks like the old one, and its rollout
            // completes.
            None if source.is_failing => None,
            // The same holds for a version of an earlier order that was not completed.
            None if is_excluded => None,
            None => Some((&mut active.own_counts.old, old, false)),
        }
    }

    /// Whether the version's last order did not complete.
    fn is_excluded(&self, service: &str, version: &str) -> bool {
        let active = self.by_service.get(service);
        if let Some(active) = active.filter(|a| a.roll_out.target == version) {
            return active.is_withdrawn();
        }
        let history = self.histories.get(service);
        let outcome = history.and_then(|history| history.outcome(version));
        outcome.is_some_and(|outcome| outcome != Outcome::Completed)
    }

    /// Merges another node's report.
    ///
    /// A node that the key-value service rejects, or that started late, learns of an order and its
    /// age in this way. Otherwise it would restart the schedule when it receives the order, and
    /// route requests to the old version while other nodes route them to the new one.
    pub fn merge_report(&mut self, now: Duration, report: &Report) {
        let reported_order = report.roll_out();
        let known = self.by_service.get(&report.service).map(|a| &a.roll_out);
        if known.is_none_or(|known| known.is_superseded_by(&reported_order)) {
            self.update(now, reported_order.clone());
        }
        for outcome in &report.outcomes {
            self.record_outcome(&report.service, outcome);
        }
        let Some(active) = self.by_service.get_mut(&report.service) else {
            return;
        };
        if !active.roll_out.is_same_order(&reported_order) {
            return;
        }
        self.baselines.handle_stated(&report.host, &report.medians);
        let age = Duration::from_millis(report.age_ms);
        active.started_at = active.started_at.min(now.saturating_sub(age));
        let peer = PeerReport {
            version_counts: report.version_counts(),
            old_busy: report.old_busy,
            rate: report.rate,
            recent_rate: report.recent_rate,
            received_at: now,
        };
        active.peers.insert(report.host.clone(), peer);
        active.adopt_smaller_share(report.share);
        active.update_verdict();
    }

    /// Merges the sessions that another node has on an old version.
    pub fn merge_old_sessions(&mut self, now: Duration, old_sessions: &OldSessions) {
        self.sessions.pin_old(now, old_sessions);
    }

    /// Returns whether a new order has to be sent to other nodes at once, and resets the flag.
    pub fn take_new_order(&mut self) -> bool {
        std::mem::take(&mut self.has_new_order)
    }

    /// Returns this node's reports on the rollouts in progress.
    ///
    /// `old_busy` returns whether this node has requests in flight on a version of a service other
    /// than the target.
    pub fn reports(
        &self,
        now: Duration,
        host: &str,
        old_busy: impl Fn(&str, &str) -> bool,
    ) -> Vec<Report> {
        self.by_service
            .values()
            .filter(|a| a.roll_out.end.is_none())
            .map(|a| Report {
                host: host.to_owned(),
                service: a.roll_out.service.clone(),
                order: a.roll_out.order,
                target: a.roll_out.target.clone(),
                duration_ms: millis(a.roll_out.duration),
                age_ms: millis(now.saturating_sub(a.started_at)),
                new: report::to_wire(&a.own_counts.new),
                old: report::to_wire(&a.own_counts.old),
                new_slowdowns: report::slowdowns_to_wire(&a.own_counts.new),
                old_slowdowns: report::slowdowns_to_wire(&a.own_counts.old),
                old_busy: old_busy(&a.roll_out.service, &a.roll_out.target),
                rate: self.rates.get(now, &a.roll_out.service),
                recent_rate: self.rates.recent(now, &a.roll_out.service),
                share: a.share,
                outcomes: self.latest_outcomes(&a.roll_out.service),
                medians: self.baselines.to_state(&a.roll_out.service),
            })
            .map(|mut report| {
                report.truncate();
                report
            })
            .collect()
    }

    fn latest_outcomes(&self, service: &str) -> Vec<VersionOutcome> {
        let history = self.histories.get(service);
        history.map_or_else(Vec::new, |history| history.latest(MAX_SENT_OUTCOMES))
    }

    /// Returns the rollouts that have ended.
    pub fn ended(&self) -> Vec<RollOut> {
        let all = self.by_service.values().map(|a| &a.roll_out);
        all.filter(|r| r.end.is_some()).cloned().collect()
    }

    /// Returns the sessions that this node has on old versions and that other nodes need to know of
    /// while rollouts are in progress; empty if the full list was sent less than
    /// `SESSION_LIST_INTERVAL` ago.
    pub fn old_session_messages(&mut self, now: Duration) -> Vec<OldSessions> {
        if self
            .sessions_sent_at
            .is_some_and(|sent_at| now < sent_at + SESSION_LIST_INTERVAL)
        {
            return Vec::new();
        }
        let active = self.by_service.values();
        let undecided = active.filter(|a| a.is_undecided(now));
        let messages: Vec<OldSessions> = undecided
            .flat_map(|a| {
                let service = a.roll_out.service.as_str();
                let needs_sending = |session: u64, version: &str| {
                    version != a.roll_out.target
                        && (a.may_join(session) || self.is_superseded(service, version))
                };
                self.sessions.to_send(service, needs_sending)
            })
            .collect();
        self.sessions_sent_at = Some(now).filter(|_| !messages.is_empty());
        messages
    }

    /// Returns the outcomes that this node has to write now. `rank` is its position among the live
    /// nodes, sorted by name.
    pub fn due_ends(
        &mut self,
        now: Duration,
        rank: usize,
        old_busy: impl Fn(&str, &str) -> bool,
    ) -> Vec<(RollOut, RollOutEnd)> {
        let mut due = Vec::new();
        for active in self.by_service.values_mut() {
            let busy = old_busy(&active.roll_out.service, &active.roll_out.target);
            if let Some(end) = active.due_end(now, rank, busy) {
                due.push((active.roll_out.clone(), end));
            }
        }
        due
    }
}
