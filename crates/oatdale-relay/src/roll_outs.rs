//! Roll-outs of endpoint pools: which software version a request may use, what was seen of the
//! new one by all nodes, and when the end is to be written.

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

/// Which software versions a request may use.
#[derive(Clone, PartialEq, Debug)]
pub enum Allowed {
    /// Any.
    All,
    /// This one; others only if it has no endpoint.
    Prefer(String),
    /// A part of this one's endpoints, the same on all nodes; others only if there is none.
    ///
    /// A version may be bad only under load, and the few requests of a trial are no load for a
    /// whole pool. For so many endpoints as would have this share they are the usual load.
    Trial {
        /// The version.
        version: String,
        /// Picks the endpoints.
        seed: u64,
        /// The part.
        share: f64,
    },
    /// Any but this one.
    Not(String),
}

/// Where an answer came from.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Source<'a> {
    /// The service.
    pub service: &'a str,
    /// The endpoint's software version.
    pub version: &'a str,
    /// The route and the endpoint.
    pub origin: Origin,
    /// Whether the endpoint fails much of what it gets.
    pub is_failing: bool,
}

/// All roll-outs that a node knows of.
#[derive(Debug, Default)]
pub struct RollOuts {
    by_service: HashMap<String, Active>,
    /// Usual times of versions that are not on trial, also from before an order.
    usual: UsualTimes,
    sessions: Sessions,
    /// This node's requests.
    rates: Rates,
    /// An order has been heard of that other nodes may not know.
    has_news: bool,
    /// When other nodes were last told of all sessions on old versions.
    told_sessions: Option<Duration>,
}

/// Time between two tellings of all sessions on old versions: some lives of a session have several, and a
/// site of ninety nodes sends each of them some forty datagrams a second while a trial lasts.
const TELL_SESSIONS: Duration = Duration::from_secs(2);

impl RollOuts {
    /// Takes in a roll-out as the operator and the nodes wrote it.
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

    /// Notes that the record of how a service's last roll-out ended is lost.
    pub fn end_lost(&mut self, now: Duration, service: &str) {
        if let Some(active) = self.by_service.get_mut(service) {
            active.end_lost(now);
        }
    }

    /// Which versions a request may use. `hash` is of its session or, without one, of itself.
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

    /// Notes a request for a service.
    pub fn count_request(&mut self, now: Duration, service: &str) {
        self.rates.add(now, service);
    }

    /// Settles the share of each trial that has begun, and follows the requests that come: what nodes
    /// told each other of theirs gives about the same share and times on all of them.
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

    /// Notes which version a session's request goes to, and returns what other nodes have to know at
    /// once: that it is on an old version, where they would try the new one with it.
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

    /// Forgets sessions that ended.
    pub fn forget_sessions(&mut self, now: Duration, life: Duration) {
        self.sessions.forget(now, life);
    }

    /// Notes an answer's head: whether the endpoint failed it, and how long it took, if that says
    /// anything.
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

    /// Notes a time that an endpoint took; those of one pace should be about as long.
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

    /// Notes whether an endpoint was slow, where its time is not known: it may not be over.
    pub fn judged(&mut self, source: &Source<'_>, slow: bool) {
        if let Some((counts, _)) = self.counts(source) {
            counts.timed += 1;
            counts.slow += u64::from(slow);
        }
        if let Some(active) = self.by_service.get_mut(source.service) {
            active.judge();
        }
    }

    /// The time from which on something of a pace counts as slow, if there is a usual one.
    pub fn slow_after(&self, pace: Pace) -> Option<Duration> {
        self.usual.slow_after(pace)
    }

    /// Where to count a version's answer, and whether it is the new one, while a roll-out is under
    /// way.
    fn counts(&mut self, source: &Source<'_>) -> Option<(&mut Counts, bool)> {
        let active = self.by_service.get_mut(source.service)?;
        let is_new = active.roll_out.target == source.version;
        // The old version's endpoints are not told apart: they are what is usual.
        let old = Origin {
            endpoint: 0,
            ..source.origin
        };
        match active.roll_out.end {
            Some(_) => None,
            None if is_new => Some((active.own.new.at(source.origin), true)),
            // An old endpoint that fails by itself is not what is usual. With its answers a version
            // that fails a third of its own looked like the old one, and was completed.
            None if source.is_failing => None,
            None => Some((active.own.old.at(old), false)),
        }
    }

    /// Takes in what another node saw.
    ///
    /// A node that the key-value service turns away, or that started late, learns of an order and
    /// of its age in this way. Otherwise it would begin the plan anew when it hears of the order,
    /// and send to the old version what others send to the new one.
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

    /// Takes in which sessions another node has on an old version.
    pub fn merge_old_sessions(&mut self, now: Duration, on_old: &OnOld) {
        for &session in &on_old.sessions {
            self.sessions.pin_old(now, session);
        }
    }

    /// Whether there is an order that others should hear of at once; asked once for each.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// What this node tells others of the roll-outs that are under way.
    ///
    /// `old_busy` says whether this node has work on another version of a service than the target.
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

    /// The roll-outs that have ended.
    pub fn ended(&self) -> Vec<RollOut> {
        let all = self.by_service.values().map(|a| &a.roll_out);
        all.filter(|r| r.end.is_some()).cloned().collect()
    }

    /// The sessions that this node has on old versions and of which others have to know while
    /// roll-outs are under way; nothing if it told them of all a moment ago.
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

    /// The ends that this node is to write now. `rank` is its place among the live nodes by name.
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
