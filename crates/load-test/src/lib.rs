//! Rehearsals: plans, arrivals that wait for nobody, clients that act like real ones, and what is made of it.

#![recursion_limit = "256"]

pub mod arrivals;
pub mod clients;
pub mod director;
pub mod front;
pub mod harm;
pub mod network;
pub mod plan;
pub mod report;
pub mod results;
pub mod run;
pub mod search;
pub mod shape;
pub mod table;
