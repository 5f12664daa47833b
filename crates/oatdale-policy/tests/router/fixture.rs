//! A small configuration modelled on `examples/skyward.yaml`, and helpers to call a router.

use oatdale_config::{
    Arena, Config, Customer, CustomerKey, Digest, Domain, Endpoint, EndpointKey, Key, Limits,
    Model, ModelKey, Pool, PoolKey, PoolKind, Price, Service, ServiceKey, ServiceKind, Version,
    VersionKey, VersionState,
};
use oatdale_policy::{
    AdmissionDecision, AttemptResult, Dispatch, NodeIdentity, Outcome, RefusalReason, RequestInfo,
    Router, Session, Ticket,
};
use std::sync::Arc;
use std::time::Duration;

/// The model service.
pub(crate) fn model_service() -> ServiceKey {
    ServiceKey::from_index(0)
}

/// The plain service.
pub(crate) fn plain_service() -> ServiceKey {
    ServiceKey::from_index(1)
}

pub(crate) fn customer(index: usize) -> CustomerKey {
    CustomerKey::from_index(index)
}

/// Versions 0 and 1 belong to the cheap model, version 2 to the good one.
pub(crate) fn version(index: usize) -> VersionKey {
    VersionKey::from_index(index)
}

pub(crate) fn endpoint(index: usize) -> EndpointKey {
    EndpointKey::from_index(index)
}

pub(crate) fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

/// Parameters of the configuration that tests vary.
#[derive(Clone, Debug)]
pub(crate) struct TestConfig {
    pub(crate) states: [VersionState; 3],
    pub(crate) limits: Limits,
    pub(crate) concurrency: u32,
    pub(crate) quality: f64,
    pub(crate) latency_weight: f64,
}

impl Default for TestConfig {
    fn default() -> Self {
        TestConfig {
            states: [VersionState::Serving; 3],
            limits: Limits {
                requests_per_second: 1000.0,
                concurrent: 1000,
            },
            concurrency: 4,
            quality: 0.5,
            latency_weight: 0.0,
        }
    }
}

impl TestConfig {
    /// Returns a configuration of two customers, and three engines of the model service and three
    /// hosts of the plain service in three domains.
    pub(crate) fn config(&self) -> Arc<Config> {
        Arc::new(Config {
            domains: arena((0..3).map(|i| Domain {
                name: format!("d{i}"),
                region: "hcmc".to_owned(),
            })),
            models: self.models(),
            versions: self.versions(),
            pools: pools(),
            endpoints: arena((0..6).map(|i| self.endpoint(i))),
            services: self.services(),
            customers: arena((0..2).map(|i| self.customer(i))),
        })
    }

    pub(crate) fn router(&self) -> Router {
        Router::new(self.config(), node_identity())
    }

    fn models(&self) -> Arena<ModelKey, Model> {
        arena(
            [("cheap", vec![0, 1]), ("good", vec![2])].map(|(name, versions)| Model {
                name: name.to_owned(),
                versions: versions.into_iter().map(version).collect(),
            }),
        )
    }

    fn versions(&self) -> Arena<VersionKey, Version> {
        let prices = [1.0, 1.0, 8.0];
        arena((0..3).map(|i| Version {
            name: format!("v{i}"),
            model: ModelKey::from_index(usize::from(i == 2)),
            state: self.states[i],
            price: Price {
                input: prices[i],
                output: prices[i],
            },
        }))
    }

    fn endpoint(&self, i: usize) -> Endpoint {
        Endpoint {
            name: format!("e{i}"),
            address: std::net::SocketAddr::from(([127, 0, 0, 1], 9000 + i as u16)),
            domain: oatdale_config::DomainKey::from_index(i % 3),
            pool: PoolKey::from_index(i / 3),
            versions: match i / 3 {
                0 => (0..3).map(version).collect(),
                _ => Vec::new(),
            },
            concurrency: self.concurrency,
        }
    }

    fn services(&self) -> Arena<ServiceKey, Service> {
        let model = ServiceKind::Model {
            models: vec![ModelKey::from_index(0), ModelKey::from_index(1)],
            quality: self.quality,
            latency_weight: self.latency_weight,
        };
        let kinds = [("planner", model), ("desk", ServiceKind::Plain)];
        arena(
            kinds
                .into_iter()
                .enumerate()
                .map(|(i, (name, kind))| Service {
                    name: name.to_owned(),
                    kind,
                    pool: PoolKey::from_index(i),
                    depends_on: Vec::new(),
                    deadline: Duration::from_secs(10),
                    non_idempotent: Vec::new(),
                }),
        )
    }

    fn customer(&self, i: usize) -> Customer {
        Customer {
            name: format!("c{i}"),
            keys: vec![Digest([i as u8; 32])],
            services: vec![model_service(), plain_service()],
            versions: match i {
                0 => (0..3).map(version).collect(),
                _ => vec![version(0)],
            },
            limits: self.limits,
            weight: 1.0,
        }
    }
}

fn pools() -> Arena<PoolKey, Pool> {
    let kinds = [
        ("workers", PoolKind::Engines { fencing: true }),
        ("desks", PoolKind::Plain),
    ];
    arena(kinds.into_iter().enumerate().map(|(i, (name, kind))| Pool {
        name: name.to_owned(),
        kind,
        endpoints: (3 * i..3 * i + 3).map(endpoint).collect(),
    }))
}

/// The node that all tests use.
pub(crate) fn node_identity() -> NodeIdentity {
    NodeIdentity {
        domain: Some(oatdale_config::DomainKey::from_index(0)),
        seed: 7,
    }
}

/// A request of customer 0 to the model service, outside any session, with a deadline in 10 s.
pub(crate) fn request(now: Duration, rollout_hash: u64) -> RequestInfo {
    RequestInfo {
        customer: customer(0),
        service: model_service(),
        idempotent: true,
        session: Session::None,
        deadline: now + Duration::from_secs(10),
        input_tokens: 100,
        output_tokens: 100,
        prefix: rollout_hash,
        rollout_hash,
        stream: false,
        class: 0,
    }
}

pub(crate) fn complete(rating: Option<f64>) -> Outcome {
    outcome(AttemptResult::Complete {
        rating,
        output_tokens: 100,
    })
}

pub(crate) fn outcome(result: AttemptResult) -> Outcome {
    Outcome {
        result,
        forwarded: false,
        first_byte: Some(Duration::from_millis(50)),
        total: Duration::from_millis(200),
    }
}

#[track_caller]
pub(crate) fn expect_run(decision: AdmissionDecision) -> Dispatch {
    match decision {
        AdmissionDecision::Run(dispatch) => dispatch,
        other => panic!("expected the request to run, got {other:?}"),
    }
}

#[track_caller]
pub(crate) fn expect_wait(decision: AdmissionDecision) -> Ticket {
    match decision {
        AdmissionDecision::Wait(ticket) => ticket,
        other => panic!("expected the request to wait, got {other:?}"),
    }
}

#[track_caller]
pub(crate) fn refusal_reason(decision: AdmissionDecision) -> RefusalReason {
    match decision {
        AdmissionDecision::Refuse(refusal) => refusal.reason,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

fn arena<K: Key, T>(items: impl IntoIterator<Item = T>) -> Arena<K, T> {
    let mut arena = Arena::default();
    for item in items {
        arena.push(item);
    }
    arena
}
