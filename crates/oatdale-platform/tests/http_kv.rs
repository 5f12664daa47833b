//! The key-value service over HTTP.

use bytes::Bytes;
use oatdale_fakes::{KvFault, KvFaults, KvLimits, KvServer, MemKv, Server};
use oatdale_platform::{
    Condition, Entry, HttpKv, HttpKvConfig, Kv, KvError, LeaseId, ModRevision, Put,
};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const LOOPBACK: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 0);

/// Time a client gives one call.
const TIMEOUT: Duration = Duration::from_millis(200);

fn client(addr: SocketAddr) -> HttpKv {
    HttpKv::new(HttpKvConfig {
        addresses: vec![addr],
        timeout: TIMEOUT,
    })
}

async fn start() -> (MemKv, Server, HttpKv) {
    let mem = MemKv::new(1);
    let server = KvServer::start(LOOPBACK.into(), mem.clone()).await.unwrap();
    let kv = client(server.addr());
    (mem, server, kv)
}

async fn create(kv: &HttpKv, key: &str, value: &'static [u8]) -> Result<Put, KvError> {
    kv.put(key, Bytes::from_static(value), Condition::Absent, None)
        .await
}

fn stored(put: Put) -> ModRevision {
    match put {
        Put::Stored(revision) => revision,
        Put::Conflict(found) => panic!("conflict with {found:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn writes_hold_only_under_their_condition() {
    let (_, _server, kv) = start().await;
    let key = "journal/3/a key with % and ü?";
    let first = stored(create(&kv, key, b"\x00\xffbinary").await.unwrap());
    let entry = Entry {
        key: key.to_owned(),
        value: Bytes::from_static(b"\x00\xffbinary"),
        revision: first,
    };
    assert_eq!(kv.get(key).await.unwrap(), Some(entry));
    assert_eq!(
        create(&kv, key, b"other").await.unwrap(),
        Put::Conflict(Some(first))
    );
    let second = Bytes::from_static(b"second");
    let cond = Condition::Is(first);
    let second = stored(kv.put(key, second, cond, None).await.unwrap());
    assert!(second > first);
    assert_eq!(
        kv.delete(key, first).await.unwrap(),
        Put::Conflict(Some(second))
    );
    stored(kv.delete(key, second).await.unwrap());
    assert_eq!(kv.get(key).await.unwrap(), None);
    assert_eq!(
        kv.delete(key, second).await.unwrap(),
        Put::Conflict(None),
        "an absent key has no revision"
    );
}

#[tokio::test(start_paused = true)]
async fn list_pages_through_a_prefix_with_odd_characters() {
    let (_, _server, kv) = start().await;
    for key in ["a&b/1", "a&b/2", "a&b/3", "a/1"] {
        stored(create(&kv, key, b"v").await.unwrap());
    }
    let keys =
        |entries: Vec<Entry>| -> Vec<String> { entries.into_iter().map(|e| e.key).collect() };
    let first = keys(kv.list("a&b/", None, 2).await.unwrap());
    assert_eq!(first, ["a&b/1", "a&b/2"]);
    let rest = keys(kv.list("a&b/", Some("a&b/2"), 2).await.unwrap());
    assert_eq!(rest, ["a&b/3"]);
}

#[tokio::test(start_paused = true)]
async fn a_watch_ends_with_the_next_write_or_with_its_time() {
    let (mem, _server, kv) = start().await;
    let first = stored(create(&kv, "config", b"1").await.unwrap());
    let wait = Duration::from_secs(30);
    let watch = tokio::spawn({
        let kv = kv.clone();
        async move { kv.watch("config", first, wait).await }
    });
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(!watch.is_finished());
    let two = Bytes::from_static(b"2");
    mem.put("config", two, Condition::Is(first), None)
        .await
        .unwrap();
    let entry = watch.await.unwrap().unwrap().unwrap();
    assert_eq!(entry.value, "2");
    let wait = Duration::from_secs(2);
    let nothing = kv.watch("config", entry.revision, wait).await.unwrap();
    assert_eq!(nothing, None);
}

#[tokio::test(start_paused = true)]
async fn a_lease_takes_its_keys_with_it() {
    let (_, _server, kv) = start().await;
    let lease = kv.grant(Duration::from_millis(500)).await.unwrap();
    let value = Bytes::from_static(b"node-1");
    let put = kv.put("placer", value, Condition::Absent, Some(lease));
    stored(put.await.unwrap());
    tokio::time::sleep(Duration::from_millis(400)).await;
    kv.renew(lease).await.unwrap();
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert!(kv.get("placer").await.unwrap().is_some());
    kv.revoke(lease).await.unwrap();
    assert_eq!(kv.get("placer").await.unwrap(), None);
    let lapsed = kv.renew(LeaseId(lease.0)).await;
    assert!(
        matches!(lapsed, Err(KvError::Rejected { .. })),
        "{lapsed:?}"
    );
}

/// The service stores a value and its connection breaks before the answer. A client that took
/// this for "not stored" would write again under another number and bill a request twice.
#[tokio::test(start_paused = true)]
async fn a_write_whose_answer_is_lost_may_have_taken_effect() {
    let (mem, _server, kv) = start().await;
    mem.script("client", [KvFault::LostAnswer, KvFault::LostRequest]);
    let lost = create(&kv, "a", b"v").await;
    assert!(matches!(lost, Err(KvError::Unknown { .. })), "{lost:?}");
    assert!(kv.get("a").await.unwrap().is_some());
    let lost = create(&kv, "b", b"v").await;
    assert!(matches!(lost, Err(KvError::Unknown { .. })), "{lost:?}");
    assert_eq!(kv.get("b").await.unwrap(), None);
}

/// The service takes longer than the client waits, and the write happens afterwards. The client
/// has to say that it does not know, and must not wait for ever.
#[tokio::test(start_paused = true)]
async fn a_write_that_takes_too_long_may_have_taken_effect() {
    let (mem, _server, kv) = start().await;
    mem.script("client", [KvFault::Delay(TIMEOUT * 2)]);
    let late = create(&kv, "a", b"v").await;
    assert!(matches!(late, Err(KvError::Unknown { .. })), "{late:?}");
    tokio::time::sleep(TIMEOUT * 2).await;
    assert!(kv.get("a").await.unwrap().is_some());
}

/// The service is down: nothing listens, or it says that it can't serve. Neither write had any
/// effect and the caller may safely go another way.
#[tokio::test(start_paused = true)]
async fn an_outage_is_known_to_have_had_no_effect() {
    let (mem, server, kv) = start().await;
    mem.set_faults(KvFaults {
        outage: true,
        ..KvFaults::default()
    });
    let down = create(&kv, "a", b"v").await;
    assert!(matches!(down, Err(KvError::Unavailable { .. })), "{down:?}");
    mem.set_faults(KvFaults::default());
    assert_eq!(kv.get("a").await.unwrap(), None);
    server.refuse(true);
    tokio::time::sleep(Duration::from_millis(5)).await;
    let down = create(&kv, "a", b"v").await;
    assert!(matches!(down, Err(KvError::Unavailable { .. })), "{down:?}");
    server.refuse(false);
    tokio::time::sleep(Duration::from_millis(5)).await;
    stored(create(&kv, "a", b"v").await.unwrap());
}

/// Too many calls arrive in one moment. The service refuses some and says when to come back; a
/// client that lost that time would either hammer the service or wait too long.
#[tokio::test(start_paused = true)]
async fn a_throttled_call_learns_when_to_come_back() {
    let (mem, _server, kv) = start().await;
    mem.set_limits(KvLimits {
        writes: 10.0,
        reads: 1000.0,
    });
    stored(create(&kv, "a", b"v").await.unwrap());
    match create(&kv, "b", b"v").await {
        Err(KvError::Throttled { retry_after }) => {
            assert!(retry_after <= Duration::from_millis(100));
            assert!(retry_after >= Duration::from_millis(50));
        }
        other => panic!("{other:?}"),
    }
    assert_eq!(kv.get("b").await.unwrap(), None);
}

/// A value over a megabyte is refused for good; trying again would never help.
#[tokio::test(start_paused = true)]
async fn a_value_that_is_too_large_is_rejected() {
    let (_, _server, kv) = start().await;
    let value = Bytes::from(vec![0; oatdale_fakes::MAX_VALUE + 1]);
    let refused = kv.put("a", value, Condition::Absent, None).await;
    assert!(
        matches!(refused, Err(KvError::Rejected { .. })),
        "{refused:?}"
    );
}

/// One of the service's addresses is dead. Calls go to the next one, and the write that was never
/// sent to the first is made once.
#[tokio::test(start_paused = true)]
async fn the_next_address_is_tried_when_one_refuses() {
    let (mem, server, _) = start().await;
    let dead = Server::start(LOOPBACK.into(), |_| async { unreachable!() })
        .await
        .unwrap();
    dead.refuse(true);
    tokio::time::sleep(Duration::from_millis(5)).await;
    let kv = HttpKv::new(HttpKvConfig {
        addresses: vec![dead.addr(), server.addr()],
        timeout: TIMEOUT,
    });
    stored(create(&kv, "a", b"v").await.unwrap());
    assert_eq!(mem.counters().writes, 1);
}

/// The service asks to wait for less than a millisecond. Cut down to whole milliseconds that is no
/// pause at all, and the client would ask again, and be refused again, without end.
#[tokio::test(start_paused = true)]
async fn a_very_short_pause_is_never_cut_to_none() {
    let (mem, _server, kv) = start().await;
    mem.set_limits(KvLimits {
        writes: 3000.0,
        reads: 3000.0,
    });
    let mut pauses = Vec::new();
    for i in 0..400 {
        match create(&kv, &format!("k{i}"), b"v").await {
            Ok(_) => {}
            Err(KvError::Throttled { retry_after }) => pauses.push(retry_after),
            Err(err) => panic!("{err}"),
        }
    }
    assert!(!pauses.is_empty());
    assert!(
        pauses.iter().all(|p| *p >= Duration::from_millis(1)),
        "{pauses:?}"
    );
}

/// A service that answers a first write, and a second one by a late copy of that answer, before its own.
async fn late_copy(first: &'static str, second: &'static str) -> SocketAddr {
    let listener = TcpListener::bind(LOOPBACK).await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut id_before = None;
            while let Some(id) = read_put(&mut stream).await {
                let responses = match id_before.replace(id.clone()) {
                    None => answer(first, &id),
                    Some(before) => answer(first, &before) + &answer(second, &id),
                };
                if stream.write_all(responses.as_bytes()).await.is_err() {
                    break;
                }
            }
        }
    });
    addr
}

