//! Replay of hosts that learn the speeds of endpoints and exchange their estimates.

use oatdale_policy::relay::{
    EstimateFault, GapSampler, MergeOutcome, SpeedSample, SpeedTable, StatedEstimate, Trend,
    UsualTime,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

const ENDPOINTS: u32 = 90;
const SLOW_ENDPOINTS: u32 = 23;
const HOSTS: usize = 59;
const REQUESTS_PER_SECOND: f64 = 8.0;
/// Events of a request by route.
const EVENTS: [u32; 3] = [42, 32, 3];
const GAP_S: f64 = 0.05;
const LOSS: f64 = 0.02;
/// Estimates in one datagram.
const DATAGRAM_ESTIMATES: usize = 120;
const MAX_LEN: usize = 1_000;

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// What happens next, in microseconds.
enum Event {
    Request(usize),
    Sample(usize, u32, Duration),
    Exchange(usize),
    Datagram(usize, Vec<StatedEstimate>),
}

struct Host {
    usual: UsualTime,
    table: SpeedTable,
    started_s: f64,
    /// When it first received estimates.
    joined_s: Option<f64>,
}

struct Replay {
    rng: Pcg64,
    hosts: Vec<Host>,
    /// Starts of the slow periods of each endpoint.
    slow_periods: Vec<Vec<f64>>,
    /// Endpoint that becomes five times slower, and when.
    fault: Option<(u32, f64)>,
    loss: f64,
    events: Vec<Option<Event>>,
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    now_s: f64,
}

impl Replay {
    fn new(seed: u64, loss: f64) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut slow_periods = Vec::new();
        for _ in 0..ENDPOINTS {
            let (mut at, mut starts) = (0.0, Vec::new());
            while at < 60.0 {
                at += -3.4 * rng.random::<f64>().max(1e-9).ln();
                starts.push(at);
                at += 0.6;
            }
            slow_periods.push(starts);
        }
        let mut replay = Replay {
            rng,
            hosts: Vec::new(),
            slow_periods,
            fault: None,
            loss,
            events: Vec::new(),
            queue: BinaryHeap::new(),
            now_s: 0.0,
        };
        (0..HOSTS).for_each(|_| replay.start_host());
        replay
    }

    fn start_host(&mut self) {
        let host = self.hosts.len();
        self.hosts.push(Host {
            usual: UsualTime::default(),
            table: SpeedTable::default(),
            started_s: self.now_s,
            joined_s: None,
        });
        let phase = self.rng.random_range(0.0..0.5);
        self.push(self.now_s, Event::Request(host));
        self.push(self.now_s + phase, Event::Exchange(host));
    }

    fn push(&mut self, at_s: f64, event: Event) {
        self.queue
            .push(Reverse(((at_s * 1e6) as u64, self.events.len())));
        self.events.push(Some(event));
    }

    fn gap_s(&self, endpoint: u32, at_s: f64) -> f64 {
        let speed = if endpoint < SLOW_ENDPOINTS { 0.55 } else { 1.2 };
        let mut periods = self.slow_periods[endpoint as usize].iter();
        let in_slow_period = periods.any(|start| (*start..start + 0.6).contains(&at_s));
        let is_faulty = self
            .fault
            .is_some_and(|(faulty, since)| faulty == endpoint && at_s >= since);
        GAP_S / speed * if in_slow_period { 2.5 } else { 1.0 } * if is_faulty { 5.0 } else { 1.0 }
    }

    fn run_until(&mut self, until_s: f64) {
        while let Some(Reverse((at, index))) = self.queue.peek().copied() {
            if at as f64 / 1e6 > until_s {
                break;
            }
            self.queue.pop();
            self.now_s = at as f64 / 1e6;
            let event = self.events[index].take().expect("each event comes once");
            self.handle(event);
        }
        self.now_s = until_s;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request(host) => self.request(host),
            Event::Sample(host, endpoint, time) => {
                let now = self.host_now(host);
                let host = &mut self.hosts[host];
                if let Some(sample) = host.usual.record(time) {
                    host.table.record_sample(now, endpoint, sample);
                }
            }
            Event::Exchange(host) => self.exchange(host),
            Event::Datagram(host, estimates) => {
                let now = self.host_now(host);
                let joined_s = self.hosts[host].joined_s;
                self.hosts[host].joined_s = joined_s.or(Some(self.now_s));
                for estimate in &estimates {
                    self.hosts[host].table.merge(now, estimate, MAX_LEN);
                }
            }
        }
    }

    fn request(&mut self, host: usize) {
        let endpoint = self.rng.random_range(0..ENDPOINTS);
        let events = EVENTS[self.rng.random_range(0..EVENTS.len())];
        let (mut sampler, mut at_s) = (GapSampler::default(), self.now_s + 0.2);
        for _ in 0..events {
            let began = secs(at_s);
            at_s += self.gap_s(endpoint, at_s) * self.rng.random_range(0.9..1.1);
            if let Some(time) = sampler.record_read(began, secs(at_s), 1) {
                self.push(at_s, Event::Sample(host, endpoint, time));
            }
        }
        let pause_s = -self.rng.random::<f64>().max(1e-9).ln() / REQUESTS_PER_SECOND;
        self.push(self.now_s + pause_s, Event::Request(host));
    }

    fn exchange(&mut self, host: usize) {
        let now = self.host_now(host);
        self.hosts[host].table.update(now);
        let mut estimates = self.hosts[host]
            .table
            .next_estimates(now, DATAGRAM_ESTIMATES);
        for estimate in &mut estimates {
            // The wire states ages in steps of 50 ms, rounded up.
            estimate.age = Duration::from_millis(estimate.age.as_millis().div_ceil(50) as u64 * 50);
        }
        for _ in 0..2 {
            let to = self.rng.random_range(0..self.hosts.len());
            let delay_s = self.rng.random_range(0.001..0.006);
            if to != host && !self.rng.random_bool(self.loss) {
                self.push(self.now_s + delay_s, Event::Datagram(to, estimates.clone()));
            }
        }
        self.push(self.now_s + 0.5, Event::Exchange(host));
    }

    fn host_now(&self, host: usize) -> Duration {
        secs(self.now_s - self.hosts[host].started_s)
    }

    fn factor(&self, host: usize, endpoint: u32) -> f64 {
        self.hosts[host].table.factor(self.host_now(host), endpoint)
    }

    /// Whether a host holds at least 19 of 20 endpoints on the right side of what lies in the middle
    /// between the slow ones and the others.
    fn tells_apart(&self, host: usize) -> bool {
        let is_right = |e: &u32| (self.factor(host, *e) > 1.3) == (*e < SLOW_ENDPOINTS);
        (0..ENDPOINTS).filter(is_right).count() * 20 >= ENDPOINTS as usize * 19
    }
}

