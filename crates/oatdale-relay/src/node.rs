//! The relay node: start-up, platform updates, periodic tasks and shutdown.

use crate::crashes;
use crate::cx::Cx;
use crate::error::{ListenSnafu, MetricsSnafu, Result};
use crate::front::{self, ShutdownPhase};
use crate::gossip::{self, REPORT_INTERVAL};
use crate::local::serve_status;
use crate::metrics::Metrics;
use crate::peers;
use crate::permits;
use crate::settings::Settings;
use crate::speeds;
use crate::update::{Command, Link, Update};
use crate::wire::Wire;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior};

/// Interval of the periodic tasks.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between two log lines with the counts of messages.
const TRAFFIC_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Fraction of the shutdown time during which new requests are accepted: callers cache addresses
/// for a while, and their last requests need time to complete.
const ACCEPT_FRACTION: f64 = 0.6;

/// Time before the end of the shutdown at which remaining in-flight requests are abandoned.
pub(crate) const ABANDON_MARGIN: Duration = Duration::from_millis(400);

/// Interval in which a node that stops looks whether requests are in flight.
const IN_FLIGHT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time for the responses to abandoned requests to be written; a part of the margin above, which has to
/// suffice for the end of the process too.
const FINAL_ANSWER_TIME: Duration = Duration::from_millis(200);

/// Maximum number of connections waiting to be accepted.
const BACKLOG: u32 = 1_024;

/// A running relay.
pub struct Relay<W> {
    cx: Arc<Cx<W>>,
    commands: mpsc::Sender<Command>,
    shutdown: watch::Sender<ShutdownPhase>,
}

impl<W: Wire> Relay<W> {
    /// Starts a relay on the current runtime.
    ///
    /// # Errors
    ///
    /// The relay cannot listen on one of its addresses.
    pub async fn start(settings: Settings, wire: W, link: Link) -> Result<Self> {
        let Link {
            updates,
            commands,
            records,
            traffic,
        } = link;
        let listen = settings.listen.clone();
        let metrics = Metrics::new(traffic).context(MetricsSnafu)?;
        let (shutdown, shutdown_rx) = watch::channel(ShutdownPhase::Open);
        let callers = bind(listen.callers)?;
        let socket = UdpSocket::bind(listen.nodes)
            .await
            .context(ListenSnafu { addr: listen.nodes })?;
        let cx = Arc::new(Cx::new(wire, settings, metrics, socket));
        for addr in [listen.readiness, listen.addresses, listen.metrics] {
            tokio::spawn(serve_status(cx.clone(), bind(addr)?));
        }
        tokio::spawn(peers::serve(cx.clone(), records, bind(listen.state)?));
        tokio::spawn(peers::poll_while_store_unavailable(cx.clone()));
        tokio::spawn(front::accept(cx.clone(), callers, shutdown_rx));
        tokio::spawn(gossip::listen(cx.clone()));
        tokio::spawn(gossip::run_load_exchange(cx.clone()));
        tokio::spawn(permits::run_reports(cx.clone()));
        if cx.settings.load_control.endpoint_speeds {
            tokio::spawn(speeds::run_exchange(cx.clone()));
        }
        tokio::spawn(apply_updates(cx.clone(), updates));
        tokio::spawn(tick(cx.clone(), commands.clone()));
        log::info!(
            target: "node",
            "event=started host={} domain={} callers={}",
            cx.settings.host, cx.settings.failure_domain, listen.callers
        );
        Ok(Relay {
            cx,
            commands,
            shutdown,
        })
    }

    /// Shuts down gracefully: removes the node from the addresses given to callers, keeps serving
    /// for as long as callers may cache them, and drains in-flight requests.
    pub async fn stop(&self) {
        let stop_began = Instant::now();
        let stop_time = self.cx.state().bounds.stop_time();
        log::info!(target: "node", "event=stopping under_way={}", self.in_flight());
        self.cx.state().stopping = Some(stop_began);
        if self.commands.send(Command::Deregister).await.is_err() {
            log::warn!(target: "node", "event=deregistration_not_sent reason=\"platform adapter has stopped\"");
        }
        gossip::announce_leaving(&self.cx).await;
        tokio::time::sleep_until(stop_began + stop_time.mul_f64(ACCEPT_FRACTION)).await;
        self.shutdown.send_replace(ShutdownPhase::Closing);
        let deadline = stop_began + stop_time.saturating_sub(ABANDON_MARGIN);
        self.wait_until_written(deadline).await;
        let abandoned = self.in_flight();
        self.cx.abandoned.cancel();
        self.wait_until_written(deadline + FINAL_ANSWER_TIME).await;
        log::info!(target: "node", "event=stopped under_way={} abandoned={abandoned}", self.in_flight());
    }

