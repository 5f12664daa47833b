//! Rate of the requests to an endpoint that must not reject many of them, found by its rejections.
//!
//! Such an endpoint does not state how many requests it can take, and that changes with its queue. The
//! rate is therefore lowered when it rejects a request, and raised slowly until it does so again. An
//! endpoint that is never overloaded is not slowed down.

use std::time::Duration;

/// Factor by which the rate is lowered below the one at which the endpoint rejected a request.
const DECREASE: f64 = 0.8;

/// Growth of the rate per second after it was lowered from a known one: the endpoint is near its
/// capacity, and each rejection counts.
const CAREFUL_GROWTH: f64 = 1.1;

/// Time for which the rate grows so slowly; after that without a rejection, the capacity has changed.
const CAREFUL_TIME: Duration = Duration::from_secs(5);

/// Growth of the rate per second as long as the endpoint's capacity is not known.
const FAST_GROWTH: f64 = 2.0;

/// Pause after a rejection at an unknown rate, in which the endpoint's queue becomes shorter.
/// Rejections of requests sent before it are of the same overload and lower the rate once.
const FIRST_PAUSE: Duration = Duration::from_millis(400);

/// The same at a known rate, which the endpoint's queue exceeds by little.
const PAUSE: Duration = Duration::from_millis(200);

/// Lowest rate, in requests per second: only a response shows that the endpoint accepts them again.
const MIN_RATE: f64 = 1.0;

/// Rate of the requests to one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdaptiveRate {
    /// Requests allowed since the last rejection, and when that was or the first one was allowed.
    allowed: Option<(Duration, u32)>,
    lowered: Option<Lowered>,
    /// End of the last pause.
    paused_until: Duration,
}

/// A lowered rate.
#[derive(Clone, Copy, Debug)]
struct Lowered {
    /// When it begins to grow.
    at: Duration,
    per_second: f64,
    /// Whether the endpoint rejected a request at a rate that was limited already.
    is_near_capacity: bool,
}

impl AdaptiveRate {
    /// Records that a request may be sent to the endpoint.
    pub fn record_allowed(&mut self, now: Duration) {
        let (_, count) = self.allowed.get_or_insert((now, 0));
        *count = count.saturating_add(1);
    }

    /// Records that the endpoint rejected a request, and returns until when it is to get none; `None`
    /// if that is known already.
    pub fn record_rejection(&mut self, now: Duration) -> Option<Duration> {
        if now < self.paused_until {
            return None;
        }
        let limit = self.limit(now);
        let pause = match limit {
            Some(_) => PAUSE,
            None => FIRST_PAUSE,
        };
        let until = now + pause;
        let lowered = |per_second: f64, is_near_capacity| Lowered {
            at: until,
            per_second: per_second.max(MIN_RATE),
            is_near_capacity,
        };
        // Without own requests this node knows no rate: another one issues the permits.
        let allowed = self.allowed.filter(|(_, count)| *count > 0);
        self.lowered = match (limit, allowed) {
            (Some(limit), Some((since, count))) => {
                // Its requests may be far fewer than the limit.
                let active = now.saturating_sub(since + PAUSE).max(PAUSE);
                let rate = limit.min(f64::from(count) / active.as_secs_f64());
                Some(lowered(rate * DECREASE, true))
            }
            (None, Some((since, count))) if now >= since + FIRST_PAUSE => {
                let rate = f64::from(count) / (now - since).as_secs_f64();
                Some(lowered(rate, false))
            }
            _ => self.lowered,
        };
        self.allowed = Some((now, 0));
        self.paused_until = until;
        Some(until)
    }

    /// Returns the requests per second that the endpoint may get, if they are limited.
    pub fn limit(&self, now: Duration) -> Option<f64> {
        let lowered = self.lowered?;
        let elapsed = now.saturating_sub(lowered.at);
        let careful = match lowered.is_near_capacity {
            true => elapsed.min(CAREFUL_TIME),
            false => Duration::ZERO,
        };
        let fast = elapsed - careful;
        let growth =
            CAREFUL_GROWTH.powf(careful.as_secs_f64()) * FAST_GROWTH.powf(fast.as_secs_f64());
        Some(lowered.per_second * growth)
    }
}
