//! One rollout: its schedule, the evidence of all nodes, and its outcome.

use super::history::{Outcome, VersionOutcome};
use super::report::to_array;
use crate::update::{RollOut, RollOutEnd};
use oatdale_policy::relay::{
    ExposureLimit, MAX_TRIAL_SHARE, Phase, Schedule, Verdict, VersionCounts, completion_verdict,
    is_in_trial, trial_share, verdict,
};
use std::collections::HashMap;
use std::time::Duration;

/// Lifetime of another node's report; a node that has stopped has no requests in flight.
const REPORT_TTL: Duration = Duration::from_secs(2);

/// Interval between attempts to write the outcome; an earlier write may have been lost.
const END_WRITE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Delay between the nodes that may write the outcome: the first by name writes it, and the next
/// one after this time if no outcome has been recorded, so that not all nodes write at once.
const END_WRITE_STAGGER: Duration = Duration::from_millis(250);

/// Number of nodes that take turns writing the outcome and receive reports from the others; enough
/// that some of them are alive.
pub(crate) const COORDINATORS: usize = 8;

/// Requests to endpoints per request of a caller; higher than 1 because of retries.
const ATTEMPTS_PER_REQUEST: f64 = 1.4;

/// How long a node waits for the first report of another node before it sets the share of the trial: by its own
/// rate alone, the share would be too large.
const REPORT_WAIT: Duration = Duration::from_millis(800);

/// State of one rollout.
#[derive(Debug)]
pub(super) struct RollOutState {
    pub(super) roll_out: RollOut,
    pub(super) started_at: Duration,
    /// Since when this node has known the order.
    known_since: Duration,
    pub(super) own_counts: VersionCounts,
    pub(super) peers: HashMap<String, PeerReport>,
    schedule: Schedule,
    /// Share of requests that try the new version, set when the trial begins.
    pub(super) share: Option<f64>,
    /// Requests per second for which the share was computed.
    planned_rate: f64,
    pub(super) last_write: Option<Duration>,
    /// Since when the outcome could be written.
    pub(super) due_since: Option<Duration>,
    /// Whether the outcome is known but its record has been lost.
    is_end_record_lost: bool,
    /// The last verdict; a change is logged.
    pub(super) verdict: Verdict,
}

#[derive(Clone, Debug)]
pub(super) struct PeerReport {
    pub(super) version_counts: VersionCounts,
    pub(super) rate: f64,
    pub(super) recent_rate: f64,
    pub(super) old_busy: bool,
    pub(super) received_at: Duration,
}

impl RollOutState {
    pub(super) fn new(started_at: Duration, roll_out: RollOut) -> Self {
        RollOutState {
            schedule: Schedule::new(roll_out.duration),
            planned_rate: 0.0,
            roll_out,
            started_at,
            known_since: started_at,
            own_counts: VersionCounts::default(),
            peers: HashMap::new(),
            share: None,
            last_write: None,
            due_since: None,
            is_end_record_lost: false,
            verdict: Verdict::Sound,
        }
    }

    /// Applies another record of the same order.
    ///
    /// An outcome is final: only a new order starts another rollout. An order that was written
    /// again is kept under its latest revision, as on nodes that know only that one.
    pub(super) fn update(&mut self, roll_out: &RollOut) {
        self.roll_out.order = self.roll_out.order.max(roll_out.order);
        self.is_end_record_lost &= roll_out.end.is_none();
        self.roll_out.end = self.roll_out.end.or(roll_out.end);
    }

    /// Schedules another write of the outcome after its record was lost.
    pub(super) fn reschedule_end(&mut self, now: Duration) {
        self.is_end_record_lost = self.roll_out.end.is_some();
        self.due_since = Some(now);
        self.last_write = None;
    }

    /// Returns the outcome if another order replaces this one now.
    ///
    /// After the switch all requests, and with them the sessions, are on the version. A node may
    /// know only a part of the evidence, so that without the common verdict it withdraws no version.
    pub(super) fn outcome(&self, now: Duration) -> VersionOutcome {
        let outcome = match (self.roll_out.end, self.verdict, self.phase(now)) {
            (Some(end), _, _) => end.into(),
            (None, Verdict::Bad, _) => Outcome::RolledBack,
            (None, Verdict::Sound, Phase::Switched | Phase::Done) => match self.final_outcome() {
                RollOutEnd::Completed => Outcome::Completed,
                RollOutEnd::RolledBack => Outcome::Replaced,
            },
            (None, Verdict::Sound, Phase::Announced | Phase::Trial) => Outcome::Replaced,
        };
        VersionOutcome {
            version: self.roll_out.target.clone(),
            outcome,
            revision: self.roll_out.order,
        }
    }

    /// Whether the version was rolled back or is about to be.
    pub(super) fn is_withdrawn(&self) -> bool {
        match self.roll_out.end {
            Some(end) => end == RollOutEnd::RolledBack,
            None => self.verdict == Verdict::Bad,
        }
    }

    fn total(&self) -> VersionCounts {
        let mut sum = self.own_counts.clone();
        for peer in self.peers.values() {
            sum.add(&peer.version_counts);
        }
        sum
    }

