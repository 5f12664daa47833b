//! Registry of the endpoints known to a node, with the load this node puts on each and its health.

mod limits;
mod sample;

pub(crate) use crate::directory::limits::Permits;

use crate::probe::ProbeReport;
use crate::state::LimitedEndpoints;
use crate::update::Endpoint;
use oatdale_policy::relay::{EndpointFate, Health, PermitSeeker, RequestLimit, WarmUp};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Grace period after the key-value service recovers in which an entry may still be missing because
/// its lease expired while its endpoint could not renew it. Endpoints rewrite their entries within
/// about two seconds.
const RECOVERY_GRACE: Duration = Duration::from_millis(1_900);

/// Maximum delay between an endpoint's restart and the record that shows it.
const RESTART_RECORD_DELAY: Duration = Duration::from_millis(2_500);

/// Minimum time between two reports that an endpoint is unreachable.
const UNREACHABLE_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// How long a removed endpoint stays in the directory, so that its last responses can still be
/// attributed to it.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);

/// Directory key of one incarnation of an endpoint: each start of its process gets a new key, and
/// keys are never reused.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct EndpointKey(u32);

/// Directory of all known endpoints.
#[derive(Debug, Default)]
pub struct Directory {
    entries: BTreeMap<EndpointKey, Entry>,
    by_id: BTreeMap<String, EndpointKey>,
    by_service: BTreeMap<String, BTreeSet<EndpointKey>>,
    /// Endpoints with in-flight requests from this node.
    busy: BTreeSet<EndpointKey>,
    next_key: u32,
    /// Number of registered endpoints, counted as they change: walking all entries after each of
    /// thousands of records would take time that grows with the square of their number.
    registered: usize,
    /// Endpoints whose entries went missing, in the order in which they may be evicted.
    removed: VecDeque<(Duration, EndpointKey)>,
    /// Number of entries that were looked at one after the other, since the start.
    visited: Cell<u64>,
    store: StoreState,
    /// Rejections in a second that the endpoints of a service bear, for services that state it.
    max_rejections: BTreeMap<String, u32>,
    /// Failure domains evacuated by operators; `None` until the evacuation orders, or their
    /// absence, have been read.
    evacuated: Option<BTreeSet<String>>,
}

/// State of one incarnation of an endpoint.
///
/// A cold endpoint is one that is still warming up; its service may limit its request rate.
#[derive(Debug)]
pub struct Entry {
    /// The endpoint's own record.
    pub endpoint: Endpoint,
    /// Health as observed from its responses.
    pub health: Health,
    /// In-flight requests from this node.
    pub in_flight: u32,
    /// In-flight requests from this node, weighted by their size.
    pub load: f64,
    /// Number that identifies the endpoint in load reports between nodes.
    pub(crate) number: u32,
    /// Long prompts sent to it by other nodes.
    remote_prompts: Vec<LongPrompt>,
    /// When this node first read its record.
    known_since: Duration,
    /// When this node last received bytes from it.
    pub last_progress: Duration,
    /// When a probe was last sent to it.
    pub last_probe: Duration,
    /// Last report of its work.
    pub(crate) report: Option<ProbeReport>,
    /// When it stops being cold, as it last announced.
    cold_until: Duration,
    /// The latest time at which it may have become cold without its record saying so.
    maybe_cold_since: Option<Duration>,
    /// Requests sent to it by this node while it was cold.
    pub(crate) warm_up: WarmUp,
    /// When this node's share of the cold endpoint's request rate was last computed, and the share
    /// in requests per second.
    pub(crate) warm_up_share: Option<(Duration, u32)>,
    /// Limit on its requests from all nodes together, as it last stated.
    pub(crate) limit: RequestLimit,
    /// Permits for it; unset as long as it has never had a limit, as most endpoints.
    permits: Option<Box<Permits>>,
    /// End of the back-off that it asked this node for.
    pub(crate) back_off_until: Duration,
    /// Cancelled when the endpoint restarts: requests in flight to it are lost.
    pub(crate) restart_token: CancellationToken,
    /// Whether another endpoint has its address.
    is_replaced: bool,
    registration: Registration,
}