fn answer(status: &str, id: &str) -> String {
    format!("HTTP/1.1 {status}\r\netag: \"7\"\r\nx-request-id: {id}\r\ncontent-length: 0\r\n\r\n")
}

/// Reads a write whose value is `value`, and returns its id.
async fn read_put(stream: &mut TcpStream) -> Option<String> {
    let mut buf = Vec::new();
    while !buf.ends_with(b"\r\n\r\nvalue") {
        buf.push(stream.read_u8().await.ok()?);
    }
    let text = String::from_utf8(buf).unwrap();
    let id = text
        .lines()
        .find_map(|line| line.strip_prefix("x-request-id: "));
    Some(id.unwrap_or_default().to_owned())
}

// Guards against claims that two hosts win, and writes that took effect and are said to have had none: the late
// copy of another call's answer comes on a kept connection in the place of this one's.
#[tokio::test]
async fn answer_that_names_another_call_is_none() {
    let cases = [
        ("200 OK", "412 Precondition Failed"),
        ("503 Service Unavailable", "200 OK"),
        ("429 Too Many Requests", "200 OK"),
        ("412 Precondition Failed", "200 OK"),
    ];
    for (first, second) in cases {
        let kv = client(late_copy(first, second).await);
        let before = create(&kv, "journal/3/1", b"value").await;
        // The connection is kept once its task had a turn.
        tokio::time::sleep(Duration::from_millis(20)).await;
        let mixed = create(&kv, "journal/3/2", b"value").await;
        assert!(
            matches!(mixed, Err(KvError::Unknown { .. })),
            "{first}, {second}: {mixed:?}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
        let after = create(&kv, "journal/3/3", b"value").await;
        assert_eq!(after, before, "on a new connection");
    }
}
