//! Explores small specifications exhaustively; used by tests only.
//!
//! The search itself is `pathfinding`'s breadth-first reachability. This crate gives it the shape
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

/// A small state machine with an invariant.
pub trait Spec {
    /// One state of the whole system.
    type State: Clone + Eq + Hash;

    /// The states it may start in.
    fn initial(&self) -> Vec<Self::State>;

    /// Every step that may be taken from a state, with a name for the counterexample.
    fn steps(&self, state: &Self::State) -> Vec<(String, Self::State)>;

    /// What must hold in every state that can be reached.
    ///
    /// # Errors
    ///
    /// Says which promise is broken.
    fn invariant(&self, state: &Self::State) -> Result<(), String>;
}

/// A shortest run that breaks the invariant, or the news that the bound was too small.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Counterexample {
    /// Which promise is broken.
    pub broken: String,
    /// The names of the steps that lead there.
    pub steps: Vec<String>,
}

impl fmt::Display for Counterexample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} after {} steps", self.broken, self.steps.len())?;
        for (index, step) in self.steps.iter().enumerate() {
            writeln!(f, "{:3}. {step}", index + 1)?;
        }
        Ok(())
    }
}

/// A state below a common root, so that one search covers all initial states.
#[derive(Clone, PartialEq, Eq, Hash)]
enum Vertex<S> {
    Root,
    State(S),
}

/// Visits every state that can be reached and returns how many there are.
///
/// # Errors
///
/// Returns a shortest counterexample if the invariant breaks, and an error without steps if there
/// are more than `max_states` states, since then nothing was proved.
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
                broken: format!("the bound of {max_states} states is too small"),
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
    .expect("the caller reached a state that breaks the invariant");
    let states: Vec<&S::State> = path
        .iter()
        .filter_map(|node| match node {
            Vertex::Root => None,
            Vertex::State(state) => Some(state),
        })
        .collect();
    let broken = states.last().and_then(|last| spec.invariant(last).err());
    Counterexample {
        broken: broken.unwrap_or_default(),
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
