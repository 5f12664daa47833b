//! One WebSocket connection to another node.

use crate::auth::{Hello, MAX_HELLO, Seal, Side, TAG, Transcript};
use crate::error::{ConnectionSnafu, Error, MalformedSnafu, Result, TimeoutSnafu};
use crate::member::Conn;
use crate::wire::{Card, Frame, MAX_FRAME};
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{self, Message};
use tokio_tungstenite::{WebSocketStream, accept_async_with_config, client_async_with_config};

/// Frames that wait to be written; more and the peer counts as one that stopped reading.
pub(crate) const QUEUE: usize = 256;
const HANDSHAKE: Duration = Duration::from_secs(3);
/// A write that takes longer means that the peer has stopped reading.
const WRITE: Duration = Duration::from_secs(2);
/// Read and write buffers are small, since a node has dozens of links and 32 MB for control.
const BUFFER: usize = 4096;

type Socket = WebSocketStream<TcpStream>;

/// What a link tells the duty.
#[derive(Debug)]
pub(crate) enum LinkEvent {
    Up {
        conn: Conn,
        card: Card,
        dialed: Option<SocketAddr>,
        tx: mpsc::Sender<Frame>,
    },
    Frame {
        conn: Conn,
        frame: Frame,
    },
    Down {
        conn: Conn,
    },
    DialFailed {
        address: SocketAddr,
        myself: bool,
    },
}

/// What a link needs to know.
#[derive(Clone)]
pub(crate) struct LinkContext {
    pub(crate) conn: Conn,
    pub(crate) card: Card,
    pub(crate) key: Arc<[u8]>,
    pub(crate) tx: mpsc::Sender<LinkEvent>,
}

/// A connection whose other end has proved itself.
struct Proved {
    socket: Socket,
    card: Card,
    send: Seal,
    receive: Seal,
}

/// Connects to an address and serves the link until it ends.
pub(crate) async fn dial(cx: LinkContext, address: SocketAddr) {
    match within(HANDSHAKE, "dialing", open(&cx, address)).await {
        Ok(proved) => serve(cx, proved, Some(address)).await,
        Err(e) => {
            let myself = matches!(e, Error::Myself);
            log::debug!("mesh: dial {address}: {e}");
            let _ = cx.tx.send(LinkEvent::DialFailed { address, myself }).await;
        }
    }
}

/// Serves a connection that was accepted.
pub(crate) async fn accept(cx: LinkContext, stream: TcpStream) {
    let from = stream.peer_addr().ok();
    match within(HANDSHAKE, "accepting", welcome(&cx, stream)).await {
        Ok(proved) => serve(cx, proved, None).await,
        Err(Error::Myself) => {}
        Err(e) => log::warn!("mesh: refused a connection from {from:?}: {e}"),
    }
}

async fn open(cx: &LinkContext, address: SocketAddr) -> Result<Proved> {
    let stream = TcpStream::connect(address).await.map_err(broken)?;
    stream.set_nodelay(true).map_err(broken)?;
    let url = format!("ws://{address}/mesh");
    let (mut socket, _) = client_async_with_config(url, stream, Some(limits()))
        .await
        .map_err(broken)?;
    let hello = Hello::new(cx.card.clone()).encode();
    write(&mut socket, hello.clone()).await?;
    let answer = read_small(&mut socket).await?;
    let proof = read_small(&mut socket).await?;
    let card = Hello::decode(&answer)?.card;
    let transcript = Transcript {
        key: &cx.key,
        dialer: &hello,
        acceptor: &answer,
    };
    transcript.check(Side::Acceptor, &proof)?;
    write(&mut socket, transcript.proof(Side::Dialer)).await?;
    let (send, receive) = transcript.seals(Side::Dialer);
    prove(
        cx,
        Proved {
            socket,
            card,
            send,
            receive,
        },
    )
}

