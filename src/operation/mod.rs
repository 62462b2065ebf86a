//! What the people who run a placer day by day ask of it: how it is and what it has done, to be emptied and
//! taken back, and to hand over to the process that takes its place. Without I/O.

pub mod admin;
pub mod counters;
pub mod lifecycle;
pub mod process_group;