/// Long prompt sent by another node.
#[derive(Clone, Copy, PartialEq, Debug)]
struct LongPrompt {
    announced_at: Duration,
    /// When the engine has finished reading it.
    read_at: Duration,
    weight: f64,
}

/// Change in a record that other nodes or in-flight requests must be notified of.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RecordChange {
    /// No relevant change.
    None,
    /// The endpoint announced that it is leaving.
    Leaves,
    /// The endpoint restarted under the same id; holds the address of its previous incarnation.
    Restarted(SocketAddr),
}

/// Number of endpoints of a service that cannot take a request, by reason.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub(crate) struct IneligibleCounts {
    /// Already tried for this request.
    tried: usize,
    /// Leaving or removed.
    leaving: usize,
    /// In an evacuated failure domain.
    evacuated: usize,
    /// In a back-off that they asked for.
    paused: usize,
    /// Limiting their requests, and this node has no permit.
    limited: usize,
    /// Cold, and this node's share of their request rate is used up.
    cold: usize,
    /// Running a version that the request must not use.
    other_version: usize,
}

/// Whether an endpoint's entry is registered.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Registration {
    Present,
    /// The entry is missing, possibly only because of an outage of the key-value service; the
    /// endpoint is used until this time.
    ExpiresAt(Duration),
}

/// Availability of the key-value service.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
enum StoreState {
    #[default]
    Up,
    Down,
    /// Recovered at this time; missing entries are still in their grace period.
    Recovered(Duration),
}

impl Directory {
    /// Replaces all endpoints and returns the previous addresses of those that have restarted.
    pub fn replace(&mut self, now: Duration, all: Vec<Endpoint>) -> Vec<SocketAddr> {
        let is_first = self.entries.is_empty();
        let present: HashSet<&str> = all.iter().map(|e| e.id.as_str()).collect();
        let missing = self
            .by_id
            .keys()
            .filter(|id| !present.contains(id.as_str()));
        let missing: Vec<String> = missing.cloned().collect();
        for id in missing {
            self.remove(now, &id);
        }
        let mut previous_addrs = Vec::new();
        for endpoint in all {
            if let RecordChange::Restarted(addr) = self.upsert(now, endpoint) {
                previous_addrs.push(addr);
            }
        }
        if is_first {
            // On the first read, endpoints that report no cold time may have been running for long.
            self.entries
                .values_mut()
                .for_each(|e| e.maybe_cold_since = None);
        }
        previous_addrs
    }

    /// Inserts or updates an endpoint.
    ///
    /// A record of an earlier incarnation than the known one is stale and is ignored. A later one
    /// replaces the known one and inherits nothing from it: not its leaving state, its failures,
    /// its load or its in-flight requests.
    pub fn upsert(&mut self, now: Duration, endpoint: Endpoint) -> RecordChange {
        let known = self.by_id.get(&endpoint.id).copied();
        match known.and_then(|key| self.entries.get_mut(&key)) {
            Some(entry) if endpoint.born < entry.endpoint.born => {
                log::info!(
                    target: "directory",
                    "event=stale_record id={} born={:?} known={:?}",
                    endpoint.id, endpoint.born, entry.endpoint.born
                );
                RecordChange::None
            }
            Some(entry) if endpoint.born > entry.endpoint.born => {
                let previous_addr = entry.endpoint.addr;
                let was_registered = entry.registration == Registration::Present;
                entry.retire(now);
                self.registered -= usize::from(was_registered);
                self.removed
                    .extend(known.map(|key| (now + REMOVED_RETENTION, key)));
                self.insert(now, endpoint);
                RecordChange::Restarted(previous_addr)
            }
            Some(entry) => {
                self.registered += usize::from(entry.registration != Registration::Present);
                let previous = std::mem::take(&mut entry.endpoint.service);
                let change = entry.update(now, endpoint);
                self.move_to_service(known, &previous);
                change
            }
            None => {
                self.insert(now, endpoint);
                RecordChange::None
            }
        }
    }

