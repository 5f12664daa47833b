//! A stand-in of a model worker with few slots, whose further requests wait in its queue.

use crate::http::{Conn, Message, encode};
use crate::record::{Record, What};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// Number of events of each stream, and the pause before each.
pub const EVENTS: u64 = 64;
const GAP: Duration = Duration::from_millis(50);

/// How often a waiting request looks whether its connection has been closed.
const LOOK_EVERY: Duration = Duration::from_millis(10);

#[derive(Default)]
struct State {
    /// Running requests and the number of their events so far.
    runs: BTreeMap<String, u64>,
    /// Waiting requests, the first one first.
    queue: VecDeque<u64>,
    next_ticket: u64,
}

/// A running worker.
#[derive(Clone)]
pub struct BatchWorker {
    id: String,
    addr: SocketAddr,
    slots: usize,
    queue: usize,
    record: Record,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl BatchWorker {
    /// Starts a worker on a free port.
    pub fn start(id: &str, slots: usize, queue: usize, record: Record) -> io::Result<BatchWorker> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let worker = BatchWorker {
            id: id.to_owned(),
            addr: listener.local_addr()?,
            slots,
            queue,
            record,
            state: Arc::default(),
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

    /// Returns the key and the value of the worker's entry in the store.
    pub fn entry(&self, service: &str, zone: &str) -> (String, String) {
        let value = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"both\",\"models\":[{{\"name\":\"m0\",\
             \"version\":1,\"adapters\":[]}}],\"seq\":1}}",
            self.addr, self.slots
        );
        (format!("servers/{}", self.id), value)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no thread panics with the lock")
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let looking = stream.try_clone()?;
        let mut conn = Conn::new(stream)?;
        while let Some(req) = conn.read()? {
            if req.request_line().1 == "/report" {
                let headers = [("Content-Type", "application/json")];
                conn.write(&encode(
                    "HTTP/1.1 200 OK",
                    &headers,
                    self.report().as_bytes(),
                ))?;
                continue;
            }
            let id = req.header("request-id").unwrap_or("").to_owned();
            if req
                .header("expect-instance")
                .is_some_and(|wanted| wanted != self.id)
            {
                let headers = [
                    ("Request-Id", id.as_str()),
                    ("Instance-Id", self.id.as_str()),
                ];
                conn.write(&encode("HTTP/1.1 421 Misdirected Request", &headers, b""))?;
                continue;
            }
            self.record.add(&self.id, What::Reached, &id, "");
            match self.enter(&id, &looking)? {
                true => {
                    self.record.add(&self.id, What::Ran, &id, "");
                    let streamed = self.stream_events(&mut conn, &req, &id);
                    self.lock().runs.remove(&id);
                    self.state.1.notify_all();
                    self.record.add(&self.id, What::RunEnded, &id, "");
                    streamed?;
                }
                false => {
                    self.record
                        .add(&self.id, What::Rejected, &id, "503 with Not-Executed");
                    let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
                    conn.write(&encode("HTTP/1.1 503 Service Unavailable", &headers, b""))?;
                }
            }
        }
        Ok(())
    }

    fn report(&self) -> String {
        let state = self.lock();
        let runs = state
            .runs
            .iter()
            .map(|(id, events)| format!("[\"{id}\",1460,{events},5]"));
        let runs: Vec<String> = runs.collect();
        format!(
            "{{\"stage\":\"both\",\"models\":[],\"busy\":false,\"seq\":0,\"queued\":{},\"active\":{},\
             \"kv_used\":0,\"kv_total\":430365,\"handles\":0,\"runs\":[{}]}}",
            state.queue.len(),
            runs.len(),
            runs.join(",")
        )
    }

    /// Waits for a slot; `false` if the queue is full. Fails if the connection ends meanwhile: the
    /// worker drops the request then, without having run it.
    fn enter(&self, id: &str, stream: &TcpStream) -> io::Result<bool> {
        let mut state = self.lock();
        if state.queue.len() >= self.queue {
            return Ok(false);
        }
        state.next_ticket += 1;
        let ticket = state.next_ticket;
        state.queue.push_back(ticket);
        loop {
            if state.queue.front() == Some(&ticket) && state.runs.len() < self.slots {
                state.queue.pop_front();
                state.runs.insert(id.to_owned(), 0);
                return Ok(true);
            }
            let waited = self.state.1.wait_timeout(state, LOOK_EVERY);
            state = waited.expect("no thread panics with the lock").0;
            if is_closed(stream)? {
                state.queue.retain(|waiting| *waiting != ticket);
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
        }
    }

    fn stream_events(&self, conn: &mut Conn, req: &Message, id: &str) -> io::Result<()> {
        let after = req
            .header("last-event-id")
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        let mut text = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
             Content-Type: text/event-stream\r\nConfidence: 90\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        for number in after + 1..=EVENTS {
            thread::sleep(GAP);
            let event = format!("id: {number}\ndata: part {number} of {EVENTS}\n\n");
            text += &format!("{:x}\r\n{event}\r\n", event.len());
            conn.write(text.as_bytes())?;
            text.clear();
            self.lock().runs.insert(id.to_owned(), number);
        }
        conn.write((text + "0\r\n\r\n").as_bytes())
    }
}

/// Whether the other side has closed a connection on which nothing is due.
fn is_closed(stream: &TcpStream) -> io::Result<bool> {
    stream.set_nonblocking(true)?;
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false)?;
    match peeked {
        Ok(bytes) => Ok(bytes == 0),
        Err(err) => Ok(err.kind() != io::ErrorKind::WouldBlock),
    }
}
