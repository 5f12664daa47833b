//! Model check of evacuated domains and cold endpoints: nodes learn late, are cut off, reconnect
//! and restart at any time, and send whenever they may.
//!
//! What a node may send is decided by the production `Directory`, `WarmUp` and `warm_up_share`.

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
enum Fault {
    Absent,
    /// A node serves before it has read whether a domain is evacuated.
    ServesBeforeReading,
    /// A node that reconnects does not read the changes it missed.
    SkipsMissedChanges,
    /// A node ignores the evacuation orders that it has read.
    IgnoresOrders,
    /// Each node uses an endpoint's whole request rate as its share.
    NoSharing,
    /// A node that has just started has a share.
    NoSettleTime,
    /// A node that is cut off keeps its share.
    SendsWhileCutOff,
}

/// Node that follows the evacuation orders of one domain.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Default)]
struct Follower {
    /// The order that it has read; `None` if none yet.
    known: Option<bool>,
    /// For how many ticks it has been connected; `None` while it is cut off.
    connected_ticks: Option<u8>,
    /// For how many of these ticks it has missed the last change.
    late_ticks: u8,
    /// Whether it reads missed changes.
    reads_missed: bool,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, Default)]
struct EvacuationState {
    tick: u8,
    is_evacuated: bool,
    /// For how many ticks the order has not changed.
    unchanged_ticks: u8,
    changes: u8,
    faults: u8,
    nodes: [Follower; 2],
    violation: Option<&'static str>,
}

struct Evacuation(Fault);

/// Ticks after an order in which requests may still reach the domain, and after which a reconnected
/// node is checked.
const COMPLIANCE_TICKS: u8 = 5;

const MAX_TICKS: u8 = 12;
const MAX_CHANGES: u8 = 3;
const MAX_FAULTS: u8 = 3;

impl Evacuation {
    /// Whether a node sends to the domain, decided by the production directory from the orders that
    /// the node knows.
    fn sends(&self, node: &Follower) -> bool {
        let known = match (node.known, self.0) {
            (None, Fault::ServesBeforeReading) => false,
            (None, _) => return false,
            (Some(_), Fault::IgnoresOrders) => false,
            (Some(known), _) => known,
        };
        let mut directory = Directory::default();
        directory.replace(Duration::ZERO, vec![endpoint()]);
        let domains = known.then(|| DOMAIN.to_owned());
        directory.set_evacuated(Duration::ZERO, BTreeSet::from_iter(domains));
        directory.usable(Duration::ZERO, "pool").count() > 0
    }

    fn tick(state: &EvacuationState) -> EvacuationState {
        let mut next = state.clone();
        next.tick += 1;
        next.unchanged_ticks = next
            .unchanged_ticks
            .saturating_add(1)
            .min(COMPLIANCE_TICKS + 1);
        for node in &mut next.nodes {
            let Some(connected_ticks) = &mut node.connected_ticks else {
                continue;
            };
            *connected_ticks = (*connected_ticks + 1).min(COMPLIANCE_TICKS + 1);
            let is_late = node.reads_missed && node.known != Some(next.is_evacuated);
            node.late_ticks = if is_late { node.late_ticks + 1 } else { 0 };
            if node.late_ticks >= LEARN_TICKS {
                node.known = Some(next.is_evacuated);
                node.late_ticks = 0;
            }
        }
        next
    }

    fn change(state: &EvacuationState) -> EvacuationState {
        let mut next = state.clone();
        next.is_evacuated = !next.is_evacuated;
        next.changes += 1;
        next.unchanged_ticks = 0;
        for node in &mut next.nodes {
            // A change that is made while the node is connected reaches it.
            node.reads_missed |= node.connected_ticks.is_some();
        }
        next
    }

