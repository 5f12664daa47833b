//! Clients, which behave as the pages say.

use crate::http::{Conn, Message, encode};
use crate::record::{Record, What};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// One request to be sent.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    pub key: &'a str,
    pub id: &'a str,
    pub deadline: Duration,
    pub body: &'a str,
}

impl Request<'_> {
    /// Returns the bytes of the request.
    pub fn encode(&self) -> Vec<u8> {
        let deadline = self.deadline.as_millis().to_string();
        let key = format!("Bearer {}", self.key);
        let headers = [
            ("Host", self.host),
            ("Request-Id", self.id),
            ("Deadline-Ms", &deadline),
            ("Authorization", &key),
        ];
        let start = format!("{} {} HTTP/1.1", self.method, self.path);
        encode(&start, &headers, self.body.as_bytes())
    }
}

/// A client with one kept connection.
pub struct Client {
    pub name: String,
    pub front: SocketAddr,
    record: Record,
    conn: Option<Conn>,
}

impl Client {
    pub fn new(name: &str, front: SocketAddr, record: Record) -> Client {
        Client {
            name: name.to_owned(),
            front,
            record,
            conn: None,
        }
    }

    /// Sends a request and waits for its answer until its deadline.
    pub fn send(&mut self, req: &Request<'_>) -> io::Result<Message> {
        self.record.add(&self.name, What::Sent, req.id, req.body);
        let result = self.exchange(req);
        let (status, note) = match &result {
            Ok(res) => (
                res.status(),
                String::from_utf8_lossy(&res.body).trim().to_owned(),
            ),
            Err(err) => (0, err.to_string()),
        };
        self.record
            .add(&self.name, What::Answered(status), req.id, note);
        result
    }

    /// Closes the connection, so that the next request uses a new one.
    pub fn close(&mut self) {
        self.conn = None;
    }

    fn exchange(&mut self, req: &Request<'_>) -> io::Result<Message> {
        let mut conn = match self.conn.take() {
            Some(conn) => conn,
            None => Conn::connect(self.front)?,
        };
        conn.set_read_timeout(Some(req.deadline))?;
        conn.write(&req.encode())?;
        let res = conn.read()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if res.header("connection") != Some("close") {
            self.conn = Some(conn);
        }
        Ok(res)
    }
}
