//! Peers that lack the mesh key, send malformed data, tamper with frames or stop reading.

#[path = "support/sockets.rs"]
mod sockets;

use futures::{SinkExt, StreamExt};
use oatdale_mesh::{Event, MAX_FRAME_BYTES, PeerState};
use sockets::{Node, mesh_config, start, start_with_config};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{WebSocketStream, client_async};

const CLOSE_TIMEOUT: Duration = Duration::from_secs(20);

async fn connect_websocket(address: SocketAddr) -> WebSocketStream<TcpStream> {
    let stream = TcpStream::connect(address).await.expect("the node listens");
    let url = format!("ws://{address}/mesh");
    client_async(url, stream)
        .await
        .expect("the WebSocket handshake succeeds")
        .0
}

/// Waits until the node closes the connection, which the client sees as a close message, an error
/// or the end of the stream.
async fn wait_for_close(socket: &mut WebSocketStream<TcpStream>) {
    let closed = async {
        while let Some(Ok(message)) = socket.next().await {
            if message.is_close() {
                break;
            }
        }
    };
    timeout(CLOSE_TIMEOUT, closed)
        .await
        .expect("the node closes the connection in time");
}

async fn wait_until_alive(node: &mut Node, host: &str) {
    let alive = |e: &Event| match e {
        Event::Peers(list) => list
            .iter()
            .any(|p| p.host == host && p.state == PeerState::Alive),
        _ => false,
    };
    node.wait_for_event(alive).await;
}

/// Asserts that the node still accepts other peers and shares its configuration with them.
async fn assert_still_serves(node: &mut Node) {
    let mut other = start("other", "hall-2", &[node.address]).await;
    node.adopt(5, b"text").await;
    assert_eq!(other.wait_for_document(5).await, &b"text"[..]);
    wait_until_alive(node, "other").await;
}

/// A node with a different key tries to join. If it were admitted, it could serve callers or
/// distribute a forged configuration.
#[tokio::test]
async fn a_node_with_a_wrong_key_is_refused() {
    let mut node = start("good", "hall-1", &[]).await;
    let mut cfg = mesh_config("bad", "hall-2", &[node.address]);
    cfg.key = vec![9; 32];
    let mut bad = start_with_config(cfg);
    bad.adopt(9, b"forged").await;
    bad.wait_for_event(|e| matches!(e, Event::Joined { .. }))
        .await;
    assert_still_serves(&mut node).await;
    while let Ok(event) = node.rx.try_recv() {
        assert!(!matches!(event, Event::Document { revision: 9, .. }));
        let Event::Peers(list) = event else { continue };
        assert!(list.iter().all(|p| p.host != "bad"), "{list:?}");
    }
}

#[test]
fn a_short_key_is_refused_by_the_settings_check() {
    let mut cfg = mesh_config("a", "hall-1", &[]);
    cfg.key = vec![1; 31];
    let message = cfg
        .check()
        .expect_err("a key of 31 bytes is too short")
        .to_string();
    assert_eq!(
        message,
        "mesh setting `key`: the key must have at least 32 bytes, chosen at random"
    );
}

#[tokio::test]
async fn garbage_instead_of_a_hello_is_refused() {
    let mut node = start("good", "hall-1", &[]).await;
    for garbage in [vec![], vec![0xff; 100], b"hello".to_vec(), vec![0x9f; 3000]] {
        let mut socket = connect_websocket(node.address).await;
        socket
            .send(Message::Binary(garbage.into()))
            .await
            .expect("the connection is open");
        wait_for_close(&mut socket).await;
    }
    let mut socket = connect_websocket(node.address).await;
    socket
        .send(Message::Text("hello".into()))
        .await
        .expect("the connection is open");
    wait_for_close(&mut socket).await;
    assert_still_serves(&mut node).await;
}

#[tokio::test]
async fn a_request_that_is_no_websocket_upgrade_is_refused() {
    let mut node = start("good", "hall-1", &[]).await;
    let mut stream = TcpStream::connect(node.address)
        .await
        .expect("the node listens");
    stream
        .write_all(b"GET / HTTP/1.1\r\n\r\n")
        .await
        .expect("the connection is open");
    let mut buf = Vec::new();
    let _ = timeout(CLOSE_TIMEOUT, stream.read_to_end(&mut buf))
        .await
        .expect("the node closes the connection in time");
    assert_still_serves(&mut node).await;
}

/// A hello of megabytes would cost memory before the peer is authenticated.
#[tokio::test]
async fn an_oversize_hello_is_refused() {
    let mut node = start("good", "hall-1", &[]).await;
    for size in [5000, MAX_FRAME_BYTES + 100, 4 * 1024 * 1024] {
        let mut socket = connect_websocket(node.address).await;
        let _ = socket.send(Message::Binary(vec![0; size].into())).await;
        wait_for_close(&mut socket).await;
    }
    assert_still_serves(&mut node).await;
}

