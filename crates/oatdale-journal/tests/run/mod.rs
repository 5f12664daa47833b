//! Concurrent runs of journal nodes over a key-value service with injected faults, and the
//! observations of each run.

mod check;
mod nemesis;
mod worker;

use crate::common::{self, Node, SECOND};
use oatdale_fakes::{KvFaults, MemKv};
use oatdale_journal::{ClaimKey, Exporter, Ledger, Millis, Outcome, Pin, RequestId, SessionKey};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Nodes in a run.
pub(crate) const NODES: usize = 4;
/// Concurrent callers of each node.
const CALLERS_PER_NODE: usize = 3;
/// How long callers issue operations.
const WORKLOAD_DURATION: Duration = Duration::from_secs(8);
/// Few shards and slots make races and compactions frequent.
const SHARDS: u16 = 2;
const SLOTS: u64 = 6;

/// Result of a claim as its caller received it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum ClaimResult {
    Won,
    Lost(RequestId),
    /// An error: the claim may or may not be in effect.
    Unknown,
}

/// Operation on a key or session, with its result.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) enum Op {
    Claim(RequestId, ClaimResult),
    Release(RequestId),
    /// The requested version, and the pinned version unless the response was an error.
    Pin(String, Option<String>),
}

/// Invocation or response of an operation.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct Event {
    /// Index into [`History::ops`].
    pub(crate) op: usize,
    pub(crate) is_response: bool,
}

/// Operations on one key or session, with their events in real-time order.
#[derive(Clone, Default, Debug)]
pub(crate) struct History {
    pub(crate) ops: Vec<Op>,
    pub(crate) events: Vec<Event>,
}

/// Observations of the callers, the operator and the nemesis.
#[derive(Default)]
pub(crate) struct Observations {
    pub(crate) claims: BTreeMap<ClaimKey, History>,
    pub(crate) pins: BTreeMap<SessionKey, History>,
    pub(crate) dispatched: BTreeMap<ClaimKey, Vec<RequestId>>,
    /// Requests with a bill record that was acknowledged as durable.
    pub(crate) acknowledged: Vec<RequestId>,
    /// Output tokens of every closing that was submitted.
    pub(crate) submitted_closings: BTreeMap<RequestId, Vec<u64>>,
    /// Exported bills: request and output tokens.
    pub(crate) exported: Vec<(RequestId, u64)>,
    /// Requests whose truncation was confirmed.
    pub(crate) truncated: Vec<RequestId>,
    /// Requests whose bill was exported after its truncation was confirmed.
    pub(crate) exported_after_truncation: Vec<RequestId>,
    /// Requests that callers are processing now.
    pub(crate) in_flight: usize,
    /// Sum of `in_flight` over the times at which the nemesis injected a fault.
    pub(crate) in_flight_at_faults: usize,
    pub(crate) kills: usize,
    pub(crate) pauses: usize,
    pub(crate) partitions: usize,
    pub(crate) outages: usize,
    pub(crate) errors: usize,
    last_request_id: u128,
}

/// One run, determined by its seed.
pub(crate) struct Run {
    pub(crate) kv: MemKv,
    pub(crate) start: Instant,
    pub(crate) nodes: Mutex<Vec<Node>>,
    pub(crate) observations: Mutex<Observations>,
    seed: u64,
}

/// Counters of a run.
#[derive(Clone, Copy, Default, Debug)]
pub(crate) struct Report {
    pub(crate) operations: usize,
    pub(crate) bills: usize,
    pub(crate) errors: usize,
    pub(crate) faults: u64,
    pub(crate) lost_responses: u64,
    pub(crate) kills: usize,
    pub(crate) pauses: usize,
    pub(crate) partitions: usize,
    pub(crate) outages: usize,
    pub(crate) in_flight_at_faults: usize,
}

/// Runs one seed on a paused clock and checks its observations.
pub(crate) fn run_seed(seed: u64) -> Result<Report, String> {
    let rt = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O can be built");
    rt.block_on(async { Run::new(seed).execute().await })
}

impl Run {
    fn new(seed: u64) -> Arc<Self> {
        let kv = MemKv::new(seed);
        kv.set_faults(baseline_faults());
        let start = Instant::now();
        let run = Arc::new(Run {
            kv,
            start,
            nodes: Mutex::default(),
            observations: Mutex::default(),
            seed,
        });
        let nodes = (0..NODES).map(|n| run.new_node(n, 0)).collect();
        *run.nodes.lock().unwrap() = nodes;
        run
    }

    async fn execute(self: Arc<Self>) -> Result<Report, String> {
        let nemesis = tokio::spawn(Arc::clone(&self).run_nemesis());
        let operator = tokio::spawn(Arc::clone(&self).run_operator());
        let callers =
            (0..NODES * CALLERS_PER_NODE).map(|n| tokio::spawn(Arc::clone(&self).run_caller(n)));
        futures::future::join_all(callers).await;
        nemesis.await.expect("the nemesis does not panic");
        operator.await.expect("the operator does not panic");
        self.kv.set_faults(KvFaults::default());
        sleep(20 * SECOND).await;
        self.export_remaining().await?;
        self.check().await?;
        Ok(self.report())
    }

