//! A typical load balancer in front of placers: its state without sockets, the same with sockets for tests, and the
//! clients that connect through it.

mod agent_report;
mod balancer;
pub mod clients;
pub mod polling;
#[cfg(test)]
mod tests;

pub use agent_report::{AdminState, AgentReport, InvalidAgentReport, parse_agent_report};
pub use balancer::{CheckResult, LoadBalancer, Server};
