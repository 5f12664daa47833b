//! One rollout: its schedule, the evidence of all nodes, and its outcome.

use super::report::numbers;
use crate::update::{RollOut, RollOutEnd};
use oatdale_policy::relay::{
    Exposure, MOST_TRIAL, Phase, Schedule, Tally, Verdict, is_in_trial, trial_share, verdict,
};
use std::collections::HashMap;
use std::time::Duration;

/// Lifetime of another node's report; a node that has stopped has no requests in flight.
const REPORT_LIFE: Duration = Duration::from_secs(2);

/// Interval between attempts to write the outcome; an earlier write may have been lost.
const ASK_AGAIN: Duration = Duration::from_millis(1_000);

/// Delay between the nodes that may write the outcome: the first by name writes it, and the next
/// one after this time if no outcome has been recorded, so that not all nodes write at once.
const TURN: Duration = Duration::from_millis(250);

/// Number of nodes that take turns writing the outcome and receive reports from the others; enough
/// that some of them are alive.
pub(crate) const JUDGES: usize = 8;

/// Requests at endpoints per client request; higher than 1 because of retries.
const ARRIVALS: f64 = 1.4;

/// State of one rollout.
#[derive(Debug)]
pub(super) struct Active {
    pub(super) roll_out: RollOut,
    pub(super) since: Duration,
    pub(super) own: Tally,
    pub(super) peers: HashMap<String, Peer>,
    schedule: Schedule,
    /// Share of requests that try the new version, set when the trial begins.
    pub(super) share: Option<f64>,
    /// Requests per second for which the share was computed.
    planned_rate: f64,
    pub(super) asked: Option<Duration>,
    /// Since when the outcome could be written.
    pub(super) due_since: Option<Duration>,
    /// Whether the outcome is known but its record is lost.
    is_end_lost: bool,
    /// The last verdict; a change is logged.
    pub(super) verdict: Verdict,
}

#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) tally: Tally,
    pub(super) rate: f64,
    pub(super) recent_rate: f64,
    pub(super) old_busy: bool,
    pub(super) seen: Duration,
}

impl Active {
    pub(super) fn new(since: Duration, roll_out: RollOut) -> Self {
        Active {
            schedule: Schedule::new(roll_out.duration),
            planned_rate: 0.0,
            roll_out,
            since,
            own: Tally::default(),
            peers: HashMap::new(),
            share: None,
            asked: None,
            due_since: None,
            is_end_lost: false,
            verdict: Verdict::Sound,
        }
    }

    /// Applies another record of the same order.
    ///
    /// An outcome is final: only a new order starts another rollout. An order that was written
    /// again is kept under its latest revision, as on nodes that know only that one.
    pub(super) fn update(&mut self, roll_out: &RollOut) {
        self.roll_out.order = self.roll_out.order.max(roll_out.order);
        self.is_end_lost &= roll_out.end.is_none();
        self.roll_out.end = self.roll_out.end.or(roll_out.end);
    }

    /// Schedules another write of the outcome after its record was lost.
    pub(super) fn end_lost(&mut self, now: Duration) {
        self.is_end_lost = self.roll_out.end.is_some();
        self.due_since = Some(now);
        self.asked = None;
    }

    fn total(&self) -> Tally {
        let mut sum = self.own.clone();
        for peer in self.peers.values() {
            sum.add(&peer.tally);
        }
        sum
    }

    /// Updates the verdict; a version found bad stays bad for this order.
    pub(super) fn judge(&mut self) {
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
                numbers(total.new.total()), numbers(total.old.total())
            );
        }
        self.verdict = found;
    }

    pub(super) fn phase(&self, now: Duration) -> Phase {
        let since = now.saturating_sub(self.since);
        self.schedule.phase(since, self.verdict)
    }

    /// Whether requests may still be routed to either version.
    pub(super) fn is_undecided(&self, now: Duration) -> bool {
        let phase = self.phase(now);
        self.roll_out.end.is_none() && matches!(phase, Phase::Announced | Phase::Trial)
    }

    /// Whether a session may be among those that try the new version; until the share is set, the
    /// largest possible share is assumed.
    pub(super) fn may_try(&self, session: u64) -> bool {
        is_in_trial(self.share.unwrap_or(MOST_TRIAL), session)
    }

    /// Sets the traffic share of the trial when it begins.
    pub(super) fn settle_share(&mut self, now: Duration, allowed: Exposure, own_rate: f64) {
        if self.share.is_some() || self.phase(now) == Phase::Announced {
            return;
        }
        let others: f64 = self.peers.values().map(|p| p.rate).sum();
        let rate = (own_rate + others) * ARRIVALS;
        let share = trial_share(allowed, rate, &self.schedule);
        self.planned_rate = rate;
        log::info!(
            target: "roll-out",
            "event=trial service={} target={} order={} share={share:.2} rate={rate:.1}",
            self.roll_out.service, self.roll_out.target, self.roll_out.order
        );
        self.share = Some(share);
    }

    /// Adjusts the schedule to the request rate after the share was set.
    pub(super) fn follow_rate(&mut self, now: Duration, own_rate: f64) {
        let others: f64 = self.peers.values().map(|p| p.recent_rate).sum();
        let rate = (own_rate + others) * ARRIVALS;
        let since = now.saturating_sub(self.since);
        self.schedule.follow_rate(since, self.planned_rate, rate);
    }

    /// Returns the outcome if this node has to write it now.
    pub(super) fn due(&mut self, now: Duration, rank: usize, busy: bool) -> Option<RollOutEnd> {
        let end = match (self.verdict, self.phase(now)) {
            _ if self.roll_out.end.is_some() && !self.is_end_lost => return None,
            _ if self.is_end_lost => self.roll_out.end?,
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
            numbers(total.new.total()), numbers(total.old.total())
        );
        Some(end)
    }

    /// Whether no node has requests in flight on the old version, or there is no time left to wait
    /// for them.
    fn old_is_done(&self, now: Duration, busy: bool) -> bool {
        let last = self.since + self.schedule.latest_end();
        let others_busy = self
            .peers
            .values()
            .any(|p| p.old_busy && now < p.seen + REPORT_LIFE);
        now >= last || !(busy || others_busy)
    }
}
