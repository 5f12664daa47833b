//! A WebSocket connection to another node.

use crate::auth::{FrameMac, Hello, MAX_HELLO_BYTES, Side, TAG_BYTES, Transcript};
use crate::error::{ConnectionSnafu, Error, MalformedSnafu, Result, TimeoutSnafu};
use crate::member::ConnId;
use crate::wire::{Card, Frame, MAX_FRAME_BYTES};
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

/// Capacity of the queue of frames to write. If it is full, the peer is considered to have stopped
/// reading.
pub(crate) const FRAME_QUEUE: usize = 256;
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// If a write takes longer, the peer is considered to have stopped reading.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Size of the read buffer. Read and write buffers are small, since a node has dozens of links and
/// 32 MB for the control plane.
const BUFFER_BYTES: usize = 4096;

type Socket = WebSocketStream<TcpStream>;

/// An event that a link reports to the mesh task.
#[derive(Debug)]
pub(crate) enum LinkEvent {
    Up {
        conn: ConnId,
        card: Card,
        dialed: Option<SocketAddr>,
        tx: mpsc::Sender<Frame>,
    },
    Frame {
        conn: ConnId,
        frame: Frame,
    },
    Down {
        conn: ConnId,
    },
    DialFailed {
        address: SocketAddr,
        is_self: bool,
    },
}

/// Parameters of a link.
#[derive(Clone)]
pub(crate) struct LinkContext {
    pub(crate) conn: ConnId,
    pub(crate) card: Card,
    pub(crate) key: Arc<[u8]>,
    pub(crate) tx: mpsc::Sender<LinkEvent>,
}

/// A connection whose peer is authenticated.
struct AuthenticatedLink {
    socket: Socket,
    card: Card,
    send_mac: FrameMac,
    receive_mac: FrameMac,
}

/// Connects to an address and serves the link until it closes.
pub(crate) async fn dial(cx: LinkContext, address: SocketAddr) {
    match with_timeout(HANDSHAKE_TIMEOUT, "dialing", dial_peer(&cx, address)).await {
        Ok(link) => serve(cx, link, Some(address)).await,
        Err(e) => {
            let is_self = matches!(e, Error::SelfConnection);
            log::debug!("mesh: dialing {address} failed: {e}");
            let _ = cx.tx.send(LinkEvent::DialFailed { address, is_self }).await;
        }
    }
}

/// Authenticates an accepted connection and serves the link until it closes.
pub(crate) async fn accept(cx: LinkContext, stream: TcpStream) {
    let from = stream.peer_addr().ok();
    match with_timeout(HANDSHAKE_TIMEOUT, "accepting", accept_peer(&cx, stream)).await {
        Ok(link) => serve(cx, link, None).await,
        Err(Error::SelfConnection) => {}
        Err(e) => log::warn!("mesh: rejected a connection from {from:?}: {e}"),
    }
}

async fn dial_peer(cx: &LinkContext, address: SocketAddr) -> Result<AuthenticatedLink> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(connection_error)?;
    stream.set_nodelay(true).map_err(connection_error)?;
    let url = format!("ws://{address}/mesh");
    let (mut socket, _) = client_async_with_config(url, stream, Some(websocket_config()))
        .await
        .map_err(connection_error)?;
    let dialer_hello = Hello::new(cx.card.clone()).encode();
    write(&mut socket, dialer_hello.clone()).await?;
    let acceptor_hello = read_handshake_message(&mut socket).await?;
    let proof = read_handshake_message(&mut socket).await?;
    let card = Hello::decode(&acceptor_hello)?.card;
    let transcript = Transcript {
        key: &cx.key,
        dialer: &dialer_hello,
        acceptor: &acceptor_hello,
    };
    transcript.verify_proof(Side::Acceptor, &proof)?;
    write(&mut socket, transcript.proof(Side::Dialer)).await?;
    let (send_mac, receive_mac) = transcript.frame_macs(Side::Dialer);
    reject_self_connection(
        cx,
        AuthenticatedLink {
            socket,
            card,
            send_mac,
            receive_mac,
        },
    )
}

