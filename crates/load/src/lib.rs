//! Rehearsals: plans, arrivals that wait for nobody, owners that act like owners, and what is made of it.

pub mod arrivals;
pub mod owners;
pub mod plan;
pub mod shape;
