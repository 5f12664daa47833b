//! The mesh task over real sockets on the loopback interface.

#[path = "support/sockets.rs"]
mod sockets;

use oatdale_mesh::{Command, Event, PeerState};
use sockets::{Node, start, start_three_nodes};

#[tokio::test]
async fn a_document_reaches_every_node() {
    let mut nodes = start_three_nodes().await;
    nodes[0].adopt(7, b"services: []\n").await;
    for node in &mut nodes[1..] {
        assert_eq!(node.wait_for_document(7).await, &b"services: []\n"[..]);
    }
}

#[tokio::test]
async fn peers_see_each_other_and_a_node_that_leaves() {
    let mut nodes = start_three_nodes().await;
    for node in &mut nodes {
        node.wait_for_event(|e| matches!(e, Event::Peers(p) if p.len() == 2))
            .await;
    }
    let mut leaving_node: Node = nodes.pop().expect("three nodes were started");
    leaving_node
        .tx
        .send(Command::Leave)
        .await
        .expect("the mesh task is running");
    leaving_node
        .wait_for_event(|e| *e == Event::LeaveDone)
        .await;
    let sees_left = |e: &Event| match e {
        Event::Peers(p) => p.iter().any(|p| p.state == PeerState::Left),
        _ => false,
    };
    nodes[0].wait_for_event(sees_left).await;
}

#[tokio::test]
async fn a_held_record_is_confirmed_by_two_nodes() {
    let nodes = start_three_nodes().await;
    let ack = nodes[0].hold_until_confirmed(2, 9, b"bill").await;
    assert_eq!((ack.copies, ack.requested), (2, 2));
}

#[tokio::test]
async fn a_node_without_peers_joins_after_the_join_timeout() {
    let mut node = start("alone", "hall-1", &[]).await;
    node.wait_for_event(|e| *e == Event::WatchKey(true)).await;
    node.wait_for_event(|e| *e == Event::Joined { answers: 0 })
        .await;
}
