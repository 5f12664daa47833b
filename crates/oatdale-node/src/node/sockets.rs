//! The sockets of a node, bound before any duty starts, so that a taken address is an error at once.

use crate::error::{ListenSnafu, Result};
use crate::front;
use oatdale_config::NodeSettings;
use snafu::ResultExt;
use socket2::Socket;
use std::net::{SocketAddr, TcpListener};

/// Front threads at most; entry hosts are small.
const MAX_FRONTS: usize = 4;

/// The addresses that a node got.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Bound {
    /// For callers.
    pub callers: SocketAddr,
    /// For other nodes.
    pub nodes: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
}

/// Sockets that are bound before any duty starts, so that a taken address is an error at once.
pub(super) struct Sockets {
    pub(super) fronts: Vec<Socket>,
    pub(super) nodes: TcpListener,
    pub(super) admin: TcpListener,
    pub(super) bound: Bound,
}

/// Binds all addresses of the settings.
pub(super) fn bind(settings: &NodeSettings) -> Result<Sockets> {
    let listen = settings.listen;
    let context = |addr| ListenSnafu { addr };
    let first = front::bind(listen.callers).context(context(listen.callers))?;
    let callers = front::local_addr(&first).context(context(listen.callers))?;
    let mut fronts = vec![first];
    for _ in 1..front_threads() {
        let shared = fronts[0].try_clone().context(context(callers))?;
        fronts.push(shared);
    }
    let nodes = TcpListener::bind(listen.nodes).context(context(listen.nodes))?;
    let admin = TcpListener::bind(listen.admin).context(context(listen.admin))?;
    admin.set_nonblocking(true).context(context(listen.admin))?;
    let bound = Bound {
        callers,
        nodes: nodes.local_addr().context(context(listen.nodes))?,
        admin: admin.local_addr().context(context(listen.admin))?,
    };
    Ok(Sockets {
        fronts,
        nodes,
        admin,
        bound,
    })
}

fn front_threads() -> usize {
    std::thread::available_parallelism().map_or(1, |cores| cores.get().min(MAX_FRONTS))
}

/// A port 0 in what the node tells others stands for the port that it got.
pub(super) fn advertised(addr: SocketAddr, bound: SocketAddr) -> SocketAddr {
    match addr.port() {
        0 => SocketAddr::new(addr.ip(), bound.port()),
        _ => addr,
    }
}
