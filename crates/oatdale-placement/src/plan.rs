//! What each engine should hold and what to order next: pure.

use oatdale_config::{Config, EndpointKey, PoolKey, Revision, VersionState};
use oatdale_platform::wire::{Held, Order, Role};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// What one engine should hold.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct DesiredState {
    /// The engine.
    pub endpoint: EndpointKey,
    /// Its name in the text.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Full names of its versions, sorted.
    pub versions: BTreeSet<String>,
    /// Its role.
    pub role: Role,
}

/// Why an order is sent.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum OrderReason {
    /// The engine was last ordered under an older lease; from now on it refuses that one's orders,
    /// if it checks.
    Adopt,
    /// It lacks a version.
    Missing,
    /// It holds a version that it should not.
    Surplus,
    /// It has another role.
    Role,
}

/// What to do about one engine.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Step {
    /// Send this order.
    Send(Order, OrderReason),
    /// It is as it should be, or on its way there.
    UpToDate,
    /// It needs a version, but as many engines load as may at once.
    WaitForLoadSlot,
    /// It follows a newer configuration than this node has.
    NewerRevision(u64),
    /// It follows a newer lease: this one is over.
    NewerLease(u64),
}

/// The engines of a pool and what the text wants of them; empty for plain pools.
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

/// Decides about each engine that answered. At most `loads` engines load at once, since the weight
/// store is rate limited and a loading engine serves less.
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