    pub(crate) fn observations(&self) -> MutexGuard<'_, Observations> {
        self.observations.lock().unwrap()
    }

    /// Returns the random number generator of one task; each task has a stream of its own.
    pub(crate) fn rng(&self, stream: u64) -> Pcg64Mcg {
        Pcg64Mcg::seed_from_u64(self.seed.wrapping_mul(1_000).wrapping_add(stream))
    }

    pub(crate) fn now(&self) -> Millis {
        common::now(self.start)
    }

    /// Starts a node. A replacement has the same client name at the service and another writer
    /// number.
    pub(crate) fn new_node(&self, index: usize, incarnation: u64) -> Node {
        let writer = index as u64 + 1 + incarnation * 100;
        let mut settings = common::settings(writer, common::small_meta(SHARDS, SLOTS));
        settings.preferred_append_interval = Duration::from_millis(20);
        settings.other_append_interval = Duration::from_millis(50);
        let kv = self.kv.client(&node_name(index));
        common::start_node_with_kv(kv, settings, self.start)
    }

    /// Exports at random intervals and sometimes skips truncation, as if the operator had crashed.
    async fn run_operator(self: Arc<Self>) {
        let mut rng = self.rng(500);
        let mut exporter = None;
        while self.start.elapsed() < WORKLOAD_DURATION {
            sleep(Duration::from_millis(rng.random_range(200..1_500))).await;
            let skip_truncation = rng.random_bool(0.3);
            if exporter.is_none() {
                let kv = self.kv.client("operator");
                exporter = Exporter::new(kv, 900).await.ok();
            }
            if let Some(exporter) = &exporter {
                // After an error, the next iteration retries.
                let _ = self.export(exporter, skip_truncation).await;
            }
        }
    }

    async fn export(
        &self,
        exporter: &Exporter<MemKv>,
        skip_truncation: bool,
    ) -> oatdale_journal::Result<()> {
        for shard in exporter.shards() {
            let ledger = exporter.read_oldest(shard).await?;
            self.record_exported(&ledger);
            if !skip_truncation {
                exporter.truncate(&ledger).await?;
                let requests = ledger.bills.iter().map(|b| b.request);
                self.observations().truncated.extend(requests);
            }
        }
        Ok(())
    }

    fn record_exported(&self, ledger: &Ledger) {
        let mut observations = self.observations();
        for bill in &ledger.bills {
            if observations.truncated.contains(&bill.request) {
                observations.exported_after_truncation.push(bill.request);
            }
            observations
                .exported
                .push((bill.request, bill.output_tokens));
        }
    }

    async fn export_remaining(&self) -> Result<(), String> {
        let describe_error = |e| format!("the final export failed: {e}");
        let exporter = Exporter::new(self.kv.client("operator"), 901)
            .await
            .map_err(describe_error)?;
        for shard in exporter.shards() {
            loop {
                let ledger = exporter.read_oldest(shard).await.map_err(describe_error)?;
                self.record_exported(&ledger);
                exporter.truncate(&ledger).await.map_err(describe_error)?;
                if !ledger.has_more {
                    break;
                }
            }
        }
        Ok(())
    }

    fn report(&self) -> Report {
        let observations = self.observations();
        let histories = observations
            .claims
            .values()
            .chain(observations.pins.values());
        let counters = self.kv.counters();
        Report {
            operations: histories.map(|h| h.ops.len()).sum(),
            bills: observations.submitted_closings.len(),
            errors: observations.errors,
            faults: counters.faults(),
            lost_responses: counters.lost_answers,
            kills: observations.kills,
            pauses: observations.pauses,
            partitions: observations.partitions,
            outages: observations.outages,
            in_flight_at_faults: observations.in_flight_at_faults,
        }
    }
}

/// Network faults that are active throughout a run.
pub(crate) fn baseline_faults() -> KvFaults {
    KvFaults {
        slow: Duration::from_millis(2),
        lost_answers: 0.05,
        lost_requests: 0.03,
        delay: Duration::from_millis(20),
        outage: false,
    }
}

pub(crate) fn node_name(index: usize) -> String {
    format!("node-{index}")
}

impl Observations {
    pub(crate) fn new_request_id(&mut self) -> RequestId {
        self.last_request_id += 1;
        RequestId(self.last_request_id)
    }
}

impl History {
    pub(crate) fn begin(&mut self, op: Op) -> usize {
        self.ops.push(op);
        let op = self.ops.len() - 1;
        self.events.push(Event {
            op,
            is_response: false,
        });
        op
    }

    pub(crate) fn end(&mut self, op: usize, completed: Op) {
        self.ops[op] = completed;
        self.events.push(Event {
            op,
            is_response: true,
        });
    }
}

pub(crate) fn version_pin(name: &str, at: Millis) -> Pin {
    Pin {
        versions: vec![name.to_owned()],
        opened_at: at,
    }
}

/// Outcome that callers record for every request.
pub(crate) const FINISH_OUTCOME: Outcome = Outcome::Complete;
