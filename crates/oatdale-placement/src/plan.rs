//! What each engine should hold and what to order next: pure.

use oatdale_config::{Config, EndpointKey, PoolKey, Revision, VersionState};
use oatdale_platform::wire::{Held, Order, Role};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// What one engine should hold.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Wanted {
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
pub enum Why {
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
    Send(Order, Why),
    /// It is as it should be, or on its way there.
    Settled,
    /// It needs a version, but as many engines load as may at once.
    WaitForRoom,
    /// It follows a newer configuration than this node has.
    NewerRevision(u64),
    /// It follows a newer lease: this one is over.
    NewerLease(u64),
}

/// The engines of a pool and what the text wants of them; empty for plain pools.
pub fn wanted(cfg: &Config, pool: PoolKey) -> Vec<Wanted> {
    let endpoints = cfg.pools[pool].endpoints.iter();
    endpoints.map(|key| wanted_of(cfg, *key)).collect()
}

fn wanted_of(cfg: &Config, key: EndpointKey) -> Wanted {
    let endpoint = &cfg.endpoints[key];
    let in_use = |v: &&_| cfg.versions[**v].state != VersionState::Withdrawn;
    let versions = endpoint.versions.iter().filter(in_use);
    Wanted {
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
    engines: &[(Wanted, Held)],
    fencing: u64,
    revision: Revision,
    loads: usize,
) -> Vec<Step> {
    let loading = engines.iter().filter(|(_, held)| !held.loading.is_empty());
    let mut room = loads.saturating_sub(loading.count());
    engines
        .iter()
        .map(|(wanted, held)| step(wanted, held, fencing, revision, &mut room))
        .collect()
}

fn step(wanted: &Wanted, held: &Held, fencing: u64, revision: Revision, room: &mut usize) -> Step {
    if held.fencing > fencing {
        return Step::NewerLease(held.fencing);
    }
    if held.revision > revision.0 {
        return Step::NewerRevision(held.revision);
    }
    let have: BTreeSet<&str> = names(&held.versions).chain(names(&held.loading)).collect();
    let missing = wanted.versions.iter().any(|v| !have.contains(v.as_str()));
    let surplus = have.iter().any(|v| !wanted.versions.contains(*v));
    let why = match () {
        () if missing => Why::Missing,
        () if surplus => Why::Surplus,
        () if held.role != wanted.role => Why::Role,
        () if held.fencing < fencing => Why::Adopt,
        () => return Step::Settled,
    };
    let needs_room = missing && held.loading.is_empty();
    if needs_room && *room == 0 {
        return Step::WaitForRoom;
    }
    *room -= usize::from(needs_room);
    let order = Order {
        fencing,
        revision: revision.0,
        versions: wanted.versions.iter().cloned().collect(),
        role: wanted.role,
    };
    Step::Send(order, why)
}

fn names(versions: &[String]) -> impl Iterator<Item = &str> {
    versions.iter().map(String::as_str)
}