    /// Applies changed bounds, and returns whether other settings changed, such as addresses, which
    /// take effect only after a restart.
    pub fn reload(&mut self, settings: &Settings) -> bool {
        let needs_restart = Settings {
            bounds: settings.bounds,
            ..self.cx.settings.clone()
        } != *settings;
        self.cx.state().bounds = settings.bounds;
        needs_restart
    }

    /// Waits until the responses to all requests have been written and all callers' connections have ended, or until
    /// `deadline`.
    async fn wait_until_written(&self, deadline: Instant) {
        // Each caller's connection has a receiver, and so has the listener.
        let is_done = || self.in_flight() == 0 && self.shutdown.receiver_count() == 0;
        while !is_done() && Instant::now() < deadline {
            tokio::time::sleep(IN_FLIGHT_POLL_INTERVAL).await;
        }
    }

    fn in_flight(&self) -> i64 {
        self.cx.metrics.in_flight.get()
    }
}

async fn apply_updates<W: Wire>(cx: Arc<Cx<W>>, mut updates: mpsc::Receiver<Update>) {
    while let Some(update) = updates.recv().await {
        cx.update(update);
    }
    log::warn!(target: "node", "event=updates_ended reason=\"platform adapter has stopped\"");
}

async fn tick<W: Wire>(cx: Arc<Cx<W>>, commands: mpsc::Sender<Command>) {
    let mut last_report = Instant::now();
    let mut last_counts = Instant::now();
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    interval.tick().await;
    loop {
        tokio::select! {
            _ = interval.tick() => {}
            () = cx.records_due.notified() => {
                let due = crashes::due_commands(&cx, &mut cx.state(), cx.now());
                send_commands(&commands, due);
                continue;
            }
        }
        if last_counts.elapsed() >= TRAFFIC_LOG_INTERVAL {
            last_counts = Instant::now();
            log::info!(target: "node", "event=traffic {}", cx.metrics.traffic);
        }
        let has_new_order = cx.state().roll_outs.take_new_order();
        if has_new_order || last_report.elapsed() >= REPORT_INTERVAL {
            last_report = Instant::now();
            gossip::report_roll_outs(&cx).await;
        }
        send_commands(&commands, due_commands(&cx));
    }
}

fn send_commands(commands: &mpsc::Sender<Command>, due: Vec<Command>) {
    for command in due {
        log::info!(target: "node", "event=write {command:?}");
        if commands.try_send(command).is_err() {
            log::warn!(target: "node", "event=write_postponed reason=\"platform adapter is busy\"");
        }
    }
}

fn due_commands<W: Wire>(cx: &Cx<W>) -> Vec<Command> {
    let now = cx.now();
    let mut guard = cx.state();
    let state = &mut *guard;
    let session_ttl = Duration::from_secs_f64(state.bounds.session_s);
    state.directory.tick(now);
    state.roll_outs.expire_sessions(now, session_ttl);
    state
        .roll_outs
        .update_rates(now, state.bounds.exposure_limit());
    let own_host = cx.settings.host.as_str();
    let rank = state
        .nodes
        .iter(now)
        .filter(|n| n.host.as_str() < own_host)
        .count();
    let directory = &state.directory;
    let ends = state.roll_outs.due_ends(now, rank, |service, target| {
        directory.has_other_work(service, target)
    });
    let ends = ends.into_iter().map(|(roll_out, end)| Command::EndRollOut {
        service: roll_out.service,
        target: roll_out.target,
        end,
    });
    ends.chain(crashes::due_commands(cx, state, now)).collect()
}

fn bind(addr: SocketAddr) -> Result<TcpListener> {
    let open = || {
        let socket = TcpSocket::new_v4()?;
        // Lets a restarted node bind its port while old connections linger on it.
        socket.set_reuseaddr(true)?;
        socket.bind(addr)?;
        socket.listen(BACKLOG)
    };
    open().context(ListenSnafu { addr })
}
