//! Tests of the HTTP checks.

use super::request::{MAX_HEADERS, MAX_REQUEST_BYTES, Method};
use super::response::health_json;
use super::*;
use crate::net::health::agent::tests::report;
use simd_json::prelude::*;
use task_placer::health::{Report, Signal, SignalReading, State};

const CONTEXT: ResponseContext = ResponseContext {
    now: 5_000_000,
    has_started: true,
    drain_status: 503,
    degraded_below: 50,
};

fn get(target: Target, persistence: Persistence) -> Request {
    Request {
        method: Method::Get,
        target,
        persistence,
    }
}

/// Parses a text that is exactly one complete request.
fn parse_complete(text: &str) -> Request {
    match parse(text.as_bytes()) {
        Parsed::Request(request, length) => {
            assert_eq!(length, text.len(), "{text:?}");
            request
        }
        other => panic!("{text:?}: {other:?}"),
    }
}

fn respond_text(method: Method, target: Target, report: &Report) -> String {
    let request = Request {
        method,
        target,
        persistence: Persistence::Close,
    };
    let (_, bytes) = respond(&request, report, &CONTEXT);
    String::from_utf8(bytes).expect("the response is UTF-8")
}

#[test]
fn requests_are_parsed_with_their_target_and_persistence() {
    use Persistence::{Close, KeepAlive};
    let cases = [
        (
            "GET /livez HTTP/1.1\r\nHost: a\r\n\r\n",
            get(Target::Live, KeepAlive),
        ),
        (
            "GET /readyz?probe=1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
            get(Target::Ready, Close),
        ),
        (
            "GET /startupz HTTP/1.0\r\n\r\n",
            get(Target::Startup, Close),
        ),
        (
            "GET /health HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n",
            get(Target::Health, KeepAlive),
        ),
        (
            "GET /health HTTP/1.1\r\nHost: a\r\nConnection: foo, Close\r\n\r\n",
            get(Target::Health, Close),
        ),
        (
            "GET http://p1:9102/health HTTP/1.1\r\nHost: a\r\n\r\n",
            get(Target::Health, KeepAlive),
        ),
        (
            "GET http://p1:9102 HTTP/1.1\r\nHost: a\r\n\r\n",
            get(Target::Unknown, KeepAlive),
        ),
        (
            "GET /livezz HTTP/1.1\r\nHost: a\r\n\r\n",
            get(Target::Unknown, KeepAlive),
        ),
        (
            "GET /livez HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n",
            get(Target::Live, KeepAlive),
        ),
        (
            "HEAD /livez HTTP/1.1\r\nHost: a\r\n\r\n",
            Request {
                method: Method::Head,
                ..get(Target::Live, KeepAlive)
            },
        ),
        (
            "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n",
            Request {
                method: Method::Options,
                ..get(Target::Server, KeepAlive)
            },
        ),
    ];
    for (text, expected) in cases {
        assert_eq!(parse_complete(text), expected, "{text:?}");
    }
}

#[test]
fn part_of_a_request_is_incomplete() {
    for text in ["", "GET /li", "GET /livez HTTP/1.1\r\nHost: a\r\n"] {
        assert_eq!(parse(text.as_bytes()), Parsed::Incomplete, "{text:?}");
    }
}

