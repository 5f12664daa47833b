//! Number of requests that an endpoint may hold at once if it must not reject many.
//!
//! Such an endpoint states how many rejections in a second it bears, but not how many requests it has
//! room for, and that changes. A rate says nothing of it: when the endpoint slows down or accepts fewer
//! requests, those that it holds fill it. So the requests that it holds are limited, to those that it
//! runs at once if their number is known. The limit is lowered when it rejects a request, and raised
//! slowly until it does so again.

use std::collections::VecDeque;
use std::time::Duration;

/// Factor by which the limit is lowered below the requests in flight at the first rejection in
/// [`REJECTION_WINDOW`].
const FIRST_DECREASE: f64 = 0.8;

/// The same at further rejections: the endpoint's room has become much smaller.
const FURTHER_DECREASE: f64 = 0.5;

/// Window in which an endpoint counts its rejections, with a margin for the time that requests take to
/// it.
const REJECTION_WINDOW: Duration = Duration::from_millis(1_100);

/// Time after which a request that has not been rejected counts as accepted: endpoints reject requests
/// at once.
const CONFIRMATION_TIME: Duration = Duration::from_millis(150);

/// Range around the limit at which the endpoint last rejected a request, relative to it, in which the
/// limit grows carefully. Beyond it, the room has changed.
const CAREFUL_RANGE: std::ops::Range<f64> = 0.85..1.15;

/// Growth in that range right after the rejection, in places per second, for each rejection in a second
/// that the endpoint bears.
const CAREFUL_GROWTH: f64 = 0.05;

/// Time after which that growth has doubled; it rises with the square of the time.
const CAREFUL_TIME: Duration = Duration::from_secs(2);

/// Time in which the limit doubles beyond the range.
const DOUBLING_TIME: Duration = Duration::from_secs(1);

/// The same below the range, and before the first rejection.
const START_DOUBLING_TIME: Duration = Duration::from_millis(250);

/// Longest time between two requests that counts for the growth: an endpoint that gets none shows
/// nothing of its room.
const MAX_GROWTH_STEP: Duration = Duration::from_millis(250);

/// Window over which the rate of the granted requests is counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Minimum time over which it is counted.
const MIN_RATE_TIME: Duration = Duration::from_millis(100);

/// Maximum number of granted requests, and of rejected ones, that are remembered.
const MAX_REMEMBERED: usize = 1_000;

/// What is known of an endpoint's room without rejections.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct RoomBounds {
    /// Rejections in a second that the endpoint bears, as it states.
    pub max_rejections: u32,
    /// Requests that the endpoint runs at once; 0 if unknown.
    pub slots: u32,
    /// Share of the room that the issuer may use.
    pub share: f64,
}

/// Limit on the requests that one endpoint holds.
#[derive(Clone, Debug, Default)]
pub struct AdaptiveRoom {
    limit: Option<Limit>,
    lowered: Option<Lowered>,
    /// Rejections within [`REJECTION_WINDOW`], oldest first.
    rejected_at: VecDeque<Duration>,
    /// Requests granted within [`RATE_WINDOW`], oldest first.
    granted_at: VecDeque<Duration>,
    first_granted_at: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
struct Limit {
    places: f64,
    updated_at: Duration,
}

/// The last lowering.
#[derive(Clone, Copy, Debug)]
struct Lowered {
    at: Duration,
    /// The limit before.
    from: f64,
}

impl RoomBounds {
    /// Requests that the endpoint can certainly be sent at once, since it bears to reject all of them.
    fn start(&self) -> f64 {
        f64::from(self.max_rejections.max(1))
    }

    /// Limit that is never exceeded: an endpoint that lets fewer requests wait than before then rejects
    /// none.
    fn ceiling(&self) -> f64 {
        match self.slots {
            0 => f64::INFINITY,
            slots => f64::from(slots),
        }
    }
}

impl AdaptiveRoom {
    /// Whether the endpoint may get a request now, while it holds `in_flight` ones.
    pub fn accepts(&mut self, now: Duration, in_flight: u32, bounds: &RoomBounds) -> bool {
        self.forget_old(now);
        let places = self.grow(now, in_flight, bounds);
        if f64::from(in_flight) + 1.0 > (places * bounds.share).max(1.0) {
            return false;
        }
        let rejected = self.rejected_at.len();
        let max_rejections = bounds.max_rejections as usize;
        if rejected * 2 <= max_rejections {
            return true;
        }
        // All requests that may still be rejected are counted as if they were.
        let is_unconfirmed = |at: &&Duration| now < **at + CONFIRMATION_TIME;
        let unconfirmed = self.granted_at.iter().rev().take_while(is_unconfirmed);
        let is_accepted = rejected + unconfirmed.count() < max_rejections;
        if !is_accepted && let Some(limit) = &mut self.limit {
            // All those that are refused meanwhile would otherwise be sent at once afterwards.
            limit.places = limit.places.min(f64::from(in_flight) + bounds.start());
        }
        is_accepted
    }