    fn insert(&mut self, now: Duration, endpoint: Endpoint) {
        let key = EndpointKey(self.next_key);
        self.next_key += 1;
        self.by_id.insert(endpoint.id.clone(), key);
        let service = self.by_service.entry(endpoint.service.clone());
        service.or_default().insert(key);
        let limit = self.initial_limit(now, &endpoint.service);
        self.entries.insert(key, Entry::new(now, endpoint, limit));
        self.registered += 1;
        self.evict_removed(now);
    }

    /// Moves an endpoint whose record names another service than before.
    fn move_to_service(&mut self, key: Option<EndpointKey>, previous: &str) {
        let entry = key.and_then(|key| Some((key, self.entries.get(&key)?)));
        let Some((key, entry)) = entry.filter(|(_, e)| e.endpoint.service != previous) else {
            return;
        };
        let service = self.by_service.entry(entry.endpoint.service.clone());
        service.or_default().insert(key);
        self.remove_from_service(key, previous);
    }

    fn remove_from_service(&mut self, key: EndpointKey, service: &str) {
        if let Some(keys) = self.by_service.get_mut(service) {
            keys.remove(&key);
            if keys.is_empty() {
                self.by_service.remove(service);
            }
        }
    }

    /// Returns the entries of a service, counted as visited.
    fn of_service(&self, service: &str) -> impl Iterator<Item = (EndpointKey, &Entry)> {
        let keys = self.by_service.get(service).into_iter().flatten();
        keys.filter_map(|key| {
            self.count_visit();
            Some((*key, self.entries.get(key)?))
        })
    }

    fn count_visit(&self) {
        self.visited.set(self.visited.get() + 1);
    }

    /// Counts a request that this node sends to an endpoint.
    pub fn begin_request(&mut self, key: EndpointKey, weight: f64) -> Option<&mut Entry> {
        let entry = self.entries.get_mut(&key)?;
        self.busy.insert(key);
        entry.in_flight += 1;
        entry.load += weight;
        Some(entry)
    }

