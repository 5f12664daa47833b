//! Puts a node together: binds its addresses, starts its duties, stops it in order.

use crate::admin::{self, Admin};
use crate::adopt;
use crate::append::{self, AppendHandle, Appenders};
use crate::bill::{self, BillHandle};
use crate::cx::{OwnView, Shared, wall_clock};
use crate::duty::spawn;
use crate::error::{KeySnafu, ListenSnafu, ReadSnafu, Result};
use crate::front::{self, Phase};
use crate::hosts;
use crate::live::Live;
use crate::logging::Dropped;
use crate::member;
use crate::metrics::Metrics;
use crate::pins::PinCache;
use crate::place;
use crate::rate::{self, RateHandle};
use crate::route::{self, Report, RouteHandle};
use crate::session::Sealer;
use crate::stops::{self, Informed, StopList};
use log::{info, warn};
use oatdale_config::{MeshKey, NodeSettings, Secret};
use oatdale_journal::{JournalHandle, Preferred, Settings as JournalSettings, journal};
use oatdale_mesh::{Command, Intervals, Listen, MeshConfig, PeerView};

use oatdale_platform::{
    ConfigStore, EngineClient, HostListClient, HttpKv, HttpKvConfig, PlainClient, Pool,
    RatingClient,
};
use oatdale_policy::Place;
use snafu::ResultExt;
use socket2::Socket;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::task::TaskTracker;

/// Front threads at most; entry hosts are small.
const MAX_FRONTS: usize = 4;

/// Messages that may wait between two duties.
const WAITING: usize = 256;

/// How long one call to the key-value service may take.
const KV_TIMEOUT: Duration = Duration::from_secs(2);

/// Beyond an address's lifetime: an answer that named this node may have been on its way to its
/// caller when the stop began, and lifetimes are told in whole seconds.
const KEEP_GRACE: Duration = Duration::from_secs(1);

/// How long a planned stop waits for bills to reach the journal before other nodes, which hold
/// them, take over.
const BILL_WAIT: Duration = Duration::from_secs(10);

/// How long a planned stop waits for the mesh to hand over what this node holds.
const LEAVE_WAIT: Duration = Duration::from_secs(5);

/// A running node.
pub struct Node {
    settings: Arc<NodeSettings>,
    addresses: Bound,
    phase: watch::Sender<Phase>,
    stop: watch::Sender<bool>,
    superseded: watch::Receiver<bool>,
    listening: watch::Receiver<usize>,
    bills: BillHandle,
    mesh: mpsc::Sender<Command>,
    fronts: Vec<JoinHandle<()>>,
    member: JoinHandle<()>,
}

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
struct Sockets {
    fronts: Vec<Socket>,
    nodes: TcpListener,
    admin: TcpListener,
    bound: Bound,
}

impl Node {
    /// Starts a node. It takes callers once it has a configuration.
    ///
    /// # Errors
    ///
    /// Fails if an address is taken, the shared key can't be read or a thread can't be started.
    pub fn start(settings: NodeSettings, dropped: Dropped) -> Result<Node> {
        Node::start_with(settings, dropped, Intervals::default())
    }

    /// Starts a node whose mesh has other timers than the usual ones.
    ///
    /// # Errors
    ///
    /// As [`Node::start`].
    pub fn start_with(
        settings: NodeSettings,
        dropped: Dropped,
        intervals: Intervals,
    ) -> Result<Node> {
        let key = mesh_key(&settings)?;
        let sockets = bind(&settings)?;
        let mut parts = Parts::new(settings, key, sockets.bound, dropped);
        parts.intervals = intervals;
        parts.start(sockets)
    }

    /// The addresses that the node got.
    pub fn addresses(&self) -> Bound {
        self.addresses
    }

    /// Waits until the node has a configuration and takes callers, or until `limit`; tells whether
    /// it does.
    pub async fn ready(&self, limit: Duration) -> bool {
        let mut listening = self.listening.clone();
        let fronts = self.fronts.len();
        let ready = listening.wait_for(|count| *count == fronts);
        matches!(timeout(limit, ready).await, Ok(Ok(_)))
    }

    /// Returns once another process runs under this node's name and started later.
    pub async fn superseded(&self) {
        let mut superseded = self.superseded.clone();
        let _ = superseded.wait_for(|by| *by).await;
    }

