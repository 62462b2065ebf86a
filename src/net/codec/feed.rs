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
    /// Entries that can't be right, by their hosts, and why. Guards against one of them taking the event
    /// along: all others would be unknown, and a placer whose start names it would not start.
    pub aside: Vec<(String, Malformed)>,
}

/// Reads one line.
pub fn read(line: &mut [u8], names: &Names) -> Result<FeedLine, Malformed> {
    let value = simd_json::to_borrowed_value(line).map_err(|_| Malformed::Json)?;
    event(&value, names)
}

/// Reads one event.
pub fn event(value: &BorrowedValue<'_>, names: &Names) -> Result<FeedLine, Malformed> {
    let number = value.get_u64("n").ok_or(Malformed::Field("n"))?;
    let mut aside = Vec::new();
    let Some(members) = value.get("members") else { return Ok(FeedLine { number, members: None, aside }) };
    let whole = members.get_bool("whole").ok_or(Malformed::Field("whole"))?;
    let entries = members.get_array("hosts").ok_or(Malformed::Field("hosts"))?;
    let mut hosts = Vec::with_capacity(entries.len());
    for entry in entries {
        match listed(entry, names) {
            Ok(host) => hosts.push(host),
            Err(why) => aside.push((entry.get_str("host").unwrap_or_default().to_string(), why)),
        }
    }
    Ok(FeedLine { number, members: Some((whole, hosts)), aside })
}

/// A zone by its name, alike at every placer. Where the settings do not state it, or the entry names none,
/// it is a zone all the same: hosts there are apart from those of all others.
fn zone(name: Option<&str>, names: &[String]) -> ZoneId {
    let name = name.unwrap_or_default().replace([' ', ','], "_");
    let hash =
        || name.bytes().fold(1_469_598_103, |h: usize, b| (h ^ usize::from(b)).wrapping_mul(1_099_511));
    ZoneId(names.iter().position(|n| *n == name).unwrap_or_else(|| hash() | 1 << 31))
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
    let kind = value.get_str("class").map(|name| name.replace([' ', ','], "_"));
    let kind = kind.and_then(|name| names.kinds.iter().position(|n| *n == name));
    let dial = value.get_str("dial").and_then(|text| text.parse().ok());
    if dial.is_none() && !gone {
        return Err(Malformed::Field("dial"));
    }
    let free = |i: usize| value.get_array("unasked").and_then(|v| v.get(i)).and_then(number).unwrap_or(0.0);
    Ok(Listed {
        entry: Entry {
            host: HostId(Arc::from(host)),
            zone: zone(value.get_str("site"), &names.zones),
            cell: CellId(value.get_u64("block").unwrap_or(0)),
            kind: KindId(kind.or(gone.then_some(0)).ok_or(Malformed::Field("class"))?),
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
        ];
        for (text, why) in cases {
            assert_eq!(read_text(&text).map(|_| ()), Err(why), "{text}");
        }
    }

    // An entry that can't be right was an event that can't be read, and a configuration that names one was
    // refused: the placer did not start.
    #[test]
    fn an_entry_that_cannot_be_right_is_set_aside_and_the_others_are_taken() {
        let good = r#"{"host":"s-1","dial":"127.0.0.1:5060","site":"east","class":"std","health":"up"}"#;
        for (bad, why) in [
            (good.replace("\"up\"", "\"odd\""), "health"),
            (good.replace("\"std\"", "\"odd\""), "class"),
            (good.replace("127.0.0.1:5060", "here"), "dial"),
            (good.replace("\"host\"", "\"hots\""), "host"),
            ("7".to_string(), "host"),
        ] {
            let text = format!(r#"{{"n":4,"members":{{"whole":true,"hosts":[{bad},{good}]}}}}"#);
            let line = read(&mut text.into_bytes(), &names()).expect("an event");
            assert_eq!(line.members.map(|(_, hosts)| hosts.len()), Some(1), "{bad}");
            assert_eq!(line.aside.iter().map(|(_, why)| *why).collect::<Vec<_>>(), [Malformed::Field(why)]);
        }
    }

    // Deployments may have zones that the settings do not state, or none.
    #[test]
    fn a_zone_without_a_name_in_the_settings_is_a_zone_of_its_own() {
        let stated = names().zones;
        let zones = ["west", "east", "north", "south", ""].map(|name| zone(Some(name), &stated));
        assert_eq!((zones[0], zones[1]), (ZoneId(0), ZoneId(1)));
        for (i, one) in zones.iter().enumerate() {
            assert!(zones.iter().skip(i + 1).all(|other| other != one), "{zones:?}");
        }
        assert_eq!((zone(Some("north"), &stated), zone(None, &[])), (zones[2], zones[4]));
    }
}
