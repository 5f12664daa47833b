//! Small stand-ins for the platform and the endpoints, with failure switches.

mod kv;

pub use crate::kv::{
    Counters as KvCounters, Fault as KvFault, Faults as KvFaults, Limits as KvLimits, MAX_VALUE,
    MemKv,
};
