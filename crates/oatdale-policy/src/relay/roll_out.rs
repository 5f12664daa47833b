//! How far a new software version of an endpoint pool is used, and when it is done or undone.
//!
//! All nodes follow the same plan by time since the order, so that they expose the version alike
//! without asking each other: a small share of the requests in the first half, all of them after
//! it, and the end when requests on the old version have had time to finish. What any node sees
//! of the version is added up over the nodes; a version that fails more often than the old one is
//! undone at once.

use std::time::Duration;

/// Share of requests that try the new version in the first half. Small enough that a version that
/// turns out bad late stays well under the share an operator would accept, large enough for some
/// dozens of answers within seconds at the load of a small site.
const TRIAL_SHARE: f64 = 0.08;

/// When all requests go to the new version, as a part of the roll-out's duration.
const SWITCH_AT: f64 = 0.52;

/// When the old version is given up, as a part of the duration: streams that began before the
/// switch have ended by then, and some time is left for a write that has to be repeated.
const COMPLETE_AT: f64 = 0.78;

/// Failures that always stand for chance.
const CHANCE: u64 = 2;

/// Counts of one version's answers.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Counts {
    /// Answers that were as they should be.
    pub good: u64,
    /// Failures, and answers that were several times slower than the usual one.
    pub bad: u64,
}

/// What is known of both versions since the order.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Tally {
    /// The new version.
    pub new: Counts,
    /// The versions before it.
    pub old: Counts,
}

/// Where a roll-out is by its plan.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    /// Some requests try the new version.
    Trial,
    /// All requests go to the new version.
    Switched,
    /// The old version is not used any more, and the end can be written.
    Done,
}

/// What the counts say.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Verdict {
    /// Nothing speaks against it. A service with few requests may never see more of it than a few
    /// answers, and moves on all the same.
    Sound,
    /// It has to go.
    Bad,
}

impl Counts {
    fn all(self) -> u64 {
        self.good + self.bad
    }

    /// Adds what another node saw.
    pub fn plus(self, other: Counts) -> Counts {
        Counts {
            good: self.good + other.good,
            bad: self.bad + other.bad,
        }
    }
}

/// Where a roll-out is, `since` the order, while nothing speaks against the version.
pub fn phase(since: Duration, duration: Duration, verdict: Verdict) -> Phase {
    let part = since.as_secs_f64() / duration.as_secs_f64().max(0.001);
    match verdict {
        Verdict::Sound if part >= COMPLETE_AT => Phase::Done,
        Verdict::Sound if part >= SWITCH_AT => Phase::Switched,
        _ => Phase::Trial,
    }
}

/// Whether a request tries the new version; `hash` is of its session, so that a session keeps
/// its version on every node.
pub fn shows_new(phase: Phase, hash: u64) -> bool {
    match phase {
        Phase::Trial => (hash as f64) < TRIAL_SHARE * u64::MAX as f64,
        Phase::Switched | Phase::Done => true,
    }
}

/// Judges the new version by the answers so far.
///
/// The bound rises with the old version's own failures, so that trouble that hits all endpoints
/// alike is not blamed on the new version.
pub fn verdict(tally: &Tally) -> Verdict {
    let Tally { new, old } = tally;
    let usual = (old.bad as f64 + 0.5) / (old.all() as f64 + 10.0);
    let expected = usual * new.all() as f64;
    // Three standard deviations above what the old version's rate would give.
    let bound = expected + 3.0 * expected.sqrt();
    match new.bad {
        bad if bad > CHANCE && bad as f64 > bound => Verdict::Bad,
        _ => Verdict::Sound,
    }
}
