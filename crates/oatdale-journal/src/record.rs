//! What the journal keeps.

use std::fmt;

/// Names one request of one caller; unique over all nodes and their incarnations.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct RequestId(pub u128);

/// A digest of a customer's name and its caller's `Idempotency-Key`.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct ClaimKey(pub [u8; 32]);

/// A digest of a customer's name and the name that its caller gave a session.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct SessionKey(pub [u8; 32]);

/// Wall-clock time in milliseconds since the Unix epoch.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct Millis(pub u64);

/// An amount of money in millionths of the currency unit.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct MicroUnits(pub u64);

/// How a request ended.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum Outcome {
    /// The caller got its whole answer.
    Complete,
    /// The answer broke off, or the node that served it vanished.
    Interrupted,
}

/// The news that a request was dispatched, so that it will have a bill whatever becomes of its
/// node.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct Opening {
    /// The request.
    pub request: RequestId,
    /// The customer's name.
    pub customer: String,
    /// The service's name.
    pub service: String,
    /// When the request was first dispatched.
    pub opened_at: Millis,
}

/// A request's bill, as its node or a holder closes it.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct Closing {
    /// The request.
    pub request: RequestId,
    /// The customer's name.
    pub customer: String,
    /// The service's name.
    pub service: String,
    /// The version that gave the answer, such as `planner/2026-11`; `None` for plain services.
    pub version: Option<String>,
    /// Tokens of prompt.
    pub input_tokens: u64,
    /// Generated tokens.
    pub output_tokens: u64,
    /// What the customer pays.
    pub price: MicroUnits,
    /// How the request ended.
    pub outcome: Outcome,
    /// When the request was first dispatched; the same in all records of a request.
    pub opened_at: Millis,
    /// When it ended.
    pub closed_at: Millis,
}

/// A record about a request's bill.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub enum BillRecord {
    /// The request was dispatched.
    Open(Opening),
    /// The request ended.
    Close(Closing),
}

/// The versions that a session keeps.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct Pin {
    /// Full names of versions, one for each model that the session uses.
    pub versions: Vec<String>,
    /// When its first writer pinned it.
    pub opened_at: Millis,
}

/// One record of a segment.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub enum Record {
    /// A request wants to be the only one of its key that is dispatched.
    Claim {
        /// The key.
        key: ClaimKey,
        /// The request.
        by: RequestId,
    },
    /// A request gives its claim back, or one that may still arrive: it will never be dispatched.
    Release {
        /// The key.
        key: ClaimKey,
        /// The request.
        by: RequestId,
    },
    /// A request that holds a claim ended.
    Finish {
        /// The key.
        key: ClaimKey,
        /// The request.
        by: RequestId,
        /// How it ended.
        outcome: Outcome,
    },
    /// A session's versions; only the first one counts.
    Pin {
        /// The session.
        session: SessionKey,
        /// Its versions.
        pin: Pin,
    },
    /// A bill's opening or closing.
    Bill(BillRecord),
}

/// Where a segment was written: the shards are independent logs.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct ShardId(pub u16);

impl BillRecord {
    /// The request that it speaks of.
    pub fn request(&self) -> RequestId {
        match self {
            BillRecord::Open(opening) => opening.request,
            BillRecord::Close(closing) => closing.request,
        }
    }

    /// When the request was first dispatched.
    pub fn opened_at(&self) -> Millis {
        match self {
            BillRecord::Open(opening) => opening.opened_at,
            BillRecord::Close(closing) => closing.opened_at,
        }
    }
}

impl Record {
    /// The shard of `shards` that the record belongs to; all records of a key share it.
    pub fn shard(&self, shards: u16) -> ShardId {
        let key_hash = match self {
            Record::Claim { key, .. }
            | Record::Release { key, .. }
            | Record::Finish { key, .. } => fnv1a(&key.0),
            Record::Pin { session, .. } => fnv1a(&session.0),
            Record::Bill(bill) => fnv1a(&bill.request().0.to_be_bytes()),
        };
        ShardId((key_hash % u64::from(shards)) as u16)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// FNV-1a; every node and every release must give the same shard for a key.
fn fnv1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
