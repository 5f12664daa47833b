//! The state of a shard as a deterministic fold of its records, the same at every reader.
//!
//! The fold has its own clock: each segment carries its writer's time, and the fold's clock follows
//! the highest time seen by at most [`MAX_CLOCK_STEP_MS`] per segment. So state expires at the same
//! position of the log at every reader, and neither an outage nor a single wrong clock makes much
//! of it expire at once.

use crate::record::{
    BillRecord, ClaimKey, Closing, MicroUnits, Millis, Opening, Outcome, Pin, Record, RequestId,
    SessionKey,
};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum advance of the fold's clock per segment, in milliseconds.
pub const MAX_CLOCK_STEP_MS: u64 = 500;

/// Retention periods in milliseconds of the journal's clock, the same for all nodes.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct Retention {
    /// Retention of a claim, counted from its record.
    pub claims: u64,
    /// Retention of a pin, counted from its record.
    pub pins: u64,
    /// Retention of the fact that a request has a bill, counted from the request's opening time.
    /// Must exceed the longest duration of a request whose opening is not in the journal.
    pub bills: u64,
    /// Maximum time from the record of a request's opening to its closing.
    pub open: u64,
}

impl Default for Retention {
    fn default() -> Self {
        const MINUTE: u64 = 60_000;
        Retention {
            claims: 24 * 60 * MINUTE,
            pins: 25 * 60 * MINUTE,
            bills: 15 * MINUTE,
            open: 60 * MINUTE,
        }
    }
}

/// A key's claim and the request that holds it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct HeldClaim {
    /// The request that won the claim.
    pub by: RequestId,
    /// Time of the claim's record on the journal's clock.
    pub at: Millis,
    /// How the request ended, if its node recorded it.
    pub finished: Option<Outcome>,
}

/// A session's pin and the time of its record.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub(crate) struct StoredPin {
    pub(crate) pin: Pin,
    pub(crate) at: Millis,
}

/// A final entry produced by applying a segment.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub enum FinalEntry {
    /// The one bill of a request.
    Bill(Closing),
    /// A closing that arrived after its request's retention period; not a bill.
    Late(Closing),
}

/// The effect that a bill record would have.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum BillState {
    /// None: the journal has the record, or an earlier closing of the request.
    Known,
    /// The record would change the state.
    New,
    /// The request's retention period is over.
    TooLate,
}

/// The state of one shard.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct Fold {
    pub(crate) retention: Retention,
    pub(crate) clock: Millis,
    pub(crate) claims: BTreeMap<ClaimKey, HeldClaim>,
    pub(crate) released: BTreeMap<RequestId, Millis>,
    pub(crate) pins: BTreeMap<SessionKey, StoredPin>,
    pub(crate) open: BTreeMap<RequestId, (Opening, Millis)>,
    /// Open requests ordered by the time of their record, oldest first.
    pub(crate) open_order: BTreeSet<(Millis, RequestId)>,
    /// Requests that have a bill, with their opening times.
    pub(crate) settled: BTreeMap<RequestId, Millis>,
}

impl Fold {
    /// Returns the state of an empty shard.
    pub fn new(retention: Retention) -> Self {
        Fold {
            retention,
            clock: Millis(0),
            claims: BTreeMap::new(),
            released: BTreeMap::new(),
            pins: BTreeMap::new(),
            open: BTreeMap::new(),
            open_order: BTreeSet::new(),
            settled: BTreeMap::new(),
        }
    }

    /// Applies one segment; `at` is its writer's time. Returns the entries that became final.
    pub fn apply(&mut self, at: Millis, records: &[Record]) -> Vec<FinalEntry> {
        self.advance_clock(at);
        let mut entries = self.close_overdue();
        for record in records {
            entries.extend(self.apply_record(record));
        }
        entries
    }

    /// Returns the time of the journal's clock.
    pub fn clock(&self) -> Millis {
        self.clock
    }

    /// Returns the claim of a key, unless it has expired.
    pub fn claim(&self, key: ClaimKey) -> Option<HeldClaim> {
        let held = self.claims.get(&key)?;
        self.is_retained(held.at, self.retention.claims)
            .then_some(*held)
    }

    /// Whether a request released its claim.
    pub fn is_released(&self, request: RequestId) -> bool {
        let at = self.released.get(&request);
        at.is_some_and(|at| self.is_retained(*at, self.retention.claims))
    }

    /// Returns a session's pin, unless it has expired.
    pub fn pin(&self, session: SessionKey) -> Option<&Pin> {
        let pinned = self.pins.get(&session)?;
        self.is_retained(pinned.at, self.retention.pins)
            .then_some(&pinned.pin)
    }

    /// Whether a request was opened and has no bill yet.
    pub fn is_open(&self, request: RequestId) -> bool {
        self.open.contains_key(&request)
    }

