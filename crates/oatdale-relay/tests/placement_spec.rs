//! Model check of evacuated domains and cold endpoints: nodes learn late, are cut off, reconnect
//! and restart at any time, and send whenever they may.
//!
//! What a node may send is decided by the product's own `Directory`, `WarmUp` and `warm_up_share`.

use oatdale_check::{Spec, explore};
use oatdale_policy::relay::{WarmUp, warm_up_share};
use oatdale_relay::{Directory, Endpoint};
use std::collections::BTreeSet;
use std::time::Duration;

/// Duration of one step of the models' clock.
const TICK: Duration = Duration::from_millis(500);

/// Ticks within which a connected node learns of a change.
const LEARN_TICKS: u8 = 3;

const MAX_STATES: usize = 3_000_000;

const DOMAIN: &str = "a";

/// Fault injected into a model.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Break {
    Nothing,
    /// A node serves before it has read whether a domain is evacuated.
    ServesUnread,
    /// A node that reconnects does not read the changes it missed.
    MissesChanges,
    /// The directory is not consulted.
    IgnoresOrders,
    /// Each node uses an endpoint's whole request rate as its share.
    NoShares,
    /// A node that has just started has a share.
    NoSettling,
    /// A node that is cut off keeps its share.
    SendsWhileLost,
}

/// Node that follows the evacuation orders of one domain.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Default)]
struct Follower {
    /// The order that it has read; `None` if none yet.
    known: Option<bool>,
    /// For how many ticks it has been connected; `None` while it is cut off.
    connected: Option<u8>,
    /// For how many of these ticks it has missed the last change.
    late: u8,
    /// Whether it reads missed changes.
    reads: bool,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, Default)]
struct Orders {
    tick: u8,
    is_evacuated: bool,
    /// For how many ticks the order has not changed.
    unchanged: u8,
    changes: u8,
    faults: u8,
    nodes: [Follower; 2],
    wrong: Option<&'static str>,
}

struct Evacuation(Break);

/// Ticks after an order in which requests may still reach the domain, and after which a reconnected
/// node is checked.
const BOUND_TICKS: u8 = 5;

const MAX_TICKS: u8 = 12;
const MAX_CHANGES: u8 = 3;
const MAX_FAULTS: u8 = 3;

impl Evacuation {
    /// Whether a node sends to the domain, decided by the product's directory from the orders that
    /// the node knows.
    fn sends(&self, node: &Follower) -> bool {
        let known = match (node.known, self.0) {
            (None, Break::ServesUnread) => false,
            (None, _) => return false,
            (Some(_), Break::IgnoresOrders) => false,
            (Some(known), _) => known,
        };
        let mut directory = Directory::default();
        directory.replace(Duration::ZERO, vec![endpoint()]);
        let domains = known.then(|| DOMAIN.to_owned());
        directory.set_evacuated(Duration::ZERO, BTreeSet::from_iter(domains));
        directory.usable(Duration::ZERO, "pool").count() > 0
    }

    fn tick(world: &Orders) -> Orders {
        let mut next = world.clone();
        next.tick += 1;
        next.unchanged = next.unchanged.saturating_add(1).min(BOUND_TICKS + 1);
        for node in &mut next.nodes {
            let Some(connected) = &mut node.connected else {
                continue;
            };
            *connected = (*connected + 1).min(BOUND_TICKS + 1);
            let is_late = node.reads && node.known != Some(next.is_evacuated);
            node.late = if is_late { node.late + 1 } else { 0 };
            if node.late >= LEARN_TICKS {
                node.known = Some(next.is_evacuated);
                node.late = 0;
            }
        }
        next
    }

    fn change(world: &Orders) -> Orders {
        let mut next = world.clone();
        next.is_evacuated = !next.is_evacuated;
        next.changes += 1;
        next.unchanged = 0;
        for node in &mut next.nodes {
            // A change that is made while the node is connected reaches it.
            node.reads |= node.connected.is_some();
        }
        next
    }

