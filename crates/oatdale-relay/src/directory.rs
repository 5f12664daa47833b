//! The endpoints that a node knows of, what it has under way there, and how they did.

use crate::asking::Report;
use crate::state::hash;
use crate::update::Endpoint;
use oatdale_policy::relay::{Health, WarmUp};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// How long after the key-value service came back an entry may still be missing because it lapsed
/// while its endpoint could not renew it. Endpoints write anew within about two seconds.
const RETURN_GRACE: Duration = Duration::from_millis(1_900);

/// How long after an endpoint has started its record may still say nothing of it.
const RECORD_DELAY: Duration = Duration::from_millis(2_500);

/// Time between two notes that an endpoint is unreachable.
const NEWS_INTERVAL: Duration = Duration::from_secs(1);

/// How long an endpoint that is gone stays known, so that its last answers find their place.
const KEEP_GONE: Duration = Duration::from_secs(60);

/// The place of one start of an endpoint in the directory; never used again for another one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct EndpointKey(u32);

/// All endpoints.
#[derive(Debug, Default)]
pub struct Directory {
    entries: BTreeMap<EndpointKey, Entry>,
    by_id: BTreeMap<String, EndpointKey>,
    next: u32,
    store: Store,
    /// Failure domains that operators have evacuated; unset until an order, or that there is none, was read.
    evacuated: Option<BTreeSet<String>>,
}

/// What is known of one endpoint.
#[derive(Debug)]
pub struct Entry {
    /// What the endpoint says of itself.
    pub endpoint: Endpoint,
    /// What its answers tell.
    pub health: Health,
    /// Requests under way from this node.
    pub running: u32,
    /// The same, weighted by their size.
    pub load: f64,
    /// Its number in what nodes tell each other of loads.
    pub(crate) number: u32,
    /// Long prompts that other nodes sent there.
    others: Vec<Heavy>,
    /// When it last sent anything to this node.
    pub last_progress: Duration,
    /// When it was last asked whether it is alive.
    pub probed: Duration,
    /// What it last said of its work.
    pub(crate) report: Option<Report>,
    /// Until when it is cold, as it said last.
    warm_at: Duration,
    /// The latest moment at which it may have become cold without its record saying so yet.
    unnoticed: Option<Duration>,
    /// What this node sent there while it was cold.
    pub(crate) warm_up: WarmUp,
    /// This node's share of what it bears while it is cold, and when that was found out.
    pub(crate) warm_up_share: Option<(Duration, u32)>,
    /// Until when it wants no requests from this node.
    pub(crate) paused_until: Duration,
    /// Cancelled when the endpoint has started again: what it was sent before is lost.
    pub(crate) life: CancellationToken,
    gone: Gone,
}

/// A long prompt that another node sent.
#[derive(Clone, Copy, PartialEq, Debug)]
struct Heavy {
    told: Duration,
    /// When it is read.
    until: Duration,
    weight: f64,
}

/// What a record has told that others, or requests under way, have to know.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum News {
    /// Nothing.
    None,
    /// The endpoint leaves.
    Leaves,
    /// The endpoint has started again under its id; its earlier start was at this address.
    StartedAgain(SocketAddr),
}

/// How many endpoints of a service do not get a request, by reason.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub(crate) struct Shortage {
    /// They had it.
    tried: usize,
    /// They leave or are gone.
    leaving: usize,
    /// Their failure domain is evacuated.
    evacuated: usize,
    /// They want a pause.
    paused: usize,
    /// They are cold, and get no more from this node now.
    cold: usize,
    /// They run a version that the request may not use.
    other: usize,
}

/// Whether an endpoint's entry is there.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Gone {
    No,
    /// Its entry is missing, which may be for an outage of the key-value service alone: it is used
    /// until then.
    At(Duration),
}

/// Whether the key-value service answers.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
enum Store {
    #[default]
    Steady,
    Lost,
    BackSince(Duration),
}

impl Directory {
    /// Takes over all endpoints there are, and returns where those were that have started again.
    pub fn replace(&mut self, now: Duration, all: Vec<Endpoint>) -> Vec<SocketAddr> {
        let is_first = self.entries.is_empty();
        let missing: Vec<String> = self
            .by_id
            .keys()
            .filter(|id| !all.iter().any(|e| e.id == **id))
            .cloned()
            .collect();
        for id in missing {
            self.remove(now, &id);
        }
        let mut before = Vec::new();
        for endpoint in all {
            if let News::StartedAgain(addr) = self.upsert(now, endpoint) {
                before.push(addr);
            }
        }
        if is_first {
            // They may have run for long.
            self.entries.values_mut().for_each(|e| e.unnoticed = None);
        }
        before
    }

