//! The engine client against the stand-in.

use bytes::Bytes;
use futures::future::join_all;
use oatdale_fakes::{
    CacheConfig, Engine, EngineConfig, EngineHandle, EngineVersion, Fault, Speed, WeightStore, text,
};
use oatdale_platform::chat::{ChatRequest, ChatResponse, StreamOptions};
use oatdale_platform::wire::{Order, Ordered, Weights};
use oatdale_platform::{Answer, Call, CallError, ChatStream, EngineClient};
use std::time::Duration;
use tokio::time::{Instant, sleep};

const V1: &str = "planner/v1";
const V2: &str = "planner/v2";

fn after(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}

fn call(request: &str) -> Call {
    Call {
        request: request.to_owned(),
        attempt: 1,
        urgency: 3,
        deadline: after(5000),
    }
}

fn body(prompt: &str, tokens: u32, stream: bool) -> Bytes {
    let ask = ChatRequest {
        stream,
        stream_options: stream.then_some(StreamOptions {
            include_usage: true,
        }),
        max_tokens: Some(tokens),
        ..ChatRequest::new(V1, prompt)
    };
    serde_json::to_vec(&ask).unwrap().into()
}

fn config() -> EngineConfig {
    EngineConfig {
        versions: vec![
            EngineVersion::held(V1, 1.0),
            EngineVersion {
                held: false,
                ..EngineVersion::held(V2, 1.0)
            },
        ],
        ..EngineConfig::default()
    }
}

async fn start(cfg: EngineConfig) -> (EngineHandle, EngineClient) {
    (Engine::start(cfg).await.unwrap(), EngineClient::default())
}

async fn read_stream(answer: Answer) -> Result<String, CallError> {
    let mut stream = ChatStream::new(answer);
    let mut text = String::new();
    while let Some(piece) = stream.next(after(5000)).await? {
        text.push_str(std::str::from_utf8(&piece).unwrap());
    }
    assert!(stream.is_done());
    Ok(text)
}

#[tokio::test(start_paused = true)]
async fn a_whole_answer_tells_its_usage_and_the_engines_load() {
    let (engine, client) = start(config()).await;
    let answer = client
        .chat(engine.addr(), &call("r-1"), body("tag this mail", 5, false))
        .await
        .unwrap();
    let load = answer.load.clone().unwrap();
    assert_eq!((load.running, load.waiting), (0, 0));
    let text = answer.collect(1 << 20, after(1000)).await.unwrap();
    let answer: ChatResponse = serde_json::from_slice(&text).unwrap();
    let usage = answer.usage.unwrap();
    assert_eq!((usage.prompt_tokens, usage.completion_tokens), (4, 5));
    let text = answer.choices[0].message.text();
    assert!(text.contains(&text::reference(V1, "user: tag this mail")));
    assert_eq!(engine.calls()[0].request, "r-1");
}

#[tokio::test(start_paused = true)]
async fn streams_side_by_side_each_get_their_own_whole_answer() {
    let (engine, client) = start(config()).await;
    let one = |i: usize| {
        let (client, addr) = (client.clone(), engine.addr());
        async move {
            let prompt = format!("orbit log {i}");
            let call = call(&format!("r-{i}"));
            let answer = client.chat(addr, &call, body(&prompt, 9, true)).await;
            let text = read_stream(answer.unwrap()).await.unwrap();
            let mine = text::reference(V1, &format!("user: {prompt}"));
            assert_eq!(text.matches("ref-").count(), 1);
            assert!(text.contains(&mine), "answer {i} is someone else's");
            assert!(text.contains("\"completion_tokens\":9"));
        }
    };
    join_all((0..32).map(one)).await;
    assert_eq!(engine.calls().len(), 32);
}

/// An engine stops in the middle of an answer: its stream just ends, or its connection breaks, or
/// it closes without a word, or it says that it failed. Each time the request may have run, and
/// what came must not be taken for an answer.
#[tokio::test(start_paused = true)]
async fn a_failed_answer_is_broken_and_may_have_run() {
    let (engine, client) = start(config()).await;
    for fault in [Fault::Cut, Fault::Break, Fault::Reset, Fault::Errors] {
        engine.set_fault(Some(fault));
        let answer = client
            .chat(engine.addr(), &call("r"), body("p", 5, true))
            .await;
        let err = match answer {
            Ok(answer) => read_stream(answer).await.unwrap_err(),
            Err(err) => err,
        };
        assert!(matches!(err, CallError::Broken { .. }), "{fault:?}: {err}");
        assert!(!err.is_not_run());
    }
}

/// The same failures without streaming, where the head of the answer comes only at the end.
#[tokio::test(start_paused = true)]
async fn a_failed_whole_answer_is_broken_too() {
    let (engine, client) = start(config()).await;
    for fault in [Fault::Cut, Fault::Break, Fault::Reset, Fault::Errors] {
        engine.set_fault(Some(fault));
        let err = client
            .chat(engine.addr(), &call("r"), body("p", 5, false))
            .await
            .unwrap_err();
        assert!(matches!(err, CallError::Broken { .. }), "{fault:?}: {err}");
    }
}