    fn of_node(&self, world: &Orders, at: usize) -> Vec<(String, Orders)> {
        let mut steps = Vec::new();
        let node = &world.nodes[at];
        let mut step = |what: &str, node: Follower, is_fault: bool| {
            let mut next = world.clone();
            next.nodes[at] = node;
            next.faults += u8::from(is_fault);
            steps.push((format!("node {at} {what}"), next));
        };
        if node.connected.is_some() && node.reads && node.known != Some(world.is_evacuated) {
            let known = Some(world.is_evacuated);
            step(
                "reads the order",
                Follower {
                    known,
                    late: 0,
                    ..node.clone()
                },
                false,
            );
        }
        if world.faults < MAX_FAULTS {
            let reads = self.0 != Break::MissesChanges;
            match node.connected {
                Some(_) => {
                    step(
                        "is cut off",
                        Follower {
                            connected: None,
                            late: 0,
                            ..node.clone()
                        },
                        true,
                    );
                }
                None => {
                    let back = Follower {
                        connected: Some(0),
                        reads,
                        ..node.clone()
                    };
                    step("reconnects", back, false);
                }
            }
            let connected = node.connected.map(|_| 0);
            let started = Follower {
                connected,
                reads: true,
                ..Follower::default()
            };
            step("restarts", started, true);
        }
        if self.sends(node) {
            let counts = node.connected.is_some_and(|ticks| ticks > BOUND_TICKS);
            if world.is_evacuated && world.unchanged > BOUND_TICKS && counts {
                let mut next = world.clone();
                next.wrong = Some("a connected node sends to an evacuated domain");
                steps.push((format!("node {at} sends"), next));
            }
            if node.known.is_none() {
                let mut next = world.clone();
                next.wrong = Some("a node sends before it has read the orders");
                steps.push((format!("node {at} sends"), next));
            }
        }
        steps
    }
}

impl Spec for Evacuation {
    type State = Orders;

    fn initial(&self) -> Vec<Orders> {
        let node = Follower {
            known: Some(false),
            connected: Some(BOUND_TICKS + 1),
            late: 0,
            reads: true,
        };
        vec![Orders {
            nodes: [node.clone(), node],
            ..Orders::default()
        }]
    }

    fn steps(&self, world: &Orders) -> Vec<(String, Orders)> {
        let mut steps = Vec::new();
        if world.tick < MAX_TICKS {
            steps.push(("clock tick".to_owned(), Self::tick(world)));
        }
        if world.changes < MAX_CHANGES {
            steps.push(("operators change the order".to_owned(), Self::change(world)));
        }
        let nodes = 0..world.nodes.len();
        steps.extend(nodes.flat_map(|at| self.of_node(world, at)));
        steps
    }

    fn invariant(&self, world: &Orders) -> Result<(), String> {
        world.wrong.map_or(Ok(()), |wrong| Err(wrong.to_owned()))
    }
}

const NODES: usize = 3;

/// Requests per second that the endpoint can take, and the maximum that may reach it.
const RATE: u32 = 4;
const BOUND: u32 = RATE * 3 / 2 + 5;

/// Requests per second that nodes plan to send: four fifths of the bound.
const PLANNED: u32 = BOUND * 4 / 5;

const MAX_COLD_FAULTS: u8 = 2;

/// Ticks after which a process's uptime no longer matters.
const OLD: u8 = 7;

/// Ticks after which a node has noticed that it is cut off.
const LOST_TICKS: u8 = 2;

/// Ticks after which a node that is down or cut off has no record any more.
const LEASE_TICKS: u8 = 4;

/// Ticks after which a sent request no longer matters.
const FORGOTTEN: u8 = 3;