    /// Takes in an endpoint that is new or changed.
    ///
    /// A record of an earlier start than the known one was overtaken on its way and changes nothing. A
    /// later start takes the place of the known one with nothing of it: not its leaving, its failures,
    /// its load, nor the requests that it was sent.
    pub fn upsert(&mut self, now: Duration, endpoint: Endpoint) -> News {
        let known = self.by_id.get(&endpoint.id).copied();
        match known.and_then(|key| self.entries.get_mut(&key)) {
            Some(entry) if endpoint.born < entry.endpoint.born => {
                log::info!(
                    target: "directory",
                    "event=overtaken id={} born={:?} known={:?}",
                    endpoint.id, endpoint.born, entry.endpoint.born
                );
                News::None
            }
            Some(entry) if endpoint.born > entry.endpoint.born => {
                entry.end_life(now);
                let before = entry.endpoint.addr;
                self.insert(now, endpoint);
                News::StartedAgain(before)
            }
            Some(entry) => entry.update(now, endpoint),
            None => {
                self.insert(now, endpoint);
                News::None
            }
        }
    }

    fn insert(&mut self, now: Duration, endpoint: Endpoint) {
        let key = EndpointKey(self.next);
        self.next += 1;
        self.by_id.insert(endpoint.id.clone(), key);
        self.entries.insert(key, Entry::new(now, endpoint));
        self.forget(now);
    }

    /// Notes that an endpoint that started at `born` announced that it leaves, as another node has read
    /// it, and says whether that is news.
    pub fn leaves(&mut self, id: &str, born: Option<u64>) -> bool {
        match self.by_id_mut(id) {
            Some(entry) if entry.endpoint.born <= born => {
                !std::mem::replace(&mut entry.endpoint.leaving, true)
            }
            _ => false,
        }
    }

    /// Notes that the entry of an endpoint that started at `born` is missing, as another node has read it.
    pub fn remove_start(&mut self, now: Duration, id: &str, born: Option<u64>) -> bool {
        let is_known = |e: &mut Entry| e.endpoint.born <= born;
        self.by_id_mut(id).is_some_and(is_known) && self.remove(now, id)
    }

    /// Notes that an endpoint's entry is missing, and says whether that is news and no outage explains it.
    ///
    /// While the key-value service is away, and a little longer, entries go missing because their
    /// endpoints could not renew them; all endpoints would seem to be gone at once, and every
    /// request would be refused. In steady times a missing entry is a leaving endpoint.
    pub fn remove(&mut self, now: Duration, id: &str) -> bool {
        let at = match self.store {
            Store::Steady => now,
            Store::Lost => now + RETURN_GRACE,
            Store::BackSince(since) => now.max(since + RETURN_GRACE),
        };
        let entry = self
            .by_id
            .get(id)
            .and_then(|key| self.entries.get_mut(key))
            .filter(|entry| entry.gone == Gone::No);
        match entry {
            Some(entry) => {
                entry.gone = Gone::At(at);
                self.store == Store::Steady
            }
            None => false,
        }
    }

    /// The key-value service does not answer.
    pub fn store_lost(&mut self) {
        self.store = Store::Lost;
    }

    /// The key-value service answers, for the first time or again.
    pub fn store_back(&mut self, now: Duration) {
        if self.store == Store::Lost {
            self.store = Store::BackSince(now);
        }
    }

    /// Ends the time in which missing entries may come back.
    pub fn tick(&mut self, now: Duration) {
        match self.store {
            Store::BackSince(since) if now >= since + RETURN_GRACE => self.store = Store::Steady,
            _ => {}
        }
    }

    /// Takes over which failure domains are evacuated. Their endpoints get nothing new, and go on with what they have.
    pub fn set_evacuated(&mut self, now: Duration, domains: BTreeSet<String>) {
        let before = self.evacuated.replace(domains).unwrap_or_default();
        let domains = self.evacuated.iter().flatten();
        for domain in domains.filter(|d| !before.contains(*d)) {
            log::warn!(target: "directory", "event=domain_evacuated domain={domain}");
        }
        let taken_back = before.into_iter().filter(|d| !self.is_evacuated(d));
        for domain in taken_back.collect::<Vec<_>>() {
            log::warn!(target: "directory", "event=domain_taken_back domain={domain}");
            // They had nothing to do, and their records may tell so later.
            let entries = self.entries.values_mut();
            entries
                .filter(|e| e.endpoint.domain == domain)
                .for_each(|e| e.unnoticed = e.unnoticed.max(Some(now)));
        }
    }

    /// The endpoints of a service that are there and cold, where one of this service may be for `time` unnoticed.
    pub(crate) fn cold_mut(
        &mut self,
        now: Duration,
        service: &str,
        time: Duration,
    ) -> impl Iterator<Item = &mut Entry> {
        let entries = self.entries.values_mut();
        entries.filter(move |e| {
            e.endpoint.service == service && e.takes_work(now) && e.is_cold(now, time)
        })
    }