async fn accept_peer(cx: &LinkContext, stream: TcpStream) -> Result<AuthenticatedLink> {
    stream.set_nodelay(true).map_err(connection_error)?;
    let mut socket = accept_async_with_config(stream, Some(websocket_config()))
        .await
        .map_err(connection_error)?;
    let dialer_hello = read_handshake_message(&mut socket).await?;
    let card = Hello::decode(&dialer_hello)?.card;
    let acceptor_hello = Hello::new(cx.card.clone()).encode();
    let transcript = Transcript {
        key: &cx.key,
        dialer: &dialer_hello,
        acceptor: &acceptor_hello,
    };
    write(&mut socket, acceptor_hello.clone()).await?;
    write(&mut socket, transcript.proof(Side::Acceptor)).await?;
    let proof = read_handshake_message(&mut socket).await?;
    transcript.verify_proof(Side::Dialer, &proof)?;
    let (send_mac, receive_mac) = transcript.frame_macs(Side::Acceptor);
    reject_self_connection(
        cx,
        AuthenticatedLink {
            socket,
            card,
            send_mac,
            receive_mac,
        },
    )
}

fn reject_self_connection(cx: &LinkContext, link: AuthenticatedLink) -> Result<AuthenticatedLink> {
    match link.card == cx.card {
        true => Err(Error::SelfConnection),
        false => Ok(link),
    }
}

async fn serve(cx: LinkContext, mut link: AuthenticatedLink, dialed: Option<SocketAddr>) {
    let conn = cx.conn;
    let (tx, rx) = mpsc::channel(FRAME_QUEUE);
    let host = link.card.host.clone();
    let up = LinkEvent::Up {
        conn,
        card: link.card.clone(),
        dialed,
        tx,
    };
    if cx.tx.send(up).await.is_err() {
        return;
    }
    match exchange_frames(&cx, &mut link, rx).await {
        Ok(()) => log::debug!("mesh: link to {host} closed"),
        Err(e) => log::info!("mesh: link to {host} failed: {e}"),
    }
    let _ = cx.tx.send(LinkEvent::Down { conn }).await;
}

/// Sends and receives frames until the mesh task drops its sender or the connection ends.
async fn exchange_frames(
    cx: &LinkContext,
    link: &mut AuthenticatedLink,
    mut rx: mpsc::Receiver<Frame>,
) -> Result<()> {
    loop {
        tokio::select! {
            frame = rx.recv() => match frame {
                Some(frame) => {
                    let buf = link.send_mac.add_tag(&frame.encode());
                    with_timeout(WRITE_TIMEOUT, "writing", write(&mut link.socket, buf)).await?;
                }
                None => {
                    let closing = async { link.socket.close(None).await.map_err(connection_error) };
                    return with_timeout(WRITE_TIMEOUT, "closing", closing).await;
                }
            },
            message = link.socket.next() => {
                let buf = match message {
                    None => return Ok(()),
                    Some(message) => binary_payload(message)?,
                };
                let Some(buf) = buf else { continue };
                let frame = Frame::decode(link.receive_mac.verify(&buf)?)?;
                let event = LinkEvent::Frame { conn: cx.conn, frame };
                if cx.tx.send(event).await.is_err() {
                    return Ok(());
                }
            }
        }
    }
}

fn binary_payload(message: Result<Message, tungstenite::Error>) -> Result<Option<Bytes>> {
    match message.map_err(connection_error)? {
        Message::Binary(buf) => Ok(Some(buf)),
        Message::Ping(_) | Message::Pong(_) | Message::Close(_) => Ok(None),
        Message::Text(_) | Message::Frame(_) => MalformedSnafu {
            reason: "expected a binary WebSocket message",
        }
        .fail(),
    }
}

async fn read_handshake_message(socket: &mut Socket) -> Result<Bytes> {
    loop {
        let Some(message) = socket.next().await else {
            return ConnectionSnafu {
                reason: "closed during the handshake",
            }
            .fail();
        };
        match binary_payload(message)? {
            Some(buf) if buf.len() > MAX_HELLO_BYTES => {
                return MalformedSnafu {
                    reason: "handshake message exceeds 4096 bytes",
                }
                .fail();
            }
            Some(buf) => return Ok(buf),
            None => {}
        }
    }
}

async fn write(socket: &mut Socket, buf: Bytes) -> Result<()> {
    socket
        .send(Message::Binary(buf))
        .await
        .map_err(connection_error)
}

async fn with_timeout<T>(
    limit: Duration,
    operation: &'static str,
    future: impl Future<Output = Result<T>>,
) -> Result<T> {
    match timeout(limit, future).await {
        Ok(result) => result,
        Err(_) => TimeoutSnafu { operation }.fail(),
    }
}

fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(0)
        .max_write_buffer_size(2 * MAX_FRAME_BYTES)
        .max_message_size(Some(MAX_FRAME_BYTES + TAG_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES + TAG_BYTES))
}

fn connection_error(e: impl std::fmt::Display) -> Error {
    Error::Connection {
        reason: e.to_string(),
    }
}
