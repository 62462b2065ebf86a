//! Tests of `operator`.

use super::*;

#[test]
fn an_empty_file_is_the_defaults_and_the_example_states_them() {
    let empty = parse("");
    assert_eq!(
        (empty.operator, empty.problems),
        (Operator::default(), vec![])
    );
    let example = parse(include_str!("../../deploy/operator.toml"));
    assert_eq!(example.problems, []);
    assert_eq!(example.operator.health.engine, Settings::default());
    assert!(example.operator.health.listens() && example.operator.drain == Some(Bounds::default()));
    // Every value that can be set is in the example, with its default or a listener to try.
    let unset: Vec<&InForce> = example
        .in_force
        .iter()
        .filter(|value| value.line.is_none())
        .collect();
    assert_eq!(unset, Vec::<&InForce>::new(), "not in the example");
}

#[test]
fn contradictions_and_values_out_of_range_are_found_all_at_once() {
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
        .map(|p| (p.place.map_or(0, |(line, _)| line), p.field))
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
