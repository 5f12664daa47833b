//! The router's decisions, by subject.

mod admission;
mod fixture;
mod learning;
mod states;
