//! Nodes that run the mesh task over loopback sockets.
#![allow(dead_code)]

use bytes::Bytes;
use oatdale_mesh::{Command, Event, HoldAck, Intervals, Listen, MeshConfig, run};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Time after which a test that hangs fails; nothing else depends on it.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

pub(crate) const MESH_KEY: [u8; 32] = [7; 32];

/// A running mesh task and its channels.
pub(crate) struct Node {
    pub(crate) address: SocketAddr,
    pub(crate) tx: mpsc::Sender<Command>,
    pub(crate) rx: mpsc::Receiver<Event>,
    pub(crate) task: JoinHandle<()>,
}

pub(crate) fn mesh_config(host: &str, domain: &str, seeds: &[SocketAddr]) -> MeshConfig {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a free port can be bound");
    let address = socket.local_addr().expect("the socket is bound");
    MeshConfig {
        host: host.to_owned(),
        domain: domain.to_owned(),
        region: "south".to_owned(),
        incarnation: 1000,
        listen: Listen::Bound(socket),
        advertise: address,
        caller_address: address,
        seeds: seeds.to_vec(),
        key: MESH_KEY.to_vec(),
        holder_count: 2,
        intervals: Intervals {
            heartbeat: Duration::from_millis(100),
            suspect_after: Duration::from_millis(1500),
            ..Intervals::default()
        },
    }
}

pub(crate) fn start_with_config(cfg: MeshConfig) -> Node {
    let address = cfg.advertise;
    let (tx, commands) = mpsc::channel(64);
    let (events, rx) = mpsc::channel(64);
    let task = tokio::spawn(async move {
        run(cfg, commands, events)
            .await
            .expect("the mesh task ends without an error");
    });
    Node {
        address,
        tx,
        rx,
        task,
    }
}

pub(crate) async fn start(host: &str, domain: &str, seeds: &[SocketAddr]) -> Node {
    start_with_config(mesh_config(host, domain, seeds))
}

/// Starts three nodes in different failure domains that find each other.
pub(crate) async fn start_three_nodes() -> Vec<Node> {
    let a = start("a", "hall-1", &[]).await;
    let b = start("b", "hall-2", &[a.address]).await;
    let c = start("c", "hall-3", &[a.address]).await;
    vec![a, b, c]
}

impl Node {
    /// Skips events until one matches, and returns it.
    pub(crate) async fn wait_for_event(&mut self, pred: impl Fn(&Event) -> bool) -> Event {
        let matching_event = async {
            loop {
                let event = self.rx.recv().await.expect("the mesh task is running");
                if pred(&event) {
                    return event;
                }
            }
        };
        timeout(TEST_TIMEOUT, matching_event)
            .await
            .expect("the event arrives in time")
    }

    pub(crate) async fn adopt(&self, revision: u64, text: &'static [u8]) {
        let document = Bytes::from_static(text);
        self.tx
            .send(Command::ConfigInForce { revision, document })
            .await
            .expect("the mesh task is running");
    }

    /// Waits for a document of at least `min_revision` and returns its text.
    pub(crate) async fn wait_for_document(&mut self, min_revision: u64) -> Bytes {
        let found = self
            .wait_for_event(
                |e| matches!(e, Event::Document { revision, .. } if *revision >= min_revision),
            )
            .await;
        let Event::Document { document, .. } = found else {
            unreachable!()
        };
        document
    }

    pub(crate) async fn hold(&self, id: u128, record: &'static [u8]) -> HoldAck {
        let (reply, ack) = oneshot::channel();
        let record = Bytes::from_static(record);
        self.tx
            .send(Command::Hold { id, record, reply })
            .await
            .expect("the mesh task is running");
        timeout(TEST_TIMEOUT, ack)
            .await
            .expect("the hold is answered in time")
            .expect("the mesh task sends the answer")
    }

    /// Repeats a hold until `copies` nodes have confirmed it, which fails until peers have joined.
    pub(crate) async fn hold_until_confirmed(
        &self,
        copies: u8,
        id: u128,
        record: &'static [u8],
    ) -> HoldAck {
        loop {
            let ack = self.hold(id, record).await;
            if ack.copies >= copies {
                return ack;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}
