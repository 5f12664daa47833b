//! Schedule of the rollout of a new software version to an endpoint pool: how many requests use the
//! version, and when the rollout is completed or rolled back.
//!
//! All nodes follow the same schedule by the time since the order, so that they expose the version
//! alike without coordination. At first no request uses it, while the nodes exchange which sessions
//! run. In the trial, which takes most of the time, a small share of the requests uses it. After
//! the switch, all requests use it for the short rest, in which requests on the old version end.
//! The share and the late switch are such that a version whose faults never show in the trial has
//! still received less than about a sixth of the requests at the end. The observations of all nodes
//! are summed; a version that fails or is slow more often than the old one is rolled back at once.

use crate::relay::evidence::Verdict;
use std::time::Duration;

/// Smallest share of requests that try a new version: fewer give no evidence in time.
const MIN_TRIAL_SHARE: f64 = 0.03;

/// Largest share of requests that try a new version: more would be no trial.
pub const MAX_TRIAL_SHARE: f64 = 0.25;

/// Share of the allowed exposure that the schedule uses up: nodes count independently of each
/// other, and each request may be sent more than once.
const PLANNED_EXPOSURE_SHARE: f64 = 0.8;

/// Shares are rounded down to multiples of this, so that nodes whose counts differ slightly arrive
/// at the same one.
const SHARE_STEP: f64 = 0.01;

/// Start of the trial: this fraction of the duration, but at most the time below. By then nodes
/// have informed each other which sessions began on the old version.
const TRIAL_START_FRACTION: f64 = 0.1;
const MAX_TRIAL_START: Duration = Duration::from_millis(1_000);

/// Time before the end in which all requests go to the new version: this fraction of the duration,
/// within the bounds below. The completion is recorded at least half a second before the order's
/// time is over; short requests on the old version end before that, and the new version continues
/// the rest. A longer time leaves less of the allowed exposure for the trial, which is what detects
/// a bad version.
const SWITCH_LEAD_FRACTION: f64 = 0.06;
const MAX_SWITCH_LEAD: Duration = Duration::from_millis(1_600);
const MIN_SWITCH_LEAD: Duration = Duration::from_millis(700);

/// Multiple of the usual request rate that is expected after the switch: requests come in bursts.
const PEAK_FACTOR: f64 = 1.15;

/// A shortened switch lead is rounded up to a multiple of this, so that nodes whose counts differ
/// slightly arrive at the same one.
const SWITCH_LEAD_STEP: Duration = Duration::from_millis(100);

/// Time before the completion deadline from which on the completion is recorded if no request is in
/// flight on the old version. Not sooner: the completion cannot be revoked, and a version that is
/// bad under load or on one route shows it in the first responses after the switch.
const IDLE_COMPLETION_LEAD: Duration = Duration::from_millis(100);

/// Fraction of the switch lead after which the completion is recorded although requests on the old
/// version remain, and the time before the end of the order at which it is recorded at the latest:
/// a node checks five times a second, and a completion that is recorded at the last moment may come
/// too late to count.
const GRACE_FRACTION: f64 = 0.5;
const MIN_COMPLETION_MARGIN: Duration = Duration::from_millis(500);

/// Phase of a rollout according to its schedule.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    /// No request tries the new version yet.
    Announced,
    /// Some requests try the new version.
    Trial,
    /// All requests go to the new version.
    Switched,
    /// The old version is no longer used, and the completion can be recorded.
    Done,
}

/// Times of one rollout.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Schedule {
    duration: Duration,
    /// How long before the end of the order all requests switch to the new version.
    lead: Duration,
}

impl Schedule {
    /// Creates the schedule of an order with this duration.
    pub fn new(duration: Duration) -> Self {
        let lead = duration
            .mul_f64(SWITCH_LEAD_FRACTION)
            .clamp(MIN_SWITCH_LEAD, MAX_SWITCH_LEAD)
            .min(duration);
        Schedule { duration, lead }
    }

