//! The endpoints that a node knows of, what it has under way there, and how they did.

use crate::asking::Report;
use crate::update::Endpoint;
use oatdale_policy::relay::Health;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long after the key-value service came back an entry may still be missing because it lapsed
/// while its endpoint could not renew it. Endpoints write anew within about two seconds.
const RETURN_GRACE: Duration = Duration::from_millis(1_900);

/// How long an endpoint that is gone stays known, so that its last answers find their place.
const KEEP_GONE: Duration = Duration::from_secs(60);

/// An endpoint's place in the directory; never used again for another one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct EndpointKey(u32);

/// All endpoints.
#[derive(Debug, Default)]
pub struct Directory {
    entries: BTreeMap<EndpointKey, Entry>,
    by_id: BTreeMap<String, EndpointKey>,
    next: u32,
    store: Store,
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
    /// Long prompts that other nodes sent there: until when they are read, and their weights.
    others: Vec<(Duration, f64)>,
    /// When it last sent anything to this node.
    pub heard: Duration,
    /// When it was last asked whether it is alive.
    pub probed: Duration,
    /// What it last said of its work.
    pub(crate) report: Option<Report>,
    gone: Gone,
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
    /// Takes over all endpoints there are.
    pub fn replace(&mut self, now: Duration, all: Vec<Endpoint>) {
        let missing: Vec<String> = self
            .by_id
            .keys()
            .filter(|id| !all.iter().any(|e| e.id == **id))
            .cloned()
            .collect();
        for id in missing {
            self.remove(now, &id);
        }
        for endpoint in all {
            self.upsert(now, endpoint);
        }
    }

    /// Takes in an endpoint that is new or changed, and says whether it is news that it leaves.
    pub fn upsert(&mut self, now: Duration, endpoint: Endpoint) -> bool {
        if let Some(&key) = self.by_id.get(&endpoint.id) {
            let Some(entry) = self.entries.get_mut(&key) else {
                return false;
            };
            // One that announced its leaving never comes back under the same id: a record that says
            // otherwise is an older one.
            let left = entry.endpoint.leaving;
            let leaving = left || endpoint.leaving;
            entry.endpoint = Endpoint {
                leaving,
                ..endpoint
            };
            entry.gone = Gone::No;
            return leaving && !left;
        }
        let key = EndpointKey(self.next);
        self.next += 1;
        self.by_id.insert(endpoint.id.clone(), key);
        let entry = Entry {
            endpoint,
            health: Health::default(),
            running: 0,
            load: 0.0,
            others: Vec::new(),
            heard: now,
            probed: Duration::ZERO,
            report: None,
            gone: Gone::No,
        };
        self.entries.insert(key, entry);
        self.forget(now);
        false
    }

    /// Notes that an endpoint announced that it leaves, as another node has read it.
    pub fn leaves(&mut self, id: &str) {
        if let Some(entry) = self.by_id_mut(id) {
            entry.endpoint.leaving = true;
        }
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
            .filter(move |(_, e)| e.endpoint.service == service && e.takes_work(now))
            .map(|(key, e)| (*key, e))
    }

    /// Whether this node has work on another version of a service than `target`.
    pub fn has_other_work(&self, service: &str, target: &str) -> bool {
        self.entries
            .values()
            .filter(|e| e.endpoint.service == service && e.running > 0)
            .any(|e| e.endpoint.version != target)
    }

    /// One endpoint.
    pub fn get(&self, key: EndpointKey) -> Option<&Entry> {
        self.entries.get(&key)
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

impl Entry {
    /// Notes a long prompt that another node sent there.
    pub fn add_others(&mut self, now: Duration, time: Duration, weight: f64) {
        self.others.retain(|(until, _)| *until > now);
        self.others.push((now + time, weight));
    }

    /// What is under way there as far as this node knows.
    pub fn known_load(&self, now: Duration) -> f64 {
        let others = self.others.iter().filter(|(until, _)| *until > now);
        self.load + others.map(|(_, weight)| weight).sum::<f64>()
    }

    /// Whether it may get new work.
    pub fn takes_work(&self, now: Duration) -> bool {
        let there = match self.gone {
            Gone::No => true,
            Gone::At(at) => now < at,
        };
        there && !self.endpoint.leaving
    }

    /// Another endpoint answered at its address: this one is gone, whatever its entry says.
    pub fn replaced(&mut self) {
        self.endpoint.leaving = true;
    }
}
