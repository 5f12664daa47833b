//! Continuous batching: each step gives every running request one token.

use crate::engine::Fault;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Tokens that a slow reader may be behind before the engine holds its request's next token back.
pub(crate) const READER_LAG: usize = 64;

/// How fast an engine works.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Speed {
    /// Requests that run at once.
    pub max_running: usize,
    /// Requests that may wait; beyond them the engine refuses.
    pub max_waiting: usize,
    /// Time of a step, beside what follows.
    pub step: Duration,
    /// Time that each running request adds to a step.
    pub step_per_request: Duration,
    /// Time that each token of prompt that is not in the cache adds to the step that reads it.
    pub prefill_per_token: Duration,
}

impl Default for Speed {
    fn default() -> Self {
        Speed {
            max_running: 16,
            max_waiting: 64,
            step: Duration::from_millis(10),
            step_per_request: Duration::from_millis(1),
            prefill_per_token: Duration::from_micros(50),
        }
    }
}

/// What a request's handler is told.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) enum Event {
    /// The next token.
    Token(String),
    /// The answer is whole.
    Done,
    /// The answer ends here as if it were whole.
    Cut,
    /// The connection breaks here.
    Break,
}

/// One request.
#[derive(Debug)]
pub(crate) struct Job {
    /// The caller's name for it.
    pub(crate) request: String,
    /// 0 goes first.
    pub(crate) priority: u8,
    /// Tokens of prompt that are not in the cache.
    pub(crate) prefill: u32,
    /// The answer that is still to come.
    pub(crate) answer: VecDeque<String>,
    /// What goes wrong with it.
    pub(crate) fault: Option<Fault>,
    /// Where its tokens go.
    pub(crate) tx: mpsc::Sender<Event>,
}

/// All requests of one engine.
#[derive(Debug)]
pub(crate) struct Batch {
    speed: Speed,
    slow: f64,
    running: Vec<Job>,
    waiting: BTreeMap<(u8, u64), Job>,
    arrivals: u64,
    loads: VecDeque<Sample>,
}

/// How much an engine had to do at one time.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct Sample {
    pub(crate) at: Instant,
    pub(crate) running: usize,
    pub(crate) waiting: usize,
    pub(crate) tokens: usize,
}

impl Batch {
    pub(crate) fn new(speed: Speed) -> Self {
        Batch {
            speed,
            slow: 1.0,
            running: Vec::new(),
            waiting: BTreeMap::new(),
            arrivals: 0,
            loads: VecDeque::new(),
        }
    }

    /// Makes every step take `factor` times as long.
    pub(crate) fn set_slow(&mut self, factor: f64) {
        self.slow = factor.max(0.0);
    }

    /// Takes a request, or gives it back when too many wait.
    pub(crate) fn push(&mut self, job: Job) -> Result<(), Job> {
        self.drop_cancelled();
        if self.waiting.len() >= self.speed.max_waiting && !self.has_room() {
            return Err(job);
        }
        self.arrivals += 1;
        self.waiting.insert((job.priority, self.arrivals), job);
        self.sample();
        Ok(())
    }

    /// Drops a request by name; says whether there was one.
    pub(crate) fn cancel(&mut self, request: &str) -> bool {
        let before = self.running.len() + self.waiting.len();
        self.running.retain(|j| j.request != request);
        self.waiting.retain(|_, j| j.request != request);
        self.sample();
        self.running.len() + self.waiting.len() < before
    }

    /// Starts waiting requests and returns the time of the next step; `None` without work.
    pub(crate) fn begin_step(&mut self) -> Option<Duration> {
        self.drop_cancelled();
        let mut prefill = 0;
        while self.has_room() {
            let Some((_, job)) = self.waiting.pop_first() else {
                break;
            };
            prefill += job.prefill;
            self.running.push(job);
        }
        self.sample();
        let busy = self.running.iter().filter(|j| !j.hangs()).count();
        if busy == 0 {
            return None;
        }
        let batch = self.speed.step_per_request * u32::try_from(busy).unwrap_or(u32::MAX);
        let step = self.speed.step + batch + self.speed.prefill_per_token * prefill;
        Some(step.mul_f64(self.slow))
    }

    /// Gives every running request its next token.
    pub(crate) fn end_step(&mut self) {
        self.running.retain_mut(Job::step);
        self.sample();
    }

    /// The newest load that is at least `lag` old, or else the oldest known.
    pub(crate) fn load(&mut self, lag: Duration) -> Sample {
        self.drop_cancelled();
        self.sample();
        let now = Instant::now();
        while self.loads.get(1).is_some_and(|s| now - s.at >= lag) {
            self.loads.pop_front();
        }
        self.loads[0]
    }

    /// The load at this moment.
    pub(crate) fn load_now(&mut self) -> Sample {
        self.drop_cancelled();
        self.now()
    }

    fn has_room(&self) -> bool {
        self.running.len() < self.speed.max_running
    }

    fn drop_cancelled(&mut self) {
        self.running.retain(|j| !j.tx.is_closed());
        self.waiting.retain(|_, j| !j.tx.is_closed());
    }

    fn now(&self) -> Sample {
        Sample {
            at: Instant::now(),
            running: self.running.len(),
            waiting: self.waiting.len(),
            tokens: self.running.iter().map(|j| j.answer.len()).sum(),
        }
    }

    fn sample(&mut self) {
        const KEPT: usize = 100_000;
        let sample = self.now();
        match self.loads.back_mut() {
            Some(last) if last.at == sample.at => *last = sample,
            _ => self.loads.push_back(sample),
        }
        if self.loads.len() > KEPT {
            self.loads.pop_front();
        }
    }
}

impl Job {
    fn hangs(&self) -> bool {
        self.fault == Some(Fault::Hang)
    }

    /// Sends the next token; `false` when the request is over.
    fn step(&mut self) -> bool {
        if self.hangs() || self.tx.capacity() == 0 {
            return !self.tx.is_closed();
        }
        let near_end = self.answer.len() <= 1;
        match (self.fault, self.answer.pop_front()) {
            (Some(Fault::Cut), _) if near_end => self.end(Event::Cut),
            (Some(Fault::Break), _) if near_end => self.end(Event::Break),
            (_, None) => self.end(Event::Done),
            (_, Some(token)) => self.tx.try_send(Event::Token(token)).is_ok(),
        }
    }

    fn end(&self, last: Event) -> bool {
        self.tx.try_send(last).ok();
        false
    }
}
