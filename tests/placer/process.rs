//! Tests of the start and the shutdown of the process.

use super::*;

#[test]
fn invalid_configuration_is_reported_in_one_line() {
    let good = single_placer_config(&Feed::new(), vec![]).encode();
    let cases = [
        ("{", "LB_CONFIG"),
        ("[]", "LB_CONFIG"),
        (&good.replace("\"8c1f30d27a5be964\"", "\"seed\""), "seed"),
        (&good.replace("\"listen\"", "\"lisen\""), "listen"),
        (
            &good.replace("\"drain_grace\"", "\"drain\""),
            "settings.rules.drain_grace",
        ),
        (
            &good.replace("\"safe\"", "\"sage\""),
            "settings.services.0.semantics",
        ),
        (&good.replace("\"events\"", "\"event\""), "known.events"),
        (
            &good.replace("\"sockets\":1024", "\"sockets\":31"),
            "limits.sockets",
        ),
    ];
    for (text, field) in cases {
        let (failed, output) = run_with_invalid_config(text);
        assert!(
            failed && output.lines().count() == 1 && output.contains(field),
            "{field}: {output}"
        );
    }
}

#[test]
fn requests_after_sigterm_are_still_accepted_and_answered() {
    let (mut program, _feed, _hosts, mut connections) = start_with_hosts(1);
    let mut client = program.client();
    client.request_task(1, &IDEMPOTENT_TASK);
    let first_offer = connections[0].expect_offer();
    program.terminate();
    while client.health_check() {}
    let mut late = program.client();
    late.request_task(
        2,
        &TaskRequest {
            service: 2,
            ..IDEMPOTENT_TASK
        },
    );
    let id = connections[0].expect_offer();
    connections[0].report_running(&id);
    assert_eq!(
        (late.expect_message().id, program.wait_exit().code()),
        (2, Some(0))
    );
    // The host never responded to the first offer, so the request was rejected before the exit.
    let answer = client.expect_message();
    assert_eq!((answer.kind, answer.id, answer.cause()), (12, 1, 42));
    assert_eq!(
        connections[0].expect("down").get_str("ref"),
        Some(first_offer.as_str())
    );
}