    /// Ends a request that [`begin_request`](Directory::begin_request) counted.
    pub fn end_request(&mut self, key: EndpointKey, weight: f64) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        entry.in_flight = entry.in_flight.saturating_sub(1);
        // Floating-point sums drift; an idle endpoint has exactly zero load.
        entry.load = match entry.in_flight {
            0 => 0.0,
            _ => (entry.load - weight).max(0.0),
        };
        if entry.in_flight == 0 {
            self.busy.remove(&key);
        }
    }

    /// Marks an endpoint that started at `born` as leaving, on notice from another node. Returns
    /// whether it was not marked before.
    pub fn mark_leaving(&mut self, id: &str, born: Option<u64>) -> bool {
        match self.by_id_mut(id) {
            Some(entry) if entry.endpoint.born <= born => {
                !std::mem::replace(&mut entry.endpoint.leaving, true)
            }
            _ => false,
        }
    }

    /// Removes an endpoint that started at `born` and whose entry another node found missing.
    pub fn remove_incarnation(&mut self, now: Duration, id: &str, born: Option<u64>) -> bool {
        let is_not_later = |e: &mut Entry| e.endpoint.born <= born;
        self.by_id_mut(id).is_some_and(is_not_later) && self.remove(now, id)
    }

    /// Removes an endpoint whose entry is missing. Returns whether the endpoint was registered
    /// until now and its entry cannot have expired in an outage.
    ///
    /// While the key-value service is unavailable, and shortly after, entries expire because their
    /// endpoints cannot renew them; removing all of them at once would refuse every request. While
    /// the service is available, a missing entry means that the endpoint is leaving.
    pub fn remove(&mut self, now: Duration, id: &str) -> bool {
        let expires_at = match self.store {
            StoreState::Up => now,
            StoreState::Down => now + RECOVERY_GRACE,
            StoreState::Recovered(recovered_at) => now.max(recovered_at + RECOVERY_GRACE),
        };
        let key = self.by_id.get(id).copied();
        let entry = key.and_then(|key| Some((key, self.entries.get_mut(&key)?)));
        match entry {
            Some((key, entry)) if entry.registration == Registration::Present => {
                entry.registration = Registration::ExpiresAt(expires_at);
                self.registered -= 1;
                self.removed
                    .push_back((expires_at + REMOVED_RETENTION, key));
                self.store == StoreState::Up
            }
            _ => false,
        }
    }

    /// Records that the key-value service does not answer.
    pub fn mark_store_unavailable(&mut self) {
        self.store = StoreState::Down;
    }

    /// Records that the key-value service answers, for the first time or again.
    pub fn mark_store_available(&mut self, now: Duration) {
        if self.store == StoreState::Down {
            self.store = StoreState::Recovered(now);
        }
    }

    /// Ends the grace period for missing entries once it is over.
    pub fn tick(&mut self, now: Duration) {
        match self.store {
            StoreState::Recovered(at) if now >= at + RECOVERY_GRACE => self.store = StoreState::Up,
            _ => {}
        }
    }

    /// Sets the evacuated failure domains. Their endpoints get no new requests and finish those in
    /// flight.
    pub fn set_evacuated(&mut self, now: Duration, domains: BTreeSet<String>) {
        let previous = self.evacuated.replace(domains).unwrap_or_default();
        let domains = self.evacuated.iter().flatten();
        for domain in domains.filter(|d| !previous.contains(*d)) {
            log::warn!(target: "directory", "event=domain_evacuated domain={domain}");
        }
        let lifted = previous.into_iter().filter(|d| !self.is_evacuated(d));
        for domain in lifted.collect::<Vec<_>>() {
            log::warn!(target: "directory", "event=domain_evacuation_lifted domain={domain}");
            // Its endpoints were idle and may have become cold; their records may show this later.
            let entries = self.entries.values_mut();
            entries
                .filter(|e| e.endpoint.domain == domain)
                .for_each(|e| e.maybe_cold_since = e.maybe_cold_since.max(Some(now)));
        }
    }

    /// Returns the available endpoints of a service that may be cold. `cold_time` is how long one
    /// stays cold that restarted unnoticed.
    pub(crate) fn cold_endpoints_mut(
        &mut self,
        now: Duration,
        service: &str,
        cold_time: Duration,
    ) -> impl Iterator<Item = &mut Entry> {
        let (entries, visited) = (self.entries.values_mut(), &self.visited);
        entries.filter(move |e| {
            visited.set(visited.get() + 1);
            e.endpoint.service == service
                && e.accepts_new_requests(now)
                && e.is_cold(now, cold_time)
        })
    }

    /// Returns the evacuated failure domains, or `None` if they are not known yet.
    pub fn evacuated(&self) -> Option<&BTreeSet<String>> {
        self.evacuated.as_ref()
    }

    fn is_evacuated(&self, domain: &str) -> bool {
        let evacuated = self.evacuated.as_ref();
        evacuated.is_some_and(|domains| domains.contains(domain))
    }

    /// Returns the endpoint with this id.
    pub fn by_id_mut(&mut self, id: &str) -> Option<&mut Entry> {
        let key = self.by_id.get(id)?;
        self.entries.get_mut(key)
    }

    /// Returns the endpoints of a service that are to be used, whether they accept a request from
    /// this node at the moment or not.
    pub fn eligible<'a>(
        &'a self,
        now: Duration,
        service: &'a str,
    ) -> impl Iterator<Item = (EndpointKey, &'a Entry)> {
        self.of_service(service)
            .filter(move |(_, e)| self.is_eligible(now, e))
    }

    /// Forgets the failures of a service's endpoints.
    pub(crate) fn reset_health(&mut self, service: &str) {
        let keys = self.by_service.get(service).into_iter().flatten();
        for key in keys {
            if let Some(entry) = self.entries.get_mut(key) {
                entry.health = Health::default();
            }
        }
    }

    /// Returns the endpoints of a service that may get new requests.
    pub fn usable<'a>(
        &'a self,
        now: Duration,
        service: &'a str,
    ) -> impl Iterator<Item = (EndpointKey, &'a Entry)> {
        self.eligible(now, service)
            .filter(move |(_, e)| e.accepts_request(now))
    }

    /// Returns the first of these endpoints to accept a request from this node, after its back-off
    /// or with a permit, and the time until then. `None` if one accepts requests now, or if there
    /// is none.
    pub fn next_to_accept<'a>(
        now: Duration,
        entries: impl Iterator<Item = (EndpointKey, &'a Entry)>,
    ) -> Option<(EndpointKey, Duration)> {
        let (key, at) = entries
            .map(|(key, e)| (key, e.accepts_at()))
            .min_by_key(|(_, at)| *at)?;
        let remaining = at.checked_sub(now).filter(|time| !time.is_zero())?;
        Some((key, remaining))
    }

    fn is_eligible(&self, now: Duration, entry: &Entry) -> bool {
        entry.accepts_new_requests(now) && !self.is_evacuated(&entry.endpoint.domain)
    }

    /// Counts why no endpoint of a service can take a request that was already sent to `excluded`.
    pub(crate) fn count_ineligible(
        &self,
        now: Duration,
        service: &str,
        excluded: &[EndpointKey],
        limited: LimitedEndpoints,
        has_capacity: impl Fn(&Entry) -> bool,
    ) -> IneligibleCounts {
        let mut counts = IneligibleCounts::default();
        for (key, entry) in self.of_service(service) {
            let count = match entry {
                _ if excluded.contains(&key) => &mut counts.tried,
                e if !e.accepts_new_requests(now) => &mut counts.leaving,
                e if self.is_evacuated(&e.endpoint.domain) => &mut counts.evacuated,
                e if now < e.back_off_until => &mut counts.paused,
                e if !e.may_ask_permit(now) || !limited.includes(e) => &mut counts.limited,
                e if !has_capacity(e) => &mut counts.cold,
                _ => &mut counts.other_version,
            };
            *count += 1;
        }
        counts
    }

    /// Whether this node has in-flight requests on a version of a service other than `target`.
    pub fn has_other_work(&self, service: &str, target: &str) -> bool {
        self.busy_entries()
            .filter(|e| e.endpoint.service == service)
            .any(|e| e.endpoint.version != target)
    }

    /// Returns this node's load at each endpoint where it has requests, by the endpoint's number.
    pub fn loads(&self) -> impl Iterator<Item = (u32, f64)> {
        self.busy_entries().map(|e| (e.number, e.load))
    }

    fn busy_entries(&self) -> impl Iterator<Item = &Entry> {
        self.busy.iter().filter_map(|key| {
            self.count_visit();
            self.entries.get(key)
        })
    }

    /// Returns the endpoint with this id, and its key.
    pub(crate) fn by_id_with_key(&mut self, id: &str) -> Option<(EndpointKey, &mut Entry)> {
        let key = *self.by_id.get(id)?;
        Some((key, self.entries.get_mut(&key)?))
    }

    /// Returns the endpoint with this key.
    pub fn get(&self, key: EndpointKey) -> Option<&Entry> {
        self.entries.get(&key)
    }

    /// Returns what has become of the endpoint with this key; `None` if it is no longer known.
    pub(crate) fn fate(&self, now: Duration, key: EndpointKey) -> Option<EndpointFate> {
        Some(self.entries.get(&key)?.fate(now))
    }

    /// Returns the endpoint with this key for an update.
    pub fn get_mut(&mut self, key: EndpointKey) -> Option<&mut Entry> {
        self.entries.get_mut(&key)
    }

    /// Returns all endpoints that are not removed.
    pub fn iter(&self, now: Duration) -> impl Iterator<Item = &Endpoint> {
        let is_present = move |e: &&Entry| match e.registration {
            Registration::Present => true,
            Registration::ExpiresAt(at) => now < at,
        };
        self.entries
            .values()
            .filter(is_present)
            .map(|e| &e.endpoint)
    }

    /// Returns the number of registered endpoints.
    pub fn len(&self) -> usize {
        self.registered
    }

    /// Returns the number of endpoints of a service, including those removed lately.
    pub(crate) fn len_of_service(&self, service: &str) -> usize {
        self.by_service.get(service).map_or(0, BTreeSet::len)
    }

    /// Returns the number of entries that were looked at one after the other, since the start: what
    /// decisions and updates cost, apart from look-ups by key.
    pub fn visited(&self) -> u64 {
        self.visited.get()
    }

    /// Returns the number of endpoints held in memory, including removed ones.
    pub fn tracked_len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no endpoint is registered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Evicts endpoints that have been removed for long enough. Each removal is looked at once, or
    /// again after the retention while requests are in flight.
    fn evict_removed(&mut self, now: Duration) {
        while let Some(&(at, key)) = self.removed.front()
            && now > at
        {
            self.removed.pop_front();
            self.count_visit();
            let Some(entry) = self.entries.get(&key) else {
                continue;
            };
            match entry.registration {
                Registration::Present => continue,
                // Removed again after a later record of it, which has an item of its own.
                Registration::ExpiresAt(at) if now <= at + REMOVED_RETENTION => continue,
                Registration::ExpiresAt(_) if entry.in_flight > 0 => {
                    self.removed.push_back((now + REMOVED_RETENTION, key));
                    continue;
                }
                Registration::ExpiresAt(_) => {}
            }
            if self.by_id.get(&entry.endpoint.id) == Some(&key) {
                self.by_id.remove(&entry.endpoint.id);
            }
            let service = entry.endpoint.service.clone();
            self.remove_from_service(key, &service);
            self.entries.remove(&key);
        }
    }
}

