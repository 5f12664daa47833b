//! Test nodes over an in-process key-value service, and builders for records.

#![allow(dead_code)]

use oatdale_fakes::MemKv;
use oatdale_journal::{
    BillRecord, ClaimKey, Closing, JournalHandle, Meta, MicroUnits, Millis, Opening, Outcome, Pin,
    Preferred, RequestId, Retention, SessionKey, Settings, ShardId, WallClock, journal, run,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Wall-clock time at the start of a test, in milliseconds since the Unix epoch.
pub(crate) const START_TIME_MS: u64 = 1_800_000_000_000;

/// Journal of one node; aborting the task kills the node.
pub(crate) struct Node {
    pub(crate) handle: JournalHandle,
    pub(crate) task: JoinHandle<()>,
    pub(crate) preferred: watch::Sender<Preferred>,
}

/// Returns a wall clock that advances with the runtime's clock, which may be paused.
pub(crate) fn wall_clock(start: Instant) -> WallClock {
    Arc::new(move || Millis(START_TIME_MS + start.elapsed().as_millis() as u64))
}

pub(crate) fn now(start: Instant) -> Millis {
    wall_clock(start)()
}

pub(crate) fn small_meta(shards: u16, slots: u64) -> Meta {
    Meta {
        shards,
        slots,
        retention: Retention::default(),
    }
}

pub(crate) fn settings(writer: u64, meta: Meta) -> Settings {
    Settings {
        meta,
        ..Settings::new(writer)
    }
}

pub(crate) fn start_node(kv: &MemKv, settings: Settings, start: Instant) -> Node {
    let name = format!("node-{}", settings.writer);
    start_node_with_kv(kv.client(&name), settings, start)
}

pub(crate) fn start_node_with_kv(kv: MemKv, settings: Settings, start: Instant) -> Node {
    let (preferred, rx) = watch::channel(Preferred::default());
    let (handle, duty) = journal(kv, settings, wall_clock(start), rx);
    let task = tokio::spawn(run(duty));
    Node {
        handle,
        task,
        preferred,
    }
}

impl Node {
    pub(crate) fn prefer_all(&self, shards: u16) {
        let all = (0..shards).map(ShardId).collect();
        self.preferred.send_replace(Preferred(all));
    }
}

pub(crate) fn key(n: u8) -> ClaimKey {
    ClaimKey([n; 32])
}

pub(crate) fn session(n: u8) -> SessionKey {
    SessionKey([n; 32])
}

pub(crate) fn pin(version: &str) -> Pin {
    Pin {
        versions: vec![version.to_owned()],
        opened_at: Millis(START_TIME_MS),
    }
}

pub(crate) fn open_record(request: u128, at: Millis) -> BillRecord {
    BillRecord::Open(Opening {
        request: RequestId(request),
        customer: "hanoi-cubesat".to_owned(),
        service: "planner".to_owned(),
        opened_at: at,
    })
}

pub(crate) fn closing(request: u128, at: Millis, tokens: u64) -> Closing {
    Closing {
        request: RequestId(request),
        customer: "hanoi-cubesat".to_owned(),
        service: "planner".to_owned(),
        version: Some("planner/2026-11".to_owned()),
        input_tokens: 900,
        output_tokens: tokens,
        price: MicroUnits(tokens * 3),
        outcome: Outcome::Complete,
        opened_at: at,
        closed_at: at,
    }
}

pub(crate) fn close_record(request: u128, at: Millis, tokens: u64) -> BillRecord {
    BillRecord::Close(closing(request, at, tokens))
}

pub(crate) const SECOND: Duration = Duration::from_secs(1);
