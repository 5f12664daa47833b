//! How many requests a node may send once more.

use std::collections::VecDeque;
use std::time::Duration;

/// Parts of the window that are counted apart: the oldest one counts in full on the side of the repeats
/// and not at all on that of the requests, which leaves a twentieth unused.
const WINDOW_SLOTS: u32 = 20;

/// What operators allow: in any span of `window`, no more repeats for a service than `ratio` times its
/// requests, and `slack` beyond.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Allowance {
    /// The span.
    pub window: Duration,
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond that part.
    pub slack: f64,
}

/// One service's requests and repeats at one node.
///
/// Endpoints that fail because they are overloaded would get each request several times without a bound,
/// which keeps them overloaded after the cause has gone. The bound is over a window, as operators state
/// it: what a node earned a few seconds ago counts as well as what it earns now. With a bucket that
/// holds only the node's part of the slack, nodes with a few requests a second ran out of it whenever two
/// or three unsure answers came one after the other, while the site was far below what is allowed.
#[derive(Clone, Debug, Default)]
pub struct Repeats {
    /// The newest first.
    slots: VecDeque<Slot>,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    /// Which part of time it is, counted from the beginning of the clock.
    index: u128,
    requests: u32,
    repeats: u32,
}

impl Repeats {
    /// Notes a request of a caller.
    pub fn request(&mut self, now: Duration, allowed: &Allowance) {
        self.current_slot(now, allowed).requests += 1;
    }

    /// Notes one repeat if it is allowed and this part of what is allowed is left then.
    ///
    /// A use that can wait leaves something for one that cannot.
    pub fn repeat(&mut self, now: Duration, allowed: &Allowance, reserved_share: f64) -> bool {
        self.current_slot(now, allowed);
        let newest = self.slots[0].index;
        let in_window = self.slots.iter();
        let in_window = in_window.take_while(|s| s.index + u128::from(WINDOW_SLOTS) > newest);
        let requests: u32 = in_window.map(|s| s.requests).sum();
        let repeats: u32 = self.slots.iter().map(|s| s.repeats).sum();
        let limit = f64::from(requests) * allowed.ratio + allowed.slack;
        let is_allowed = f64::from(repeats) + 1.0 <= limit * (1.0 - reserved_share);
        self.slots[0].repeats += u32::from(is_allowed);
        is_allowed
    }

    /// The part that is now; forgets those that are no longer within the window.
    fn current_slot(&mut self, now: Duration, allowed: &Allowance) -> &mut Slot {
        let slot_length = (allowed.window / WINDOW_SLOTS).max(Duration::from_millis(1));
        let index = now.as_nanos() / slot_length.as_nanos();
        if self.slots.front().is_none_or(|s| s.index < index) {
            let slot = Slot {
                index,
                requests: 0,
                repeats: 0,
            };
            self.slots.push_front(slot);
        }
        let oldest = index.saturating_sub(u128::from(WINDOW_SLOTS));
        while self.slots.back().is_some_and(|s| s.index < oldest) {
            self.slots.pop_back();
        }
        &mut self.slots[0]
    }
}
