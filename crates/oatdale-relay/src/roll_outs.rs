//! Roll-outs of endpoint pools: which software version a request may use, what was seen of the
//! new one by all nodes, and when the end is to be written.

use crate::update::{RollOut, RollOutEnd};
use oatdale_policy::relay::{
    Counts, Exposure, Phase, Rate, Tally, Verdict, is_in_trial, phase, shows_new, switched_for,
    trial_share, verdict,
};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;

/// What another node said counts for so long; one that stopped has no work left.
const REPORT_LIFE: Duration = Duration::from_secs(2);

/// Time between two attempts to write the end, which may have been lost.
const ASK_AGAIN: Duration = Duration::from_millis(1_000);

/// The end is written by the first node by name, and by the next one if nothing was seen of it
/// after this time, so that not all nodes write at once.
const TURN: Duration = Duration::from_millis(250);

/// Nodes that take part in these turns, and that others report to: enough that some are alive.
pub(crate) const JUDGES: usize = 8;

/// The part of the time after the switch at which the end is written though a node still has work
/// on the old version: an end that is late is no end, and the write may have to be repeated.
const COMPLETE_ANYWAY: f64 = 0.5;

/// How many times longer than usual an answer has to take to count as slow. Some of the old
/// version's do as well; what counts is how many more.
const SLOW: f64 = 2.5;

/// Time that never counts as slow: a few milliseconds more are the network's and the scheduler's.
const NOT_SLOW: Duration = Duration::from_millis(8);

/// Answers of the old version without which nothing is slow: there is no usual time yet.
const LEAST_USUAL: u32 = 4;

/// Sessions that one report names at most, so that it fits into a datagram.
const MAX_TOLD: usize = 90;

/// Answers that the usual time is averaged over.
const MEMORY: f64 = 20.0;

/// Sessions that are remembered at most; the oldest are forgotten first.
const MAX_SESSIONS: usize = 20_000;

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

/// Time over which the rate of requests is averaged.
const RATE_MEMORY: Duration = Duration::from_secs(5);

/// How much more requests arrive at endpoints than callers send: some are repeated.
const ARRIVALS: f64 = 1.4;

/// The class of requests that take about as long as each other.
pub type Pace = u64;

/// What one node tells others of a roll-out.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Report {
    /// The node.
    pub host: String,
    /// The service.
    pub service: String,
    /// The order.
    pub order: u64,
    /// The version to move to.
    pub target: String,
    /// Time that the order gives, in milliseconds.
    pub duration_ms: u64,
    /// How long the node has known of the order, in milliseconds.
    pub age_ms: u64,
    /// Answers of the new version: all, failed, timed, slow.
    pub new: [u64; 4],
    /// The same of the old versions.
    pub old: [u64; 4],
    /// Whether it has requests under way on an old version.
    pub old_busy: bool,
    /// The node's requests a second for the service.
    pub rate: f64,
    /// Sessions that began on an old version and would try the new one if they were new.
    pub on_old: Vec<u64>,
}

/// All roll-outs that a node knows of.
#[derive(Debug, Default)]
pub struct RollOuts {
    by_service: HashMap<String, Active>,
    /// Usual times of versions that are not on trial, also from before an order.
    usual: HashMap<Pace, Usual>,
    sessions: HashMap<u64, Pin>,
    /// This node's requests a second by service.
    rates: HashMap<String, Requests>,
    /// An order has been heard of that other nodes may not know.
    has_news: bool,
}

/// One roll-out.
#[derive(Debug)]
struct Active {
    roll_out: RollOut,
    since: Duration,
    own: Tally,
    peers: HashMap<String, Peer>,
    /// Share of requests that try the new version, settled when the trial begins.
    share: Option<f64>,
    asked: Option<Duration>,
    /// Since when the end could be written.
    due_since: Option<Duration>,
    /// What was last found, for a log line when it changes.
    verdict: Verdict,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    tally: Tally,
    rate: f64,
    old_busy: bool,
    seen: Duration,
}

/// The version that a session runs on.
#[derive(Clone, Debug)]
struct Pin {
    /// `None` if another node said that it is an old one.
    version: Option<String>,
    used: Duration,
}