    /// The failure domains that are evacuated, if that is known.
    pub fn evacuated(&self) -> Option<&BTreeSet<String>> {
        self.evacuated.as_ref()
    }

    fn is_evacuated(&self, domain: &str) -> bool {
        let evacuated = self.evacuated.as_ref();
        evacuated.is_some_and(|domains| domains.contains(domain))
    }

    /// The endpoint with this id.
    pub fn by_id_mut(&mut self, id: &str) -> Option<&mut Entry> {
        let key = self.by_id.get(id)?;
        self.entries.get_mut(key)
    }

    /// The endpoints of a service that may get new work.
    pub fn usable<'a>(
        &'a self,
        now: Duration,
        service: &'a str,
    ) -> impl Iterator<Item = (EndpointKey, &'a Entry)> {
        self.entries
            .iter()
            .filter(move |(_, e)| e.endpoint.service == service && self.may_get_work(now, e))
            .filter(move |(_, e)| now >= e.paused_until)
            .map(|(key, e)| (*key, e))
    }

    /// How long until the first endpoint of a service wants requests from this node again. `None` if one does now,
    /// or if there is none.
    pub fn pause_left(&self, now: Duration, service: &str) -> Option<Duration> {
        let entries = self.entries.values();
        let there = entries.filter(|e| e.endpoint.service == service && self.may_get_work(now, e));
        let first = there.map(|e| e.paused_until).min()?;
        first.checked_sub(now).filter(|left| !left.is_zero())
    }

    fn may_get_work(&self, now: Duration, entry: &Entry) -> bool {
        entry.takes_work(now) && !self.is_evacuated(&entry.endpoint.domain)
    }

    /// Why no endpoint of a service may take a request that was sent to these already.
    pub(crate) fn shortage(
        &self,
        now: Duration,
        service: &str,
        tried: &[EndpointKey],
        has_room: impl Fn(&Entry) -> bool,
    ) -> Shortage {
        let mut shortage = Shortage::default();
        let of_service = |e: &Entry| e.endpoint.service == service;
        for (key, entry) in self.entries.iter().filter(|(_, e)| of_service(e)) {
            let count = match entry {
                _ if tried.contains(key) => &mut shortage.tried,
                e if !e.takes_work(now) => &mut shortage.leaving,
                e if self.is_evacuated(&e.endpoint.domain) => &mut shortage.evacuated,
                e if now < e.paused_until => &mut shortage.paused,
                e if !has_room(e) => &mut shortage.cold,
                _ => &mut shortage.other,
            };
            *count += 1;
        }
        shortage
    }

    /// Whether this node has work on another version of a service than `target`.
    pub fn has_other_work(&self, service: &str, target: &str) -> bool {
        self.entries
            .values()
            .filter(|e| e.endpoint.service == service && e.running > 0)
            .any(|e| e.endpoint.version != target)
    }

    /// What this node has under way at each endpoint, by the endpoint's number.
    pub(crate) fn loads(&self) -> impl Iterator<Item = (u32, f64)> {
        self.entries.values().map(|e| (e.number, e.load))
    }

    /// One endpoint.
    pub fn get(&self, key: EndpointKey) -> Option<&Entry> {
        self.entries.get(&key)
    }

    /// Whether an endpoint has started again since it got this place.
    pub(crate) fn started_again(&self, key: EndpointKey) -> bool {
        self.entries
            .get(&key)
            .is_some_and(|e| e.life.is_cancelled())
    }

    /// One endpoint, to note what it did.
    pub fn get_mut(&mut self, key: EndpointKey) -> Option<&mut Entry> {
        self.entries.get_mut(&key)
    }

    /// All endpoints that are not gone.
    pub fn iter(&self, now: Duration) -> impl Iterator<Item = &Endpoint> {
        let there = move |e: &&Entry| match e.gone {
            Gone::No => true,
            Gone::At(at) => now < at,
        };
        self.entries.values().filter(there).map(|e| &e.endpoint)
    }

    /// How many endpoints are known and not gone.
    pub fn len(&self) -> usize {
        self.entries.values().filter(|e| e.gone == Gone::No).count()
    }

    /// How many endpoints are remembered, those that are gone among them.
    pub fn known(&self) -> usize {
        self.entries.len()
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn forget(&mut self, now: Duration) {
        let old = |e: &Entry| match e.gone {
            Gone::At(at) => e.running == 0 && now > at + KEEP_GONE,
            Gone::No => false,
        };
        self.entries.retain(|_, e| !old(e));
        let entries = &self.entries;
        self.by_id.retain(|_, key| entries.contains_key(key));
    }
}

impl Shortage {
    /// Whether there would be an endpoint if no domain were evacuated.
    pub(crate) fn is_evacuation(&self) -> bool {
        self.evacuated > 0 && self.tried + self.paused + self.cold + self.other == 0
    }
}