impl IneligibleCounts {
    /// Whether evacuations are the reason that no endpoint is available.
    pub(crate) fn is_due_to_evacuation(&self) -> bool {
        let others = [
            self.tried,
            self.paused,
            self.limited,
            self.cold,
            self.other_version,
        ];
        self.evacuated > 0 && others.iter().all(|count| *count == 0)
    }
}

impl fmt::Display for IneligibleCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "tried={} leaving={} evacuated={} paused={} limited={} cold={} other={}",
            self.tried,
            self.leaving,
            self.evacuated,
            self.paused,
            self.limited,
            self.cold,
            self.other_version
        )
    }
}

impl Entry {
    fn new(now: Duration, endpoint: Endpoint, limit: RequestLimit) -> Entry {
        Entry {
            number: endpoint.number(),
            cold_until: now.saturating_add(endpoint.cold_left.unwrap_or_default()),
            // An endpoint that does not report whether it is cold is treated as just started.
            maybe_cold_since: endpoint.cold_left.is_none().then_some(now),
            warm_up: WarmUp::default(),
            warm_up_share: None,
            endpoint,
            health: Health::default(),
            in_flight: 0,
            load: 0.0,
            remote_prompts: Vec::new(),
            known_since: now,
            last_progress: now,
            last_probe: Duration::ZERO,
            report: None,
            limit,
            permits: None,
            back_off_until: Duration::ZERO,
            restart_token: CancellationToken::new(),
            is_replaced: false,
            registration: Registration::Present,
        }
    }

