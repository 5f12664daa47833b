//! Replays nodes that are cut off from all endpoints and forward their requests to others, at sites of
//! several sizes. Only the nodes' messages are left out.

use oatdale_policy::relay::ForwardTargets;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Numbers of nodes of small and large sites.
const SITES: [usize; 5] = [9, 87, 295, 985, 2_000];

/// Length of a step of the replay.
const STEP: Duration = Duration::from_millis(50);

/// Time after the beginning of a cut from which first tries count.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time for which a node that has just been cut does not know it yet.
const UNAWARE_TIME: Duration = Duration::from_millis(500);

/// Length of the replayed time.
const END: Duration = Duration::from_secs(15);

/// Maximum number of nodes tried for one request, with those that others name.
const MAX_TRIES_WITH_NAMED: usize = 6;

/// Share of a cut node's first tries to be served, if the others serve all.
const MIN_SERVED: f64 = 2.0 / 3.0;

/// Maximum load of one serving node, as a multiple of the mean, and the requests beyond that which
/// chance may bring.
const MAX_LOAD_FACTOR: f64 = 4.0;
const MAX_LOAD_SLACK: f64 = 40.0;

/// What happens to the nodes.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Fault {
    /// This share of the nodes is cut off.
    Cut(f64),
    /// All but one are cut off.
    AllButOne,
    /// This share is cut off, and each second another one.
    Moving(f64),
    /// This share is cut off, and a tenth of the others has died but is still listed.
    CutBesideDead(f64),
}

#[derive(Default)]
struct Totals {
    sent: u32,
    served: u32,
    tries: u32,
    loads: Vec<u32>,
}

struct Site {
    targets: Vec<ForwardTargets>,
    cut_since: Vec<Option<Duration>>,
    dead: Vec<bool>,
    rng: StdRng,
}

