//! The journal's background task, which receives jobs from the handles and dispatches them to the
//! shards.

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

/// Function that returns the wall-clock time.
pub type WallClock = Arc<dyn Fn() -> Millis + Send + Sync>;

/// Shards that this node appends to on behalf of all nodes. This only affects how often the node
/// appends; the log is correct whichever node appends.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Preferred(pub Vec<ShardId>);

/// Settings of the journal's background task.
#[derive(Clone, PartialEq, Debug)]
pub struct Settings {
    /// Shared settings to store if no node has stored any yet.
    pub meta: Meta,
    /// Random number that identifies this incarnation of the node.
    pub writer: u64,
    /// Minimum interval between appends to a shard that this node is preferred for.
    pub preferred_append_interval: Duration,
    /// Minimum interval between appends to any other shard.
    pub other_append_interval: Duration,
    /// Timeout of a call to the key-value service.
    pub call_timeout: Duration,
    /// Maximum total time that a claim or pin may wait; a bill may wait five times as long.
    pub max_wait: Duration,
    /// Capacity of the shared job queue and of each shard's job queue.
    pub queue_capacity: usize,
}

impl Settings {
    /// Returns the default settings of a node whose incarnation is `writer`.
    pub fn new(writer: u64) -> Self {
        Settings {
            meta: Meta::default(),
            writer,
            preferred_append_interval: Duration::from_millis(100),
            other_append_interval: Duration::from_millis(500),
            call_timeout: Duration::from_secs(1),
            max_wait: Duration::from_secs(2),
            queue_capacity: 8_192,
        }
    }
}

/// The journal's background task, executed by [`run`].
pub struct Duty<K> {
    kv: K,
    settings: Settings,
    clock: WallClock,
    preferred: watch::Receiver<Preferred>,
    jobs: mpsc::Receiver<Job>,
    meta: watch::Sender<Option<Meta>>,
}

/// Creates a journal: a handle that can be cloned, and the background task for [`run`].
pub fn journal<K: Kv>(
    kv: K,
    settings: Settings,
    clock: WallClock,
    preferred: watch::Receiver<Preferred>,
) -> (JournalHandle, Duty<K>) {
    let (jobs, jobs_rx) = mpsc::channel(settings.queue_capacity);
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

/// Runs the journal until all handles are dropped and every queued job has been answered.
pub async fn run<K: Kv>(mut duty: Duty<K>) {
    let Some(meta) = duty.wait_for_meta().await else {
        return;
    };
    duty.meta.send_replace(Some(meta));
    let mut senders = Vec::new();
    let mut shards = Vec::new();
    for shard in (0..meta.shards).map(ShardId) {
        let (tx, rx) = mpsc::channel(duty.settings.queue_capacity);
        senders.push(tx);
        shards.push(duty.new_shard(shard, meta, rx).run());
    }
    tokio::join!(dispatch_jobs(duty.jobs, senders, meta), join_all(shards));
}

impl<K: Kv> Duty<K> {
    /// Retries until the journal's shared settings are available, and fails all jobs meanwhile.
    /// Returns `None` once all handles are dropped.
    async fn wait_for_meta(&mut self) -> Option<Meta> {
        loop {
            let error = match self.settings.meta.read_or_init(&self.kv).await {
                Ok(meta) => return Some(meta),
                Err(error) => error,
            };
            warn!("journal: failed to read the shared settings: {error}");
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

/// Sends each job to its shard, or fails it if the shard's queue is full.
async fn dispatch_jobs(mut jobs: mpsc::Receiver<Job>, shards: Vec<mpsc::Sender<Job>>, meta: Meta) {
    while let Some(job) = jobs.recv().await {
        let shard = job.record.shard(meta.shards);
        if let Err(error) = shards[usize::from(shard.0)].try_send(job) {
            error.into_inner().fail(JournalError::overloaded());
        }
    }
}
