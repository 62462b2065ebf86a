//! Tests of `http.rs`.

use super::super::agent::tests::report;
use super::*;

const AROUND: Surroundings = Surroundings {
    now: 5_000_000,
    started: true,
    drain_status: 503,
    degraded_below: 50,
};

#[test]
fn requests_are_read_and_what_two_readers_could_take_differently_is_turned_away() {
    let get = |target, keep| {
        Parsed::Request(
            Request {
                method: Method::Get,
                target,
                keep,
            },
            0,
        )
    };
    let long = format!(
        "GET /livez HTTP/1.1\r\nHost: a\r\nX: {}",
        "x".repeat(MOST_REQUEST)
    );
    let many = format!(
        "GET /livez HTTP/1.1\r\nHost: a\r\n{}\r\n",
        "X: y\r\n".repeat(MOST_HEADERS)
    );
    let cases: Vec<(&str, Parsed)> = vec![
        (
            "GET /livez HTTP/1.1\r\nHost: a\r\n\r\n",
            get(Target::Live, true),
        ),
        (
            "GET /readyz?probe=1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
            get(Target::Ready, false),
        ),
        (
            "GET /startupz HTTP/1.0\r\n\r\n",
            get(Target::Startup, false),
        ),
        (
            "GET /health HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n",
            get(Target::Health, true),
        ),
        (
            "GET /health HTTP/1.1\r\nHost: a\r\nConnection: foo, Close\r\n\r\n",
            get(Target::Health, false),
        ),
        (
            "GET http://p1:9102/health HTTP/1.1\r\nHost: a\r\n\r\n",
            get(Target::Health, true),
        ),
        (
            "GET http://p1:9102 HTTP/1.1\r\nHost: a\r\n\r\n",
            get(Target::Unknown, true),
        ),
        (
            "GET /livezz HTTP/1.1\r\nHost: a\r\n\r\n",
            get(Target::Unknown, true),
        ),
        (
            "GET /livez HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n",
            get(Target::Live, true),
        ),
        (
            "HEAD /livez HTTP/1.1\r\nHost: a\r\n\r\n",
            Parsed::Request(
                Request {
                    method: Method::Head,
                    target: Target::Live,
                    keep: true,
                },
                0,
            ),
        ),
        (
            "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n",
            Parsed::Request(
                Request {
                    method: Method::Options,
                    target: Target::Server,
                    keep: true,
                },
                0,
            ),
        ),
        ("", Parsed::More),
        ("GET /li", Parsed::More),
        ("GET /livez HTTP/1.1\r\nHost: a\r\n", Parsed::More),
        // Two lengths, a length and a coding, a body, a coding alone.
        (
            "GET /livez HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\n",
            Parsed::Bad(400),
        ),
        (
            "GET /livez HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n",
            Parsed::Bad(400),
        ),
        (
            "GET /livez HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
            Parsed::Bad(501),
        ),
        (
            "GET /livez HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: \x0bchunked\r\n\r\n",
            Parsed::Bad(400),
        ),
        (
            "GET /livez HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nabcd",
            Parsed::Bad(413),
        ),
        (
            "GET /livez HTTP/1.1\r\nHost: a\r\nContent-Length: +0\r\n\r\n",
            Parsed::Bad(400),
        ),
        (
            "GET /livez HTTP/1.1\r\nHost: a\r\nContent-Length: \r\n\r\n",
            Parsed::Bad(400),
        ),
        ("GET /livez HTTP/1.1\r\nHost : a\r\n\r\n", Parsed::Bad(400)),
        (
            "GET /livez HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n",
            Parsed::Bad(400),
        ),
        ("GET /livez HTTP/1.1\nHost: a\n\n", Parsed::Bad(400)),
        (
            "GET /livez HTTP/1.1\r\nHost: a\r\nX: b\nContent-Length: 5\r\n\r\n",
            Parsed::Bad(400),
        ),
        ("GET /livez HTTP/1.1\r\n\r\n", Parsed::Bad(400)),
        (
            "GET /livez HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
            Parsed::Bad(400),
        ),
        (
            "GET /livez HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n\r\n",
            Parsed::Bad(417),
        ),
        ("POST /livez HTTP/1.1\r\nHost: a\r\n\r\n", Parsed::Bad(405)),
        ("get /livez HTTP/1.1\r\nHost: a\r\n\r\n", Parsed::Bad(405)),
        ("GET /livez HTTP/2.0\r\nHost: a\r\n\r\n", Parsed::Bad(505)),
        ("GET  /livez HTTP/1.1\r\nHost: a\r\n\r\n", Parsed::Bad(400)),
        ("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", Parsed::Bad(505)),
        ("\x16\x03\x01\x02\x00", Parsed::Bad(400)),
        (&long, Parsed::Bad(431)),
        (&many, Parsed::Bad(431)),
    ];
    for (text, expected) in cases {
        let parsed = match parse(text.as_bytes()) {
            Parsed::Request(request, length) => {
                assert_eq!(length, text.len(), "{text:?}");
                Parsed::Request(request, 0)
            }
            other => other,
        };
        assert_eq!(parsed, expected, "{text:?}");
    }
    let two = "GET /livez HTTP/1.1\r\nHost: a\r\n\r\nGET /readyz HTTP/1.1\r\nHost: a\r\n\r\n";
    let Parsed::Request(first, length) = parse(two.as_bytes()) else {
        panic!("the first")
    };
    let Parsed::Request(second, _) = parse(&two.as_bytes()[length..]) else {
        panic!("the second")
    };
    assert_eq!((first.target, second.target), (Target::Live, Target::Ready));
}

