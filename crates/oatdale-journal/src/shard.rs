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

/// The longest wait after the first lost race for a segment; it doubles with each further one.
const BACK_OFF: Duration = Duration::from_millis(10);

/// Stands for "never" where a clock needs a time.
const FAR_OFF: Duration = Duration::from_secs(365 * 24 * 3600);

/// How often the pace may be halved.
const MAX_STRAIN: u32 = 3;

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
    /// How often the pace is halved because others append, or the service asks to wait.
    strain: u32,
    /// Until then the service is taken to be down, and jobs are refused at once.
    down_until: Instant,
    /// The next compaction may start then.
    compact_after: Instant,
    /// No later than the first moment at which a job has waited too long.
    impatience: Instant,
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
            strain: 0,
            down_until: now,
            compact_after: now,
            impatience: now + FAR_OFF,
            open: true,
        }
    }

    pub(crate) async fn run(mut self) {
        while self.gather().await {
            self.next_append = Instant::now() + self.pace();
            match self.settle().await {
                Ok(()) => {}
                Err(JournalError::Throttled { retry_after }) => self.slow_down(retry_after),
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
                () = sleep_until(self.impatience), if self.impatience < start => {
                    self.drop_impatient();
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
            false => {
                self.impatience = self.impatience.min(self.end_of_patience(&job));
                self.jobs.push(job);
            }
        }
    }

    /// When a job is given up; never for one that nobody waits for.
    fn end_of_patience(&self, job: &Job) -> Instant {
        match job.has_caller() {
            true => job.since + job.patience(self.settings.patience),
            false => job.since + FAR_OFF,
        }
    }

    /// Answers what can be answered and appends the rest, until one append is through.
    async fn settle(&mut self) -> Result<()> {
        let mut lost = 0;
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
                self.ease(lost);
                return Ok(());
            }
            self.look().await?;
            self.answer_known();
            lost += 1;
            self.back_off(lost).await;
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

    /// Compacts when it is time. A failure matters only once the ring is full; until then appends
    /// go on and the next try waits, or this process would do nothing but try.
    async fn make_room(&mut self) -> Result<()> {
        let put_off = Instant::now() < self.compact_after && !self.log.is_full();
        if put_off || !self.log.wants_compaction() {
            return Ok(());
        }
        self.compact_after = Instant::now() + RETRY_AFTER;
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

    /// The oldest jobs' records, urgent ones first, as many as a segment holds.
    fn batch(&self) -> Vec<Record> {
        let mut bytes = 0;
        let fits = |job: &&Job| {
            bytes += job.bytes;
            bytes <= MAX_SEGMENT
        };
        let urgent = self.jobs.iter().filter(|job| job.is_urgent());
        let bills = self.jobs.iter().filter(|job| !job.is_urgent());
        let jobs = urgent.chain(bills).take_while(fits);
        jobs.map(|job| job.record.clone()).collect()
    }

    /// Waits a drawn time after the `lost`th lost race in a row, so that appenders don't meet
    /// again. The wait grows, since many that lose at once are too many for the log's pace.
    async fn back_off(&mut self, lost: u32) {
        if self.jobs.is_empty() {
            return;
        }
        let most = BACK_OFF.saturating_mul(2_u32.saturating_pow(lost - 1));
        let wait = most.min(self.pace()).mul_f64(self.rng.random());
        debug!(
            "journal shard {}: lost {lost} races, waits {} ms",
            self.log.shard.0,
            wait.as_millis()
        );
        sleep(wait).await;
        self.drop_impatient();
    }

    /// Puts the next append off because the service asked to wait. The time is drawn, since many
    /// were told the same.
    fn slow_down(&mut self, retry_after: Duration) {
        self.strain = (self.strain + 1).min(MAX_STRAIN);
        let drawn = self.pace().mul_f64(self.rng.random());
        self.next_append = Instant::now() + retry_after + drawn;
    }

    /// Follows how many others append: races mean that all of them ask too often.
    fn ease(&mut self, lost: u32) {
        self.strain = match lost {
            0 => self.strain.saturating_sub(1),
            1 => self.strain,
            _ => (self.strain + 1).min(MAX_STRAIN),
        };
    }

    fn pace(&self) -> Duration {
        let preferred = self.preferred.borrow().0.contains(&self.log.shard);
        let pace = match preferred {
            true => self.settings.preferred_pace,
            false => self.settings.other_pace,
        };
        pace * 2_u32.pow(self.strain)
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
        self.fail(&error, |job| now >= job.since + job.patience(patience));
        let ends = self.jobs.iter().map(|job| self.end_of_patience(job));
        self.impatience = ends.min().unwrap_or(now + FAR_OFF);
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
