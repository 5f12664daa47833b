//! Replay of all hosts starting at once, each of which needs all records before it serves.

use oatdale_policy::relay::first_read_delay;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Reads per second that the key-value service answers, of which those of a tenth of a second may
/// come at once. Further ones are refused.
const READS_PER_SECOND: f64 = 6_000.0;

/// Hosts in a failure domain, of which the first two are the readers.
const DOMAIN_HOSTS: usize = 60;
const READERS: usize = 2;

/// Endpoints per host, and records in one response of the service.
const ENDPOINTS_PER_HOST: usize = 10;
const PAGE_RECORDS: usize = 500;

/// Duration of a call, and time between two questions to the readers, in ms.
const CALL_MS: u64 = 5;
const ASK_MS: u64 = 250;

/// Pauses after a refused read, in ms: the first one, doubled up to the maximum.
const READER_PAUSE_MS: [u64; 2] = [80, 500];
const FOLLOWER_PAUSE_MS: [u64; 2] = [300, 2_000];

/// Start times of hosts and the time that this replay covers, in ms.
const START_SPREAD_MS: u64 = 100;
const MAX_MS: u64 = 60_000;

struct Host {
    is_reader: bool,
    /// When it next reads a page.
    read_at: u64,
    pages_read: usize,
    pause_ms: u64,
    /// When it next asks a reader.
    ask_at: u64,
    has_records: bool,
}

impl Host {
    fn new(n: usize, hosts: usize, is_spread: bool, rng: &mut StdRng) -> Self {
        let started_at = rng.random_range(0..START_SPREAD_MS);
        let is_reader = n % DOMAIN_HOSTS < READERS;
        let delay = first_read_delay(hosts, rng.random());
        let delay = match is_reader || !is_spread {
            true => 0,
            false => delay.as_millis() as u64,
        };
        let [pause_ms, _] = if is_reader {
            READER_PAUSE_MS
        } else {
            FOLLOWER_PAUSE_MS
        };
        Host {
            is_reader,
            read_at: started_at + delay,
            pages_read: 0,
            pause_ms,
            ask_at: started_at,
            has_records: false,
        }
    }

    fn record_read(&mut self, now: u64, is_refused: bool, pages: usize) {
        if !is_refused {
            self.pages_read += 1;
            self.read_at = now + CALL_MS;
            self.has_records = self.pages_read == pages;
            return;
        }
        let [_, max] = if self.is_reader {
            READER_PAUSE_MS
        } else {
            FOLLOWER_PAUSE_MS
        };
        self.pages_read = 0;
        self.read_at = now + self.pause_ms;
        self.pause_ms = (self.pause_ms * 2).min(max);
    }
}

/// Returns when the last host has all records, in ms, and the number of reads per host.
fn start_all(hosts: usize, is_spread: bool, seed: u64) -> (u64, f64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut all: Vec<Host> = (0..hosts)
        .map(|n| Host::new(n, hosts, is_spread, &mut rng))
        .collect();
    let pages = (hosts * ENDPOINTS_PER_HOST).div_ceil(PAGE_RECORDS) + 1;
    let mut available = READS_PER_SECOND / 10.0;
    let mut reads = 0_u32;
    for now in (0..MAX_MS).step_by(CALL_MS as usize) {
        let refilled = available + READS_PER_SECOND * CALL_MS as f64 / 1e3;
        available = refilled.min(READS_PER_SECOND / 10.0);
        let first = rng.random_range(0..hosts);
        for n in (0..hosts).map(|n| (n + first) % hosts) {
            let domain = n / DOMAIN_HOSTS * DOMAIN_HOSTS;
            let readers = domain..hosts.min(domain + READERS);
            let has_reader = all[readers].iter().any(|reader| reader.has_records);
            let host = &mut all[n];
            if !host.has_records && !host.is_reader && now >= host.ask_at {
                host.ask_at += ASK_MS;
                host.has_records = has_reader;
            }
            if host.has_records || now < host.read_at {
                continue;
            }
            let is_refused = available < 1.0;
            available -= f64::from(u8::from(!is_refused));
            reads += 1;
            host.record_read(now, is_refused, pages);
        }
        if all.iter().all(|host| host.has_records) {
            return (now, f64::from(reads) / hosts as f64);
        }
    }
    (MAX_MS, f64::from(reads) / hosts as f64)
}

// Guards against hosts that all read all records from the service, which then refuses many of their
// reads, those of their readers too. A follower needs no read of its own if its reader starts too.
#[test]
fn hosts_that_start_together_leave_the_service_to_their_readers() {
    for hosts in [30, 100, 300, 985] {
        for seed in 0..5 {
            let (took, reads) = start_all(hosts, true, seed);
            let (_, reads_at_once) = start_all(hosts, false, seed);
            assert!(took <= 500, "{hosts} hosts, seed {seed}: {took} ms");
            assert!(
                reads < 1.0,
                "{hosts} hosts, seed {seed}: {reads:.1} reads each"
            );
            // The replay shows the fault without the delay.
            assert!(
                hosts < 300 || reads_at_once > 3.0,
                "{reads_at_once:.1} reads each"
            );
        }
    }
}
