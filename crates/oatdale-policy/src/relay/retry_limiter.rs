//! Limit on the requests that a node sends once more, as a retry or to a larger model.

use std::collections::VecDeque;
use std::time::Duration;

/// Slots of the window that are counted separately. The slots at its ends count in full for the
/// retries and not at all for the requests, which leaves about a tenth of the limit unused.
const WINDOW_SLOTS: usize = 20;

/// Half of the window, in slots.
const HALF_WINDOW_SLOTS: usize = WINDOW_SLOTS / 2;

/// Slots that are kept: those of the window and of the one that begins half a window earlier.
const KEPT_SLOTS: usize = WINDOW_SLOTS + HALF_WINDOW_SLOTS + 1;

/// Limit that operators configure: in any span of `window`, at most `ratio` times as many retries
/// for a service as it has requests in that span or in the one half a span earlier, whichever has
/// more, plus `slack`.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct RetryLimit {
    /// Length of the span.
    pub window: Duration,
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond that ratio.
    pub slack: f64,
}

/// Requests and retries of one service at one node.
///
/// When a burst ends, its last requests are still being retried while few new ones arrive. The span
/// that begins half a window earlier lets the requests of the burst allow these retries; otherwise
/// the requests after the burst would find the limit used up.
///
/// Without a limit, endpoints that fail because they are overloaded would get each request several
/// times, which keeps them overloaded after the cause has gone. The limit applies to a window, as
/// operators state it: requests of a few seconds ago allow retries just as current ones do. With a
/// token bucket that holds only the node's part of the slack, nodes with a few requests a second
/// would run out of it whenever two or three low-confidence answers came in a row, while the site
/// is far below the limit.
#[derive(Clone, Debug, Default)]
pub struct RetryLimiter {
    /// Newest first.
    slots: VecDeque<Slot>,
}

/// Sums over the newest slots: the entry at `n` is the sum over the `n` newest ones.
#[derive(Clone, Copy, Debug)]
struct Sums {
    requests: [u32; KEPT_SLOTS + 1],
    retries: [u32; KEPT_SLOTS + 1],
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    /// Number of the slot, counted from the start of the clock.
    index: u128,
    requests: u32,
    retries: u32,
}

impl RetryLimiter {
    /// Records a request from a caller.
    pub fn record_request(&mut self, now: Duration, retry_limit: &RetryLimit) {
        self.current_slot(now, retry_limit).requests += 1;
    }

    /// Records a retry and returns `true` if the limit allows it with `reserved_share` of it left.
    ///
    /// Retries that can be deferred reserve a share of the limit for those that cannot.
    pub fn try_retry(
        &mut self,
        now: Duration,
        retry_limit: &RetryLimit,
        reserved_share: f64,
    ) -> bool {
        let sums = self.sums(now, retry_limit);
        let is_allowed = (0..=WINDOW_SLOTS).all(|age| {
            let requests = f64::from(sums.requests_around(age));
            let limit = requests * retry_limit.ratio + retry_limit.slack;
            let retries = f64::from(sums.retries[age + 1]);
            retries + 1.0 <= limit * (1.0 - reserved_share)
        });
        self.slots[0].retries += u32::from(is_allowed);
        is_allowed
    }

    /// Returns the number of requests a second over the window, or over the time since the clock
    /// started if that is shorter.
    pub fn requests_per_second(&mut self, now: Duration, retry_limit: &RetryLimit) -> f64 {
        let time = now.min(retry_limit.window).max(Duration::from_secs(1));
        let requests = self.sums(now, retry_limit).requests[WINDOW_SLOTS];
        f64::from(requests) / time.as_secs_f64()
    }

    fn sums(&mut self, now: Duration, retry_limit: &RetryLimit) -> Sums {
        let newest = self.current_slot(now, retry_limit).index;
        let mut sums = Sums {
            requests: [0; KEPT_SLOTS + 1],
            retries: [0; KEPT_SLOTS + 1],
        };
        for slot in &self.slots {
            let age = usize::try_from(newest - slot.index).unwrap_or(usize::MAX);
            if age < KEPT_SLOTS {
                sums.requests[age + 1] = slot.requests;
                sums.retries[age + 1] = slot.retries;
            }
        }
        for n in 1..=KEPT_SLOTS {
            sums.requests[n] += sums.requests[n - 1];
            sums.retries[n] += sums.retries[n - 1];
        }
        sums
    }

    /// Returns the current slot; drops the slots that have left the window.
    fn current_slot(&mut self, now: Duration, retry_limit: &RetryLimit) -> &mut Slot {
        let slot_length = retry_limit.window / WINDOW_SLOTS as u32;
        let slot_length = slot_length.max(Duration::from_millis(1));
        let index = now.as_nanos() / slot_length.as_nanos();
        if self.slots.front().is_none_or(|s| s.index < index) {
            let slot = Slot {
                index,
                requests: 0,
                retries: 0,
            };
            self.slots.push_front(slot);
        }
        let oldest = index.saturating_sub(KEPT_SLOTS as u128 - 1);
        while self.slots.back().is_some_and(|s| s.index < oldest) {
            self.slots.pop_back();
        }
        &mut self.slots[0]
    }
}

impl Sums {
    /// Returns the requests that allow retries in a window that begins in the slot of this age: those
    /// of the window so far or, if more, of the one that begins half a window earlier.
    fn requests_around(&self, age: usize) -> u32 {
        let earlier_from = self.requests[age + HALF_WINDOW_SLOTS];
        let earlier_until = self.requests[(age + 1).saturating_sub(HALF_WINDOW_SLOTS)];
        self.requests[age].max(earlier_from - earlier_until)
    }
}
