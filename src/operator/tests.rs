//! Tests of the operator's file.

use super::*;
use task_placer::health::Settings;

#[test]
fn empty_file_is_the_defaults() {
    let empty = parse("");

    assert_eq!(empty.operator, Operator::default());
    assert_eq!(empty.problems, []);
}

#[test]
fn example_file_states_every_value_with_its_default_or_an_example_listener() {
    let example = parse(include_str!("../../deploy/operator.toml"));

    assert_eq!(example.problems, []);
    assert_eq!(example.operator.health.monitor, Settings::default());
    assert!(example.operator.health.listens());
    assert_eq!(example.operator.drain, Some(DrainLimits::default()));
    let not_stated: Vec<&EffectiveValue> = example
        .effective_values
        .iter()
        .filter(|value| value.line.is_none())
        .collect();
    assert_eq!(
        not_stated,
        Vec::<&EffectiveValue>::new(),
        "values that the example does not state"
    );
}

#[test]
fn all_contradictions_and_values_out_of_range_are_reported_at_once() {
    let text = r#"
[log]
format = "xml"
level = "loud"
queue-bytes = 1
[health]
agent = ["127.0.0.1:9000"]
http = ["127.0.0.1:9000"]
connections = 0
drain-status = 200
request-time = "0s"
[health.weight]
floor = 0
hold = "1m"
[health.signals.loop-late]
ok = 0.9
[health.signals.moon]
ok = 1
[drain]
notice = "1s"
settle = "2s"
[ctl]
socket = "run/ctl"
[extra]
"#;
    let fields: Vec<(usize, String)> = parse(text)
        .problems
        .into_iter()
        .map(|problem| {
            let line = problem.position.map_or(0, |position| position.line);
            (line, problem.field)
        })
        .collect();
    let expected = [
        (3, "log.format"),
        (4, "log.level"),
        (5, "log.queue-bytes"),
        (8, "health.http"),
        (9, "health.connections"),
        (10, "health.drain-status"),
        (11, "health.request-time"),
        (12, "health.weight.most-hold"),
        (13, "health.weight.floor"),
        (15, "health.signals.loop-late.bad"),
        (17, "health.signals.moon"),
        (21, "drain.settle"),
        (23, "ctl.socket"),
        (24, "extra"),
    ];
    assert_eq!(
        fields,
        expected.map(|(line, field)| (line, field.to_string()))
    );
}
