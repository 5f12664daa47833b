//! Endpoints of a plain service that log what they do with each request.

use crate::faults::{Dose, Fault};
use crate::http::{Conn, Head, message};
use crate::record::{Record, What};
use crate::slots::{Admission, SLOTS, Slots};
use oatdale_adapter_fakes::{
    EXPECTED_INSTANCE, INSTANCE_ID, NOT_EXECUTED, REQUEST_ID, SIGNATURE, Store,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::json;
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Longest time, in milliseconds, after which an idle connection is closed unannounced.
const MAX_CLOSE_MS: u64 = 400;

/// An endpoint; dropping it ends all its connections.
pub(crate) struct Endpoint {
    pub(crate) id: String,
    pub(crate) addr: SocketAddr,
    inner: Arc<Inner>,
    server: tokio::task::JoinHandle<()>,
}

struct Inner {
    id: String,
    keep_alive_s: u64,
    doses: Mutex<Vec<Dose>>,
    rng: Mutex<Pcg64>,
    slots: Slots,
    conns: AtomicU64,
    record: Record,
}

/// A response that is sent again, or follows, at the place of the next one.
enum Extra {
    Text(String),
    /// A rejection that names this request and the next one.
    Both(String),
}

impl Endpoint {
    /// Starts an endpoint; port 0 stands for any.
    pub(crate) async fn start(
        id: &str,
        addr: SocketAddr,
        seed: u64,
        record: Record,
    ) -> io::Result<Endpoint> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let inner = Arc::new(Inner {
            id: id.to_owned(),
            keep_alive_s: 60,
            doses: Mutex::default(),
            rng: Mutex::new(Pcg64::seed_from_u64(seed)),
            slots: Slots::new(),
            conns: AtomicU64::new(0),
            record,
        });
        let serving = inner.clone();
        let server = tokio::spawn(async move {
            let mut conns = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                while conns.try_join_next().is_some() {}
                let number = serving.conns.fetch_add(1, Ordering::Relaxed);
                conns.spawn(serve(serving.clone(), stream, number));
            }
        });
        Ok(Endpoint {
            id: id.to_owned(),
            addr,
            inner,
            server,
        })
    }

    pub(crate) fn set_doses(&self, doses: &[Dose]) {
        *lock(&self.inner.doses) = doses.to_vec();
    }

    /// Writes the endpoint's record.
    pub(crate) fn register(&self, store: &Store, seq: u64) {
        let record = json!({
            "service": "desk", "address": self.addr, "zone": "a", "version": "v1", "slots": SLOTS,
            "state": "ready", "cold_left_ms": 0, "seq": seq,
        });
        store.put(&self.key(), &record);
    }

    fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Ends the endpoint and its connections, so that its address is free.
    pub(crate) async fn kill(mut self) {
        self.server.abort();
        // It was cancelled.
        let _ = (&mut self.server).await;
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.server.abort();
    }
}

impl Inner {
    /// Returns the faults that concern a request.
    fn draw(&self) -> Vec<Fault> {
        let mut rng = lock(&self.rng);
        let doses = lock(&self.doses);
        let drawn = doses.iter().filter(|d| rng.random_bool(d.share));
        drawn.map(|d| d.fault).collect()
    }

    fn draw_ms(&self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(lock(&self.rng).random_range(range))
    }

    fn response(&self, status: &str, ids: &[&str], not_executed: bool, body: &str) -> String {
        let keep_alive = format!("timeout={}", self.keep_alive_s);
        let mut headers: Vec<_> = ids.iter().map(|id| (REQUEST_ID, *id)).collect();
        headers.push(("keep-alive", &keep_alive));
        if not_executed {
            headers.push((NOT_EXECUTED, "1"));
        }
        if status.starts_with("200") {
            headers.push((SIGNATURE, "s"));
        }
        message(&format!("HTTP/1.1 {status}"), &headers, body)
    }

    fn rejection(&self, ids: &[&str]) -> String {
        self.response("503 Service Unavailable", ids, true, "")
    }
}