    /// Returns the phase at the time `since` the order.
    pub fn phase(&self, since: Duration, verdict: Verdict) -> Phase {
        let idle_completion = self
            .completion_deadline()
            .saturating_sub(IDLE_COMPLETION_LEAD);
        let trial_start = MAX_TRIAL_START.min(self.duration.mul_f64(TRIAL_START_FRACTION));
        match verdict {
            _ if since < trial_start => Phase::Announced,
            Verdict::Sound if since >= idle_completion.max(self.switch_at()) => Phase::Done,
            Verdict::Sound if since >= self.switch_at() => Phase::Switched,
            _ => Phase::Trial,
        }
    }

    /// Moves the switch later if the request rate has risen above the one that the trial was
    /// planned for.
    ///
    /// A burst that begins after the share of the trial was settled would otherwise send the new
    /// version more requests after the switch than are allowed, however late in the order it comes.
    pub fn adjust_to_rate(&mut self, since: Duration, planned_rate: f64, current_rate: f64) {
        if since >= self.switch_at() || planned_rate <= 0.0 {
            return;
        }
        let default_lead = Schedule::new(self.duration).lead;
        let steps = default_lead.as_secs_f64() * (planned_rate / current_rate.max(planned_rate))
            / SWITCH_LEAD_STEP.as_secs_f64();
        let switch_lead = SWITCH_LEAD_STEP * steps.ceil() as u32;
        self.lead = switch_lead.max(MIN_SWITCH_LEAD).min(default_lead);
    }

    /// Returns how long before the end of the order all requests switch to the new version.
    pub fn switch_lead(&self) -> Duration {
        self.lead
    }

    /// Returns the time since the order at which the completion is recorded although requests on
    /// the old version remain: a late completion does not count, and the write may have to be
    /// repeated.
    pub fn completion_deadline(&self) -> Duration {
        let margin = self.lead.mul_f64(1.0 - GRACE_FRACTION);
        self.duration
            .saturating_sub(margin.max(MIN_COMPLETION_MARGIN))
    }

    /// Returns the time since the order at which all requests switch to the new version.
    fn switch_at(&self) -> Duration {
        self.duration.saturating_sub(self.lead)
    }
}

/// Limit on the exposure to a bad version, as set by operators.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ExposureLimit {
    /// Share of all requests for the service during the order.
    pub share: f64,
    /// Requests beyond that share.
    pub slack: f64,
}

/// Returns the share of requests that try the new version, for a service with `rate` requests a
/// second.
///
/// Together with the requests after the switch, the trial uses up the planned exposure if there is
/// no evidence against the version until the end. This gives as much evidence as possible without
/// exceeding the planned exposure.
pub fn trial_share(limit: ExposureLimit, rate: f64, schedule: &Schedule) -> f64 {
    let secs = schedule.duration.as_secs_f64();
    let switch_lead = schedule.lead.as_secs_f64();
    let rate = rate.max(0.01);
    let budget = PLANNED_EXPOSURE_SHARE * (limit.share * secs * rate + limit.slack);
    let share =
        (budget - PEAK_FACTOR * switch_lead * rate) / ((secs - switch_lead).max(0.1) * rate);
    let share = share.clamp(MIN_TRIAL_SHARE, MAX_TRIAL_SHARE);
    (share / SHARE_STEP).floor() * SHARE_STEP
}

/// Whether a request uses the new version; `hash` is that of its session, so that a session keeps
/// its version on every node.
pub fn uses_new_version(phase: Phase, share: f64, hash: u64) -> bool {
    match phase {
        Phase::Announced => false,
        Phase::Trial => is_in_trial(share, hash),
        Phase::Switched | Phase::Done => true,
    }
}

/// Whether a session or request is among those that try a new version.
pub fn is_in_trial(share: f64, hash: u64) -> bool {
    (hash as f64) < share * u64::MAX as f64
}