async fn welcome(cx: &LinkContext, stream: TcpStream) -> Result<Proved> {
    stream.set_nodelay(true).map_err(broken)?;
    let mut socket = accept_async_with_config(stream, Some(limits()))
        .await
        .map_err(broken)?;
    let hello = read_small(&mut socket).await?;
    let card = Hello::decode(&hello)?.card;
    let answer = Hello::new(cx.card.clone()).encode();
    let transcript = Transcript {
        key: &cx.key,
        dialer: &hello,
        acceptor: &answer,
    };
    write(&mut socket, answer.clone()).await?;
    write(&mut socket, transcript.proof(Side::Acceptor)).await?;
    let proof = read_small(&mut socket).await?;
    transcript.check(Side::Dialer, &proof)?;
    let (send, receive) = transcript.seals(Side::Acceptor);
    prove(
        cx,
        Proved {
            socket,
            card,
            send,
            receive,
        },
    )
}

fn prove(cx: &LinkContext, proved: Proved) -> Result<Proved> {
    match proved.card == cx.card {
        true => Err(Error::Myself),
        false => Ok(proved),
    }
}

async fn serve(cx: LinkContext, mut proved: Proved, dialed: Option<SocketAddr>) {
    let conn = cx.conn;
    let (tx, rx) = mpsc::channel(QUEUE);
    let host = proved.card.host.clone();
    let up = LinkEvent::Up {
        conn,
        card: proved.card.clone(),
        dialed,
        tx,
    };
    if cx.tx.send(up).await.is_err() {
        return;
    }
    match pump(&cx, &mut proved, rx).await {
        Ok(()) => log::debug!("mesh: link to {host} closed"),
        Err(e) => log::info!("mesh: link to {host}: {e}"),
    }
    let _ = cx.tx.send(LinkEvent::Down { conn }).await;
}

/// Moves frames both ways until the duty drops its sender or the connection ends.
async fn pump(cx: &LinkContext, proved: &mut Proved, mut rx: mpsc::Receiver<Frame>) -> Result<()> {
    loop {
        tokio::select! {
            frame = rx.recv() => match frame {
                Some(frame) => {
                    let buf = proved.send.close(&frame.encode());
                    within(WRITE, "writing", write(&mut proved.socket, buf)).await?;
                }
                None => {
                    let closed = async { proved.socket.close(None).await.map_err(broken) };
                    return within(WRITE, "closing", closed).await;
                }
            },
            message = proved.socket.next() => {
                let buf = match message {
                    None => return Ok(()),
                    Some(message) => payload(message)?,
                };
                let Some(buf) = buf else { continue };
                let frame = Frame::decode(proved.receive.open(&buf)?)?;
                let event = LinkEvent::Frame { conn: cx.conn, frame };
                if cx.tx.send(event).await.is_err() {
                    return Ok(());
                }
            }
        }
    }
}

fn payload(message: Result<Message, tungstenite::Error>) -> Result<Option<Bytes>> {
    match message.map_err(broken)? {
        Message::Binary(buf) => Ok(Some(buf)),
        Message::Ping(_) | Message::Pong(_) | Message::Close(_) => Ok(None),
        Message::Text(_) | Message::Frame(_) => MalformedSnafu {
            reason: "only binary frames are spoken",
        }
        .fail(),
    }
}

async fn read_small(socket: &mut Socket) -> Result<Bytes> {
    loop {
        let Some(message) = socket.next().await else {
            return ConnectionSnafu {
                reason: "closed during the handshake",
            }
            .fail();
        };
        match payload(message)? {
            Some(buf) if buf.len() > MAX_HELLO => {
                return MalformedSnafu {
                    reason: "a hello of that size",
                }
                .fail();
            }
            Some(buf) => return Ok(buf),
            None => {}
        }
    }
}

async fn write(socket: &mut Socket, buf: Bytes) -> Result<()> {
    socket.send(Message::Binary(buf)).await.map_err(broken)
}

async fn within<T>(
    bound: Duration,
    doing: &'static str,
    work: impl Future<Output = Result<T>>,
) -> Result<T> {
    match timeout(bound, work).await {
        Ok(result) => result,
        Err(_) => TimeoutSnafu { doing }.fail(),
    }
}

fn limits() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER)
        .write_buffer_size(0)
        .max_write_buffer_size(2 * MAX_FRAME)
        .max_message_size(Some(MAX_FRAME + TAG))
        .max_frame_size(Some(MAX_FRAME + TAG))
}

fn broken(e: impl std::fmt::Display) -> Error {
    Error::Connection {
        reason: e.to_string(),
    }
}