    /// Applies another record of the same incarnation.
    ///
    /// An endpoint that announced its leaving returns only as a new incarnation: a record that says
    /// otherwise is older.
    fn update(&mut self, now: Duration, endpoint: Endpoint) -> RecordChange {
        let known = &self.endpoint;
        let has_changed = (endpoint.serial, endpoint.cold_left) != (known.serial, known.cold_left);
        match endpoint.cold_left.filter(|_| has_changed) {
            Some(remaining) if endpoint.serial < known.serial => self.extend_cold(now, remaining),
            Some(remaining) => self.set_cold_time(now, remaining),
            None => {}
        }
        let was_leaving = self.endpoint.leaving;
        let leaving = was_leaving || endpoint.leaving;
        self.endpoint = Endpoint {
            leaving,
            ..endpoint
        };
        self.registration = Registration::Present;
        match leaving && !was_leaving {
            true => RecordChange::Leaves,
            false => RecordChange::None,
        }
    }

    /// Ends this incarnation after the endpoint has restarted; its in-flight requests are lost.
    fn retire(&mut self, now: Duration) {
        self.registration = Registration::ExpiresAt(now);
        self.restart_token.cancel();
    }

    /// Whether it may be cold. `cold_time` is how long it stays cold if it restarted unnoticed.
    pub(crate) fn is_cold(&self, now: Duration, cold_time: Duration) -> bool {
        self.reports_cold(now)
            || self
                .maybe_cold_since
                .is_some_and(|at| now < at.saturating_add(cold_time))
    }