/// Node that sends to a cold endpoint.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Sender {
    /// For how many ticks its process has run; `None` while it is down.
    up: Option<u8>,
    /// The nodes that it knows, including itself; empty until it has read the list.
    known: BTreeSet<usize>,
    /// For how many ticks it has been down or cut off; 0 if it is neither.
    gone_for: u8,
    /// Recent requests: how many ticks ago, and how many.
    sent: Vec<(u8, u32)>,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Cold {
    faults: u8,
    nodes: Vec<Sender>,
    /// Requests that arrived in this tick and in the one before.
    arrived: [u32; 2],
}

struct Shares(Break);

impl Shares {
    /// Returns how many requests a node may send now.
    fn allowed(&self, world: &Cold, at: usize) -> u32 {
        let node = &world.nodes[at];
        let Some(up) = node.up.filter(|_| !node.known.is_empty()) else {
            return 0;
        };
        let up = match self.0 {
            Break::NoSettling => Duration::from_secs(60),
            _ => TICK * u32::from(up),
        };
        let rank = node.known.iter().filter(|other| **other < at).count();
        let share = match self.0 {
            Break::NoShares => PLANNED,
            // Its adapter has noticed by then that it is cut off.
            _ if node.gone_for > LOST_TICKS && self.0 != Break::SendsWhileLost => 0,
            _ => warm_up_share(up, f64::from(PLANNED), node.known.len(), rank),
        };
        let mut sent = WarmUp::default();
        let now = TICK * u32::from(FORGOTTEN);
        for (ago, count) in &node.sent {
            (0..*count).for_each(|_| sent.note(now - TICK * u32::from(*ago)));
        }
        let mut may = 0;
        while sent.next(share).is_some_and(|next| next <= now) && may < PLANNED {
            sent.note(now);
            may += 1;
        }
        may
    }

    fn tick(world: &Cold) -> Cold {
        let mut next = world.clone();
        next.arrived = [0, world.arrived[0]];
        let registered = registered(world);
        for node in &mut next.nodes {
            node.sent.iter_mut().for_each(|(ago, _)| *ago += 1);
            node.sent.retain(|(ago, _)| *ago < FORGOTTEN);
            node.up = node.up.map(|up| (up + 1).min(OLD));
            // By now it has read the list of running nodes.
            let is_old = node.up.is_some_and(|up| up >= LEARN_TICKS);
            node.gone_for += u8::from((1..=LEASE_TICKS).contains(&node.gone_for));
            if is_old && node.gone_for == 0 {
                node.known.clone_from(&registered);
            }
        }
        next
    }

    fn of_node(&self, world: &Cold, at: usize) -> Vec<(String, Cold)> {
        let mut steps = Vec::new();
        let node = &world.nodes[at];
        let mut step = |what: &str, is_fault: bool, change: &dyn Fn(&mut Cold)| {
            let mut next = world.clone();
            next.faults += u8::from(is_fault);
            change(&mut next);
            steps.push((format!("node {at} {what}"), next));
        };
        let may = self.allowed(world, at);
        if may > 0 {
            step("sends all that it may", false, &|next| {
                next.nodes[at].sent.push((0, may));
                next.arrived[0] += may;
            });
        }
        if node.up.is_some() && node.gone_for == 0 && node.known != registered(world) {
            step("reads the node list", false, &|next| {
                next.nodes[at].known = registered(world);
            });
        }
        if world.faults >= MAX_COLD_FAULTS {
            return steps;
        }
        match (node.up, node.gone_for > 0) {
            (None, _) => step("starts", false, &|next| {
                next.nodes[at] = Sender::starting();
            }),
            (Some(_), true) => step("reconnects", false, &|next| {
                let node = &mut next.nodes[at];
                let is_forgotten = node.gone_for > LEASE_TICKS;
                node.gone_for = 0;
                if is_forgotten && self.0 != Break::NoSettling {
                    node.up = Some(0);
                }
                next.nodes[at].known = registered(next);
            }),
            (Some(_), false) => {
                step("is cut off", true, &|next| next.nodes[at].gone_for = 1);
                step("is killed", true, &|next| {
                    next.nodes[at].up = None;
                    next.nodes[at].gone_for = 1;
                    next.nodes[at].known.clear();
                });
            }
        }
        steps
    }
}

