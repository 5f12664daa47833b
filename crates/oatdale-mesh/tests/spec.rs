//! Model checking of how a configuration spreads, by exhaustive search of the reachable states.
//!
//! The specification calls the functions that the implementation uses: `supersedes` decides which
//! revision replaces which, `enough_answers` decides whether enough peers have answered a joiner.

use oatdale_check::{Spec, explore};
use oatdale_mesh::{enough_answers, supersedes};

const NODE_COUNT: usize = 3;
const MAX_REVISION: u8 = 3;
const MAX_STATES: usize = 20_000_000;

/// A deliberate fault in the specification; the search must detect each one.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Mutation {
    Unmodified,
    /// A node adopts any offered revision that differs from its own, also an older one.
    AcceptsAnyRevision,
    /// A joiner adopts the first answer instead of waiting for enough peers.
    AcceptsFirstAnswer,
    /// A restarted node serves before it has asked any peer.
    ServesBeforeJoin,
    /// The service accepts a write even if the stored revision is not the one that was read.
    UnconditionalWrite,
}

struct SpreadSpec {
    mutation: Mutation,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Node {
    Down,
    /// Started and waiting for answers; those received so far, by peer.
    Joining {
        answers: [Option<u8>; NODE_COUNT],
    },
    /// Serving with this revision in force.
    Serving {
        revision: u8,
    },
}

/// A state of three nodes, the key-value service and two operators.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct State {
    /// The revision that the service stores, and the operator that wrote it.
    stored: (u8, u8),
    /// Whether the service answers.
    service_up: bool,
    /// The revision that each operator has read and is about to replace.
    read: [Option<u8>; 2],
    /// The last revision of each operator that the service accepted.
    accepted: [u8; 2],
    nodes: [Node; NODE_COUNT],
    /// Offers in flight, by sender and receiver, with the revision when sent. They may arrive late
    /// and in any order.
    offers: [[Option<u8>; NODE_COUNT]; NODE_COUNT],
    /// Whether node 0 is partitioned off from the other nodes.
    partitioned: bool,
    /// Faults that may still be injected, which bounds the search.
    remaining_restarts: u8,
    remaining_partitions: u8,
    remaining_outages: u8,
    /// The highest revision in force at each node since its start; 0 after a restart.
    highest_revision: [u8; NODE_COUNT],
    /// Whether a node has returned to an older revision.
    revision_decreased: bool,
    /// Whether a joiner has begun to serve an older revision than a peer that it could reach.
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
        // A node offers the adopted revision to every node that it has a link to.
        for to in 0..NODE_COUNT {
            if self.connected(i, to) && !matches!(self.nodes[to], Node::Down) {
                self.offers[i][to] = Some(revision);
            }
        }
    }

    /// The lowest revision that joiner `i` may serve: the highest one of the peers that it can
    /// reach, provided that it has asked all of them or that the wait for partitioned ones is over.
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
            _ => supersedes(u64::from(current), u64::from(offered)),
        }
    }

    fn operator_steps(&self, s: &State, successors: &mut Vec<(String, State)>) {
        for op in 0..2 {
            if s.service_up && s.read[op].is_none() {
                let mut n = s.clone();
                n.read[op] = Some(s.stored.0);
                successors.push((format!("operator {op} reads revision {}", s.stored.0), n));
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
                successors.push((format!("operator {op} writes revision {}", read + 1), n));
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
            successors.push((format!("node 0 partitioned: {}", n.partitioned), n));
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

    /// A node's watch fires, or a starting node reads the key.
    fn watch_steps(&self, s: &State, to: usize, successors: &mut Vec<(String, State)>) {
        let current = s.serving_revision(to).unwrap_or(0);
        if s.stored.0 > 0 && self.accepts(current, s.stored.0) {
            let mut n = s.clone();
            n.apply_revision(to, s.stored.0);
            successors.push((format!("node {to} reads revision {}", s.stored.0), n));
        }
    }

    /// An offer arrives, possibly late.
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
        successors.push((
            format!("node {to} receives offer {offered} from node {from}"),
            n,
        ));
    }

    /// A joiner receives a peer's answer.
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
            successors.push((
                format!("joiner {to} receives answer {revision} from node {from}"),
                n,
            ));
        }
    }

    /// A joiner starts to serve once it has enough answers or has waited for unreachable peers.
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
            _ => enough_answers(answer_count, NODE_COUNT - 1, all_answered),
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
        // A peer that adopts a newer revision after its answer sends an offer for it, so only
        // reachable peers that were not asked count.
        let newest_unasked = reachable
            .filter(|p| answers[*p].is_none())
            .filter_map(|p| s.serving_revision(p))
            .max();
        let mut n = s.clone();
        n.joined_stale |= newest_unasked.is_some_and(|l| l > best);
        n.apply_revision(i, best);
        successors.push((format!("joiner {i} serves revision {best}"), n));
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
            () if s.revision_decreased => Err("a node returned to an older revision".to_owned()),
            () if s.joined_stale => {
                Err("a joiner serves an older revision than a reachable peer".to_owned())
            }
            () if double_accept => {
                Err("the same revision was accepted from two operators".to_owned())
            }
            () if s.nodes.iter().any(|n| is_ahead_of_store(n, s.stored.0)) => {
                Err("a node serves a revision that was never stored".to_owned())
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
    println!("{states} states of the configuration's spread");
    assert!(states > 10_000);
}

/// Each mutation is a plausible implementation mistake. The specification must detect its effect on
/// users: a withdrawn version that serves again, or an operator's change that is lost.
#[test]
fn each_mutation_is_found() {
    let cases = [
        (
            Mutation::AcceptsAnyRevision,
            "a node returned to an older revision",
        ),
        (
            Mutation::AcceptsFirstAnswer,
            "a joiner serves an older revision than a reachable peer",
        ),
        (
            Mutation::ServesBeforeJoin,
            "a joiner serves an older revision than a reachable peer",
        ),
        (
            Mutation::UnconditionalWrite,
            "the same revision was accepted from two operators",
        ),
    ];
    for (mutation, violation) in cases {
        let found = explore(&SpreadSpec { mutation }, MAX_STATES)
            .expect_err("the mutation violates an invariant");
        println!("{mutation:?}: {found}");
        assert_eq!(found.violation, violation);
        assert!(found.steps.len() <= 12, "{found}");
    }
}
