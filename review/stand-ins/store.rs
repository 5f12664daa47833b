//! A stand-in of the platform's store: one revision counter, leases, watches and conditional writes.

use crate::http::{Conn, Message, encode};
use crate::json::{Json, quote};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Most items of one page.
const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    /// The value as base64 text.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All changes: the revision, the key, and the item unless it was deleted.
    history: Vec<(u64, String, Option<Item>)>,
    /// Leases: how long they run, and when they end.
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    addr: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Store {
            addr: listener.local_addr()?,
            shared: Arc::default(),
        };
        store.lock().next_lease = 77_000;
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.expire();
            }
        });
        Ok(store)
    }

    /// Address that the store listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Writes a key as the operator or a worker does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.put(key, base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    /// Deletes a key as a worker does.
    pub fn delete(&self, key: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.delete(key);
        self.shared.1.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared
            .0
            .lock()
            .expect("no thread panics with the lock")
    }

    fn expire(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let ended = state.leases.iter().filter(|(_, (_, at))| now >= *at);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            state.end_lease(id);
            self.shared.1.notify_all();
        }
    }

    fn serve(&self, stream: std::net::TcpStream) {
        let Ok(mut conn) = Conn::new(stream) else {
            return;
        };
        while let Ok(Some(req)) = conn.read() {
            let (status, body) = self.answer(&req);
            let start = format!("HTTP/1.1 {status} -");
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            if conn
                .write(&encode(&start, &headers, body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, req: &Message) -> (u16, String) {
        let (method, target) = req.request_line();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(n, _)| *n == name).map(|(_, v)| decode(v))
        };
        let body = Json::parse(&String::from_utf8_lossy(&req.body)).unwrap_or(Json::Null);
        let id = path
            .rsplit('/')
            .next()
            .and_then(|id| id.parse::<u64>().ok());
        match (method, path) {
            ("GET", "/kv-key") => self.key(&query("key").unwrap_or_default()),
            ("GET", "/kv-range") => {
                self.range(&query("prefix").unwrap_or_default(), query("after"))
            }
            ("GET", "/kv-watch") => {
                let after = query("after").and_then(|n| n.parse().ok()).unwrap_or(0);
                let wait = query("wait_ms").and_then(|n| n.parse().ok()).unwrap_or(0);
                let wait = Duration::from_millis(wait);
                self.watch(&query("prefix").unwrap_or_default(), after, wait)
            }
            ("POST", "/kv-txn") => self.write(&body),
            ("POST", "/kv-lease") => {
                let ttl = body.get("ttl_ms").map_or(1_000, Json::number).max(1_000);
                let mut state = self.lock();
                state.next_lease += 1;
                let (id, time) = (state.next_lease, Duration::from_millis(ttl));
                state.leases.insert(id, (time, Instant::now() + time));
                (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let mut state = self.lock();
                match id.and_then(|id| state.leases.get_mut(&id)) {
                    Some((time, ends_at)) => {
                        *ends_at = Instant::now() + *time;
                        (200, format!("{{\"ttl_ms\":{}}}", time.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                if let Some(id) = id {
                    self.lock().end_lease(id);
                    self.shared.1.notify_all();
                }
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        let state = self.lock();
        match state.items.get(key) {
            Some(item) => (200, item_text(key, item)),
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: Option<String>) -> (u16, String) {
        let state = self.lock();
        let all = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        let all = all.filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after));
        let mut all: Vec<_> = all.map(|(key, item)| item_text(key, item)).collect();
        let has_more = all.len() > PAGE_ITEMS;
        all.truncate(PAGE_ITEMS);
        let (items, revision) = (all.join(","), state.revision);
        let text =
            format!("{{\"items\":[{items}],\"has_more\":{has_more},\"current_rev\":{revision}}}");
        (200, text)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let events = state
                .history
                .iter()
                .filter(|(revision, ..)| *revision > after);
            let events = events.filter(|(_, key, _)| key.starts_with(prefix));
            let events: Vec<String> = events
                .map(|(revision, key, item)| match item {
                    Some(item) => item_text(key, item),
                    None => {
                        let key = quote(key);
                        format!("{{\"key\":{key},\"revision\":{revision},\"deleted\":true}}")
                    }
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (
                    200,
                    format!("{{\"events\":[{events}],\"current_rev\":{revision}}}"),
                );
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.expect("no thread panics with the lock").0;
        }
    }

    fn write(&self, body: &Json) -> (u16, String) {
        let list = |name: &str| body.get(name).map_or(&[][..], Json::list);
        let field = |row: &Json, name: &str| row.get(name).cloned().unwrap_or(Json::Null);
        let mut state = self.lock();
        let expected = list("expected_rev");
        let holds = expected.iter().all(|row| {
            let known = state.items.get(field(row, "key").text());
            known.map_or(0, |item| item.revision) == field(row, "revision").number()
        });
        if !holds {
            return (412, "{\"items\":[]}".to_owned());
        }
        let puts = list("set_keys");
        let leases = puts.iter().map(|row| field(row, "lease").number());
        if leases
            .clone()
            .any(|id| id != 0 && !state.leases.contains_key(&id))
        {
            return (404, "{}".to_owned());
        }
        state.revision += 1;
        for row in puts {
            let key = field(row, "key").text().to_owned();
            let value = field(row, "value").text().to_owned();
            state.put(&key, value, field(row, "lease").number());
        }
        for key in list("drop") {
            state.delete(key.text());
        }
        self.shared.1.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history
            .push((self.revision, key.to_owned(), Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.delete(key));
        }
    }
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

/// Decodes percent-encoded text.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3);
        match (
            bytes[at],
            hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()),
        ) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Encodes bytes as standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for place in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * place)) as usize & 63] as char;
            text.push(if place <= chunk.len() { digit } else { '=' });
        }
    }
    text
}
