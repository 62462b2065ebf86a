//! Tests of parsing and evaluating load profiles.

use super::*;

const ALL_PHASE_KINDS: &str = "8/s for 30s, rise to 40/s over 5s, hold 20s, wave 20/s..40/s every 10s for 60s, \
                     burst 200 in 500ms, silence 3s";

#[test]
fn profile_with_all_kinds_of_phases_is_parsed() {
    let profile = parse(ALL_PHASE_KINDS).expect("valid load profile");
    assert_eq!(profile.phases.len(), 6);
    assert_eq!(profile.length(), 118_500_000);
    for (at, rate) in [
        (0.0, 8.0),
        (29.9, 8.0),
        (32.5, 24.0),
        (40.0, 40.0),
        (55.0, 20.0),
        (60.0, 40.0),
        (115.1, 400.0),
        (117.0, 0.0),
        (200.0, 0.0),
    ] {
        assert!(
            (profile.rate((at * SECOND) as Micros) - rate).abs() < 0.5,
            "{at}: {}",
            profile.rate((at * SECOND) as Micros)
        );
    }
    let expected = 240.0 + 120.0 + 800.0 + 1_800.0 + 200.0;
    assert!((profile.expected(profile.length()) - expected).abs() < 1e-6);
    assert_eq!(
        profile.phase(36_000_000).map(|p| p.name.as_str()),
        Some("hold")
    );
}

#[test]
fn names_repeats_and_units_are_parsed() {
    let profile =
        parse("calm: 60/m for 1m30s, polls: 3x(burst 20 in 1s, hold 4s), fall to 0/s over 2s")
            .expect("valid load profile");
    let names: Vec<&str> = profile.phases.iter().map(|p| p.name.as_str()).collect();
    assert_eq!(
        names,
        [
            "calm", "polls", "polls", "polls", "polls", "polls", "polls", "fall"
        ]
    );
    assert_eq!(
        (profile.rate(0), profile.rate(92_000_000)),
        (1.0, 1.0),
        "the rate before a burst applies again after it"
    );
    assert_eq!(profile.length(), 107_000_000);
    assert_eq!(profile.scaled(2.0).rate(0), 2.0);
}

#[test]
fn errors_show_the_place_and_what_was_expected() {
    for (text, column, message) in [
        (
            "8/s for 30s, rise 40/s over 5s",
            19,
            "expected `to`, found 40/s",
        ),
        ("8/s for", 8, "expected a number, found the end"),
        ("8/x for 30s", 3, "expected s, m or h"),
        ("8/s for 30", 11, "expected"),
        ("", 1, "expected"),
        ("8/s for 30s hold 2s", 13, "a comma or the end"),
        ("2x(8/s for 1s", 14, "expected"),
        ("0x(8/s for 1s)", 4, "count of repeats"),
        ("wave 1/s..2/s for 3s", 15, "`every`"),
        ("-1/s for 3s", 1, "expected"),
        ("inf/s for 3s", 1, "expected"),
        ("hold 8d", 7, "expected"),
    ] {
        let error = parse(text).expect_err(text);
        let shown = error.to_string();
        assert!(shown.contains(message), "{text}: {shown}");
        assert_eq!(error.offset + 1, column, "{text}: {shown}");
        assert!(shown.ends_with('^'), "{shown}");
    }
    assert!(
        parse("8/s for 30s,\n").is_ok(),
        "a trailing comma is allowed"
    );
    assert!(
        parse("1000x(1000x(1/s for 1s))").is_err(),
        "the number of phases is limited"
    );
    assert!(parse("2000000/s for 1s").is_err());
    let lines = parse("8/s for 1s,\n  rise up")
        .expect_err("invalid load profile")
        .to_string();
    assert!(
        lines.contains("line 2, column 8") && lines.contains("\n    rise up\n"),
        "{lines}"
    );
}
