//! Exhaustive model checking of small specifications, for tests.
//!
//! The search is the breadth-first reachability of `pathfinding`. This crate adds the interface
//! that the specifications share: named steps, one invariant, and a shortest counterexample.
//!
//! ```
//! use oatdale_check::{explore, Spec};
//!
//! /// A counter that must stay below `bound`.
//! struct Counter {
//!     bound: u8,
//! }
//!
//! impl Spec for Counter {
//!     type State = u8;
//!
//!     fn initial(&self) -> Vec<u8> {
//!         vec![0]
//!     }
//!
//!     fn steps(&self, state: &u8) -> Vec<(String, u8)> {
//!         match state {
//!             0..4 => vec![("count".to_owned(), state + 1)],
//!             _ => Vec::new(),
//!         }
//!     }
//!
//!     fn invariant(&self, state: &u8) -> Result<(), String> {
//!         match *state < self.bound {
//!             true => Ok(()),
//!             false => Err(format!("{state} reaches the bound")),
//!         }
//!     }
//! }
//!
//! assert_eq!(explore(&Counter { bound: 9 }, 100).unwrap(), 5);
//! let counterexample = explore(&Counter { bound: 2 }, 100).unwrap_err();
//! assert_eq!(counterexample.steps, ["count", "count"]);
//! ```

use pathfinding::directed::bfs::{bfs, bfs_reach};
use std::fmt;
use std::hash::Hash;

/// A state machine with an invariant.
pub trait Spec {
    /// One state of the whole system.
    type State: Clone + Eq + Hash;

    /// Returns the initial states.
    fn initial(&self) -> Vec<Self::State>;

    /// Returns every step from a state: its name, for the counterexample, and the next state.
    fn steps(&self, state: &Self::State) -> Vec<(String, Self::State)>;

    /// Checks the invariant, which must hold in every reachable state.
    ///
    /// # Errors
    ///
    /// Returns a description of the violation.
    fn invariant(&self, state: &Self::State) -> Result<(), String>;
}

/// A shortest sequence of steps that violates the invariant, or a report without steps that the
/// bound on the number of states was too small.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Counterexample {
    /// Description of the violation, or of the bound that was too small.
    pub violation: String,
    /// Names of the steps from an initial state to the violation.
    pub steps: Vec<String>,
}

impl fmt::Display for Counterexample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} after {} steps", self.violation, self.steps.len())?;
        for (index, step) in self.steps.iter().enumerate() {
            writeln!(f, "{:3}. {step}", index + 1)?;
        }
        Ok(())
    }
}

/// Vertex of the search graph. The root precedes all initial states, so that one search covers
/// them.
#[derive(Clone, PartialEq, Eq, Hash)]
enum Vertex<S> {
    Root,
    State(S),
}

/// Visits every reachable state and returns their number.
///
/// # Errors
///
/// Returns a shortest counterexample if the invariant is violated, and an error without steps if
/// there are more than `max_states` states, since the search is then incomplete.
pub fn explore<S: Spec>(spec: &S, max_states: usize) -> Result<usize, Counterexample> {
    let mut count = 0;
    for node in bfs_reach(Vertex::Root, |node| successors(spec, node)) {
        let Vertex::State(state) = node else { continue };
        count += 1;
        if spec.invariant(&state).is_err() {
            return Err(shortest_counterexample(spec));
        }
        if count > max_states {
            return Err(Counterexample {
                violation: format!(
                    "more than {max_states} states are reachable; the bound is too small"
                ),
                steps: Vec::new(),
            });
        }
    }
    Ok(count)
}

fn successors<S: Spec>(spec: &S, node: &Vertex<S::State>) -> Vec<Vertex<S::State>> {
    match node {
        Vertex::Root => spec.initial().into_iter().map(Vertex::State).collect(),
        Vertex::State(state) => spec
            .steps(state)
            .into_iter()
            .map(|(_, next)| Vertex::State(next))
            .collect(),
    }
}

fn shortest_counterexample<S: Spec>(spec: &S) -> Counterexample {
    let path = bfs(
        &Vertex::Root,
        |node| successors(spec, node),
        |node| matches!(node, Vertex::State(state) if spec.invariant(state).is_err()),
    )
    .expect("`explore` found a state that violates the invariant");
    let states: Vec<&S::State> = path
        .iter()
        .filter_map(|node| match node {
            Vertex::Root => None,
            Vertex::State(state) => Some(state),
        })
        .collect();
    let violation = states.last().and_then(|last| spec.invariant(last).err());
    Counterexample {
        violation: violation.unwrap_or_default(),
        steps: states
            .windows(2)
            .map(|pair| step_name(spec, pair[0], pair[1]))
            .collect(),
    }
}

fn step_name<S: Spec>(spec: &S, from: &S::State, to: &S::State) -> String {
    spec.steps(from)
        .into_iter()
        .find(|(_, next)| next == to)
        .map(|(name, _)| name)
        .unwrap_or_default()
}
