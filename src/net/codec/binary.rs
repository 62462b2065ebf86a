//! The binary messages that owners and placers exchange.
//!
//! `length:2 type:1 task:8 parameters`, each parameter `code:1 length:2 value`, all big-endian.

use super::{MOST_BYTES, Malformed, SetUp, TaskId};
use anisehead::HostId;
use anisehead::facade::Ask;
use anisehead::settings::{millis, parse_number};
use std::sync::Arc;

mod kind {
    pub const SET_UP: u8 = 1;
    pub const ANSWER: u8 = 9;
    pub const RELEASE: u8 = 12;
    pub const HEARD: u8 = 16;
    pub const MOVE: u8 = 51;
    pub const TEST: u8 = 52;
    pub const TESTED: u8 = 53;
}

mod code {
    pub const CLASS: u8 = 129;
    pub const WAIT: u8 = 132;
    pub const TENANT: u8 = 135;
    pub const RETRY: u8 = 138;
    pub const KEY: u8 = 141;
    pub const FIGURES: u8 = 144;
    pub const STAY_AWAY: u8 = 147;
    pub const CAUSE: u8 = 171;
    pub const DESCRIPTION: u8 = 174;
}

/// What an owner says.
#[derive(Debug, Clone, PartialEq)]
pub enum OwnerWord {
    /// A task to place, or one that stands already.
    SetUp(Box<SetUp>),
    /// A set-up that can't be read; the rest of the connection can.
    BadSetUp(Malformed),
    /// It gives the set-up up, or ends the task.
    Release(u8),
    /// A test.
    Test,
    /// It has heard a release.
    Heard,
    /// A message that asks for nothing.
    Other,
}

/// Reads the first message of `bytes`: its task, its word and its length, or none if more must come.
pub fn read(bytes: &[u8]) -> Result<Option<(TaskId, OwnerWord, usize)>, Malformed> {
    let Some((length, rest)) = bytes.split_first_chunk::<2>() else { return Ok(None) };
    let length = usize::from(u16::from_be_bytes(*length));
    if length + 2 > MOST_BYTES {
        return Err(Malformed::TooLong);
    }
    if length < 9 {
        return Err(Malformed::Length);
    }
    let Some(body) = rest.get(..length) else { return Ok(None) };
    let Some((kind, body)) = body.split_first() else { return Err(Malformed::Length) };
    let Some((task, body)) = body.split_first_chunk::<8>() else { return Err(Malformed::Length) };
    let parameters = parameters(body)?;
    let word = match *kind {
        kind::SET_UP => match set_up(&parameters) {
            Ok(set_up) => OwnerWord::SetUp(Box::new(set_up)),
            Err(why) => OwnerWord::BadSetUp(why),
        },
        kind::RELEASE => match find(&parameters, code::CAUSE) {
            Some([cause]) => OwnerWord::Release(*cause),
            _ => return Err(Malformed::Field("cause")),
        },
        kind::TEST => OwnerWord::Test,
        kind::HEARD => OwnerWord::Heard,
        _ => OwnerWord::Other,
    };
    Ok(Some((TaskId(u64::from_be_bytes(*task)), word, length + 2)))
}

fn parameters(mut rest: &[u8]) -> Result<Vec<(u8, &[u8])>, Malformed> {
    let mut found = Vec::new();
    while let Some((code, after)) = rest.split_first() {
        let (length, after) = after.split_first_chunk::<2>().ok_or(Malformed::Length)?;
        let length = usize::from(u16::from_be_bytes(*length));
        let (value, after) = after.split_at_checked(length).ok_or(Malformed::Length)?;
        found.push((*code, value));
        rest = after;
    }
    Ok(found)
}

fn find<'a>(parameters: &[(u8, &'a [u8])], code: u8) -> Option<&'a [u8]> {
    parameters.iter().find(|(c, _)| *c == code).map(|(_, value)| *value)
}

