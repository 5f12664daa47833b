//! Specification of leases and orders as a small state machine: two placers, one engine, late
//! orders, pauses.
//!
//! Time passes in ticks, and any step may happen between two ticks. A placer that takes no step for
//! some ticks models a paused one.

use oatdale_check::{Counterexample, Spec, explore};

/// Duration of a lease in ticks.
const TTL: u8 = 2;
/// Ticks of the lease that must remain when an order is sent.
const MARGIN: u8 = 1;
const MAX_STATES: usize = 2_000_000;

/// A deliberate fault that the specification must detect.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Fault {
    None,
    /// The lease is checked when an order is decided, not when it is sent.
    LeaseCheckedOnDecision,
    /// The placer's clock stops while the process is paused.
    ClockStopsWhilePaused,
    /// The TTL is counted from the response instead of from before the request.
    TtlCountedFromResponse,
    /// A new holder gets the fencing number of the previous one.
    FencingNumberReused,
    /// The placer relies on its last order instead of reading the engine.
    EngineNotRead,
}

/// The property to check in addition to "no order is sent without the lease".
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Property {
    /// The engine never accepts an order of an older holder after one of a newer holder.
    NoRegress,
    /// If the engine was brought into a wrong state, the holder notices and sends an order again.
    Repair,
}

struct LeaseSpec {
    fault: Fault,
    fencing: bool,
    property: Property,
    ticks: u8,
    max_orders: u8,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct Order {
    fencing: u8,
    revision: u8,
    /// Counts the holders independently of fencing numbers; known only to the specification.
    epoch: u8,
}

/// A lease from the view of its holder.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct Lease {
    fencing: u8,
    epoch: u8,
    ticks_left: u8,
}

/// A request for the lease: the ticks that will remain of it, and once the request has arrived
/// either the fencing number and epoch or `None` if another node holds the lease.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct LeaseRequest {
    ticks_left: u8,
    outcome: Option<Option<(u8, u8)>>,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, Default)]
struct Node {
    revision: u8,
    request: Option<LeaseRequest>,
    lease: Option<Lease>,
    /// Order that is decided but not sent yet.
    pending_order: Option<Order>,
    last: Option<Order>,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct SystemState {
    ticks: u8,
    sent_count: u8,
    /// Holder, its fencing number and the remaining ticks, from the view of the service.
    holder: Option<(usize, u8, u8)>,
    newest_fencing: u8,
    epoch_count: u8,
    nodes: [Node; 2],
    in_flight: Vec<Order>,
    engine: Order,
    /// Highest epoch whose order the engine ever accepted.
    newest_epoch_followed: u8,
    followed_older_holder: bool,
    sent_without_lease: bool,
}

impl LeaseSpec {
    fn tick(&self, state: &SystemState, paused: Option<usize>) -> SystemState {
        let mut next = state.clone();
        next.ticks += 1;
        next.holder = match next.holder {
            Some((node, fencing, ttl)) if ttl > 1 => Some((node, fencing, ttl - 1)),
            _ => None,
        };
        for (index, node) in next.nodes.iter_mut().enumerate() {
            if paused == Some(index) && self.fault == Fault::ClockStopsWhilePaused {
                continue;
            }
            if let Some(lease) = &mut node.lease {
                lease.ticks_left = lease.ticks_left.saturating_sub(1);
            }
            if let Some(request) = &mut node.request {
                request.ticks_left = request.ticks_left.saturating_sub(1);
            }
        }
        next
    }

    /// Processes a lease request: renews the requester's lease, or grants one if there is none.
    fn receive_request(&self, state: &mut SystemState, index: usize) {
        let number = match state.holder {
            Some((node, fencing, _)) if node == index => Some(fencing),
            Some(_) => None,
            None => {
                state.epoch_count += 1;
                if self.fault != Fault::FencingNumberReused || state.newest_fencing == 0 {
                    state.newest_fencing += 1;
                }
                Some(state.newest_fencing)
            }
        };
        if let Some(fencing) = number {
            state.holder = Some((index, fencing, TTL));
        }
        if let Some(request) = &mut state.nodes[index].request {
            request.outcome = Some(number.map(|number| (number, state.epoch_count)));
        }
    }

