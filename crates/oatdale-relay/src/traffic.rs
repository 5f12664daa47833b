//! Counters of the messages that a node exchanges with other nodes and with the key-value service.

use prometheus::core::Collector;
use prometheus::{IntCounterVec, Opts};
use std::fmt;

/// Numbers and bytes of messages by kind, for the metrics and a periodic log line.
///
/// The kinds are `sent_` and `received_` with a datagram's kind, `records_served` and
/// `records_fetched` between nodes, and `call_` with the path of a call to the key-value service.
#[derive(Clone, Debug)]
pub struct Traffic {
    messages: IntCounterVec,
    bytes: IntCounterVec,
}

impl Traffic {
    /// Counts a message.
    pub fn count(&self, kind: &str, bytes: usize) {
        self.messages.with_label_values(&[kind]).inc();
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.bytes.with_label_values(&[kind]).inc_by(bytes);
    }

    pub(crate) fn collectors(&self) -> [Box<dyn Collector>; 2] {
        [
            Box::new(self.messages.clone()),
            Box::new(self.bytes.clone()),
        ]
    }
}

impl Default for Traffic {
    fn default() -> Self {
        let vec = |name: &str, help: &str| {
            let vec = IntCounterVec::new(Opts::new(name, help), &["kind"]);
            vec.expect("the name and the label are valid")
        };
        Traffic {
            messages: vec(
                "messages_total",
                "Messages to and from nodes and the service",
            ),
            bytes: vec("message_bytes_total", "Bytes of these messages"),
        }
    }
}

/// Writes `kind=messages/bytes` for each kind, separated by spaces.
impl fmt::Display for Traffic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for family in self.messages.collect() {
            for metric in family.get_metric() {
                let kind = metric.get_label()[0].value();
                let messages = self.messages.with_label_values(&[kind]).get();
                let bytes = self.bytes.with_label_values(&[kind]).get();
                write!(f, "{separator}{kind}={messages}/{bytes}")?;
                separator = " ";
            }
        }
        Ok(())
    }
}
