//! The spread of the configuration, explored state by state.
//!
//! The specification decides with the functions that the code uses: which revision replaces which,
//! and when a joiner has asked enough peers.

use oatdale_check::{Spec, explore};
use oatdale_mesh::{newer, settled};

const NODES: usize = 3;
const LAST: u8 = 3;
const BOUND: usize = 20_000_000;

/// What is wrong on purpose; each must be found.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Break {
    Nothing,
    /// Takes any revision that is offered, as a node that only compares for difference.
    TakesAny,
    /// A joiner takes the first answer.
    FirstAnswer,
    /// A restarted node serves before it has asked anyone.
    ServesAtOnce,
    /// Writes without comparing with what the operator saw.
    BlindWrite,
}

struct SpreadSpec {
    broken: Break,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Node {
    Down,
    /// Started; the answers that it got so far, by peer.
    Joining {
        answers: [Option<u8>; NODES],
    },
    /// In force there.
    Serving {
        revision: u8,
    },
}

/// One state of three nodes, the service and two operators.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct State {
    /// What the service holds, and who wrote it.
    stored: (u8, u8),
    /// Whether the service answers.
    up: bool,
    /// What each operator has read and wants to replace.
    seen: [Option<u8>; 2],
    /// Writes that operators were told are accepted.
    accepted: [u8; 2],
    nodes: [Node; NODES],
    /// Offers under way: from whom (by revision when sent) to whom. Late and in any order.
    offers: [[Option<u8>; NODES]; NODES],
    /// Node 0 can't reach the others while true.
    cut: bool,
    restarts: u8,
    cuts: u8,
    outages: u8,
    /// The highest revision that each life of a node had in force; 0 after its restart.
    reached: [u8; NODES],
    /// Set when a node went back.
    fell: bool,
    /// Set when a joiner came to serve less than every peer that it could ask has.
    joined_low: bool,
}

impl State {
    fn linked(&self, a: usize, b: usize) -> bool {
        a != b && !(self.cut && (a == 0 || b == 0))
    }

    fn serving(&self, i: usize) -> Option<u8> {
        match self.nodes[i] {
            Node::Serving { revision } => Some(revision),
            _ => None,
        }
    }

    fn enforce(&mut self, i: usize, revision: u8) {
        self.fell |= revision < self.reached[i];
        self.reached[i] = revision;
        self.nodes[i] = Node::Serving { revision };
        // A node offers what it has taken to all it has a link to.
        for to in 0..NODES {
            if self.linked(i, to) && !matches!(self.nodes[to], Node::Down) {
                self.offers[i][to] = Some(revision);
            }
        }
    }

    /// The least that a joiner may serve: the highest of the peers that it can ask, provided that
    /// all of them have been asked or the wait is over for those that are cut off.
    fn highest_reachable(&self, i: usize) -> u8 {
        let peers = (0..NODES).filter(|p| self.linked(i, *p));
        peers.filter_map(|p| self.serving(p)).max().unwrap_or(0)
    }
}

impl SpreadSpec {
    fn takes(&self, held: u8, offered: u8) -> bool {
        match self.broken {
            Break::TakesAny => offered != held,
            _ => newer(u64::from(held), u64::from(offered)),
        }
    }

    fn operators(&self, s: &State, next: &mut Vec<(String, State)>) {
        for op in 0..2 {
            if s.up && s.seen[op].is_none() {
                let mut n = s.clone();
                n.seen[op] = Some(s.stored.0);
                next.push((format!("operator {op} reads {}", s.stored.0), n));
            }
            let Some(seen) = s.seen[op] else { continue };
            let swaps = s.stored.0 == seen || self.broken == Break::BlindWrite;
            if s.up && seen < LAST {
                let mut n = s.clone();
                n.seen[op] = None;
                if swaps {
                    n.stored = (seen + 1, op as u8);
                    n.accepted[op] = seen + 1;
                }
                next.push((format!("operator {op} writes {}", seen + 1), n));
            }
        }
    }

    fn faults(&self, s: &State, next: &mut Vec<(String, State)>) {
        if s.outages > 0 || !s.up {
            let mut n = s.clone();
            n.up = !s.up;
            n.outages -= u8::from(s.up);
            next.push((format!("service up: {}", n.up), n));
        }
        if s.cuts > 0 || s.cut {
            let mut n = s.clone();
            n.cut = !s.cut;
            n.cuts -= u8::from(n.cut);
            next.push((format!("node 0 cut off: {}", n.cut), n));
        }
        for i in 0..NODES {
            match s.nodes[i] {
                Node::Down => {
                    let mut n = s.clone();
                    n.nodes[i] = Node::Joining {
                        answers: [None; NODES],
                    };
                    if self.broken == Break::ServesAtOnce {
                        n.nodes[i] = Node::Serving { revision: 0 };
                        n.joined_low |= s.highest_reachable(i) > 0;
                    }
                    next.push((format!("node {i} starts"), n));
                }
                Node::Serving { .. } if s.restarts > 0 => {
                    let mut n = s.clone();
                    n.restarts -= 1;
                    n.nodes[i] = Node::Down;
                    n.reached[i] = 0;
                    for other in 0..NODES {
                        n.offers[i][other] = None;
                        n.offers[other][i] = None;
                    }
                    next.push((format!("node {i} dies"), n));
                }
                Node::Serving { .. } | Node::Joining { .. } => {}
            }
        }
    }

