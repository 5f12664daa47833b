//! Counters and summaries of failure domains.

use crate::types::HostId;

/// A fraction of a limit in units of 1/10,000; saturates at about 6.5 times the limit.
#[derive(Clone, Copy, PartialEq, Eq, Debug, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub(crate) struct Fraction(u16);

impl From<f32> for Fraction {
    fn from(part: f32) -> Self {
        // The cast saturates and maps NaN to 0.
        Fraction((part * 10_000.0).round() as u16)
    }
}

impl From<Fraction> for f32 {
    fn from(part: Fraction) -> Self {
        f32::from(part.0) / 10_000.0
    }
}

/// Counters of one process.
#[derive(Clone, PartialEq, Eq, Debug, serde::Serialize, serde::Deserialize)]
#[serde(from = "HostCountersWire", into = "HostCountersWire")]
pub(crate) struct HostCounters {
    pub(crate) host: HostId,
    pub(crate) incarnation: u64,
    /// Counters by version.
    pub(crate) counts: Vec<(u32, Vec<u64>)>,
}

type HostCountersWire = (HostId, u64, Vec<(u32, Vec<u64>)>);
tuple_conversions!(HostCounters { host: HostId, incarnation: u64, counts: Vec<(u32, Vec<u64>)> });

/// A summary of a failure domain, created by one of its nodes and relayed within another domain.
#[derive(Clone, PartialEq, Debug, serde::Serialize, serde::Deserialize)]
#[serde(from = "ReportWire", into = "ReportWire")]
pub(crate) struct Report {
    /// [`name_hash`](crate::name_hash) of the failure domain.
    pub(crate) domain: u32,
    /// Highest revision in force in the domain.
    pub(crate) revision: u64,
    /// Hosts of the domain.
    pub(crate) members: Vec<ReportMember>,
    /// By customer: demand on the hosts that the reporter hears from, and the share reserved for
    /// the other hosts.
    pub(crate) demand: Vec<(u32, Fraction, Fraction)>,
    /// Counter sums over the hosts that changed since the last report of this reporter.
    pub(crate) counts: Vec<(u32, Vec<u64>)>,
}

type ReportWire = (
    u32,
    u64,
    Vec<ReportMember>,
    Vec<(u32, Fraction, Fraction)>,
    Vec<(u32, Vec<u64>)>,
);
tuple_conversions!(Report {
    domain: u32,
    revision: u64,
    members: Vec<ReportMember>,
    demand: Vec<(u32, Fraction, Fraction)>,
    counts: Vec<(u32, Vec<u64>)>,
});

/// A host in a summary.
#[derive(Clone, Copy, PartialEq, Eq, Debug, serde::Serialize, serde::Deserialize)]
#[serde(from = "(u32, u8, u8, u64)", into = "(u32, u8, u8, u64)")]
pub(crate) struct ReportMember {
    /// See [`HostId::short_id`].
    pub(crate) short_id: u32,
    pub(crate) flags: u8,
    pub(crate) load: u8,
    /// Number of revisions that the host is behind the report's revision.
    pub(crate) behind: u64,
}
tuple_conversions!(ReportMember {
    short_id: u32,
    flags: u8,
    load: u8,
    behind: u64
});