async fn serve(cx: Arc<Inner>, stream: TcpStream, number: u64) -> io::Result<()> {
    let mut conn = Conn::new(stream);
    let mut extra: Option<Extra> = None;
    let mut extra_with_next = None;
    let mut is_shifted = false;
    let mut unread_bytes = 0;
    loop {
        let unread = conn.read_body(unread_bytes).await?;
        let Some(head) = conn.read_head().await? else {
            return Ok(());
        };
        if !unread.is_empty() {
            conn.write(&cx.response("400 Bad Request", &[], true, ""))
                .await?;
        }
        unread_bytes = 0;
        if let Some(health) = health(&cx, &head) {
            conn.write(&health).await?;
            continue;
        }
        let id = head.header(REQUEST_ID).unwrap_or("").to_owned();
        let log = |what| cx.record.add(&cx.id, number, &id, what);
        log(What::Arrived);
        match extra.take() {
            Some(Extra::Text(text)) => conn.write(&text).await?,
            Some(Extra::Both(other)) => {
                let is_first = lock(&cx.rng).random_bool(0.5);
                let ids = if is_first {
                    [&id, &other]
                } else {
                    [&other, &id]
                };
                conn.write(&cx.rejection(&ids.map(String::as_str))).await?;
            }
            None => {}
        }
        let faults = cx.draw();
        let has = |fault| faults.contains(&fault);
        let is_misdirected = head
            .header(EXPECTED_INSTANCE)
            .is_some_and(|wanted| wanted != cx.id);
        let length = head.content_length();
        if has(Fault::UnreadBody) && length > 0 {
            log(What::Answered(503));
            conn.write(&cx.rejection(&[&id])).await?;
            unread_bytes = length;
            continue;
        }
        conn.read_body(length).await?;
        let (status, response) = match () {
            () if is_misdirected => {
                let text = cx.response("421 Misdirected Request", &[&id], true, "");
                (421, text)
            }
            () if has(Fault::Shed) => (503, cx.rejection(&[&id])),
            () => match cx.slots.enter(&conn).await {
                Admission::Gone => return Ok(()),
                Admission::Rejected => (503, cx.rejection(&[&id])),
                Admission::Slot(slot) => {
                    log(What::Began);
                    sleep(cx.draw_ms(20..60)).await;
                    log(What::Ended);
                    drop(slot);
                    match has(Fault::FalseRejection) {
                        true => (503, cx.rejection(&[&id])),
                        false => {
                            let body = json!({"id": id, "endpoint": cx.id}).to_string();
                            (200, cx.response("200 OK", &[&id], false, &body))
                        }
                    }
                }
            },
        };
        if status == 200 && has(Fault::ResetAfterRun) {
            return SockRef::from(&conn.stream).set_linger(Some(Duration::ZERO));
        }
        if status == 200 && has(Fault::Hang) {
            std::future::pending::<()>().await;
        }
        if status == 200 && has(Fault::Truncate) {
            conn.write(&response[..response.len() - 3]).await?;
            return Ok(());
        }
        let with_it: String = extra_with_next.take().unwrap_or_default();
        log(What::Answered(status));
        if !is_shifted {
            conn.write(&(with_it + &response)).await?;
        }
        is_shifted |= has(Fault::Shift);
        let without_id =
            |status, not_executed| Some(Extra::Text(cx.response(status, &[], not_executed, "")));
        extra = match () {
            () if is_shifted || has(Fault::ExtraLate) => Some(Extra::Text(response.clone())),
            () if has(Fault::Second503WithoutId) => without_id("503 Service Unavailable", true),
            () if has(Fault::Second400WithoutId) => without_id("400 Bad Request", true),
            () if has(Fault::Second421WithoutId) => without_id("421 Misdirected Request", false),
            () if has(Fault::RepeatedId) => Some(Extra::Both(id)),
            () => None,
        };
        extra_with_next = has(Fault::ExtraWithNext).then_some(response);
        if has(Fault::CloseIdle) {
            sleep(cx.draw_ms(0..MAX_CLOSE_MS)).await;
            return Ok(());
        }
    }
}

/// Returns the response to a check, which is no request of a caller.
fn health(cx: &Inner, head: &Head) -> Option<String> {
    let path = head.first_line.split(' ').nth(1)?;
    match path {
        "/health" | "/report" => Some(message(
            "HTTP/1.1 200 OK",
            &[(INSTANCE_ID, &cx.id), ("content-type", "application/json")],
            "{}",
        )),
        _ => None,
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread panics with the lock")
}
