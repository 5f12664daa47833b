//! Thousands of requests to endpoints that close their connections at any moment: what the pool says of
//! each is compared with what arrived.

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use oatdale_platform::{Pool, PoolConfig, Reuse, SendError};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use socket2::SockRef;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};

const CALLERS: u64 = 64;
const CALLS_EACH: u64 = 150;

/// What comes before a request's id, and its length in digits.
const ID_MARK: &[u8] = b"/calls/";
const ID_DIGITS: usize = 8;

/// How often each id was read by an endpoint.
#[derive(Clone, Default)]
struct Arrived(Arc<Mutex<HashMap<u64, u32>>>);

/// How a connection ends.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum End {
    Close,
    Reset,
    /// No more responses, but requests are read on for a while.
    Half,
}

/// Counts of what callers were told.
#[derive(Default, Debug)]
struct Told {
    answered: u64,
    not_sent: u64,
    broken: u64,
    timed_out: u64,
    dropped: u64,
}

impl Arrived {
    /// Notes the ids in bytes that were read, and returns the last one.
    fn note(&self, bytes: &[u8]) -> Option<u64> {
        let mut last = None;
        for (at, _) in bytes
            .windows(ID_MARK.len())
            .enumerate()
            .filter(|(_, window)| *window == ID_MARK)
        {
            let digits = bytes.get(at + ID_MARK.len()..at + ID_MARK.len() + ID_DIGITS)?;
            let id = std::str::from_utf8(digits).unwrap().parse().unwrap();
            *self.0.lock().unwrap().entry(id).or_default() += 1;
            last = Some(id);
        }
        last
    }

    fn times(&self, id: u64) -> u32 {
        self.0.lock().unwrap().get(&id).copied().unwrap_or(0)
    }
}

/// Serves one connection by chance; each request that is read is noted.
async fn serve(mut stream: TcpStream, arrived: Arrived, mut rng: Pcg64Mcg) {
    let end = [End::Close, End::Reset, End::Half][rng.random_range(0..3)];
    let mut served = 0;
    // A few connections end before they are used.
    let most = rng.random_range(0..20);
    while served < most {
        let mut buf = Vec::new();
        while !buf.ends_with(b"\r\n\r\n{}") {
            match stream.read_buf(&mut buf).await {
                Ok(0) | Err(_) => {
                    arrived.note(&buf);
                    return;
                }
                Ok(_) => {}
            }
        }
        let id = arrived.note(&buf).expect("a request has an id");
        served += 1;
        match rng.random_range(0..40) {
            0 => break,
            1 => sleep(Duration::from_millis(20)).await,
            _ => {}
        }
        let response =
            format!("HTTP/1.1 200 OK\r\ncontent-length: {ID_DIGITS}\r\n\r\n{id:0ID_DIGITS$}");
        let part = match rng.random_range(0..40) {
            0 => rng.random_range(0..response.len()),
            _ => response.len(),
        };
        if stream
            .write_all(&response.as_bytes()[..part])
            .await
            .is_err()
            || part < response.len()
        {
            break;
        }
    }
    match rng.random_range(0..3) {
        0 => {}
        1 => tokio::task::yield_now().await,
        _ => sleep(Duration::from_micros(rng.random_range(0..400))).await,
    }
    close(stream, end, &arrived, rng.random()).await;
}

/// Ends a connection; what it still has is read first in half of the cases.
async fn close(mut stream: TcpStream, end: End, arrived: &Arrived, read: bool) {
    let mut buf = vec![0; 64 << 10];
    if read && let Ok(len) = stream.try_read(&mut buf) {
        arrived.note(&buf[..len]);
    }
    match end {
        End::Close => drop(stream),
        End::Reset => {
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        End::Half => {
            let _ = stream.shutdown().await;
            let mut rest = Vec::new();
            let _ = timeout(Duration::from_millis(50), stream.read_to_end(&mut rest)).await;
            arrived.note(&rest);
        }
    }
}

async fn endpoint(seed: u64, arrived: Arrived) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let rng = Pcg64Mcg::seed_from_u64(rng.random());
            tokio::spawn(serve(stream, arrived.clone(), rng));
        }
    });
    addr
}

/// Makes one caller's calls and returns what it was told of each.
async fn caller(
    pool: Pool,
    addr: SocketAddr,
    ids: std::ops::Range<u64>,
    mut rng: Pcg64Mcg,
) -> Vec<(u64, Option<Result<Bytes, SendError>>)> {
    let mut told = Vec::new();
    for id in ids {
        let body = Full::new(Bytes::from_static(b"{}"));
        let path = format!("/calls/{id:0ID_DIGITS$}");
        let req = Request::post(path).body(body).unwrap();
        let patience = match rng.random_range(0..10) {
            0 => Duration::from_micros(rng.random_range(0..600)),
            _ => Duration::from_secs(5),
        };
        let call = async {
            let deadline = Instant::now() + Duration::from_secs(2);
            let res = pool.send(addr, req, Reuse::Allowed, deadline).await?;
            let body = res.into_body().collect().await;
            let body = body.map_err(|err| SendError::Broken {
                message: err.to_string(),
            })?;
            Ok(body.to_bytes())
        };
        told.push((id, timeout(patience, call).await.ok()));
        if rng.random_range(0..8) == 0 {
            sleep(Duration::from_micros(rng.random_range(0..500))).await;
        }
    }
    told
}

// Guards against requests that an endpoint has read and that are reported as not sent, sent again, or given
// the response of another one, while their connections close.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn what_is_said_of_requests_holds_while_connections_close() {
    let mut told = Told::default();
    for seed in 0..6 {
        let arrived = Arrived::default();
        let addr = endpoint(seed, arrived.clone()).await;
        let pool = Pool::new(PoolConfig::default());
        let callers: Vec<_> = (0..CALLERS)
            .map(|nr| {
                let rng = Pcg64Mcg::seed_from_u64(seed * CALLERS + nr);
                let ids = nr * CALLS_EACH..(nr + 1) * CALLS_EACH;
                tokio::spawn(caller(pool.clone(), addr, ids, rng))
            })
            .collect();
        let mut results = Vec::new();
        for caller in callers {
            results.extend(caller.await.unwrap());
        }
        // Half-closed connections are read on for a while.
        sleep(Duration::from_millis(100)).await;
        for (id, result) in results {
            let times = arrived.times(id);
            assert!(times <= 1, "{id} arrived {times} times, seed {seed}");
            match result {
                Some(Ok(body)) => {
                    assert_eq!(body, format!("{id:0ID_DIGITS$}"), "seed {seed}");
                    told.answered += 1;
                }
                Some(Err(SendError::NotSent { message })) => {
                    assert_eq!(times, 0, "{id} arrived, seed {seed}: {message}");
                    told.not_sent += 1;
                }
                Some(Err(SendError::Broken { .. })) => told.broken += 1,
                Some(Err(SendError::TimedOut)) => told.timed_out += 1,
                None => told.dropped += 1,
            }
        }
    }
    println!("{told:?}");
    assert!(told.answered > 0 && told.broken > 0 && told.dropped > 0);
}
