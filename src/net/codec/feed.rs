//! The lines of the control feed, and the same events in the configuration.

use super::Malformed;
use super::lines::number;
use anisehead::settings::{Names, millis};
use anisehead::{CellId, Entry, HostId, HostState, KindId, ZoneId};
use simd_json::BorrowedValue;
use simd_json::prelude::*;
use std::net::SocketAddr;
use std::sync::Arc;

/// No line of the feed holds more: the whole list may be one line.
pub const MOST_BYTES: usize = 1024 * 1024;

/// One host of the list, and the address where it listens.
#[derive(Debug, Clone)]
pub struct Listed {
    /// What the module is told.
    pub entry: Entry,
    /// Where it listens; a host that is gone may have none.
    pub dial: Option<SocketAddr>,
}

/// One line of the feed: its number and, unless it only shows that the feed lives, the changes.
#[derive(Debug, Clone)]
pub struct FeedLine {
    /// The number of the latest event.
    pub number: u64,
    /// Whether the list is whole, and its hosts.
    pub members: Option<(bool, Vec<Listed>)>,
}

/// Reads one line.
pub fn read(line: &mut [u8], names: &Names) -> Result<FeedLine, Malformed> {
    let value = simd_json::to_borrowed_value(line).map_err(|_| Malformed::Json)?;
    event(&value, names)
}

/// Reads one event.
pub fn event(value: &BorrowedValue<'_>, names: &Names) -> Result<FeedLine, Malformed> {
    let number = value.get_u64("n").ok_or(Malformed::Field("n"))?;
    let Some(members) = value.get("members") else { return Ok(FeedLine { number, members: None }) };
    let whole = members.get_bool("whole").ok_or(Malformed::Field("whole"))?;
    let hosts = members.get_array("hosts").ok_or(Malformed::Field("hosts"))?;
    let hosts = hosts.iter().map(|host| listed(host, names)).collect::<Result<_, _>>()?;
    Ok(FeedLine { number, members: Some((whole, hosts)) })
}

fn listed(value: &BorrowedValue<'_>, names: &Names) -> Result<Listed, Malformed> {
    let host = value.get_str("host").ok_or(Malformed::Field("host"))?;
    let state = match value.get_str("health") {
        Some("up") => HostState::Up,
        Some("draining") => HostState::Draining,
        Some("removed") => HostState::Gone,
        _ => return Err(Malformed::Field("health")),
    };
    let gone = state == HostState::Gone;
    // Of a host that is gone only its name counts.
    let place = |field, names: &[String]| {
        let found = value.get_str(field).and_then(|name| names.iter().position(|n| n == name));
        found.or(gone.then_some(0)).ok_or(Malformed::Field(field))
    };
    let dial = value.get_str("dial").and_then(|text| text.parse().ok());
    if dial.is_none() && !gone {
        return Err(Malformed::Field("dial"));
    }
    let free = |i: usize| value.get_array("unasked").and_then(|v| v.get(i)).and_then(number).unwrap_or(0.0);
    Ok(Listed {
        entry: Entry {
            host: HostId(Arc::from(host)),
            zone: ZoneId(place("site", &names.zones)?),
            cell: CellId(value.get_u64("block").unwrap_or(0)),
            kind: KindId(place("class", &names.kinds)?),
            state,
            // Bounded, so that sums with it stay far from their limits.
            ready_at: value.get("born_ms").and_then(number).map_or(0, |ms| millis(ms.clamp(0.0, 1e14))),
            free_cores: free(0),
            free_memory: free(1),
        },
        dial,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn names() -> Names {
        Names { zones: vec!["west".into(), "east".into()], kinds: vec!["std".into()], ..Names::default() }
    }

    #[test]
    fn events_are_read_and_bad_ones_are_typed_errors() {
        let host = r#"{"host":"s-1","dial":"127.0.0.1:5060","site":"east","class":"std","block":2,"health":"up","share":4,"born_ms":1500,"unasked":[3.5,-1]}"#;
        let event =
            |host: &str| format!(r#"{{"n":41,"members":{{"seq":7,"whole":false,"hosts":[{host}]}}}}"#);
        let read_text = |text: &str| read(&mut text.as_bytes().to_vec(), &names());
        let line = read_text(&event(host)).expect("good");
        let (whole, hosts) = line.members.expect("hosts");
        assert_eq!((line.number, whole, hosts.len()), (41, false, 1));
        let Listed { entry, dial } = &hosts[0];
        assert_eq!(
            (&*entry.host.0, entry.zone, entry.kind, entry.cell),
            ("s-1", ZoneId(1), KindId(0), CellId(2))
        );
        assert_eq!((entry.state, entry.ready_at), (HostState::Up, 1_500_000));
        assert_eq!((entry.free_cores, entry.free_memory, dial.map(|d| d.port())), (3.5, -1.0, Some(5060)));
        assert!(read_text(r#"{"n":41}"#).is_ok_and(|line| line.members.is_none()));
        assert!(read_text(&event(r#"{"host":"s-1","health":"removed"}"#)).is_ok(), "its name is enough");
        let cases = [
            ("{\"n\":".to_string(), Malformed::Json),
            ("{}".to_string(), Malformed::Field("n")),
            (r#"{"n":1,"members":{}}"#.to_string(), Malformed::Field("whole")),
            (event(&host.replace("\"up\"", "\"odd\"")), Malformed::Field("health")),
            (event(&host.replace("\"east\"", "\"odd\"")), Malformed::Field("site")),
            (event(&host.replace("\"std\"", "\"odd\"")), Malformed::Field("class")),
            (event(&host.replace("127.0.0.1:5060", "here")), Malformed::Field("dial")),
            (event(&host.replace("\"host\"", "\"hots\"")), Malformed::Field("host")),
        ];
        for (text, why) in cases {
            assert_eq!(read_text(&text).map(|_| ()), Err(why), "{text}");
        }
    }
}
