//! The configuration held by one member: revisions strictly increase, and peers get deltas.

use crate::delta::{self, Delta};
use crate::types::{HostId, digest64};
use crate::wire::{CHUNK_BYTES, Chunk, DeltaStep, Fetch, MAX_DOCUMENT_BYTES, RevisionOffer};
use bytes::Bytes;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Maximum number of deltas kept for peers that are slightly behind.
const MAX_STEPS: usize = 16;
/// Limit on their total size.
const MAX_STEP_BYTES: usize = 64 * 1024;
/// Time without progress after which another peer is asked.
const FETCH_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of peers that a joining node asks, unless there are fewer.
const JOIN_PEERS: usize = 3;
/// Rate limit on snapshot chunks served; nodes that join at the same time share it.
const MAX_CHUNKS_PER_SECOND: u32 = 64;

/// Whether an offered revision replaces the held one (0 for none).
///
/// All decisions on this are made here; the specification in `tests/` explores this function.
pub fn supersedes(held: u64, offered: u64) -> bool {
    offered > held
}

/// Whether enough peers have answered for a joining node to adopt the highest revision among their
/// answers.
///
/// One stale peer that answers first must not decide which configuration a joining node starts
/// with: callers would see a withdrawn version serve again. The node therefore waits for several
/// answers, for those of all peers it knows, or until it has waited long enough.
pub fn enough_answers(answers: usize, known: usize, waited_enough: bool) -> bool {
    waited_enough || (known > 0 && answers >= known.min(JOIN_PEERS))
}

/// The configuration held and the state of fetching the next one.
#[derive(Debug)]
pub(crate) struct ConfigReplica {
    started_at: Duration,
    joined: bool,
    held: Option<HeldConfig>,
    in_force: u64,
    steps: VecDeque<DeltaStep>,
    /// Last offer of each linked peer.
    offers: BTreeMap<HostId, RevisionOffer>,
    pending_fetch: Option<PendingFetch>,
    serving_second: u64,
    chunks_served: u32,
}

#[derive(Debug)]
struct HeldConfig {
    revision: u64,
    digest: u64,
    document: Bytes,
}

#[derive(Debug)]
struct PendingFetch {
    from: HostId,
    last_activity: Duration,
    /// The part of a snapshot received so far.
    partial: Option<PartialDocument>,
}

#[derive(Debug)]
struct PartialDocument {
    digest: u64,
    bytes: Vec<u8>,
}

/// The reply to a peer's [`Fetch`].
#[derive(Debug)]
pub(crate) enum FetchReply {
    Steps(Vec<DeltaStep>),
    Chunk(Chunk),
    /// The peer has the newest already, or the rate limit on snapshots is reached.
    NoReply,
}

/// The result of applying a message with a part of a configuration.
#[derive(Debug)]
pub(crate) enum Progress {
    /// A newer configuration is held now.
    Adopted,
    /// The rest is to be requested from the same peer.
    FetchMore(Fetch),
    /// The held configuration is the same as before.
    Unchanged,
}

impl ConfigReplica {
    pub(crate) fn new(now: Duration) -> Self {
        ConfigReplica {
            started_at: now,
            joined: false,
            held: None,
            in_force: 0,
            steps: VecDeque::new(),
            offers: BTreeMap::new(),
            pending_fetch: None,
            serving_second: 0,
            chunks_served: 0,
        }
    }

    pub(crate) fn joined(&self) -> bool {
        self.joined
    }

    pub(crate) fn set_joined(&mut self) {
        self.joined = true;
    }

    pub(crate) fn offer_count(&self) -> usize {
        self.offers.len()
    }

