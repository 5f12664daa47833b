//! Stand-ins for the platform's store, its workers and its clients, and the start of relays, with the standard
//! library alone. Shared by the programs of the second review's cases.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Whether the case's disruption is to happen.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// What was sent, answered and run, with milliseconds since the start.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Record> {
        let file = Mutex::new(File::create(path).expect("the record can be written"));
        Arc::new(Record { began: Instant::now(), file })
    }

    pub fn ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} {}\n", self.ms(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

// ---- JSON ----

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        value(bytes, &mut at)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Obj(fields) => fields.iter().find(|(k, _)| k == key).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn str(&self, key: &str) -> &str {
        match self.get(key) {
            Some(Json::Str(text)) => text,
            _ => "",
        }
    }

    pub fn num(&self, key: &str) -> u64 {
        match self.get(key) {
            Some(Json::Num(n)) => *n as u64,
            _ => 0,
        }
    }

    pub fn items(&self, key: &str) -> &[Json] {
        match self.get(key) {
            Some(Json::Arr(items)) => items,
            _ => &[],
        }
    }
}

fn skip(b: &[u8], at: &mut usize) {
    while *at < b.len() && b[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn value(b: &[u8], at: &mut usize) -> Option<Json> {
    skip(b, at);
    match *b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(b, at);
                match *b.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Obj(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = string(b, at)?;
                        skip(b, at);
                        *at += 1;
                        fields.push((key, value(b, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(b, at);
                match *b.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::Arr(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(value(b, at)?),
                }
            }
        }
        b'"' => string(b, at).map(Json::Str),
        b't' => word(b, at, "true", Json::Bool(true)),
        b'f' => word(b, at, "false", Json::Bool(false)),
        b'n' => word(b, at, "null", Json::Null),
        _ => {
            let start = *at;
            while *at < b.len() && b"+-.eE0123456789".contains(&b[*at]) {
                *at += 1;
            }
            std::str::from_utf8(&b[start..*at]).ok()?.parse().ok().map(Json::Num)
        }
    }
}

fn word(b: &[u8], at: &mut usize, text: &str, json: Json) -> Option<Json> {
    b[*at..].starts_with(text.as_bytes()).then(|| {
        *at += text.len();
        json
    })
}

/// Reads a string whose escapes are those that the relays write.
fn string(b: &[u8], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut out = Vec::new();
    loop {
        match *b.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                out.push(match *b.get(*at + 1)? {
                    b'n' => b'\n',
                    b't' => b'\t',
                    other => other,
                });
                *at += 2;
            }
            byte => {
                out.push(byte);
                *at += 1;
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(data: &[u8]) -> String {
    let mut out = String::new();
    for chunk in data.chunks(3) {
        let n = chunk.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            let digit = DIGITS[(n >> (18 - 6 * i) & 63) as usize] as char;
            out.push(if i <= chunk.len() { digit } else { '=' });
        }
    }
    out
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let digits: Vec<u32> = text
        .bytes()
        .filter_map(|b| DIGITS.iter().position(|d| *d == b))
        .map(|d| d as u32)
        .collect();
    let mut out = Vec::new();
    for chunk in digits.chunks(4) {
        let n = chunk.iter().fold(0, |n, d| n << 6 | d) << (6 * (4 - chunk.len()));
        let bytes = [(n >> 16) as u8, (n >> 8) as u8, n as u8];
        out.extend_from_slice(&bytes[..chunk.len() - 1]);
    }
    out
}

// ---- HTTP/1.1 ----

#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    /// Method and target of a request, or version and status of a response.
    pub fn words(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    pub fn status(&self) -> u16 {
        self.words().1.parse().unwrap_or(0)
    }
}

pub fn read_head(r: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if r.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        match line.split_once(':') {
            _ if line.is_empty() && head.first.is_empty() => {}
            _ if line.is_empty() => return Ok(Some(head)),
            _ if head.first.is_empty() => head.first = line.to_owned(),
            Some((name, value)) => head.headers.push((name.to_owned(), value.trim().to_owned())),
            None => {}
        }
    }
}

/// Reads a chunk; `None` at the last one.
pub fn read_chunk(r: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if r.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let len = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut data = vec![0; len + 2];
    r.read_exact(&mut data)?;
    data.truncate(len);
    Ok((len > 0).then_some(data))
}

pub fn read_body(r: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(r)? {
            body.extend(chunk);
        }
    } else if let Some(len) = head.get("content-length") {
        body.resize(len.parse().unwrap_or(0), 0);
        r.read_exact(&mut body)?;
    }
    Ok(body)
}

pub fn send(stream: &TcpStream, text: &str) -> io::Result<()> {
    (&mut &*stream).write_all(text.as_bytes())
}

pub fn respond(stream: &TcpStream, status: &str, headers: &str, body: &str) -> io::Result<()> {
    let len = body.len();
    send(stream, &format!("HTTP/1.1 {status}\r\nContent-Length: {len}\r\n{headers}\r\n{body}"))
}

/// Whether the other side has closed or reset its connection.
pub fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(n) => n == 0,
        Err(err) => err.kind() != io::ErrorKind::WouldBlock,
    }
}

