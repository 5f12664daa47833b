//! The journal's duty: it takes jobs from its handles and spreads them over the shards.

use crate::error::JournalError;
use crate::handle::JournalHandle;
use crate::job::Job;
use crate::log::Log;
use crate::meta::Meta;
use crate::record::{Millis, ShardId};
use crate::shard::Shard;
use futures::future::join_all;
use log::warn;
use oatdale_platform::Kv;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

/// Reads the wall clock.
pub type WallClock = Arc<dyn Fn() -> Millis + Send + Sync>;

/// Shards that this node appends to for all nodes. It only sets the pace: whoever appends, the
/// log stays right.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Preferred(pub Vec<ShardId>);

/// How the duty works.
#[derive(Clone, PartialEq, Debug)]
pub struct Settings {
    /// What to store if this node is the first.
    pub meta: Meta,
    /// Tells this incarnation of the node from every other; draw it at random.
    pub writer: u64,
    /// The shortest time between two appends to a shard that prefers this node.
    pub preferred_pace: Duration,
    /// The shortest time between two appends to any other shard.
    pub other_pace: Duration,
    /// How long a call to the service may take.
    pub call_timeout: Duration,
    /// How long a claim or pin may wait in all; a bill waits five times as long.
    pub max_wait: Duration,
    /// How many jobs may wait, over all shards and for each.
    pub queue: usize,
}

impl Settings {
    /// The usual settings of a node whose incarnation is `writer`.
    pub fn new(writer: u64) -> Self {
        Settings {
            meta: Meta::default(),
            writer,
            preferred_pace: Duration::from_millis(100),
            other_pace: Duration::from_millis(500),
            call_timeout: Duration::from_secs(1),
            max_wait: Duration::from_secs(2),
            queue: 8_192,
        }
    }
}

/// What [`run`] needs.
pub struct Duty<K> {
    kv: K,
    settings: Settings,
    clock: WallClock,
    preferred: watch::Receiver<Preferred>,
    jobs: mpsc::Receiver<Job>,
    meta: watch::Sender<Option<Meta>>,
}

/// Makes a journal: a handle to clone, and the duty to [`run`].
pub fn journal<K: Kv>(
    kv: K,
    settings: Settings,
    clock: WallClock,
    preferred: watch::Receiver<Preferred>,
) -> (JournalHandle, Duty<K>) {
    let (jobs, jobs_rx) = mpsc::channel(settings.queue);
    let (meta, meta_rx) = watch::channel(None);
    let handle = JournalHandle {
        jobs,
        meta: meta_rx,
    };
    let duty = Duty {
        kv,
        settings,
        clock,
        preferred,
        jobs: jobs_rx,
        meta,
    };
    (handle, duty)
}

/// Runs the duty until all handles are gone and everything that waits has had its answer.
pub async fn run<K: Kv>(mut duty: Duty<K>) {
    let Some(meta) = duty.wait_for_meta().await else {
        return;
    };
    duty.meta.send_replace(Some(meta));
    let mut senders = Vec::new();
    let mut shards = Vec::new();
    for shard in (0..meta.shards).map(ShardId) {
        let (tx, rx) = mpsc::channel(duty.settings.queue);
        senders.push(tx);
        shards.push(duty.new_shard(shard, meta, rx).run());
    }
    tokio::join!(dispatch_jobs(duty.jobs, senders, meta), join_all(shards));
}

impl<K: Kv> Duty<K> {
    /// Asks for the journal's settings until they come, and refuses everything meanwhile.
    async fn wait_for_meta(&mut self) -> Option<Meta> {
        loop {
            let error = match self.settings.meta.read_or_init(&self.kv).await {
                Ok(meta) => return Some(meta),
                Err(error) => error,
            };
            warn!("journal: its settings can't be read yet: {error}");
            let retry_at = Instant::now() + crate::error::RETRY_AFTER;
            loop {
                tokio::select! {
                    biased;
                    () = sleep_until(retry_at) => break,
                    job = self.jobs.recv() => job?.fail(error.clone()),
                }
            }
        }
    }

    fn new_shard(&self, id: ShardId, meta: Meta, jobs: mpsc::Receiver<Job>) -> Shard<K> {
        let Settings {
            writer,
            call_timeout,
            ..
        } = self.settings;
        let log = Log::new(self.kv.clone(), id, meta, writer, call_timeout);
        Shard::new(
            log,
            jobs,
            self.settings.clone(),
            Arc::clone(&self.clock),
            self.preferred.clone(),
        )
    }
}

/// Gives each job to its shard, or refuses it if too many wait there.
async fn dispatch_jobs(mut jobs: mpsc::Receiver<Job>, shards: Vec<mpsc::Sender<Job>>, meta: Meta) {
    while let Some(job) = jobs.recv().await {
        let shard = job.record.shard(meta.shards);
        if let Err(error) = shards[usize::from(shard.0)].try_send(job) {
            error.into_inner().fail(JournalError::overloaded());
        }
    }
}