/// An engine refuses before it begins: it is leaving, it does not hold the version, its queue is
/// full. Only these may be told to a caller as not run, beside a connection that never opened.
#[tokio::test(start_paused = true)]
async fn a_refusal_before_the_start_is_not_run() {
    let speed = Speed {
        max_running: 1,
        max_waiting: 0,
        ..Speed::default()
    };
    let (engine, client) = start(EngineConfig { speed, ..config() }).await;
    let addr = engine.addr();
    let mut other = ChatRequest::new(V2, "p");
    other.max_tokens = Some(1);
    let other = serde_json::to_vec(&other).unwrap().into();
    let err = client.chat(addr, &call("r"), other).await.unwrap_err();
    assert!(matches!(err, CallError::NotStarted { .. }), "{err}");

    let running = client.chat(addr, &call("r"), body("p", 50, true)).await;
    let err = client
        .chat(addr, &call("r"), body("p", 1, true))
        .await
        .unwrap_err();
    match err {
        CallError::NotStarted { retry_after, .. } => {
            assert_eq!(retry_after, Some(Duration::from_millis(500)));
        }
        err => panic!("{err}"),
    }
    engine.set_leaving(true);
    let err = client
        .chat(addr, &call("r"), body("p", 1, true))
        .await
        .unwrap_err();
    assert!(err.is_not_run(), "{err}");
    read_stream(running.unwrap()).await.unwrap();
    assert_eq!(engine.calls().len(), 1, "only one was begun");
}

/// An engine is frozen: it takes the request and no byte ever comes. The call ends at its deadline
/// and may have run.
#[tokio::test(start_paused = true)]
async fn a_frozen_engine_is_given_up_at_the_deadline() {
    let (engine, client) = start(config()).await;
    engine.set_fault(Some(Fault::Hang));
    let call = Call {
        deadline: after(300),
        ..call("r")
    };
    let err = client
        .chat(engine.addr(), &call, body("p", 5, false))
        .await
        .unwrap_err();
    assert_eq!(err, CallError::TimedOut);
    sleep(Duration::from_millis(20)).await;
    assert_eq!(engine.under_way(), (0, 0), "the engine has dropped it");
}

/// The caller goes away in the middle of an answer. The engine must not go on for nobody, since
/// others wait for its room.
#[tokio::test(start_paused = true)]
async fn a_dropped_answer_cancels_the_engines_work() {
    let (engine, client) = start(config()).await;
    let mut answer = client
        .chat(engine.addr(), &call("r"), body("p", 10_000, true))
        .await
        .unwrap();
    answer.next(after(1000)).await.unwrap().unwrap();
    assert_eq!(engine.under_way(), (1, 0));
    drop(answer);
    sleep(Duration::from_millis(50)).await;
    assert_eq!(engine.under_way(), (0, 0));
}

#[tokio::test(start_paused = true)]
async fn a_request_is_cancelled_by_its_id() {
    let (engine, client) = start(config()).await;
    let addr = engine.addr();
    let id = "desk/7?a=b c";
    let answer = client
        .chat(addr, &call(id), body("p", 10_000, true))
        .await
        .unwrap();
    assert_eq!(client.cancel(addr, id, after(1000)).await, Ok(true));
    assert_eq!(engine.under_way(), (0, 0));
    let cut = read_stream(answer).await;
    assert!(matches!(cut, Err(CallError::Broken { .. })), "{cut:?}");
    assert_eq!(client.cancel(addr, id, after(1000)).await, Ok(false));
}

/// A request's id can't be written into a header. Sent without it, its answer could not be told
/// from others and it could not be cancelled, so it is not sent at all.
#[tokio::test(start_paused = true)]
async fn a_request_that_cant_be_named_is_not_sent() {
    let (engine, client) = start(config()).await;
    for id in ["two\nlines", "m\u{fc}ller", ""] {
        let call = call(id);
        let sent = client.chat(engine.addr(), &call, body("p", 1, false));
        let err = sent.await.unwrap_err();
        assert!(matches!(err, CallError::NotSent { .. }), "{id:?}: {err}");
    }
    assert_eq!(engine.calls(), []);
}

#[tokio::test(start_paused = true)]
async fn an_urgent_request_goes_before_those_that_wait() {
    let speed = Speed {
        max_running: 1,
        ..Speed::default()
    };
    let (engine, client) = start(EngineConfig { speed, ..config() }).await;
    let ask = |name: &'static str, urgency: u8| {
        let (client, addr) = (client.clone(), engine.addr());
        tokio::spawn(async move {
            let call = Call {
                urgency,
                ..call(name)
            };
            let answer = client.chat(addr, &call, body(name, 20, false)).await;
            answer.unwrap();
            (name, Instant::now())
        })
    };
    let first = ask("first", 3);
    sleep(Duration::from_millis(50)).await;
    let patient = ask("patient", 5);
    sleep(Duration::from_millis(5)).await;
    let urgent = ask("urgent", 0);
    let mut ended = [first.await, patient.await, urgent.await].map(Result::unwrap);
    ended.sort_by_key(|(_, at)| *at);
    assert_eq!(ended.map(|(name, _)| name), ["first", "urgent", "patient"]);
}

