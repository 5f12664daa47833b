//! Placers of a pool with an in-process key-value service and in-process engines, with or without
//! checks of fencing numbers.

mod engines;

use engines::{Engines, SECOND, address};
use oatdale_config::{Config, Domain, Endpoint, EndpointKey, Key, Model, Pool, PoolKey, PoolKind};
use oatdale_config::{Price, Revision, Version, VersionState};
use oatdale_fakes::{KvFault, MemKv};
use oatdale_placement::{LiveConfig, PauseClock, Placer, Settings, run};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// Returns a configuration with one pool of `engines` that should hold only `version` of one model.
fn live_config(revision: u64, engines: u16, version: &str) -> LiveConfig {
    let mut cfg = Config::default();
    let domain = cfg.domains.push(Domain {
        name: "hcm-1".to_owned(),
        region: "hcm".to_owned(),
    });
    let model = cfg.models.push(Model {
        name: "planner".to_owned(),
        versions: Vec::new(),
    });
    let version = cfg.versions.push(Version {
        name: version.to_owned(),
        model,
        state: VersionState::Serving,
        price: Price {
            input: 1.0,
            output: 2.0,
        },
    });
    let endpoints: Vec<EndpointKey> = (0..engines)
        .map(|index| {
            cfg.endpoints.push(Endpoint {
                name: format!("engine-{index}"),
                address: address(index),
                domain,
                pool: PoolKey::from_index(0),
                versions: vec![version],
                concurrency: 8,
            })
        })
        .collect();
    cfg.pools.push(Pool {
        name: "language".to_owned(),
        kind: PoolKind::Engines { fencing: true },
        endpoints,
    });
    (Revision(revision), Arc::new(cfg))
}

/// A node that is a candidate for the pool.
struct Node {
    config: watch::Sender<LiveConfig>,
    candidate: watch::Sender<bool>,
    task: JoinHandle<()>,
}

fn node(kv: &MemKv, name: &str, engines: &Engines, config: LiveConfig, start: Instant) -> Node {
    let clock: PauseClock = Arc::new(move || start.elapsed());
    let (config, config_rx) = watch::channel(config);
    let (candidate, candidate_rx) = watch::channel(true);
    let placer = Placer {
        kv: kv.client(name),
        engines: engines.clone(),
        settings: Settings::new("language", name, 1),
        clock,
        config: config_rx,
        candidate: candidate_rx,
    };
    let task = tokio::spawn(run(placer));
    Node {
        config,
        candidate,
        task,
    }
}

fn full_names(version: &str) -> Vec<String> {
    vec![format!("planner/{version}")]
}

#[tokio::test(start_paused = true)]
async fn engines_get_the_configured_versions_and_at_most_two_load_at_once() {
    let (kv, start, mut engines) = (MemKv::new(1), Instant::now(), Engines::new(true));
    engines.load_duration = 10 * SECOND;
    let node = node(&kv, "a", &engines, live_config(1, 9, "1"), start);
    sleep(100 * SECOND).await;
    for index in 0..9 {
        assert_eq!(engines.state_of(index).versions, full_names("1"));
    }
    assert_eq!(*engines.max_loading.lock().unwrap(), 2);
    node.config.send_replace(live_config(2, 9, "2"));
    sleep(100 * SECOND).await;
    for index in 0..9 {
        assert_eq!(engines.state_of(index).versions, full_names("2"));
        assert_eq!(engines.state_of(index).revision, 2);
    }
    assert_eq!(*engines.max_loading.lock().unwrap(), 2);
}

// Another node takes over with a higher fencing number once the holder's lease has expired.
#[tokio::test(start_paused = true)]
async fn another_node_takes_over_from_a_partitioned_holder() {
    let (kv, start, engines) = (MemKv::new(1), Instant::now(), Engines::new(true));
    let _a = node(&kv, "a", &engines, live_config(1, 1, "1"), start);
    sleep(SECOND).await;
    let _b = node(&kv, "b", &engines, live_config(1, 1, "1"), start);
    let first = engines.state_of(0).fencing;
    kv.cut("a");
    sleep(40 * SECOND).await;
    assert!(engines.state_of(0).fencing > first);
    assert!(kv.counters().cuts > 0 && kv.counters().lapsed > 0);
}

