//! Tests of the reader.

use super::*;
use std::time::Duration;

/// Reads the value of the only key of a document.
fn read_only_value<T: Value>(text: &str) -> Option<T> {
    let (document, _) = DeTable::parse_recoverable(text);
    let (_, value) = document.get_ref().iter().next()?;
    T::read(value.get_ref()).ok()
}

const TEXT: &str =
    "a = \"250ms\"\nb = 3\n\n[t]\nc = true\nwiat = 1\nd = [1, \"x\"]\ne = \"soon\"\n";

/// Reads [`TEXT`], checks the values that are valid, and returns the effective values and problems.
fn read_text() -> (Vec<EffectiveValue>, Vec<Problem>) {
    let (document, errors) = DeTable::parse_recoverable(TEXT);
    let mut reader = Reader::new(TEXT, &errors);
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
    reader.finish()
}

#[test]
fn every_problem_is_reported_with_its_position_field_and_expectation() {
    let (_, problems) = read_text();

    let lines: Vec<String> = problems
        .iter()
        .map(|problem| problem.render("f.toml"))
        .collect();
    assert_eq!(lines.len(), 3, "{lines:#?}");
    assert!(
        lines[0]
            .starts_with("f.toml:6:1: t.wiat: unknown key, did you mean wait? (known keys: c, ")
    );
    assert!(lines[1].starts_with("f.toml:7:5: t.d: item 1: expected an integer, found string"));
    assert!(
        lines[2].starts_with("f.toml:8:5: t.e: expected a duration such as"),
        "{}",
        lines[2]
    );
}

#[test]
fn effective_values_name_the_line_that_sets_them_or_none_for_a_default() {
    let (effective_values, _) = read_text();

    assert!(effective_values.contains(&EffectiveValue {
        field: "a".into(),
        value: "\"250ms\"".into(),
        line: Some(1)
    }));
    assert!(effective_values.contains(&EffectiveValue {
        field: "t.wait".into(),
        value: "2".into(),
        line: None
    }));
}

#[test]
fn syntax_errors_are_reported_with_their_position() {
    let text = "a = 1\nb = [1,\nc = = 2\n";
    let (_, errors) = DeTable::parse_recoverable(text);

    let (_, problems) = Reader::new(text, &errors).finish();

    assert!(
        !problems.is_empty() && problems.iter().all(|problem| problem.position.is_some()),
        "{problems:?}"
    );
}

#[test]
fn durations_have_a_unit_and_are_at_most_a_year() {
    for (text, is_valid) in [
        ("\"1s\"", true),
        ("\"1s 500ms\"", true),
        ("\"\"", false),
        ("\"-1s\"", false),
        ("5", false),
        ("\"400days\"", false),
        ("\"1\"", false),
    ] {
        let value = read_only_value::<Duration>(&format!("v = {text}"));

        assert_eq!(value.is_some(), is_valid, "{text}");
    }
}

#[test]
fn numbers_are_decimal_and_finite() {
    for (text, is_valid) in [
        ("1", true),
        ("1.5", true),
        ("inf", false),
        ("nan", false),
        ("0x10", false),
        ("1_000", true),
        ("\"1\"", false),
    ] {
        let value = read_only_value::<f64>(&format!("v = {text}"));

        assert_eq!(value.is_some(), is_valid, "{text}");
    }
}
