//! Stand-in for an endpoint: slots, batching, a prefix cache, slowness and failures.

use crate::world::Draw;
use oatdale_policy::AttemptResult;
use std::collections::VecDeque;

/// Prefixes that an engine's cache holds.
const CACHED: usize = 24;

/// What a cached prefix leaves of the time to read the prompt.
const CACHE_LEAVES: f64 = 0.1;

/// Tokens of prompt read in a second.
const READ: f64 = 20_000.0;

/// Seconds for one token of an answer when the engine runs nothing else.
const TOKEN: f64 = 0.02;

/// What each further request in the batch adds to a token's time.
const BATCHING: f64 = 0.03;

/// The least time to the first byte.
const OVERHEAD: f64 = 0.005;

/// Seconds until a failing endpoint's error comes.
const FAILS_AFTER: f64 = 0.05;

/// Work for an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Work {
    pub(crate) job: usize,
    pub(crate) attempt: u16,
    pub(crate) input: u32,
    pub(crate) output: u32,
    pub(crate) prefix: u64,
}

/// When and how work that starts now will end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Started {
    pub(crate) work: Work,
    pub(crate) first_byte: f64,
    pub(crate) end: f64,
    pub(crate) result: AttemptResult,
}

/// One endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    slots: usize,
    running: usize,
    waiting: VecDeque<Work>,
    cache: VecDeque<u64>,
    /// All times are multiplied by this.
    pub(crate) slowness: f64,
    /// The share of attempts that fail.
    pub(crate) failing: f64,
    pub(crate) hits: u64,
    pub(crate) lookups: u64,
}

impl Engine {
    pub(crate) fn new(slots: u32) -> Self {
        Engine {
            slots: slots as usize,
            running: 0,
            waiting: VecDeque::new(),
            cache: VecDeque::new(),
            slowness: 1.0,
            failing: 0.0,
            hits: 0,
            lookups: 0,
        }
    }

    pub(crate) fn load(&self) -> (u32, u32) {
        (self.running as u32, self.waiting.len() as u32)
    }

    /// Takes work in; it starts now if a slot is free.
    pub(crate) fn submit(&mut self, now: f64, work: Work, draw: &mut Draw) -> Option<Started> {
        if self.running >= self.slots {
            self.waiting.push_back(work);
            return None;
        }
        Some(self.start(now, work, draw))
    }

    /// Notes that work ended; the next may start.
    pub(crate) fn end(&mut self, now: f64, draw: &mut Draw) -> Option<Started> {
        self.running -= 1;
        let next = self.waiting.pop_front()?;
        Some(self.start(now, next, draw))
    }

    fn start(&mut self, now: f64, work: Work, draw: &mut Draw) -> Started {
        self.running += 1;
        if draw.unit() < self.failing {
            let end = now + FAILS_AFTER;
            return Started {
                work,
                first_byte: end,
                end,
                result: AttemptResult::Broken,
            };
        }
        let cached = work.input > 0 && self.look_up(work.prefix);
        let crowding = 1.0 + BATCHING * (self.running as f64 - 1.0);
        let leaves = if cached { CACHE_LEAVES } else { 1.0 };
        let read = f64::from(work.input) / READ * leaves;
        let jitter = 0.9 + 0.2 * draw.unit();
        let first = (OVERHEAD + read) * crowding * self.slowness * jitter;
        let rest = f64::from(work.output) * TOKEN * crowding * self.slowness * jitter;
        Started {
            work,
            first_byte: now + first,
            end: now + first + rest,
            result: AttemptResult::Complete {
                rating: None,
                output_tokens: work.output,
            },
        }
    }

    fn look_up(&mut self, prefix: u64) -> bool {
        self.lookups += 1;
        let at = self.cache.iter().position(|&p| p == prefix);
        if let Some(at) = at {
            self.cache.remove(at);
            self.hits += 1;
        } else if self.cache.len() == CACHED {
            self.cache.pop_front();
        }
        self.cache.push_back(prefix);
        at.is_some()
    }
}

/// The seconds that work takes on an endpoint that runs a full batch, without a cache.
pub(crate) fn full_time(input: f64, output: f64, slots: u32) -> f64 {
    let crowding = 1.0 + BATCHING * (f64::from(slots) - 1.0);
    (OVERHEAD + input / READ + output * TOKEN) * crowding
}
