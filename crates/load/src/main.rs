//! Rehearsals.
fn main() {}
