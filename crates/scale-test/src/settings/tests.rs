//! Parsing and checking of settings, and the error messages for invalid settings.

use super::*;

/// Returns the error message for these settings, which must be invalid.
fn error_of(text: &str) -> String {
    let checked = Settings::parse(text).and_then(|settings| settings.check());
    checked.expect_err(text).to_string()
}

#[test]
fn empty_file_gives_the_valid_default_which_survives_toml() {
    let settings = Settings::parse("").expect("valid settings");
    assert_eq!(settings, Settings::default());
    assert_eq!(settings.check(), Ok(()));
    assert_eq!(Settings::parse(&settings.to_toml()), Ok(settings));
}

#[test]
fn faults_are_read_and_survive_toml() {
    let text = "[[fault]]\nkind = \"zone\"\nat = \"5s\"\nzone = \"z2\"\nback-after = \"6s\"\n\
                [[fault]]\nkind = \"placer\"\nat = \"7s\"\nplacer = 1\nback-after = \"500ms\"\n\
                [[fault]]\nkind = \"garbage\"\nat = \"9s\"\nworkers = 3\n";
    let settings = Settings::parse(text).expect("valid settings");
    assert_eq!(settings.check(), Ok(()));
    assert_eq!(settings.faults.len(), 3);
    assert_eq!(settings.faults[0].end(), Duration::from_secs(11));
    assert_eq!(Settings::parse(&settings.to_toml()), Ok(settings));
}

#[test]
#[expect(clippy::too_many_lines, reason = "one table of cases")]
fn invalid_setting_is_named_with_expected_and_found_in_one_line() {
    let zone = |rest: &str| format!("[[fault]]\nkind = \"zone\"\n{rest}\n");
    for (text, expected) in [
        (
            "workers = 0",
            "setting workers: expected 1 to 16384, found 0",
        ),
        (
            "workers = 20000",
            "setting workers: expected 1 to 16384, found 20000",
        ),
        ("zones = 400", "setting zones: expected 1 to 256, found 400"),
        (
            "zones = 2\nregions = 3",
            "setting regions: expected 1 to 2, found 3",
        ),
        (
            "placers = 0",
            "setting placers: expected at least 1, as rate = 20, found 0",
        ),
        (
            "placers = 0\nrate = 0.0",
            "setting placers: expected at least 1, found 0",
        ),
        (
            "instances = 2",
            "setting instances: expected 0, or at least placers = 3, found 2",
        ),
        (
            "standing = 100000",
            "setting standing: expected at most the 9600 that 300 workers of 32 tasks hold",
        ),
        (
            "rate = -1.0",
            "setting rate: expected 0 to 100000, found -1",
        ),
        (
            "rate = nan",
            "setting rate: expected 0 to 100000, found NaN",
        ),
        (
            "urgent-share = 0.7\nonce-share = 0.5",
            "setting once-share: expected at most 1 together with",
        ),
        (
            "duration = \"0s\"",
            "setting duration: expected 1s to 1day, found 0s",
        ),
        (
            "duration = \"soon\"",
            "setting duration: expected a valid setting, found",
        ),
        (
            "feed = \"never\"",
            "setting feed: expected a valid setting, found unknown variant `never`",
        ),
        (
            "feed-period = \"0s\"",
            "setting feed-period: expected 1ms to 1m, found 0s",
        ),
        (
            "sead = 1",
            "setting sead: expected a valid setting, found unknown field `sead`",
        ),
        (
            "workers = \"many\"",
            "setting workers: expected a valid setting",
        ),
        ("workers = 5\nworkers = 6", "setting workers: expected"),
        (
            "task-cores = 40.0",
            "setting task-cores: expected 0.001 to 32, found 40",
        ),
        (
            "placer-sockets = 20",
            "setting placer-sockets: expected 64 to 1048576, found 20",
        ),
        (
            &zone("at = \"1s\"\nzone = \"z9\"\nback-after = \"5s\""),
            "setting fault 0: zone: expected one of z0, z1, z2, z3, z4, z5, z6, found z9",
        ),
        (
            &zone("at = \"18s\"\nzone = \"z1\"\nback-after = \"5s\""),
            "setting fault 0: expected at and back-after within duration = 20s, found 23s",
        ),
        (
            &zone("at = \"30s\"\nzone = \"z1\"\nback-after = \"5s\""),
            "setting fault 0: at: expected 0s to 20s, found 30s",
        ),
        (
            &zone("at = \"1s\"\nzone = \"z1\"\nback-after = \"5s\"\ntold-after = \"6s\""),
            "setting fault 0: told-after: expected 0s to 5s, found 6s",
        ),
        (
            "[[fault]]\nkind = \"placer\"\nat = \"1s\"\nplacer = 3\nback-after = \"1s\"",
            "setting fault 0: placer: expected 0 to 2, found 3",
        ),
        (
            "[[fault]]\nkind = \"garbage\"\nat = \"1s\"\nworkers = 0",
            "setting fault 0: workers: expected 1 to 300, found 0",
        ),
        (
            "[[fault]]\nkind = \"flood\"\nat = \"1s\"",
            "unknown variant `flood`",
        ),
        (
            "[[fault]]\nkind = \"garbage\"\nat = \"1s\"\nworkers = 1\nzone = \"z1\"",
            "unknown field `zone`",
        ),
    ] {
        let line = error_of(text);
        assert!(line.contains(expected), "{text}: {line}");
        assert_eq!(line.lines().count(), 1, "{line}");
    }
}

#[test]
fn flags_take_precedence_over_the_file() {
    let args = SettingsArgs {
        workers: Some("900".into()),
        set: vec!["life=90s".into(), "feed=each-change".into()],
        faults: vec!["{ kind = \"garbage\", at = \"1s\", workers = 2 }".into()],
        ..SettingsArgs::default()
    };
    let settings = args.settings().expect("valid settings");
    assert_eq!(
        (settings.workers, settings.life.as_secs(), settings.feed),
        (900, 90, FeedRule::EachChange)
    );
    assert_eq!(settings.faults.len(), 1);
}

#[test]
fn invalid_flag_is_named_like_an_invalid_setting() {
    let bad = |set: &str| {
        let args = SettingsArgs {
            set: vec![set.to_string()],
            ..SettingsArgs::default()
        };
        args.settings().expect_err(set).to_string()
    };
    assert_eq!(
        bad("workers=many"),
        "setting workers: expected a number in its range, found many"
    );
    assert_eq!(
        bad("life=long"),
        "setting life: expected a time such as 30s, found long"
    );
    assert_eq!(
        bad("sead=1"),
        "setting sead: expected the name of a setting, found sead=1"
    );
    assert_eq!(
        bad("workers"),
        "setting --set: expected NAME=VALUE, found workers"
    );
}

#[test]
fn zone_names_contain_the_region_if_there_are_several() {
    let settings = Settings {
        zones: 4,
        regions: 2,
        ..Settings::default()
    };
    assert_eq!(settings.zone_names(), ["r0-z0", "r1-z1", "r0-z2", "r1-z3"]);
    assert_eq!(settings.zone("r0-z2"), Some(ZoneId(2)));
    assert_eq!(settings.zone("z2"), None);
}