    /// Whether it has responded since it is known.
    pub(crate) fn has_responded(&self) -> bool {
        self.last_progress > self.known_since
    }

    /// Returns the time since this node first read its record.
    pub(crate) fn known_for(&self, now: Duration) -> Duration {
        now.saturating_sub(self.known_since)
    }

    /// Whether it has announced that it is cold.
    pub(crate) fn reports_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }

    /// Sets how much longer it is cold, as it announced itself.
    pub(crate) fn set_cold_time(&mut self, now: Duration, remaining: Duration) {
        self.cold_until = now.saturating_add(remaining);
    }

    /// Extends the time for which it is cold to at least `remaining` from now.
    pub(crate) fn extend_cold(&mut self, now: Duration, remaining: Duration) {
        self.cold_until = self.cold_until.max(now.saturating_add(remaining));
    }

    /// Records that it is unreachable, so that it may restart soon, and returns whether this is to
    /// be reported again.
    pub(crate) fn mark_unreachable(&mut self, now: Duration) -> bool {
        let latest = now + RESTART_RECORD_DELAY;
        let last_report = self.maybe_cold_since.replace(latest);
        last_report.is_none_or(|last_report| latest >= last_report + UNREACHABLE_REPORT_INTERVAL)
    }

    /// Adds a long prompt that another node sent to it.
    pub fn add_remote_prompt(&mut self, now: Duration, read_time: Duration, weight: f64) {
        self.remote_prompts.retain(|prompt| prompt.read_at > now);
        self.remote_prompts.push(LongPrompt {
            announced_at: now,
            read_at: now + read_time,
            weight,
        });
    }

    /// Returns its load as known to this node: this node's requests and the long prompts of other
    /// nodes, except those announced until `summed_until`, which the load sums already include.
    pub fn known_load(&self, now: Duration, summed_until: Option<Duration>) -> f64 {
        let is_counted =
            |p: &&LongPrompt| p.read_at > now && summed_until.is_none_or(|t| p.announced_at > t);
        let remote_prompts = self.remote_prompts.iter().filter(is_counted);
        self.load + remote_prompts.map(|p| p.weight).sum::<f64>()
    }

    /// Whether its end was planned: it announced its leaving or its record is gone, and it has not
    /// restarted.
    pub(crate) fn has_planned_end(&self, now: Duration) -> bool {
        let is_expected = self.endpoint.leaving || !self.is_registered(now);
        is_expected && !self.restart_token.is_cancelled()
    }

    /// Whether it may get new requests.
    pub fn accepts_new_requests(&self, now: Duration) -> bool {
        self.is_registered(now) && !self.endpoint.leaving && !self.is_replaced
    }

    /// What has become of it.
    fn fate(&self, now: Duration) -> EndpointFate {
        match self {
            e if e.endpoint.leaving => EndpointFate::Leaving,
            e if e.is_replaced || e.restart_token.is_cancelled() => EndpointFate::Replaced,
            e if !e.is_registered(now) => EndpointFate::Gone,
            _ => EndpointFate::Present,
        }
    }

    fn is_registered(&self, now: Duration) -> bool {
        match self.registration {
            Registration::Present => true,
            Registration::ExpiresAt(at) => now < at,
        }
    }

    /// Whether it accepts a request from this node now, or once this node has asked for a permit.
    pub(crate) fn accepts_request(&self, now: Duration) -> bool {
        now >= self.back_off_until && self.may_ask_permit(now)
    }

    /// When it next accepts a request from this node, as far as known.
    fn accepts_at(&self) -> Duration {
        let expected_at = self.seeker_of_limited().map(PermitSeeker::expected_at);
        self.back_off_until.max(expected_at.unwrap_or_default())
    }

    /// Starts or extends its back-off towards this node.
    pub fn back_off(&mut self, now: Duration, time: Duration) {
        self.back_off_until = self.back_off_until.max(now + time);
    }

    /// Marks it as gone, whatever its entry says: another endpoint has its address.
    pub fn mark_replaced(&mut self) {
        self.is_replaced = true;
    }
}
