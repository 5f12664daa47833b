//! Simulated endpoint with slots, batching, a prefix cache, slowdown and failures.

use crate::site::SimRng;
use oatdale_policy::AttemptResult;
use std::collections::VecDeque;

/// Prompt prefixes that an engine's cache holds.
const CACHE_CAPACITY: usize = 24;

/// Fraction of the prefill time that remains if the prompt's prefix is cached.
const CACHED_PREFILL_FRACTION: f64 = 0.1;

/// Prompt tokens that are read per second.
const PREFILL_TOKENS_PER_S: f64 = 20_000.0;

/// Seconds per output token when the engine runs no other request.
const DECODE_S_PER_TOKEN: f64 = 0.02;

/// Fraction by which each further request in the batch lengthens a request's times.
const BATCH_SLOWDOWN: f64 = 0.03;

/// Seconds to the first byte for an empty prompt, before slowdown and jitter.
const OVERHEAD_S: f64 = 0.005;

/// Seconds until a failing attempt returns its error.
const FAILURE_DELAY_S: f64 = 0.05;

/// One attempt of a request, as submitted to an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Work {
    /// Index in `Sim::jobs`.
    pub(crate) job: usize,
    pub(crate) attempt: u16,
    /// Prompt tokens.
    pub(crate) input: u32,
    /// Output tokens.
    pub(crate) output: u32,
    pub(crate) prefix: u64,
}

/// Times and result of an attempt, which are settled when it starts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Started {
    pub(crate) work: Work,
    pub(crate) first_byte_at: f64,
    pub(crate) end: f64,
    pub(crate) result: AttemptResult,
}

/// State of one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    slots: usize,
    running: usize,
    queue: VecDeque<Work>,
    cache: VecDeque<u64>,
    /// Factor of all times.
    pub(crate) slowdown: f64,
    /// Share of attempts that fail.
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

    /// Returns the numbers of running and queued attempts.
    pub(crate) fn load(&self) -> (u32, u32) {
        (self.running as u32, self.queue.len() as u32)
    }

    /// Starts an attempt if a slot is free, and queues it otherwise.
    pub(crate) fn submit(&mut self, now: f64, work: Work, rng: &mut SimRng) -> Option<Started> {
        if self.running >= self.slots {
            self.queue.push_back(work);
            return None;
        }
        Some(self.start(now, work, rng))
    }

    /// Frees the slot of an ended attempt and starts the next queued one, if any.
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

    /// Returns whether the prefix is cached, and makes it the most recently used one.
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

/// Returns the seconds that a request takes on an endpoint with a full batch and without a cache.
pub(crate) fn full_batch_seconds(input: f64, output: f64, slots: u32) -> f64 {
    let batch_factor = 1.0 + BATCH_SLOWDOWN * (f64::from(slots) - 1.0);
    (OVERHEAD_S + input / PREFILL_TOKENS_PER_S + output * DECODE_S_PER_TOKEN) * batch_factor
}