fn share(hosts: usize, is_counted: impl Fn(usize) -> bool) -> f64 {
    (0..hosts).filter(|host| is_counted(*host)).count() as f64 / hosts as f64
}

// Guards against hosts that know too little of endpoints which each of them sees once in ten seconds.
#[test]
fn hosts_tell_slow_endpoints_apart_within_five_seconds() {
    for (seed, loss) in (0..4).flat_map(|seed| [(seed, LOSS), (seed, 1.0)]) {
        let mut replay = Replay::new(seed, loss);
        replay.run_until(5.0);
        let known = share(HOSTS, |host| replay.tells_apart(host));
        match loss < 1.0 {
            true => assert!(known >= 0.95, "{known} of the hosts, seed {seed}"),
            false => assert!(
                known < 0.5,
                "{known} of the hosts without exchange, seed {seed}"
            ),
        }
    }
}

// Guards against a host that treats all endpoints alike for long after its start.
#[test]
fn starting_host_knows_speeds_within_a_second_of_its_first_exchange() {
    for seed in 0..4 {
        let mut replay = Replay::new(seed, LOSS);
        replay.run_until(8.0);
        replay.start_host();
        while replay.hosts[HOSTS].joined_s.is_none() {
            replay.run_until(replay.now_s + 0.01);
        }
        replay.run_until(replay.now_s + 1.0);
        assert!(replay.tells_apart(HOSTS), "seed {seed}");
    }
}

// Guards against an average so slow that requests go on to an endpoint which has become slow.
#[test]
fn most_hosts_know_within_three_seconds_that_an_endpoint_became_slow() {
    let cases = (0..4).flat_map(|seed| [30, 50, 70].map(|endpoint| (seed, endpoint)));
    let known_within_3s = |loss: f64| {
        let known = cases.clone().map(|(seed, endpoint)| {
            let mut replay = Replay::new(seed, loss);
            replay.fault = Some((endpoint, 8.0));
            replay.run_until(11.0);
            share(HOSTS, |host| replay.factor(host, endpoint) > 1.5)
        });
        known.sum::<f64>() / 12.0
    };
    assert!(known_within_3s(LOSS) > 0.8);
    assert!(known_within_3s(1.0) < 0.5);
}

/// A sample that is this many times the usual time.
fn sample(factor: f64) -> SpeedSample {
    let mut usual = UsualTime::default();
    for _ in 0..8 {
        assert_eq!(usual.record(secs(0.05)), None);
    }
    usual
        .record(secs(0.05 * factor))
        .expect("the usual time is known")
}

fn received(factor: f64, weight: f64) -> StatedEstimate {
    StatedEstimate {
        endpoint: 7,
        factor,
        weight,
        age: secs(0.1),
        trend: Trend::None,
    }
}