    fn receive_response(&self, node: &mut Node) {
        let Some(LeaseRequest {
            ticks_left,
            outcome,
        }) = node.request.take()
        else {
            return;
        };
        let ticks_left = match self.fault {
            Fault::TtlCountedFromResponse => TTL,
            _ => ticks_left,
        };
        node.lease = outcome.flatten().map(|(fencing, epoch)| Lease {
            fencing,
            epoch,
            ticks_left,
        });
    }

    /// Returns the order that the holder would send after reading the engine.
    fn decide(&self, node: &Node, engine: Order) -> Option<Order> {
        let lease = node.lease?;
        let order = Order {
            fencing: lease.fencing,
            revision: node.revision,
            epoch: lease.epoch,
        };
        let same = |a: Order, b: Order| (a.fencing, a.revision) == (b.fencing, b.revision);
        match self.fault {
            Fault::EngineNotRead => {
                (!node.last.is_some_and(|last| same(last, order))).then_some(order)
            }
            _ if engine.fencing > lease.fencing || engine.revision > node.revision => None,
            _ => (!same(engine, order)).then_some(order),
        }
    }

    fn send(&self, state: &mut SystemState, index: usize) {
        let node = &mut state.nodes[index];
        let (Some(lease), Some(order)) = (node.lease, node.pending_order.take()) else {
            return;
        };
        if lease.ticks_left < MARGIN && self.fault != Fault::LeaseCheckedOnDecision {
            node.lease = None;
            return;
        }
        node.last = Some(order);
        state.sent_count += 1;
        state.in_flight.push(order);
        let is_holder = state.holder.is_some_and(|(node, ..)| node == index);
        state.sent_without_lease |= !is_holder;
    }

    fn order_arrives(&self, state: &mut SystemState, at: usize) {
        let order = state.in_flight.remove(at);
        if self.fencing && order.fencing < state.engine.fencing {
            return;
        }
        state.followed_older_holder |= order.epoch < state.newest_epoch_followed;
        state.newest_epoch_followed = state.newest_epoch_followed.max(order.epoch);
        state.engine = order;
    }

    fn node_steps(&self, state: &SystemState, index: usize) -> Vec<(String, SystemState)> {
        let mut steps = Vec::new();
        let mut step = |name: &str, act: &dyn Fn(&mut SystemState)| {
            let mut next = state.clone();
            act(&mut next);
            steps.push((format!("node {index} {name}"), next));
        };
        let node = &state.nodes[index];
        match node.request {
            None if node.lease.is_some_and(|lease| lease.ticks_left == TTL) => {}
            None => step("requests the lease", &|w| {
                w.nodes[index].request = Some(LeaseRequest {
                    ticks_left: TTL,
                    outcome: None,
                });
            }),
            Some(LeaseRequest { outcome: None, .. }) => {
                step("lease request arrives", &|w| self.receive_request(w, index));
            }
            Some(_) => step("receives the response", &|w| {
                self.receive_response(&mut w.nodes[index]);
            }),
        }
        let may_send = node.lease.is_some_and(|lease| lease.ticks_left >= MARGIN);
        let order = self.decide(node, state.engine);
        if node.pending_order.is_none()
            && may_send
            && order.is_some()
            && state.sent_count < self.max_orders
        {
            step("reads the engine and decides", &|w| {
                w.nodes[index].pending_order = order;
            });
        }
        if node.pending_order.is_some() {
            step("sends its order", &|w| self.send(w, index));
        }
        if node.revision < 2 {
            step("receives revision 2", &|w| w.nodes[index].revision = 2);
        }
        steps
    }

    /// Whether a holder with the newest configuration, with no order pending or in flight, sends an
    /// order if the engine has another revision.
    fn repairs(&self, state: &SystemState) -> bool {
        let Some((index, fencing, _)) = state.holder else {
            return true;
        };
        let node = &state.nodes[index];
        let idle = state.in_flight.is_empty() && node.pending_order.is_none();
        let is_holder = node.lease.is_some_and(|lease| lease.fencing == fencing);
        let outdated = state.engine.revision != node.revision;
        let must_repair = idle && is_holder && node.revision == 2 && outdated;
        !must_repair || self.decide(node, state.engine).is_some()
    }
}

impl Spec for LeaseSpec {
    type State = SystemState;

