//! Requests that one endpoint holds, counted by an issuer of permits from the reports of the nodes.
//!
//! Each node reports how many requests it has at the endpoint, not how that number changes: a lost
//! report is made up for by the next one. Permits that the node did not know yet when it made its report
//! are added.

use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which the requests of a node that reports nothing count as ended: it was killed, or cut
/// off. Nodes with requests at the endpoint report several times within it.
const REPORT_VALIDITY: Duration = Duration::from_secs(3);

/// Time after which a permit that no report mentions counts as unused.
const PERMIT_VALIDITY: Duration = Duration::from_millis(1_500);

/// A node's requests at an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct HeldReport {
    /// Requests that it has there.
    pub in_flight: u32,
    /// Highest number of the requests for a permit that had been answered by then.
    pub answered: u32,
    /// Requests that the endpoint has rejected since it became known to the node.
    pub rejected: u32,
    /// Time since the last rejected one was sent, if it was lately.
    pub rejected_after: Option<Duration>,
}

/// Requests that one endpoint holds, by the node of type `N` that sent them.
#[derive(Clone, Debug)]
pub struct HeldRequests<N> {
    nodes: BTreeMap<N, HeldByNode>,
}

#[derive(Clone, Debug)]
struct HeldByNode {
    report: HeldReport,
    reported_at: Duration,
    /// Numbers of the requests for the permits that were granted since, and when.
    granted: Vec<(u32, Duration)>,
}

impl<N> Default for HeldRequests<N> {
    fn default() -> Self {
        HeldRequests {
            nodes: BTreeMap::new(),
        }
    }
}

impl<N: Ord> HeldRequests<N> {
    /// Records a node's report, and returns how many rejections it reports that are new.
    pub fn record_report(&mut self, now: Duration, node: N, report: HeldReport) -> u32 {
        let known = self.nodes.get_mut(&node);
        let Some(known) = known.filter(|k| now < k.reported_at + REPORT_VALIDITY) else {
            let held = HeldByNode {
                report,
                reported_at: now,
                granted: Vec::new(),
            };
            self.nodes.insert(node, held);
            return u32::from(report.rejected_after.is_some());
        };
        let new = report.rejected.saturating_sub(known.report.rejected);
        known.report = report;
        known.reported_at = now;
        known.granted.retain(|(ask, _)| *ask > report.answered);
        new
    }

    /// Records that a permit was granted to a node that had reported; `ask` is the number of its
    /// request.
    pub fn record_granted(&mut self, now: Duration, node: &N, ask: u32) {
        if let Some(known) = self.nodes.get_mut(node) {
            known.granted.push((ask, now));
        }
    }

    /// Returns how many requests the endpoint holds.
    pub fn total(&mut self, now: Duration) -> u32 {
        self.nodes.retain(|_, held| {
            held.granted.retain(|(_, at)| now < *at + PERMIT_VALIDITY);
            now < held.reported_at + REPORT_VALIDITY
        });
        let by_node = self.nodes.values().map(|held| {
            let granted = u32::try_from(held.granted.len()).unwrap_or(u32::MAX);
            held.report.in_flight.saturating_add(granted)
        });
        by_node.fold(0, u32::saturating_add)
    }
}
