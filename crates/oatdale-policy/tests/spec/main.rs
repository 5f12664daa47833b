//! Specifications of version states, sessions, roll-outs and their stop, explored exhaustively.

mod rollout;
mod stop;