// An order is delayed in the network while its sender is partitioned. The lease expires, another
// node places a newer version, and only then does the order arrive. An engine that checks fencing
// numbers refuses it. One that doesn't drops the new version, which callers find missing until the
// new holder reads the engine and sends its order again.
async fn deliver_late_order(fencing: bool) -> (Engines, Duration) {
    let (kv, start, engines) = (MemKv::new(1), Instant::now(), Engines::new(fencing));
    let a = node(&kv, "a", &engines, live_config(1, 1, "1"), start);
    sleep(10 * SECOND).await;
    assert_eq!(engines.state_of(0).versions, full_names("1"));
    *engines.order_delay.lock().unwrap() = 60 * SECOND;
    a.config.send_replace(live_config(2, 1, "old"));
    sleep(4 * SECOND).await;
    kv.cut("a");
    let other = engines.separate_client();
    let _b = node(&kv, "b", &other, live_config(3, 1, "new"), start);
    sleep(50 * SECOND).await;
    assert_eq!(engines.state_of(0).versions, full_names("new"));
    let received_before = engines.orders_at(0).len();
    while engines.orders_at(0).len() == received_before {
        sleep(Duration::from_millis(100)).await;
    }
    let arrived_at = Instant::now();
    assert_eq!(
        engines.orders_at(0)[received_before].0.versions,
        full_names("old")
    );
    while engines.state_of(0).versions != full_names("new") {
        sleep(Duration::from_millis(100)).await;
    }
    let harm_duration = arrived_at.elapsed();
    sleep(60 * SECOND).await;
    assert_eq!(engines.state_of(0).versions, full_names("new"));
    (engines, harm_duration)
}

#[tokio::test(start_paused = true)]
async fn an_engine_that_checks_fencing_refuses_a_late_order() {
    let (engines, harm_duration) = deliver_late_order(true).await;
    assert_eq!(harm_duration, Duration::ZERO);
    let refused = engines.orders_at(0).iter().filter(|(_, ok)| !ok).count();
    assert!(refused > 0);
}

#[tokio::test(start_paused = true)]
async fn a_late_order_is_reverted_at_an_engine_that_ignores_fencing() {
    let (engines, harm_duration) = deliver_late_order(false).await;
    assert!(
        harm_duration > Duration::ZERO,
        "the engine accepted the late order"
    );
    assert!(
        harm_duration <= 5 * SECOND,
        "more than one poll interval and one load: {harm_duration:?}"
    );
    let refused = engines.orders_at(0).iter().filter(|(_, ok)| !ok).count();
    assert_eq!(refused, 0);
}

// A call to the key-value service takes longer than the holder's lease. Afterwards the holder must
// notice that the lease has expired before it sends an order.
#[tokio::test(start_paused = true)]
async fn a_holder_paused_past_its_lease_sends_no_order() {
    let (kv, start, engines) = (MemKv::new(1), Instant::now(), Engines::new(false));
    let a = node(&kv, "a", &engines, live_config(1, 1, "1"), start);
    sleep(10 * SECOND).await;
    kv.pause("a");
    sleep(4 * SECOND).await;
    let _b = node(&kv, "b", &engines, live_config(3, 1, "new"), start);
    sleep(40 * SECOND).await;
    a.config.send_replace(live_config(2, 1, "old"));
    let before = engines.orders_at(0).len();
    kv.resume("a");
    sleep(40 * SECOND).await;
    let later_orders = engines.orders_at(0)[before..].to_vec();
    assert!(
        later_orders
            .iter()
            .all(|(order, _)| order.versions == full_names("new"))
    );
    assert_eq!(engines.state_of(0).versions, full_names("new"));
}

