//! The router's decisions, by subject.

mod admission;
mod fixture;
mod states;