    fn node_steps(&self, state: &EvacuationState, index: usize) -> Vec<(String, EvacuationState)> {
        let mut steps = Vec::new();
        let node = &state.nodes[index];
        let mut step = |label: &str, node: Follower, is_fault: bool| {
            let mut next = state.clone();
            next.nodes[index] = node;
            next.faults += u8::from(is_fault);
            steps.push((format!("node {index} {label}"), next));
        };
        if node.connected_ticks.is_some()
            && node.reads_missed
            && node.known != Some(state.is_evacuated)
        {
            let known = Some(state.is_evacuated);
            step(
                "reads the order",
                Follower {
                    known,
                    late_ticks: 0,
                    ..node.clone()
                },
                false,
            );
        }
        if state.faults < MAX_FAULTS {
            let reads_missed = self.0 != Fault::SkipsMissedChanges;
            match node.connected_ticks {
                Some(_) => {
                    step(
                        "is cut off",
                        Follower {
                            connected_ticks: None,
                            late_ticks: 0,
                            ..node.clone()
                        },
                        true,
                    );
                }
                None => {
                    let reconnected = Follower {
                        connected_ticks: Some(0),
                        reads_missed,
                        ..node.clone()
                    };
                    step("reconnects", reconnected, false);
                }
            }
            let connected_ticks = node.connected_ticks.map(|_| 0);
            let restarted = Follower {
                connected_ticks,
                reads_missed: true,
                ..Follower::default()
            };
            step("restarts", restarted, true);
        }
        if self.sends(node) {
            let must_comply = node
                .connected_ticks
                .is_some_and(|ticks| ticks > COMPLIANCE_TICKS);
            if state.is_evacuated && state.unchanged_ticks > COMPLIANCE_TICKS && must_comply {
                let mut next = state.clone();
                next.violation = Some("a connected node sends to an evacuated domain");
                steps.push((format!("node {index} sends"), next));
            }
            if node.known.is_none() {
                let mut next = state.clone();
                next.violation = Some("a node sends before it has read the orders");
                steps.push((format!("node {index} sends"), next));
            }
        }
        steps
    }
}

impl Spec for Evacuation {
    type State = EvacuationState;

    fn initial(&self) -> Vec<EvacuationState> {
        let node = Follower {
            known: Some(false),
            connected_ticks: Some(COMPLIANCE_TICKS + 1),
            late_ticks: 0,
            reads_missed: true,
        };
        vec![EvacuationState {
            nodes: [node.clone(), node],
            ..EvacuationState::default()
        }]
    }

    fn steps(&self, state: &EvacuationState) -> Vec<(String, EvacuationState)> {
        let mut steps = Vec::new();
        if state.tick < MAX_TICKS {
            steps.push(("clock tick".to_owned(), Self::tick(state)));
        }
        if state.changes < MAX_CHANGES {
            steps.push(("operators change the order".to_owned(), Self::change(state)));
        }
        let nodes = 0..state.nodes.len();
        steps.extend(nodes.flat_map(|index| self.node_steps(state, index)));
        steps
    }

    fn invariant(&self, state: &EvacuationState) -> Result<(), String> {
        state
            .violation
            .map_or(Ok(()), |violation| Err(violation.to_owned()))
    }
}

const NODES: usize = 3;

/// Requests per second that the endpoint can take, and the maximum that may reach it.
const RATE_PER_S: u32 = 4;
const MAX_REQUESTS_PER_S: u32 = RATE_PER_S * 3 / 2 + 5;

/// Requests per second that nodes plan to send: four fifths of the bound.
const PLANNED_PER_S: u32 = MAX_REQUESTS_PER_S * 4 / 5;

const MAX_COLD_FAULTS: u8 = 2;

/// Ticks after which a process's uptime no longer matters.
const SETTLED_TICKS: u8 = 7;

/// Ticks after which a node has noticed that it is cut off.
const CUT_OFF_NOTICE_TICKS: u8 = 2;

/// Ticks after which a node that is down or cut off has no record any more.
const LEASE_TICKS: u8 = 4;

/// Ticks after which a sent request no longer matters.
const SENT_HISTORY_TICKS: u8 = 3;

