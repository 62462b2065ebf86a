//! Tests of the events of the feed.

use super::*;

fn names() -> Names {
    Names {
        zones: vec!["west".into(), "east".into()],
        kinds: vec!["std".into()],
        ..Names::default()
    }
}

fn read_text(text: &str) -> Result<FeedMessage, Malformed> {
    read(&mut text.as_bytes().to_vec(), &names())
}

fn event_with(host: &str) -> String {
    format!(r#"{{"n":41,"members":{{"seq":7,"whole":false,"hosts":[{host}]}}}}"#)
}

#[test]
fn event_is_read_with_all_fields() {
    let host = r#"{"host":"s-1","dial":"127.0.0.1:5060","site":"east","class":"std","block":2,"health":"up","share":4,"born_ms":1500,"unasked":[3.5,-1]}"#;

    let message = read_text(&event_with(host)).expect("a valid event");

    let update = message.update.expect("an update");
    let endpoints = update.endpoints;
    assert_eq!(
        (message.sequence, update.is_complete, endpoints.len()),
        (41, false, 1)
    );
    let DiscoveredEndpoint { endpoint, address } = &endpoints[0];
    assert_eq!(&*endpoint.host.0, "s-1");
    assert_eq!(
        (endpoint.zone, endpoint.kind, endpoint.cell),
        (ZoneId(1), KindId(0), CellId(2))
    );
    assert_eq!(
        (endpoint.state, endpoint.started_at),
        (EndpointState::Up, 1_500_000)
    );
    assert_eq!((endpoint.free_cores, endpoint.free_memory), (3.5, -1.0));
    assert_eq!(address.map(|address| address.port()), Some(5060));
}

#[test]
fn event_without_members_has_no_update() {
    let message = read_text(r#"{"n":41}"#);

    assert!(message.is_ok_and(|message| message.update.is_none()));
}

#[test]
fn removed_host_needs_only_its_name() {
    let message = read_text(&event_with(r#"{"host":"s-1","health":"removed"}"#));

    assert!(message.is_ok(), "a removed host needs only its name");
}

#[test]
fn malformed_event_is_a_typed_error() {
    let cases = [
        ("{\"n\":", Malformed::Json),
        ("{}", Malformed::Field("n")),
        (r#"{"n":1,"members":{}}"#, Malformed::Field("whole")),
    ];
    for (text, reason) in cases {
        assert_eq!(read_text(text).map(|_| ()), Err(reason), "{text}");
    }
}

// Regression: an invalid entry made the whole event invalid. If it stood in the configuration, the placer did not
// start.
#[test]
fn invalid_entry_is_rejected_and_the_others_are_taken() {
    let good =
        r#"{"host":"s-1","dial":"127.0.0.1:5060","site":"east","class":"std","health":"up"}"#;
    for (bad, why) in [
        (good.replace("\"up\"", "\"odd\""), "health"),
        (good.replace("\"std\"", "\"odd\""), "class"),
        (good.replace("127.0.0.1:5060", "here"), "dial"),
        (good.replace("\"host\"", "\"hots\""), "host"),
        ("7".to_string(), "host"),
    ] {
        let text = format!(r#"{{"n":4,"members":{{"whole":true,"hosts":[{bad},{good}]}}}}"#);
        let line = read(&mut text.into_bytes(), &names()).expect("a valid event");
        assert_eq!(
            line.update.map(|update| update.endpoints.len()),
            Some(1),
            "{bad}"
        );
        assert_eq!(
            line.rejected
                .iter()
                .map(|rejected| rejected.reason)
                .collect::<Vec<_>>(),
            [Malformed::Field(why)]
        );
    }
}

// Guards against confusing zones: hosts may be in a zone that the settings do not list, or in none.
#[test]
fn zone_that_the_settings_do_not_list_is_a_zone_of_its_own() {
    let listed = names().zones;
    let zones = ["west", "east", "north", "south", ""].map(|name| zone(Some(name), &listed));
    assert_eq!((zones[0], zones[1]), (ZoneId(0), ZoneId(1)));
    for (i, one) in zones.iter().enumerate() {
        assert!(
            zones.iter().skip(i + 1).all(|other| other != one),
            "{zones:?}"
        );
    }
    assert_eq!(
        (zone(Some("north"), &listed), zone(None, &[])),
        (zones[2], zones[4])
    );
}