// ---- Store ----

struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String)>,
    leases: HashMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

/// The platform's store.
pub struct Store {
    pub addr: SocketAddr,
    data: Mutex<Data>,
    changed: Condvar,
}

impl Data {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |i| i.created);
        self.items.insert(key.to_owned(), Item { value, revision, created, lease });
        self.history.push((revision, key.to_owned()));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned()));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (_, until)| *until > now);
        let leases = &self.leases;
        let ended = self.items.iter().filter(|(_, i)| i.lease != 0 && !leases.contains_key(&i.lease));
        let ended: Vec<String> = ended.map(|(key, _)| key.clone()).collect();
        ended.iter().for_each(|key| self.delete(key));
    }

    fn item(&self, key: &str) -> String {
        match self.items.get(key) {
            Some(i) => format!(
                r#"{{"key":"{key}","value":"{}","revision":{},"created":{},"lease":{}}}"#,
                base64(&i.value), i.revision, i.created, i.lease
            ),
            None => {
                let last = self.history.iter().rev().find(|(_, k)| k == key);
                let revision = last.map_or(0, |(revision, _)| *revision);
                format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#)
            }
        }
    }

    fn txn(&mut self, body: &Json) -> (&'static str, String) {
        let holds = |c: &Json| self.items.get(c.str("key")).map_or(0, |i| i.revision) == c.num("revision");
        if !body.items("expected_rev").iter().all(holds) {
            return ("412 Precondition Failed", r#"{"items":[]}"#.to_owned());
        }
        let lives = |p: &Json| p.num("lease") == 0 || self.leases.contains_key(&p.num("lease"));
        if !body.items("set_keys").iter().all(lives) {
            return ("404 Not Found", "{}".to_owned());
        }
        for put in body.items("set_keys") {
            self.put(put.str("key"), from_base64(put.str("value")), put.num("lease"));
        }
        for key in body.items("drop") {
            if let Json::Str(key) = key {
                self.delete(key);
            }
        }
        ("200 OK", format!(r#"{{"revision":{}}}"#, self.revision))
    }
}

impl Store {
    pub fn start() -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Store {
            addr: listener.local_addr().expect("an address"),
            data: Mutex::default(),
            changed: Condvar::new(),
        });
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(&stream));
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        self.data.lock().unwrap().put(key, value.as_bytes().to_vec(), 0);
        self.changed.notify_all();
    }

    pub fn delete(&self, key: &str) {
        self.data.lock().unwrap().delete(key);
        self.changed.notify_all();
    }

    /// The value of a key, as text.
    pub fn get(&self, key: &str) -> Option<String> {
        let mut data = self.data.lock().unwrap();
        data.expire();
        data.items.get(key).map(|i| String::from_utf8_lossy(&i.value).into_owned())
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut r = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut r) {
            let Ok(body) = read_body(&mut r, &head) else { return };
            let (status, body) = self.call(head.words().1, &String::from_utf8_lossy(&body));
            let headers = "Content-Type: application/json\r\nStore-Era: 1\r\n";
            if respond(stream, status, headers, &body).is_err() {
                return;
            }
        }
    }

    fn call(&self, target: &str, body: &str) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(key, value)| (key, percent_decode(value)))
            .collect();
        let text = |key: &str| query.get(key).cloned().unwrap_or_default();
        let body = Json::parse(body).unwrap_or(Json::Null);
        let mut data = self.data.lock().unwrap();
        data.expire();
        match path {
            "/kv-range" => {
                let (prefix, after) = (text("prefix"), text("after"));
                let keys = data.items.keys().filter(|k| k.starts_with(&prefix) && **k > after);
                let items: Vec<String> = keys.map(|key| data.item(key)).collect();
                let revision = data.revision;
                ("200 OK", format!(r#"{{"items":[{}],"has_more":false,"current_rev":{revision}}}"#, items.join(",")))
            }
            "/kv-watch" => {
                let (prefix, after) = (text("prefix"), text("after").parse().unwrap_or(0));
                let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or(0));
                let end = Instant::now() + wait;
                loop {
                    data.expire();
                    let news = data.history.iter().filter(|(r, k)| *r > after && k.starts_with(&prefix));
                    let mut keys: Vec<&String> = news.map(|(_, key)| key).collect();
                    keys.dedup();
                    if !keys.is_empty() || Instant::now() >= end {
                        let events: Vec<String> = keys.into_iter().map(|key| data.item(key)).collect();
                        let revision = data.revision;
                        return ("200 OK", format!(r#"{{"events":[{}],"current_rev":{revision}}}"#, events.join(",")));
                    }
                    let pause = Duration::from_millis(50).min(end - Instant::now());
                    data = self.changed.wait_timeout(data, pause).unwrap().0;
                }
            }
            "/kv-txn" => {
                let result = data.txn(&body);
                self.changed.notify_all();
                result
            }
            "/kv-lease" => {
                data.last_lease += 1;
                let (id, ttl_ms) = (data.last_lease, body.num("ttl_ms").max(1_000));
                let ttl = Duration::from_millis(ttl_ms);
                data.leases.insert(id, (ttl, Instant::now() + ttl));
                ("200 OK", format!(r#"{{"lease":{id},"ttl_ms":{ttl_ms}}}"#))
            }
            _ if path.starts_with("/kv-keep/") => match data.leases.get_mut(&last_number(path)) {
                Some((ttl, until)) => {
                    *until = Instant::now() + *ttl;
                    ("200 OK", "{}".to_owned())
                }
                None => ("404 Not Found", "{}".to_owned()),
            },
            _ if path.starts_with("/kv-lease-end/") => {
                data.leases.remove(&last_number(path));
                data.expire();
                self.changed.notify_all();
                ("200 OK", "{}".to_owned())
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }
}

fn last_number(path: &str) -> u64 {
    path.rsplit('/').next().and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| u8::from_str_radix(&text[at + 1..at + 3], 16));
        match hex {
            Some(Ok(byte)) => {
                out.push(byte);
                at += 3;
            }
            _ => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

// ---- Workers ----

/// How a worker with an engine runs requests.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Requests that run at once, and further ones that wait.
    pub slots: usize,
    pub queue: usize,
    /// Time until a request's first token.
    pub prefill: Duration,
    /// Time from one event to the next. The first one comes this long after the first token.
    pub event: Duration,
    /// Events of an answer.
    pub events: u64,
    /// Part of a prompt that crashes a worker which begins to answer on it, if there is one, and how long
    /// the worker is down then.
    pub crash_part: Option<String>,
    pub down: Duration,
    /// Version of the worker's software.
    pub version: &'static str,
    /// Whether the head of an answer is sent as soon as the request is accepted, also if it waits then.
    pub is_head_early: bool,
}

/// What became of a request at a worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub worker: String,
    pub id: String,
    /// When its first token was made, and when the worker stopped working on it.
    pub began: u64,
    pub ended: Option<u64>,
    /// Whether it made all events.
    pub is_complete: bool,
}

/// A worker with an engine. Each start of it is a `Worker` of its own.
pub struct Worker {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    pub engine: Engine,
    record: Arc<Record>,
    /// Until when it does nothing, in milliseconds of the record.
    silent_until: AtomicU64,
    running: Mutex<usize>,
    freed: Condvar,
    waiting: AtomicUsize,
    runs: Mutex<Vec<Run>>,
    pub rejected: AtomicUsize,
    /// When it crashed, and the connections that end then.
    crashed: Mutex<Option<u64>>,
    connections: Mutex<Vec<TcpStream>>,
    /// Requests that have reached it: when, and their ids.
    arrivals: Mutex<Vec<(u64, String)>>,
}

impl Worker {
    pub fn start(id: &str, service: &str, zone: &str, engine: Engine, record: &Arc<Record>) -> Arc<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).expect("a listener");
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            addr: listener.local_addr().expect("an address"),
            engine,
            record: record.clone(),
            silent_until: AtomicU64::new(0),
            running: Mutex::new(0),
            freed: Condvar::new(),
            waiting: AtomicUsize::new(0),
            runs: Mutex::default(),
            rejected: AtomicUsize::new(0),
            crashed: Mutex::new(None),
            connections: Mutex::default(),
            arrivals: Mutex::default(),
        });
        let shared = worker.clone();
        thread::spawn(move || {
            while shared.crashed_at().is_none() {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                shared.connections.lock().unwrap().extend(stream.try_clone());
                let worker = shared.clone();
                thread::spawn(move || {
                    worker.wait_silent();
                    let _ = worker.serve(&stream);
                });
            }
        });
        worker
    }

    /// When it crashed, if it has.
    pub fn crashed_at(&self) -> Option<u64> {
        *self.crashed.lock().unwrap()
    }

    /// Ends its connections and its listener at once.
    fn crash(&self, id: &str) {
        self.record.line(format!("worker {} crashes as it begins to answer {id}", self.id));
        self.stop();
    }

    /// Stops it at once, with all that it runs.
    pub fn stop(&self) {
        *self.crashed.lock().unwrap() = Some(self.record.ms());
        // The listener's task has seen it by then.
        thread::sleep(Duration::from_millis(5));
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Requests that have reached it: when, and their ids.
    pub fn arrivals(&self) -> Vec<(u64, String)> {
        self.arrivals.lock().unwrap().clone()
    }

    /// Its entry in the store.
    pub fn entry(&self) -> String {
        self.entry_with(1, 0)
    }

    /// Its entry in the store, with its number and how much longer the worker is slow after its start.
    pub fn entry_with(&self, seq: u64, cold_left_ms: u64) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"{}","slots":{},"state":"ready","cold_left_ms":{cold_left_ms},"seq":{seq},"born":1750000000000}}"#,
            self.service, self.addr, self.zone, self.engine.version, self.engine.slots
        )
    }

    /// Makes it do nothing for a while, and go on then.
    pub fn fall_silent(&self, time: Duration) {
        let until = self.record.ms() + time.as_millis() as u64;
        self.silent_until.store(until, Ordering::SeqCst);
        self.record.line(format!("worker {} falls silent for {} ms", self.id, time.as_millis()));
    }

    pub fn is_silent_at(&self, ms: u64, since: u64) -> bool {
        (since..self.silent_until.load(Ordering::SeqCst)).contains(&ms)
    }

    fn wait_silent(&self) {
        loop {
            let until = self.silent_until.load(Ordering::SeqCst);
            let now = self.record.ms();
            if now >= until {
                return;
            }
            thread::sleep(Duration::from_millis(until - now));
        }
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Ids of the requests that run now.
    pub fn running(&self) -> Vec<String> {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|r| r.ended.is_none()).map(|r| r.id.clone()).collect()
    }

    fn serve(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut r = BufReader::new(stream);
        while let Some(head) = read_head(&mut r)? {
            let _body = read_body(&mut r, &head)?;
            self.wait_silent();
            if head.words().1 == "/report" {
                respond(stream, "200 OK", "Content-Type: application/json\r\n", &self.report())?;
                continue;
            }
            let id = head.get("request-id").unwrap_or_default().to_owned();
            self.arrivals.lock().unwrap().push((self.record.ms(), id.clone()));
            let own = format!("Request-Id: {id}\r\n");
            if head.get("expect-instance") != Some(&self.id) {
                respond(stream, "421 Misdirected Request", &own, "")?;
            } else if !self.enter(stream, &id) {
                self.rejected.fetch_add(1, Ordering::SeqCst);
                self.record.line(format!("worker {} is full and rejects {id}", self.id));
                respond(stream, "503 Service Unavailable", &format!("{own}Not-Executed: 1\r\n"), "")?;
            } else {
                let after = head.get("last-event-id").and_then(|v| v.parse().ok()).unwrap_or(0);
                let parts = head.get("prompt-prefix").unwrap_or_default().split(',');
                let crash_part = self.engine.crash_part.as_deref();
                let crashes = parts.filter_map(|part| part.split_once(':')).any(|(part, _)| Some(part) == crash_part);
                let result = self.run(stream, &id, after, crashes);
                *self.running.lock().unwrap() -= 1;
                self.freed.notify_one();
                result?;
            }
        }
        Ok(())
    }

    /// Takes a slot, or waits for one if there is room in the queue.
    fn enter(&self, stream: &TcpStream, id: &str) -> bool {
        let mut running = self.running.lock().unwrap();
        let is_free = *running < self.engine.slots;
        if !is_free && self.waiting.load(Ordering::SeqCst) >= self.engine.queue {
            return false;
        }
        if self.engine.is_head_early {
            let _ = send(stream, &self.head(id));
        }
        if is_free {
            *running += 1;
            return true;
        }
        self.waiting.fetch_add(1, Ordering::SeqCst);
        while *running >= self.engine.slots && !is_closed(stream) {
            running = self.freed.wait_timeout(running, Duration::from_millis(20)).unwrap().0;
        }
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        *running += 1;
        true
    }

    fn head(&self, id: &str) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: {}.{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        )
    }

    fn report(&self) -> String {
        let running = self.running();
        let runs: Vec<String> = running.iter().map(|id| format!(r#"["{id}",100,1,5]"#)).collect();
        let queued = self.waiting.load(Ordering::SeqCst);
        let active = *self.running.lock().unwrap();
        format!(
            r#"{{"stage":"both","models":[],"busy":false,"seq":1,"queued":{queued},"active":{active},"kv_used":0,"kv_total":400000,"handles":0,"runs":[{}]}}"#,
            runs.join(",")
        )
    }

    fn run(&self, stream: &TcpStream, id: &str, after: u64, crashes: bool) -> io::Result<()> {
        if !self.work(stream, self.engine.prefill) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if crashes {
            self.crash(id);
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let number = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                worker: self.id.clone(),
                id: id.to_owned(),
                began: self.record.ms(),
                ended: None,
                is_complete: false,
            });
            runs.len() - 1
        };
        self.record.line(format!("worker {} runs {id} after event {after}", self.id));
        let result = self.send_events(stream, id, after);
        self.wait_silent();
        let mut runs = self.runs.lock().unwrap();
        runs[number].ended = Some(self.record.ms());
        runs[number].is_complete = result.is_ok();
        let how = if result.is_ok() { "completes" } else { "is told to drop" };
        self.record.line(format!("worker {} {how} {id}", self.id));
        result
    }

    fn send_events(&self, stream: &TcpStream, id: &str, after: u64) -> io::Result<()> {
        for n in after + 1..=self.engine.events {
            if !self.work(stream, self.engine.event) {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            let mut text = String::new();
            if n == after + 1 && !self.engine.is_head_early {
                text = self.head(id);
            }
            let event = format!("id: {n}\ndata: token-{n}\n\n");
            text += &format!("{:x}\r\n{event}\r\n", event.len());
            send(stream, &text)?;
        }
        send(stream, "0\r\n\r\n")
    }

    /// Works for a while, and returns whether the caller is still there.
    fn work(&self, stream: &TcpStream, time: Duration) -> bool {
        let step = Duration::from_millis(10);
        let mut left = time;
        while !left.is_zero() {
            thread::sleep(step.min(left));
            self.wait_silent();
            if is_closed(stream) || self.crashed_at().is_some() {
                return false;
            }
            left = left.saturating_sub(step);
        }
        true
    }
}

