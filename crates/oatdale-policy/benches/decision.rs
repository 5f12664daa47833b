//! Benchmark of routing decisions at the target size of 2,100 endpoints and 40 versions.
//!
//! `cargo bench -p oatdale-policy` prints the nanoseconds of a decision (offer), of a complete
//! request (offer and finish) and of a reconfiguration, as the median and the worst of several
//! rounds, and the nanoseconds of a placement by expected time among few and many endpoints.

use oatdale_config::{
    Arena, Config, Customer, CustomerKey, Digest, Domain, DomainKey, Endpoint, EndpointKey, Key,
    Limits, Model, ModelKey, Pool, PoolKey, PoolKind, Price, Service, ServiceKey, ServiceKind,
    Version, VersionKey, VersionState,
};
use oatdale_policy::relay::{
    CachedPrefix, LoadAhead, ResponseTimes, TimedCandidate, choose_cached, choose_of_two,
};
use oatdale_policy::{
    AdmissionDecision, AttemptResult, NodeIdentity, Outcome, RequestInfo, Router, Session,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

const ENDPOINTS: usize = 2_100;
const VERSIONS: usize = 40;
const DOMAINS: usize = 16;
const CUSTOMERS: usize = 50;
const SERVICES: usize = 10;
const REQUESTS: u64 = 200_000;
const ROUNDS: usize = 7;

/// Numbers of endpoints among which requests are placed by expected time, and the number of
/// placements in a round.
const CANDIDATES: [usize; 2] = [144, 20_000];
const PLACEMENTS: u32 = 2_000;

fn main() {
    let cfg = Arc::new(config());
    let identity = NodeIdentity {
        domain: Some(DomainKey::from_index(0)),
        seed: 1,
    };
    let mut router = Router::new(cfg.clone(), identity);
    let mut offers = Vec::new();
    let mut requests = Vec::new();
    for round in 0..ROUNDS as u64 {
        let (offer, request) = measure(&mut router, round);
        offers.push(offer);
        requests.push(request);
    }
    print("offer", offers);
    print("reconfigure", reconfigure(&mut router, &cfg));
    print("offer and finish", requests);
    CANDIDATES.into_iter().for_each(place);
}

/// Measures the application of a configuration of the same size; returns nanoseconds per round.
fn reconfigure(router: &mut Router, cfg: &Arc<Config>) -> Vec<u64> {
    (0..ROUNDS)
        .map(|_| {
            let start = Instant::now();
            router.reconfigure(Duration::from_secs(10_000), cfg.clone());
            start.elapsed().as_nanos() as u64
        })
        .collect()
}

/// Returns the average nanoseconds of an offer and of a complete request.
fn measure(router: &mut Router, round: u64) -> (u64, u64) {
    let mut offers = Duration::ZERO;
    let start = Instant::now();
    for i in 0..REQUESTS {
        let n = round * REQUESTS + i;
        let now = Duration::from_micros(300 * n);
        let offer_start = Instant::now();
        let decision = router.offer(now, &request_info(now, n));
        offers += offer_start.elapsed();
        let AdmissionDecision::Run(dispatch) = decision else {
            panic!("expected an idle fleet to run the request, got {decision:?}");
        };
        router.finish(now, dispatch.ticket, &outcome(n));
    }
    let per_request = |time: Duration| (time.as_nanos() / u128::from(REQUESTS)) as u64;
    (per_request(offers), per_request(start.elapsed()))
}

/// Measures placements among `count` endpoints with different loads and speeds.
fn place(count: usize) {
    let mut rng = Pcg64::seed_from_u64(1);
    let candidates: Vec<_> = (0..count)
        .map(|_| TimedCandidate {
            load: rng.random_range(0.0..20.0),
            speed_factor: rng.random_range(0.7..2.5),
            health_factor: 1.0,
            same_domain: rng.random(),
            affinity: rng.random(),
        })
        .collect();
    let mut times = ResponseTimes::new(Duration::from_secs(60));
    let ahead = |c: &TimedCandidate| LoadAhead {
        load: c.load,
        weight: 1.0,
        speed_factor: c.speed_factor,
    };
    for candidate in &candidates[..100] {
        let time = Duration::from_millis(60 + 10 * candidate.load as u64);
        times.record(Duration::ZERO, ahead(candidate), candidate.load, time);
    }
    for share in [0.0, 0.1] {
        print_placement(&format!("cached prefix, share {share}"), count, || {
            let curve = times.curve(Duration::from_secs(1));
            let prefix = CachedPrefix { read_s: 0.1, share };
            choose_cached(
                &candidates,
                &[],
                |c| curve.time_s(ahead(c)),
                prefix,
                &mut rng,
            )
        });
    }
    print_placement("no prefix", count, || choose_of_two(&candidates, &mut rng));
}

fn print_placement(name: &str, count: usize, mut place: impl FnMut() -> Option<usize>) {
    let mut rounds: Vec<_> = (0..ROUNDS)
        .map(|_| {
            let start = Instant::now();
            (0..PLACEMENTS).for_each(|_| {
                black_box(place());
            });
            start.elapsed() / PLACEMENTS
        })
        .collect();
    rounds.sort_unstable();
    let (median, worst) = (rounds[ROUNDS / 2], rounds[ROUNDS - 1]);
    println!("placement, {name}: {median:?} (worst round {worst:?}) at {count} endpoints");
}

fn print(name: &str, mut nanoseconds: Vec<u64>) {
    nanoseconds.sort_unstable();
    let (median, worst) = (nanoseconds[ROUNDS / 2], nanoseconds[ROUNDS - 1]);
    println!(
        "{name}: {median} ns (worst round {worst} ns) at {ENDPOINTS} endpoints, {VERSIONS} versions"
    );
}

fn request_info(now: Duration, n: u64) -> RequestInfo {
    let rollout_hash = n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    RequestInfo {
        customer: CustomerKey::from_index((n % CUSTOMERS as u64) as usize),
        service: ServiceKey::from_index((rollout_hash >> 40) as usize % SERVICES),
        idempotent: true,
        session: Session::None,
        deadline: now + Duration::from_secs(30),
        input_tokens: 1000,
        output_tokens: 400,
        prefix: rollout_hash >> 32,
        rollout_hash,
        stream: true,
        class: (n % 8) as u8,
    }
}

fn outcome(n: u64) -> Outcome {
    Outcome {
        result: AttemptResult::Complete {
            rating: (!n.is_multiple_of(3)).then_some(1.0),
            output_tokens: 400,
        },
        forwarded: false,
        first_byte: Some(Duration::from_millis(200)),
        total: Duration::from_secs(6),
    }
}

/// A configuration of one pool; each endpoint serves four versions, and each service may use all
/// versions.
fn config() -> Config {
    let versions = || (0..VERSIONS).map(VersionKey::from_index);
    Config {
        domains: arena((0..DOMAINS).map(|i| Domain {
            name: format!("d{i}"),
            region: format!("r{}", i % 5),
        })),
        models: arena((0..VERSIONS).map(|i| Model {
            name: format!("m{i}"),
            versions: vec![VersionKey::from_index(i)],
        })),
        versions: arena((0..VERSIONS).map(|i| Version {
            name: "1".to_owned(),
            model: ModelKey::from_index(i),
            state: VersionState::Serving,
            price: Price {
                input: 0.1 + i as f64,
                output: 0.4 + 4.0 * i as f64,
            },
        })),
        pools: arena([Pool {
            name: "workers".to_owned(),
            kind: PoolKind::Engines { fencing: true },
            endpoints: (0..ENDPOINTS).map(EndpointKey::from_index).collect(),
        }]),
        endpoints: arena((0..ENDPOINTS).map(|i| {
            Endpoint {
                name: format!("e{i}"),
                address: std::net::SocketAddr::from(([127, 0, 0, 1], 10_000 + i as u16)),
                domain: DomainKey::from_index(i % DOMAINS),
                pool: PoolKey::from_index(0),
                versions: (0..4)
                    .map(|k| VersionKey::from_index((i + 10 * k) % VERSIONS))
                    .collect(),
                concurrency: 32,
            }
        })),
        services: arena((0..SERVICES).map(|i| Service {
            name: format!("s{i}"),
            kind: ServiceKind::Model {
                models: (0..VERSIONS).map(ModelKey::from_index).collect(),
                quality: 0.9,
                latency_weight: 0.3,
            },
            pool: PoolKey::from_index(0),
            depends_on: Vec::new(),
            deadline: Duration::from_secs(30),
            non_idempotent: Vec::new(),
        })),
        customers: arena((0..CUSTOMERS).map(|i| Customer {
            name: format!("c{i}"),
            keys: vec![Digest([i as u8; 32])],
            services: (0..SERVICES).map(ServiceKey::from_index).collect(),
            versions: versions().collect(),
            limits: Limits {
                requests_per_second: 1e9,
                concurrent: 1_000_000,
            },
            weight: 1.0,
        })),
    }
}

fn arena<K: Key, T>(items: impl IntoIterator<Item = T>) -> Arena<K, T> {
    let mut arena = Arena::default();
    for item in items {
        arena.push(item);
    }
    arena
}
