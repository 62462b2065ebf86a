//! The JSON lines that placers and hosts exchange.

use super::{MOST_BYTES, Malformed, TaskId};
use anisehead::settings::parse_number;
use anisehead::{Detail, Note};
use simd_json::prelude::*;
use simd_json::{BorrowedValue, json};

/// What a host says of a task.
#[derive(Debug, Clone, PartialEq)]
pub enum HostWord {
    /// The task stands; the description of the answer.
    Up(String),
    /// Refused, ended or cut: the cause, and why.
    Down(u8, Detail),
    /// A note on a task that stands.
    Tell(Note, f64),
    /// A message that asks for nothing.
    Other,
}

/// Reads one line.
pub fn read(line: &mut [u8]) -> Result<(TaskId, HostWord), Malformed> {
    let value = simd_json::to_borrowed_value(line).map_err(|_| Malformed::Json)?;
    if !value.is_object() {
        return Err(Malformed::Json);
    }
    let text = |name| value.get_str(name);
    let task = text("ref").filter(|t| t.len() == 16).and_then(|t| u64::from_str_radix(t, 16).ok());
    let task = TaskId(task.ok_or(Malformed::Field("ref"))?);
    let fields = value.get("f");
    let field = |name| fields.and_then(|f| f.get(name));
    let note = field("note").and_then(|v| v.as_str());
    let word = match text("t").ok_or(Malformed::Field("t"))? {
        // Without its description it is no answer, but a spoilt one.
        "up" => HostWord::Up(text("d").ok_or(Malformed::Field("d"))?.to_string()),
        "down" => {
            let cause = value.get("c").and_then(|v| v.as_u8()).ok_or(Malformed::Field("c"))?;
            HostWord::Down(cause, detail(note))
        }
        "tell" => {
            let figure = field("value").and_then(number).ok_or(Malformed::Field("value"))?;
            HostWord::Tell(kind_of_note(note), figure)
        }
        _ => HostWord::Other,
    };
    Ok((task, word))
}

/// A figure, which may come as text.
pub fn number(value: &BorrowedValue<'_>) -> Option<f64> {
    match value.as_str() {
        Some(text) => parse_number(text),
        None => value.cast_f64().filter(|v| v.is_finite()),
    }
}

fn detail(note: Option<&str>) -> Detail {
    match note {
        Some("nc") => Detail::NoCores,
        Some("nm") => Detail::NoMemory,
        Some("nq") => Detail::Busy,
        Some("nh") => Detail::NotHere,
        Some("ev") => Detail::Evicted,
        Some("pre") => Detail::PushedOut,
        Some("dr") => Detail::SentAway,
        _ => Detail::None,
    }
}

fn kind_of_note(note: Option<&str>) -> Note {
    match note {
        Some("live") => Note::Runs,
        Some("c") => Note::Cores,
        Some("m") => Note::Memory,
        Some("s") => Note::Served,
        Some("p") => Note::HostMemory,
        _ => Note::Other,
    }
}

fn line(value: &BorrowedValue<'_>) -> Vec<u8> {
    let mut line = value.encode().into_bytes();
    line.push(b'\n');
    line
}

/// An offer, or none if it does not fit in one message. `left_ms` is how long the placer waits.
pub fn offer(task: TaskId, class: &str, key: &str, left_ms: i64, description: &str) -> Option<Vec<u8>> {
    let value: BorrowedValue<'_> = json!({
        "t": "new",
        "ref": task.to_string(),
        "f": { "class": class, "key": key, "left": left_ms.to_string() },
        "d": description,
    })
    .into();
    Some(line(&value)).filter(|line| line.len() <= MOST_BYTES)
}

/// Gives an offer up, or ends a task that stands.
pub fn release(task: TaskId, cause: u8) -> Vec<u8> {
    line(&json!({ "t": "down", "ref": task.to_string(), "f": {}, "c": cause }).into())
}

