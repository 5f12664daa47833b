//! Computes the desired state of each engine and the next order to send, without I/O.

use oatdale_config::{Config, EndpointKey, PoolKey, Revision, VersionState};
use oatdale_platform::wire::{Held, Order, Role};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The desired state of an engine.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct DesiredState {
    /// Key of the engine.
    pub endpoint: EndpointKey,
    /// Name of the engine in the configuration.
    pub name: String,
    /// Address on which the engine listens.
    pub address: SocketAddr,
    /// Full names of the versions that the engine should hold, sorted.
    pub versions: BTreeSet<String>,
    /// Role that the engine should have.
    pub role: Role,
}

/// The reason for an order.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum OrderReason {
    /// The engine's last order was sent under an older lease. After this order it refuses orders of
    /// the older lease, if it checks fencing numbers.
    Adopt,
    /// The engine lacks a version.
    Missing,
    /// The engine holds a version that it should not hold.
    Surplus,
    /// The engine has another role.
    Role,
}

/// The next step for an engine.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Step {
    /// Send this order.
    Send(Order, OrderReason),
    /// The engine has the desired state or is loading the missing versions.
    UpToDate,
    /// The engine needs a version, but the maximum number of engines is already loading.
    WaitForLoadSlot,
    /// The engine was ordered under a newer configuration revision than this node has.
    NewerRevision(u64),
    /// The engine was ordered under a newer lease, so this one has expired.
    NewerLease(u64),
}

/// Returns the desired state of each engine of a pool. For plain pools the sets of versions are
/// empty, since endpoints of plain services hold none.
pub fn desired_states(cfg: &Config, pool: PoolKey) -> Vec<DesiredState> {
    let endpoints = cfg.pools[pool].endpoints.iter();
    endpoints.map(|key| desired_state(cfg, *key)).collect()
}

fn desired_state(cfg: &Config, key: EndpointKey) -> DesiredState {
    let endpoint = &cfg.endpoints[key];
    let in_use = |v: &&_| cfg.versions[**v].state != VersionState::Withdrawn;
    let versions = endpoint.versions.iter().filter(in_use);
    DesiredState {
        endpoint: key,
        name: endpoint.name.clone(),
        address: endpoint.address,
        versions: versions.map(|v| cfg.version_name(*v)).collect(),
        role: Role::default(),
    }
}

/// Returns the next step for each engine that responded. At most `max_loading` engines load at
/// once, since the weight store is rate limited and a loading engine has less serving capacity.
pub fn plan(
    engines: &[(DesiredState, Held)],
    fencing: u64,
    revision: Revision,
    max_loading: usize,
) -> Vec<Step> {
    let loading = engines.iter().filter(|(_, held)| !held.loading.is_empty());
    let mut free_load_slots = max_loading.saturating_sub(loading.count());
    engines
        .iter()
        .map(|(desired, held)| step(desired, held, fencing, revision, &mut free_load_slots))
        .collect()
}

fn step(
    desired: &DesiredState,
    held: &Held,
    fencing: u64,
    revision: Revision,
    free_load_slots: &mut usize,
) -> Step {
    if held.fencing > fencing {
        return Step::NewerLease(held.fencing);
    }
    if held.revision > revision.0 {
        return Step::NewerRevision(held.revision);
    }
    let present: BTreeSet<&str> = as_strs(&held.versions)
        .chain(as_strs(&held.loading))
        .collect();
    let missing = desired
        .versions
        .iter()
        .any(|v| !present.contains(v.as_str()));
    let surplus = present.iter().any(|v| !desired.versions.contains(*v));
    let reason = match () {
        () if missing => OrderReason::Missing,
        () if surplus => OrderReason::Surplus,
        () if held.role != desired.role => OrderReason::Role,
        () if held.fencing < fencing => OrderReason::Adopt,
        () => return Step::UpToDate,
    };
    let needs_load_slot = missing && held.loading.is_empty();
    if needs_load_slot && *free_load_slots == 0 {
        return Step::WaitForLoadSlot;
    }
    *free_load_slots -= usize::from(needs_load_slot);
    let order = Order {
        fencing,
        revision: revision.0,
        versions: desired.versions.iter().cloned().collect(),
        role: desired.role,
    };
    Step::Send(order, reason)
}

fn as_strs(versions: &[String]) -> impl Iterator<Item = &str> {
    versions.iter().map(String::as_str)
}
