//! Tests of `reader.rs`.

use super::*;

#[test]
fn values_are_read_with_their_places_and_every_problem_is_found() {
    let text = "a = \"250ms\"\nb = 3\n\n[t]\nc = true\nwiat = 1\nd = [1, \"x\"]\ne = \"soon\"\n";
    let (document, errors) = DeTable::parse_recoverable(text);
    let mut reader = Reader::new(text, &errors);
    let mut root = reader.root(&document);
    assert_eq!(
        reader.value(&mut root, "a", Duration::ZERO),
        Duration::from_millis(250)
    );
    assert_eq!(reader.value(&mut root, "b", 1.5), 3.0);
    assert_eq!(reader.value(&mut root, "absent", 7u64), 7);
    let mut table = reader.section(&mut root, "t");
    assert!(reader.value(&mut table, "c", false));
    assert_eq!(reader.value(&mut table, "wait", 2u64), 2);
    assert_eq!(reader.optional::<Vec<u64>>(&mut table, "d"), None);
    reader.value(&mut table, "e", Duration::ZERO);
    reader.close(&table);
    reader.close(&root);
    let (in_force, problems) = reader.finish();
    let lines: Vec<String> = problems.iter().map(|p| p.line("f.toml")).collect();
    assert_eq!(lines.len(), 3, "{lines:#?}");
    assert!(
        lines[0]
            .starts_with("f.toml:6:1: t.wiat: unknown, perhaps wait is meant; known here are c, ")
    );
    assert!(lines[1].starts_with("f.toml:7:5: t.d: item 1: expected a whole number, found string"));
    assert!(
        lines[2].starts_with("f.toml:8:5: t.e: expected a duration such as"),
        "{}",
        lines[2]
    );
    assert!(in_force.contains(&InForce {
        field: "a".into(),
        value: "\"250ms\"".into(),
        line: Some(1)
    }));
    assert!(in_force.contains(&InForce {
        field: "t.wait".into(),
        value: "2".into(),
        line: None
    }));
}

#[test]
fn what_is_no_toml_is_named_with_its_place() {
    let text = "a = 1\nb = [1,\nc = = 2\n";
    let (_, errors) = DeTable::parse_recoverable(text);
    let (_, problems) = Reader::new(text, &errors).finish();
    assert!(
        !problems.is_empty() && problems.iter().all(|p| p.place.is_some()),
        "{problems:?}"
    );
}

#[test]
fn durations_and_numbers_are_bounded() {
    for (text, good) in [
        ("\"1s\"", true),
        ("\"1s 500ms\"", true),
        ("\"\"", false),
        ("\"-1s\"", false),
        ("5", false),
        ("\"400days\"", false),
        ("\"1\"", false),
    ] {
        let text = format!("v = {text}");
        let (document, _) = DeTable::parse_recoverable(&text);
        let value = document
            .get_ref()
            .iter()
            .next()
            .map(|(_, v)| Duration::read(v.get_ref()));
        assert_eq!(value.is_some_and(|v| v.is_ok()), good, "{text}");
    }
    for (text, good) in [
        ("1", true),
        ("1.5", true),
        ("inf", false),
        ("nan", false),
        ("0x10", false),
        ("1_000", true),
        ("\"1\"", false),
    ] {
        let text = format!("v = {text}");
        let (document, _) = DeTable::parse_recoverable(&text);
        let value = document
            .get_ref()
            .iter()
            .next()
            .map(|(_, v)| f64::read(v.get_ref()));
        assert_eq!(value.is_some_and(|v| v.is_ok()), good, "{text}");
    }
}