fn set_up(parameters: &[(u8, &[u8])]) -> Result<SetUp, Malformed> {
    let text = |code, name| match find(parameters, code).map(std::str::from_utf8) {
        None => Ok(None),
        Some(Ok(text)) => Ok(Some(text)),
        Some(Err(_)) => Err(Malformed::Field(name)),
    };
    let need = |code, name| text(code, name)?.ok_or(Malformed::Field(name));
    let figures = need(code::FIGURES, "figures")?;
    let figure = |name: &str| {
        let pairs = figures.split(';').filter_map(|pair| pair.split_once(':'));
        pairs.into_iter().find(|(n, _)| *n == name).map(|(_, value)| value)
    };
    let amount = |name: &'static str| {
        let value = figure(name).and_then(parse_number).filter(|v| *v >= 0.0);
        value.ok_or(Malformed::Field(name))
    };
    let hex = |text: &str, name| u64::from_str_radix(text, 16).map_err(|_| Malformed::Field(name));
    let at = figure("at").map(|host| HostId(Arc::from(host)));
    let wait = match text(code::WAIT, "wait")? {
        None if at.is_some() => 0.0,
        None => return Err(Malformed::Field("wait")),
        // A day at the most: later sums of times stay far from their limits.
        Some(text) => parse_number(text).ok_or(Malformed::Field("wait"))?.clamp(0.0, 86_400_000.0),
    };
    let key = need(code::KEY, "key")?;
    Ok(SetUp {
        ask: Ask {
            class: need(code::CLASS, "class")?.to_string(),
            tenant: text(code::TENANT, "tenant")?.map(str::to_string),
            service: hex(figure("service").ok_or(Malformed::Field("service"))?, "service")?,
            key: hex(key, "key")?,
            cores: amount("cores")?,
            memory: amount("memory")?,
            budget: millis(wait),
            resent: text(code::RETRY, "retry")?.is_some_and(|v| v != "0"),
        },
        wait: millis(wait),
        at,
        key: key.to_string(),
        description: text(code::DESCRIPTION, "description")?.unwrap_or_default().to_string(),
    })
}

/// Puts a message together. Values come from messages that were short enough themselves.
fn message(kind: u8, task: TaskId, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let length = 9 + parameters.iter().map(|(_, value)| 3 + value.len()).sum::<usize>();
    let mut bytes = Vec::with_capacity(2 + length);
    bytes.extend(u16::try_from(length).unwrap_or(u16::MAX).to_be_bytes());
    bytes.push(kind);
    bytes.extend(task.0.to_be_bytes());
    for (code, value) in parameters {
        bytes.push(*code);
        bytes.extend(u16::try_from(value.len()).unwrap_or(u16::MAX).to_be_bytes());
        bytes.extend(*value);
    }
    bytes
}

/// The task stands.
pub fn answer(task: TaskId, description: &str) -> Vec<u8> {
    message(kind::ANSWER, task, &[(code::DESCRIPTION, description.as_bytes())])
}

/// A refusal, a failure or the end of a task, with the time to stay away where one is given.
pub fn release(task: TaskId, cause: u8, stay_away_ms: Option<u64>) -> Vec<u8> {
    let away = stay_away_ms.map(|ms| ms.to_string());
    let mut parameters = vec![(code::CAUSE, std::slice::from_ref(&cause))];
    parameters.extend(away.as_ref().map(|ms| (code::STAY_AWAY, ms.as_bytes())));
    message(kind::RELEASE, task, &parameters)
}

/// The owner's release was heard.
pub fn heard(task: TaskId) -> Vec<u8> {
    message(kind::HEARD, task, &[])
}

/// The task moves: its owner comes again.
pub fn moved(task: TaskId) -> Vec<u8> {
    message(kind::MOVE, task, &[])
}

/// A test's result.
pub fn tested(task: TaskId, passed: bool) -> Vec<u8> {
    message(kind::TESTED, task, &[(code::CAUSE, &[u8::from(passed)])])
}

#[cfg(test)]
mod tests {
    use super::*;

    fn set_up_bytes(parameters: &[(u8, &[u8])]) -> Vec<u8> {
        message(kind::SET_UP, TaskId(0x9b1f), parameters)
    }

    const GOOD: [(u8, &[u8]); 7] = [
        (code::CLASS, b"batch"),
        (code::WAIT, b"1500"),
        (code::TENANT, b"acme"),
        (code::RETRY, b"1"),
        (code::KEY, b"7f3a9c21e0b4d655"),
        (code::FIGURES, b"cores:1.5;memory:2;service:00000000b4d65521;at:s-1"),
        (code::DESCRIPTION, b"c=IN IP4\r\n"),
    ];

