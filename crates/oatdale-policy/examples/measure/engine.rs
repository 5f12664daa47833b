//! Stand-in for an endpoint: slots, batching, a prefix cache, slowness and failures.

use crate::world::SimRng;
use oatdale_policy::AttemptResult;
use std::collections::VecDeque;

/// Prefixes that an engine's cache holds.
const CACHE_CAPACITY: usize = 24;

/// What a cached prefix leaves of the time to read the prompt.
const CACHED_PREFILL_FRACTION: f64 = 0.1;

/// Tokens of prompt read in a second.
const PREFILL_TOKENS_PER_S: f64 = 20_000.0;

/// Seconds for one token of an answer when the engine runs nothing else.
const DECODE_S_PER_TOKEN: f64 = 0.02;

/// What each further request in the batch adds to a token's time.
const BATCH_SLOWDOWN: f64 = 0.03;

/// The least time to the first byte.
const OVERHEAD_S: f64 = 0.005;

/// Seconds until a failing endpoint's error comes.
const FAILURE_DELAY_S: f64 = 0.05;

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
    pub(crate) first_byte_at: f64,
    pub(crate) end: f64,
    pub(crate) result: AttemptResult,
}

/// One endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    slots: usize,
    running: usize,
    queue: VecDeque<Work>,
    cache: VecDeque<u64>,
    /// All times are multiplied by this.
    pub(crate) slowdown: f64,
    /// The share of attempts that fail.
    pub(crate) failure_rate: f64,
    pub(crate) cache_hits: u64,
    pub(crate) cache_lookups: u64,
}

impl Engine {
    pub(crate) fn new(slots: u32) -> Self {
        Engine {
            slots: slots as usize,
            running: 0,
            queue: VecDeque::new(),
            cache: VecDeque::new(),
            slowdown: 1.0,
            failure_rate: 0.0,
            cache_hits: 0,
            cache_lookups: 0,
        }
    }

    pub(crate) fn load(&self) -> (u32, u32) {
        (self.running as u32, self.queue.len() as u32)
    }

    /// Takes work in; it starts now if a slot is free.
    pub(crate) fn submit(&mut self, now: f64, work: Work, rng: &mut SimRng) -> Option<Started> {
        if self.running >= self.slots {
            self.queue.push_back(work);
            return None;
        }
        Some(self.start(now, work, rng))
    }

    /// Notes that work ended; the next may start.
    pub(crate) fn end(&mut self, now: f64, rng: &mut SimRng) -> Option<Started> {
        self.running -= 1;
        let next = self.queue.pop_front()?;
        Some(self.start(now, next, rng))
    }

    fn start(&mut self, now: f64, work: Work, rng: &mut SimRng) -> Started {
        self.running += 1;
        if rng.uniform() < self.failure_rate {
            let end = now + FAILURE_DELAY_S;
            return Started {
                work,
                first_byte_at: end,
                end,
                result: AttemptResult::Broken,
            };
        }
        let cached = work.input > 0 && self.lookup_cache(work.prefix);
        let batch_factor = 1.0 + BATCH_SLOWDOWN * (self.running as f64 - 1.0);
        let prefill_fraction = if cached { CACHED_PREFILL_FRACTION } else { 1.0 };
        let prefill = f64::from(work.input) / PREFILL_TOKENS_PER_S * prefill_fraction;
        let jitter = 0.9 + 0.2 * rng.uniform();
        let first_byte_delay = (OVERHEAD_S + prefill) * batch_factor * self.slowdown * jitter;
        let decode =
            f64::from(work.output) * DECODE_S_PER_TOKEN * batch_factor * self.slowdown * jitter;
        Started {
            work,
            first_byte_at: now + first_byte_delay,
            end: now + first_byte_delay + decode,
            result: AttemptResult::Complete {
                rating: None,
                output_tokens: work.output,
            },
        }
    }

    fn lookup_cache(&mut self, prefix: u64) -> bool {
        self.cache_lookups += 1;
        let index = self.cache.iter().position(|&p| p == prefix);
        if let Some(index) = index {
            self.cache.remove(index);
            self.cache_hits += 1;
        } else if self.cache.len() == CACHE_CAPACITY {
            self.cache.pop_front();
        }
        self.cache.push_back(prefix);
        index.is_some()
    }
}

/// The seconds that work takes on an endpoint that runs a full batch, without a cache.
pub(crate) fn full_batch_seconds(input: f64, output: f64, slots: u32) -> f64 {
    let batch_factor = 1.0 + BATCH_SLOWDOWN * (f64::from(slots) - 1.0);
    (OVERHEAD_S + input / PREFILL_TOKENS_PER_S + output * DECODE_S_PER_TOKEN) * batch_factor
}
