//! The configuration as one member holds it: strictly rising, served to others as deltas.

use crate::delta::{self, Delta};
use crate::types::{HostId, digest64};
use crate::wire::{CHUNK, Chunk, Fetch, MAX_DOCUMENT, Newest, Step};
use bytes::Bytes;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Deltas that are kept for peers who are a little behind.
const MAX_STEPS: usize = 16;
/// Their size in bytes at most.
const MAX_STEP_BYTES: usize = 64 * 1024;
/// After this, another peer is asked.
const FETCH_TIMEOUT: Duration = Duration::from_millis(300);
/// Peers that a joiner asks, unless there are fewer.
const JOIN_PEERS: usize = 3;
/// Pieces of snapshots that a node serves in a second; joiners that come together share them.
const CHUNKS_PER_SECOND: u32 = 64;

/// Whether a revision that is offered replaces the one that is held (0 for none).
///
/// This is the only place that decides it; the specification in `tests/` explores this function.
pub fn newer(held: u64, offered: u64) -> bool {
    offered > held
}

/// Whether a joiner has asked enough peers to take the highest revision among their answers.
///
/// One stale peer that answers first must not decide what a joiner starts with: callers would see
/// a withdrawn version serve again. So it waits for several, or for all that it knows of, or until
/// it has waited long enough.
pub fn settled(answers: usize, known: usize, waited_enough: bool) -> bool {
    waited_enough || (known > 0 && answers >= known.min(JOIN_PEERS))
}

/// The configuration that is held and how the next one comes.
#[derive(Debug)]
pub(crate) struct Spread {
    started: Duration,
    joined: bool,
    held: Option<Held>,
    in_force: u64,
    steps: VecDeque<Step>,
    /// What each linked peer holds, as last heard.
    offers: BTreeMap<HostId, Newest>,
    fetching: Option<Fetching>,
    served_in: u64,
    served: u32,
}

#[derive(Debug)]
struct Held {
    revision: u64,
    digest: u64,
    document: Bytes,
}

#[derive(Debug)]
struct Fetching {
    from: HostId,
    since: Duration,
    /// What arrived of a snapshot.
    partial: Option<Partial>,
}

#[derive(Debug)]
struct Partial {
    digest: u64,
    bytes: Vec<u8>,
}

/// What a peer gets for its [`Fetch`].
#[derive(Debug)]
pub(crate) enum Answer {
    Steps(Vec<Step>),
    Chunk(Chunk),
    /// It has the newest already, or the bound for snapshots is reached.
    Nothing,
}

/// What came of a message with a part of a configuration.
#[derive(Debug)]
pub(crate) enum Progress {
    /// A newer one is held now.
    Adopted,
    /// Ask the same peer again.
    Ask(Fetch),
    /// Nothing to do.
    Nothing,
}

impl Spread {
    pub(crate) fn new(now: Duration) -> Self {
        Spread {
            started: now,
            joined: false,
            held: None,
            in_force: 0,
            steps: VecDeque::new(),
            offers: BTreeMap::new(),
            fetching: None,
            served_in: 0,
            served: 0,
        }
    }

    pub(crate) fn joined(&self) -> bool {
        self.joined
    }

    pub(crate) fn set_joined(&mut self) {
        self.joined = true;
    }

    pub(crate) fn answers(&self) -> usize {
        self.offers.len()
    }

    pub(crate) fn waited(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started)
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

    /// What is held, for peers.
    pub(crate) fn newest(&self) -> Newest {
        let (revision, digest) = self
            .held
            .as_ref()
            .map_or((0, 0), |h| (h.revision, h.digest));
        Newest { revision, digest }
    }

    pub(crate) fn document(&self) -> Option<(u64, Bytes)> {
        self.held.as_ref().map(|h| (h.revision, h.document.clone()))
    }

    /// Takes a document if it is newer, and remembers how it differs from the one before.
    pub(crate) fn adopt(&mut self, revision: u64, document: Bytes) -> bool {
        let digest = digest64(&document);
        match &self.held {
            Some(h) if h.revision == revision && h.digest != digest => {
                log::error!("mesh: two texts under revision {revision}; keeping the first");
                return false;
            }
            _ if !newer(self.revision(), revision) || document.len() > MAX_DOCUMENT => {
                return false;
            }
            Some(h) => {
                let from = h.digest;
                match delta::between(&h.document, &document) {
                    Some(delta) => self.remember(Step {
                        from,
                        revision,
                        digest,
                        delta,
                    }),
                    // Peers with the former document get the whole one.
                    None => self.steps.clear(),
                }
            }
            None => {}
        }
        self.held = Some(Held {
            revision,
            digest,
            document,
        });
        self.fetching = None;
        true
    }

    fn remember(&mut self, step: Step) {
        self.steps.push_back(step);
        let size =
            |steps: &VecDeque<Step>| -> usize { steps.iter().map(|s| delta::size(&s.delta)).sum() };
        while self.steps.len() > MAX_STEPS || size(&self.steps) > MAX_STEP_BYTES {
            self.steps.pop_front();
        }
    }

    pub(crate) fn offered(&mut self, from: HostId, offer: Newest) {
        self.offers.insert(from, offer);
    }

