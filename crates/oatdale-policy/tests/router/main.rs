//! Tests of the router's decisions, grouped by subject.

mod admission;
mod fixture;
mod learning;
mod states;