    pub(crate) fn time_since_start(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started_at)
    }

    pub(crate) fn revision(&self) -> u64 {
        self.held.as_ref().map_or(0, |h| h.revision)
    }

    pub(crate) fn in_force(&self) -> u64 {
        self.in_force
    }

    pub(crate) fn set_in_force(&mut self, revision: u64) {
        self.in_force = self.in_force.max(revision);
    }

    /// The held revision, to be offered to peers.
    pub(crate) fn local_offer(&self) -> RevisionOffer {
        let (revision, digest) = self
            .held
            .as_ref()
            .map_or((0, 0), |h| (h.revision, h.digest));
        RevisionOffer { revision, digest }
    }

    pub(crate) fn document(&self) -> Option<(u64, Bytes)> {
        self.held.as_ref().map(|h| (h.revision, h.document.clone()))
    }

    /// Adopts a document if it is newer, and keeps the delta from the previous one for peers.
    pub(crate) fn adopt(&mut self, revision: u64, document: Bytes) -> bool {
        let digest = digest64(&document);
        match &self.held {
            Some(h) if h.revision == revision && h.digest != digest => {
                log::error!(
                    "mesh: two different configurations have revision {revision}; keeping the first"
                );
                return false;
            }
            _ if !supersedes(self.revision(), revision) || document.len() > MAX_DOCUMENT_BYTES => {
                return false;
            }
            Some(h) => {
                let from = h.digest;
                match delta::diff(&h.document, &document) {
                    Some(delta) => self.push_step(DeltaStep {
                        from,
                        revision,
                        digest,
                        delta,
                    }),
                    // No usable delta: peers with the previous document get the complete one.
                    None => self.steps.clear(),
                }
            }
            None => {}
        }
        self.held = Some(HeldConfig {
            revision,
            digest,
            document,
        });
        self.pending_fetch = None;
        true
    }

    fn push_step(&mut self, step: DeltaStep) {
        self.steps.push_back(step);
        let total_size = |steps: &VecDeque<DeltaStep>| -> usize {
            steps.iter().map(|s| delta::estimated_size(&s.delta)).sum()
        };
        while self.steps.len() > MAX_STEPS || total_size(&self.steps) > MAX_STEP_BYTES {
            self.steps.pop_front();
        }
    }

    pub(crate) fn record_offer(&mut self, from: HostId, offer: RevisionOffer) {
        self.offers.insert(from, offer);
    }

    pub(crate) fn remove_peer(&mut self, peer: HostId) {
        self.offers.remove(&peer);
        if self.pending_fetch.as_ref().is_some_and(|f| f.from == peer) {
            // The bytes received stay useful: the next peer resumes at their end.
            self.expire_fetch();
        }
    }

    fn expire_fetch(&mut self) {
        if let Some(fetch) = &mut self.pending_fetch {
            fetch.last_activity = Duration::ZERO;
        }
    }

    /// Selects the peer to ask now, if one offers a newer configuration and no fetch is in flight.
    pub(crate) fn next_fetch(&mut self, now: Duration) -> Option<(HostId, Fetch)> {
        let in_flight = |f: &PendingFetch| now.saturating_sub(f.last_activity) < FETCH_TIMEOUT;
        if !self.joined || self.pending_fetch.as_ref().is_some_and(in_flight) {
            return None;
        }
        let tried = self.pending_fetch.as_ref().map(|f| f.from);
        let held = self.revision();
        let best = self
            .offers
            .iter()
            .filter(|(_, o)| supersedes(held, o.revision))
            .max_by_key(|(host, o)| (Some(**host) != tried, o.revision, std::cmp::Reverse(**host)))
            .map(|(host, _)| *host)?;
        let partial = self.pending_fetch.take().and_then(|f| f.partial);
        let fetch = self.fetch_request(partial.as_ref());
        self.pending_fetch = Some(PendingFetch {
            from: best,
            last_activity: now,
            partial,
        });
        Some((best, fetch))
    }

    fn fetch_request(&self, partial: Option<&PartialDocument>) -> Fetch {
        Fetch {
            held_digest: self.local_offer().digest,
            partial: partial.map_or(0, |p| p.digest),
            offset: partial.map_or(0, |p| p.bytes.len() as u32),
        }
    }

    /// Builds the reply to a peer's fetch.
    pub(crate) fn reply_to(&mut self, fetch: &Fetch, now: Duration) -> FetchReply {
        let Some(held) = &self.held else {
            return FetchReply::NoReply;
        };
        if held.digest == fetch.held_digest {
            return FetchReply::NoReply;
        }
        if let Some(at) = self.steps.iter().position(|s| s.from == fetch.held_digest) {
            return FetchReply::Steps(self.steps.range(at..).cloned().collect());
        }
        let offset = match fetch.partial == held.digest {
            true => (fetch.offset as usize).min(held.document.len()),
            false => 0,
        };
        let end = (offset + CHUNK_BYTES).min(held.document.len());
        let chunk = Chunk {
            revision: held.revision,
            digest: held.digest,
            total: held.document.len() as u32,
            offset: offset as u32,
            bytes: held.document.slice(offset..end),
        };
        match self.admit_chunk(now) {
            true => FetchReply::Chunk(chunk),
            false => FetchReply::NoReply,
        }
    }

    fn admit_chunk(&mut self, now: Duration) -> bool {
        if self.serving_second != now.as_secs() {
            self.serving_second = now.as_secs();
            self.chunks_served = 0;
        }
        self.chunks_served += 1;
        self.chunks_served <= MAX_CHUNKS_PER_SECOND
    }

    /// Applies deltas; requests the complete document if one does not apply.
    pub(crate) fn apply_steps(&mut self, steps: &[DeltaStep]) -> Progress {
        let previous_revision = self.revision();
        for step in steps {
            let Some(held) = &self.held else { break };
            if held.digest != step.from || !supersedes(held.revision, step.revision) {
                continue;
            }
            match apply_delta(&held.document, &step.delta, step.digest) {
                Some(document) => self.adopt(step.revision, document),
                None => {
                    log::warn!(
                        "mesh: delta to revision {} does not apply; requesting the \
                         complete document",
                        step.revision
                    );
                    return Progress::FetchMore(Fetch {
                        held_digest: 0,
                        partial: 0,
                        offset: 0,
                    });
                }
            };
        }
        match supersedes(previous_revision, self.revision()) {
            true => Progress::Adopted,
            false => Progress::Unchanged,
        }
    }

    /// Applies a chunk of a complete document.
    pub(crate) fn apply_chunk(&mut self, from: HostId, chunk: &Chunk, now: Duration) -> Progress {
        let held = self.revision();
        let acceptable =
            supersedes(held, chunk.revision) && chunk.total as usize <= MAX_DOCUMENT_BYTES;
        let Some(fetch) = self
            .pending_fetch
            .as_mut()
            .filter(|f| f.from == from && acceptable)
        else {
            return Progress::Unchanged;
        };
        fetch.last_activity = now;
        let resumed = fetch.partial.take().filter(|p| p.digest == chunk.digest);
        let mut partial = resumed.unwrap_or(PartialDocument {
            digest: chunk.digest,
            bytes: Vec::new(),
        });
        if partial.bytes.len() == chunk.offset as usize {
            partial.bytes.extend_from_slice(&chunk.bytes);
        }
        if partial.bytes.len() < chunk.total as usize {
            let next_part = Fetch {
                held_digest: 0,
                partial: partial.digest,
                offset: partial.bytes.len() as u32,
            };
            fetch.partial = Some(partial);
            return Progress::FetchMore(next_part);
        }
        self.pending_fetch = None;
        let complete = digest64(&partial.bytes) == chunk.digest;
        match complete && self.adopt(chunk.revision, partial.bytes.into()) {
            true => Progress::Adopted,
            false => Progress::Unchanged,
        }
    }
}

fn apply_delta(from: &[u8], delta: &Delta, digest: u64) -> Option<Bytes> {
    let document = delta::apply(from, delta).ok()?;
    (document.len() <= MAX_DOCUMENT_BYTES && digest64(&document) == digest).then_some(document)
}