    /// Stops in order: out of the addresses first, then no new connections, then the last bills.
    ///
    /// Callers may keep an address for its lifetime, so the node goes on accepting for that long.
    /// Cutting this short would refuse callers who did nothing wrong.
    pub async fn stop(self) {
        let keep = self.settings.address_lifetime + KEEP_GRACE;
        info!(target: "node", "event=leaving keep_accepting_ms={}", keep.as_millis());
        self.phase.send_replace(Phase::Leaving);
        sleep(keep).await;
        self.close().await;
    }

    /// Stops without the time for callers' kept addresses, for a node that another one replaced.
    pub async fn close(self) {
        self.phase.send_replace(Phase::Closing);
        join(self.fronts).await;
        if timeout(BILL_WAIT, self.bills.drained()).await.is_err() {
            let open = self.bills.open_count();
            warn!(target: "node", "event=bills_left open={open}");
        }
        // If the mesh has ended there is nobody to tell.
        let _ = self.mesh.send(Command::Leave).await;
        if timeout(LEAVE_WAIT, join(vec![self.member])).await.is_err() {
            warn!(target: "node", "event=leave_unfinished");
        }
        self.stop.send_replace(true);
        info!(target: "node", "event=stopped");
    }
}

/// Waits for threads without holding up the runtime.
async fn join(threads: Vec<JoinHandle<()>>) {
    for thread in threads {
        // A duty that panics ends the process before this.
        let _ = tokio::task::spawn_blocking(move || thread.join()).await;
    }
}

fn mesh_key(settings: &NodeSettings) -> Result<Secret> {
    let path = match &settings.mesh_key {
        MeshKey::Inline(secret) => return Ok(secret.clone()),
        MeshKey::File(path) => path,
    };
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).context(ReadSnafu { path: name.clone() })?;
    match Secret::from_hex(&text) {
        Some(secret) => Ok(secret),
        None => KeySnafu { path: name }.fail(),
    }
}

