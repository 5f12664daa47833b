//! Configurations modelled on those of the two users, Skyward and Tallyrow, and seeded random
//! numbers.

use oatdale_config::{
    Arena, Config, Customer, CustomerKey, Digest, Domain, DomainKey, Endpoint, EndpointKey, Key,
    Limits, Model, ModelKey, Pool, PoolKey, PoolKind, Price, Service, ServiceKey, ServiceKind,
    Version, VersionKey, VersionState,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::time::Duration;

/// Seeded random number generator.
pub(crate) struct SimRng(Pcg64Mcg);

impl SimRng {
    pub(crate) fn new(seed: u64) -> Self {
        SimRng(Pcg64Mcg::seed_from_u64(seed))
    }

    pub(crate) fn random_bits(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// Returns a uniformly distributed number from 0 up to 1.
    pub(crate) fn uniform(&mut self) -> f64 {
        (self.random_bits() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Returns an integer below `n`, which must not be 0.
    pub(crate) fn below(&mut self, n: usize) -> usize {
        (self.random_bits() % n as u64) as usize
    }

    /// Returns an exponentially distributed number with this mean.
    pub(crate) fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.uniform()).ln()
    }

    /// Returns a log-normally distributed number, given the median and the standard deviation of
    /// the logarithm.
    pub(crate) fn log_normal(&mut self, median: f64, sigma: f64) -> f64 {
        let radius = (-2.0 * (1.0 - self.uniform()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * self.uniform()).cos();
        median * (sigma * normal).exp()
    }
}

/// Settings of a model service.
#[derive(Clone, Debug)]
pub(crate) struct ModelService {
    pub(crate) name: &'static str,
    pub(crate) quality: f64,
    pub(crate) latency_weight: f64,
    /// Seconds.
    pub(crate) deadline: f64,
}

/// Parameters of a configuration with model services on one pool of workers, and one plain service
/// on a pool of plain hosts.
#[derive(Clone, Debug)]
pub(crate) struct Site {
    /// Price of each version for a million prompt tokens and for a million output tokens. Each
    /// version belongs to a model of its own.
    pub(crate) prices: Vec<(f64, f64)>,
    pub(crate) services: Vec<ModelService>,
    pub(crate) workers: usize,
    pub(crate) worker_concurrency: u32,
    pub(crate) hosts: usize,
    pub(crate) host_concurrency: u32,
    pub(crate) customers: usize,
    /// Seconds.
    pub(crate) plain_deadline: f64,
}

impl Site {
    /// Returns a site with three models of different cost, 9 workers, 3 plain hosts and 10
    /// customers.
    pub(crate) fn standard(services: Vec<ModelService>) -> Self {
        Site {
            prices: vec![(0.15, 0.6), (0.8, 3.2), (2.5, 10.0)],
            services,
            workers: 9,
            worker_concurrency: 16,
            hosts: 3,
            host_concurrency: 16,
            customers: 10,
            plain_deadline: 2.0,
        }
    }

    pub(crate) fn config(&self) -> Config {
        Config {
            domains: arena((0..3).map(|i| Domain {
                name: format!("d{i}"),
                region: "r".to_owned(),
            })),
            models: arena((0..self.prices.len()).map(|i| Model {
                name: format!("m{i}"),
                versions: vec![VersionKey::from_index(i)],
            })),
            versions: arena(self.prices.iter().enumerate().map(|(i, &price)| Version {
                name: "1".to_owned(),
                model: ModelKey::from_index(i),
                state: VersionState::Serving,
                price: Price {
                    input: price.0,
                    output: price.1,
                },
            })),
            pools: self.pools(),
            endpoints: arena((0..self.workers + self.hosts).map(|i| self.endpoint(i))),
            services: arena(self.services()),
            customers: arena((0..self.customers).map(|i| self.customer(i))),
        }
    }

    fn pools(&self) -> Arena<PoolKey, Pool> {
        let endpoints = |from: usize, to: usize| -> Vec<EndpointKey> {
            (from..to).map(EndpointKey::from_index).collect()
        };
        let workers = Pool {
            name: "workers".to_owned(),
            kind: PoolKind::Engines { fencing: true },
            endpoints: endpoints(0, self.workers),
        };
        let hosts = Pool {
            name: "hosts".to_owned(),
            kind: PoolKind::Plain,
            endpoints: endpoints(self.workers, self.workers + self.hosts),
        };
        arena([workers, hosts])
    }

    fn endpoint(&self, i: usize) -> Endpoint {
        let is_worker = i < self.workers;
        Endpoint {
            name: format!("e{i}"),
            address: SocketAddr::from(([127, 0, 0, 1], 10_000 + i as u16)),
            domain: DomainKey::from_index(i % 3),
            pool: PoolKey::from_index(usize::from(!is_worker)),
            versions: match is_worker {
                true => (0..self.prices.len()).map(VersionKey::from_index).collect(),
                false => Vec::new(),
            },
            concurrency: match is_worker {
                true => self.worker_concurrency,
                false => self.host_concurrency,
            },
        }
    }

    fn services(&self) -> Vec<Service> {
        let models: Vec<_> = (0..self.prices.len()).map(ModelKey::from_index).collect();
        let mut services: Vec<Service> = self
            .services
            .iter()
            .map(|s| Service {
                name: s.name.to_owned(),
                kind: ServiceKind::Model {
                    models: models.clone(),
                    quality: s.quality,
                    latency_weight: s.latency_weight,
                },
                pool: PoolKey::from_index(0),
                depends_on: Vec::new(),
                deadline: Duration::from_secs_f64(s.deadline),
                non_idempotent: Vec::new(),
            })
            .collect();
        services.push(Service {
            name: "plain".to_owned(),
            kind: ServiceKind::Plain,
            pool: PoolKey::from_index(1),
            depends_on: Vec::new(),
            deadline: Duration::from_secs_f64(self.plain_deadline),
            non_idempotent: Vec::new(),
        });
        services
    }

    fn customer(&self, i: usize) -> Customer {
        Customer {
            name: format!("c{i}"),
            keys: vec![Digest([i as u8; 32])],
            services: (0..=self.services.len())
                .map(ServiceKey::from_index)
                .collect(),
            versions: (0..self.prices.len()).map(VersionKey::from_index).collect(),
            limits: Limits {
                requests_per_second: 1e9,
                concurrent: 1_000_000,
            },
            weight: 1.0,
        }
    }
}

/// Returns the customer of a request, among a few large customers and many small ones.
pub(crate) fn random_customer(rng: &mut SimRng, customers: usize) -> CustomerKey {
    let skewed = rng.uniform().powi(2) * customers as f64;
    CustomerKey::from_index((skewed as usize).min(customers - 1))
}

fn arena<K: Key, T>(items: impl IntoIterator<Item = T>) -> Arena<K, T> {
    let mut arena = Arena::default();
    for item in items {
        arena.push(item);
    }
    arena
}
