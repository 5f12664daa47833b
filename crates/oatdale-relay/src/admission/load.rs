//! The load of all nodes at a service, and how fast it grows.

use crate::cx::Cx;
use crate::state::ServiceUsage;
use crate::wire::Wire;
use oatdale_policy::relay::{LoadGrowth, SpareCapacity};
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Load of a service for which recent sums are known.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) struct SummedLoad {
    usage: ServiceUsage,
    spare: SpareCapacity,
    /// Fraction of the load that was added in the time by which the sums lag.
    pub(crate) growth: f64,
    /// Age of the oldest sum.
    pub(crate) sums_age: Duration,
}

/// Growth of the load of each service.
#[derive(Default)]
pub(crate) struct ServiceLoads(Mutex<HashMap<String, LoadGrowth>>);

impl ServiceLoads {
    /// Returns the load of a service; `None` if no recent sum has any of its endpoints.
    pub(crate) fn get<W: Wire>(&self, cx: &Cx<W>, service: &str) -> Option<SummedLoad> {
        let now = cx.now();
        let usage = cx.state().service_usage(now, service);
        let sums = usage.sums?;
        let mut services = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let growth = match services.get_mut(service) {
            Some(growth) => growth,
            None => services.entry(service.to_owned()).or_default(),
        };
        Some(SummedLoad {
            usage,
            spare: SpareCapacity {
                load: usage.spare_slots,
                hosts: usage.nodes,
                summed_until: sums.summed_until,
            },
            growth: growth.record(now, usage.used),
            sums_age: now.saturating_sub(sums.received_at),
        })
    }
}

impl SummedLoad {
    /// Load as a fraction of the capacity.
    pub(crate) fn utilization(&self) -> f64 {
        self.usage.utilization()
    }

    /// Load that the endpoints can take in addition, and the nodes that share it.
    pub(crate) fn spare(&self) -> SpareCapacity {
        self.spare
    }
}
