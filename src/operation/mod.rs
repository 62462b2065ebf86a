//! What the people who run a placer day by day ask of it: how it is and what it has done, to be emptied and
//! taken back, and to hand over to the process that takes its place. Without I/O.

pub mod calls;
pub mod company;
pub mod duty;
pub mod tally;
