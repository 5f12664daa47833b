//! Rate limits, faults and the counts of both.

use crate::kv::{Kind, no_answer};
use oatdale_platform::{KvError, Result};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Calls a second that the service takes; calls above get [`KvError::Throttled`].
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Limits {
    /// Writes and lease calls.
    pub writes: f64,
    /// Reads, lists and watches.
    pub reads: f64,
}

/// What any call may meet; shares are from 0 to 1.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Faults {
    /// No call has an effect, and all fail at once.
    pub outage: bool,
    /// Every answer comes this much later.
    pub slow: Duration,
    /// The share of writes that take effect while their answer is lost.
    pub lost_answers: f64,
    /// The share of writes that are lost on their way, which looks the same to the client.
    pub lost_requests: f64,
    /// Every call takes effect after a time drawn from 0 to this.
    pub delay: Duration,
}

/// A fault for one write.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Fault {
    /// None; lets a write pass in a script.
    Pass,
    /// The service says that it is not available.
    Refused,
    /// The write takes effect and its answer is lost.
    LostAnswer,
    /// The write is lost on its way.
    LostRequest,
    /// The write takes effect later.
    Delay(Duration),
}

/// Calls that were made and faults that they really met.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Counters {
    /// Reads and lists.
    pub reads: u64,
    /// Watches; each counts as one call however long it waits.
    pub watches: u64,
    /// Puts and deletes.
    pub writes: u64,
    /// Bytes of values in puts, whether they took effect or not.
    pub bytes: u64,
    /// Grants, renewals and revocations.
    pub leases: u64,
    /// Calls refused by the rate limits.
    pub throttled: u64,
    /// Calls that met an outage.
    pub outages: u64,
    /// Calls that met a cut.
    pub cuts: u64,
    /// Writes that took effect while their answer was lost.
    pub lost_answers: u64,
    /// Writes that were lost on their way.
    pub lost_requests: u64,
    /// Calls that took effect late.
    pub delayed: u64,
    /// Leases that ran out.
    pub lapsed: u64,
}

impl Counters {
    /// All calls, as the service counts them.
    pub fn calls(&self) -> u64 {
        self.reads + self.watches + self.writes + self.leases
    }

    /// All faults that happened.
    pub fn faults(&self) -> u64 {
        self.outages + self.cuts + self.lost_answers + self.lost_requests + self.throttled
    }
}

/// What will happen to one call.
pub(crate) struct Fate {
    pub(crate) before: Duration,
    pub(crate) after: Duration,
    pub(crate) lost_answer: bool,
}

/// A token bucket that holds a tenth of a second's calls.
struct Bucket {
    rate: f64,
    tokens: f64,
    at: Instant,
}

pub(crate) struct Plan {
    pub(crate) faults: Faults,
    pub(crate) counters: Counters,
    pub(crate) cut: HashSet<String>,
    pub(crate) paused: HashSet<String>,
    scripts: HashMap<String, VecDeque<Fault>>,
    rng: Pcg64Mcg,
    writes: Option<Bucket>,
    reads: Option<Bucket>,
}

impl Plan {
    pub(crate) fn new(seed: u64) -> Self {
        Plan {
            faults: Faults::default(),
            counters: Counters::default(),
            cut: HashSet::new(),
            paused: HashSet::new(),
            scripts: HashMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            writes: None,
            reads: None,
        }
    }

    pub(crate) fn set_limits(&mut self, limits: Limits, now: Instant) {
        self.writes = Some(Bucket::new(limits.writes, now));
        self.reads = Some(Bucket::new(limits.reads, now));
    }

    pub(crate) fn script(&mut self, client: &str, faults: impl IntoIterator<Item = Fault>) {
        let queue = self.scripts.entry(client.to_owned()).or_default();
        queue.extend(faults);
    }

