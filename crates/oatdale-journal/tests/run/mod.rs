//! Concurrent runs of real journal duties over a service that fails, and what they saw.

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
/// How long callers call.
const WORKLOAD_DURATION: Duration = Duration::from_secs(8);
/// Shards and slots; few, so that races and compactions are frequent.
const SHARDS: u16 = 2;
const SLOTS: u64 = 6;

/// What a caller was told of its claim.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum ClaimResult {
    Won,
    Lost(RequestId),
    /// An error: the claim may or may not stand.
    Unknown,
}

/// One operation on one key or session, with what came of it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) enum Op {
    Claim(RequestId, ClaimResult),
    Release(RequestId),
    /// The versions wanted, and those that hold unless the answer was an error.
    Pin(String, Option<String>),
}

/// An operation's beginning or end, in the order in which they happened.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct Event {
    pub(crate) op: usize,
    pub(crate) is_response: bool,
}

/// What happened to one key or session.
#[derive(Clone, Default, Debug)]
pub(crate) struct History {
    pub(crate) ops: Vec<Op>,
    pub(crate) events: Vec<Event>,
}

/// Everything that callers, operators and the nemesis saw.
#[derive(Default)]
pub(crate) struct Observations {
    pub(crate) claims: BTreeMap<ClaimKey, History>,
    pub(crate) pins: BTreeMap<SessionKey, History>,
    pub(crate) dispatched: BTreeMap<ClaimKey, Vec<RequestId>>,
    /// Requests whose opening or closing is durable, as some node was told.
    pub(crate) acknowledged: Vec<RequestId>,
    /// Tokens of every closing that anybody tried to write.
    pub(crate) submitted_closings: BTreeMap<RequestId, Vec<u64>>,
    /// Bills as the operators took them, and those whose truncation was confirmed.
    pub(crate) exported: Vec<(RequestId, u64)>,
    pub(crate) truncated: Vec<RequestId>,
    /// Bills taken after their truncation was confirmed.
    pub(crate) exported_after_truncation: Vec<RequestId>,
    pub(crate) in_flight: usize,
    /// Requests under way at the moments at which faults were brought about.
    pub(crate) in_flight_at_faults: usize,
    pub(crate) kills: usize,
    pub(crate) pauses: usize,
    pub(crate) partitions: usize,
    pub(crate) outages: usize,
    pub(crate) errors: usize,
    last_request_id: u128,
}

/// One run.
pub(crate) struct Run {
    pub(crate) kv: MemKv,
    pub(crate) start: Instant,
    pub(crate) nodes: Mutex<Vec<Node>>,
    pub(crate) observations: Mutex<Observations>,
    seed: u64,
}

/// What a run says of itself.
#[derive(Clone, Copy, Default, Debug)]
pub(crate) struct Report {
    pub(crate) operations: usize,
    pub(crate) bills: usize,
    pub(crate) errors: usize,
    pub(crate) faults: u64,
    pub(crate) lost_answers: u64,
    pub(crate) kills: usize,
    pub(crate) pauses: usize,
    pub(crate) partitions: usize,
    pub(crate) outages: usize,
    pub(crate) in_flight_at_faults: usize,
}

/// Runs one seed on a paused clock and checks what it saw.
pub(crate) fn run_seed(seed: u64) -> Result<Report, String> {
    let rt = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime with a clock only");
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
        nemesis.await.expect("the nemesis goes on");
        operator.await.expect("the operator goes on");
        self.kv.set_faults(KvFaults::default());
        sleep(20 * SECOND).await;
        self.export_remaining().await?;
        self.check().await?;
        Ok(self.report())
    }

    pub(crate) fn observations(&self) -> MutexGuard<'_, Observations> {
        self.observations.lock().unwrap()
    }

    pub(crate) fn rng(&self, stream: u64) -> Pcg64Mcg {
        Pcg64Mcg::seed_from_u64(self.seed.wrapping_mul(1_000).wrapping_add(stream))
    }

    pub(crate) fn now(&self) -> Millis {
        common::now(self.start)
    }

    /// A node's name at the service stays when it is replaced; its writer's number does not.
    pub(crate) fn new_node(&self, index: usize, incarnation: u64) -> Node {
        let writer = index as u64 + 1 + incarnation * 100;
        let mut settings = common::settings(writer, common::small_meta(SHARDS, SLOTS));
        settings.preferred_pace = Duration::from_millis(20);
        settings.other_pace = Duration::from_millis(50);
        let kv = self.kv.client(&node_name(index));
        common::start_node_with_kv(kv, settings, self.start)
    }

    /// An operator exports now and then, and sometimes dies before truncating.
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
                // An operator who gets an error tries again later.
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
            let ledger = exporter.take(shard).await?;
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
        let describe_error = |e| format!("the last export failed: {e}");
        let exporter = Exporter::new(self.kv.client("operator"), 901)
            .await
            .map_err(describe_error)?;
        for shard in exporter.shards() {
            loop {
                let ledger = exporter.take(shard).await.map_err(describe_error)?;
                self.record_exported(&ledger);
                exporter.truncate(&ledger).await.map_err(describe_error)?;
                if !ledger.more {
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
            lost_answers: counters.lost_answers,
            kills: observations.kills,
            pauses: observations.pauses,
            partitions: observations.partitions,
            outages: observations.outages,
            in_flight_at_faults: observations.in_flight_at_faults,
        }
    }
}

/// What the network does all the time.
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

pub(crate) const FINISH_OUTCOME: Outcome = Outcome::Complete;