/// A host's release was heard.
pub fn heard(task: TaskId) -> Vec<u8> {
    line(&json!({ "t": "ack", "ref": task.to_string(), "f": {} }).into())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_are_read_by_type() {
        let cases = [
            (r#""t":"up","f":{},"d":"a\r\nb""#, HostWord::Up("a\r\nb".into())),
            (r#""t":"up","d":"""#, HostWord::Up(String::new())),
            (r#""t":"down","f":{"note":"nc"},"c":34"#, HostWord::Down(34, Detail::NoCores)),
            (r#""t":"down","f":{"note":"pre"},"c":41"#, HostWord::Down(41, Detail::PushedOut)),
            (r#""t":"down","f":{},"c":16"#, HostWord::Down(16, Detail::None)),
            (r#""t":"tell","f":{"note":"m","value":"1.5"}"#, HostWord::Tell(Note::Memory, 1.5)),
            (r#""t":"tell","f":{"note":"s","value":0.25}"#, HostWord::Tell(Note::Served, 0.25)),
            (r#""t":"wait","f":{}"#, HostWord::Other),
            (r#""t":"unheard of""#, HostWord::Other),
        ];
        for (rest, word) in cases {
            let mut line = format!(r#"{{"ref":"9b1f03aa5c7e2d41",{rest}}}"#).into_bytes();
            assert_eq!(read(&mut line), Ok((TaskId(0x9b1f_03aa_5c7e_2d41), word)), "{rest}");
        }
    }

    #[test]
    fn bad_lines_are_typed_errors() {
        let deep = "[".repeat(MOST_BYTES);
        let cases = [
            ("", Malformed::Json),
            ("{", Malformed::Json),
            ("[1]", Malformed::Json),
            (deep.as_str(), Malformed::Json),
            ("{\"t\":\"up\",\"ref\":\"\u{1}\"}", Malformed::Json),
            (r#"{"t":"up"}"#, Malformed::Field("ref")),
            (r#"{"t":"up","ref":"9b1f03aa5c7e2d41","f":{}}"#, Malformed::Field("d")),
            (r#"{"t":"up","ref":"9b1f03aa5c7e2d41","d":7}"#, Malformed::Field("d")),
            (r#"{"t":"up","ref":"1"}"#, Malformed::Field("ref")),
            (r#"{"t":"up","ref":7}"#, Malformed::Field("ref")),
            (r#"{"ref":"9b1f03aa5c7e2d41"}"#, Malformed::Field("t")),
            (r#"{"t":"down","ref":"9b1f03aa5c7e2d41","c":"x"}"#, Malformed::Field("c")),
            (r#"{"t":"down","ref":"9b1f03aa5c7e2d41","c":300}"#, Malformed::Field("c")),
            (r#"{"t":"tell","ref":"9b1f03aa5c7e2d41","f":[]}"#, Malformed::Field("value")),
        ];
        for (line, why) in cases {
            assert_eq!(read(&mut line.as_bytes().to_vec()), Err(why), "{:.40}", line);
        }
    }

    #[test]
    fn an_offer_carries_all_and_is_one_line() {
        let text = "a\r\n\"b\"\\\u{7}é";
        let mut line = offer(TaskId(0x41), "batch", "7f3a", 1500, text).expect("it fits");
        assert_eq!(line.iter().filter(|b| **b == b'\n').count(), 1);
        line.pop();
        let value = simd_json::to_owned_value(&mut line).expect("JSON");
        let field = |name| value.get("f").and_then(|f| f.get_str(name));
        assert_eq!((value.get_str("t"), value.get_str("ref")), (Some("new"), Some("0000000000000041")));
        assert_eq!(
            (field("class"), field("key"), field("left")),
            (Some("batch"), Some("7f3a"), Some("1500"))
        );
        assert_eq!(value.get_str("d"), Some(text));
        assert_eq!(offer(TaskId(1), "batch", "7f3a", 1500, &"\u{1}".repeat(MOST_BYTES / 6)), None);
        assert_eq!(release(TaskId(1), 16).last(), Some(&b'\n'));
    }
}