impl Sender {
    fn starting() -> Self {
        Sender {
            up: Some(0),
            known: BTreeSet::new(),
            gone_for: 0,
            sent: Vec::new(),
        }
    }
}

/// Returns the nodes that have a record: the lease of a killed or cut-off node expires only after
/// such a node has noticed the cut.
fn registered(world: &Cold) -> BTreeSet<usize> {
    let nodes = world.nodes.iter().enumerate();
    let registered = nodes.filter(|(_, n)| n.gone_for <= LEASE_TICKS);
    registered.map(|(at, _)| at).collect()
}

impl Spec for Shares {
    type State = Cold;

    fn initial(&self) -> Vec<Cold> {
        let down = Sender {
            up: None,
            gone_for: LEASE_TICKS + 1,
            ..Sender::starting()
        };
        let all = |node| Cold {
            faults: 0,
            nodes: vec![node; NODES],
            arrived: [0; 2],
        };
        vec![all(Sender::starting()), all(down)]
    }

    fn steps(&self, world: &Cold) -> Vec<(String, Cold)> {
        let mut steps = vec![("clock tick".to_owned(), Self::tick(world))];
        let nodes = 0..world.nodes.len();
        steps.extend(nodes.flat_map(|at| self.of_node(world, at)));
        steps
    }

    fn invariant(&self, world: &Cold) -> Result<(), String> {
        let arrived: u32 = world.arrived.iter().sum();
        match arrived <= BOUND {
            true => Ok(()),
            false => Err(format!(
                "{arrived} requests in a second, at most {BOUND} allowed"
            )),
        }
    }
}

fn endpoint() -> Endpoint {
    Endpoint {
        id: "x".to_owned(),
        service: "pool".to_owned(),
        addr: "10.0.0.1:80".parse().unwrap(),
        domain: DOMAIN.to_owned(),
        version: "v1".to_owned(),
        slots: 4,
        leaving: false,
        born: None,
        cold_left: Some(Duration::ZERO),
        serial: 1,
    }
}

/// Explores a specification that holds.
fn assert_holds(spec: &impl Spec) {
    let states = explore(spec, MAX_STATES).unwrap_or_else(|found| panic!("{found}"));
    println!("{states} states explored");
    assert!(
        states > 10_000,
        "only {states} states explored, more than 10,000 expected"
    );
}

/// Explores a specification with an injected fault, which must break this promise.
fn assert_found(spec: &impl Spec, broken: Break, promise: &str) {
    let found = explore(spec, MAX_STATES).expect_err("the injected fault must be found");
    println!("{broken:?}: {found}");
    assert!(found.broken.contains(promise), "{broken:?}: {found}");
}

#[test]
fn nothing_reaches_an_evacuated_domain_from_nodes_that_could_know() {
    assert_holds(&Evacuation(Break::Nothing));
}

#[test]
fn deliberate_breaks_of_evacuations_are_found() {
    let cases = [
        (Break::ServesUnread, "before it has read the orders"),
        (Break::MissesChanges, "to an evacuated domain"),
        (Break::IgnoresOrders, "to an evacuated domain"),
    ];
    for (broken, promise) in cases {
        assert_found(&Evacuation(broken), broken, promise);
    }
}

#[test]
fn nodes_with_different_lists_send_no_more_than_a_cold_endpoint_may_get() {
    assert_holds(&Shares(Break::Nothing));
}

#[test]
fn deliberate_breaks_of_shares_are_found() {
    for broken in [Break::NoShares, Break::NoSettling, Break::SendsWhileLost] {
        assert_found(&Shares(broken), broken, "requests in a second");
    }
}
