//! One shard's task: collects jobs into batches, with at most one append in flight.

use crate::duty::{Preferred, Settings, WallClock};
use crate::error::{JournalError, RETRY_AFTER, Result};
use crate::job::{Job, Resolution};
use crate::log::{AppendOutcome, Log};
use crate::record::Record;
use log::{debug, warn};
use oatdale_platform::Kv;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};

/// Maximum total size of a segment's records, in bytes.
const MAX_SEGMENT_BYTES: usize = 256_000;

/// Maximum back-off after the first lost race for a segment; doubles with each further lost race.
const BASE_BACK_OFF: Duration = Duration::from_millis(10);

/// Stands for "never" where an `Instant` is needed.
const FAR_FUTURE: Duration = Duration::from_secs(365 * 24 * 3600);

/// Maximum number of times that the append interval is doubled.
const MAX_INTERVAL_DOUBLINGS: u32 = 3;

/// How far the journal's clock may be ahead of this host's, in milliseconds, before a warning is
/// logged.
const MAX_CLOCK_SKEW_MS: u64 = 60_000;

pub(crate) struct Shard<K> {
    log: Log<K>,
    rx: mpsc::Receiver<Job>,
    jobs: Vec<Job>,
    settings: Settings,
    clock: WallClock,
    preferred: watch::Receiver<Preferred>,
    rng: Pcg64Mcg,
    /// Earliest start of the next append.
    next_append: Instant,
    /// How often the append interval is doubled, because other nodes append or the service
    /// throttles.
    interval_doublings: u32,
    /// Until then the service is considered unavailable, and jobs are refused immediately.
    unavailable_until: Instant,
    /// Earliest start of the next compaction, unless the ring is full.
    compact_after: Instant,
    /// A time no later than the first expiry of a waiting job.
    earliest_expiry: Instant,
    rx_open: bool,
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
            interval_doublings: 0,
            unavailable_until: now,
            compact_after: now,
            earliest_expiry: now + FAR_FUTURE,
            rx_open: true,
        }
    }

    pub(crate) async fn run(mut self) {
        while self.collect_jobs().await {
            self.next_append = Instant::now() + self.append_interval();
            match self.process_jobs().await {
                Ok(()) => {}
                Err(JournalError::Throttled { retry_after }) => self.delay_append(retry_after),
                Err(error) => {
                    self.mark_unavailable(&error);
                    if !self.rx_open {
                        // No caller waits for the remaining jobs, and the process is shutting down.
                        return;
                    }
                }
            }
            self.fail_expired();
        }
    }

    /// Collects jobs until the next append may start. Returns false if there are none and the
    /// channel is closed.
    async fn collect_jobs(&mut self) -> bool {
        if self.jobs.is_empty() {
            match self.rx.recv().await {
                Some(job) => self.accept(job),
                None => return false,
            }
        }
        loop {
            let start = self.next_append.max(self.unavailable_until);
            tokio::select! {
                biased;
                job = self.rx.recv(),
                    if self.rx_open && self.jobs.len() < self.settings.queue_capacity =>
                {
                    match job {
                        Some(job) => self.accept(job),
                        None => self.rx_open = false,
                    }
                }
                () = sleep_until(self.earliest_expiry), if self.earliest_expiry < start => {
                    self.fail_expired();
                }
                () = sleep_until(start) => break,
            }
        }
        !self.jobs.is_empty() || self.rx_open
    }

    /// Queues a job, or fails it immediately while the service is unavailable.
    fn accept(&mut self, job: Job) {
        let now = Instant::now();
        match now < self.unavailable_until && job.has_caller() {
            true => job.fail(JournalError::Unavailable {
                retry_after: self.unavailable_until - now,
                message: "last operation on the shard failed and was not retried yet".to_owned(),
            }),
            false => {
                self.earliest_expiry = self.earliest_expiry.min(self.expires_at(&job));
                self.jobs.push(job);
            }
        }
    }

    /// Returns when a job expires; never if no caller waits for it.
    fn expires_at(&self, job: &Job) -> Instant {
        match job.has_caller() {
            true => job.queued_at + job.max_wait(self.settings.max_wait),
            false => job.queued_at + FAR_FUTURE,
        }
    }

    /// Answers the jobs that the fold resolves and appends the others, until one append succeeds or
    /// no job is left.
    async fn process_jobs(&mut self) -> Result<()> {
        let mut lost_races = 0;
        loop {
            let must_read = self.answer_from_fold();
            if self.jobs.is_empty() {
                return Ok(());
            }
            if must_read || !self.log.is_at_end() {
                self.read_to_end().await?;
                continue;
            }
            self.compact_if_due().await?;
            if self.log.is_full() || !self.log.is_at_end() {
                continue;
            }
            let batch = self.next_batch();
            let now = (self.clock)();
            if self.log.append(now, &batch).await? == AppendOutcome::Stored {
                self.answer_from_fold();
                self.adjust_interval(lost_races);
                return Ok(());
            }
            self.read_to_end().await?;
            self.answer_from_fold();
            lost_races += 1;
            self.back_off(lost_races).await;
        }
    }

    /// Answers jobs from the fold. Returns true if a job needs the log to be read first.
    fn answer_from_fold(&mut self) -> bool {
        let mut must_read = false;
        for job in std::mem::take(&mut self.jobs) {
            match job.resolve(&self.log.fold) {
                Resolution::Write => self.jobs.push(job),
                Resolution::ReadLog => {
                    must_read = true;
                    self.jobs.push(job);
                }
                resolution => job.answer(resolution),
            }
        }
        must_read
    }

    /// Reads the log to its end, and warns if the journal's clock is too far ahead.
    async fn read_to_end(&mut self) -> Result<()> {
        self.log.catch_up().await?;
        for job in &mut self.jobs {
            job.log_end_read = true;
        }
        let (journal_clock, host_clock) = (self.log.fold.clock(), (self.clock)());
        if journal_clock.0 > host_clock.0.saturating_add(MAX_CLOCK_SKEW_MS) {
            warn!(
                "journal shard {}: the journal's clock is {} ms ahead of this host's clock",
                self.log.shard.0,
                journal_clock.0 - host_clock.0
            );
        }
        Ok(())
    }

    /// Compacts the log if a compaction is due. A failure is an error only once the ring is full;
    /// until then appends continue and the retry is delayed, or this process would do nothing but
    /// retry.
    async fn compact_if_due(&mut self) -> Result<()> {
        let deferred = Instant::now() < self.compact_after && !self.log.is_full();
        if deferred || !self.log.needs_compaction() {
            return Ok(());
        }
        self.compact_after = Instant::now() + RETRY_AFTER;
        match self.log.compact().await {
            Ok(_) => Ok(()),
            Err(error) if self.log.is_full() => Err(error),
            Err(error) => {
                warn!(
                    "journal shard {}: compaction failed and will be retried: {error}",
                    self.log.shard.0
                );
                Ok(())
            }
        }
    }

    /// Returns the records of the oldest jobs, urgent ones first, as many as fit into a segment.
    fn next_batch(&self) -> Vec<Record> {
        let mut bytes = 0;
        let fits = |job: &&Job| {
            bytes += job.bytes;
            bytes <= MAX_SEGMENT_BYTES
        };
        let urgent = self.jobs.iter().filter(|job| job.is_urgent());
        let bills = self.jobs.iter().filter(|job| !job.is_urgent());
        let jobs = urgent.chain(bills).take_while(fits);
        jobs.map(|job| job.record.clone()).collect()
    }

    /// Waits a random time after `lost_races` consecutive lost races, so that appenders don't
    /// collide again. The wait grows, since repeated losses mean that too many nodes append at
    /// once.
    async fn back_off(&mut self, lost_races: u32) {
        if self.jobs.is_empty() {
            return;
        }
        let max_back_off = BASE_BACK_OFF.saturating_mul(2_u32.saturating_pow(lost_races - 1));
        let wait = max_back_off
            .min(self.append_interval())
            .mul_f64(self.rng.random());
        debug!(
            "journal shard {}: lost {lost_races} append races in a row, backing off for {} ms",
            self.log.shard.0,
            wait.as_millis()
        );
        sleep(wait).await;
        self.fail_expired();
    }

    /// Delays the next append because the service throttles. Adds random jitter, since many nodes
    /// may have received the same delay.
    fn delay_append(&mut self, retry_after: Duration) {
        self.interval_doublings = (self.interval_doublings + 1).min(MAX_INTERVAL_DOUBLINGS);
        let jitter = self.append_interval().mul_f64(self.rng.random());
        self.next_append = Instant::now() + retry_after + jitter;
    }

    /// Adapts the append interval to contention: lost races mean that nodes append too often.
    fn adjust_interval(&mut self, lost_races: u32) {
        self.interval_doublings = match lost_races {
            0 => self.interval_doublings.saturating_sub(1),
            1 => self.interval_doublings,
            _ => (self.interval_doublings + 1).min(MAX_INTERVAL_DOUBLINGS),
        };
    }

    fn append_interval(&self) -> Duration {
        let preferred = self.preferred.borrow().0.contains(&self.log.shard);
        let append_interval = match preferred {
            true => self.settings.preferred_append_interval,
            false => self.settings.other_append_interval,
        };
        append_interval * 2_u32.pow(self.interval_doublings)
    }

    /// Fails all jobs that callers wait for, and refuses new ones for [`RETRY_AFTER`].
    fn mark_unavailable(&mut self, error: &JournalError) {
        warn!("journal shard {}: {error}", self.log.shard.0);
        self.unavailable_until = Instant::now() + RETRY_AFTER;
        self.fail_jobs(error, |_| true);
    }

    /// Fails jobs that have waited too long, for example because other writers keep winning.
    fn fail_expired(&mut self) {
        let max_wait = self.settings.max_wait;
        let error = JournalError::Unavailable {
            retry_after: RETRY_AFTER,
            message: format!(
                "no append within the maximum wait of {} ms",
                max_wait.as_millis()
            ),
        };
        let now = Instant::now();
        self.fail_jobs(&error, |job| now >= job.queued_at + job.max_wait(max_wait));
        let expiries = self.jobs.iter().map(|job| self.expires_at(job));
        self.earliest_expiry = expiries.min().unwrap_or(now + FAR_FUTURE);
    }

    fn fail_jobs(&mut self, error: &JournalError, pred: impl Fn(&Job) -> bool) {
        for job in std::mem::take(&mut self.jobs) {
            match job.has_caller() && pred(&job) {
                true => job.fail(error.clone()),
                false => self.jobs.push(job),
            }
        }
    }
}
