//! Rollouts of endpoint pools: which software version a request may use, the evidence that all
//! nodes have collected about the new version, and when to record the outcome.

mod active;
mod rates;
mod report;
mod sessions;
mod usual;

use crate::state;
use crate::update::{RollOut, RollOutEnd};
use active::{Active, Peer};
use oatdale_policy::relay::{Counts, Exposure, Origin, Phase, Verdict, shows_new};
use rates::Rates;
use report::millis;
use sessions::Sessions;
use std::collections::HashMap;
use std::time::Duration;
use usual::UsualTimes;

pub(crate) use active::JUDGES;
pub use report::{OnOld, Report};
pub use usual::Pace;

/// The software versions that a request may use.
#[derive(Clone, PartialEq, Debug)]
pub enum Allowed {
    /// Any version.
    All,
    /// This version; others only if it has no endpoint.
    Prefer(String),
    /// A subset of this version's endpoints, the same on all nodes; other versions only if it has
    /// none.
    ///
    /// A version may be faulty only under load, and the few requests of a trial would not load a
    /// whole pool. Concentrated on a fraction of the endpoints equal to their share of the traffic,
    /// they are a normal load for each.
    Trial {
        /// The version.
        version: String,
        /// Seed that selects the endpoints.
        seed: u64,
        /// The share of requests in the trial, and the fraction of endpoints that serve them.
        share: f64,
    },
    /// Any version but this one.
    Not(String),
}

/// The origin of a response.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Source<'a> {
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
    by_service: HashMap<String, Active>,
    /// Baseline durations of versions that are not on trial, including those from before an order.
    usual: UsualTimes,
    sessions: Sessions,
    /// Request rates of this node.
    rates: Rates,
    /// Whether a new order has been received that other nodes may not know.
    has_news: bool,
    /// When the full list of sessions on old versions was last sent to other nodes.
    told_sessions: Option<Duration>,
}

/// Interval at which the full list of sessions on old versions is sent. Several transmissions fit into a
/// session's lifetime; with 90 nodes, each receives about 40 datagrams per second during a trial.
const TELL_SESSIONS: Duration = Duration::from_secs(2);

impl RollOuts {
    /// Applies a rollout record written by an operator or a node.
    pub fn update(&mut self, now: Duration, roll_out: RollOut) {
        let known = self.by_service.get_mut(&roll_out.service);
        match known {
            Some(active) if active.roll_out.is_same_order(&roll_out) => active.update(&roll_out),
            Some(active) if active.roll_out.order > roll_out.order => {}
            _ => {
                log::info!(
                    target: "roll-out",
                    "event=roll_out service={} target={} duration_ms={} order={} end={:?}",
                    roll_out.service, roll_out.target, roll_out.duration.as_millis(),
                    roll_out.order, roll_out.end
                );
                self.has_news = true;
                self.told_sessions = None;
                let service = roll_out.service.clone();
                self.by_service.insert(service, Active::new(now, roll_out));
            }
        }
    }

    /// Handles the loss of the record of how a service's last rollout ended.
    pub fn end_lost(&mut self, now: Duration, service: &str) {
        if let Some(active) = self.by_service.get_mut(service) {
            active.end_lost(now);
        }
    }

    /// Returns the versions that a request may use. `hash` is the hash of the request, used if it
    /// has no session.
    pub fn allowed(
        &self,
        now: Duration,
        service: &str,
        session: Option<u64>,
        hash: u64,
    ) -> Allowed {
        let Some(active) = self.by_service.get(service) else {
            return Allowed::All;
        };
        let target = active.roll_out.target.clone();
        match active.roll_out.end {
            Some(RollOutEnd::Completed) => return Allowed::Prefer(target),
            Some(RollOutEnd::RolledBack) => return Allowed::Not(target),
            None => {}
        }
        if active.verdict == Verdict::Bad {
            return Allowed::Not(target);
        }
        let phase = active.phase(now);
        let trial = phase == Phase::Trial;
        let is_old = session.is_some_and(|s| self.sessions.is_on_old(s, &target));
        let share = active.share.unwrap_or(0.0);
        match shows_new(phase, share, session.unwrap_or(hash)) {
            true if trial && is_old => Allowed::Not(target),
            true if trial => Allowed::Trial {
                version: target,
                seed: state::hash(&(service, &active.roll_out.target)),
                share,
            },
            true => Allowed::Prefer(target),
            false => Allowed::Not(target),
        }
    }

    /// Counts a request for a service.
    pub fn count_request(&mut self, now: Duration, service: &str) {
        self.rates.add(now, service);
    }

