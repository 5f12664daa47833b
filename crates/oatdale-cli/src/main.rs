//! Entry point.
fn main() {}
