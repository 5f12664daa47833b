//! Whether a node can open connections to the endpoints of a service.
//!
//! A failed connection looks the same whether the endpoint or the node's own link has failed. After
//! a failure, the node therefore tries to connect to a few endpoints of the service. The service
//! counts as unreachable from the node when none of them accepts, until one does.

use std::time::Duration;

/// Endpoints of a service that one check tries. All of three rarely fail together while the
/// service still has others.
pub const CHECKED_ENDPOINTS: usize = 3;

/// Minimum time from one check of a service to the next: failures come in bursts, and each check
/// opens connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// What a check could connect to.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CheckOutcome {
    /// An endpoint of the service, or there was none to try.
    Service,
    /// Only endpoints of other services.
    OtherServices,
    /// No endpoint at all.
    Nothing,
}

impl CheckOutcome {
    /// Whether a failed connection to one of a service's `endpoints` is the endpoint's fault. Where
    /// the service has others, at least one of them has to accept connections from this node: the
    /// links to a single service can be cut too.
    pub fn shows_endpoint_fault(self, endpoints: usize) -> bool {
        match self {
            CheckOutcome::Service => true,
            CheckOutcome::OtherServices => endpoints <= 1,
            CheckOutcome::Nothing => false,
        }
    }
}

/// What a check changed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReachChange {
    /// Nothing.
    None,
    /// The service has become unreachable.
    Lost,
    /// The service can be reached again.
    Regained,
}

/// Progress of the checks of a service.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
enum Progress {
    #[default]
    Idle,
    /// A check starts after the interval.
    Scheduled,
    Running,
}

/// Whether a node can reach a service.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    progress: Progress,
    last_check: Option<Duration>,
    last_outcome: Option<CheckOutcome>,
}

impl Reachability {
    /// Schedules a check after a failure, and returns the delay before it is to be started. `None`
    /// if one is scheduled or running.
    pub fn schedule(&mut self, now: Duration) -> Option<Duration> {
        if self.progress != Progress::Idle {
            return None;
        }
        let next = self.last_check.map_or(now, |last| last + CHECK_INTERVAL);
        let delay = next.saturating_sub(now);
        self.progress = match delay.is_zero() {
            true => Progress::Running,
            false => Progress::Scheduled,
        };
        Some(delay)
    }

    /// Records that a scheduled check begins.
    pub fn start(&mut self) {
        self.progress = Progress::Running;
    }

    /// Records the outcome of a check. While the service is unreachable, the next check is to be
    /// scheduled at once.
    pub fn finish(&mut self, now: Duration, outcome: CheckOutcome) -> ReachChange {
        let was_unreachable = self.is_unreachable();
        self.progress = Progress::Idle;
        self.last_check = Some(now);
        self.last_outcome = Some(outcome);
        match (was_unreachable, self.is_unreachable()) {
            (false, true) => ReachChange::Lost,
            (true, false) => ReachChange::Regained,
            _ => ReachChange::None,
        }
    }

    /// Whether the result of a check is due shortly.
    pub fn is_checking(&self) -> bool {
        self.progress == Progress::Running
    }

    /// Whether no endpoint of the service accepted a connection at the last check.
    pub fn is_unreachable(&self) -> bool {
        self.last_outcome
            .is_some_and(|outcome| outcome != CheckOutcome::Service)
    }
}
