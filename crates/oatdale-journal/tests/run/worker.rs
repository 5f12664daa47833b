//! Callers, which claim, dispatch, bill and pin through the nodes.

use super::{ClaimResult, FINISH_OUTCOME, NODES, Op, Run, WORKLOAD_DURATION, version_pin};
use crate::common::{close_record, open_record};
use oatdale_journal::{BillRecord, Claim, ClaimKey, JournalError, JournalHandle};
use oatdale_journal::{RequestId, SessionKey};
use rand::{Rng, RngExt};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long the same keys and sessions are used, so that several callers contend for each.
const KEY_ROTATION_MS: u128 = 700;

impl Run {
    pub(crate) async fn run_caller(self: Arc<Self>, caller_index: usize) {
        let mut rng = self.rng(caller_index as u64);
        while self.start.elapsed() < WORKLOAD_DURATION {
            sleep(Duration::from_millis(rng.random_range(0..150))).await;
            self.observations().in_flight += 1;
            match rng.random_range(0..10) {
                0..5 => self.run_claimed_request(caller_index, &mut rng).await,
                5..7 => self.pin(caller_index, &mut rng).await,
                _ => {
                    let request = self.observations().new_request_id();
                    self.bill_request(request, &mut rng).await;
                }
            }
            self.observations().in_flight -= 1;
        }
    }

    /// Claims, dispatches and bills a request that must run at most once.
    async fn run_claimed_request(&self, caller_index: usize, rng: &mut impl Rng) {
        let key = ClaimKey(self.shared_id(rng));
        let by = self.observations().new_request_id();
        let handle = self.handle(caller_index % NODES);
        let op = self.begin_claim(key, Op::Claim(by, ClaimResult::Unknown));
        match handle.claim(key, by).await {
            Ok(Claim::Won { dispatch_by }) => {
                self.end_claim(key, op, Op::Claim(by, ClaimResult::Won));
                sleep(Duration::from_millis(rng.random_range(0..50))).await;
                self.dispatch(key, by, dispatch_by);
                self.bill_request(by, rng).await;
                // Best effort: without the outcome, retrying callers only get less information.
                let _ = handle.finish(key, by, FINISH_OUTCOME);
            }
            Ok(Claim::Lost { by: holder, .. }) => {
                self.end_claim(key, op, Op::Claim(by, ClaimResult::Lost(holder)));
            }
            Err(error) => {
                self.observations().errors += 1;
                // The release may go through a different node than the claim and arrive before it.
                let other = self.handle(rng.random_range(0..NODES));
                self.release_claim(&other, key, by, &error);
            }
        }
    }

    fn dispatch(&self, key: ClaimKey, by: RequestId, dispatch_by: Instant) {
        if Instant::now() < dispatch_by {
            self.observations()
                .dispatched
                .entry(key)
                .or_default()
                .push(by);
        }
    }

    /// Releases a claim after an error. A claim whose node has stopped is not released, since that
    /// node no longer can.
    fn release_claim(
        &self,
        handle: &JournalHandle,
        key: ClaimKey,
        by: RequestId,
        error: &JournalError,
    ) {
        if *error != JournalError::Stopped && handle.release(key, by).is_ok() {
            self.begin_claim(key, Op::Release(by));
        }
    }

    async fn pin(&self, caller_index: usize, rng: &mut impl Rng) {
        let session = SessionKey(self.shared_id(rng));
        let requested = format!("planner/{}", rng.random_range(0..3));
        let pin = version_pin(&requested, self.now());
        let handle = self.handle(caller_index % NODES);
        let op = Op::Pin(requested.clone(), None);
        let op = self
            .observations()
            .pins
            .entry(session)
            .or_default()
            .begin(op);
        match handle.pin(session, pin).await {
            Ok(pin) => {
                let effective = pin.versions.into_iter().next();
                let mut observations = self.observations();
                let history = observations.pins.entry(session).or_default();
                history.end(op, Op::Pin(requested, effective));
            }
            Err(_) => self.observations().errors += 1,
        }
    }

    /// Writes the bill of a request. In some requests a bill holder writes it too, with different
    /// usage. Each writer retries until it succeeds or runs out of attempts.
    async fn bill_request(&self, request: RequestId, rng: &mut impl Rng) {
        let at = self.now();
        let tokens = [rng.random_range(1..500), rng.random_range(500..999)];
        let has_second_writer = rng.random_bool(0.4);
        let writers = if has_second_writer { 2 } else { 1 };
        let submitted = tokens[..writers].to_vec();
        self.observations()
            .submitted_closings
            .insert(request, submitted);
        let first_node = rng.random_range(0..NODES);
        let mut records = vec![close_record(request.0, at, tokens[0])];
        if rng.random_bool(0.5) {
            records.insert(0, open_record(request.0, at));
        }
        let node_write = self.write_bill(first_node, request, records);
        let holder_write = async {
            if has_second_writer {
                let records = vec![close_record(request.0, at, tokens[1])];
                self.write_bill(first_node + 1, request, records).await;
            }
        };
        tokio::join!(node_write, holder_write);
    }

    async fn write_bill(&self, first_node: usize, request: RequestId, records: Vec<BillRecord>) {
        for attempt in 0..12 {
            let handle = self.handle((first_node + attempt) % NODES);
            match handle.bill(records.clone()).await {
                Ok(()) => {
                    self.observations().acknowledged.push(request);
                    return;
                }
                Err(_) => self.observations().errors += 1,
            }
            sleep(Duration::from_millis(300)).await;
        }
    }

    fn begin_claim(&self, key: ClaimKey, op: Op) -> usize {
        self.observations().claims.entry(key).or_default().begin(op)
    }

    fn end_claim(&self, key: ClaimKey, op: usize, completed: Op) {
        let mut observations = self.observations();
        observations
            .claims
            .entry(key)
            .or_default()
            .end(op, completed);
    }

    fn handle(&self, index: usize) -> JournalHandle {
        self.nodes.lock().unwrap()[index].handle.clone()
    }

    /// Returns one of the two identifiers in use during the current rotation period.
    fn shared_id(&self, rng: &mut impl Rng) -> [u8; 32] {
        let rotation = (self.start.elapsed().as_millis() / KEY_ROTATION_MS) as u8;
        let mut id = [0; 32];
        id[0] = rotation;
        id[1] = rng.random_range(0..2);
        id
    }
}