fn bind(settings: &NodeSettings) -> Result<Sockets> {
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
fn advertised(addr: SocketAddr, bound: SocketAddr) -> SocketAddr {
    match addr.port() {
        0 => SocketAddr::new(addr.ip(), bound.port()),
        _ => addr,
    }
}

/// Everything that duties share while a node is put together.
struct Parts {
    settings: Arc<NodeSettings>,
    key: Secret,
    own: OwnView,
    bound: Bound,
    metrics: Metrics,
    dropped: Dropped,
    kv: HttpKv,
    stops: StopList,
    live: watch::Sender<Arc<Live>>,
    heard: watch::Sender<Instant>,
    phase: watch::Sender<Phase>,
    listening: watch::Sender<usize>,
    informed: watch::Sender<Informed>,
    stop: watch::Sender<bool>,
    peers: watch::Sender<Arc<Vec<PeerView>>>,
    service_up: watch::Sender<Option<bool>>,
    watches: watch::Sender<bool>,
    superseded: watch::Sender<bool>,
    preferred: watch::Sender<Preferred>,
    appenders: watch::Sender<Appenders>,
    reports: watch::Sender<Report>,
    intervals: Intervals,
}

/// Handles that the duties of requests share.
#[derive(Clone)]
struct Handles {
    route: RouteHandle,
    journal: JournalHandle,
    append: AppendHandle,
    bills: BillHandle,
    rate: RateHandle,
}

impl Parts {
    fn new(settings: NodeSettings, key: Secret, bound: Bound, dropped: Dropped) -> Parts {
        let reports = watch::Sender::new(Report::default());
        let own = OwnView {
            incarnation: oatdale_mesh::new_incarnation(),
            caller: advertised(settings.advertise.callers, bound.callers),
            report: reports.subscribe(),
        };
        let kv = HttpKv::new(HttpKvConfig {
            addresses: vec![settings.platform.key_value],
            timeout: KV_TIMEOUT,
        });
        Parts {
            settings: Arc::new(settings),
            key,
            own,
            bound,
            metrics: Metrics::new(),
            dropped,
            kv,
            stops: StopList::default(),
            live: watch::Sender::new(Live::none()),
            heard: watch::Sender::new(Instant::now()),
            phase: watch::Sender::new(Phase::Serving),
            listening: watch::Sender::new(0),
            informed: watch::Sender::new(Informed::No),
            stop: watch::Sender::new(false),
            peers: watch::Sender::new(Arc::default()),
            service_up: watch::Sender::new(None),
            watches: watch::Sender::new(true),
            superseded: watch::Sender::new(false),
            preferred: watch::Sender::new(Preferred::default()),
            appenders: watch::Sender::new(Appenders::default()),
            reports,
            intervals: Intervals::default(),
        }
    }

    fn start(self, sockets: Sockets) -> Result<Node> {
        let (mesh, mesh_rx) = mpsc::channel(WAITING);
        let (events_tx, events) = mpsc::channel(WAITING);
        let (documents_tx, documents) = mpsc::channel(WAITING);
        let (notices_tx, notices) = mpsc::channel(WAITING);
        let handles = self.start_request_duties(notices_tx, &mesh)?;
        self.start_admin(sockets.admin)?;
        self.start_config(documents)?;
        self.start_stops(notices, &handles)?;
        self.start_hosts(&mesh, &handles)?;
        self.start_placement()?;
        self.start_mesh(sockets.nodes, mesh_rx, events_tx)?;
        let member = self.start_member(events, mesh.clone(), documents_tx, &handles)?;
        let fronts = self.start_fronts(sockets.fronts, &handles)?;
        info!(
            target: "node",
            "event=started host={:?} domain={:?} incarnation={} callers={} nodes={} admin={}",
            self.settings.host,
            self.settings.domain,
            self.own.incarnation,
            self.bound.callers,
            self.bound.nodes,
            self.bound.admin
        );
        Ok(Node {
            addresses: self.bound,
            superseded: self.superseded.subscribe(),
            listening: self.listening.subscribe(),
            bills: handles.bills,
            settings: self.settings,
            phase: self.phase,
            stop: self.stop,
            mesh,
            fronts,
            member,
        })
    }

    fn start_request_duties(
        &self,
        notices: mpsc::Sender<route::StopNotice>,
        mesh: &mpsc::Sender<Command>,
    ) -> Result<Handles> {
        let place = Place {
            domain: None,
            seed: self.own.incarnation,
        };
        let (route, duty) = route::channel(route::Links {
            live: self.live.subscribe(),
            reports: self.reports.clone(),
            stops: notices,
            metrics: self.metrics.clone(),
            domain: self.settings.domain.clone(),
            place,
        });
        spawn("route", move || route::run(duty))?;
        let journal = self.start_journal()?;
        let (append, duty) = append::channel(
            journal.clone(),
            mesh.clone(),
            self.appenders.subscribe(),
            self.metrics.clone(),
            self.stop.subscribe(),
        );
        spawn("append", move || append::run(duty))?;
        let (bills, duty) = bill::channel(
            append.clone(),
            mesh.clone(),
            self.metrics.clone(),
            self.stop.subscribe(),
        );
        spawn("bill", move || bill::run(duty))?;
        let client = self
            .settings
            .platform
            .ratings
            .map(|addr| RatingClient::new(Pool::default(), addr));
        let (rate, duty) = rate::channel(client, route.clone(), self.metrics.clone());
        if let Some(duty) = duty {
            spawn("rate", move || rate::run(duty))?;
        }
        Ok(Handles {
            route,
            journal,
            append,
            bills,
            rate,
        })
    }

    fn start_journal(&self) -> Result<JournalHandle> {
        let mut settings = JournalSettings::new(self.own.incarnation);
        settings.meta.shards = self.settings.journal_shards;
        let (handle, duty) = journal(
            self.kv.clone(),
            settings,
            Arc::new(wall_clock),
            self.preferred.subscribe(),
        );
        spawn("journal", move || oatdale_journal::run(duty))?;
        Ok(handle)
    }

    fn start_admin(&self, listener: TcpListener) -> Result<()> {
        let admin = Admin {
            settings: self.settings.clone(),
            live: self.live.subscribe(),
            heard: self.heard.subscribe(),
            phase: self.phase.subscribe(),
            listening: self.listening.subscribe(),
            peers: self.peers.subscribe(),
            service_up: self.service_up.subscribe(),
            own: self.own.clone(),
            stops: self.stops.clone(),
            metrics: self.metrics.clone(),
            dropped: self.dropped.clone(),
        };
        let stop = self.stop.subscribe();
        spawn("admin", move || admin::run(listener, admin, stop)).map(drop)
    }

    fn start_config(&self, documents: mpsc::Receiver<bytes::Bytes>) -> Result<()> {
        let duty = adopt::Duty {
            store: ConfigStore::new(self.kv.clone()),
            documents,
            watches: self.watches.subscribe(),
            live: self.live.clone(),
            heard: self.heard.clone(),
            service_up: self.service_up.clone(),
            metrics: self.metrics.clone(),
            stop: self.stop.subscribe(),
        };
        spawn("config", move || adopt::run(duty)).map(drop)
    }

    fn start_stops(
        &self,
        notices: mpsc::Receiver<route::StopNotice>,
        handles: &Handles,
    ) -> Result<()> {
        let duty = stops::Duty {
            kv: self.kv.clone(),
            notices,
            list: self.stops.clone(),
            live: self.live.subscribe(),
            route: handles.route.clone(),
            informed: self.informed.clone(),
            stop: self.stop.subscribe(),
        };
        spawn("stops", move || stops::run(duty)).map(drop)
    }

    fn start_hosts(&self, mesh: &mpsc::Sender<Command>, handles: &Handles) -> Result<()> {
        let duty = hosts::Duty {
            list: self
                .settings
                .platform
                .host_list
                .map(|addr| HostListClient::new(Pool::default(), addr)),
            engines: EngineClient::default(),
            live: self.live.subscribe(),
            route: handles.route.clone(),
            mesh: mesh.clone(),
            metrics: self.metrics.clone(),
            stop: self.stop.subscribe(),
        };
        spawn("hosts", move || hosts::run(duty)).map(drop)
    }

    fn start_placement(&self) -> Result<()> {
        let duty = place::Duty {
            host: self.settings.host.clone(),
            incarnation: self.own.incarnation,
            kv: self.kv.clone(),
            engines: EngineClient::default(),
            live: self.live.subscribe(),
            peers: self.peers.subscribe(),
            stop: self.stop.subscribe(),
        };
        spawn("place", move || place::run(duty)).map(drop)
    }

    fn start_mesh(
        &self,
        listener: TcpListener,
        rx: mpsc::Receiver<Command>,
        tx: mpsc::Sender<oatdale_mesh::Event>,
    ) -> Result<()> {
        let cfg = MeshConfig {
            host: self.settings.host.clone(),
            domain: self.settings.domain.clone(),
            region: self.settings.region.clone(),
            incarnation: self.own.incarnation,
            listen: Listen::Bound(listener),
            advertise: advertised(self.settings.advertise.nodes, self.bound.nodes),
            caller: self.own.caller,
            seeds: self.settings.peers.clone(),
            key: self.key.expose().to_vec(),
            holders: self.settings.bill_holders,
            intervals: self.intervals,
        };
        let run = move || async move {
            if let Err(err) = oatdale_mesh::run(cfg, rx, tx).await {
                warn!(target: "mesh", "event=failed error={:?}", err.to_string());
            }
        };
        spawn("mesh", run).map(drop)
    }

    fn start_member(
        &self,
        events: mpsc::Receiver<oatdale_mesh::Event>,
        commands: mpsc::Sender<Command>,
        documents: mpsc::Sender<bytes::Bytes>,
        handles: &Handles,
    ) -> Result<JoinHandle<()>> {
        let duty = member::Duty {
            host: self.settings.host.clone(),
            events,
            commands,
            documents,
            live: self.live.subscribe(),
            heard: self.heard.clone(),
            service_up: self.service_up.subscribe(),
            watches: self.watches.clone(),
            peers: self.peers.clone(),
            preferred: self.preferred.clone(),
            appenders: self.appenders.clone(),
            reports: self.reports.subscribe(),
            stops: self.stops.clone(),
            informed: self.informed.clone(),
            phase: self.phase.subscribe(),
            listening: self.listening.subscribe(),
            superseded: self.superseded.clone(),
            route: handles.route.clone(),
            journal: handles.journal.clone(),
            bills: handles.bills.clone(),
            append: handles.append.clone(),
            metrics: self.metrics.clone(),
        };
        spawn("member", move || member::run(duty))
    }

    fn start_fronts(&self, sockets: Vec<Socket>, handles: &Handles) -> Result<Vec<JoinHandle<()>>> {
        sockets
            .into_iter()
            .map(|socket| self.start_front(socket, handles))
            .collect()
    }

    fn start_front(&self, socket: Socket, handles: &Handles) -> Result<JoinHandle<()>> {
        let pool = Pool::default();
        let cx = Arc::new(Shared {
            settings: self.settings.clone(),
            live: self.live.subscribe(),
            phase: self.phase.subscribe(),
            listening: self.listening.clone(),
            informed: self.informed.subscribe(),
            heard: self.heard.subscribe(),
            peers: self.peers.subscribe(),
            own: self.own.clone(),
            pins: PinCache::default(),
            route: handles.route.clone(),
            journal: handles.append.clone(),
            bills: handles.bills.clone(),
            rate: handles.rate.clone(),
            sealer: Sealer::new(self.key.expose()),
            metrics: self.metrics.clone(),
            engines: EngineClient::new(pool.clone()),
            plain: PlainClient::new(pool),
            tasks: TaskTracker::new(),
        });
        spawn("front", move || front::run(socket, cx))
    }
}
