//! Parts of prompts that crash the endpoints that answer requests with them.
//!
//! No two requests with such a part need be alike, so crashes are counted by part. When an endpoint
//! crashes, each part of each request that it holds is under the crash, and most of them are sound: one
//! may be in nearly all requests. A sound part shows by a request with it that is answered anywhere; the
//! one at fault is never answered.

use crate::relay::Fingerprint;
use smallvec::SmallVec;
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

/// Number of endpoints that crash under a part, with no answer to a request with it since, until it is
/// quarantined. Two requests at least have to be involved: of one alone, its copies are quarantined.
const MAX_CRASHES: usize = 4;

/// Number of crashes from which a part is suspected, so that answers to requests with it are reported.
const SUSPECT_CRASHES: usize = 2;

/// Minimum time from then on. Many endpoints may crash together, and it takes a moment until a request
/// with a sound part is answered elsewhere.
const MIN_TIME: Duration = Duration::from_secs(1);

/// The number of crashes and that time for a part that was answered lately, which is probably sound.
const MAX_CRASHES_IF_ANSWERED: usize = 8;
const MIN_TIME_IF_ANSWERED: Duration = Duration::from_secs(2);

/// Share of the crashes of another part from which two parts are taken to be under the same ones.
const SAME_CRASHES_SHARE: f64 = 0.75;

/// How long an answer counts as lately.
const ANSWER_TIME: Duration = Duration::from_secs(60);

/// How long crashes are remembered.
const CRASH_TIME: Duration = Duration::from_secs(120);

/// Bounds of what is remembered: crashes, parts under all of them together, and answered parts.
const MAX_REMEMBERED_CRASHES: usize = 256;
const MAX_REMEMBERED_PARTS: usize = 32_768;
const MAX_ANSWERED_PARTS: usize = 4_096;

/// A request that was at an endpoint when that crashed.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct CrashedRequest {
    /// The request.
    pub request: Fingerprint,
    /// The shared parts of its prompt, in order, or some that follow each other.
    pub parts: SmallVec<[Fingerprint; 2]>,
    /// Position in the prompt of the first of these parts.
    pub first_position: usize,
}

/// Crashes of the endpoints of one service, as seen by all nodes.
#[derive(Clone, Debug, Default)]
pub struct PartCrashes {
    /// Oldest first.
    crashes: VecDeque<Crash>,
    /// Number of parts under all crashes together.
    remembered_parts: usize,
    answers: PartAnswers,
    quarantined: HashSet<Fingerprint>,
}

/// When requests with a part were last answered.
#[derive(Clone, Debug, Default)]
pub struct PartAnswers(HashMap<Fingerprint, Duration>);

/// The crash of one start of an endpoint.
#[derive(Clone, Debug)]
struct Crash {
    endpoint: u32,
    at: Duration,
    /// Parts of the requests that the endpoint held, without those that were answered since.
    parts: HashMap<Fingerprint, HeldPart>,
}

/// A part in the requests that an endpoint held when it crashed.
#[derive(Clone, Copy, Debug)]
struct HeldPart {
    position: usize,
    /// One of the requests with it.
    request: Fingerprint,
    /// Whether there are others.
    has_others: bool,
}

/// A part, as the crashes show it.
#[derive(Clone, Copy, Debug)]
struct Suspect {
    crashes: usize,
    /// One of the requests with it, and whether there are others.
    request: Fingerprint,
    has_others: bool,
    /// When the part became suspected; the first crash until then.
    suspected_at: Duration,
    /// Its position in the prompts.
    position: usize,
    was_answered: bool,
}

impl PartAnswers {
    /// Records that a request with this part was answered at `at`.
    pub fn record(&mut self, at: Duration, part: Fingerprint) {
        if self.0.len() >= MAX_ANSWERED_PARTS && !self.0.contains_key(&part) {
            self.drop_older_half();
        }
        let known = self.0.entry(part).or_insert(at);
        *known = at.max(*known);
    }

    fn drop_older_half(&mut self) {
        let mut times: Vec<_> = self.0.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.0.retain(|_, at| *at > median);
    }

    /// Returns when a request with this part was last answered, if that was lately.
    pub fn last(&self, now: Duration, part: Fingerprint) -> Option<Duration> {
        let at = *self.0.get(&part)?;
        (now < at + ANSWER_TIME).then_some(at)
    }
}

impl PartCrashes {
    /// Records that an endpoint crashed while it held these requests; `endpoint` identifies one start of
    /// it, as several nodes report the same crash.
    pub fn record_crash(
        &mut self,
        now: Duration,
        endpoint: u32,
        requests: impl IntoIterator<Item = CrashedRequest>,
    ) {
        self.forget_old(now);
        if self.crashes.iter().all(|crash| crash.endpoint != endpoint) {
            if self.crashes.len() == MAX_REMEMBERED_CRASHES {
                self.forget_oldest();
            }
            self.crashes.push_back(Crash {
                endpoint,
                at: now,
                parts: HashMap::new(),
            });
        }
        for request in requests {
            for (position, part) in (request.first_position..).zip(&request.parts) {
                self.record_held(endpoint, request.request, *part, position);
            }
        }
    }

