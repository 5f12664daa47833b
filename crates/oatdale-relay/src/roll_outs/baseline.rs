//! Baseline durations of responses, from which slow ones are detected.
//!
//! A node with few requests for a service has no baseline of its own for a long time. Nodes therefore
//! state the medians of their samples to each other while a rollout is in progress.

use oatdale_policy::relay::{BaselineTime, MedianTime};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;

/// A class of responses, or of pauses between events, with comparable durations.
pub type LatencyClass = u64;

/// Maximum number of medians that one node states, and that are kept of one node.
const MAX_STATED: usize = 8;

/// Upper bound of the weight of one node's median.
const MAX_STATED_SAMPLES: u32 = 31;

/// A node's median in a latency class: the class, the number of samples, and the median in microseconds.
/// Encoded without field names so that several fit into a datagram.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct StatedMedian(LatencyClass, u32, u32);

/// Baseline durations by latency class.
#[derive(Debug, Default)]
pub(super) struct BaselineTimes {
    by_class: HashMap<LatencyClass, Baseline>,
    /// Medians that other nodes stated, by the node's host name.
    stated: HashMap<String, Vec<StatedMedian>>,
}

/// Baseline of one class.
#[derive(Debug, Default)]
struct Baseline {
    times: BaselineTime,
    /// The service of the last sample.
    service: String,
}

impl BaselineTimes {
    pub(super) fn record(&mut self, service: &str, class: LatencyClass, time: Duration) {
        let baseline = self.by_class.entry(class).or_default();
        baseline.times.record(time);
        if baseline.service != service {
            service.clone_into(&mut baseline.service);
        }
    }

    /// Returns the duration above which a sample counts as slow, if this node or all nodes together have a
    /// baseline.
    pub(super) fn slow_threshold(&self, class: LatencyClass) -> Option<Duration> {
        let own = self.by_class.get(&class).and_then(|b| b.times.median());
        let own_threshold = own.and_then(MedianTime::slow_threshold);
        own_threshold.or_else(|| self.combined(class)?.slow_threshold())
    }

    /// Returns the median that all nodes together have, if it is known well enough.
    pub(super) fn usual(&self, class: LatencyClass) -> Option<Duration> {
        let combined = self.combined(class)?;
        combined.slow_threshold().map(|_| combined.median)
    }

    fn combined(&self, class: LatencyClass) -> Option<MedianTime> {
        let own = self.by_class.get(&class).and_then(|b| b.times.median());
        let stated = self.stated.values().flatten();
        let stated = stated
            .filter(|m| m.0 == class)
            .map(|m| MedianTime::from(*m));
        MedianTime::combined(stated.chain(own))
    }

    /// Returns the medians of a service to state to other nodes.
    pub(super) fn to_state(&self, service: &str) -> Vec<StatedMedian> {
        let of_service = self.by_class.iter().filter(|(_, b)| b.service == service);
        let medians = of_service.filter_map(|(class, b)| Some(stated(*class, b.times.median()?)));
        let mut medians: Vec<_> = medians.collect();
        medians.sort_unstable_by_key(|m| (std::cmp::Reverse(m.1), m.0));
        medians.truncate(MAX_STATED);
        medians
    }

    /// Replaces the medians that another node has stated.
    pub(super) fn handle_stated(&mut self, host: &str, medians: &[StatedMedian]) {
        if medians.is_empty() {
            self.stated.remove(host);
            return;
        }
        let medians = medians.iter().take(MAX_STATED).filter(|m| m.1 > 0);
        self.stated
            .insert(host.to_owned(), medians.copied().collect());
    }

    /// Drops what other nodes have stated.
    pub(super) fn forget_stated(&mut self) {
        self.stated.clear();
    }
}

fn stated(class: LatencyClass, median: MedianTime) -> StatedMedian {
    let micros = u32::try_from(median.median.as_micros()).unwrap_or(u32::MAX);
    StatedMedian(class, median.samples, micros)
}

impl From<StatedMedian> for MedianTime {
    fn from(StatedMedian(_, samples, micros): StatedMedian) -> Self {
        MedianTime {
            median: Duration::from_micros(micros.into()),
            samples: samples.min(MAX_STATED_SAMPLES),
        }
    }
}
