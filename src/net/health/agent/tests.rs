//! Tests of the agent check.

use super::*;
use emulator::load_balancer::{AdminState, AgentReport, parse_agent_report};
use task_placer::health::{HealthMonitor, Settings, Signal};

/// Returns a report with the given state, weight and cause, and with the other values of a new monitor.
pub fn report(state: State, weight: u8, cause: Option<Signal>) -> Report {
    let (report, _) = HealthMonitor::new(Settings::default(), 0).report(0);
    Report {
        state,
        weight,
        cause,
        ..report
    }
}

#[test]
fn answer_of_each_state_reverts_what_an_earlier_answer_set() {
    let cases = [
        (State::Up, 100, None, None, "up ready 100%\n"),
        (
            State::Degraded,
            40,
            Some(Signal::DiscoveryAge),
            None,
            "up ready 40% # feed-age\n",
        ),
        (
            State::Starting,
            10,
            Some(Signal::SlowStart),
            Some(200),
            "up ready 10% maxconn:20 # slow-start\n",
        ),
        (
            State::Degraded,
            1,
            None,
            Some(50),
            "up ready 1% maxconn:1\n",
        ),
        (
            State::Drain,
            100,
            None,
            Some(200),
            "up drain # finishing what was taken\n",
        ),
        (State::Maint, 100, None, None, "maint # by order\n"),
        (State::Stopped, 100, None, None, "stopped # ending\n"),
    ];
    for (state, weight, cause, max_connections, line) in cases {
        let answer = encode_answer(&report(state, weight, cause), max_connections);

        assert_eq!(answer, line);
        let reported = parse_agent_report(&answer).expect("the answer is a valid agent report");
        let admin = match state {
            State::Drain => Some(AdminState::Drain),
            State::Maint => Some(AdminState::Maintenance),
            State::Stopped => None,
            _ => Some(AdminState::Ready),
        };
        let expected = AgentReport { admin, ..reported };
        assert_eq!(reported, expected, "{line}");
        assert_eq!(reported.weight.is_some(), state.is_serving(), "{line}");
    }
}

#[test]
fn load_balancer_sends_a_short_printable_line_or_nothing() {
    let too_long = vec![b'x'; MAX_LINE_BYTES];
    let cases: [(&[u8], AgentLine); 8] = [
        (b"", AgentLine::Incomplete),
        (b"fro", AgentLine::Incomplete),
        (b"front/p1\r\n", AgentLine::Complete("front/p1".into())),
        (b"\n", AgentLine::Complete(String::new())),
        (b"a\nb\n", AgentLine::Complete("a".into())),
        (b"\xff\n", AgentLine::Malformed),
        (b"\x00\n", AgentLine::Malformed),
        (&too_long, AgentLine::Malformed),
    ];
    for (bytes, expected) in cases {
        assert_eq!(parse_line(bytes), expected, "{bytes:?}");
    }
}