    /// Sets the traffic share of each trial that has begun, and adjusts the schedules to the
    /// request rates. All nodes exchange their rates and therefore arrive at about the same shares
    /// and times.
    pub fn follow_rates(&mut self, now: Duration, allowed: Exposure) {
        let services: Vec<String> = self.by_service.keys().cloned().collect();
        for service in services {
            let own = self.rates.get(now, &service);
            let recent = self.rates.recent(now, &service);
            if let Some(active) = self.by_service.get_mut(&service) {
                active.settle_share(now, allowed, own);
                active.follow_rate(now, recent);
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
    ) -> Option<OnOld> {
        self.sessions.pin(now, session, version);
        let active = self.by_service.get(service)?;
        let is_old = version != active.roll_out.target;
        let matters = is_old && active.is_undecided(now) && active.may_try(session);
        matters.then(|| self.sessions.tell(now, session)).flatten()
    }

    /// Removes expired sessions.
    pub fn forget_sessions(&mut self, now: Duration, life: Duration) {
        self.sessions.forget(now, life);
    }

    /// Records a response head: whether the endpoint failed, and how long it took, where that time
    /// is meaningful.
    pub fn answered(&mut self, source: &Source<'_>, failed: bool, took: Option<(Pace, Duration)>) {
        if let Some((counts, _)) = self.counts(source) {
            counts.answers += 1;
            counts.failed += u64::from(failed);
        }
        if let Some((pace, took)) = took {
            self.timed(source, pace, took);
        }
        if let Some(active) = self.by_service.get_mut(source.service) {
            active.judge();
        }
    }

    /// Records how long an endpoint took; durations with the same pace are comparable.
    pub fn timed(&mut self, source: &Source<'_>, pace: Pace, took: Duration) {
        let bound = self.slow_after(pace);
        if let Some(bound) = bound {
            self.judged(source, took > bound);
        }
        let is_new = self.counts(source).is_some_and(|(_, is_new)| is_new);
        if !is_new {
            self.usual.learn(pace, took);
        }
    }

    /// Records whether an endpoint was slow when the duration is not known, for example because the
    /// response is still outstanding.
    pub fn judged(&mut self, source: &Source<'_>, slow: bool) {
        if let Some((counts, _)) = self.counts(source) {
            counts.timed += 1;
            counts.slow += u64::from(slow);
        }
        if let Some(active) = self.by_service.get_mut(source.service) {
            active.judge();
        }
    }

    /// Returns the duration above which a sample of this pace counts as slow, if a baseline exists.
    pub fn slow_after(&self, pace: Pace) -> Option<Duration> {
        self.usual.slow_after(pace)
    }

    /// Returns the counters for a response and whether it is from the new version, while a rollout
    /// is in progress.
    fn counts(&mut self, source: &Source<'_>) -> Option<(&mut Counts, bool)> {
        let active = self.by_service.get_mut(source.service)?;
        let is_new = active.roll_out.target == source.version;
        // The endpoints of the old version are counted together: they form the baseline.
        let old = Origin {
            endpoint: 0,
            ..source.origin
        };
        match active.roll_out.end {
            Some(_) => None,
            None if is_new => Some((active.own.new.at(source.origin), true)),
            // A faulty endpoint of the old version is excluded from the baseline. Otherwise a new
            // version that fails a third of its requests looks like the old one, and its rollout
            // completes.
            None if source.is_failing => None,
            None => Some((active.own.old.at(old), false)),
        }
    }

    /// Merges another node's report.
    ///
    /// A node that the key-value service rejects, or that started late, learns of an order and its
    /// age in this way. Otherwise it would restart the schedule when it receives the order, and
    /// route requests to the old version while other nodes route them to the new one.
    pub fn merge_report(&mut self, now: Duration, report: &Report) {
        let reported = report.roll_out();
        let known = self.by_service.get(&report.service).map(|a| &a.roll_out);
        if known.is_none_or(|known| known.is_overtaken_by(&reported)) {
            self.update(now, reported.clone());
        }
        let Some(active) = self.by_service.get_mut(&report.service) else {
            return;
        };
        if !active.roll_out.is_same_order(&reported) {
            return;
        }
        let age = Duration::from_millis(report.age_ms);
        active.since = active.since.min(now.saturating_sub(age));
        let peer = Peer {
            tally: report.tally(),
            old_busy: report.old_busy,
            rate: report.rate,
            recent_rate: report.recent_rate,
            seen: now,
        };
        active.peers.insert(report.host.clone(), peer);
        active.judge();
    }

    /// Merges the sessions that another node has on an old version.
    pub fn merge_old_sessions(&mut self, now: Duration, on_old: &OnOld) {
        for &session in &on_old.sessions {
            self.sessions.pin_old(now, session);
        }
    }

    /// Returns whether a new order has to be sent to other nodes at once, and resets the flag.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
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
                age_ms: millis(now.saturating_sub(a.since)),
                new: report::cells(&a.own.new),
                old: report::cells(&a.own.old),
                old_busy: old_busy(&a.roll_out.service, &a.roll_out.target),
                rate: self.rates.get(now, &a.roll_out.service),
                recent_rate: self.rates.recent(now, &a.roll_out.service),
            })
            .collect()
    }

    /// Returns the rollouts that have ended.
    pub fn ended(&self) -> Vec<RollOut> {
        let all = self.by_service.values().map(|a| &a.roll_out);
        all.filter(|r| r.end.is_some()).cloned().collect()
    }

    /// Returns the sessions that this node has on old versions and that other nodes need to know of
    /// while rollouts are in progress; empty if the full list was sent less than
    /// `TELL_SESSIONS` ago.
    pub fn on_old(&mut self, now: Duration) -> Vec<OnOld> {
        if self
            .told_sessions
            .is_some_and(|told| now < told + TELL_SESSIONS)
        {
            return Vec::new();
        }
        let active = self.by_service.values();
        let undecided = active.filter(|a| a.is_undecided(now));
        let all: Vec<OnOld> = undecided
            .flat_map(|a| self.sessions.to_tell(&a.roll_out.target, |s| a.may_try(s)))
            .collect();
        self.told_sessions = Some(now).filter(|_| !all.is_empty());
        all
    }

    /// Returns the outcomes that this node has to write now. `rank` is its position among the live
    /// nodes, sorted by name.
    pub fn due(
        &mut self,
        now: Duration,
        rank: usize,
        old_busy: impl Fn(&str, &str) -> bool,
    ) -> Vec<(RollOut, RollOutEnd)> {
        let mut due = Vec::new();
        for active in self.by_service.values_mut() {
            let busy = old_busy(&active.roll_out.service, &active.roll_out.target);
            if let Some(end) = active.due(now, rank, busy) {
                due.push((active.roll_out.clone(), end));
            }
        }
        due
    }
}