    fn messages(&self, s: &State, next: &mut Vec<(String, State)>) {
        for to in 0..NODES {
            if s.up && !matches!(s.nodes[to], Node::Down) {
                self.watch(s, to, next);
            }
            for from in (0..NODES).filter(|from| s.linked(*from, to)) {
                self.offer(s, from, to, next);
                self.ask(s, from, to, next);
            }
            self.settle(s, to, next);
        }
    }

    /// A watch fires, or a starting node reads the key.
    fn watch(&self, s: &State, to: usize, next: &mut Vec<(String, State)>) {
        let held = s.serving(to).unwrap_or(0);
        if s.stored.0 > 0 && self.takes(held, s.stored.0) {
            let mut n = s.clone();
            n.enforce(to, s.stored.0);
            next.push((format!("node {to} reads {}", s.stored.0), n));
        }
    }

    /// An offer arrives, maybe late.
    fn offer(&self, s: &State, from: usize, to: usize, next: &mut Vec<(String, State)>) {
        let (Some(offered), Some(held)) = (s.offers[from][to], s.serving(to)) else {
            return;
        };
        let mut n = s.clone();
        n.offers[from][to] = None;
        if self.takes(held, offered) {
            n.enforce(to, offered);
        }
        next.push((format!("node {to} hears {offered} from {from}"), n));
    }

    /// A joiner gets a peer's answer.
    fn ask(&self, s: &State, from: usize, to: usize, next: &mut Vec<(String, State)>) {
        let (Node::Joining { answers }, Some(revision)) = (s.nodes[to], s.serving(from)) else {
            return;
        };
        if answers[from] != Some(revision) {
            let mut n = s.clone();
            let mut answers = answers;
            answers[from] = Some(revision);
            n.nodes[to] = Node::Joining { answers };
            next.push((format!("joiner {to} is told {revision} by {from}"), n));
        }
    }

    /// A joiner has asked enough, or waited for peers that can't answer.
    fn settle(&self, s: &State, i: usize, next: &mut Vec<(String, State)>) {
        let Node::Joining { answers } = s.nodes[i] else {
            return;
        };
        let got = answers.iter().flatten().count();
        let can = (0..NODES).filter(|p| s.linked(i, *p) && s.serving(*p).is_some());
        let waited = can.clone().all(|p| answers[p].is_some());
        let enough = match self.broken {
            Break::FirstAnswer => got > 0,
            _ => settled(got, NODES - 1, waited),
        };
        let Some(best) = answers
            .iter()
            .flatten()
            .copied()
            .max()
            .filter(|b| enough && *b > 0)
        else {
            return;
        };
        // Peers that changed since they answered offer the newer one; what counts is whether one
        // that could be asked was left out.
        let left_out = can
            .filter(|p| answers[*p].is_none())
            .filter_map(|p| s.serving(p))
            .max();
        let mut n = s.clone();
        n.joined_low |= left_out.is_some_and(|l| l > best);
        n.enforce(i, best);
        next.push((format!("joiner {i} serves {best}"), n));
    }
}

impl Spec for SpreadSpec {
    type State = State;

    fn initial(&self) -> Vec<State> {
        vec![State {
            stored: (1, 0),
            up: true,
            seen: [None; 2],
            accepted: [0; 2],
            nodes: [Node::Serving { revision: 1 }; NODES],
            offers: [[None; NODES]; NODES],
            cut: false,
            restarts: 1,
            cuts: 1,
            outages: 1,
            reached: [1; NODES],
            fell: false,
            joined_low: false,
        }]
    }

    fn steps(&self, s: &State) -> Vec<(String, State)> {
        let mut next = Vec::new();
        self.operators(s, &mut next);
        self.faults(s, &mut next);
        self.messages(s, &mut next);
        next
    }

    fn invariant(&self, s: &State) -> Result<(), String> {
        let lost = s.accepted[0] > 0 && s.accepted[0] == s.accepted[1];
        match () {
            () if s.fell => Err("a node went back to an older revision".to_owned()),
            () if s.joined_low => {
                Err("a joiner serves less than a peer that it could ask".to_owned())
            }
            () if lost => {
                Err("two operators were told that the same revision is theirs".to_owned())
            }
            () if s.nodes.iter().any(|n| ahead(n, s.stored.0)) => {
                Err("a node serves what was never stored".to_owned())
            }
            () => Ok(()),
        }
    }
}

fn ahead(node: &Node, stored: u8) -> bool {
    matches!(node, Node::Serving { revision } if *revision > stored)
}

#[test]
fn the_spread_keeps_its_invariants_in_every_state() {
    let states = explore(
        &SpreadSpec {
            broken: Break::Nothing,
        },
        BOUND,
    );
    let states = states.unwrap_or_else(|found| panic!("{found}"));
    println!("{states} states of the spread");
    assert!(states > 10_000);
}

/// Each mistake is one that somebody could make in the code; the specification must see what users
/// would: a withdrawn version that serves again, or an operator's change that is lost.
#[test]
fn each_deliberate_break_is_found() {
    let cases = [
        (Break::TakesAny, "a node went back to an older revision"),
        (
            Break::FirstAnswer,
            "a joiner serves less than a peer that it could ask",
        ),
        (
            Break::ServesAtOnce,
            "a joiner serves less than a peer that it could ask",
        ),
        (
            Break::BlindWrite,
            "two operators were told that the same revision is theirs",
        ),
    ];
    for (broken, promise) in cases {
        let found = explore(&SpreadSpec { broken }, BOUND).expect_err("the break is found");
        println!("{broken:?}: {found}");
        assert_eq!(found.broken, promise);
        assert!(found.steps.len() <= 12, "{found}");
    }
}