// The holder loses the key-value service and continues while enough of its lease remains. After
// that another holder may have taken over, so it must not send an order even if its configuration
// changes.
#[tokio::test(start_paused = true)]
async fn a_holder_sends_no_order_once_its_lease_may_have_expired() {
    let (kv, start, engines) = (MemKv::new(1), Instant::now(), Engines::new(false));
    let a = node(&kv, "a", &engines, live_config(1, 1, "1"), start);
    sleep(10 * SECOND).await;
    kv.cut("a");
    a.config.send_replace(live_config(2, 1, "2"));
    sleep(5 * SECOND).await;
    assert_eq!(
        engines.state_of(0).revision,
        2,
        "enough of the lease remained"
    );
    sleep(10 * SECOND).await;
    a.config.send_replace(live_config(3, 1, "3"));
    sleep(20 * SECOND).await;
    assert_eq!(engines.state_of(0).revision, 2);
    kv.mend("a");
    sleep(20 * SECOND).await;
    assert_eq!(engines.state_of(0).revision, 3);
}

// The process is paused between reading an engine and sending the order. The decision is stale by
// then, and an engine that ignores fencing numbers would accept the order.
#[tokio::test(start_paused = true)]
async fn a_pause_between_reading_an_engine_and_ordering_prevents_the_order() {
    let (kv, start, engines) = (MemKv::new(1), Instant::now(), Engines::new(false));
    *engines.read_delay.lock().unwrap() = 14 * SECOND;
    let _a = node(&kv, "a", &engines, live_config(1, 1, "1"), start);
    sleep(40 * SECOND).await;
    assert_eq!(engines.orders_at(0), []);
    *engines.read_delay.lock().unwrap() = Duration::ZERO;
    sleep(40 * SECOND).await;
    assert_eq!(engines.state_of(0).versions, full_names("1"));
}

// The responses to the write of the lease key and to all orders are lost. The placer must neither
// assume that another node holds the lease nor keep ordering what the engine already holds.
#[tokio::test(start_paused = true)]
async fn lost_responses_cause_no_repeated_orders() {
    let (kv, start, mut engines) = (MemKv::new(1), Instant::now(), Engines::new(true));
    engines.drops_responses = true;
    kv.script("a", [KvFault::Pass, KvFault::LostAnswer]);
    let _a = node(&kv, "a", &engines, live_config(1, 1, "1"), start);
    sleep(60 * SECOND).await;
    assert_eq!(kv.counters().lost_answers, 1);
    assert_eq!(engines.state_of(0).versions, full_names("1"));
    assert_eq!(engines.orders_at(0).len(), 1);
}

// A node with an outdated configuration acquires the lease. It must not roll engines back to its
// older configuration.
#[tokio::test(start_paused = true)]
async fn a_holder_with_an_older_configuration_sends_no_order() {
    let (kv, start, engines) = (MemKv::new(1), Instant::now(), Engines::new(false));
    let a = node(&kv, "a", &engines, live_config(5, 1, "5"), start);
    sleep(10 * SECOND).await;
    a.candidate.send_replace(false);
    sleep(10 * SECOND).await;
    let b = node(&kv, "b", &engines, live_config(4, 1, "4"), start);
    sleep(30 * SECOND).await;
    assert_eq!(engines.state_of(0).versions, full_names("5"));
    b.config.send_replace(live_config(6, 1, "6"));
    sleep(10 * SECOND).await;
    assert_eq!(engines.state_of(0).versions, full_names("6"));
}

#[tokio::test(start_paused = true)]
async fn a_placer_releases_its_lease_when_its_node_stops() {
    let (kv, start, engines) = (MemKv::new(1), Instant::now(), Engines::new(true));
    let a = node(&kv, "a", &engines, live_config(1, 1, "1"), start);
    sleep(5 * SECOND).await;
    drop(a.candidate);
    sleep(5 * SECOND).await;
    assert!(a.task.is_finished());
    let key = oatdale_platform::Kv::get(&kv, "placer/language").await;
    assert_eq!(key.unwrap(), None, "the lease was released");
}