    pub(crate) fn lost(&mut self, peer: HostId) {
        self.offers.remove(&peer);
        if self.fetching.as_ref().is_some_and(|f| f.from == peer) {
            // What arrived stays useful: the next peer goes on where this one stopped.
            self.expire_fetch();
        }
    }

    fn expire_fetch(&mut self) {
        if let Some(fetch) = &mut self.fetching {
            fetch.since = Duration::ZERO;
        }
    }

    /// The peer to ask now, if there is a newer configuration and nobody is asked yet.
    pub(crate) fn next_fetch(&mut self, now: Duration) -> Option<(HostId, Fetch)> {
        let busy = |f: &Fetching| now.saturating_sub(f.since) < FETCH_TIMEOUT;
        if !self.joined || self.fetching.as_ref().is_some_and(busy) {
            return None;
        }
        let tried = self.fetching.as_ref().map(|f| f.from);
        let held = self.revision();
        let best = self
            .offers
            .iter()
            .filter(|(_, o)| newer(held, o.revision))
            .max_by_key(|(host, o)| (Some(**host) != tried, o.revision, std::cmp::Reverse(**host)))
            .map(|(host, _)| *host)?;
        let partial = self.fetching.take().and_then(|f| f.partial);
        let fetch = self.request(partial.as_ref());
        self.fetching = Some(Fetching {
            from: best,
            since: now,
            partial,
        });
        Some((best, fetch))
    }

    fn request(&self, partial: Option<&Partial>) -> Fetch {
        Fetch {
            have: self.newest().digest,
            partial: partial.map_or(0, |p| p.digest),
            offset: partial.map_or(0, |p| p.bytes.len() as u32),
        }
    }

    /// Answers a peer.
    pub(crate) fn answer(&mut self, fetch: &Fetch, now: Duration) -> Answer {
        let Some(held) = &self.held else {
            return Answer::Nothing;
        };
        if held.digest == fetch.have {
            return Answer::Nothing;
        }
        if let Some(at) = self.steps.iter().position(|s| s.from == fetch.have) {
            return Answer::Steps(self.steps.range(at..).cloned().collect());
        }
        let offset = match fetch.partial == held.digest {
            true => (fetch.offset as usize).min(held.document.len()),
            false => 0,
        };
        let end = (offset + CHUNK).min(held.document.len());
        let chunk = Chunk {
            revision: held.revision,
            digest: held.digest,
            total: held.document.len() as u32,
            offset: offset as u32,
            bytes: held.document.slice(offset..end),
        };
        match self.may_serve(now) {
            true => Answer::Chunk(chunk),
            false => Answer::Nothing,
        }
    }

    fn may_serve(&mut self, now: Duration) -> bool {
        if self.served_in != now.as_secs() {
            self.served_in = now.as_secs();
            self.served = 0;
        }
        self.served += 1;
        self.served <= CHUNKS_PER_SECOND
    }

    /// Applies deltas; asks for the whole text where they do not fit.
    pub(crate) fn steps(&mut self, steps: &[Step]) -> Progress {
        let before = self.revision();
        for step in steps {
            let Some(held) = &self.held else { break };
            if held.digest != step.from || !newer(held.revision, step.revision) {
                continue;
            }
            match patched(&held.document, &step.delta, step.digest) {
                Some(document) => self.adopt(step.revision, document),
                None => {
                    log::warn!("mesh: delta to revision {} does not fit", step.revision);
                    return Progress::Ask(Fetch {
                        have: 0,
                        partial: 0,
                        offset: 0,
                    });
                }
            };
        }
        match newer(before, self.revision()) {
            true => Progress::Adopted,
            false => Progress::Nothing,
        }
    }

    /// Takes a piece of a whole text.
    pub(crate) fn chunk(&mut self, from: HostId, chunk: &Chunk, now: Duration) -> Progress {
        let held = self.revision();
        let fits = newer(held, chunk.revision) && chunk.total as usize <= MAX_DOCUMENT;
        let Some(fetch) = self.fetching.as_mut().filter(|f| f.from == from && fits) else {
            return Progress::Nothing;
        };
        fetch.since = now;
        let same = fetch.partial.take().filter(|p| p.digest == chunk.digest);
        let mut partial = same.unwrap_or(Partial {
            digest: chunk.digest,
            bytes: Vec::new(),
        });
        if partial.bytes.len() == chunk.offset as usize {
            partial.bytes.extend_from_slice(&chunk.bytes);
        }
        if partial.bytes.len() < chunk.total as usize {
            let ask = Fetch {
                have: 0,
                partial: partial.digest,
                offset: partial.bytes.len() as u32,
            };
            fetch.partial = Some(partial);
            return Progress::Ask(ask);
        }
        self.fetching = None;
        let whole = digest64(&partial.bytes) == chunk.digest;
        match whole && self.adopt(chunk.revision, partial.bytes.into()) {
            true => Progress::Adopted,
            false => Progress::Nothing,
        }
    }
}

fn patched(from: &[u8], delta: &Delta, digest: u64) -> Option<Bytes> {
    let document = delta::apply(from, delta).ok()?;
    (document.len() <= MAX_DOCUMENT && digest64(&document) == digest).then_some(document)
}
