//! A stand-in of a worker of a plain service.

use crate::http::{Conn, Message, encode};
use crate::random::Random;
use crate::record::{Record, What};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How a worker serves requests.
#[derive(Clone, Debug)]
pub struct Options {
    pub id: String,
    pub service: String,
    pub zone: String,
    /// Requests that run at once.
    pub slots: usize,
    /// Requests that may wait for a slot.
    pub queue: usize,
    /// How long a request runs at least and at most.
    pub work_ms: (u64, u64),
    /// Share of the answers after which the worker sends a second answer while it is faulty.
    pub extra_share: f64,
    /// Share of the requests that it rejects without running them while it sheds.
    pub shed_share: f64,
}

/// A running worker.
#[derive(Clone)]
pub struct Worker {
    pub options: Arc<Options>,
    addr: SocketAddr,
    record: Record,
    /// Whether it sends second answers.
    faulty: Arc<AtomicBool>,
    /// Whether it sheds.
    sheds: Arc<AtomicBool>,
    /// Requests that run and that wait.
    load: Arc<(Mutex<(usize, usize)>, Condvar)>,
    connections: Arc<AtomicU64>,
    pub answers: Arc<AtomicU64>,
    pub extras: Arc<AtomicU64>,
}

impl Worker {
    /// Starts a worker on a free port.
    pub fn start(options: Options, record: Record) -> io::Result<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let worker = Worker {
            options: Arc::new(options),
            addr: listener.local_addr()?,
            record,
            faulty: Arc::default(),
            sheds: Arc::default(),
            load: Arc::default(),
            connections: Arc::default(),
            answers: Arc::default(),
            extras: Arc::default(),
        };
        let accepting = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = accepting.clone();
                thread::spawn(move || drop(worker.serve(stream)));
            }
        });
        Ok(worker)
    }

    /// Starts or ends the time in which the worker is faulty.
    pub fn set_faulty(&self, faulty: bool) {
        self.faulty.store(faulty, Ordering::Relaxed);
    }

    /// Starts or ends the time in which the worker sheds.
    pub fn set_shedding(&self, sheds: bool) {
        self.sheds.store(sheds, Ordering::Relaxed);
    }

    /// Returns the key and the value of the worker's entry in the store.
    pub fn entry(&self) -> (String, String) {
        let o = &self.options;
        let value = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1}}",
            o.service, self.addr, o.zone, o.slots
        );
        (format!("servers/{}", o.id), value)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut conn = Conn::new(stream)?;
        let number = self.connections.fetch_add(1, Ordering::Relaxed);
        let seed = self
            .options
            .id
            .bytes()
            .fold(number + 1, |s, b| s.wrapping_mul(31) + u64::from(b));
        let mut random = Random::new(seed);
        // A second answer to an earlier request, which comes where the next answer is expected.
        let mut extra: Option<(String, Vec<u8>)> = None;
        while let Some(req) = conn.read()? {
            if let Some((earlier, bytes)) = extra.take() {
                let id = req.header("request-id").unwrap_or("");
                let note = format!("second answer to {earlier} sent, as {id} arrives");
                self.extras.fetch_add(1, Ordering::Relaxed);
                self.record.add(&self.options.id, What::Event, id, note);
                conn.write(&bytes)?;
            }
            let bytes = self.answer(&req, &mut random);
            // The client of a broken connection gets nothing.
            conn.write(&bytes)?;
            self.answers.fetch_add(1, Ordering::Relaxed);
            let spoils =
                self.faulty.load(Ordering::Relaxed) && random.fraction() < self.options.extra_share;
            if spoils {
                extra = Some((req.header("request-id").unwrap_or("").to_owned(), bytes));
            }
        }
        Ok(())
    }

    fn answer(&self, req: &Message, random: &mut Random) -> Vec<u8> {
        let id = req.header("request-id").unwrap_or("").to_owned();
        let who = &self.options.id;
        if req
            .header("expect-instance")
            .is_some_and(|wanted| wanted != who)
        {
            let headers = [("Request-Id", id.as_str()), ("Instance-Id", who.as_str())];
            return encode("HTTP/1.1 421 Misdirected Request", &headers, b"");
        }
        let sheds =
            self.sheds.load(Ordering::Relaxed) && random.fraction() < self.options.shed_share;
        if sheds || !self.enter(req) {
            self.record
                .add(who, What::Rejected, &id, "503 with Not-Executed");
            let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
            return encode("HTTP/1.1 503 Service Unavailable", &headers, b"");
        }
        let body = String::from_utf8_lossy(&req.body).into_owned();
        self.record.add(who, What::Ran, &id, body);
        let (least, most) = self.options.work_ms;
        thread::sleep(Duration::from_millis(
            least + random.next() % (most - least + 1),
        ));
        self.leave();
        let headers = [
            ("Request-Id", id.as_str()),
            ("Server-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"),
        ];
        encode(
            "HTTP/1.1 200 OK",
            &headers,
            format!("done by {who}").as_bytes(),
        )
    }

    /// Waits for a slot; `false` if there is no room, or the request's time is over.
    fn enter(&self, req: &Message) -> bool {
        let deadline = req.header("deadline-ms").and_then(|ms| ms.parse().ok());
        let until = Instant::now() + Duration::from_millis(deadline.unwrap_or(60_000));
        let mut load = self.load.0.lock().expect("no thread panics with the lock");
        if load.0 >= self.options.slots && load.1 >= self.options.queue {
            return false;
        }
        load.1 += 1;
        while load.0 >= self.options.slots {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                load.1 -= 1;
                return false;
            }
            let waited = self.load.1.wait_timeout(load, left);
            load = waited.expect("no thread panics with the lock").0;
        }
        load.1 -= 1;
        load.0 += 1;
        true
    }

    fn leave(&self) {
        let mut load = self.load.0.lock().expect("no thread panics with the lock");
        load.0 -= 1;
        self.load.1.notify_one();
    }
}
