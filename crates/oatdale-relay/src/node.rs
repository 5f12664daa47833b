//! A relay as a whole: its listeners, its news and its end.

use crate::crashes;
use crate::cx::Cx;
use crate::error::{ListenSnafu, MetricsSnafu, Result};
use crate::front::{self, Stop};
use crate::gossip::{self, REPORT_EVERY};
use crate::local::serve_local;
use crate::metrics::Metrics;
use crate::peers;
use crate::settings::Settings;
use crate::update::{Command, Link, Update};
use crate::wire::Wire;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(200);

/// The part of the time for a stop in which requests are still taken: callers keep addresses for
/// a while, and what they send last needs time to be answered.
const STILL_TAKES: f64 = 0.6;

/// Time before the end of a stop at which what is still under way is given up.
const LAST: Duration = Duration::from_millis(400);

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// A running relay.
pub struct Relay<W> {
    cx: Arc<Cx<W>>,
    commands: mpsc::Sender<Command>,
    stop: watch::Sender<Stop>,
}

impl<W: Wire> Relay<W> {
    /// Starts a relay on the current runtime.
    ///
    /// # Errors
    ///
    /// One of its addresses can't be listened on.
    pub async fn start(settings: Settings, wire: W, link: Link) -> Result<Self> {
        let Link {
            updates,
            commands,
            records,
        } = link;
        let listen = settings.listen.clone();
        let metrics = Metrics::new().context(MetricsSnafu)?;
        let (stop, stopped) = watch::channel(Stop::Open);
        let callers = bind(listen.callers)?;
        let socket = UdpSocket::bind(listen.nodes)
            .await
            .context(ListenSnafu { addr: listen.nodes })?;
        let cx = Arc::new(Cx::new(wire, settings, metrics, socket));
        for addr in [listen.readiness, listen.addresses, listen.metrics] {
            tokio::spawn(serve_local(cx.clone(), bind(addr)?));
        }
        tokio::spawn(peers::serve(cx.clone(), records, bind(listen.state)?));
        tokio::spawn(peers::follow(cx.clone()));
        tokio::spawn(front::accept(cx.clone(), callers, stopped));
        tokio::spawn(gossip::listen(cx.clone()));
        tokio::spawn(gossip::share_loads(cx.clone()));
        tokio::spawn(take_updates(cx.clone(), updates));
        tokio::spawn(tick(cx.clone(), commands.clone()));
        log::info!(
            target: "node",
            "event=started host={} domain={} callers={}",
            cx.settings.host, cx.settings.failure_domain, listen.callers
        );
        Ok(Relay { cx, commands, stop })
    }

    /// Stops in order: leaves the addresses that callers are told, goes on for as long as they
    /// may keep them, and ends what is under way.
    pub async fn stop(&self) {
        let began = Instant::now();
        let time = self.cx.state().bounds.stop();
        log::info!(target: "node", "event=stopping under_way={}", self.under_way());
        self.cx.state().stopping = Some(began);
        if self.commands.send(Command::Leave).await.is_err() {
            log::warn!(target: "node", "event=leave_not_sent reason=\"the adapter has ended\"");
        }
        gossip::leave(&self.cx).await;
        tokio::time::sleep_until(began + time.mul_f64(STILL_TAKES)).await;
        self.stop.send_replace(Stop::Closing);
        let end = began + time.saturating_sub(LAST);
        while self.under_way() > 0 && Instant::now() < end {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        log::info!(target: "node", "event=stopped under_way={}", self.under_way());
    }

    /// Takes in changed settings and says whether some of them need a restart: addresses do.
    pub fn reload(&mut self, settings: &Settings) -> bool {
        let needs_restart = Settings {
            bounds: settings.bounds,
            ..self.cx.settings.clone()
        } != *settings;
        self.cx.state().bounds = settings.bounds;
        needs_restart
    }

    fn under_way(&self) -> i64 {
        self.cx.metrics.under_way.get()
    }
}

async fn take_updates<W: Wire>(cx: Arc<Cx<W>>, mut updates: mpsc::Receiver<Update>) {
    while let Some(update) = updates.recv().await {
        cx.update(update);
    }
    log::warn!(target: "node", "event=no_more_news reason=\"the adapter has ended\"");
}

async fn tick<W: Wire>(cx: Arc<Cx<W>>, commands: mpsc::Sender<Command>) {
    let mut reported = Instant::now();
    loop {
        tokio::time::sleep(TICK).await;
        let has_news = cx.state().roll_outs.take_news();
        if has_news || reported.elapsed() >= REPORT_EVERY {
            reported = Instant::now();
            gossip::report(&cx).await;
        }
        for command in due(&cx) {
            log::info!(target: "node", "event=write {command:?}");
            if commands.try_send(command).is_err() {
                log::warn!(target: "node", "event=write_postponed reason=\"adapter is busy\"");
            }
        }
    }
}

fn due<W: Wire>(cx: &Cx<W>) -> Vec<Command> {
    let now = cx.now();
    let mut guard = cx.state();
    let state = &mut *guard;
    let session = Duration::from_secs_f64(state.bounds.session_s);
    state.directory.tick(now);
    state.roll_outs.forget_sessions(now, session);
    state.roll_outs.follow_rates(now, state.bounds.exposure());
    let own = cx.settings.host.as_str();
    let rank = state
        .nodes
        .iter(now)
        .filter(|n| n.host.as_str() < own)
        .count();
    let directory = &state.directory;
    let ends = state.roll_outs.due(now, rank, |service, target| {
        directory.has_other_work(service, target)
    });
    let ends = ends.into_iter().map(|(roll_out, end)| Command::EndRollOut {
        service: roll_out.service,
        target: roll_out.target,
        end,
    });
    ends.chain(crashes::due(state, now)).collect()
}

fn bind(addr: SocketAddr) -> Result<TcpListener> {
    let open = || {
        let socket = TcpSocket::new_v4()?;
        // A node that is started again takes its port although old connections linger there.
        socket.set_reuseaddr(true)?;
        socket.bind(addr)?;
        socket.listen(BACKLOG)
    };
    open().context(ListenSnafu { addr })
}