/// Node that sends to a cold endpoint.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Sender {
    /// For how many ticks its process has run; `None` while it is down.
    uptime_ticks: Option<u8>,
    /// The nodes that it knows, including itself; empty until it has read the list.
    known: BTreeSet<usize>,
    /// For how many ticks it has been down or cut off; 0 if it is neither.
    gone_ticks: u8,
    /// Recent requests: how many ticks ago, and how many.
    sent: Vec<(u8, u32)>,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct ColdState {
    faults: u8,
    nodes: Vec<Sender>,
    /// Requests that arrived in this tick and in the one before.
    arrived: [u32; 2],
}

struct Shares(Fault);

impl Shares {
    /// Returns how many requests a node may send now.
    fn allowed(&self, state: &ColdState, index: usize) -> u32 {
        let node = &state.nodes[index];
        let Some(uptime_ticks) = node.uptime_ticks.filter(|_| !node.known.is_empty()) else {
            return 0;
        };
        let uptime = match self.0 {
            Fault::NoSettleTime => Duration::from_secs(60),
            _ => TICK * u32::from(uptime_ticks),
        };
        let rank = node.known.iter().filter(|other| **other < index).count();
        let share = match self.0 {
            Fault::NoSharing => PLANNED_PER_S,
            // Its adapter has noticed by then that it is cut off.
            _ if node.gone_ticks > CUT_OFF_NOTICE_TICKS && self.0 != Fault::SendsWhileCutOff => 0,
            _ => warm_up_share(uptime, f64::from(PLANNED_PER_S), node.known.len(), rank),
        };
        let mut sent = WarmUp::default();
        let now = TICK * u32::from(SENT_HISTORY_TICKS);
        for (ago, count) in &node.sent {
            (0..*count).for_each(|_| sent.record_send(now - TICK * u32::from(*ago)));
        }
        let mut sendable = 0;
        while sent.next_send_at(share).is_some_and(|next| next <= now) && sendable < PLANNED_PER_S {
            sent.record_send(now);
            sendable += 1;
        }
        sendable
    }

    fn tick(state: &ColdState) -> ColdState {
        let mut next = state.clone();
        next.arrived = [0, state.arrived[0]];
        let registered = registered(state);
        for node in &mut next.nodes {
            node.sent.iter_mut().for_each(|(ago, _)| *ago += 1);
            node.sent.retain(|(ago, _)| *ago < SENT_HISTORY_TICKS);
            node.uptime_ticks = node
                .uptime_ticks
                .map(|uptime_ticks| (uptime_ticks + 1).min(SETTLED_TICKS));
            // By now it has read the list of running nodes.
            let has_read_list = node
                .uptime_ticks
                .is_some_and(|uptime_ticks| uptime_ticks >= LEARN_TICKS);
            node.gone_ticks += u8::from((1..=LEASE_TICKS).contains(&node.gone_ticks));
            if has_read_list && node.gone_ticks == 0 {
                node.known.clone_from(&registered);
            }
        }
        next
    }

    fn node_steps(&self, state: &ColdState, index: usize) -> Vec<(String, ColdState)> {
        let mut steps = Vec::new();
        let node = &state.nodes[index];
        let mut step = |label: &str, is_fault: bool, change: &dyn Fn(&mut ColdState)| {
            let mut next = state.clone();
            next.faults += u8::from(is_fault);
            change(&mut next);
            steps.push((format!("node {index} {label}"), next));
        };
        let sendable = self.allowed(state, index);
        if sendable > 0 {
            step("sends all that it may", false, &|next| {
                next.nodes[index].sent.push((0, sendable));
                next.arrived[0] += sendable;
            });
        }
        if node.uptime_ticks.is_some() && node.gone_ticks == 0 && node.known != registered(state) {
            step("reads the node list", false, &|next| {
                next.nodes[index].known = registered(state);
            });
        }
        if state.faults >= MAX_COLD_FAULTS {
            return steps;
        }
        match (node.uptime_ticks, node.gone_ticks > 0) {
            (None, _) => step("starts", false, &|next| {
                next.nodes[index] = Sender::starting();
            }),
            (Some(_), true) => step("reconnects", false, &|next| {
                let node = &mut next.nodes[index];
                let is_forgotten = node.gone_ticks > LEASE_TICKS;
                node.gone_ticks = 0;
                if is_forgotten && self.0 != Fault::NoSettleTime {
                    node.uptime_ticks = Some(0);
                }
                next.nodes[index].known = registered(next);
            }),
            (Some(_), false) => {
                step("is cut off", true, &|next| next.nodes[index].gone_ticks = 1);
                step("is killed", true, &|next| {
                    next.nodes[index].uptime_ticks = None;
                    next.nodes[index].gone_ticks = 1;
                    next.nodes[index].known.clear();
                });
            }
        }
        steps
    }
}