    /// Counts a call and decides what happens to it.
    pub(crate) fn admit(&mut self, client: &str, kind: Kind, now: Instant) -> Result<Fate> {
        let (count, bucket) = match kind {
            Kind::Read => (&mut self.counters.reads, &mut self.reads),
            Kind::Watch => (&mut self.counters.watches, &mut self.reads),
            Kind::Write => (&mut self.counters.writes, &mut self.writes),
            Kind::Lease => (&mut self.counters.leases, &mut self.writes),
        };
        *count += 1;
        if let Err(wait) = bucket.as_mut().map_or(Ok(()), |b| b.take(now)) {
            self.counters.throttled += 1;
            return Err(KvError::Throttled { retry_after: wait });
        }
        if self.cut.contains(client) {
            self.counters.cuts += 1;
            return unavailable("cut off");
        }
        if self.faults.outage {
            self.counters.outages += 1;
            return unavailable("outage");
        }
        match kind {
            Kind::Read | Kind::Watch => Ok(self.fate(Fault::Pass)),
            Kind::Write | Kind::Lease => self.write_fate(client),
        }
    }

    /// Fails a call that an outage or a cut overtook on its way.
    pub(crate) fn arrive(&mut self, client: &str, kind: Kind) -> Result<()> {
        if self.cut.contains(client) {
            self.counters.cuts += 1;
            return Err(no_answer(kind, "cut off on the way"));
        }
        if self.faults.outage {
            self.counters.outages += 1;
            return Err(no_answer(kind, "outage on the way"));
        }
        Ok(())
    }

    /// Fails a call whose effect stands while its answer is lost.
    pub(crate) fn answer(&mut self, client: &str, kind: Kind, lost: bool) -> Result<()> {
        if lost || self.cut.contains(client) {
            self.counters.lost_answers += 1;
            return Err(no_answer(kind, "answer lost"));
        }
        Ok(())
    }

    fn write_fate(&mut self, client: &str) -> Result<Fate> {
        let scripted = self.scripts.get_mut(client).and_then(VecDeque::pop_front);
        let fault = match scripted {
            Some(fault) => fault,
            None => self.draw(),
        };
        match fault {
            Fault::Refused => {
                self.counters.outages += 1;
                unavailable("refused")
            }
            Fault::LostRequest => {
                self.counters.lost_requests += 1;
                Err(no_answer(Kind::Write, "request lost"))
            }
            fault => Ok(self.fate(fault)),
        }
    }

    fn draw(&mut self) -> Fault {
        let draw: f64 = self.rng.random();
        let lost = self.faults.lost_answers;
        match draw {
            draw if draw < lost => Fault::LostAnswer,
            draw if draw < lost + self.faults.lost_requests => Fault::LostRequest,
            _ => Fault::Pass,
        }
    }

    fn fate(&mut self, fault: Fault) -> Fate {
        let drawn = self.faults.delay.mul_f64(self.rng.random());
        let before = match fault {
            Fault::Delay(delay) => delay,
            _ => drawn,
        };
        self.counters.delayed += u64::from(!before.is_zero());
        Fate {
            before,
            after: self.faults.slow,
            lost_answer: fault == Fault::LostAnswer,
        }
    }
}

impl Bucket {
    /// The bucket's depth, in seconds of its rate.
    const DEPTH: f64 = 0.1;

    fn new(rate: f64, now: Instant) -> Self {
        let tokens = (rate * Self::DEPTH).max(1.0);
        Bucket {
            rate,
            tokens,
            at: now,
        }
    }

    /// Takes one token, or says when there will be one.
    fn take(&mut self, now: Instant) -> Result<(), Duration> {
        let depth = (self.rate * Self::DEPTH).max(1.0);
        let refill = now.duration_since(self.at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + refill).min(depth);
        self.at = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / self.rate))
    }
}

fn unavailable<T>(message: &str) -> Result<T> {
    Err(KvError::Unavailable {
        message: message.to_owned(),
    })
}
