//! A connection of an endpoint, and the faults that show on it.

use crate::endpoint::Inner;
use crate::faults::Fault;
use crate::http::{Conn, Head, message};
use crate::record::What;
use crate::slots::Admission;
use oatdale_adapter_fakes::{EXPECTED_INSTANCE, INSTANCE_ID, REQUEST_ID};
use serde_json::json;
use socket2::SockRef;
use std::io;
use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Longest time, in milliseconds, after which an idle connection is closed unannounced.
const MAX_CLOSE_MS: u64 = 400;

/// Bounds of the time, in milliseconds, that a request runs.
const RUN_MS: std::ops::Range<u64> = 20..60;

const UNAVAILABLE: &str = "503 Service Unavailable";
const BAD_REQUEST: &str = "400 Bad Request";
const MISDIRECTED: &str = "421 Misdirected Request";

struct Connection {
    cx: Arc<Inner>,
    conn: Conn,
    /// Number of the connection at its endpoint.
    number: u64,
    /// What is sent when the next request arrives.
    extra: Option<Extra>,
    /// What is sent together with the next response.
    with_next: String,
    /// Whether each response comes in place of the next one.
    is_shifted: bool,
    /// Bytes of a body that are taken for a request.
    unread_bytes: usize,
}

/// A response at the place of the next one.
enum Extra {
    Text(String),
    /// A rejection that names this request and the next one.
    Both(String),
}

/// A request that is being served, and the faults that concern it.
struct Current {
    id: String,
    faults: Vec<Fault>,
}

impl Current {
    fn has(&self, fault: Fault) -> bool {
        self.faults.contains(&fault)
    }
}

/// Serves a connection to its end.
pub(crate) async fn serve(cx: Arc<Inner>, stream: TcpStream, number: u64) -> io::Result<()> {
    let mut connection = Connection {
        cx,
        conn: Conn::new(stream),
        number,
        extra: None,
        with_next: String::new(),
        is_shifted: false,
        unread_bytes: 0,
    };
    while connection.serve_next().await?.is_continue() {}
    Ok(())
}

impl Connection {
    async fn serve_next(&mut self) -> io::Result<ControlFlow<()>> {
        let unread = self.conn.read_body(self.unread_bytes).await?;
        self.unread_bytes = 0;
        let Some(head) = self.conn.read_head().await? else {
            return Ok(ControlFlow::Break(()));
        };
        self.cx.wait_thawed().await;
        if !unread.is_empty() {
            let text = self.cx.response(BAD_REQUEST, &[], true, "");
            self.conn.write(&text).await?;
        }
        if let Some(text) = check(&self.cx.id, &head) {
            self.conn.write(&text).await?;
            return Ok(ControlFlow::Continue(()));
        }
        let req = Current {
            id: head.header(REQUEST_ID).unwrap_or("").to_owned(),
            faults: self.cx.draw(),
        };
        self.log(&req, What::Arrived);
        self.send_extra(&req).await?;
        if req.has(Fault::UnreadBody) && head.content_length() > 0 {
            self.log(&req, What::Answered(503));
            self.conn.write(&self.cx.rejection(&[&req.id])).await?;
            self.unread_bytes = head.content_length();
            return Ok(ControlFlow::Continue(()));
        }
        self.conn.read_body(head.content_length()).await?;
        match self.respond(&req, &head).await {
            Some((status, response)) => self.send(&req, status, response).await,
            None => Ok(ControlFlow::Break(())),
        }
    }

    fn log(&self, req: &Current, what: What) {
        let cx = &self.cx;
        cx.record.add(&cx.id, self.number, &req.id, what);
    }

    async fn send_extra(&mut self, req: &Current) -> io::Result<()> {
        let text = match self.extra.take() {
            Some(Extra::Text(text)) => text,
            Some(Extra::Both(other)) if self.cx.draw_bool() => {
                self.cx.rejection(&[&req.id, &other])
            }
            Some(Extra::Both(other)) => self.cx.rejection(&[&other, &req.id]),
            None => return Ok(()),
        };
        self.conn.write(&text).await
    }

