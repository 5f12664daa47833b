//! Limit on the requests that a node sends once more, as a retry or to a larger model.

use std::collections::VecDeque;
use std::time::Duration;

/// Slots of the window that are counted separately. The oldest slot counts in full for the retries
/// and not at all for the requests, which leaves a twentieth of the limit unused.
const WINDOW_SLOTS: u32 = 20;

/// Limit that operators configure: in any span of `window`, at most `ratio` times as many retries
/// for a service as it has requests, plus `slack`.
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
        let requests = self.requests_in_window(now, retry_limit);
        let retries: u32 = self.slots.iter().map(|s| s.retries).sum();
        let limit = f64::from(requests) * retry_limit.ratio + retry_limit.slack;
        let is_allowed = f64::from(retries) + 1.0 <= limit * (1.0 - reserved_share);
        self.slots[0].retries += u32::from(is_allowed);
        is_allowed
    }

    /// Returns the number of requests a second over the window, or over the time since the clock
    /// started if that is shorter.
    pub fn requests_per_second(&mut self, now: Duration, retry_limit: &RetryLimit) -> f64 {
        let time = now.min(retry_limit.window).max(Duration::from_secs(1));
        f64::from(self.requests_in_window(now, retry_limit)) / time.as_secs_f64()
    }

    fn requests_in_window(&mut self, now: Duration, retry_limit: &RetryLimit) -> u32 {
        let newest = self.current_slot(now, retry_limit).index;
        let in_window = self.slots.iter();
        let in_window = in_window.take_while(|s| s.index + u128::from(WINDOW_SLOTS) > newest);
        in_window.map(|s| s.requests).sum()
    }

    /// Returns the current slot; drops the slots that have left the window.
    fn current_slot(&mut self, now: Duration, retry_limit: &RetryLimit) -> &mut Slot {
        let slot_length = (retry_limit.window / WINDOW_SLOTS).max(Duration::from_millis(1));
        let index = now.as_nanos() / slot_length.as_nanos();
        if self.slots.front().is_none_or(|s| s.index < index) {
            let slot = Slot {
                index,
                requests: 0,
                retries: 0,
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