/// Requests for one service.
#[derive(Clone, Copy, Debug)]
struct Requests {
    rate: Rate,
    since: Duration,
}

impl Requests {
    /// The average knows nothing of the time before the first request, which would make a node that
    /// has just started take its service for a quiet one.
    fn a_second(&self, now: Duration) -> f64 {
        let known = now.saturating_sub(self.since).as_secs_f64() / RATE_MEMORY.as_secs_f64();
        self.rate.get(now) / (1.0 - (-known.max(0.05)).exp())
    }
}

/// A mean time.
#[derive(Clone, Copy, Debug, Default)]
struct Usual {
    secs: f64,
    answers: u32,
}

impl RollOuts {
    /// Takes in a roll-out as the operator and the nodes wrote it.
    pub fn update(&mut self, now: Duration, roll_out: RollOut) {
        let known = self.by_service.get_mut(&roll_out.service);
        match known {
            Some(active) if active.roll_out.order == roll_out.order => {
                // An end stays one: only a new order begins anew.
                let end = active.roll_out.end.or(roll_out.end);
                active.roll_out.end = end;
            }
            Some(active) if active.roll_out.order > roll_out.order => {}
            _ => {
                log::info!(
                    target: "roll-out",
                    "event=roll_out service={} target={} duration_ms={} order={} end={:?}",
                    roll_out.service, roll_out.target, roll_out.duration.as_millis(),
                    roll_out.order, roll_out.end
                );
                self.has_news = true;
                let service = roll_out.service.clone();
                self.by_service.insert(service, Active::new(now, roll_out));
            }
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
        let pin = session.and_then(|s| self.sessions.get(&s));
        let is_old = pin.is_some_and(|pin| pin.version.as_ref() != Some(&target));
        let share = active.share.unwrap_or(0.0);
        match shows_new(phase, share, session.unwrap_or(hash)) {
            true if trial && is_old => Allowed::Not(target),
            true if trial => Allowed::Trial {
                version: target,
                seed: active.roll_out.order,
                share,
            },
            true => Allowed::Prefer(target),
            false => Allowed::Not(target),
        }
    }

    /// Notes a request for a service.
    pub fn count_request(&mut self, now: Duration, service: &str) {
        let new = || Requests {
            rate: Rate::new(now, RATE_MEMORY),
            since: now,
        };
        let requests = self.rates.entry(service.to_owned());
        requests.or_insert_with(new).rate.add(now);
    }

    fn rate(&self, now: Duration, service: &str) -> f64 {
        self.rates.get(service).map_or(0.0, |r| r.a_second(now))
    }

    /// Settles the share of each trial that has begun: what nodes told of their requests until then
    /// gives about the same share on all of them.
    pub fn settle_shares(&mut self, now: Duration, allowed: Exposure) {
        let services: Vec<String> = self.by_service.keys().cloned().collect();
        for service in services {
            let own = self.rate(now, &service);
            if let Some(active) = self.by_service.get_mut(&service) {
                active.settle_share(now, allowed, own);
            }
        }
    }

    /// Notes which version a session's request went to.
    pub fn pin(&mut self, now: Duration, session: u64, version: &str) {
        if self.sessions.len() < MAX_SESSIONS {
            let version = Some(version.to_owned());
            self.sessions.insert(session, Pin { version, used: now });
        }
    }

    /// Forgets sessions that ended.
    pub fn forget_sessions(&mut self, now: Duration, life: Duration) {
        self.sessions.retain(|_, p| now < p.used + life);
    }

    /// Notes an answer's head: whether the endpoint failed it, and how long it took, if that says
    /// anything.
    pub fn answered(
        &mut self,
        service: &str,
        version: &str,
        failed: bool,
        took: Option<(Pace, Duration)>,
    ) {
        if let Some((counts, _)) = self.counts(service, version) {
            counts.answers += 1;
            counts.failed += u64::from(failed);
        }
        if let Some((pace, took)) = took {
            self.timed(service, version, pace, took);
        }
        if let Some(active) = self.by_service.get_mut(service) {
            active.judge();
        }
    }

    /// Notes a time that an endpoint took; those of one pace should be about as long.
    pub fn timed(&mut self, service: &str, version: &str, pace: Pace, took: Duration) {
        let bound = self.slow_after(pace);
        if let Some(bound) = bound {
            self.judged(service, version, took > bound);
        }
        let is_new = self
            .counts(service, version)
            .is_some_and(|(_, is_new)| is_new);
        if !is_new {
            self.usual.entry(pace).or_default().learn(took);
        }
    }

    /// Notes whether an endpoint was slow, where its time is not known: it may not be over.
    pub fn judged(&mut self, service: &str, version: &str, slow: bool) {
        if let Some((counts, _)) = self.counts(service, version) {
            counts.timed += 1;
            counts.slow += u64::from(slow);
        }
        if let Some(active) = self.by_service.get_mut(service) {
            active.judge();
        }
    }

    /// The time from which on something of a pace counts as slow, if there is a usual one.
    pub fn slow_after(&self, pace: Pace) -> Option<Duration> {
        let usual = self.usual.get(&pace)?;
        usual.slow_after()
    }

    /// Where to count a version's answer, and whether it is the new one, while a roll-out is under
    /// way.
    fn counts(&mut self, service: &str, version: &str) -> Option<(&mut Counts, bool)> {
        let active = self.by_service.get_mut(service)?;
        let is_new = active.roll_out.target == version;
        match active.roll_out.end {
            Some(_) => None,
            None if is_new => Some((&mut active.own.new, true)),
            None => Some((&mut active.own.old, false)),
        }
    }

    /// Takes in what another node saw.
    ///
    /// A node that the key-value service turns away, or that started late, learns of an order and
    /// of its age in this way. Otherwise it would begin the plan anew when it hears of the order,
    /// and send to the old version what others send to the new one.
    pub fn heard(&mut self, now: Duration, report: &Report) {
        let known = self.by_service.get(&report.service);
        if known.is_none_or(|active| active.roll_out.order < report.order) {
            self.update(now, report.roll_out());
        }
        let Some(active) = self.by_service.get_mut(&report.service) else {
            return;
        };
        if active.roll_out.order != report.order {
            return;
        }
        let age = Duration::from_millis(report.age_ms);
        active.since = active.since.min(now.saturating_sub(age));
        let peer = Peer {
            tally: Tally {
                new: counts(report.new),
                old: counts(report.old),
            },
            old_busy: report.old_busy,
            rate: report.rate,
            seen: now,
        };
        active.peers.insert(report.host.clone(), peer);
        active.judge();
        for &session in &report.on_old {
            let pin = self.sessions.entry(session).or_insert(Pin {
                version: None,
                used: now,
            });
            pin.used = now;
        }
    }

    /// Whether there is an order that others should hear of at once; asked once for each.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// What this node tells others of the roll-outs that are under way.
    ///
    /// `life` is how long a session keeps its version after its last request; `old_busy` says
    /// whether this node has work on another version of a service than the target.
    pub fn reports(
        &self,
        now: Duration,
        life: Duration,
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
                new: numbers(a.own.new),
                old: numbers(a.own.old),
                old_busy: old_busy(&a.roll_out.service, &a.roll_out.target),
                rate: self.rate(now, &a.roll_out.service),
                on_old: self.own_on_old(now, life, a),
            })
            .collect()
    }

    /// Sessions that this node itself sees on an old version and that other nodes would take for
    /// new ones that try the new version.
    fn own_on_old(&self, now: Duration, life: Duration, active: &Active) -> Vec<u64> {
        let target = active.roll_out.target.as_str();
        let on_old = |pin: &Pin| pin.version.as_deref().is_some_and(|v| v != target);
        // Until the share is settled, all that it could be.
        let share = active.share.unwrap_or(1.0);
        self.sessions
            .iter()
            .filter(|(hash, pin)| {
                is_in_trial(share, **hash) && on_old(pin) && now < pin.used + life
            })
            .map(|(hash, _)| *hash)
            .take(MAX_TOLD)
            .collect()
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

impl Report {
    fn roll_out(&self) -> RollOut {
        RollOut {
            service: self.service.clone(),
            target: self.target.clone(),
            duration: Duration::from_millis(self.duration_ms),
            order: self.order,
            end: None,
        }
    }
}

fn numbers(counts: Counts) -> [u64; 4] {
    [counts.answers, counts.failed, counts.timed, counts.slow]
}

fn counts([answers, failed, timed, slow]: [u64; 4]) -> Counts {
    Counts {
        answers,
        failed,
        timed,
        slow,
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl Active {
    fn new(since: Duration, roll_out: RollOut) -> Self {
        Active {
            roll_out,
            since,
            own: Tally::default(),
            peers: HashMap::new(),
            share: None,
            asked: None,
            due_since: None,
            verdict: Verdict::Sound,
        }
    }

    fn total(&self) -> Tally {
        self.peers.values().fold(self.own, |sum, peer| Tally {
            new: sum.new.plus(peer.tally.new),
            old: sum.old.plus(peer.tally.old),
        })
    }

    /// Judges anew; a version that was found bad stays so for this order.
    fn judge(&mut self) {
        if self.verdict == Verdict::Bad {
            return;
        }
        let total = self.total();
        let found = verdict(&total);
        if found != self.verdict {
            log::info!(
                target: "roll-out",
                "event=verdict service={} target={} order={} verdict={found:?} new={:?} old={:?}",
                self.roll_out.service, self.roll_out.target, self.roll_out.order,
                numbers(total.new), numbers(total.old)
            );
        }
        self.verdict = found;
    }

    fn phase(&self, now: Duration) -> Phase {
        let since = now.saturating_sub(self.since);
        phase(since, self.roll_out.duration, self.verdict)
    }

    fn settle_share(&mut self, now: Duration, allowed: Exposure, own_rate: f64) {
        if self.share.is_some() || self.phase(now) == Phase::Announced {
            return;
        }
        let others: f64 = self.peers.values().map(|p| p.rate).sum();
        let rate = (own_rate + others) * ARRIVALS;
        let share = trial_share(allowed, rate, self.roll_out.duration);
        log::info!(
            target: "roll-out",
            "event=trial service={} target={} order={} share={share:.2} rate={rate:.1}",
            self.roll_out.service, self.roll_out.target, self.roll_out.order
        );
        self.share = Some(share);
    }

    fn due(&mut self, now: Duration, rank: usize, busy: bool) -> Option<RollOutEnd> {
        if self.roll_out.end.is_some() {
            return None;
        }
        let end = match (self.verdict, self.phase(now)) {
            (Verdict::Bad, _) => RollOutEnd::RolledBack,
            (_, Phase::Done) if self.old_is_done(now, busy) => RollOutEnd::Completed,
            _ => return None,
        };
        let since = *self.due_since.get_or_insert(now);
        let turn = since + TURN * rank.min(JUDGES) as u32;
        let waits = self.asked.is_some_and(|asked| now < asked + ASK_AGAIN);
        if now < turn || waits {
            return None;
        }
        self.asked = Some(now);
        let total = self.total();
        log::info!(
            target: "roll-out",
            "event=ending service={} target={} order={} end={end:?} age_ms={} new={:?} old={:?}",
            self.roll_out.service, self.roll_out.target, self.roll_out.order,
            now.saturating_sub(self.since).as_millis(),
            numbers(total.new), numbers(total.old)
        );
        Some(end)
    }

    /// Whether no node has work on the old version, or there is no time left to wait for it.
    fn old_is_done(&self, now: Duration, busy: bool) -> bool {
        let duration = self.roll_out.duration;
        let left = switched_for(duration).mul_f64(1.0 - COMPLETE_ANYWAY);
        let last = self.since + duration.saturating_sub(left);
        let others_busy = self
            .peers
            .values()
            .any(|p| p.old_busy && now < p.seen + REPORT_LIFE);
        now >= last || !(busy || others_busy)
    }
}

impl Usual {
    fn slow_after(&self) -> Option<Duration> {
        let bound = Duration::from_secs_f64(self.secs * SLOW) + NOT_SLOW;
        (self.answers >= LEAST_USUAL).then_some(bound)
    }

    fn learn(&mut self, took: Duration) {
        self.answers += 1;
        let weight = f64::from(self.answers).min(MEMORY);
        self.secs += (took.as_secs_f64() - self.secs) / weight;
    }
}