// ---- Clients ----

/// A client's view of one stream.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// When the request was sent.
    pub sent: u64,
    pub status: u16,
    /// Ids of the events that came.
    pub events: Vec<u64>,
    /// Whether the end of the answer came.
    pub is_complete: bool,
    /// When the connection or the answer ended.
    pub ended: u64,
    pub end: String,
}

/// Sends a request and reads its answer to the end.
pub fn call(record: &Record, to: SocketAddr, id: &str, headers: &str, wait: Duration) -> Answer {
    let mut answer = Answer { sent: record.ms(), ..Answer::default() };
    let result = exchange(record, to, id, headers, wait, &mut answer);
    answer.ended = record.ms();
    answer.end = match &result {
        Ok(()) => "complete".to_owned(),
        Err(err) => format!("connection ended: {err}"),
    };
    record.line(format!(
        "client of {id} has status {} and {} events, {}",
        answer.status,
        answer.events.len(),
        answer.end
    ));
    answer
}

fn exchange(
    record: &Record,
    to: SocketAddr,
    id: &str,
    headers: &str,
    wait: Duration,
    answer: &mut Answer,
) -> io::Result<()> {
    let stream = TcpStream::connect(to)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    let body = format!("prompt of {id}");
    send(
        &stream,
        &format!(
            "POST /plan/{id} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            wait.as_millis(),
            body.len()
        ),
    )?;
    record.line(format!("client sends {id}"));
    let mut r = BufReader::new(&stream);
    let head = read_head(&mut r)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    answer.status = head.status();
    if head.get("transfer-encoding").is_none() {
        read_body(&mut r, &head)?;
        answer.is_complete = true;
        return Ok(());
    }
    let mut text = String::new();
    while let Some(chunk) = read_chunk(&mut r)? {
        text += &String::from_utf8_lossy(&chunk);
        while let Some((event, rest)) = text.split_once("\n\n") {
            let n: Option<u64> = event.lines().find_map(|l| l.strip_prefix("id: ")).and_then(|n| n.parse().ok());
            answer.events.extend(n);
            text = rest.to_owned();
        }
    }
    answer.is_complete = true;
    Ok(())
}