impl Site {
    fn new(nodes: usize, seed: u64) -> Site {
        Site {
            targets: vec![ForwardTargets::default(); nodes],
            cut_since: vec![None; nodes],
            dead: vec![false; nodes],
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn cut(&mut self, now: Duration, share: f64, offset: usize) {
        let nodes = self.targets.len();
        let count = ((nodes as f64 * share) as usize).min(nodes - 1);
        for node in 0..nodes {
            let is_cut = (node + nodes - offset % nodes) % nodes < count;
            let since = self.cut_since[node].filter(|_| is_cut);
            self.cut_since[node] = since.or(is_cut.then_some(now));
        }
    }

    fn apply(&mut self, now: Duration, fault: Fault) {
        let is_begin = now.is_zero();
        match fault {
            Fault::Cut(share) if is_begin => self.cut(now, share, 0),
            Fault::AllButOne if is_begin => self.cut(now, 1.0, 0),
            Fault::Moving(share) if now.subsec_millis() == 0 => {
                let offset = self.targets.len() / 10 * now.as_secs() as usize;
                self.cut(now, share, offset);
            }
            Fault::CutBesideDead(share) if is_begin => {
                self.cut(now, share, 0);
                for node in 0..self.targets.len() {
                    self.dead[node] = self.cut_since[node].is_none() && node % 10 == 9;
                }
            }
            _ => {}
        }
    }

    /// Sends a request to a cut node; returns whether and by which node it is served.
    fn request(&mut self, now: Duration, node: usize, totals: &mut Totals) -> Option<usize> {
        let mut tried = Vec::new();
        let mut max_tries = self.targets[node].max_tries(now);
        while tried.len() < max_tries {
            let all = 0..self.targets.len() as u64;
            let others = all.filter(|n| *n != node as u64 && !tried.contains(n));
            let others: Vec<_> = others.collect();
            let picked = self.targets[node].pick(now, &others, self.rng.random())?;
            tried.push(picked);
            totals.tries += 1;
            let to = picked as usize;
            let is_served = self.cut_since[to].is_none() && !self.dead[to];
            self.targets[node].record(now, picked, is_served);
            if is_served {
                return Some(to);
            }
            let knows = self.cut_since[to].is_some_and(|since| now >= since + UNAWARE_TIME);
            let named = self.targets[to].confirmed(now, self.rng.random());
            let named = named.filter(|named| knows && *named != node as u64);
            let is_new = named.is_some_and(|n| self.targets[node].record_named(now, n));
            max_tries += usize::from(is_new && max_tries < MAX_TRIES_WITH_NAMED);
        }
        None
    }
}

fn replay(nodes: usize, fault: Fault, seed: u64) -> Totals {
    let mut site = Site::new(nodes, seed);
    let mut totals = Totals {
        loads: vec![0; nodes],
        ..Totals::default()
    };
    let mut now = Duration::ZERO;
    while now < END {
        site.apply(now, fault);
        for node in 0..nodes {
            // Each node has two requests a second on average.
            if site.cut_since[node].is_none() || !site.rng.random_bool(0.1) {
                continue;
            }
            let server = site.request(now, node, &mut totals);
            if now < SETTLE_TIME {
                continue;
            }
            totals.sent += 1;
            totals.served += u32::from(server.is_some());
            if let Some(server) = server {
                totals.loads[server] += 1;
            }
        }
        now += STEP;
    }
    totals
}

/// Asserts that cut nodes' requests are served as operators ask: two thirds, and not more than 10 and
/// one in 50 of all first tries failed.
fn assert_served(nodes: usize, fault: Fault, seed: u64) -> Totals {
    let totals = replay(nodes, fault, seed);
    let served = f64::from(totals.served) / f64::from(totals.sent);
    let failed = f64::from(totals.sent - totals.served);
    let allowed = 10.0 + f64::from(totals.sent) / 50.0;
    assert!(
        served >= MIN_SERVED || failed <= allowed,
        "{nodes} nodes, {fault:?}, seed {seed}: {served}"
    );
    totals
}

// Guards against nodes that do not find those that can serve their requests.
#[test]
fn cut_nodes_find_serving_ones_at_every_size() {
    let faults = [
        Fault::Cut(0.3),
        Fault::Cut(0.6),
        Fault::Cut(0.9),
        Fault::Moving(0.5),
        Fault::CutBesideDead(0.6),
    ];
    for nodes in SITES {
        for fault in faults {
            assert_served(nodes, fault, 1);
        }
    }
}

// The same where a single node can serve: the others name it.
#[test]
fn cut_nodes_find_the_only_serving_one() {
    for nodes in [9, 87, 295] {
        for seed in 1..4 {
            assert_served(nodes, Fault::AllButOne, seed);
        }
    }
}

// Guards against nodes that all forward to the same one.
#[test]
fn forwarded_requests_spread_over_the_serving_nodes() {
    for nodes in SITES {
        for fault in [Fault::Cut(0.3), Fault::Cut(0.6)] {
            let totals = assert_served(nodes, fault, 2);
            let serving = totals.loads.iter().filter(|load| **load > 0).count();
            let mean = f64::from(totals.served) / serving as f64;
            let busiest = totals.loads.iter().max().copied().unwrap_or_default();
            let allowed = MAX_LOAD_FACTOR * mean + MAX_LOAD_SLACK;
            assert!(f64::from(busiest) <= allowed, "{nodes} nodes, {fault:?}");
        }
    }
}

// Guards against messages between nodes that multiply when no node reaches an endpoint.
#[test]
fn outage_of_the_endpoints_costs_few_tries() {
    let mut site = Site::new(985, 3);
    site.cut_since.fill(Some(Duration::ZERO));
    let mut totals = Totals::default();
    let mut sent = 0;
    for step in 0..200 {
        let now = STEP * step;
        for node in 0..985 {
            if site.rng.random_bool(0.1) {
                sent += 1;
                assert_eq!(site.request(now, node, &mut totals), None);
            }
        }
    }
    assert!(totals.tries <= sent * 4, "{} of {sent}", totals.tries);
}
