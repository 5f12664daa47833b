//! How far a new software version of an endpoint pool is used, and when it is done or undone.
//!
//! All nodes follow the same plan by time since the order, so that they expose the version alike
//! without asking each other: nothing at first, while they tell each other which sessions run; then
//! a small share of the requests for most of the time; then all of them for the little that is left,
//! in which requests on the old version end. The share and the late switch are such that a version
//! whose faults never show in the trial has still had less than about a sixth of the requests when
//! its time is over. What any node sees of the version is added up over the nodes; a version that
//! fails or is slow more often than the old one is undone at once.

use crate::relay::evidence::Verdict;
use std::time::Duration;

/// Bounds of the share of requests that try the new version: less tells nothing in time, more is no
/// trial.
const MIN_TRIAL_SHARE: f64 = 0.03;

/// The largest share of requests that try a new version.
pub const MOST_TRIAL: f64 = 0.25;

/// The part of the exposure that operators allow which the plan uses up: nodes count apart from each
/// other, and each request may be sent more than once.
const PLANNED_EXPOSURE_SHARE: f64 = 0.8;

/// Shares are rounded down to multiples of this, so that nodes whose counts differ a little come to
/// the same one.
const SHARE_STEP: f64 = 0.01;

/// When the trial begins, as a part of the duration, and at the latest. Nodes then know of each
/// other which sessions began on the old version.
const TRIAL_START_FRACTION: f64 = 0.1;
const MAX_TRIAL_START: Duration = Duration::from_millis(1_000);

/// The time before the end in which all requests go to the new version: this part of the duration,
/// and no more and no less than these. The end is written half a second before the order's time;
/// what is short on the old version ends before, and the new version goes on with the rest. A longer
/// time leaves less of what operators allow for the trial, from which a bad version is found.
const SWITCH_LEAD_FRACTION: f64 = 0.06;
const MAX_SWITCH_LEAD: Duration = Duration::from_millis(1_600);
const MIN_SWITCH_LEAD: Duration = Duration::from_millis(700);

/// How many times more requests than usual are expected after the switch: callers come in waves.
const PEAK_FACTOR: f64 = 1.15;

/// Nodes whose counts differ a little come to the same time if it is a multiple of this.
const SWITCH_LEAD_STEP: Duration = Duration::from_millis(100);

/// The time before the latest end from which on it is written if nothing is under way on the old
/// version. Not sooner: the end can't be taken back, and a version that is bad under load or on one
/// route shows it in the first answers after the switch.
const IDLE_END_LEAD: Duration = Duration::from_millis(100);

/// The part of that time after which the end is written though old work is left, and the time before
/// the end of the order in which it is written at the latest: a node looks five times a second, and an end
/// that is written at the last moment may come too late to count.
const GRACE_FRACTION: f64 = 0.5;
const MIN_END_MARGIN: Duration = Duration::from_millis(500);

/// Where a roll-out is by its plan.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    /// No request tries the new version yet.
    Announced,
    /// Some requests try the new version.
    Trial,
    /// All requests go to the new version.
    Switched,
    /// The old version is not used any more, and the end can be written.
    Done,
}

/// The times of one roll-out.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Schedule {
    duration: Duration,
    /// How long before the end all requests go to the new version.
    lead: Duration,
}

impl Schedule {
    /// The schedule of an order that gives so much time.
    pub fn new(duration: Duration) -> Self {
        let lead = duration
            .mul_f64(SWITCH_LEAD_FRACTION)
            .clamp(MIN_SWITCH_LEAD, MAX_SWITCH_LEAD)
            .min(duration);
        Schedule { duration, lead }
    }

    /// Where a roll-out is, `since` the order.
    pub fn phase(&self, since: Duration, verdict: Verdict) -> Phase {
        let idle_end = self.latest_end().saturating_sub(IDLE_END_LEAD);
        let trial_start = MAX_TRIAL_START.min(self.duration.mul_f64(TRIAL_START_FRACTION));
        match verdict {
            _ if since < trial_start => Phase::Announced,
            Verdict::Sound if since >= idle_end.max(self.switch_at()) => Phase::Done,
            Verdict::Sound if since >= self.switch_at() => Phase::Switched,
            _ => Phase::Trial,
        }
    }

    /// Switches later if requests have become more than the trial was planned for.
    ///
    /// A burst that begins after the share of the trial was settled would send the new version more
    /// requests after the switch than are allowed, however late in the order it comes.
    pub fn follow_rate(&mut self, since: Duration, planned_rate: f64, current_rate: f64) {
        if since >= self.switch_at() || planned_rate <= 0.0 {
            return;
        }
        let default_lead = Schedule::new(self.duration).lead;
        let steps = default_lead.as_secs_f64() * (planned_rate / current_rate.max(planned_rate))
            / SWITCH_LEAD_STEP.as_secs_f64();
        let switch_lead = SWITCH_LEAD_STEP * steps.ceil() as u32;
        self.lead = switch_lead.max(MIN_SWITCH_LEAD).min(default_lead);
    }

    /// How long before the end all requests go to the new version.
    pub fn switch_lead(&self) -> Duration {
        self.lead
    }

    /// The time since the order at which the end is written though old work is left: an end that is
    /// late is no end, and the write may have to be repeated.
    pub fn latest_end(&self) -> Duration {
        let margin = self.lead.mul_f64(1.0 - GRACE_FRACTION);
        self.duration.saturating_sub(margin.max(MIN_END_MARGIN))
    }

    fn switch_at(&self) -> Duration {
        self.duration.saturating_sub(self.lead)
    }
}

/// How much of a bad version operators allow.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Exposure {
    /// The share of all requests for the service in the time of the order.
    pub share: f64,
    /// Requests beyond it.
    pub slack: f64,
}

/// The share of requests that try the new version, for a service with `rate` requests a second.
///
/// With the requests after the switch it uses up what is allowed if nothing speaks against the
/// version until the end: as much evidence as possible, and never more exposure.
pub fn trial_share(allowed: Exposure, rate: f64, schedule: &Schedule) -> f64 {
    let secs = schedule.duration.as_secs_f64();
    let switch_lead = schedule.lead.as_secs_f64();
    let rate = rate.max(0.01);
    let budget = PLANNED_EXPOSURE_SHARE * (allowed.share * secs * rate + allowed.slack);
    let share =
        (budget - PEAK_FACTOR * switch_lead * rate) / ((secs - switch_lead).max(0.1) * rate);
    let share = share.clamp(MIN_TRIAL_SHARE, MOST_TRIAL);
    (share / SHARE_STEP).floor() * SHARE_STEP
}

/// Whether a request tries the new version; `hash` is of its session, so that a session keeps
/// its version on every node.
pub fn shows_new(phase: Phase, share: f64, hash: u64) -> bool {
    match phase {
        Phase::Announced => false,
        Phase::Trial => is_in_trial(share, hash),
        Phase::Switched | Phase::Done => true,
    }
}

/// Whether a session or request belongs to those that try a new version.
pub fn is_in_trial(share: f64, hash: u64) -> bool {
    (hash as f64) < share * u64::MAX as f64
}
