//! Tests of a full segment ring when compaction fails.

mod common;

use bytes::Bytes;
use common::{SECOND, close_record, now, pin, session, settings, small_meta, wall_clock};
use oatdale_fakes::MemKv;
use oatdale_journal::{Exporter, Preferred, RequestId, journal, run};
use oatdale_platform::{Condition, Entry, Kv, KvError, LeaseId, ModRevision, Put, Result};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// Key-value service that rejects manifest writes while `reject_manifests` is set.
#[derive(Clone)]
struct ManifestRejectingKv {
    kv: MemKv,
    reject_manifests: Arc<AtomicBool>,
}

impl Kv for ManifestRejectingKv {
    async fn get(&self, key: &str) -> Result<Option<Entry>> {
        self.kv.get(key).await
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        cond: Condition,
        lease: Option<LeaseId>,
    ) -> Result<Put> {
        match key.ends_with("/manifest") && self.reject_manifests.load(Ordering::Relaxed) {
            true => Err(KvError::Unavailable {
                message: "the test rejects manifest writes".to_owned(),
            }),
            false => self.kv.put(key, value, cond, lease).await,
        }
    }

    async fn delete(&self, key: &str, revision: ModRevision) -> Result<Put> {
        self.kv.delete(key, revision).await
    }

    async fn list(&self, prefix: &str, after: Option<&str>, limit: usize) -> Result<Vec<Entry>> {
        self.kv.list(prefix, after, limit).await
    }

    async fn watch(&self, key: &str, seen: ModRevision, wait: Duration) -> Result<Option<Entry>> {
        self.kv.watch(key, seen, wait).await
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId> {
        self.kv.grant(ttl).await
    }

    async fn renew(&self, lease: LeaseId) -> Result<()> {
        self.kv.renew(lease).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<()> {
        self.kv.revoke(lease).await
    }
}

// The service stores segments but rejects manifests, so compaction fails. If the ring wrapped
// anyway, acknowledged bills would be overwritten and lost. Instead, further bills are rejected
// until manifests can be written again.
#[tokio::test(start_paused = true)]
async fn full_ring_rejects_bills_and_loses_no_acknowledged_bill() {
    let start = Instant::now();
    let kv = ManifestRejectingKv {
        kv: MemKv::new(1),
        reject_manifests: Arc::new(AtomicBool::new(true)),
    };
    let (_tx, preferred) = watch::channel(Preferred::default());
    let node_settings = settings(1, small_meta(1, 4));
    let (handle, duty) = journal(kv.clone(), node_settings, wall_clock(start), preferred);
    tokio::spawn(run(duty));
    handle.pin(session(1), pin("planner/1")).await.unwrap();
    let mut durable = Vec::new();
    let mut rejected = 0;
    for request in 1..20 {
        match handle
            .bill(vec![close_record(request, now(start), 1)])
            .await
        {
            Ok(()) => durable.push(RequestId(request)),
            Err(error) => {
                assert!(error.retry_after().is_some(), "{error}");
                rejected += 1;
            }
        }
    }
    assert_eq!((durable.len(), rejected), (3, 16));
    kv.reject_manifests.store(false, Ordering::Relaxed);
    sleep(2 * SECOND).await;
    let accepted = close_record(99, now(start), 1);
    handle.bill(vec![accepted]).await.unwrap();
    durable.push(RequestId(99));
    let exporter = Exporter::new(kv, 77).await.unwrap();
    let shard = exporter.shards().next().unwrap();
    let bills = exporter.read_oldest(shard).await.unwrap().bills;
    let requests: Vec<RequestId> = bills.iter().map(|b| b.request).collect();
    assert_eq!(requests, durable);
}
