//! HTTP/1.1 health checks: functions without I/O that parse bytes to a request and encode the response to it.

mod request;
mod response;

pub use request::{Parsed, Persistence, Request, Target, parse};
pub use response::{ResponseContext, respond, respond_rejected};

#[cfg(test)]
mod tests;
