//! What every request on a front thread needs.

use crate::append::AppendHandle;
use crate::bill::BillHandle;
use crate::front::Phase;
use crate::latest::Latest;
use crate::live::Live;
use crate::metrics::Metrics;
use crate::pins::PinCache;
use crate::rate::RateHandle;
use crate::route::{Report, RouteHandle};
use crate::session::Sealer;
use crate::stops::Informed;
use oatdale_config::NodeSettings;
use oatdale_journal::Millis;
use oatdale_mesh::{PeerState, PeerView};
use oatdale_platform::{EngineClient, PlainClient};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

/// What every request on one front thread shares.
pub(crate) type Cx = Arc<Shared>;

/// Handles to the other duties, and clients whose connections live on this thread.
pub(crate) struct Shared {
    pub(crate) settings: Arc<NodeSettings>,
    pub(crate) live: Latest<Live>,
    pub(crate) phase: watch::Receiver<Phase>,
    /// How much is known of the stops of bad versions.
    pub(crate) informed: watch::Receiver<Informed>,
    /// Front threads that accept connections.
    pub(crate) listening: watch::Sender<usize>,
    /// When this node last heard that its configuration is the newest.
    pub(crate) heard: watch::Receiver<Instant>,
    pub(crate) peers: watch::Receiver<Arc<Vec<PeerView>>>,
    pub(crate) own: OwnView,
    pub(crate) pins: PinCache,
    pub(crate) route: RouteHandle,
    pub(crate) journal: AppendHandle,
    pub(crate) bills: BillHandle,
    pub(crate) rate: RateHandle,
    pub(crate) sealer: Sealer,
    pub(crate) metrics: Metrics,
    pub(crate) engines: EngineClient,
    pub(crate) plain: PlainClient,
    pub(crate) tasks: TaskTracker,
}

/// What a node tells of itself.
#[derive(Clone)]
pub(crate) struct OwnView {
    pub(crate) incarnation: u64,
    pub(crate) caller: SocketAddr,
    pub(crate) report: watch::Receiver<Report>,
}

impl Shared {
    /// The configuration in force.
    pub(crate) fn live(&self) -> Arc<Live> {
        self.live.get()
    }

    /// This node as others see it, for lists of addresses.
    pub(crate) fn own_view(&self) -> PeerView {
        PeerView {
            host: self.settings.host.clone(),
            domain: self.settings.domain.clone(),
            region: self.settings.region.clone(),
            incarnation: self.own.incarnation,
            caller_address: self.own.caller,
            accepting: *self.phase.borrow() == Phase::Serving,
            load: self.own.report.borrow().load,
            revision: self.live().revision.0,
            revision_age: self.heard.borrow().elapsed(),
            state: PeerState::Alive,
        }
    }
}

/// The wall clock, for records that people and other hosts read.
pub(crate) fn wall_clock() -> Millis {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Millis(u64::try_from(now.as_millis()).unwrap_or(u64::MAX))
}