    /// Returns the effect that a bill record would have if it were appended now.
    pub fn bill_state(&self, record: &BillRecord) -> BillState {
        let request = record.request();
        let settled = self.settled.contains_key(&request);
        let open = self.open.contains_key(&request);
        let retained = self.is_retained(record.opened_at(), self.retention.bills);
        match record {
            // After the retention period a request counts as expired even if `purge` has not
            // removed it yet.
            BillRecord::Open(_) if open => BillState::Known,
            BillRecord::Close(_) if open => BillState::New,
            _ if !retained => BillState::TooLate,
            _ if settled => BillState::Known,
            _ => BillState::New,
        }
    }

    /// Removes expired state. All queries return the same before and after.
    pub fn purge(&mut self) {
        let Retention {
            claims,
            pins,
            bills,
            ..
        } = self.retention;
        let clock = self.clock;
        let retained = |at: Millis, retention_ms: u64| clock.0 < at.0.saturating_add(retention_ms);
        self.claims.retain(|_, held| retained(held.at, claims));
        self.released.retain(|_, at| retained(*at, claims));
        self.pins.retain(|_, pinned| retained(pinned.at, pins));
        self.settled.retain(|_, opened| retained(*opened, bills));
    }

    fn is_retained(&self, at: Millis, retention_ms: u64) -> bool {
        self.clock.0 < at.0.saturating_add(retention_ms)
    }

    fn advance_clock(&mut self, at: Millis) {
        let is_first_segment = self.clock == Millis(0);
        let max_clock = self.clock.0.saturating_add(MAX_CLOCK_STEP_MS);
        self.clock = match is_first_segment {
            true => at,
            false => Millis(at.0.clamp(self.clock.0, max_clock)),
        };
    }

    /// Closes requests whose closing is overdue, so that every acknowledged opening gets a bill.
    fn close_overdue(&mut self) -> Vec<FinalEntry> {
        let mut entries = Vec::new();
        while let Some((at, request)) = self.open_order.first().copied() {
            if self.is_retained(at, self.retention.open) {
                break;
            }
            let Some((opening, _)) = self.open.get(&request) else {
                break;
            };
            let closing = interrupted_closing(opening, self.clock);
            entries.push(self.settle_bill(&closing));
        }
        entries
    }

    fn apply_record(&mut self, record: &Record) -> Option<FinalEntry> {
        match record {
            Record::Claim { key, by } => {
                self.apply_claim(*key, *by);
                None
            }
            Record::Release { key, by } => {
                self.apply_release(*key, *by);
                None
            }
            Record::Finish { key, by, outcome } => {
                let held = self.claims.get_mut(key).filter(|held| held.by == *by);
                if let Some(held) = held {
                    held.finished = held.finished.or(Some(*outcome));
                }
                None
            }
            Record::Pin { session, pin } => {
                self.apply_pin(*session, pin);
                None
            }
            Record::Bill(bill) => self.apply_bill(bill),
        }
    }

    /// The first claim of a key wins. A claim whose request was released earlier is ignored: its
    /// write was in flight when the request was refused, and the claim would never be used.
    fn apply_claim(&mut self, key: ClaimKey, by: RequestId) {
        if self.claim(key).is_some() || self.is_released(by) {
            return;
        }
        let held = HeldClaim {
            by,
            at: self.clock,
            finished: None,
        };
        self.claims.insert(key, held);
    }

    fn apply_release(&mut self, key: ClaimKey, by: RequestId) {
        self.released.insert(by, self.clock);
        let held = self.claims.get(&key);
        if held.is_some_and(|held| held.by == by) {
            self.claims.remove(&key);
        }
    }

    fn apply_pin(&mut self, session: SessionKey, pin: &Pin) {
        if self.pin(session).is_some() {
            return;
        }
        let pinned = StoredPin {
            pin: pin.clone(),
            at: self.clock,
        };
        self.pins.insert(session, pinned);
    }

    fn apply_bill(&mut self, record: &BillRecord) -> Option<FinalEntry> {
        match (self.bill_state(record), record) {
            (BillState::New, BillRecord::Open(opening)) => {
                let value = (opening.clone(), self.clock);
                self.open.insert(opening.request, value);
                self.open_order.insert((self.clock, opening.request));
                None
            }
            (BillState::New, BillRecord::Close(closing)) => Some(self.settle_bill(closing)),
            (BillState::TooLate, BillRecord::Close(closing)) => {
                Some(FinalEntry::Late(closing.clone()))
            }
            (BillState::TooLate, BillRecord::Open(_)) | (BillState::Known, _) => None,
        }
    }

    fn settle_bill(&mut self, closing: &Closing) -> FinalEntry {
        if let Some((_, at)) = self.open.remove(&closing.request) {
            self.open_order.remove(&(at, closing.request));
        }
        self.settled.insert(closing.request, closing.opened_at);
        FinalEntry::Bill(closing.clone())
    }
}

/// Returns the closing of a request whose node and bill holders have all failed.
fn interrupted_closing(opening: &Opening, now: Millis) -> Closing {
    Closing {
        request: opening.request,
        customer: opening.customer.clone(),
        service: opening.service.clone(),
        version: None,
        input_tokens: 0,
        output_tokens: 0,
        price: MicroUnits(0),
        outcome: Outcome::Interrupted,
        opened_at: opening.opened_at,
        closed_at: now,
    }
}
