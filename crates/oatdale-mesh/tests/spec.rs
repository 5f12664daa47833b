//! The spread of the configuration, explored state by state.
//!
//! The specification decides with the functions that the code uses: which revision replaces which,
//! and when a joiner has asked enough peers.

use oatdale_check::{Spec, explore};
use oatdale_mesh::{newer, settled};

const NODE_COUNT: usize = 3;
const MAX_REVISION: u8 = 3;
const MAX_STATES: usize = 20_000_000;

/// What is wrong on purpose; each must be found.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Mutation {
    Unmodified,
    /// Takes any revision that is offered, as a node that only compares for difference.
    AcceptsAnyRevision,
    /// A joiner takes the first answer.
    AcceptsFirstAnswer,
    /// A restarted node serves before it has asked anyone.
    ServesBeforeJoin,
    /// Writes without comparing with what the operator saw.
    UnconditionalWrite,
}

struct SpreadSpec {
    mutation: Mutation,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Node {
    Down,
    /// Started; the answers that it got so far, by peer.
    Joining {
        answers: [Option<u8>; NODE_COUNT],
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
    service_up: bool,
    /// What each operator has read and wants to replace.
    read: [Option<u8>; 2],
    /// Writes that operators were told are accepted.
    accepted: [u8; 2],
    nodes: [Node; NODE_COUNT],
    /// Offers under way: from whom (by revision when sent) to whom. Late and in any order.
    offers: [[Option<u8>; NODE_COUNT]; NODE_COUNT],
    /// Node 0 can't reach the others while true.
    partitioned: bool,
    remaining_restarts: u8,
    remaining_partitions: u8,
    remaining_outages: u8,
    /// The highest revision that each life of a node had in force; 0 after its restart.
    highest_revision: [u8; NODE_COUNT],
    /// Set when a node went back.
    revision_decreased: bool,
    /// Set when a joiner came to serve less than every peer that it could ask has.
    joined_stale: bool,
}

impl State {
    fn connected(&self, a: usize, b: usize) -> bool {
        a != b && !(self.partitioned && (a == 0 || b == 0))
    }

    fn serving_revision(&self, i: usize) -> Option<u8> {
        match self.nodes[i] {
            Node::Serving { revision } => Some(revision),
            _ => None,
        }
    }

    fn apply_revision(&mut self, i: usize, revision: u8) {
        self.revision_decreased |= revision < self.highest_revision[i];
        self.highest_revision[i] = revision;
        self.nodes[i] = Node::Serving { revision };
        // A node offers what it has taken to all it has a link to.
        for to in 0..NODE_COUNT {
            if self.connected(i, to) && !matches!(self.nodes[to], Node::Down) {
                self.offers[i][to] = Some(revision);
            }
        }
    }

    /// The least that a joiner may serve: the highest of the peers that it can ask, provided that
    /// all of them have been asked or the wait is over for those that are cut off.
    fn highest_reachable(&self, i: usize) -> u8 {
        let peers = (0..NODE_COUNT).filter(|p| self.connected(i, *p));
        peers
            .filter_map(|p| self.serving_revision(p))
            .max()
            .unwrap_or(0)
    }
}

impl SpreadSpec {
    fn accepts(&self, current: u8, offered: u8) -> bool {
        match self.mutation {
            Mutation::AcceptsAnyRevision => offered != current,
            _ => newer(u64::from(current), u64::from(offered)),
        }
    }

    fn operator_steps(&self, s: &State, successors: &mut Vec<(String, State)>) {
        for op in 0..2 {
            if s.service_up && s.read[op].is_none() {
                let mut n = s.clone();
                n.read[op] = Some(s.stored.0);
                successors.push((format!("operator {op} reads {}", s.stored.0), n));
            }
            let Some(read) = s.read[op] else { continue };
            let write_succeeds =
                s.stored.0 == read || self.mutation == Mutation::UnconditionalWrite;
            if s.service_up && read < MAX_REVISION {
                let mut n = s.clone();
                n.read[op] = None;
                if write_succeeds {
                    n.stored = (read + 1, op as u8);
                    n.accepted[op] = read + 1;
                }
                successors.push((format!("operator {op} writes {}", read + 1), n));
            }
        }
    }

    fn fault_steps(&self, s: &State, successors: &mut Vec<(String, State)>) {
        if s.remaining_outages > 0 || !s.service_up {
            let mut n = s.clone();
            n.service_up = !s.service_up;
            n.remaining_outages -= u8::from(s.service_up);
            successors.push((format!("service up: {}", n.service_up), n));
        }
        if s.remaining_partitions > 0 || s.partitioned {
            let mut n = s.clone();
            n.partitioned = !s.partitioned;
            n.remaining_partitions -= u8::from(n.partitioned);
            successors.push((format!("node 0 cut off: {}", n.partitioned), n));
        }
        for i in 0..NODE_COUNT {
            match s.nodes[i] {
                Node::Down => {
                    let mut n = s.clone();
                    n.nodes[i] = Node::Joining {
                        answers: [None; NODE_COUNT],
                    };
                    if self.mutation == Mutation::ServesBeforeJoin {
                        n.nodes[i] = Node::Serving { revision: 0 };
                        n.joined_stale |= s.highest_reachable(i) > 0;
                    }
                    successors.push((format!("node {i} starts"), n));
                }
                Node::Serving { .. } if s.remaining_restarts > 0 => {
                    let mut n = s.clone();
                    n.remaining_restarts -= 1;
                    n.nodes[i] = Node::Down;
                    n.highest_revision[i] = 0;
                    for other in 0..NODE_COUNT {
                        n.offers[i][other] = None;
                        n.offers[other][i] = None;
                    }
                    successors.push((format!("node {i} dies"), n));
                }
                Node::Serving { .. } | Node::Joining { .. } => {}
            }
        }
    }

    fn message_steps(&self, s: &State, successors: &mut Vec<(String, State)>) {
        for to in 0..NODE_COUNT {
            if s.service_up && !matches!(s.nodes[to], Node::Down) {
                self.watch_steps(s, to, successors);
            }
            for from in (0..NODE_COUNT).filter(|from| s.connected(*from, to)) {
                self.offer_steps(s, from, to, successors);
                self.answer_steps(s, from, to, successors);
            }
            self.join_steps(s, to, successors);
        }
    }

    /// A watch fires, or a starting node reads the key.
    fn watch_steps(&self, s: &State, to: usize, successors: &mut Vec<(String, State)>) {
        let current = s.serving_revision(to).unwrap_or(0);
        if s.stored.0 > 0 && self.accepts(current, s.stored.0) {
            let mut n = s.clone();
            n.apply_revision(to, s.stored.0);
            successors.push((format!("node {to} reads {}", s.stored.0), n));
        }
    }

    /// An offer arrives, maybe late.
    fn offer_steps(
        &self,
        s: &State,
        from: usize,
        to: usize,
        successors: &mut Vec<(String, State)>,
    ) {
        let (Some(offered), Some(current)) = (s.offers[from][to], s.serving_revision(to)) else {
            return;
        };
        let mut n = s.clone();
        n.offers[from][to] = None;
        if self.accepts(current, offered) {
            n.apply_revision(to, offered);
        }
        successors.push((format!("node {to} hears {offered} from {from}"), n));
    }

    /// A joiner gets a peer's answer.
    fn answer_steps(
        &self,
        s: &State,
        from: usize,
        to: usize,
        successors: &mut Vec<(String, State)>,
    ) {
        let (Node::Joining { answers }, Some(revision)) = (s.nodes[to], s.serving_revision(from))
        else {
            return;
        };
        if answers[from] != Some(revision) {
            let mut n = s.clone();
            let mut answers = answers;
            answers[from] = Some(revision);
            n.nodes[to] = Node::Joining { answers };
            successors.push((format!("joiner {to} is told {revision} by {from}"), n));
        }
    }

    /// A joiner has asked enough, or waited for peers that can't answer.
    fn join_steps(&self, s: &State, i: usize, successors: &mut Vec<(String, State)>) {
        let Node::Joining { answers } = s.nodes[i] else {
            return;
        };
        let answer_count = answers.iter().flatten().count();
        let reachable =
            (0..NODE_COUNT).filter(|p| s.connected(i, *p) && s.serving_revision(*p).is_some());
        let all_answered = reachable.clone().all(|p| answers[p].is_some());
        let enough = match self.mutation {
            Mutation::AcceptsFirstAnswer => answer_count > 0,
            _ => settled(answer_count, NODE_COUNT - 1, all_answered),
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
        let newest_unasked = reachable
            .filter(|p| answers[*p].is_none())
            .filter_map(|p| s.serving_revision(p))
            .max();
        let mut n = s.clone();
        n.joined_stale |= newest_unasked.is_some_and(|l| l > best);
        n.apply_revision(i, best);
        successors.push((format!("joiner {i} serves {best}"), n));
    }
}

impl Spec for SpreadSpec {
    type State = State;

    fn initial(&self) -> Vec<State> {
        vec![State {
            stored: (1, 0),
            service_up: true,
            read: [None; 2],
            accepted: [0; 2],
            nodes: [Node::Serving { revision: 1 }; NODE_COUNT],
            offers: [[None; NODE_COUNT]; NODE_COUNT],
            partitioned: false,
            remaining_restarts: 1,
            remaining_partitions: 1,
            remaining_outages: 1,
            highest_revision: [1; NODE_COUNT],
            revision_decreased: false,
            joined_stale: false,
        }]
    }

    fn steps(&self, s: &State) -> Vec<(String, State)> {
        let mut successors = Vec::new();
        self.operator_steps(s, &mut successors);
        self.fault_steps(s, &mut successors);
        self.message_steps(s, &mut successors);
        successors
    }

    fn invariant(&self, s: &State) -> Result<(), String> {
        let double_accept = s.accepted[0] > 0 && s.accepted[0] == s.accepted[1];
        match () {
            () if s.revision_decreased => Err("a node went back to an older revision".to_owned()),
            () if s.joined_stale => {
                Err("a joiner serves less than a peer that it could ask".to_owned())
            }
            () if double_accept => {
                Err("two operators were told that the same revision is theirs".to_owned())
            }
            () if s.nodes.iter().any(|n| is_ahead_of_store(n, s.stored.0)) => {
                Err("a node serves what was never stored".to_owned())
            }
            () => Ok(()),
        }
    }
}

fn is_ahead_of_store(node: &Node, stored: u8) -> bool {
    matches!(node, Node::Serving { revision } if *revision > stored)
}

#[test]
fn config_spread_keeps_its_invariants_in_every_state() {
    let states = explore(
        &SpreadSpec {
            mutation: Mutation::Unmodified,
        },
        MAX_STATES,
    );
    let states = states.unwrap_or_else(|found| panic!("{found}"));
    println!("{states} states of the spread");
    assert!(states > 10_000);
}

/// Each mistake is one that somebody could make in the code; the specification must see what users
/// would: a withdrawn version that serves again, or an operator's change that is lost.
#[test]
fn each_mutation_is_found() {
    let cases = [
        (
            Mutation::AcceptsAnyRevision,
            "a node went back to an older revision",
        ),
        (
            Mutation::AcceptsFirstAnswer,
            "a joiner serves less than a peer that it could ask",
        ),
        (
            Mutation::ServesBeforeJoin,
            "a joiner serves less than a peer that it could ask",
        ),
        (
            Mutation::UnconditionalWrite,
            "two operators were told that the same revision is theirs",
        ),
    ];
    for (mutation, violation) in cases {
        let found = explore(&SpreadSpec { mutation }, MAX_STATES).expect_err("the break is found");
        println!("{mutation:?}: {found}");
        assert_eq!(found.broken, violation);
        assert!(found.steps.len() <= 12, "{found}");
    }
}