    fn initial(&self) -> Vec<SystemState> {
        let node = |revision| Node {
            revision,
            ..Node::default()
        };
        vec![SystemState {
            ticks: 0,
            sent_count: 0,
            holder: None,
            newest_fencing: 0,
            epoch_count: 0,
            nodes: [node(1), node(2)],
            in_flight: Vec::new(),
            engine: Order {
                fencing: 0,
                revision: 0,
                epoch: 0,
            },
            newest_epoch_followed: 0,
            followed_older_holder: false,
            sent_without_lease: false,
        }]
    }

    fn steps(&self, state: &SystemState) -> Vec<(String, SystemState)> {
        let mut steps = Vec::new();
        if state.ticks < self.ticks {
            steps.push(("time passes".to_owned(), self.tick(state, None)));
            if self.fault == Fault::ClockStopsWhilePaused {
                let paused = |n| (format!("node {n} is paused"), self.tick(state, Some(n)));
                steps.extend([paused(0), paused(1)]);
            }
        }
        for at in 0..state.in_flight.len() {
            let mut arrived = state.clone();
            self.order_arrives(&mut arrived, at);
            let order = state.in_flight[at];
            steps.push((format!("{order:?} arrives"), arrived));
            let mut lost = state.clone();
            lost.in_flight.remove(at);
            steps.push((format!("{order:?} is lost"), lost));
        }
        steps.extend(self.node_steps(state, 0));
        steps.extend(self.node_steps(state, 1));
        steps
    }

    fn invariant(&self, state: &SystemState) -> Result<(), String> {
        if state.sent_without_lease {
            return Err("an order was sent without the lease".to_owned());
        }
        match self.property {
            Property::NoRegress if state.followed_older_holder => {
                Err("the engine followed an older holder".to_owned())
            }
            Property::Repair if !self.repairs(state) => {
                Err("the holder does not repair the engine".to_owned())
            }
            Property::NoRegress | Property::Repair => Ok(()),
        }
    }
}

fn lease_spec(fault: Fault, fencing: bool, property: Property) -> LeaseSpec {
    LeaseSpec {
        fault,
        fencing,
        property,
        ticks: 4,
        max_orders: 2,
    }
}

fn find_counterexample(spec: &LeaseSpec) -> Counterexample {
    let counterexample = explore(spec, MAX_STATES).expect_err("no counterexample found");
    assert!(!counterexample.steps.is_empty(), "{counterexample}");
    println!(
        "{:?}, fencing {}: {counterexample}",
        spec.fault, spec.fencing
    );
    assert!(counterexample.steps.len() <= 20, "{counterexample}");
    counterexample
}

fn verify(spec: &LeaseSpec) {
    let states = explore(spec, MAX_STATES).unwrap_or_else(|e| panic!("{e}"));
    println!(
        "{:?}, fencing {}: {states} states",
        spec.property, spec.fencing
    );
}

#[test]
fn engines_that_check_fencing_never_follow_an_older_holder() {
    verify(&lease_spec(Fault::None, true, Property::NoRegress));
}

#[test]
fn engines_that_check_fencing_are_repaired() {
    verify(&lease_spec(Fault::None, true, Property::Repair));
}

#[test]
fn engines_that_ignore_fencing_are_repaired() {
    verify(&lease_spec(Fault::None, false, Property::Repair));
}

// The limitation that docs/PLACEMENT.md describes: an engine that does not check fencing numbers
// accepts an order that was sent in time but arrives late.
#[test]
fn engines_that_ignore_fencing_may_follow_an_older_holder_for_a_while() {
    let counterexample = find_counterexample(&lease_spec(Fault::None, false, Property::NoRegress));
    assert_eq!(
        counterexample.violation,
        "the engine followed an older holder"
    );
}

#[test]
fn each_fault_is_detected() {
    let faults = [
        (Fault::LeaseCheckedOnDecision, true, Property::NoRegress),
        (Fault::ClockStopsWhilePaused, true, Property::NoRegress),
        (Fault::TtlCountedFromResponse, true, Property::NoRegress),
        (Fault::FencingNumberReused, true, Property::NoRegress),
        (Fault::EngineNotRead, false, Property::Repair),
    ];
    for (fault, fencing, property) in faults {
        find_counterexample(&lease_spec(fault, fencing, property));
    }
}
