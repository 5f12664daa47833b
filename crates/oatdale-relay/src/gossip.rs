//! Datagrams by which nodes add up what they saw of a roll-out.
//!
//! A lost datagram is made up for by the next one: each has the sender's counts since the order.

use crate::cx::Cx;
use crate::roll_outs::{JUDGES, Report};
use crate::wire::Wire;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Time between two reports while a roll-out is under way: a bad version is noticed by all within
/// it, and a site of ten nodes sends some two hundred datagrams a second.
pub(crate) const REPORT_EVERY: Duration = Duration::from_millis(400);

/// The longest datagram that passes every network whole.
const MAX_DATAGRAM: usize = 1_200;

/// Takes in other nodes' reports.
pub(crate) async fn listen<W: Wire>(cx: Arc<Cx<W>>, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, from)) => take(&cx, &buf[..len], from),
            Err(err) => {
                log::debug!(target: "gossip", "event=receive_failed err={err}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

fn take<W: Wire>(cx: &Cx<W>, datagram: &[u8], from: SocketAddr) {
    match ciborium::from_reader::<Report, _>(datagram) {
        Ok(report) => {
            let now = cx.now();
            cx.state().roll_outs.heard(now, &report);
        }
        Err(err) => log::warn!(target: "gossip", "event=bad_datagram from={from} err={err}"),
    }
}

/// Tells other nodes of the roll-outs under way.
///
/// All tell the first nodes by name, which judge; these tell all, so that the number of datagrams
/// grows with the number of nodes and not with its square.
pub(crate) async fn report<W: Wire>(cx: &Cx<W>, socket: &UdpSocket) {
    for (datagram, to) in datagrams(cx) {
        if let Err(err) = socket.send_to(&datagram, to).await {
            log::debug!(target: "gossip", "event=send_failed to={to} err={err}");
        }
    }
}

fn datagrams<W: Wire>(cx: &Cx<W>) -> Vec<(Vec<u8>, SocketAddr)> {
    let now = cx.now();
    let state = cx.state();
    let host = &cx.settings.host;
    let reports = state.roll_outs.reports(now, host, |service, target| {
        state.has_other_work(service, target)
    });
    let mut nodes: Vec<_> = state.nodes.iter(now).collect();
    nodes.sort_by(|a, b| a.host.cmp(&b.host));
    let judges = nodes.iter().take(JUDGES).any(|n| n.host == *host);
    let reach = if judges { nodes.len() } else { JUDGES };
    let others: Vec<_> = nodes
        .iter()
        .take(reach)
        .filter(|n| n.host != *host)
        .collect();
    let mut out = Vec::new();
    for report in &reports {
        let mut datagram = Vec::new();
        match ciborium::into_writer(report, &mut datagram) {
            Ok(()) => out.extend(others.iter().map(|n| (datagram.clone(), n.nodes))),
            Err(err) => log::warn!(target: "gossip", "event=encode_failed err={err}"),
        }
    }
    out
}
