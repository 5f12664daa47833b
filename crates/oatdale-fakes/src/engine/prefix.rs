//! A cache of prompt prefixes in limited memory, with events that come late and with gaps.

use crate::text;
use oatdale_platform::wire::{CacheChange, CacheEvent};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Tokens of one block.
const BLOCK: usize = 16;

/// Events that a reader may be behind; older ones are lost to it.
const KEPT_EVENTS: usize = 4096;

/// How an engine caches prompts.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct CacheConfig {
    /// Blocks of 16 tokens that fit.
    pub blocks: usize,
    /// How much later an event can be read.
    pub event_lag: Duration,
    /// The share of events, from 0 to 1, that are lost; their numbers are missing.
    pub lost_events: f64,
    /// Decides which events are lost.
    pub seed: u64,
}

impl Default for CacheConfig {
    fn default() -> Self {
        CacheConfig {
            blocks: 4096,
            event_lag: Duration::ZERO,
            lost_events: 0.0,
            seed: 1,
        }
    }
}

#[derive(Debug)]
pub(crate) struct PrefixCache {
    cfg: CacheConfig,
    /// When each block was last used, by its hash.
    used: HashMap<u64, u64>,
    /// The same the other way round; the first is the next to go.
    order: BTreeMap<u64, u64>,
    uses: u64,
    rng: Pcg64Mcg,
    next_event: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl PrefixCache {
    pub(crate) fn new(cfg: CacheConfig) -> Self {
        PrefixCache {
            cfg,
            used: HashMap::new(),
            order: BTreeMap::new(),
            uses: 0,
            rng: Pcg64Mcg::seed_from_u64(cfg.seed),
            next_event: 1,
            events: VecDeque::new(),
        }
    }

    /// Reads a prompt into the cache; returns how many of its tokens were there already.
    pub(crate) fn read(&mut self, version: &str, prompt: &str) -> u32 {
        let mut cached = 0;
        let mut hit = true;
        for block in blocks(version, prompt) {
            hit &= self.used.contains_key(&block);
            cached += if hit { BLOCK } else { 0 };
            self.touch(block);
        }
        u32::try_from(cached).unwrap_or(u32::MAX)
    }

    /// The first event after number `after` that can be read now, or when the next one can.
    pub(crate) fn event_after(&self, after: u64) -> Result<CacheEvent, Option<Instant>> {
        let next = self.events.iter().find(|(_, e)| e.seq > after);
        match next {
            Some((at, event)) if *at <= Instant::now() => Ok(event.clone()),
            Some((at, _)) => Err(Some(*at)),
            None => Err(None),
        }
    }

    fn touch(&mut self, block: u64) {
        if self.cfg.blocks == 0 {
            return;
        }
        self.uses += 1;
        match self.used.insert(block, self.uses) {
            Some(before) => {
                self.order.remove(&before);
            }
            None => self.log(block, CacheChange::Stored),
        }
        self.order.insert(self.uses, block);
        while self.used.len() > self.cfg.blocks {
            let Some((_, oldest)) = self.order.pop_first() else {
                break;
            };
            self.used.remove(&oldest);
            self.log(oldest, CacheChange::Removed);
        }
    }

    fn log(&mut self, block: u64, change: CacheChange) {
        let seq = self.next_event;
        self.next_event += 1;
        if self.rng.random::<f64>() < self.cfg.lost_events {
            return;
        }
        let block = format!("{block:016x}");
        let event = CacheEvent { seq, change, block };
        let at = Instant::now() + self.cfg.event_lag;
        self.events.push_back((at, event));
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}

/// Hashes of a prompt's whole blocks; each covers all that goes before it.
fn blocks(version: &str, prompt: &str) -> Vec<u64> {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let mut parent = text::hash(version);
    words
        .chunks_exact(BLOCK)
        .map(|block| {
            parent = text::hash((parent, block));
            parent
        })
        .collect()
}
