//! Encodes the responses to HTTP health checks.

use super::request::{Method, Persistence, Request, Target};
use simd_json::prelude::*;
use simd_json::{OwnedValue, json};
use task_placer::Micros;
use task_placer::health::{Report, Signal, SignalReading, State};

const ALLOW_HEADER: &str = "Allow: GET, HEAD, OPTIONS\r\n";
const TEXT: &str = "text/plain";
const HEALTH_JSON: &str = "application/health+json";
const MICROS_PER_MILLISECOND: Micros = 1_000;

/// The values that determine a response besides the request and the health report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResponseContext {
    /// The current wall-clock time, in microseconds since the Unix epoch.
    pub now: Micros,
    /// Whether the endpoint list has ever been received.
    pub has_started: bool,
    /// The HTTP status that announces a drain.
    pub drain_status: u16,
    /// The weight below which a response carries `x-envoy-degraded`, which tells Envoy that the placer is degraded.
    pub degraded_below: u8,
}

/// A response before it is encoded.
struct Response<'a> {
    status: u16,
    persistence: Persistence,
    /// Additional header lines, each with its CR LF.
    headers: &'a str,
    content_type: &'a str,
    body: &'a str,
    /// The method of the request, which determines whether the body is sent.
    method: Method,
}

/// Returns the status and the bytes of the response to a request.
pub fn respond(request: &Request, report: &Report, context: &ResponseContext) -> (u16, Vec<u8>) {
    let status = status(request, report, context);
    let (content_type, body) = match request.target {
        _ if status == 204 => (TEXT, String::new()),
        Target::Health => (HEALTH_JSON, health_json(report, context).encode()),
        _ => (TEXT, format!("{} {}\n", report.state, report.weight)),
    };
    let response = Response {
        status,
        persistence: request.persistence,
        headers: &headers(request, report, context),
        content_type,
        body: &body,
        method: request.method,
    };
    (status, response.encode())
}

/// Returns the bytes of the response to a request that was rejected while parsing.
pub fn respond_rejected(status: u16) -> Vec<u8> {
    Response {
        status,
        persistence: Persistence::Close,
        headers: if status == 405 { ALLOW_HEADER } else { "" },
        content_type: TEXT,
        body: &format!("{status} {}\n", reason_phrase(status)),
        method: Method::Get,
    }
    .encode()
}

fn status(request: &Request, report: &Report, context: &ResponseContext) -> u16 {
    let ok_if = |is_ok: bool| if is_ok { 200 } else { 503 };
    match (request.target, request.method) {
        (Target::Unknown, _) => 404,
        (_, Method::Options) => 204,
        (Target::Live, _) => ok_if(report.state != State::Stopped),
        (Target::Startup, _) => ok_if(context.has_started),
        _ if report.state == State::Drain => context.drain_status,
        _ => ok_if(report.state.is_serving() && context.has_started),
    }
}

fn headers(request: &Request, report: &Report, context: &ResponseContext) -> String {
    let mut headers = String::new();
    // Envoy moves all traffic away from a degraded upstream host while others have capacity, so only a placer with a
    // very low weight is reported as degraded.
    if report.state.is_serving() && report.weight < context.degraded_below {
        headers.push_str("x-envoy-degraded: true\r\n");
    }
    if !report.state.is_serving() {
        headers.push_str("x-envoy-immediate-health-check-fail: true\r\n");
    }
    if request.method == Method::Options {
        headers.push_str(ALLOW_HEADER);
    }
    headers
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        417 => "Expectation Failed",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        505 => "HTTP Version Not Supported",
        _ => "Unknown",
    }
}

impl Response<'_> {
    fn encode(&self) -> Vec<u8> {
        let status = self.status;
        let reason = reason_phrase(status);
        let connection = match self.persistence {
            Persistence::KeepAlive => "keep-alive",
            Persistence::Close => "close",
        };
        let content = if status == 204 {
            String::new()
        } else {
            format!(
                "Content-Type: {}\r\nContent-Length: {}\r\n",
                self.content_type,
                self.body.len()
            )
        };
        let headers = self.headers;
        let mut text = format!(
            "HTTP/1.1 {status} {reason}\r\nCache-Control: no-store\r\nConnection: {connection}\r\n{content}{headers}\r\n"
        );
        if self.method != Method::Head && status != 204 {
            text.push_str(self.body);
        }
        text.into_bytes()
    }
}

/// Returns the value, or the largest finite number if the value is NaN or infinite, which JSON can't represent.
fn finite(value: f64) -> f64 {
    if value.is_finite() { value } else { f64::MAX }
}

/// Returns the unit of a signal's value for the body of `/health`.
fn unit(signal: Signal) -> &'static str {
    match signal {
        Signal::DiscoveryAge => "s",
        Signal::RequestAge => "aims",
        _ => "share",
    }
}

fn check_json(reading: &SignalReading) -> OwnedValue {
    let status = match reading.own_severity {
        severity if severity <= 0.0 => "pass",
        severity if severity < 1.0 => "warn",
        _ => "fail",
    };
    json!([{
        "componentType": "system",
        "observedValue": finite(reading.value),
        "observedUnit": unit(reading.signal),
        "status": status,
        "leaves": finite(reading.max_weight)
    }])
}

/// Returns the body of `/health`, after the public draft 'Health Check Response Format for HTTP APIs'
/// (draft-inadarei-api-health-check): the status `pass`, `warn` or `fail`, and each signal as a check.
pub(super) fn health_json(report: &Report, context: &ResponseContext) -> OwnedValue {
    let status = match report.state {
        State::Up => "pass",
        State::Starting | State::Degraded => "warn",
        _ => "fail",
    };
    let mut checks = OwnedValue::object();
    for reading in &report.signals {
        let _ = checks.insert(reading.signal.as_str(), check_json(reading));
    }
    json!({
        "status": status,
        "output": report.cause.map_or("", Signal::as_str),
        "state": report.state.as_str(),
        "weight": report.weight,
        "fleet": finite(report.explained_by_fleet),
        "sinceMs": (report.since / MICROS_PER_MILLISECOND),
        "timeMs": (context.now / MICROS_PER_MILLISECOND),
        "checks": checks
    })
}