    #[test]
    fn a_set_up_is_read_whole() {
        let Ok(Some((task, OwnerWord::SetUp(set_up), length))) = read(&set_up_bytes(&GOOD)) else {
            panic!("not read")
        };
        assert_eq!((task, length), (TaskId(0x9b1f), set_up_bytes(&GOOD).len()));
        let ask = Ask {
            class: "batch".into(),
            tenant: Some("acme".into()),
            service: 0xb4d6_5521,
            key: 0x7f3a_9c21_e0b4_d655,
            cores: 1.5,
            memory: 2.0,
            budget: 1_500_000,
            resent: true,
        };
        assert_eq!(set_up.ask, ask);
        assert_eq!(set_up.at, Some(HostId(Arc::from("s-1"))));
        assert_eq!((set_up.key.as_str(), set_up.description.as_str()), ("7f3a9c21e0b4d655", "c=IN IP4\r\n"));
    }

    #[test]
    fn what_is_cut_short_waits_for_more() {
        let whole = set_up_bytes(&GOOD);
        for end in 0..whole.len() {
            assert_eq!(read(&whole[..end]), Ok(None), "{end} bytes");
        }
        let two = [whole.clone(), heard(TaskId(7))].concat();
        assert!(matches!(read(&two), Ok(Some((TaskId(0x9b1f), _, n))) if n == whole.len()));
        assert_eq!(read(&two[whole.len()..]), Ok(Some((TaskId(7), OwnerWord::Heard, 11))));
    }

    #[test]
    fn bad_set_ups_are_told_from_bad_messages() {
        let cases: [(usize, Option<&[u8]>, &str); 9] = [
            (0, None, "class"),
            (0, Some(b"\xff"), "class"),
            (1, Some(b"soon"), "wait"),
            (4, Some(b"no hex"), "key"),
            (5, Some(b"cores:1;memory:2"), "service"),
            (5, Some(b"cores:-1;memory:2;service:1"), "cores"),
            (5, Some(b"cores:1;memory:inf;service:1"), "memory"),
            (5, Some(b""), "service"),
            (6, Some(b"\xc3("), "description"),
        ];
        for (place, value, field) in cases {
            let mut parameters = GOOD.to_vec();
            match value {
                Some(value) => parameters[place].1 = value,
                None => drop(parameters.remove(place)),
            }
            let read = read(&set_up_bytes(&parameters)).expect("a message").expect("a whole one");
            assert_eq!(read.1, OwnerWord::BadSetUp(Malformed::Field(field)), "{value:?}");
        }
        let long = set_up_bytes(&[(code::DESCRIPTION, &[b'x'; MOST_BYTES])]);
        let broken: [(&[u8], Malformed); 6] = [
            (&long, Malformed::TooLong),
            (&[0xff, 0xff], Malformed::TooLong),
            (&[0, 8, 1, 0, 0, 0, 0, 0, 0, 0], Malformed::Length),
            (&[0, 10, 12, 0, 0, 0, 0, 0, 0, 0, 0, 171], Malformed::Length),
            (&[0, 12, 12, 0, 0, 0, 0, 0, 0, 0, 0, 171, 0, 9], Malformed::Length),
            (&[0, 9, 12, 0, 0, 0, 0, 0, 0, 0, 0], Malformed::Field("cause")),
        ];
        for (bytes, why) in broken {
            assert_eq!(read(bytes), Err(why), "{:?}", &bytes[..bytes.len().min(16)]);
        }
    }

    #[test]
    fn what_is_written_has_the_form_of_the_protocol() {
        let id = TaskId(0x0102_0304_0506_0708);
        let cases: [(Vec<u8>, u8, &[u8]); 6] = [
            (answer(id, "d"), 9, &[174, 0, 1, b'd']),
            (release(id, 41, None), 12, &[171, 0, 1, 41]),
            (release(id, 42, Some(250)), 12, &[171, 0, 1, 42, 147, 0, 3, b'2', b'5', b'0']),
            (heard(id), 16, &[]),
            (moved(id), 51, &[]),
            (tested(id, true), 53, &[171, 0, 1, 1]),
        ];
        for (bytes, kind, parameters) in cases {
            let head = [0, 9 + parameters.len() as u8, kind, 1, 2, 3, 4, 5, 6, 7, 8];
            assert_eq!(bytes, [&head[..], parameters].concat());
        }
    }
}
