//! The engine stand-in: batching, prefix cache, faults by version, graceful stop.

use bytes::Bytes;
use futures::future::join_all;
use oatdale_fakes::{
    CacheConfig, Engine, EngineConfig, EngineHandle, EngineVersion, Fault, Speed, text,
};
use oatdale_platform::chat::{ChatRequest, ChatResponse};
use oatdale_platform::{Call, CallError, EngineClient};
use std::time::Duration;
use tokio::time::{Instant, sleep};

const OLD: &str = "tagger/v1";
const NEW: &str = "tagger/v2";

fn config() -> EngineConfig {
    EngineConfig {
        versions: vec![EngineVersion::held(OLD, 1.0), EngineVersion::held(NEW, 1.0)],
        speed: Speed {
            max_running: 4,
            step: Duration::from_millis(10),
            step_per_request: Duration::ZERO,
            prefill_per_token: Duration::ZERO,
            ..Speed::default()
        },
        ..EngineConfig::default()
    }
}

fn body(model: &str, prompt: &str, tokens: u32) -> Bytes {
    let ask = ChatRequest {
        max_tokens: Some(tokens),
        ..ChatRequest::new(model, prompt)
    };
    serde_json::to_vec(&ask).unwrap().into()
}

async fn ask(
    engine: &EngineHandle,
    model: &str,
    prompt: &str,
    tokens: u32,
) -> Result<ChatResponse, CallError> {
    let deadline = Instant::now() + Duration::from_secs(20);
    let call = Call {
        request: "r".to_owned(),
        attempt: 1,
        urgency: 3,
        deadline,
    };
    let answer = EngineClient::default()
        .chat(engine.addr(), &call, body(model, prompt, tokens))
        .await?;
    let text = answer.collect(1 << 20, deadline).await?;
    Ok(serde_json::from_slice(&text).unwrap())
}

/// How long a request takes on the test's clock.
async fn time(engine: &EngineHandle, prompt: &str, tokens: u32) -> Duration {
    let begun = Instant::now();
    ask(engine, OLD, prompt, tokens).await.unwrap();
    begun.elapsed()
}

fn words(n: usize, from: &str) -> String {
    let words: Vec<String> = (0..n).map(|i| format!("{from}{i}")).collect();
    words.join(" ")
}

