//! HTTP/1.1 checks: pure functions from bytes to a request and from a request to an answer.
//!
//! `httparse` reads; what it passes that two readers could take differently is turned away here, since a
//! check that travels through proxies is a way in: a body of any kind, lengths that disagree, a line that
//! ends in a bare line feed, a name with a space before its colon, a folded line.

use simd_json::prelude::*;
use simd_json::{OwnedValue, json};
use task_placer::Micros;
use task_placer::health::{Code, Reading, Report, State};

/// No request holds more.
pub const MOST_REQUEST: usize = 8 * 1024;
const MOST_HEADERS: usize = 64;

/// What a check asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// The answer.
    Get,
    /// Its headers only.
    Head,
    /// What may be asked.
    Options,
}

/// Which check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// `/livez`: the loop answers.
    Live,
    /// `/readyz`: it wants new connections.
    Ready,
    /// `/startupz`: it has what it needs to place.
    Startup,
    /// `/health`: all of it, as JSON.
    Health,
    /// `*`, of OPTIONS.
    Server,
    /// Nothing that is here.
    Unknown,
}

/// A request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// What is asked for.
    pub method: Method,
    /// Of which check.
    pub target: Target,
    /// Whether the connection is kept.
    pub keep: bool,
}

/// What has come in so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Parsed {
    /// Not all of it.
    More,
    /// A request, and its length.
    Request(Request, usize),
    /// What gets this status and a close.
    Bad(u16),
}

/// Reads the first request of `bytes`.
pub fn parse(bytes: &[u8]) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut read = httparse::Request::new(&mut headers);
    let length = match read.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() >= MOST_REQUEST => return Parsed::Bad(431),
        Ok(httparse::Status::Partial) => return Parsed::More,
        Err(httparse::Error::TooManyHeaders) => return Parsed::Bad(431),
        Err(httparse::Error::Version) => return Parsed::Bad(505),
        Err(_) => return Parsed::Bad(400),
    };
    if length > MOST_REQUEST {
        return Parsed::Bad(431);
    }
    let head = bytes.get(..length).unwrap_or_default();
    if !lines_end_whole(head) {
        return Parsed::Bad(400);
    }
    let named = |name: &str| {
        let found = read
            .headers
            .iter()
            .filter(|header| header.name.eq_ignore_ascii_case(name));
        found.map(|header| header.value).collect::<Vec<_>>()
    };
    // A check has no body. One that says it has could leave its bytes to be read as the next request.
    if !named("transfer-encoding").is_empty() {
        return Parsed::Bad(501);
    }
    match named("content-length").as_slice() {
        [] => {}
        [b"0"] => {}
        [one] if one.iter().all(u8::is_ascii_digit) && !one.is_empty() => return Parsed::Bad(413),
        _ => return Parsed::Bad(400),
    }
    let newer = read.version == Some(1);
    let hosts = named("host");
    if hosts.len() > 1 || (newer && hosts.is_empty()) {
        return Parsed::Bad(400);
    }
    if !named("expect").is_empty() {
        return Parsed::Bad(417);
    }
    let connection = named("connection");
    let says = |word: &str| {
        let words = connection
            .iter()
            .flat_map(|value| value.split(|b| *b == b','));
        words
            .into_iter()
            .any(|w| w.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
    };
    let keep = if newer {
        !says("close")
    } else {
        says("keep-alive") && !says("close")
    };
    let method = match read.method {
        Some("GET") => Method::Get,
        Some("HEAD") => Method::Head,
        Some("OPTIONS") => Method::Options,
        _ => return Parsed::Bad(405),
    };
    let path = read.path.unwrap_or_default();
    // A proxy may send the whole address.
    let path = path
        .strip_prefix("http://")
        .map_or(path, |rest| rest.find('/').map_or("/", |at| &rest[at..]));
    let target = match path.split(['?', '#']).next().unwrap_or_default() {
        "/livez" => Target::Live,
        "/readyz" => Target::Ready,
        "/startupz" => Target::Startup,
        "/health" => Target::Health,
        "*" if method == Method::Options => Target::Server,
        _ => Target::Unknown,
    };
    Parsed::Request(
        Request {
            method,
            target,
            keep,
        },
        length,
    )
}

/// Whether every line ends in CR LF: a bare line feed, or a bare CR, ends a line for some readers only.
fn lines_end_whole(head: &[u8]) -> bool {
    let before = |n: usize| n.checked_sub(1).and_then(|n| head.get(n)).copied();
    let feeds = head
        .iter()
        .enumerate()
        .filter(|(_, b)| **b == b'\n')
        .all(|(n, _)| before(n) == Some(b'\r'));
    let returns = head
        .iter()
        .enumerate()
        .filter(|(_, b)| **b == b'\r')
        .all(|(n, _)| head.get(n + 1) == Some(&b'\n'));
    feeds && returns
}

