//! Roll-outs of endpoint pools: which software version a request may use, what was seen of the
//! new one by all nodes, and when the end is to be written.

use crate::update::{RollOut, RollOutEnd};
use oatdale_policy::relay::{Counts, Phase, Tally, Verdict, phase, shows_new, verdict};
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

/// When the end is written though another node still has work on the old version, as a part of the
/// duration: an end that is late is no end.
const COMPLETE_ANYWAY: f64 = 0.88;

/// How many times longer than usual an answer has to take to count as bad. Below it, chance and
/// load explain it.
const SLOW: f64 = 4.0;

/// Time that never counts as slow.
const NOT_SLOW: Duration = Duration::from_millis(150);

/// Answers that the usual time is averaged over.
const MEMORY: f64 = 12.0;

/// Sessions that are remembered at most; the oldest are forgotten first.
const MAX_SESSIONS: usize = 20_000;

/// Which software versions a request may use.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Allowed {
    /// Any.
    All,
    /// This one; others only if it has no endpoint.
    Prefer(String),
    /// Any but this one.
    Not(String),
}

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
    /// Good and bad answers of the new version.
    pub new: (u64, u64),
    /// Good and bad answers of the old versions.
    pub old: (u64, u64),
    /// Whether it has requests under way on an old version.
    pub old_busy: bool,
}

/// All roll-outs that a node knows of.
#[derive(Debug, Default)]
pub struct RollOuts {
    by_service: HashMap<String, Active>,
    sessions: HashMap<String, Pin>,
}

/// One roll-out.
#[derive(Debug)]
struct Active {
    roll_out: RollOut,
    since: Duration,
    own: Tally,
    peers: HashMap<String, Peer>,
    /// Usual time to the first byte by pace, of the old versions.
    usual: HashMap<Pace, f64>,
    asked: Option<Duration>,
    /// Since when the end could be written.
    due_since: Option<Duration>,
    /// What was last found, for a log line when it changes.
    verdict: Verdict,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    tally: Tally,
    old_busy: bool,
    seen: Duration,
}

/// The version that a session began on.
#[derive(Clone, Debug)]
struct Pin {
    version: String,
    used: Duration,
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
        session: Option<&str>,
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
        let pin = session.and_then(|s| self.sessions.get(s));
        match pin {
            Some(pin) if pin.version == target => Allowed::Prefer(target),
            Some(_) if phase == Phase::Trial => Allowed::Not(target),
            _ if shows_new(phase, hash) => Allowed::Prefer(target),
            _ => Allowed::Not(target),
        }
    }

    /// Notes which version a session's request went to.
    pub fn pin(&mut self, now: Duration, session: &str, version: &str, life: Duration) {
        if self.sessions.len() >= MAX_SESSIONS {
            self.sessions.retain(|_, p| now < p.used + life);
        }
        let pin = Pin {
            version: version.to_owned(),
            used: now,
        };
        self.sessions.insert(session.to_owned(), pin);
    }

    /// Forgets sessions that ended.
    pub fn forget_sessions(&mut self, now: Duration, life: Duration) {
        self.sessions.retain(|_, p| now < p.used + life);
    }

    /// Notes an answer: whether the endpoint failed it, and the time to its first byte.
    pub fn answered(
        &mut self,
        service: &str,
        version: &str,
        failed: bool,
        pace: Pace,
        took: Duration,
    ) {
        let Some(active) = self.by_service.get_mut(service) else {
            return;
        };
        if active.roll_out.end.is_some() {
            return;
        }
        let is_new = active.roll_out.target == version;
        let slow = active.is_slow(pace, took);
        let counts = match is_new {
            true => &mut active.own.new,
            false => &mut active.own.old,
        };
        match failed || slow {
            true => counts.bad += 1,
            false => counts.good += 1,
        }
        if !is_new && !failed {
            active.learn(pace, took);
        }
        active.judge();
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
        let counts = |(good, bad)| Counts { good, bad };
        let peer = Peer {
            tally: Tally {
                new: counts(report.new),
                old: counts(report.old),
            },
            old_busy: report.old_busy,
            seen: now,
        };
        active.peers.insert(report.host.clone(), peer);
        active.judge();
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
                new: (a.own.new.good, a.own.new.bad),
                old: (a.own.old.good, a.own.old.bad),
                old_busy: old_busy(&a.roll_out.service, &a.roll_out.target),
            })
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
            usual: HashMap::new(),
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
                "event=verdict service={} target={} order={} verdict={found:?} new_good={} \
                 new_bad={} old_good={} old_bad={}",
                self.roll_out.service, self.roll_out.target, self.roll_out.order,
                total.new.good, total.new.bad, total.old.good, total.old.bad
            );
        }
        self.verdict = found;
    }

    fn phase(&self, now: Duration) -> Phase {
        let since = now.saturating_sub(self.since);
        phase(since, self.roll_out.duration, self.verdict)
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
        Some(end)
    }

    /// Whether no node has work on the old version, or there is no time left to wait for it.
    fn old_is_done(&self, now: Duration, busy: bool) -> bool {
        let last = self.since + self.roll_out.duration.mul_f64(COMPLETE_ANYWAY);
        let others_busy = self
            .peers
            .values()
            .any(|p| p.old_busy && now < p.seen + REPORT_LIFE);
        now >= last || !(busy || others_busy)
    }

    fn is_slow(&self, pace: Pace, took: Duration) -> bool {
        let usual = self.usual.get(&pace);
        took > NOT_SLOW && usual.is_some_and(|usual| took.as_secs_f64() > usual * SLOW)
    }

    fn learn(&mut self, pace: Pace, took: Duration) {
        let took = took.as_secs_f64();
        let usual = self.usual.entry(pace).or_insert(took);
        *usual += (took - *usual) / MEMORY;
    }
}