#[tokio::test(start_paused = true)]
async fn requests_of_one_batch_share_their_steps_and_others_wait() {
    let engine = Engine::start(config()).await.unwrap();
    let alone = time(&engine, "p", 20).await;
    assert!((200..250).contains(&alone.as_millis()), "{alone:?}");
    let together = join_all((0..4).map(|_| time(&engine, "p", 20))).await;
    let slowest = together.into_iter().max().unwrap();
    assert!(slowest < alone * 5 / 4, "{slowest:?}");
    let crowd = join_all((0..8).map(|_| time(&engine, "p", 20))).await;
    let slowest = crowd.into_iter().max().unwrap();
    assert!(
        slowest >= alone * 7 / 4,
        "the second four wait: {slowest:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn a_cached_prefix_saves_the_reading_of_a_prompt() {
    let mut cfg = config();
    cfg.speed.prefill_per_token = Duration::from_millis(1);
    let engine = Engine::start(cfg).await.unwrap();
    let register = words(640, "asset");
    let first = time(&engine, &register, 1).await;
    let second = time(&engine, &format!("{register} and a question"), 1).await;
    assert!(first >= Duration::from_millis(640), "{first:?}");
    assert!(second <= Duration::from_millis(60), "{second:?}");
    let other = time(&engine, &words(640, "licence"), 1).await;
    assert!(other >= Duration::from_millis(640), "{other:?}");
}

/// More registers come by than the cache holds. The one read longest ago is dropped, and whoever
/// counted on it waits for its whole prompt to be read again.
#[tokio::test(start_paused = true)]
async fn a_small_cache_forgets_what_was_used_longest_ago() {
    let cache = CacheConfig {
        blocks: 50,
        ..CacheConfig::default()
    };
    let engine = Engine::start(EngineConfig { cache, ..config() })
        .await
        .unwrap();
    let (a, b, c) = (words(320, "a"), words(320, "b"), words(320, "c"));
    let mut cached = Vec::new();
    for prompt in [&a, &b, &a, &c, &a, &b] {
        let usage = ask(&engine, OLD, prompt, 1).await.unwrap().usage.unwrap();
        cached.push(usage.prompt_tokens_details.unwrap().cached_tokens > 0);
    }
    assert_eq!(cached, [false, false, true, false, true, false]);
}

/// A new version turns bad while the old one on the same engine stays good, as in a roll-out.
#[tokio::test(start_paused = true)]
async fn one_version_turns_bad_and_the_other_does_not() {
    let engine = Engine::start(config()).await.unwrap();
    engine.set_version_fault(NEW, Some(Fault::LowQuality));
    let quality = async |model| {
        let answer = ask(&engine, model, "tag this", 8).await.unwrap();
        text::quality(&answer.choices[0].message.text())
    };
    assert!(quality(OLD).await > 0.8);
    assert!(quality(NEW).await < 0.5);
    engine.set_version_fault(NEW, Some(Fault::Errors));
    assert!(ask(&engine, NEW, "tag this", 8).await.is_err());
    engine.set_version_fault(NEW, None);
    assert!(quality(NEW).await > 0.8);
}

/// An engine becomes five times as slow without failing anything, so that only latency tells.
#[tokio::test(start_paused = true)]
async fn a_slow_engine_takes_so_many_times_as_long() {
    let engine = Engine::start(config()).await.unwrap();
    let usual = time(&engine, "p", 20).await;
    engine.set_slow(5.0);
    let slow = time(&engine, "p", 20).await;
    assert!(slow > usual * 4 && slow < usual * 6, "{usual:?} {slow:?}");
}

/// An engine is stopped as planned while it answers. The answer under way comes whole, and new
/// connections are refused.
#[tokio::test(start_paused = true)]
async fn a_planned_stop_finishes_what_is_under_way() {
    let engine = Engine::start(config()).await.unwrap();
    let addr = engine.addr();
    let deadline = Instant::now() + Duration::from_secs(20);
    let call = |request: &str| Call {
        request: request.to_owned(),
        attempt: 1,
        urgency: 3,
        deadline,
    };
    let client = EngineClient::default();
    let last = call("last");
    let last = client.chat(addr, &last, body(OLD, "p", 20));
    let late = call("late");
    let stop_and_ask = async {
        sleep(Duration::from_millis(50)).await;
        let stop = tokio::spawn(engine.stop());
        sleep(Duration::from_millis(50)).await;
        let late = client.chat(addr, &late, body(OLD, "p", 1)).await;
        stop.await.unwrap();
        late
    };
    let (last, late) = tokio::join!(last, stop_and_ask);
    last.unwrap().collect(1 << 20, deadline).await.unwrap();
    assert!(late.unwrap_err().is_not_run());
}

#[test]
fn the_same_prompt_gets_the_same_answer_and_others_get_others() {
    let answer = |model, prompt| text::answer(model, prompt, 0.5, 12).concat();
    assert_eq!(answer(OLD, "p"), answer(OLD, "p"));
    assert_ne!(answer(OLD, "p"), answer(OLD, "q"));
    assert_ne!(answer(OLD, "p"), answer(NEW, "p"));
    assert!(answer(OLD, "p").contains(&text::reference(OLD, "p")));
}

#[test]
fn a_versions_quality_is_the_share_of_good_answers() {
    const PROMPTS: u32 = 2000;
    let good = (0..PROMPTS)
        .map(|i| text::answer(OLD, &format!("prompt {i}"), 0.7, 3).concat())
        .filter(|answer| text::quality(answer) > 0.8)
        .count();
    let share = good as f64 / f64::from(PROMPTS);
    assert!((0.66..0.74).contains(&share), "{share}");
    let cut: String = text::answer(OLD, "p", 1.0, 12)[..11].concat();
    assert_eq!(text::quality(&cut), 0.0, "a cut answer is worth nothing");
}