impl Sender {
    fn starting() -> Self {
        Sender {
            uptime_ticks: Some(0),
            known: BTreeSet::new(),
            gone_ticks: 0,
            sent: Vec::new(),
        }
    }
}

/// Returns the nodes that have a record: the lease of a killed or cut-off node expires only after
/// a cut-off node has noticed that it is cut off.
fn registered(state: &ColdState) -> BTreeSet<usize> {
    let nodes = state.nodes.iter().enumerate();
    let registered = nodes.filter(|(_, n)| n.gone_ticks <= LEASE_TICKS);
    registered.map(|(index, _)| index).collect()
}

impl Spec for Shares {
    type State = ColdState;

    fn initial(&self) -> Vec<ColdState> {
        let down = Sender {
            uptime_ticks: None,
            gone_ticks: LEASE_TICKS + 1,
            ..Sender::starting()
        };
        let with_node = |node| ColdState {
            faults: 0,
            nodes: vec![node; NODES],
            arrived: [0; 2],
        };
        vec![with_node(Sender::starting()), with_node(down)]
    }

    fn steps(&self, state: &ColdState) -> Vec<(String, ColdState)> {
        let mut steps = vec![("clock tick".to_owned(), Self::tick(state))];
        let nodes = 0..state.nodes.len();
        steps.extend(nodes.flat_map(|index| self.node_steps(state, index)));
        steps
    }

    fn invariant(&self, state: &ColdState) -> Result<(), String> {
        let arrived: u32 = state.arrived.iter().sum();
        match arrived <= MAX_REQUESTS_PER_S {
            true => Ok(()),
            false => Err(format!(
                "{arrived} requests in a second, at most {MAX_REQUESTS_PER_S} allowed"
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

/// Explores a specification with an injected fault, which must break an invariant with a message
/// that contains this text.
fn assert_fault_found(spec: &impl Spec, fault: Fault, expected: &str) {
    let found = explore(spec, MAX_STATES).expect_err("the injected fault must be found");
    println!("{fault:?}: {found}");
    assert!(found.violation.contains(expected), "{fault:?}: {found}");
}

#[test]
fn connected_nodes_send_nothing_to_an_evacuated_domain() {
    assert_holds(&Evacuation(Fault::Absent));
}

#[test]
fn injected_evacuation_faults_are_found() {
    let cases = [
        (Fault::ServesBeforeReading, "before it has read the orders"),
        (Fault::SkipsMissedChanges, "to an evacuated domain"),
        (Fault::IgnoresOrders, "to an evacuated domain"),
    ];
    for (fault, expected) in cases {
        assert_fault_found(&Evacuation(fault), fault, expected);
    }
}

#[test]
fn nodes_with_different_lists_respect_the_cold_rate_bound() {
    assert_holds(&Shares(Fault::Absent));
}

#[test]
fn injected_share_faults_are_found() {
    for fault in [
        Fault::NoSharing,
        Fault::NoSettleTime,
        Fault::SendsWhileCutOff,
    ] {
        assert_fault_found(&Shares(fault), fault, "requests in a second");
    }
}