#[test]
fn each_state_has_its_status_on_each_check() {
    let ask = |target, report: &Report, around: &Surroundings| {
        answer(
            &Request {
                method: Method::Get,
                target,
                keep: true,
            },
            report,
            around,
        )
        .0
    };
    let unstarted = Surroundings {
        started: false,
        ..AROUND
    };
    let gone = Surroundings {
        drain_status: 404,
        ..AROUND
    };
    for (state, around, live, ready, startup) in [
        (State::Starting, &unstarted, 200, 503, 503),
        (State::Starting, &AROUND, 200, 200, 200),
        (State::Up, &AROUND, 200, 200, 200),
        (State::Degraded, &AROUND, 200, 200, 200),
        (State::Drain, &AROUND, 200, 503, 200),
        (State::Drain, &gone, 200, 404, 200),
        (State::Maint, &gone, 200, 503, 200),
        (State::Stopped, &AROUND, 503, 503, 200),
    ] {
        let report = report(state, 100, None);
        let found = [
            Target::Live,
            Target::Ready,
            Target::Startup,
            Target::Health,
            Target::Unknown,
        ];
        let found = found.map(|target| ask(target, &report, around));
        assert_eq!(found, [live, ready, startup, ready, 404], "{state}");
    }
}

#[test]
fn answers_have_the_headers_that_balancers_read_and_bodies_of_the_told_length() {
    let text = |method, target, report: &Report| {
        let (_, bytes) = answer(
            &Request {
                method,
                target,
                keep: false,
            },
            report,
            &AROUND,
        );
        String::from_utf8(bytes).expect("text")
    };
    let low = report(State::Degraded, 30, Some(Code::LoopLate));
    let said = text(Method::Get, Target::Ready, &low);
    assert!(
        said.contains("x-envoy-degraded: true\r\n") && said.ends_with("\r\n\r\ndegraded 30\n"),
        "{said}"
    );
    assert!(
        !text(
            Method::Get,
            Target::Ready,
            &report(State::Degraded, 60, None)
        )
        .contains("x-envoy")
    );
    let drain = report(State::Drain, 100, None);
    let said = text(Method::Head, Target::Ready, &drain);
    assert!(
        said.contains("x-envoy-immediate-health-check-fail: true\r\n"),
        "{said}"
    );
    assert!(
        said.contains("Content-Length: 10\r\n") && said.ends_with("\r\n\r\n"),
        "{said}"
    );
    let said = text(Method::Options, Target::Live, &drain);
    assert!(
        said.starts_with("HTTP/1.1 204") && said.contains("Allow: GET, HEAD, OPTIONS"),
        "{said}"
    );
    let said = text(Method::Get, Target::Health, &low);
    let (head, body) = said.split_once("\r\n\r\n").expect("a body");
    assert!(
        head.contains(&format!("Content-Length: {}", body.len())),
        "{head}"
    );
    assert!(head.contains("application/health+json"), "{head}");
    let json = simd_json::to_owned_value(&mut body.as_bytes().to_vec()).expect("JSON");
    assert_eq!(
        (json.get_str("status"), json.get_str("output")),
        (Some("warn"), Some("loop-late"))
    );
    assert_eq!(json.get_u64("weight"), Some(30));
}

#[test]
fn a_body_is_json_whatever_was_measured() {
    let mut odd = report(State::Up, 100, None);
    odd.signals.push(Reading {
        code: Code::AskAge,
        value: f64::NAN,
        badness: 1.0,
        own: 1.0,
        cap: 20.0,
    });
    odd.signals.push(Reading {
        code: Code::Queues,
        value: f64::INFINITY,
        badness: 1.0,
        own: 1.0,
        cap: 20.0,
    });
    let mut body = health_json(&odd, &AROUND).encode().into_bytes();
    assert!(simd_json::to_owned_value(&mut body).is_ok());
}