    /// Records that a request may be sent to the endpoint.
    pub fn record_granted(&mut self, now: Duration) {
        if self.granted_at.len() == MAX_REMEMBERED {
            self.granted_at.pop_front();
        }
        self.granted_at.push_back(now);
        self.first_granted_at.get_or_insert(now);
    }

    /// Records that the endpoint, while it held `in_flight` requests, rejected one that was sent at
    /// `sent_at`, and returns the new limit. If it was sent before the limit was last lowered, it only
    /// shows that there was one request more without room.
    pub fn record_rejection(&mut self, now: Duration, sent_at: Duration, in_flight: u32) -> f64 {
        self.forget_old(now);
        if self.rejected_at.len() < MAX_REMEMBERED {
            self.rejected_at.push_back(now);
        }
        let places = self.limit.map_or(f64::INFINITY, |l| l.places);
        let from = places.min(in_flight.max(1).into());
        let (places, from) = match self.lowered {
            Some(lowered) if sent_at < lowered.at => (places - 1.0, lowered.from - 1.0),
            _ if self.rejected_at.len() == 1 => (from * FIRST_DECREASE, from),
            _ => (from * FURTHER_DECREASE, from),
        };
        let at = match self.lowered {
            Some(lowered) if sent_at < lowered.at => lowered.at,
            _ => now,
        };
        let (places, from) = (places.max(1.0), from.max(1.0));
        self.limit = Some(Limit {
            places,
            updated_at: now,
        });
        self.lowered = Some(Lowered { at, from });
        places
    }

    /// Returns the rate of the granted requests. With the room in use, it is the rate at which places
    /// become free.
    pub fn granted_per_second(&mut self, now: Duration) -> f64 {
        self.forget_old(now);
        let known_for = self.first_granted_at.map(|at| now.saturating_sub(at));
        let time = known_for.map_or(RATE_WINDOW, |time| time.clamp(MIN_RATE_TIME, RATE_WINDOW));
        self.granted_at.len().max(1) as f64 / time.as_secs_f64()
    }

    fn grow(&mut self, now: Duration, in_flight: u32, bounds: &RoomBounds) -> f64 {
        let ceiling = bounds.ceiling();
        let Some(limit) = &mut self.limit else {
            // What the endpoint holds already has been accepted.
            let places = bounds.start().max(in_flight.into()).min(ceiling);
            self.limit = Some(Limit {
                places,
                updated_at: now,
            });
            return places;
        };
        let elapsed = now
            .saturating_sub(limit.updated_at)
            .min(MAX_GROWTH_STEP)
            .as_secs_f64();
        limit.updated_at = now;
        let is_in_use = f64::from(in_flight) * 2.0 >= limit.places * bounds.share;
        let doubled = |time: Duration| 2f64.powf(elapsed / time.as_secs_f64());
        match self.lowered {
            _ if !is_in_use => {}
            None => limit.places *= doubled(START_DOUBLING_TIME),
            Some(lowered) if CAREFUL_RANGE.contains(&(limit.places / lowered.from)) => {
                let time = now.saturating_sub(lowered.at);
                let time = time.as_secs_f64() / CAREFUL_TIME.as_secs_f64();
                let growth = CAREFUL_GROWTH * bounds.start() * (1.0 + time * time);
                limit.places += growth * elapsed;
            }
            Some(lowered) if limit.places < lowered.from => {
                limit.places *= doubled(START_DOUBLING_TIME);
            }
            Some(_) => limit.places *= doubled(DOUBLING_TIME),
        }
        limit.places = limit.places.min(ceiling);
        limit.places
    }

    fn forget_old(&mut self, now: Duration) {
        let drop_before = |times: &mut VecDeque<Duration>, window| {
            while times.front().is_some_and(|at| *at + window <= now) {
                times.pop_front();
            }
        };
        drop_before(&mut self.rejected_at, REJECTION_WINDOW);
        drop_before(&mut self.granted_at, RATE_WINDOW);
    }
}