// ---- Relays ----

/// A relay, started with the command of the deploy file.
pub struct Relay {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    root: PathBuf,
    settings: PathBuf,
    child: Child,
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn free_addr() -> SocketAddr {
    // Free for TCP and for UDP.
    loop {
        let tcp = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = tcp.local_addr().expect("an address");
        if UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}

impl Relay {
    /// Starts a relay with settings made of the deploy file's template.
    pub fn start(root: &Path, dir: &Path, name: &str, zone: &str, store: SocketAddr) -> io::Result<Relay> {
        let template = std::fs::read_to_string(root.join("deploy/settings.yaml"))?;
        let (front, ready, directory, control) = (free_addr(), free_addr(), free_addr(), free_addr());
        let (nodes, metrics) = (free_addr(), free_addr());
        let values = [
            ("node", name.to_owned()),
            ("zone", zone.to_owned()),
            ("listen.front", front.to_string()),
            ("listen.ready", ready.to_string()),
            ("listen.directory", directory.to_string()),
            ("listen.control", control.to_string()),
            ("ip", "127.0.0.1".to_owned()),
            ("internal_ports.0", nodes.port().to_string()),
            ("internal_ports.1", metrics.port().to_string()),
            ("seeds|json", "[]".to_owned()),
            ("platform.address", store.to_string()),
            ("limits.link_mbps", "1000.0".to_owned()),
            ("bootstrap", "false".to_owned()),
            ("bounds.grace_s", "8".to_owned()),
            ("bounds.ttl_max_s", "5".to_owned()),
            ("bounds.retry_budget_ratio", "0.9".to_owned()),
            ("bounds.budget_slack", "58".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("bounds.exposure_share", "0.15".to_owned()),
            ("bounds.exposure_slack", "30".to_owned()),
            ("bounds.session_s", "5".to_owned()),
            ("bounds.drain_ms", "2000".to_owned()),
            ("bounds.cold_overshoot", String::new()),
            ("bounds.cold_slack", String::new()),
        ];
        let text = values.iter().fold(template, |text, (name, value)| {
            text.replace(&format!("{{{{{name}}}}}"), value)
        });
        let settings = dir.join(format!("{name}.yaml"));
        std::fs::write(&settings, text)?;
        let child = spawn(root, &settings)?;
        Ok(Relay { front, ready, control, root: root.to_owned(), settings, child })
    }

    /// Waits for the end of its process, and starts it again with the same settings.
    pub fn start_again(&mut self) -> io::Result<()> {
        self.child.wait()?;
        self.child = spawn(&self.root, &self.settings)?;
        Ok(())
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.pid().to_string()).status();
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits until it says that it is ready.
    pub fn wait_ready(&mut self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end && !self.has_ended() {
            if is_ready(self.ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

/// Starts a relay in each of these zones, and waits until all of them are ready. A port that was free may be taken before
/// a relay listens there: then all are started again.
pub fn start_relays(root: &Path, dir: &Path, zones: &[&str], store: SocketAddr) -> Option<Vec<Relay>> {
    for _ in 0..3 {
        let start = |(n, zone): (usize, &&str)| Relay::start(root, dir, &format!("front-{}", n + 1), zone, store);
        let relays: io::Result<Vec<Relay>> = zones.iter().enumerate().map(start).collect();
        let mut relays = relays.ok()?;
        if relays.iter_mut().all(|relay| relay.wait_ready(Duration::from_secs(10))) {
            return Some(relays);
        }
    }
    None
}

fn spawn(root: &Path, settings: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(settings.with_extension("log"))?;
    Command::new(root.join("target/release/oatdaled"))
        .arg("--settings")
        .arg(settings)
        .current_dir(root)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::null())
        .spawn()
}

fn is_ready(addr: SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect(addr) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let sent = send(&stream, "GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
    let head = sent.and_then(|()| read_head(&mut BufReader::new(&stream)));
    matches!(head, Ok(Some(head)) if head.status() == 200)
}

/// A temporary folder that is removed at the end.
pub struct TempDir(pub PathBuf);

impl TempDir {
    pub fn create(name: &str) -> io::Result<TempDir> {
        let path = std::env::temp_dir().join(format!("oatdale-review-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(TempDir(path))
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// The configuration of a site with one route to engines.
pub fn config(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"plan","host":"desk.example","prefix":"/plan/","service":"pool","kind":"streaming","resumable":true,"sticky":true,"timeout_ms":25000,"target_latency_ms":3000,"target_gap_ms":1500,"max_attempts":3,"priority":1}}],"services":[{{"name":"pool","health_path":"/health","max_conns":370}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

/// Headers of a prompt.
pub fn prompt(id: &str) -> String {
    format!("Model: m1\r\nToken-Counts: 1200,200\r\nPrompt-Prefix: 5c1e07a2:800,{id}:400\r\n")
}

/// Ends the test with this code, after the values that it holds have been dropped.
pub fn exit(code: i32) -> ! {
    std::process::exit(code)
}