/// Load reports are old when they come. A router that took them for the present would send a whole
/// burst to the engine that was idle a moment ago.
#[tokio::test(start_paused = true)]
async fn a_load_report_lags_and_says_how_old_it_is() {
    let cfg = EngineConfig {
        load_lag: Duration::from_millis(500),
        ..config()
    };
    let (engine, client) = start(cfg).await;
    client.load(engine.addr(), after(1000)).await.unwrap();
    sleep(Duration::from_millis(600)).await;
    let _answer = client
        .chat(engine.addr(), &call("r"), body("p", 10_000, true))
        .await
        .unwrap();
    sleep(Duration::from_millis(400)).await;
    let load = client.load(engine.addr(), after(1000)).await.unwrap();
    assert_eq!(load.running, 0);
    assert!(load.age_ms >= 500, "{load:?}");
    sleep(Duration::from_millis(200)).await;
    let load = client.load(engine.addr(), after(1000)).await.unwrap();
    assert_eq!(load.running, 1);
    assert_eq!(load.versions, [V1]);
}

fn order(fencing: u64, versions: &[&str]) -> Order {
    Order {
        fencing,
        revision: 7,
        versions: versions.iter().map(|&v| v.to_owned()).collect(),
        ..Order::default()
    }
}

#[tokio::test(start_paused = true)]
async fn an_order_loads_through_the_rate_limited_store() {
    let weights = Weights {
        version: V2.to_owned(),
        bytes: 3_000,
    };
    let cfg = EngineConfig {
        weights: Some(WeightStore::new(vec![weights], 1_000)),
        ..config()
    };
    let (engine, client) = start(cfg).await;
    let addr = engine.addr();
    let ordered = client.order(addr, &order(1, &[V1, V2]), after(1000)).await;
    let Ordered::Accepted(held) = ordered.unwrap() else {
        panic!("nothing newer was ordered");
    };
    assert_eq!(
        (held.versions, held.loading),
        (vec![V1.to_owned()], vec![V2.to_owned()])
    );
    sleep(Duration::from_millis(2900)).await;
    let held = client.held(addr, after(1000)).await.unwrap();
    assert_eq!(held.versions, [V1]);
    sleep(Duration::from_millis(200)).await;
    let held = client.held(addr, after(1000)).await.unwrap();
    assert_eq!(held.versions, [V1, V2]);
    assert_eq!((held.fencing, held.revision), (1, 7));
}

/// A paused former lease holder wakes up and sends its old order. An engine that checks fencing
/// numbers refuses it; one that does not obeys, which only reading it back shows.
#[tokio::test(start_paused = true)]
async fn an_old_order_is_refused_only_where_fencing_is_checked() {
    for checks_fencing in [true, false] {
        let cfg = EngineConfig {
            checks_fencing,
            ..config()
        };
        let (engine, client) = start(cfg).await;
        let addr = engine.addr();
        client
            .order(addr, &order(9, &[V2]), after(1000))
            .await
            .unwrap();
        let late = client.order(addr, &order(8, &[V1]), after(1000)).await;
        let held = client.held(addr, after(1000)).await.unwrap();
        match late.unwrap() {
            Ordered::Stale { newest } => {
                assert!(checks_fencing);
                assert_eq!((newest, held.versions), (9, vec![V2.to_owned()]));
            }
            Ordered::Accepted(_) => {
                assert!(!checks_fencing);
                assert_eq!((held.fencing, held.versions), (8, vec![V1.to_owned()]));
            }
        }
    }
}

/// Cache events come late and some never. The reader has to learn of each gap, or it would keep
/// sending requests to an engine whose cache has long dropped their prefix.
#[tokio::test(start_paused = true)]
async fn lost_cache_events_show_as_gaps() {
    let cfg = EngineConfig {
        cache: CacheConfig {
            blocks: 8,
            event_lag: Duration::from_millis(200),
            lost_events: 0.3,
            seed: 5,
        },
        ..config()
    };
    let (engine, client) = start(cfg).await;
    let addr = engine.addr();
    let mut events = client.cache_events(addr, 0, after(1000)).await.unwrap();
    let prompt: Vec<String> = (0..400).map(|i| format!("w{i}")).collect();
    let answer = client
        .chat(addr, &call("r"), body(&prompt.join(" "), 1, true))
        .await;
    drop(answer);
    let early = events.next(after(100)).await;
    assert_eq!(early, Err(CallError::TimedOut), "events come late");
    let (mut seen, mut missed) = (0, 0);
    while let Ok(Some(next)) = events.next(after(400)).await {
        seen += 1;
        missed += next.missed;
    }
    // 25 blocks were stored and all but 8 removed again.
    assert!(missed > 0);
    assert!(seen + missed <= 42);
    assert_eq!(seen + missed, events.last());
}
