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
const LEAST_TRIAL: f64 = 0.03;

/// The largest share of requests that try a new version.
pub const MOST_TRIAL: f64 = 0.25;

/// The part of the exposure that operators allow which the plan uses up: nodes count apart from each
/// other, and each request may be sent more than once.
const PLANNED: f64 = 0.8;

/// Shares are rounded down to multiples of this, so that nodes whose counts differ a little come to
/// the same one.
const SHARE_STEP: f64 = 0.01;

/// When the trial begins, as a part of the duration, and at the latest. Nodes then know of each
/// other which sessions began on the old version.
const TRIAL_AT: f64 = 0.1;
const TRIAL_AT_LATEST: Duration = Duration::from_millis(1_000);

/// The time before the end in which all requests go to the new version: this part of the duration,
/// and no more and no less than these. The end is written half a second before the order's time;
/// what is short on the old version ends before, and the new version goes on with the rest. A longer
/// time leaves less of what operators allow for the trial, from which a bad version is found.
const SWITCHED_FOR: f64 = 0.06;
const SWITCHED_AT_MOST: Duration = Duration::from_millis(1_600);
const SWITCHED_AT_LEAST: Duration = Duration::from_millis(700);

/// How many times more requests than usual are expected after the switch: callers come in waves.
const PEAK: f64 = 1.15;

/// Nodes whose counts differ a little come to the same time if it is a multiple of this.
const SWITCHED_STEP: Duration = Duration::from_millis(100);

/// The time before the latest end from which on it is written if nothing is under way on the old
/// version. Not sooner: the end can't be taken back, and a version that is bad under load or on one
/// route shows it in the first answers after the switch.
const SOONER_IF_IDLE: Duration = Duration::from_millis(100);

/// The part of that time after which the end is written though old work is left, and the time before
/// the end of the order in which it is written at the latest: a node looks five times a second, and an end
/// that is written at the last moment may come too late to count.
const COMPLETE_ANYWAY: f64 = 0.5;
const WRITTEN_BEFORE: Duration = Duration::from_millis(500);

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
    switched: Duration,
}

impl Schedule {
    /// The schedule of an order that gives so much time.
    pub fn new(duration: Duration) -> Self {
        let switched = duration
            .mul_f64(SWITCHED_FOR)
            .clamp(SWITCHED_AT_LEAST, SWITCHED_AT_MOST)
            .min(duration);
        Schedule { duration, switched }
    }

    /// Where a roll-out is, `since` the order.
    pub fn phase(&self, since: Duration, verdict: Verdict) -> Phase {
        let done = self.latest_end().saturating_sub(SOONER_IF_IDLE);
        let trial = TRIAL_AT_LATEST.min(self.duration.mul_f64(TRIAL_AT));
        match verdict {
            _ if since < trial => Phase::Announced,
            Verdict::Sound if since >= done.max(self.switch()) => Phase::Done,
            Verdict::Sound if since >= self.switch() => Phase::Switched,
            _ => Phase::Trial,
        }
    }

    /// Switches later if requests have become more than the trial was planned for.
    ///
    /// A burst that begins after the share of the trial was settled would send the new version more
    /// requests after the switch than are allowed, however late in the order it comes.
    pub fn follow_rate(&mut self, since: Duration, planned: f64, now: f64) {
        if since >= self.switch() || planned <= 0.0 {
            return;
        }
        let usual = Schedule::new(self.duration).switched;
        let steps =
            usual.as_secs_f64() * (planned / now.max(planned)) / SWITCHED_STEP.as_secs_f64();
        let switched = SWITCHED_STEP * steps.ceil() as u32;
        self.switched = switched.max(SWITCHED_AT_LEAST).min(usual);
    }

    /// How long before the end all requests go to the new version.
    pub fn switched(&self) -> Duration {
        self.switched
    }

    /// The time since the order at which the end is written though old work is left: an end that is
    /// late is no end, and the write may have to be repeated.
    pub fn latest_end(&self) -> Duration {
        let left = self.switched.mul_f64(1.0 - COMPLETE_ANYWAY);
        self.duration.saturating_sub(left.max(WRITTEN_BEFORE))
    }

    fn switch(&self) -> Duration {
        self.duration.saturating_sub(self.switched)
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
    let switched = schedule.switched.as_secs_f64();
    let rate = rate.max(0.01);
    let planned = PLANNED * (allowed.share * secs * rate + allowed.slack);
    let share = (planned - PEAK * switched * rate) / ((secs - switched).max(0.1) * rate);
    let share = share.clamp(LEAST_TRIAL, MOST_TRIAL);
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
