//! The agent check over TCP, as the public description of HAProxy's `agent-check` has it.
//!
//! The balancer connects, may send a line of its own first (`agent-send`), and reads one ASCII line:
//! words set apart by spaces. A word that is not there changes nothing at the balancer, so what an
//! earlier answer set must be taken back by name: an agent that said `drain` or `maint` has to say
//! `ready`, and one that said `stopped` has to say `up`. Every answer of a state that serves therefore
//! says both.

use task_placer::health::{Report, State};

/// A line of the balancer longer than this is none.
pub const MOST_LINE: usize = 256;

/// What the balancer sent first: nothing yet, a line, or no line at all.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Sent {
    /// More may come.
    More,
    /// A whole line, without its end: what tells apart several checks of one balancer.
    Line(String),
    /// More than a line may hold, or what is no text.
    Bad,
}

/// Reads what the balancer has sent so far.
pub fn sent(bytes: &[u8]) -> Sent {
    let Some(end) = bytes.iter().position(|b| *b == b'\n') else {
        return if bytes.len() >= MOST_LINE {
            Sent::Bad
        } else {
            Sent::More
        };
    };
    let line = bytes.get(..end.min(MOST_LINE)).unwrap_or_default();
    let printable = line
        .iter()
        .all(|b| (b' '..=b'~').contains(b) || matches!(b, b'\r' | b'\t'));
    match std::str::from_utf8(line) {
        Ok(text) if printable && end < MOST_LINE => Sent::Line(text.trim().to_string()),
        _ => Sent::Bad,
    }
}

/// The answer for a report. `maxconn` is the most connections that clients may hold, where that is told;
/// it shrinks with the weight.
pub fn answer(report: &Report, maxconn: Option<usize>) -> String {
    let cause = report
        .cause
        .map(|code| format!(" # {code}"))
        .unwrap_or_default();
    match report.state {
        State::Starting | State::Up | State::Degraded => {
            let most = maxconn.map(|most| (most * usize::from(report.weight) / 100).max(1));
            let most = most
                .map(|most| format!(" maxconn:{most}"))
                .unwrap_or_default();
            format!("up ready {}%{most}{cause}\n", report.weight)
        }
        // Still up: what a balancer holds open goes on, and a retried connection finds it.
        State::Drain => "up drain # finishing what was taken\n".to_string(),
        State::Maint => "maint # by order\n".to_string(),
        State::Stopped => "stopped # ending\n".to_string(),
    }
}

#[cfg(test)]
pub mod tests {
    use super::*;
    use emulator::load_balancer::{AdminState, AgentReport, parse_agent_report};
    use task_placer::health::{Code, Health, Settings};

    /// A report of this state and weight.
    pub fn report(state: State, weight: u8, cause: Option<Code>) -> Report {
        let (report, _) = Health::new(Settings::default(), 0).report(0);
        Report {
            state,
            weight,
            cause,
            ..report
        }
    }

    #[test]
    fn each_state_is_told_in_words_that_take_back_what_was_told_before() {
        let cases = [
            (State::Up, 100, None, None, "up ready 100%\n"),
            (
                State::Degraded,
                40,
                Some(Code::FeedAge),
                None,
                "up ready 40% # feed-age\n",
            ),
            (
                State::Starting,
                10,
                Some(Code::SlowStart),
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
        for (state, weight, cause, maxconn, line) in cases {
            let answer = answer(&report(state, weight, cause), maxconn);
            assert_eq!(answer, line);
            let advice = parse_agent_report(&answer).expect("a strict reader takes it");
            let admin = match state {
                State::Drain => Some(AdminState::Drain),
                State::Maint => Some(AdminState::Maintenance),
                State::Stopped => None,
                _ => Some(AdminState::Ready),
            };
            let expected = AgentReport { admin, ..advice };
            assert_eq!(advice, expected, "{line}");
            assert_eq!(advice.weight.is_some(), state.serves(), "{line}");
        }
    }

    #[test]
    fn what_a_balancer_sends_first_is_a_short_line_or_nothing() {
        let long = vec![b'x'; MOST_LINE];
        let cases: [(&[u8], Sent); 8] = [
            (b"", Sent::More),
            (b"fro", Sent::More),
            (b"front/p1\r\n", Sent::Line("front/p1".into())),
            (b"\n", Sent::Line(String::new())),
            (b"a\nb\n", Sent::Line("a".into())),
            (b"\xff\n", Sent::Bad),
            (b"\x00\n", Sent::Bad),
            (&long, Sent::Bad),
        ];
        for (bytes, expected) in cases {
            assert_eq!(sent(bytes), expected, "{bytes:?}");
        }
    }
}