// Guards against estimates that circulate among the other hosts for ever after their origin died.
#[test]
fn estimate_of_a_dead_host_fades() {
    let mut tables = vec![SpeedTable::default(); 5];
    for _ in 0..10 {
        tables[0].record_sample(secs(1.0), 7, sample(4.0));
    }
    let mut dying = tables.swap_remove(0);
    for step in 0..60 {
        let now = secs(1.0 + 0.5 * f64::from(step));
        let sender = step as usize % tables.len();
        let sent = match step {
            0 => dying.next_estimates(now, 10),
            _ => tables[sender].next_estimates(now, 10),
        };
        for table in &mut tables {
            sent.iter().for_each(|e| {
                table.merge(now, e, MAX_LEN);
            });
        }
        let factor = tables[0].factor(now, 7);
        match step {
            0..6 => assert!(factor > 2.0, "{factor} after {step} exchanges"),
            50.. => assert!(factor < 1.1, "{factor} after {step} exchanges"),
            _ => {}
        }
    }
    tables[0].update(secs(31.0));
    assert!(tables[0].is_empty());
}

// Guards against a faulty host that diverts all requests from an endpoint, or to it.
#[test]
fn absurd_values_of_other_hosts_are_dropped() {
    let mut table = SpeedTable::default();
    for factor in [f64::NAN, f64::INFINITY, 0.0, -2.0, 1e300, 1e-300, 8.1] {
        let outcome = table.merge(secs(1.0), &received(factor, 5.0), MAX_LEN);
        assert_eq!(
            outcome,
            MergeOutcome::Invalid(EstimateFault::Factor),
            "{factor}"
        );
    }
    for weight in [f64::NAN, f64::INFINITY, 0.0, -1.0, 11.0] {
        let outcome = table.merge(secs(1.0), &received(2.0, weight), MAX_LEN);
        assert_eq!(
            outcome,
            MergeOutcome::Invalid(EstimateFault::Weight),
            "{weight}"
        );
    }
    let old = StatedEstimate {
        age: Duration::MAX,
        ..received(2.0, 5.0)
    };
    assert_eq!(table.merge(secs(1.0), &old, MAX_LEN), MergeOutcome::Older);
    assert_eq!(
        table.merge(secs(1.0), &received(2.0, 5.0), 0),
        MergeOutcome::Full
    );
    assert!(table.is_empty() && table.factor(secs(1.0), 7) == 1.0);
}

// Guards against an older estimate that replaces a later one, from whichever host it comes.
#[test]
fn later_estimate_is_kept() {
    let mut table = SpeedTable::default();
    table.merge(secs(1.0), &received(4.0, 10.0), MAX_LEN);
    let own = table.clone().next_estimates(secs(3.0), 10);
    assert_eq!(
        table.merge(secs(3.0), &own[0], MAX_LEN),
        MergeOutcome::Older
    );
    assert_eq!(
        table.merge(secs(3.0), &received(1.0, 10.0), MAX_LEN),
        MergeOutcome::Kept
    );
    assert_eq!(table.factor(secs(3.0), 7), 1.0);
}

// Guards against a caller that reads slowly and makes its endpoint look slow or fast: events that
// waited in the relay's buffers have no known time.
#[test]
fn slowly_reading_caller_is_not_blamed_on_the_endpoint() {
    let (mut sampler, mut samples) = (GapSampler::default(), 0);
    let mut began: f64 = 0.0;
    let mut event: u32 = 1;
    while event < 400 {
        // Events come every 50 ms, also while the relay does not read.
        let now = began.max(0.05 * f64::from(event));
        let arrived = (now / 0.05 + 1e-9) as u32 + 1 - event;
        let sample = sampler.record_read(secs(began), secs(now), u64::from(arrived));
        samples += usize::from(sample.is_some());
        let ratio = sample.map_or(1.0, |s| s.as_secs_f64() / 0.05);
        assert!((0.99..1.01).contains(&ratio), "{ratio} at event {event}");
        event += arrived;
        // The caller blocks the relay for up to 0.6 s at every tenth event.
        let is_blocked = event.is_multiple_of(10);
        began = now
            + if is_blocked {
                0.01 * f64::from(event % 61)
            } else {
                0.0
            };
    }
    assert!(samples > 50, "{samples} samples");
}

// Guards against a site so large that estimates which changed crowd out all others, or fill more than
// one datagram.
#[test]
fn large_site_sends_changed_estimates_first_and_all_in_rotation() {
    let mut table = SpeedTable::default();
    let now = secs(1.0);
    for endpoint in 0..20_000 {
        table.record_sample(now, endpoint * 200_003, sample(2.0));
    }
    let mut seen = std::collections::BTreeSet::new();
    for datagram in 0..1_000 {
        let sent = table.next_estimates(now, DATAGRAM_ESTIMATES);
        assert_eq!(sent.len(), DATAGRAM_ESTIMATES);
        seen.extend(sent.iter().map(|e| e.endpoint));
        if datagram == 20 {
            table.record_sample(now, 1, sample(8.0));
            let next = table.next_estimates(now, DATAGRAM_ESTIMATES);
            assert!(next.iter().any(|e| e.endpoint == 1));
        }
    }
    assert_eq!(seen.len(), 20_001);
}
