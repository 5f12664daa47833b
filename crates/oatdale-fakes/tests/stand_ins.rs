//! The whole set of stand-ins and the commands that switch it.

use bytes::Bytes;
use oatdale_fakes::{
    CallCounts, Command, EngineCommand, EngineConfig, EngineVersion, Fault, KvCommand,
    RatingConfig, StandIns, StandInsConfig, Switch, WeightStore,
};
use oatdale_platform::chat::ChatRequest;
use oatdale_platform::wire::HostState;
use oatdale_platform::{
    Call, CallError, EngineClient, HostListClient, HttpKv, HttpKvConfig, Kv, KvError, Pool,
};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep};

async fn start() -> StandIns {
    StandIns::start(StandInsConfig {
        first_port: 0,
        domains: vec!["hcmc-1".to_owned(), "hcmc-2".to_owned()],
        engines: 3,
        engine: EngineConfig {
            versions: vec![EngineVersion::held("planner/v1", 1.0)],
            ..EngineConfig::default()
        },
        plain: 1,
        host_lag: Duration::from_millis(100),
        rating: RatingConfig::default(),
        weights: WeightStore::new(vec![], 1),
        seed: 1,
    })
    .await
    .unwrap()
}

fn address(stand_ins: &StandIns, name: &str) -> SocketAddr {
    let found = stand_ins.listening().iter().find(|l| l.name == name);
    found.unwrap().address
}

fn run(stand_ins: &StandIns, line: &str) -> Option<CallCounts> {
    stand_ins.run(line.parse().unwrap()).unwrap()
}

fn after(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}

async fn chat(addr: SocketAddr, request: &str) -> Result<(), CallError> {
    let call = Call {
        request: request.to_owned(),
        attempt: 1,
        urgency: 3,
        deadline: after(2000),
    };
    let body = serde_json::to_vec(&ChatRequest::new("planner/v1", "p")).unwrap();
    let answer = EngineClient::default()
        .chat(addr, &call, Bytes::from(body))
        .await?;
    answer.collect(1 << 20, after(2000)).await.map(|_| ())
}

/// The key-value service is down for a while and comes back by itself, with what it held.
#[tokio::test(start_paused = true)]
async fn a_timed_outage_ends_by_itself() {
    let stand_ins = start().await;
    let kv = HttpKv::new(HttpKvConfig {
        addresses: vec![address(&stand_ins, "kv")],
        timeout: Duration::from_millis(200),
    });
    assert_eq!(kv.get("config").await, Ok(None));
    for outage in ["kv outage 2s", "kv refuse 2s"] {
        run(&stand_ins, outage);
        sleep(Duration::from_millis(1900)).await;
        let down = kv.get("config").await;
        assert!(matches!(down, Err(KvError::Unavailable { .. })), "{down:?}");
        sleep(Duration::from_millis(200)).await;
        assert_eq!(kv.get("config").await, Ok(None));
    }
}

#[tokio::test(start_paused = true)]
async fn commands_reach_the_endpoint_that_they_name() {
    let stand_ins = start().await;
    let second = address(&stand_ins, "engine-2");
    run(&stand_ins, "engine 2 bad errors planner/v1");
    assert!(chat(second, "r-1").await.is_err());
    chat(address(&stand_ins, "engine-1"), "r-2").await.unwrap();
    run(&stand_ins, "engine 2 good planner/v1");
    chat(second, "r-3").await.unwrap();
    let counts = run(&stand_ins, "engine 2 calls").unwrap();
    let begun: Vec<(String, u32)> = counts.begun.into_iter().collect();
    assert_eq!(begun, [("r-1".to_owned(), 1), ("r-3".to_owned(), 1)]);
    let refused = stand_ins.run(Command::Engine(4, EngineCommand::Calls));
    assert!(refused.unwrap_err().contains("there are 3"));
}

#[tokio::test(start_paused = true)]
async fn the_host_list_names_the_endpoints_and_who_leaves() {
    let stand_ins = start().await;
    let client = HostListClient::new(Pool::default(), address(&stand_ins, "hosts"));
    run(&stand_ins, "hosts leaving engine-2");
    sleep(Duration::from_millis(110)).await;
    let hosts = client.hosts(after(1000)).await.unwrap();
    let leaving = |h: &&oatdale_platform::wire::Host| h.state == HostState::Leaving;
    let names: Vec<&str> = hosts.iter().filter(leaving).map(|h| &*h.host).collect();
    assert_eq!((hosts.len(), names), (4, vec!["engine-2"]));
}

#[test]
fn commands_are_read_and_nonsense_is_answered_with_the_list() {
    let read = |line: &str| line.parse::<Command>();
    assert_eq!(
        read("  engine 3   bad hang "),
        Ok(Command::Engine(
            3,
            EngineCommand::Fault(Some(Fault::Hang), None)
        ))
    );
    assert_eq!(
        read("kv outage 10s"),
        Ok(Command::Kv(KvCommand::Outage(Switch::For(
            Duration::from_secs(10)
        ))))
    );
    assert_eq!(
        read("kv limits 300 2000"),
        Ok(Command::Kv(KvCommand::Limits(300.0, 2000.0)))
    );
    for line in [
        "",
        "kv",
        "kv lost-answers 1.5",
        "kv limits 0 5",
        "engine x calls",
        "engine 1 slow -2",
        "engine 1 slow NaN",
        "plain 1 bad cut",
        "stop now",
    ] {
        let message = read(line).unwrap_err().to_string();
        assert!(message.contains("kv outage on|off|TIME"), "{line:?}");
    }
}