    /// Updates the verdict; a version found bad stays bad for this order.
    pub(super) fn update_verdict(&mut self) {
        if self.verdict == Verdict::Bad {
            return;
        }
        let total = self.total();
        let latest = verdict(&total);
        if latest != self.verdict {
            log::info!(
                target: "roll-out",
                "event=verdict service={} target={} order={} verdict={latest:?} new={:?} old={:?}",
                self.roll_out.service, self.roll_out.target, self.roll_out.order,
                to_array(total.new.total()), to_array(total.old.total())
            );
        }
        self.verdict = latest;
    }

    pub(super) fn phase(&self, now: Duration) -> Phase {
        let elapsed = now.saturating_sub(self.started_at);
        self.schedule.phase(elapsed, self.verdict)
    }

    /// Whether requests may still be routed to either version.
    pub(super) fn is_undecided(&self, now: Duration) -> bool {
        let phase = self.phase(now);
        self.roll_out.end.is_none() && matches!(phase, Phase::Announced | Phase::Trial)
    }

    /// Whether a session may be among those that try the new version; until the share is set, the
    /// largest possible share is assumed.
    pub(super) fn may_join(&self, session: u64) -> bool {
        is_in_trial(self.share.unwrap_or(MAX_TRIAL_SHARE), session)
    }

    /// Sets the traffic share of the trial when it begins.
    pub(super) fn set_share(
        &mut self,
        now: Duration,
        exposure_limit: ExposureLimit,
        own_rate: f64,
    ) {
        let awaits_report = self.peers.is_empty() && now < self.known_since + REPORT_WAIT;
        if self.share.is_some() || awaits_report || self.phase(now) == Phase::Announced {
            return;
        }
        let peer_rate: f64 = self.peers.values().map(|p| p.rate).sum();
        let rate = (own_rate + peer_rate) * ATTEMPTS_PER_REQUEST;
        let share = trial_share(exposure_limit, rate, &self.schedule);
        self.planned_rate = rate;
        log::info!(
            target: "roll-out",
            "event=trial service={} target={} order={} share={share:.2} rate={rate:.1}",
            self.roll_out.service, self.roll_out.target, self.roll_out.order
        );
        self.share = Some(share);
    }

    /// Adopts the share that another node has set, if this node has set none or a larger one.
    ///
    /// All nodes have to use the same share, so that they route a session alike. The larger the sum of the
    /// rates that a node knows, the smaller the share that it sets; so the smallest one is right.
    pub(super) fn adopt_smaller_share(&mut self, stated: Option<f64>) {
        let Some(stated) = stated.filter(|share| (0.0..=MAX_TRIAL_SHARE).contains(share)) else {
            return;
        };
        if self.share.is_some_and(|own| own <= stated) {
            return;
        }
        log::info!(
            target: "roll-out",
            "event=share_adopted service={} target={} order={} share={stated:.2} own={:?}",
            self.roll_out.service, self.roll_out.target, self.roll_out.order, self.share
        );
        self.share = Some(stated);
    }

    /// Adjusts the schedule to the request rate after the share was set.
    pub(super) fn adjust_schedule(&mut self, now: Duration, own_rate: f64) {
        let peer_rate: f64 = self.peers.values().map(|p| p.recent_rate).sum();
        let rate = (own_rate + peer_rate) * ATTEMPTS_PER_REQUEST;
        let elapsed = now.saturating_sub(self.started_at);
        self.schedule
            .adjust_to_rate(elapsed, self.planned_rate, rate);
    }

    /// Returns the outcome if this node has to write it now.
    pub(super) fn due_end(&mut self, now: Duration, rank: usize, busy: bool) -> Option<RollOutEnd> {
        let end = match (self.verdict, self.phase(now)) {
            _ if self.roll_out.end.is_some() && !self.is_end_record_lost => return None,
            _ if self.is_end_record_lost => self.roll_out.end?,
            (Verdict::Bad, _) => RollOutEnd::RolledBack,
            (_, Phase::Done) if self.is_old_drained(now, busy) => self.final_outcome(),
            _ => return None,
        };
        let first_due = *self.due_since.get_or_insert(now);
        let earliest = first_due + END_WRITE_STAGGER * rank.min(COORDINATORS) as u32;
        let is_waiting = self
            .last_write
            .is_some_and(|last_write| now < last_write + END_WRITE_INTERVAL);
        if now < earliest || is_waiting {
            return None;
        }
        self.last_write = Some(now);
        let total = self.total();
        log::info!(
            target: "roll-out",
            "event=ending service={} target={} order={} end={end:?} age_ms={} new={:?} old={:?}",
            self.roll_out.service, self.roll_out.target, self.roll_out.order,
            now.saturating_sub(self.started_at).as_millis(),
            to_array(total.new.total()), to_array(total.old.total())
        );
        Some(end)
    }

    /// Returns the outcome of a rollout whose time is over.
    fn final_outcome(&self) -> RollOutEnd {
        match completion_verdict(&self.total()) {
            Verdict::Sound => RollOutEnd::Completed,
            Verdict::Bad => RollOutEnd::RolledBack,
        }
    }

    /// Whether no node has requests in flight on the old version, or there is no time left to wait
    /// for them.
    fn is_old_drained(&self, now: Duration, busy: bool) -> bool {
        let deadline = self.started_at + self.schedule.completion_deadline();
        let is_peer_busy = self
            .peers
            .values()
            .any(|p| p.old_busy && now < p.received_at + REPORT_TTL);
        now >= deadline || !(busy || is_peer_busy)
    }
}
