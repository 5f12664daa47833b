//! Plain services, ratings, the host list and the weight store.

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, header};
use oatdale_fakes::{
    Hosts, Plain, PlainCall, PlainFault, RatingConfig, Ratings, Server, WeightStore, text,
};
use oatdale_platform::wire::{Host, HostRole, HostState, Rating, Weights};
use oatdale_platform::{
    Answer, Call, CallError, HostListClient, PlainClient, Pool, RatingClient, Reuse,
    WeightStoreClient, strip,
};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::time::{Instant, sleep};

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

fn after(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}

async fn confirm(addr: SocketAddr, id: &str) -> Result<Answer, CallError> {
    let call = Call {
        request: id.to_owned(),
        attempt: 1,
        urgency: 3,
        deadline: after(500),
    };
    let req = Request::post("/slots/7/confirm?team=hcmut")
        .header("connection", "close, x-secret")
        .header("x-secret", "for the next hop only")
        .body(Bytes::from_static(b"{\"pass\":7}"))
        .unwrap();
    PlainClient::default()
        .call(addr, &call, req, Reuse::Never)
        .await
}

#[tokio::test(start_paused = true)]
async fn a_plain_call_goes_through_as_it_came() {
    let plain = Plain::start(loopback()).await.unwrap();
    let answer = confirm(plain.addr(), "r-1").await.unwrap();
    let body = answer.collect(1 << 20, after(1000)).await.unwrap();
    let call: PlainCall = serde_json::from_slice(&body).unwrap();
    assert_eq!(call.path, "/slots/7/confirm?team=hcmut");
    assert_eq!(call.body, "{\"pass\":7}");
    assert_eq!(plain.runs("r-1"), 1);
}

/// A desk host runs a confirmation and its answer is lost, or it hangs, or it says that it failed.
/// The confirmation ran once; no client may say that it did not, and none may send it again.
#[tokio::test(start_paused = true)]
async fn a_call_that_ran_is_never_reported_as_not_run() {
    let plain = Plain::start(loopback()).await.unwrap();
    plain.set_fault(Some(PlainFault::LostAnswer));
    let lost = confirm(plain.addr(), "lost").await.unwrap_err();
    assert!(matches!(lost, CallError::Broken { .. }), "{lost}");
    plain.set_fault(Some(PlainFault::Hang));
    let hung = confirm(plain.addr(), "hung").await.unwrap_err();
    assert_eq!(hung, CallError::TimedOut);
    plain.set_fault(Some(PlainFault::Errors));
    let failed = confirm(plain.addr(), "failed").await.unwrap();
    assert_eq!(failed.head.status, StatusCode::INTERNAL_SERVER_ERROR);
    for id in ["lost", "hung", "failed"] {
        assert_eq!(plain.runs(id), 1, "{id}");
    }
}

/// A desk host has no room and says so before it looks at the call, or it is down. The caller may
/// be told that nothing ran, and when to come back.
#[tokio::test(start_paused = true)]
async fn a_call_refused_before_its_start_did_not_run() {
    let plain = Plain::start(loopback()).await.unwrap();
    plain.set_fault(Some(PlainFault::NotStarted));
    match confirm(plain.addr(), "r").await.unwrap_err() {
        CallError::NotStarted { retry_after, .. } => {
            assert_eq!(retry_after, Some(Duration::from_secs(1)));
        }
        err => panic!("{err}"),
    }
    plain.refuse(true);
    sleep(Duration::from_millis(5)).await;
    let err = confirm(plain.addr(), "r").await.unwrap_err();
    assert!(matches!(err, CallError::NotSent { .. }), "{err}");
    assert_eq!(plain.runs("r"), 0);
}

/// A caller sends headers that speak of its own connection. Passed on, they would close the
/// endpoint's connection or ask it to change the protocol.
#[test]
fn headers_of_one_connection_are_taken_out() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("connection", "keep-alive, X-Hop"),
        ("connection", "upgrade"),
        ("keep-alive", "timeout=5"),
        ("upgrade", "websocket"),
        ("te", "trailers"),
        ("transfer-encoding", "chunked"),
        ("x-hop", "1"),
        ("x-end", "2"),
        ("accept", "text/plain"),
    ] {
        headers.append(name, value.parse().unwrap());
    }
    strip(&mut headers);
    let left: Vec<&str> = headers.keys().map(header::HeaderName::as_str).collect();
    assert_eq!(left, ["x-end", "accept"]);
}

