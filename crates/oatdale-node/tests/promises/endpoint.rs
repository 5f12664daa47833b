//! Endpoints of a plain service that log what they do with each request.

use crate::faults::{Dose, Fault};
use crate::http::message;
use crate::record::Record;
use crate::serve;
use crate::slots::{SLOTS, Slots};
use oatdale_adapter_fakes::{
    ENDPOINT_KEY_PREFIX, EndpointRecord, NOT_EXECUTED, REQUEST_ID, SIGNATURE, Store,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep_until};

/// Idle time, in seconds, after which connections are said to close.
const KEEP_ALIVE_S: u64 = 60;

/// An endpoint; dropping it ends all its connections.
pub(crate) struct Endpoint {
    pub(crate) id: String,
    pub(crate) addr: SocketAddr,
    inner: Arc<Inner>,
    server: JoinHandle<()>,
}

/// What the connections of an endpoint share.
pub(crate) struct Inner {
    pub(crate) id: String,
    pub(crate) slots: Slots,
    pub(crate) record: Record,
    doses: Mutex<Vec<Dose>>,
    rng: Mutex<Pcg64>,
    conns: AtomicU64,
    frozen_until: Mutex<Instant>,
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
            doses: Mutex::default(),
            rng: Mutex::new(Pcg64::seed_from_u64(seed)),
            slots: Slots::new(),
            conns: AtomicU64::new(0),
            frozen_until: Mutex::new(Instant::now()),
            record,
        });
        let serving = inner.clone();
        let server = tokio::spawn(async move {
            let mut conns = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                while conns.try_join_next().is_some() {}
                serving.wait_thawed().await;
                let number = serving.conns.fetch_add(1, Ordering::Relaxed);
                conns.spawn(serve::serve(serving.clone(), stream, number));
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

    /// Lets the endpoint neither begin nor answer anything for a time; the system goes on to accept
    /// connections and bytes.
    pub(crate) fn freeze(&self, time: Duration) {
        *lock(&self.inner.frozen_until) = Instant::now() + time;
    }

    /// Writes the endpoint's record.
    pub(crate) fn register(&self, store: &Store, seq: u64) {
        let record = EndpointRecord {
            service: "desk",
            domain: "a",
            version: "v1",
            addr: self.addr,
            slots: SLOTS,
            state: "ready",
            cold_left: Duration::ZERO,
            seq,
        };
        store.put(&self.key(), &record.to_json());
    }

    fn key(&self) -> String {
        format!("{ENDPOINT_KEY_PREFIX}{}", self.id)
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
    /// Waits while the endpoint is frozen.
    pub(crate) async fn wait_thawed(&self) {
        let until = *lock(&self.frozen_until);
        sleep_until(until).await;
    }

    /// Returns the faults that concern a request.
    pub(crate) fn draw(&self) -> Vec<Fault> {
        let mut rng = lock(&self.rng);
        let doses = lock(&self.doses);
        let drawn = doses.iter().filter(|d| rng.random_bool(d.share));
        drawn.map(|d| d.fault).collect()
    }

    pub(crate) fn draw_bool(&self) -> bool {
        lock(&self.rng).random_bool(0.5)
    }

    /// Draws a time, in milliseconds.
    pub(crate) fn draw_ms(&self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(lock(&self.rng).random_range(range))
    }

    /// Returns a response that names these requests.
    pub(crate) fn response(
        &self,
        status: &str,
        ids: &[&str],
        not_executed: bool,
        body: &str,
    ) -> String {
        let keep_alive = format!("timeout={KEEP_ALIVE_S}");
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

    pub(crate) fn rejection(&self, ids: &[&str]) -> String {
        self.response("503 Service Unavailable", ids, true, "")
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread panics with the lock")
}