#[test]
fn requests_that_two_parsers_could_read_differently_are_rejected() {
    let cases = [
        // Rejected because of the length: two lengths, a length with a transfer coding, a malformed transfer coding, a
        // body, malformed lengths.
        (
            "GET /livez HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\n",
            400,
        ),
        (
            "GET /livez HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n",
            400,
        ),
        (
            "GET /livez HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
            501,
        ),
        (
            "GET /livez HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: \x0bchunked\r\n\r\n",
            400,
        ),
        (
            "GET /livez HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nabcd",
            413,
        ),
        (
            "GET /livez HTTP/1.1\r\nHost: a\r\nContent-Length: +0\r\n\r\n",
            400,
        ),
        (
            "GET /livez HTTP/1.1\r\nHost: a\r\nContent-Length: \r\n\r\n",
            400,
        ),
        // Rejected because of other headers: a space before a colon, a folded line, bare line feeds, no or two `Host`
        // headers, an `Expect` header.
        ("GET /livez HTTP/1.1\r\nHost : a\r\n\r\n", 400),
        ("GET /livez HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n", 400),
        ("GET /livez HTTP/1.1\nHost: a\n\n", 400),
        (
            "GET /livez HTTP/1.1\r\nHost: a\r\nX: b\nContent-Length: 5\r\n\r\n",
            400,
        ),
        ("GET /livez HTTP/1.1\r\n\r\n", 400),
        ("GET /livez HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
        (
            "GET /livez HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n\r\n",
            417,
        ),
    ];
    for (text, status) in cases {
        assert_eq!(parse(text.as_bytes()), Parsed::Rejected(status), "{text:?}");
    }
}

#[test]
fn other_methods_versions_and_protocols_are_rejected() {
    for (text, status) in [
        ("POST /livez HTTP/1.1\r\nHost: a\r\n\r\n", 405),
        ("get /livez HTTP/1.1\r\nHost: a\r\n\r\n", 405),
        ("GET /livez HTTP/2.0\r\nHost: a\r\n\r\n", 505),
        ("GET  /livez HTTP/1.1\r\nHost: a\r\n\r\n", 400),
        ("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 505),
        ("\x16\x03\x01\x02\x00", 400),
    ] {
        assert_eq!(parse(text.as_bytes()), Parsed::Rejected(status), "{text:?}");
    }
}

#[test]
fn requests_beyond_the_size_limits_are_rejected() {
    let too_long = format!(
        "GET /livez HTTP/1.1\r\nHost: a\r\nX: {}",
        "x".repeat(MAX_REQUEST_BYTES)
    );
    let too_many_headers = format!(
        "GET /livez HTTP/1.1\r\nHost: a\r\n{}\r\n",
        "X: y\r\n".repeat(MAX_HEADERS)
    );
    for text in [&too_long, &too_many_headers] {
        assert_eq!(parse(text.as_bytes()), Parsed::Rejected(431), "{text:?}");
    }
}

#[test]
fn pipelined_requests_are_parsed_one_after_the_other() {
    let both = "GET /livez HTTP/1.1\r\nHost: a\r\n\r\nGET /readyz HTTP/1.1\r\nHost: a\r\n\r\n";

    let Parsed::Request(first, length) = parse(both.as_bytes()) else {
        panic!("the first request does not parse")
    };
    let Parsed::Request(second, _) = parse(&both.as_bytes()[length..]) else {
        panic!("the second request does not parse")
    };

    assert_eq!((first.target, second.target), (Target::Live, Target::Ready));
}

#[test]
fn each_state_has_its_status_on_each_check() {
    let not_started = ResponseContext {
        has_started: false,
        ..CONTEXT
    };
    let drains_with_404 = ResponseContext {
        drain_status: 404,
        ..CONTEXT
    };
    for (state, context, live, ready, startup) in [
        (State::Starting, &not_started, 200, 503, 503),
        (State::Starting, &CONTEXT, 200, 200, 200),
        (State::Up, &CONTEXT, 200, 200, 200),
        (State::Degraded, &CONTEXT, 200, 200, 200),
        (State::Drain, &CONTEXT, 200, 503, 200),
        (State::Drain, &drains_with_404, 200, 404, 200),
        (State::Maint, &drains_with_404, 200, 503, 200),
        (State::Stopped, &CONTEXT, 503, 503, 200),
    ] {
        let report = report(state, 100, None);

        let statuses = [
            Target::Live,
            Target::Ready,
            Target::Startup,
            Target::Health,
            Target::Unknown,
        ]
        .map(|target| respond(&get(target, Persistence::KeepAlive), &report, context).0);

        assert_eq!(statuses, [live, ready, startup, ready, 404], "{state}");
    }
}

#[test]
fn envoy_is_sent_degraded_only_below_the_configured_weight() {
    let low = report(State::Degraded, 30, Some(Signal::LoopLate));
    let text = respond_text(Method::Get, Target::Ready, &low);
    assert!(text.contains("x-envoy-degraded: true\r\n"), "{text}");
    assert!(text.ends_with("\r\n\r\ndegraded 30\n"), "{text}");

    let higher = report(State::Degraded, 60, None);
    let text = respond_text(Method::Get, Target::Ready, &higher);
    assert!(!text.contains("x-envoy"), "{text}");
}

#[test]
fn response_to_head_has_the_headers_without_the_body() {
    let drain = report(State::Drain, 100, None);

    let text = respond_text(Method::Head, Target::Ready, &drain);

    assert!(
        text.contains("x-envoy-immediate-health-check-fail: true\r\n"),
        "{text}"
    );
    assert!(text.contains("Content-Length: 10\r\n"), "{text}");
    assert!(text.ends_with("\r\n\r\n"), "{text}");
}

#[test]
fn response_to_options_names_the_allowed_methods() {
    let drain = report(State::Drain, 100, None);

    let text = respond_text(Method::Options, Target::Live, &drain);

    assert!(text.starts_with("HTTP/1.1 204"), "{text}");
    assert!(text.contains("Allow: GET, HEAD, OPTIONS"), "{text}");
}

#[test]
fn health_is_reported_as_json_of_the_stated_length() {
    let low = report(State::Degraded, 30, Some(Signal::LoopLate));

    let text = respond_text(Method::Get, Target::Health, &low);

    let (head, body) = text
        .split_once("\r\n\r\n")
        .expect("the response has a body");
    assert!(
        head.contains(&format!("Content-Length: {}", body.len())),
        "{head}"
    );
    assert!(head.contains("application/health+json"), "{head}");
    let json =
        simd_json::to_owned_value(&mut body.as_bytes().to_vec()).expect("the body is valid JSON");
    assert_eq!(json.get_str("status"), Some("warn"));
    assert_eq!(json.get_str("output"), Some("loop-late"));
    assert_eq!(json.get_u64("weight"), Some(30));
}

#[test]
fn health_is_valid_json_for_values_that_are_not_finite() {
    let reading = |signal, value| SignalReading {
        signal,
        value,
        severity: 1.0,
        own_severity: 1.0,
        max_weight: 20.0,
    };
    let mut report = report(State::Up, 100, None);
    report.signals.push(reading(Signal::RequestAge, f64::NAN));
    report.signals.push(reading(Signal::Queues, f64::INFINITY));

    let mut body = health_json(&report, &CONTEXT).encode().into_bytes();

    assert!(simd_json::to_owned_value(&mut body).is_ok());
}