fn rating(quality: f64) -> Rating {
    Rating {
        service: "mail-tags".to_owned(),
        prompt: "user: tag this mail".to_owned(),
        answer: text::answer("tagger/v1", "user: tag this mail", quality, 8).concat(),
    }
}

#[tokio::test(start_paused = true)]
async fn ratings_follow_the_answers_quality_after_their_lag() {
    let cfg = RatingConfig {
        lag: Duration::from_millis(300),
        ..RatingConfig::default()
    };
    let ratings = Ratings::start(loopback(), cfg).await.unwrap();
    let client = RatingClient::new(Pool::default(), ratings.addr());
    let begun = Instant::now();
    assert_eq!(client.rate(&rating(1.0), after(1000)).await, Ok(0.9));
    assert!(begun.elapsed() >= Duration::from_millis(300));
    assert_eq!(client.rate(&rating(0.0), after(1000)).await, Ok(0.3));
    let late = client.rate(&rating(1.0), after(100)).await;
    assert_eq!(late, Err(CallError::TimedOut));
}

/// The rating service is down, or sends a number that is no score. Neither may count as a verdict
/// on a version.
#[tokio::test(start_paused = true)]
async fn no_rating_comes_from_an_outage_or_from_nonsense() {
    let cfg = RatingConfig {
        outage: true,
        ..RatingConfig::default()
    };
    let ratings = Ratings::start(loopback(), cfg).await.unwrap();
    let client = RatingClient::new(Pool::default(), ratings.addr());
    let down = client.rate(&rating(1.0), after(1000)).await;
    assert!(matches!(down, Err(CallError::Broken { .. })), "{down:?}");
    for nonsense in [
        "{\"score\":1.5}",
        "{\"score\":-1}",
        "{\"score\":null}",
        "{",
        "",
    ] {
        let server = Server::start(loopback(), move |_| async move {
            let body = http_body_util::Full::from(nonsense);
            let body = http_body_util::BodyExt::map_err(body, |never| match never {});
            let body = http_body_util::BodyExt::boxed_unsync(body);
            Ok(http::Response::new(body))
        })
        .await
        .unwrap();
        let client = RatingClient::new(Pool::default(), server.addr());
        let score = client.rate(&rating(1.0), after(1000)).await;
        assert!(matches!(score, Err(CallError::Broken { .. })), "{nonsense}");
    }
}

/// A host has left, and the list goes on naming it for a while. Whoever relied on the list alone
/// would send work to a host that is gone.
#[tokio::test(start_paused = true)]
async fn the_host_list_lags_behind() {
    let lag = Duration::from_secs(2);
    let hosts = Hosts::start(loopback(), lag).await.unwrap();
    let client = HostListClient::new(Pool::default(), hosts.addr());
    let host = Host {
        host: "engine-1".to_owned(),
        address: "10.0.0.7:8000".parse().unwrap(),
        domain: "hcmc-1".to_owned(),
        role: HostRole::Engine,
        state: HostState::Live,
    };
    hosts.set(host.clone());
    assert_eq!(client.hosts(after(1000)).await, Ok(vec![]));
    sleep(lag).await;
    assert_eq!(client.hosts(after(1000)).await, Ok(vec![host.clone()]));
    hosts.set(Host {
        state: HostState::Leaving,
        ..host.clone()
    });
    sleep(lag / 2).await;
    hosts.remove("engine-1");
    assert_eq!(client.hosts(after(1000)).await, Ok(vec![host]));
    sleep(lag / 2).await;
    let leaving = client.hosts(after(1000)).await.unwrap();
    assert_eq!(leaving[0].state, HostState::Leaving);
    sleep(lag / 2).await;
    assert_eq!(client.hosts(after(1000)).await, Ok(vec![]));
}

#[tokio::test(start_paused = true)]
async fn the_weight_store_names_its_versions() {
    let weight = |version: &str| Weights {
        version: version.to_owned(),
        bytes: 5_000,
    };
    let store = WeightStore::new(vec![weight("b/v1"), weight("a/v1")], 1_000);
    let server = store.serve(loopback()).await.unwrap();
    let client = WeightStoreClient::new(Pool::default(), server.addr());
    let list = client.list(after(1000)).await.unwrap();
    assert_eq!(list.weights, [weight("a/v1"), weight("b/v1")]);
    assert_eq!((list.bytes_per_second, list.backlog_ms), (1_000, 0));
}
