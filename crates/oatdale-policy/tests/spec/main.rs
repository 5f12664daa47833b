//! Specifications of version states, sessions, rollouts and their stop, explored exhaustively.

mod rollout;
mod stop;