    /// Runs or rejects a request, and returns the status and text of its response; none if its connection
    /// closed before it ran.
    async fn respond(&self, req: &Current, head: &Head) -> Option<(u16, String)> {
        let cx = &self.cx;
        let ids = [req.id.as_str()];
        let is_misdirected = head.header(EXPECTED_INSTANCE).is_some_and(|id| id != cx.id);
        if is_misdirected {
            return Some((421, cx.response(MISDIRECTED, &ids, true, "")));
        }
        if req.has(Fault::Shed) {
            return Some((503, cx.rejection(&ids)));
        }
        let slot = match cx.slots.enter(&self.conn).await {
            Admission::Slot(slot) => slot,
            Admission::Rejected => return Some((503, cx.rejection(&ids))),
            Admission::Gone => return None,
        };
        cx.wait_thawed().await;
        self.log(req, What::Began);
        sleep(cx.draw_ms(RUN_MS)).await;
        cx.wait_thawed().await;
        self.log(req, What::Ended);
        drop(slot);
        if req.has(Fault::FalseRejection) {
            return Some((503, cx.rejection(&ids)));
        }
        let body = json!({"id": req.id, "endpoint": cx.id}).to_string();
        Some((200, cx.response("200 OK", &ids, false, &body)))
    }

    /// Sends a response as the faults have it.
    async fn send(
        &mut self,
        req: &Current,
        status: u16,
        response: String,
    ) -> io::Result<ControlFlow<()>> {
        match status {
            200 if req.has(Fault::ResetAfterRun) => {
                SockRef::from(&self.conn.stream).set_linger(Some(Duration::ZERO))?;
                return Ok(ControlFlow::Break(()));
            }
            200 if req.has(Fault::Hang) => std::future::pending().await,
            200 if req.has(Fault::Truncate) => {
                self.conn.write(&response[..response.len() - 3]).await?;
                return Ok(ControlFlow::Break(()));
            }
            _ => {}
        }
        self.log(req, What::Answered(status));
        if !self.is_shifted {
            let text = std::mem::take(&mut self.with_next) + &response;
            self.conn.write(&text).await?;
        }
        self.is_shifted |= req.has(Fault::Shift);
        self.extra = self.extra_after(req, &response);
        if req.has(Fault::ExtraWithNext) {
            self.with_next = response;
        }
        if req.has(Fault::CloseIdle) {
            sleep(self.cx.draw_ms(0..MAX_CLOSE_MS)).await;
            return Ok(ControlFlow::Break(()));
        }
        Ok(ControlFlow::Continue(()))
    }

    fn extra_after(&self, req: &Current, response: &str) -> Option<Extra> {
        let without_id = |status, not_executed| {
            let text = self.cx.response(status, &[], not_executed, "");
            Some(Extra::Text(text))
        };
        match () {
            () if self.is_shifted || req.has(Fault::ExtraLate) => {
                Some(Extra::Text(response.to_owned()))
            }
            () if req.has(Fault::Second503WithoutId) => without_id(UNAVAILABLE, true),
            () if req.has(Fault::Second400WithoutId) => without_id(BAD_REQUEST, true),
            () if req.has(Fault::Second421WithoutId) => without_id(MISDIRECTED, false),
            () if req.has(Fault::RepeatedId) => Some(Extra::Both(req.id.clone())),
            () => None,
        }
    }
}

/// Returns the response to a check, which is no request of a caller.
fn check(endpoint: &str, head: &Head) -> Option<String> {
    match head.first_line.split(' ').nth(1)? {
        "/health" | "/report" => Some(message(
            "HTTP/1.1 200 OK",
            &[
                (INSTANCE_ID, endpoint),
                ("content-type", "application/json"),
            ],
            "{}",
        )),
        _ => None,
    }
}