/// A connection on which the peer sends no hello must not stay open for ever.
#[tokio::test]
async fn a_silent_connection_is_closed() {
    let mut node = start("good", "hall-1", &[]).await;
    let mut sockets = Vec::new();
    for _ in 0..20 {
        sockets.push(connect_websocket(node.address).await);
    }
    for socket in &mut sockets {
        wait_for_close(socket).await;
    }
    assert_still_serves(&mut node).await;
}

/// What a relay between two nodes does with the bytes that the dialer sends.
#[derive(Clone, Copy, PartialEq)]
enum RelayMode {
    /// Forward unchanged.
    Pass,
    /// Flip one bit in the last byte of each chunk.
    Corrupt,
    /// Stop reading and leave the connection open.
    Stall,
}

/// Starts a TCP relay to the node at `to` and returns the relay's address and its mode.
async fn start_relay(to: SocketAddr) -> (SocketAddr, watch::Sender<RelayMode>) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free port can be bound");
    let address = listener.local_addr().expect("the socket is bound");
    let (tx, mode) = watch::channel(RelayMode::Pass);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(relay_connection(stream, to, mode.clone()));
        }
    });
    (address, tx)
}

async fn relay_connection(client: TcpStream, to: SocketAddr, mut mode: watch::Receiver<RelayMode>) {
    let Ok(server) = TcpStream::connect(to).await else {
        return;
    };
    let (mut client_rx, mut client_tx) = client.into_split();
    let (mut server_rx, mut server_tx) = server.into_split();
    tokio::spawn(async move { copy(&mut server_rx, &mut client_tx).await });
    let mut buf = [0; 4096];
    loop {
        if *mode.borrow() == RelayMode::Stall {
            let _ = mode.wait_for(|m| *m != RelayMode::Stall).await;
            return;
        }
        let n = tokio::select! {
            n = client_rx.read(&mut buf) => n.unwrap_or(0),
            _ = mode.changed() => continue,
        };
        if n == 0 {
            return;
        }
        if *mode.borrow() == RelayMode::Corrupt {
            buf[n - 1] ^= 1;
        }
        if server_tx.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}

/// Starts two nodes that reach each other only through a relay: the first advertises the relay's
/// address instead of its own, and the second advertises one that can't be dialed.
async fn start_pair_through_relay() -> (Node, Node, watch::Sender<RelayMode>) {
    let hidden = mesh_config("hidden", "hall-1", &[]);
    let (address, mode) = start_relay(hidden.advertise).await;
    let mut hidden = hidden;
    hidden.advertise = address;
    let mut dialer = mesh_config("a-dialer", "hall-2", &[address]);
    // No process listens on this address, so only this node dials.
    dialer.advertise = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut nodes = (start_with_config(hidden), start_with_config(dialer));
    wait_until_alive(&mut nodes.0, "a-dialer").await;
    wait_until_alive(&mut nodes.1, "hidden").await;
    (nodes.0, nodes.1, mode)
}

/// An attacker between two nodes changes frames. The receiver must detect that and apply none of
/// them; the configuration arrives over a new connection.
#[tokio::test]
async fn a_tampered_frame_is_not_applied() {
    let (mut hidden, dialer, mode) = start_pair_through_relay().await;
    mode.send_replace(RelayMode::Corrupt);
    dialer.adopt(6, b"true text").await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    mode.send_replace(RelayMode::Pass);
    assert_eq!(hidden.wait_for_document(6).await, &b"true text"[..]);
}

/// A peer stops reading and leaves the connection open, as a suspended process does. Frames for it
/// must not pile up, and the link must be re-established once it reads again.
#[tokio::test]
async fn a_peer_that_stops_reading_is_dropped_and_reconnects() {
    let (mut hidden, mut dialer, mode) = start_pair_through_relay().await;
    mode.send_replace(RelayMode::Stall);
    for id in 0..4000u128 {
        let (reply, _) = tokio::sync::oneshot::channel();
        let record = bytes::Bytes::from(vec![1; 8000]);
        let hold = oatdale_mesh::Command::Hold { id, record, reply };
        dialer
            .tx
            .send(hold)
            .await
            .expect("the mesh task is running");
        while dialer.rx.try_recv().is_ok() {}
    }
    let suspected = |e: &Event| match e {
        Event::Peers(list) => list.iter().any(|p| p.state == PeerState::Suspect),
        _ => false,
    };
    hidden.wait_for_event(suspected).await;
    mode.send_replace(RelayMode::Pass);
    dialer.adopt(7, b"text").await;
    assert_eq!(hidden.wait_for_document(7).await, &b"text"[..]);
    wait_until_alive(&mut dialer, "hidden").await;
}
