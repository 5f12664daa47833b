//! Replay of hosts that learn the speeds of endpoints and exchange their estimates.

use oatdale_policy::relay::{ReceivedEstimate, SpeedTable, UsualTime};
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
    Datagram(usize, Vec<ReceivedEstimate>),
}

struct Host {
    usual: UsualTime,
    table: SpeedTable,
    started_s: f64,
    is_up: bool,
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
            is_up: true,
        });
        let phase = self.rng.random_range(0.0..0.5);
        self.push(self.now_s, Event::Request(host));
        self.push(self.now_s + phase, Event::Exchange(host));
    }

    fn push(&mut self, at_s: f64, event: Event) {
        self.queue.push(Reverse(((at_s * 1e6) as u64, self.events.len())));
        self.events.push(Some(event));
    }

    fn gap_s(&self, endpoint: u32, at_s: f64) -> f64 {
        let speed = if endpoint < SLOW_ENDPOINTS { 0.55 } else { 1.2 };
        let mut periods = self.slow_periods[endpoint as usize].iter();
        let in_slow_period = periods.any(|start| (*start..start + 0.6).contains(&at_s));
        let is_faulty = self.fault.is_some_and(|(faulty, since)| faulty == endpoint && at_s >= since);
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
                for estimate in &estimates {
                    self.hosts[host].table.merge(now, estimate, MAX_LEN);
                }
            }
        }
    }

    fn request(&mut self, host: usize) {
        if !self.hosts[host].is_up {
            return;
        }
        let endpoint = self.rng.random_range(0..ENDPOINTS);
        let samples = EVENTS[self.rng.random_range(0..3)].saturating_sub(1) / 4;
        let mut at_s = self.now_s + 0.2;
        for _ in 0..samples {
            let mut gaps = [0.0; 4];
            for gap in &mut gaps {
                let noise = self.rng.random_range(0.9..1.1);
                *gap = self.gap_s(endpoint, at_s) * noise;
                at_s += *gap;
            }
            gaps.sort_unstable_by(f64::total_cmp);
            self.push(at_s, Event::Sample(host, endpoint, secs(gaps[1])));
        }
        let pause_s = -self.rng.random::<f64>().max(1e-9).ln() / REQUESTS_PER_SECOND;
        self.push(self.now_s + pause_s, Event::Request(host));
    }

    fn exchange(&mut self, host: usize) {
        if !self.hosts[host].is_up {
            return;
        }
        let now = self.host_now(host);
        self.hosts[host].table.update(now);
        let mut estimates = self.hosts[host].table.next_estimates(now, DATAGRAM_ESTIMATES);
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
}

#[test]
fn explore() {
    for seed in 0..3 {
        for loss in [LOSS, 1.0] {
            let mut r = Replay::new(seed, loss);
            for t in [1.0, 2.0, 3.0, 4.0, 5.0, 8.0, 12.0] {
                r.run_until(t);
                let (mut slow_ok, mut fast_ok, mut purity) = (0, 0, 0.0);
                let mut worst: f64 = 1.0;
                let mut sf = 0.0; let mut ff = 0.0;
                for h in 0..HOSTS {
                    let f: Vec<f64> = (0..ENDPOINTS).map(|e| r.factor(h, e)).collect();
                    slow_ok += f[..23].iter().filter(|f| **f > 1.3).count();
                    fast_ok += f[23..].iter().filter(|f| **f < 1.3).count();
                    sf += f[..23].iter().sum::<f64>() / 23.0 / 59.0;
                    ff += f[23..].iter().sum::<f64>() / 67.0 / 59.0;
                    let mut idx: Vec<usize> = (0..90).collect();
                    idx.sort_by(|a, b| f[*b].total_cmp(&f[*a]));
                    let p = idx[..23].iter().filter(|i| **i < 23).count() as f64 / 23.0;
                    purity += p / 59.0;
                    worst = worst.min(p);
                }
                println!("seed {seed} loss {loss} t {t}: slow {:.3} fast {:.3} purity {purity:.3} worst {worst:.3} factors {sf:.2} {ff:.2}", slow_ok as f64 / 23.0 / 59.0, fast_ok as f64 / 67.0 / 59.0);
            }
        }
        for e in [30, 40, 50, 60, 70, 80] {
        let mut r = Replay::new(seed, LOSS);
        r.fault = Some((e, 8.0));
        for t in [8.0, 9.0, 9.5, 10.0, 10.5, 11.0, 12.0, 14.0] {
            r.run_until(t);
            let known = (0..HOSTS).filter(|h| r.factor(*h, e) > 2.0).count();
            let mean = (0..HOSTS).map(|h| r.factor(h, e)).sum::<f64>() / 59.0;
            print!("{:.1}s: {known} {mean:.2}; ", t - 8.0);
        }
        println!();
        }
    }
}
