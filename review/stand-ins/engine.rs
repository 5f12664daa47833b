//! A stand-in of a model worker, which runs as a process of its own so that it can be killed. It writes a
//! line to its standard output for each request that it runs.

use crate::http::{Conn, Message, encode};
use crate::random::Random;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::record::{Record, What};

/// Number of events of each stream, and the pause before each.
pub const EVENTS: u64 = 64;
const GAP: Duration = Duration::from_millis(45);

/// An engine's process.
pub struct Engine {
    pub id: String,
    pub addr: SocketAddr,
    child: Child,
}

impl Engine {
    /// Starts a process on a free port. `unframed_share` of its streams have neither a length nor
    /// chunks.
    pub fn start(id: &str, unframed_share: f64, record: Record) -> io::Result<Engine> {
        let program = std::env::current_exe()?;
        let mut command = Command::new(program);
        command.args(["engine", id, &unframed_share.to_string()]);
        command.stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = command.spawn()?;
        let out = child
            .stdout
            .take()
            .ok_or_else(|| io::Error::other("no output"))?;
        let mut lines = BufReader::new(out).lines();
        let first = lines
            .next()
            .ok_or_else(|| io::Error::other("no address"))??;
        let addr = first.parse().map_err(io::Error::other)?;
        let who = id.to_owned();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let (id, note) = line.split_once(' ').unwrap_or((&line, ""));
                record.add(&who, What::Ran, id, note);
            }
        });
        Ok(Engine {
            id: id.to_owned(),
            addr,
            child,
        })
    }

    /// Returns the key and the value of the engine's entry in the store.
    pub fn entry(&self, service: &str, zone: &str) -> (String, String) {
        let value = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":64,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"both\",\"models\":[{{\"name\":\"m0\",\
             \"version\":1,\"adapters\":[]}}],\"seq\":1}}",
            self.addr
        );
        (format!("servers/{}", self.id), value)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs the process of an engine, until its standard input ends.
pub fn run(id: &str, unframed_share: f64) -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    println!("{}", listener.local_addr()?);
    thread::spawn(|| {
        // Ends with the program that started it.
        let _ = io::stdin().read_line(&mut String::new());
        std::process::exit(0);
    });
    let running = Arc::new(AtomicU64::new(0));
    let mut random = Random::new(id.bytes().fold(7, |s, b| s.wrapping_mul(31) + u64::from(b)));
    for stream in listener.incoming().flatten() {
        let (id, running, seed) = (id.to_owned(), running.clone(), random.next());
        thread::spawn(move || drop(serve(&id, unframed_share, &running, seed, stream)));
    }
    Ok(())
}

fn serve(
    id: &str,
    unframed_share: f64,
    running: &AtomicU64,
    seed: u64,
    stream: TcpStream,
) -> io::Result<()> {
    let mut random = Random::new(seed);
    let mut conn = Conn::new(stream)?;
    while let Some(req) = conn.read()? {
        let (_, path) = req.request_line();
        if path == "/report" {
            let active = running.load(Ordering::Relaxed);
            let body = format!(
                "{{\"stage\":\"both\",\"models\":[],\"busy\":false,\"seq\":0,\"queued\":0,\"active\":{active},\
                 \"kv_used\":0,\"kv_total\":430365,\"handles\":0}}"
            );
            let headers = [("Content-Type", "application/json")];
            conn.write(&encode("HTTP/1.1 200 OK", &headers, body.as_bytes()))?;
            continue;
        }
        let request_id = req.header("request-id").unwrap_or("").to_owned();
        if req
            .header("expect-instance")
            .is_some_and(|wanted| wanted != id)
        {
            let headers = [("Request-Id", request_id.as_str()), ("Instance-Id", id)];
            conn.write(&encode("HTTP/1.1 421 Misdirected Request", &headers, b""))?;
            continue;
        }
        let is_unframed = random.fraction() < unframed_share;
        running.fetch_add(1, Ordering::Relaxed);
        let streamed = stream_events(&mut conn, &req, &request_id, is_unframed);
        running.fetch_sub(1, Ordering::Relaxed);
        streamed?;
        if is_unframed {
            return Ok(());
        }
    }
    Ok(())
}

fn stream_events(conn: &mut Conn, req: &Message, id: &str, is_unframed: bool) -> io::Result<()> {
    let after: u64 = req
        .header("last-event-id")
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    let framing = match is_unframed {
        true => "Connection: close",
        false => "Transfer-Encoding: chunked",
    };
    let kind = if is_unframed {
        "without framing"
    } else {
        "in chunks"
    };
    // One write for each line, so that lines of several threads don't mix.
    io::stdout().write_all(format!("{id} after {after}, {kind}\n").as_bytes())?;
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
         Content-Type: text/event-stream\r\nConfidence: 90\r\n{framing}\r\n\r\n"
    );
    let mut head = Some(head);
    for number in after + 1..=EVENTS {
        thread::sleep(GAP);
        let event = format!("id: {number}\ndata: part {number} of {EVENTS}\n\n");
        let event = match is_unframed {
            true => event,
            false => format!("{:x}\r\n{event}\r\n", event.len()),
        };
        let bytes = head.take().unwrap_or_default() + &event;
        conn.write(bytes.as_bytes())?;
    }
    let last = match is_unframed {
        true => "",
        false => "0\r\n\r\n",
    };
    conn.write((head.unwrap_or_default() + last).as_bytes())
}
