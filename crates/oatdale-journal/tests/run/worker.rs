//! Callers: each claims, dispatches, bills and pins through the node that it happens to use.

use super::{CALLING, NODES, OUTCOME, Op, Run, Told, version_pin};
use crate::common::{bill, opening};
use oatdale_journal::{BillRecord, Claim, ClaimKey, JournalError, JournalHandle};
use oatdale_journal::{RequestId, SessionKey};
use rand::{Rng, RngExt};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Keys and sessions are in use for this long, so that several callers meet at each.
const ERA: u128 = 700;

impl Run {
    pub(crate) async fn caller(self: Arc<Self>, who: usize) {
        let mut rng = self.rng(who as u64);
        while self.start.elapsed() < CALLING {
            sleep(Duration::from_millis(rng.random_range(0..150))).await;
            self.seen().under_way += 1;
            match rng.random_range(0..10) {
                0..5 => self.claimed_request(who, &mut rng).await,
                5..7 => self.pin(who, &mut rng).await,
                _ => {
                    let request = self.seen().new_request();
                    self.bill_request(request, &mut rng).await;
                }
            }
            self.seen().under_way -= 1;
        }
    }

    /// A request that must run at most once.
    async fn claimed_request(&self, who: usize, rng: &mut impl Rng) {
        let key = ClaimKey(self.name(rng));
        let by = self.seen().new_request();
        let handle = self.handle(who % NODES);
        let op = self.begin_claim(key, Op::Claim(by, Told::Unknown));
        match handle.claim(key, by).await {
            Ok(Claim::Won { dispatch_by }) => {
                self.end_claim(key, op, Op::Claim(by, Told::Won));
                sleep(Duration::from_millis(rng.random_range(0..50))).await;
                self.dispatch(key, by, dispatch_by);
                self.bill_request(by, rng).await;
                // Nobody waits for it; callers that ask again are told less without it.
                let _ = handle.finish(key, by, OUTCOME);
            }
            Ok(Claim::Lost { by: holder, .. }) => {
                self.end_claim(key, op, Op::Claim(by, Told::Lost(holder)));
            }
            Err(error) => {
                self.seen().errors += 1;
                // The release may travel through another node than the claim, and overtake it.
                let other = self.handle(rng.random_range(0..NODES));
                self.give_up(&other, key, by, &error);
            }
        }
    }

    fn dispatch(&self, key: ClaimKey, by: RequestId, dispatch_by: Instant) {
        if Instant::now() < dispatch_by {
            self.seen().dispatched.entry(key).or_default().push(by);
        }
    }

    /// A node that is alive gives a claim back; one that died can't.
    fn give_up(&self, handle: &JournalHandle, key: ClaimKey, by: RequestId, error: &JournalError) {
        if *error != JournalError::Stopped && handle.release(key, by).is_ok() {
            self.begin_claim(key, Op::Release(by));
        }
    }

    async fn pin(&self, who: usize, rng: &mut impl Rng) {
        let session = SessionKey(self.name(rng));
        let wanted = format!("planner/{}", rng.random_range(0..3));
        let pin = version_pin(&wanted, self.now());
        let handle = self.handle(who % NODES);
        let op = Op::Pin(wanted.clone(), None);
        let op = self.seen().pins.entry(session).or_default().begin(op);
        match handle.pin(session, pin).await {
            Ok(pin) => {
                let got = pin.versions.into_iter().next();
                let mut seen = self.seen();
                let history = seen.pins.entry(session).or_default();
                history.end(op, Op::Pin(wanted, got));
            }
            Err(_) => self.seen().errors += 1,
        }
    }

    /// The request's node and a holder both try to close its bill, with different usage, each
    /// until it succeeds or gives up for good.
    async fn bill_request(&self, request: RequestId, rng: &mut impl Rng) {
        let at = self.now();
        let tokens = [rng.random_range(1..500), rng.random_range(500..999)];
        let both = rng.random_bool(0.4);
        let writers = if both { 2 } else { 1 };
        let used = tokens[..writers].to_vec();
        self.seen().closings.insert(request, used);
        let first = rng.random_range(0..NODES);
        let mut records = vec![bill(request.0, at, tokens[0])];
        if rng.random_bool(0.5) {
            records.insert(0, opening(request.0, at));
        }
        let own = self.write_bill(first, request, records);
        let holder = async {
            if both {
                let records = vec![bill(request.0, at, tokens[1])];
                self.write_bill(first + 1, request, records).await;
            }
        };
        tokio::join!(own, holder);
    }

    async fn write_bill(&self, first: usize, request: RequestId, records: Vec<BillRecord>) {
        for attempt in 0..12 {
            let handle = self.handle((first + attempt) % NODES);
            match handle.bill(records.clone()).await {
                Ok(()) => {
                    self.seen().acknowledged.push(request);
                    return;
                }
                Err(_) => self.seen().errors += 1,
            }
            sleep(Duration::from_millis(300)).await;
        }
    }

    fn begin_claim(&self, key: ClaimKey, op: Op) -> usize {
        self.seen().claims.entry(key).or_default().begin(op)
    }

    fn end_claim(&self, key: ClaimKey, op: usize, with: Op) {
        let mut seen = self.seen();
        seen.claims.entry(key).or_default().end(op, with);
    }

    fn handle(&self, index: usize) -> JournalHandle {
        self.nodes.lock().unwrap()[index].handle.clone()
    }

    /// One of two names of the present era.
    fn name(&self, rng: &mut impl Rng) -> [u8; 32] {
        let era = (self.start.elapsed().as_millis() / ERA) as u8;
        let mut name = [0; 32];
        name[0] = era;
        name[1] = rng.random_range(0..2);
        name
    }
}
