//! Everything that duties share while a node is put together, and how each duty is started.

use crate::admin::{self, Admin};
use crate::adopt;
use crate::append::{self, AppendHandle, Appenders};
use crate::bill::{self, BillHandle};
use crate::cx::{OwnView, Shared, wall_clock};
use crate::duty::spawn;
use crate::error::Result;
use crate::front::{self, Phase};
use crate::hosts;
use crate::live::Live;
use crate::logging::Dropped;
use crate::member;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::node::sockets::{Bound, Sockets, advertised};
use crate::pins::PinCache;
use crate::place;
use crate::rate::{self, RateHandle};
use crate::route::{self, Report, RouteHandle};
use crate::session::Sealer;
use crate::stops::{self, Informed, StopList};
use log::{info, warn};
use oatdale_config::{NodeSettings, Secret};
use oatdale_journal::{JournalHandle, Preferred, Settings as JournalSettings, journal};
use oatdale_mesh::{Command, Intervals, Listen, MeshConfig, PeerView};

use oatdale_platform::{
    ConfigStore, EngineClient, HostListClient, HttpKv, HttpKvConfig, PlainClient, Pool,
    RatingClient,
};
use oatdale_policy::NodeIdentity;
use socket2::Socket;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

/// Messages that may wait between two duties.
const WAITING: usize = 256;

/// How long one call to the key-value service may take.
const KV_TIMEOUT: Duration = Duration::from_secs(2);

/// Everything that duties share while a node is put together.
pub(super) struct Parts {
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
    pub(super) intervals: Intervals,
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
    pub(super) fn new(
        settings: NodeSettings,
        key: Secret,
        bound: Bound,
        dropped: Dropped,
    ) -> Parts {
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

    pub(super) fn start(self, sockets: Sockets) -> Result<Node> {
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
        let identity = NodeIdentity {
            domain: None,
            seed: self.own.incarnation,
        };
        let (route, duty) = route::channel(route::Links {
            live: self.live.subscribe().into(),
            reports: self.reports.clone(),
            stops: notices,
            metrics: self.metrics.clone(),
            domain: self.settings.domain.clone(),
            identity,
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
            live: self.live.subscribe().into(),
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
            live: self.live.subscribe().into(),
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
            live: self.live.subscribe().into(),
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
            live: self.live.subscribe().into(),
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
            caller_address: self.own.caller,
            seeds: self.settings.peers.clone(),
            key: self.key.expose().to_vec(),
            holder_count: self.settings.bill_holders,
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
            domain: self.settings.domain.clone(),
            events,
            commands,
            documents,
            live: self.live.subscribe().into(),
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
            live: self.live.subscribe().into(),
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