    fn record_held(
        &mut self,
        endpoint: u32,
        request: Fingerprint,
        part: Fingerprint,
        position: usize,
    ) {
        // As many crashes are kept as a decision may need.
        while self.remembered_parts >= MAX_REMEMBERED_PARTS
            && self.crashes.len() > MAX_CRASHES_IF_ANSWERED
        {
            self.forget_oldest();
        }
        let known = self.crashes.iter_mut().find(|c| c.endpoint == endpoint);
        let Some(crash) = known else {
            return;
        };
        let answered_at = self.answers.0.get(&part);
        if answered_at.is_some_and(|at| *at >= crash.at) {
            return;
        }
        match crash.parts.get_mut(&part) {
            Some(held) => {
                held.has_others |= held.request != request;
                held.position = held.position.max(position);
            }
            None if self.remembered_parts < MAX_REMEMBERED_PARTS => {
                let held = HeldPart {
                    position,
                    request,
                    has_others: false,
                };
                crash.parts.insert(part, held);
                self.remembered_parts += 1;
            }
            None => {}
        }
    }

    fn forget_oldest(&mut self) {
        if let Some(crash) = self.crashes.pop_front() {
            self.remembered_parts -= crash.parts.len();
        }
    }

    /// Records that a request with this part was answered at `at`.
    pub fn record_answer(&mut self, at: Duration, part: Fingerprint) {
        self.answers.record(at, part);
        for crash in self.crashes.iter_mut().filter(|crash| crash.at <= at) {
            let was_held = crash.parts.remove(&part).is_some();
            self.remembered_parts -= usize::from(was_held);
        }
    }

    /// Returns the parts whose answers are to be reported.
    pub fn suspected(&self, now: Duration) -> Vec<Fingerprint> {
        let suspects = self.suspects(now).into_iter();
        let suspects = suspects.filter(|(_, s)| s.crashes >= SUSPECT_CRASHES);
        let mut parts: Vec<_> = suspects.map(|(part, _)| part).collect();
        parts.sort_unstable();
        parts
    }

    /// Returns a part that is to be quarantined now, if there is one.
    ///
    /// Several may be under the same crashes; the others are judged by the crashes that this one does not
    /// explain. It is the one that is least likely to be sound: without an answer lately, under most
    /// crashes, and late in the prompts, where fewer requests share it.
    pub fn decide(&mut self, now: Duration) -> Option<Fingerprint> {
        self.forget_old(now);
        let suspects = self.suspects(now).into_iter();
        let mut at_fault: Vec<_> = suspects.filter(|(_, s)| s.is_at_fault(now)).collect();
        if at_fault.iter().any(|(_, s)| !s.was_answered) {
            at_fault.retain(|(_, s)| !s.was_answered);
        }
        let most = at_fault.iter().map(|(_, s)| s.crashes).max()?;
        at_fault.retain(|(_, s)| s.crashes as f64 >= most as f64 * SAME_CRASHES_SHARE);
        let (part, _) = at_fault
            .into_iter()
            .max_by_key(|(part, s)| (s.position, s.crashes, *part))?;
        self.quarantined.insert(part);
        Some(part)
    }

    /// Records whether a part is quarantined, as decided elsewhere.
    pub fn set_quarantined(&mut self, part: Fingerprint, is_quarantined: bool) {
        match is_quarantined {
            true => self.quarantined.insert(part),
            false => self.quarantined.remove(&part),
        };
    }

    /// Returns the number of parts that are remembered under all crashes together.
    pub fn remembered_parts(&self) -> usize {
        self.remembered_parts
    }

    /// Whether no crash is remembered.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Returns the parts under crashes that no quarantined part explains.
    fn suspects(&self, now: Duration) -> HashMap<Fingerprint, Suspect> {
        let mut suspects: HashMap<Fingerprint, Suspect> = HashMap::new();
        for crash in self.crashes.iter().filter(|c| !self.is_explained(c)) {
            for (part, held) in &crash.parts {
                let suspect = suspects.entry(*part).or_insert_with(|| Suspect {
                    crashes: 0,
                    request: held.request,
                    has_others: false,
                    suspected_at: crash.at,
                    position: held.position,
                    was_answered: self.answers.last(now, *part).is_some(),
                });
                suspect.crashes += 1;
                suspect.has_others |= held.has_others || held.request != suspect.request;
                if suspect.crashes <= SUSPECT_CRASHES {
                    suspect.suspected_at = crash.at;
                }
            }
        }
        suspects
    }

    fn is_explained(&self, crash: &Crash) -> bool {
        let mut quarantined = self.quarantined.iter();
        quarantined.any(|part| crash.parts.contains_key(part))
    }

    fn forget_old(&mut self, now: Duration) {
        while self
            .crashes
            .front()
            .is_some_and(|c| c.at + CRASH_TIME <= now)
        {
            self.forget_oldest();
        }
        if self.crashes.is_empty() {
            self.quarantined.clear();
        }
    }
}

impl Suspect {
    fn is_at_fault(&self, now: Duration) -> bool {
        let (max_crashes, min_time) = match self.was_answered {
            false => (MAX_CRASHES, MIN_TIME),
            true => (MAX_CRASHES_IF_ANSWERED, MIN_TIME_IF_ANSWERED),
        };
        self.crashes >= max_crashes && self.has_others && now >= self.suspected_at + min_time
    }
}
