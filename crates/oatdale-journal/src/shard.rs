//! One shard's part of the duty: it gathers jobs into batches, one append under way.

use crate::duty::{Preferred, Settings, WallClock};
use crate::error::{JournalError, RETRY_AFTER, Result};
use crate::job::{Job, Verdict};
use crate::log::{Append, Log};
use crate::record::Record;
use log::{debug, warn};
use oatdale_platform::Kv;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};

/// A segment's records hold at most this many bytes.
const MAX_SEGMENT: usize = 256_000;

/// How far the journal's clock may be ahead of this host's, in milliseconds, before a log line
/// says so.
const MAX_SKEW: u64 = 60_000;

pub(crate) struct Shard<K> {
    log: Log<K>,
    rx: mpsc::Receiver<Job>,
    jobs: Vec<Job>,
    settings: Settings,
    clock: WallClock,
    preferred: watch::Receiver<Preferred>,
    rng: Pcg64Mcg,
    /// The next append may start then.
    next_append: Instant,
    /// Until then the service is taken to be down, and jobs are refused at once.
    down_until: Instant,
    open: bool,
}

impl<K: Kv> Shard<K> {
    pub(crate) fn new(
        log: Log<K>,
        rx: mpsc::Receiver<Job>,
        settings: Settings,
        clock: WallClock,
        preferred: watch::Receiver<Preferred>,
    ) -> Self {
        let now = Instant::now();
        let seed = settings.writer ^ u64::from(log.shard.0);
        Shard {
            log,
            rx,
            jobs: Vec::new(),
            settings,
            clock,
            preferred,
            rng: Pcg64Mcg::seed_from_u64(seed),
            next_append: now,
            down_until: now,
            open: true,
        }
    }

    pub(crate) async fn run(mut self) {
        while self.gather().await {
            self.next_append = Instant::now() + self.pace();
            match self.settle().await {
                Ok(()) => {}
                Err(JournalError::Throttled { retry_after }) => sleep(retry_after).await,
                Err(error) => {
                    self.give_up(&error);
                    if !self.open {
                        // Nobody waits for what is left, and the process is about to end.
                        return;
                    }
                }
            }
            self.drop_impatient();
        }
    }

    /// Collects jobs until the next append may start; false if there will be none.
    async fn gather(&mut self) -> bool {
        if self.jobs.is_empty() {
            match self.rx.recv().await {
                Some(job) => self.take(job),
                None => return false,
            }
        }
        loop {
            let start = self.next_append.max(self.down_until);
            tokio::select! {
                biased;
                job = self.rx.recv(), if self.open && self.jobs.len() < self.settings.queue => {
                    match job {
                        Some(job) => self.take(job),
                        None => self.open = false,
                    }
                }
                () = sleep_until(start) => break,
            }
        }
        !self.jobs.is_empty() || self.open
    }

    /// Takes a job in, or refuses it at once while the service is down.
    fn take(&mut self, job: Job) {
        let now = Instant::now();
        match now < self.down_until && job.has_caller() {
            true => job.fail(JournalError::Unavailable {
                retry_after: self.down_until - now,
                message: "no answer a moment ago".to_owned(),
            }),
            false => self.jobs.push(job),
        }
    }

    /// Answers what can be answered and appends the rest, until one append is through.
    async fn settle(&mut self) -> Result<()> {
        loop {
            let must_look = self.answer_known();
            if self.jobs.is_empty() {
                return Ok(());
            }
            if must_look || !self.log.is_at_end() {
                self.look().await?;
                continue;
            }
            self.make_room().await?;
            if self.log.is_full() || !self.log.is_at_end() {
                continue;
            }
            let batch = self.batch();
            let now = (self.clock)();
            if self.log.append(now, &batch).await? == Append::Stored {
                self.answer_known();
                return Ok(());
            }
            self.look().await?;
            self.answer_known();
            self.back_off().await;
        }
    }

    /// Answers jobs from the fold; true if one needs a look at the log's end first.
    fn answer_known(&mut self) -> bool {
        let mut must_look = false;
        for job in std::mem::take(&mut self.jobs) {
            match job.verdict(&self.log.fold) {
                Verdict::Write => self.jobs.push(job),
                Verdict::Look => {
                    must_look = true;
                    self.jobs.push(job);
                }
                verdict => job.answer(verdict),
            }
        }
        must_look
    }

    /// Reads the log to its end.
    async fn look(&mut self) -> Result<()> {
        self.log.catch_up().await?;
        for job in &mut self.jobs {
            job.checked = true;
        }
        let (journal, host) = (self.log.fold.clock(), (self.clock)());
        if journal.0 > host.0.saturating_add(MAX_SKEW) {
            warn!(
                "journal shard {}: its clock is {} ms ahead of this host's",
                self.log.shard.0,
                journal.0 - host.0
            );
        }
        Ok(())
    }

    /// Compacts when it is time. A failure matters only once the ring is full.
    async fn make_room(&mut self) -> Result<()> {
        if !self.log.wants_compaction() {
            return Ok(());
        }
        match self.log.compact().await {
            Ok(_) => Ok(()),
            Err(error) if self.log.is_full() => Err(error),
            Err(error) => {
                warn!(
                    "journal shard {}: compaction put off: {error}",
                    self.log.shard.0
                );
                Ok(())
            }
        }
    }

    /// The oldest jobs' records, as many as a segment holds.
    fn batch(&self) -> Vec<Record> {
        let mut bytes = 0;
        let fits = |job: &&Job| {
            bytes += job.bytes;
            bytes <= MAX_SEGMENT
        };
        let jobs = self.jobs.iter().take_while(fits);
        jobs.map(|job| job.record.clone()).collect()
    }

    /// Waits a drawn time after a lost race, so that appenders don't meet again.
    async fn back_off(&mut self) {
        let pace = self.pace();
        let wait = pace.mul_f64(self.rng.random());
        debug!(
            "journal shard {}: lost a race, waits {} ms",
            self.log.shard.0,
            wait.as_millis()
        );
        if !self.jobs.is_empty() {
            sleep(wait).await;
        }
        self.drop_impatient();
    }

    fn pace(&self) -> Duration {
        let preferred = self.preferred.borrow().0.contains(&self.log.shard);
        match preferred {
            true => self.settings.preferred_pace,
            false => self.settings.other_pace,
        }
    }

    /// Refuses everything that a caller waits for, and everything that comes within a while.
    fn give_up(&mut self, error: &JournalError) {
        warn!("journal shard {}: {error}", self.log.shard.0);
        self.down_until = Instant::now() + RETRY_AFTER;
        self.fail(error, |_| true);
    }

    /// Refuses what has waited too long, such as for a race that others keep winning.
    fn drop_impatient(&mut self) {
        let patience = self.settings.patience;
        let error = JournalError::Unavailable {
            retry_after: RETRY_AFTER,
            message: format!("no room in the log within {} ms", patience.as_millis()),
        };
        let now = Instant::now();
        self.fail(&error, |job| now >= job.since + patience);
    }

    fn fail(&mut self, error: &JournalError, pred: impl Fn(&Job) -> bool) {
        for job in std::mem::take(&mut self.jobs) {
            match job.has_caller() && pred(&job) {
                true => job.fail(error.clone()),
                false => self.jobs.push(job),
            }
        }
    }
}
