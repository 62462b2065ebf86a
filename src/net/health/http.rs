//! HTTP/1.1 health checks: pure functions from bytes to a request, and from a request to a response.

mod request;
mod response;

pub use request::{Parsed, Persistence, Request, Target, parse};
pub use response::{ResponseContext, respond, respond_rejected};

#[cfg(test)]
mod tests;