impl fmt::Display for Shortage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "tried={} leaving={} evacuated={} paused={} cold={} other={}",
            self.tried, self.leaving, self.evacuated, self.paused, self.cold, self.other
        )
    }
}

impl Entry {
    fn new(now: Duration, endpoint: Endpoint) -> Entry {
        Entry {
            number: hash(&(&endpoint.id, endpoint.born)) as u32,
            warm_at: now.saturating_add(endpoint.cold_left.unwrap_or_default()),
            // One that does not say how it is has just started.
            unnoticed: endpoint.cold_left.is_none().then_some(now),
            warm_up: WarmUp::default(),
            warm_up_share: None,
            endpoint,
            health: Health::default(),
            running: 0,
            load: 0.0,
            others: Vec::new(),
            last_progress: now,
            probed: Duration::ZERO,
            report: None,
            paused_until: Duration::ZERO,
            life: CancellationToken::new(),
            gone: Gone::No,
        }
    }

    /// Takes in another record of the same start.
    ///
    /// One that announced its leaving does not come back without a new start: a record that says
    /// otherwise is an older one.
    fn update(&mut self, now: Duration, endpoint: Endpoint) -> News {
        let known = &self.endpoint;
        let is_other = (endpoint.serial, endpoint.cold_left) != (known.serial, known.cold_left);
        match endpoint.cold_left.filter(|_| is_other) {
            Some(left) if endpoint.serial < known.serial => self.stays_cold(now, left),
            Some(left) => self.set_cold(now, left),
            None => {}
        }
        let left = self.endpoint.leaving;
        let leaving = left || endpoint.leaving;
        self.endpoint = Endpoint {
            leaving,
            ..endpoint
        };
        self.gone = Gone::No;
        match leaving && !left {
            true => News::Leaves,
            false => News::None,
        }
    }

    /// The endpoint has started again: this start is over, with all that it was sent.
    fn end_life(&mut self, now: Duration) {
        self.gone = Gone::At(now);
        self.life.cancel();
    }

    /// Whether it may be cold, if one that started again unnoticed is for `time`.
    pub(crate) fn is_cold(&self, now: Duration, time: Duration) -> bool {
        self.says_cold(now)
            || self
                .unnoticed
                .is_some_and(|at| now < at.saturating_add(time))
    }

    /// Whether it said that it is cold.
    pub(crate) fn says_cold(&self, now: Duration) -> bool {
        now < self.warm_at
    }

    /// Notes how much longer it is cold, as it says itself.
    pub(crate) fn set_cold(&mut self, now: Duration, left: Duration) {
        self.warm_at = now.saturating_add(left);
    }

    /// Notes that it is cold for so long at least.
    pub(crate) fn stays_cold(&mut self, now: Duration, left: Duration) {
        self.warm_at = self.warm_at.max(now.saturating_add(left));
    }

    /// Notes that it could not be reached, so that it may start again soon, and says whether that is news.
    pub(crate) fn unreachable(&mut self, now: Duration) -> bool {
        let latest = now + RECORD_DELAY;
        let before = self.unnoticed.replace(latest);
        before.is_none_or(|before| latest >= before + NEWS_INTERVAL)
    }

    /// Notes a long prompt that another node sent there.
    pub fn add_others(&mut self, now: Duration, time: Duration, weight: f64) {
        self.others.retain(|heavy| heavy.until > now);
        self.others.push(Heavy {
            told: now,
            until: now + time,
            weight,
        });
    }

    /// What is under way there as far as this node knows: its own requests, and others' long prompts, unless
    /// they were told of so long ago that the sums hold them.
    pub fn known_load(&self, now: Duration, summed: Option<Duration>) -> f64 {
        let counts = |h: &&Heavy| h.until > now && summed.is_none_or(|summed| h.told > summed);
        let others = self.others.iter().filter(counts);
        self.load + others.map(|h| h.weight).sum::<f64>()
    }

    /// Whether it was to end: it announced that it leaves or its record is gone, and it has not started again.
    pub(crate) fn left_by_plan(&self, now: Duration) -> bool {
        !self.takes_work(now) && !self.life.is_cancelled()
    }

    /// Whether it may get new work.
    pub fn takes_work(&self, now: Duration) -> bool {
        let there = match self.gone {
            Gone::No => true,
            Gone::At(at) => now < at,
        };
        there && !self.endpoint.leaving
    }

    /// Notes that it wants no requests from this node for a while.
    pub fn pause(&mut self, now: Duration, time: Duration) {
        self.paused_until = self.paused_until.max(now + time);
    }

    /// Another endpoint answered at its address: this one is gone, whatever its entry says.
    pub fn replaced(&mut self) {
        self.endpoint.leaving = true;
    }
}
