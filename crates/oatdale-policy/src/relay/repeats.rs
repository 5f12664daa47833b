//! How many requests a node may send once more.

use std::collections::VecDeque;
use std::time::Duration;

/// Parts of the window that are counted apart: the oldest one counts in full on the side of the repeats
/// and not at all on that of the requests, which leaves a twentieth unused.
const PARTS: u32 = 20;

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
    parts: VecDeque<Part>,
}

#[derive(Clone, Copy, Debug)]
struct Part {
    /// Which part of time it is, counted from the beginning of the clock.
    number: u128,
    requests: u32,
    repeats: u32,
}

impl Repeats {
    /// Notes a request of a caller.
    pub fn request(&mut self, now: Duration, allowed: &Allowance) {
        self.part(now, allowed).requests += 1;
    }

    /// Notes one repeat if it is allowed and this part of what is allowed is left then.
    ///
    /// A use that can wait leaves something for one that cannot.
    pub fn repeat(&mut self, now: Duration, allowed: &Allowance, kept: f64) -> bool {
        self.part(now, allowed);
        let newest = self.parts[0].number;
        let whole = self.parts.iter();
        let whole = whole.take_while(|p| p.number + u128::from(PARTS) > newest);
        let requests: u32 = whole.map(|p| p.requests).sum();
        let repeats: u32 = self.parts.iter().map(|p| p.repeats).sum();
        let most = f64::from(requests) * allowed.ratio + allowed.slack;
        let may = f64::from(repeats) + 1.0 <= most * (1.0 - kept);
        self.parts[0].repeats += u32::from(may);
        may
    }

    /// The part that is now; forgets those that are no longer within the window.
    fn part(&mut self, now: Duration, allowed: &Allowance) -> &mut Part {
        let length = (allowed.window / PARTS).max(Duration::from_millis(1));
        let number = now.as_nanos() / length.as_nanos();
        if self.parts.front().is_none_or(|p| p.number < number) {
            let part = Part {
                number,
                requests: 0,
                repeats: 0,
            };
            self.parts.push_front(part);
        }
        let oldest = number.saturating_sub(u128::from(PARTS));
        while self.parts.back().is_some_and(|p| p.number < oldest) {
            self.parts.pop_back();
        }
        &mut self.parts[0]
    }
}
