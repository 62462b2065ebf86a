//! Load tests of whole deployments: plans, open-loop arrivals, clients that time out and retry, faults, and the
//! evaluation of a run.
//!
//! The placers are real processes; hosts, feeds, clients and load balancers are emulated. All times are in
//! microseconds.

#![recursion_limit = "256"]

pub mod arrivals;
pub mod clients;
pub mod fault_injector;
pub mod fault_proxies;
pub mod load_balancer;
pub mod load_profile;
pub mod outcome;
pub mod overload_impact;
pub mod plan;
pub mod report;
pub mod report_table;
pub mod results;
pub mod run;
pub mod search;