/// What answers depend on beside the report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Surroundings {
    /// The time, in Unix microseconds.
    pub now: Micros,
    /// Whether the inventory has ever been heard.
    pub started: bool,
    /// The status that tells of a drain.
    pub drain_status: u16,
    /// Envoy is told `degraded` below this weight.
    pub degraded_below: u8,
}

/// The answer to a request: its status, and its bytes.
pub fn answer(request: &Request, report: &Report, around: &Surroundings) -> (u16, Vec<u8>) {
    let ready = match report.state {
        state if state.serves() && around.started => 200,
        State::Drain => around.drain_status,
        _ => 503,
    };
    let status = match (request.target, request.method) {
        (Target::Unknown, _) => 404,
        (_, Method::Options) => 204,
        (Target::Live, _) => {
            if report.state == State::Stopped {
                503
            } else {
                200
            }
        }
        (Target::Startup, _) => {
            if around.started {
                200
            } else {
                503
            }
        }
        _ => ready,
    };
    let (kind, body) = match request.target {
        _ if status == 204 => ("text/plain", String::new()),
        Target::Health => (
            "application/health+json",
            health_json(report, around).encode(),
        ),
        _ => (
            "text/plain",
            format!("{} {}\n", report.state, report.weight),
        ),
    };
    let mut headers = String::new();
    // Envoy takes a degraded host's traffic away as long as others have room, all of it: that is told
    // only of a placer that is far down.
    if report.state.serves() && report.weight < around.degraded_below {
        headers.push_str("x-envoy-degraded: true\r\n");
    }
    if !report.state.serves() {
        headers.push_str("x-envoy-immediate-health-check-fail: true\r\n");
    }
    if request.method == Method::Options {
        headers.push_str("Allow: GET, HEAD, OPTIONS\r\n");
    }
    (
        status,
        bytes(
            status,
            request.keep,
            &headers,
            kind,
            &body,
            request.method == Method::Head,
        ),
    )
}

/// The answer to what can't be read.
pub fn refusal(status: u16) -> Vec<u8> {
    let allow = if status == 405 {
        "Allow: GET, HEAD, OPTIONS\r\n"
    } else {
        ""
    };
    bytes(
        status,
        false,
        allow,
        "text/plain",
        &format!("{status} {}\n", reason(status)),
        false,
    )
}

fn reason(status: u16) -> &'static str {
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

fn bytes(
    status: u16,
    keep: bool,
    headers: &str,
    kind: &str,
    body: &str,
    head_only: bool,
) -> Vec<u8> {
    let connection = if keep { "keep-alive" } else { "close" };
    let what = if status == 204 {
        String::new()
    } else {
        format!("Content-Type: {kind}\r\nContent-Length: {}\r\n", body.len())
    };
    let mut text = format!(
        "HTTP/1.1 {status} {}\r\nCache-Control: no-store\r\nConnection: {connection}\r\n{what}{headers}\r\n",
        reason(status)
    );
    if !head_only && status != 204 {
        text.push_str(body);
    }
    text.into_bytes()
}

/// JSON has no number for what is not finite.
fn finite(value: f64) -> f64 {
    if value.is_finite() { value } else { f64::MAX }
}

/// The unit of a signal's reading.
fn unit(code: Code) -> &'static str {
    match code {
        Code::FeedAge => "s",
        Code::AskAge => "aims",
        _ => "share",
    }
}

/// The body of `/health`, after the public draft 'Health Check Response Format for HTTP APIs'
/// (draft-inadarei-api-health-check): `pass`, `warn` or `fail`, and each signal as a check.
fn health_json(report: &Report, around: &Surroundings) -> OwnedValue {
    let status = match report.state {
        State::Up => "pass",
        State::Starting | State::Degraded => "warn",
        _ => "fail",
    };
    let check = |reading: &Reading| {
        let status = match reading.own {
            own if own <= 0.0 => "pass",
            own if own < 1.0 => "warn",
            _ => "fail",
        };
        json!([{
            "componentType": "system",
            "observedValue": finite(reading.value),
            "observedUnit": unit(reading.code),
            "status": status,
            "leaves": finite(reading.cap)
        }])
    };
    let mut checks = OwnedValue::object();
    for reading in &report.signals {
        let _ = checks.insert(reading.code.as_str(), check(reading));
    }
    json!({
        "status": status,
        "output": report.cause.map_or("", Code::as_str),
        "state": report.state.as_str(),
        "weight": report.weight,
        "fleet": finite(report.fleet),
        "sinceMs": (report.since / 1_000),
        "timeMs": (around.now / 1_000),
        "checks": checks
    })
}

#[cfg(test)]
mod tests;
