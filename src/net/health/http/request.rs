//! Parses HTTP/1.1 health checks.
//!
//! `httparse` parses the syntax. Input that it accepts but that two parsers could read differently is rejected here,
//! since checks that pass through proxies could be used for request smuggling: a body of any kind, contradicting
//! lengths, a line that ends in a bare line feed, a space before a header's colon, a folded line.

/// The maximum length of a request, in bytes.
pub const MAX_REQUEST_BYTES: usize = 8 * 1024;
/// The maximum number of headers of a request.
pub(super) const MAX_HEADERS: usize = 64;

/// The method of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// `GET`: requests the headers and the body of the response.
    Get,
    /// `HEAD`: requests the headers of the response only.
    Head,
    /// `OPTIONS`: requests the allowed methods.
    Options,
}

/// The check that a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// `/livez`: whether the event loop runs.
    Live,
    /// `/readyz`: whether the placer asks for new connections.
    Ready,
    /// `/startupz`: whether the placer has ever received the endpoint list.
    Startup,
    /// `/health`: state, weight and all signals, as JSON.
    Health,
    /// `*`: the server as a whole, in `OPTIONS` only.
    Server,
    /// Any other path.
    Unknown,
}

/// What happens to the connection after the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Persistence {
    /// The connection stays open for the next request.
    KeepAlive,
    /// The connection is closed.
    Close,
}

/// A parsed health check request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// The method of the request.
    pub method: Method,
    /// The check that the request asks for.
    pub target: Target,
    /// Whether the connection stays open after the response.
    pub persistence: Persistence,
}

/// The result of parsing the bytes received so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Parsed {
    /// The bytes are the beginning of a request whose end has not been received yet.
    Incomplete,
    /// The bytes begin with a complete request; the number is its length in bytes.
    Request(Request, usize),
    /// The request is not acceptable. The connection is closed after a response with this status.
    Rejected(u16),
}

/// Parses the first request of `bytes`.
pub fn parse(bytes: &[u8]) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let length = match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() >= MAX_REQUEST_BYTES => {
            return Parsed::Rejected(431);
        }
        Ok(httparse::Status::Partial) => return Parsed::Incomplete,
        Err(httparse::Error::TooManyHeaders) => return Parsed::Rejected(431),
        Err(httparse::Error::Version) => return Parsed::Rejected(505),
        Err(_) => return Parsed::Rejected(400),
    };
    if length > MAX_REQUEST_BYTES {
        return Parsed::Rejected(431);
    }
    if !all_lines_end_in_crlf(bytes.get(..length).unwrap_or_default()) {
        return Parsed::Rejected(400);
    }
    match read_request(&head) {
        Ok(request) => Parsed::Request(request, length),
        Err(status) => Parsed::Rejected(status),
    }
}

/// Returns the request of a complete head, or the status with which it is rejected.
fn read_request(head: &httparse::Request<'_, '_>) -> Result<Request, u16> {
    reject_body(head)?;
    reject_wrong_host_count(head)?;
    if !header_values(head, "expect").is_empty() {
        return Err(417);
    }
    let method = match head.method {
        Some("GET") => Method::Get,
        Some("HEAD") => Method::Head,
        Some("OPTIONS") => Method::Options,
        _ => return Err(405),
    };
    Ok(Request {
        method,
        target: target(head.path.unwrap_or_default(), method),
        persistence: persistence(head),
    })
}

fn header_values<'buf>(head: &httparse::Request<'_, 'buf>, name: &str) -> Vec<&'buf [u8]> {
    head.headers
        .iter()
        .filter(|header| header.name.eq_ignore_ascii_case(name))
        .map(|header| header.value)
        .collect()
}

fn is_http_1_1(head: &httparse::Request<'_, '_>) -> bool {
    head.version == Some(1)
}

/// Rejects a request that announces a body, since the bytes of a body could be read as the next request.
fn reject_body(head: &httparse::Request<'_, '_>) -> Result<(), u16> {
    if !header_values(head, "transfer-encoding").is_empty() {
        return Err(501);
    }
    match header_values(head, "content-length").as_slice() {
        [] | [b"0"] => Ok(()),
        [length] if length.iter().all(u8::is_ascii_digit) && !length.is_empty() => Err(413),
        _ => Err(400),
    }
}

/// Rejects a request with several `Host` headers, or with none in HTTP/1.1, which requires one.
fn reject_wrong_host_count(head: &httparse::Request<'_, '_>) -> Result<(), u16> {
    let hosts = header_values(head, "host").len();
    if hosts > 1 || (is_http_1_1(head) && hosts == 0) {
        return Err(400);
    }
    Ok(())
}

fn persistence(head: &httparse::Request<'_, '_>) -> Persistence {
    let connection = header_values(head, "connection");
    let has_option = |name: &str| {
        connection
            .iter()
            .flat_map(|value| value.split(|byte| *byte == b','))
            .any(|option| option.trim_ascii().eq_ignore_ascii_case(name.as_bytes()))
    };
    let is_kept = !has_option("close") && (is_http_1_1(head) || has_option("keep-alive"));
    if is_kept {
        Persistence::KeepAlive
    } else {
        Persistence::Close
    }
}

fn target(path: &str, method: Method) -> Target {
    // A proxy may send the target in absolute form, as `http://host/path`.
    let path = path.strip_prefix("http://").map_or(path, |rest| {
        rest.find('/').map_or("/", |start| &rest[start..])
    });
    match path.split(['?', '#']).next().unwrap_or_default() {
        "/livez" => Target::Live,
        "/readyz" => Target::Ready,
        "/startupz" => Target::Startup,
        "/health" => Target::Health,
        "*" if method == Method::Options => Target::Server,
        _ => Target::Unknown,
    }
}

/// Returns whether every line ends in CR LF. Only some parsers take a bare LF or a bare CR as the end of a line.
fn all_lines_end_in_crlf(head: &[u8]) -> bool {
    let mut previous = None;
    for byte in head {
        let is_line_feed = *byte == b'\n';
        let follows_return = previous == Some(b'\r');
        if is_line_feed != follows_return {
            return false;
        }
        previous = Some(*byte);
    }
    previous != Some(b'\r')
}
