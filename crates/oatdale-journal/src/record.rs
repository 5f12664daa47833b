//! Records of the journal and the types they consist of.

use std::fmt;

/// Identifier of a request, unique across all nodes and their incarnations.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct RequestId(pub u128);

/// Digest of a customer's name and the `Idempotency-Key` that its caller sent.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct ClaimKey(pub [u8; 32]);

/// Digest of a customer's name and the session name that its caller sent.
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
    /// The caller received the complete response.
    Complete,
    /// The response was cut off, or the node that served it failed.
    Interrupted,
}

/// Record of a request's dispatch, which ensures that the request gets a bill even if its node
/// fails.
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

/// A request's bill, written by its node or by another node that holds the bill for it.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct Closing {
    /// The request.
    pub request: RequestId,
    /// The customer's name.
    pub customer: String,
    /// The service's name.
    pub service: String,
    /// The version that served the request, such as `planner/2026-11`; `None` for plain services.
    pub version: Option<String>,
    /// Prompt tokens.
    pub input_tokens: u64,
    /// Generated tokens.
    pub output_tokens: u64,
    /// Price that the customer is charged.
    pub price: MicroUnits,
    /// How the request ended.
    pub outcome: Outcome,
    /// When the request was first dispatched; identical in all records of a request.
    pub opened_at: Millis,
    /// When the request ended.
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

/// The versions that a session is pinned to.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct Pin {
    /// Full version names, one for each model that the session uses.
    pub versions: Vec<String>,
    /// When the session was first pinned.
    pub opened_at: Millis,
}

/// One record of a segment.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub enum Record {
    /// Claims a key, so that this request is the only one with the key to be dispatched.
    Claim {
        /// The key.
        key: ClaimKey,
        /// The request.
        by: RequestId,
    },
    /// Releases a claim of a request that will never be dispatched. The claim's record may also
    /// arrive later.
    Release {
        /// The key.
        key: ClaimKey,
        /// The request.
        by: RequestId,
    },
    /// Records that the request that holds a claim has ended.
    Finish {
        /// The key.
        key: ClaimKey,
        /// The request.
        by: RequestId,
        /// How it ended.
        outcome: Outcome,
    },
    /// Pins a session to versions; only the first pin of a session takes effect.
    Pin {
        /// The session.
        session: SessionKey,
        /// Its versions.
        pin: Pin,
    },
    /// Opens or closes a bill.
    Bill(BillRecord),
}

/// Index of a shard; each shard is an independent log.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct ShardId(pub u16);

impl BillRecord {
    /// The request that the record is about.
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
    /// The record's shard out of `shards`; all records of a key are in the same shard.
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

/// FNV-1a hash. It must not change between nodes or releases, since it selects a key's shard.
fn fnv1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
