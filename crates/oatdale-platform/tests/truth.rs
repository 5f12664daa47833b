//! What the clients say of each call, held against what the endpoints did, under drawn faults.
//!
//! Each seed draws faults that come and go while calls are under way. A call that is reported as
//! not run must not be in its endpoint's log, an answered one must be there once, and any other at
//! most once; each answer is whole and belongs to its own request.

use bytes::Bytes;
use futures::future::join_all;
use http::Request;
use oatdale_fakes::{
    Engine, EngineConfig, EngineHandle, EngineVersion, Fault, Plain, PlainCall, PlainFault, Speed,
    text,
};
use oatdale_platform::chat::ChatRequest;
use oatdale_platform::{
    Call, CallError, ChatStream, EngineClient, PlainClient, Pool, PoolConfig, Reuse,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::time::{Instant, sleep};

const SEEDS: u64 = 40;
const CALLS: u32 = 60;
const MODEL: &str = "planner/v1";

/// Time over which the calls of one seed begin, in milliseconds.
const SPAN: u64 = 2000;

/// How calls ended, over all seeds; each kind must have happened.
#[derive(Default, Debug)]
struct Ends {
    answered: u32,
    not_sent: u32,
    not_started: u32,
    broken: u32,
    timed_out: u32,
}

impl Ends {
    /// Counts an end and checks it against how often the call ran.
    fn count(&mut self, end: &Result<(), CallError>, runs: usize, id: &str) {
        let (count, most) = match end {
            Ok(()) => (&mut self.answered, 1),
            Err(CallError::NotSent { .. }) => (&mut self.not_sent, 0),
            Err(CallError::NotStarted { .. }) => (&mut self.not_started, 0),
            Err(CallError::Broken { .. }) => (&mut self.broken, 1),
            Err(CallError::TimedOut) => (&mut self.timed_out, 1),
        };
        *count += 1;
        assert!(runs <= most, "{id} ran {runs} times: {end:?}");
        assert!(end.is_err() || runs == 1, "{id} was answered and never ran");
    }

    fn all_happened(&self) {
        println!("{self:?}");
        let all = [
            self.answered,
            self.not_sent,
            self.not_started,
            self.broken,
            self.timed_out,
        ];
        assert!(all.iter().all(|n| *n > 0), "{self:?}");
    }
}

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// A pool whose connections are idle for long enough to be closed by the endpoint.
fn pool() -> Pool {
    Pool::new(PoolConfig {
        connect_timeout: Duration::from_millis(200),
        ..PoolConfig::default()
    })
}

fn call(id: &str) -> Call {
    Call {
        request: id.to_owned(),
        attempt: 1,
        urgency: 3,
        deadline: Instant::now() + Duration::from_millis(400),
    }
}

/// A time at which something happens, drawn over the span.
fn moment(rng: &mut Pcg64Mcg) -> Duration {
    Duration::from_millis(rng.random_range(0..SPAN))
}

async fn confirm(
    client: &PlainClient,
    addr: SocketAddr,
    id: &str,
    reuse: Reuse,
) -> Result<(), CallError> {
    let call = call(id);
    let body = Bytes::from(format!("{{\"hold\":\"{id}\"}}"));
    let req = Request::post("/slots/7/confirm")
        .body(body.clone())
        .unwrap();
    let answer = client.call(addr, &call, req, reuse).await?;
    if answer.head.status.is_server_error() {
        return Err(CallError::Broken {
            status: Some(answer.head.status),
            message: String::new(),
        });
    }
    let echo = answer.collect(1 << 20, call.deadline).await?;
    let echo: PlainCall = serde_json::from_slice(&echo).unwrap();
    assert_eq!(
        (echo.request.as_str(), echo.body.as_bytes()),
        (id, &body[..])
    );
    Ok(())
}

async fn upset_plain(plain: &Plain, rng: &mut Pcg64Mcg) {
    let end = Instant::now() + Duration::from_millis(SPAN);
    while Instant::now() < end {
        sleep(Duration::from_millis(rng.random_range(20..150))).await;
        match rng.random_range(0..8) {
            0 => plain.set_fault(Some(PlainFault::Errors)),
            1 => plain.set_fault(Some(PlainFault::NotStarted)),
            2 => plain.set_fault(Some(PlainFault::LostAnswer)),
            3 => plain.set_fault(Some(PlainFault::Hang)),
            4 => plain.refuse(true),
            5 => plain.set_delay(Duration::from_millis(rng.random_range(0..600))),
            _ => {
                plain.set_fault(None);
                plain.set_delay(Duration::ZERO);
                plain.refuse(false);
            }
        }
    }
}

/// Desk hosts fail in every way, one after the other, while bookings are on their way over kept and
/// new connections. A booking reported as not run that did run would be made again, and two teams
/// would hold one antenna.
#[tokio::test(start_paused = true)]
async fn plain_calls_are_told_truly() {
    let mut ends = Ends::default();
    for seed in 0..SEEDS {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let plain = Plain::start(loopback()).await.unwrap();
        let client = PlainClient::new(pool());
        let addr = plain.addr();
        let begins: Vec<Duration> = (0..CALLS).map(|_| moment(&mut rng)).collect();
        let one = async |i: usize, begin: Duration| {
            sleep(begin).await;
            let id = format!("{seed}-{i}");
            let reuse = [Reuse::Allowed, Reuse::Never][i % 2];
            let end = confirm(&client, addr, &id, reuse).await;
            (id, end)
        };
        let calls = begins
            .into_iter()
            .enumerate()
            .map(|(i, begin)| one(i, begin));
        let (ended, ()) = tokio::join!(join_all(calls), upset_plain(&plain, &mut rng));
        for (id, end) in ended {
            ends.count(&end, plain.runs(&id), &id);
        }
    }
    ends.all_happened();
}

async fn chat(
    client: &EngineClient,
    addr: SocketAddr,
    id: &str,
    stream: bool,
) -> Result<(), CallError> {
    let ask = ChatRequest {
        stream,
        max_tokens: Some(12),
        ..ChatRequest::new(MODEL, id)
    };
    let call = call(id);
    let body = serde_json::to_vec(&ask).unwrap().into();
    let answer = client.chat(addr, &call, body).await?;
    let mut text = String::new();
    if stream {
        let mut stream = ChatStream::new(answer);
        while let Some(piece) = stream.next(call.deadline).await? {
            text.push_str(std::str::from_utf8(&piece).unwrap());
        }
    } else {
        let whole = answer.collect(1 << 20, call.deadline).await?;
        text.push_str(std::str::from_utf8(&whole).unwrap());
    }
    let mine = text::reference(MODEL, &format!("user: {id}"));
    assert!(text.contains(&mine), "{id} got a cut or another's answer");
    assert_eq!(text.matches("ref-").count(), 1);
    Ok(())
}

async fn upset_engine(engine: &EngineHandle, rng: &mut Pcg64Mcg) {
    let end = Instant::now() + Duration::from_millis(SPAN);
    while Instant::now() < end {
        sleep(Duration::from_millis(rng.random_range(20..150))).await;
        match rng.random_range(0..11) {
            0 => engine.set_fault(Some(Fault::Errors)),
            1 => engine.set_fault(Some(Fault::Cut)),
            2 => engine.set_fault(Some(Fault::Break)),
            3 => engine.set_fault(Some(Fault::Hang)),
            4 => engine.set_fault(Some(Fault::Reset)),
            5 => engine.set_leaving(true),
            6 => engine.refuse(true),
            7 => engine.set_slow(6.0),
            _ => {
                engine.set_fault(None);
                engine.set_leaving(false);
                engine.set_slow(1.0);
                engine.refuse(false);
            }
        }
    }
}

/// The same for engines, streamed and whole, with a queue that is often full.
#[tokio::test(start_paused = true)]
async fn chat_completions_are_told_truly() {
    let mut ends = Ends::default();
    for seed in 0..SEEDS {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let engine = Engine::start(EngineConfig {
            versions: vec![EngineVersion::held(MODEL, 1.0)],
            speed: Speed {
                max_running: 3,
                max_waiting: 2,
                ..Speed::default()
            },
            ..EngineConfig::default()
        })
        .await
        .unwrap();
        let client = EngineClient::new(pool());
        let addr = engine.addr();
        let begins: Vec<Duration> = (0..CALLS).map(|_| moment(&mut rng)).collect();
        let one = async |i: usize, begin: Duration| {
            sleep(begin).await;
            let id = format!("{seed}-{i}");
            let end = chat(&client, addr, &id, i.is_multiple_of(2)).await;
            (id, end)
        };
        let calls = begins
            .into_iter()
            .enumerate()
            .map(|(i, begin)| one(i, begin));
        let (ended, ()) = tokio::join!(join_all(calls), upset_engine(&engine, &mut rng));
        let log = engine.calls();
        for (id, end) in ended {
            let runs = log.iter().filter(|c| c.request == id).count();
            ends.count(&end, runs, &id);
        }
    }
    ends.all_happened();
}
